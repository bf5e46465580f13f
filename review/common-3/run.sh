#!/usr/bin/env bash
# Runs case.py of the folder given. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
cd "$1"
export PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=../common-3:../../tests
python3 case.py &
child=$!
trap 'kill "$child"' TERM INT
code=0
wait "$child" || code=$?
case $code in
    0) exit 0 ;;
    3) exit 1 ;;
    *) exit 2 ;;
esac
