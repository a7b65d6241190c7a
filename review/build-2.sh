#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python programs that need the standard library alone, so there is
# nothing to compile: this checks that the interpreter is there, and that it can read them. The controller itself is
# built by the deploy file.
cd "$(dirname "$0")" || exit 1
command -v python3 >/dev/null || { echo "python3 is missing"; exit 1; }
for file in lib2/*.py [6-9]/case.py 10/case.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file" || exit 1
done
