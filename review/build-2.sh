#!/bin/sh
# Prepares the stand-ins of the cases 6 to 10; they are Python files without dependencies.
set -e
cd "$(dirname "$0")/.."
python3 -c 'import sys; assert sys.version_info >= (3, 11), sys.version'
for file in review/standins-2/*.py review/[6-9]/*.py review/10/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
[ -d target/deps/balsamcleat ] || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
