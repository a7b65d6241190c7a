#!/bin/sh
# Builds every stand-in that a case starts. They are Python programs of the standard library in review/lib and in the
# folders of the cases, so there is nothing to compile; this only checks that they can be read.
set -eu
cd "$(dirname "$0")"
for file in lib/*.py [0-9]/*.py; do
    python3 - "$file" <<'CHECK'
import sys
compile(open(sys.argv[1]).read(), sys.argv[1], "exec")
CHECK
done
