#!/usr/bin/env bash
# What the scripts of cases 6 to 10 start beside the program of the deploy file: stand-ins in Python, which need no
# compiler. Checks that they can be loaded. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."

[ -x target/bin/nutmegplank-node ] || { echo "build the deploy file first" >&2; exit 1; }
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=tests:review/common-2 python3 -c 'import deployment'
echo "stand-ins of review/6 to review/10 are ready"
