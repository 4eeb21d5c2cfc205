#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8; they use Python's standard library only.
cd "$(dirname "$0")/.." || exit 1
for folder in review/support review/[4-8]; do
  [ ! -d "$folder" ] || python3 -m compileall -q "$folder" || exit 1
done
