#!/bin/sh
# Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
command -v python3 >/dev/null || { echo "could not run: python3 is missing"; exit 2; }
[ -x "$folder/../../target/release/peppercove" ] || { echo "could not run: the build is missing"; exit 2; }
export PYTHONDONTWRITEBYTECODE=1
exec timeout -k 3 119 python3 "$folder/case.py"
