#!/usr/bin/env bash
# The stand-ins that the scripts start are Python sources and run inside the script's own process. There is nothing to
# compile; this checks that this machine's Python can load all of them, the project's own too.
set -euo pipefail
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
python3 -c '
import sys
sys.path[:0] = ["common", "../tests"]
import harness, proxy
from platformworld import servers, store, world
print("stand-ins load with Python", sys.version.split()[0])
'
