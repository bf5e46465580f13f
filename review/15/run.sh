#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; see claim.txt.
exec bash "$(dirname "$0")/../common-3/run.sh" "$(cd "$(dirname "$0")" && pwd)"
