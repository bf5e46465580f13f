#!/usr/bin/env bash
# Prepares the stand-ins of the cases 11 to 15. They are Python (3.11, standard library only) and need no compiler: the
# project's own under tests/platformworld, and review/common-3. The program under test comes from the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys; assert sys.version_info >= (3, 11), sys.version'
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review/common-3:tests python3 -c 'import deployment'
test -x target/bin/nutmegplank-node
