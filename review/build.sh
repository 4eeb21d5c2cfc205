#!/bin/sh
# The stand-ins are Python; this compiles them and checks that they can be imported.
cd "$(dirname "$0")/.." || exit 1
[ -d target/deps ] || { echo "build the deploy file first"; exit 1; }
PYTHONPATH=.:target/deps
export PYTHONPATH
python3 -m compileall -q review && python3 -c "import review.standins.case"
