#!/usr/bin/env bash
# Runs the case: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 it does the same without the disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
export PYTHONPATH=. PYTHONDONTWRITEBYTECODE=1 TROUBLE="${TROUBLE:-1}"
python3 "$folder/play.py" &
play=$!
trap 'kill -TERM "$play"' TERM INT
wait "$play"
status=$?
# A wait that a signal interrupted is repeated until the play has ended its processes.
while kill -0 "$play" 2>/dev/null; do
  wait "$play"
  status=$?
done
# Python itself exits with 1 for a play that can't even be loaded.
case $status in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
