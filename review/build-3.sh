#!/bin/sh
# Checks the stand-ins of the third review; they need Python's standard library only.
set -e
cd "$(dirname "$0")"
for file in standins-3/*.py 1[1-5]/case.py; do
    [ -e "$file" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
