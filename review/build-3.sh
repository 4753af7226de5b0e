#!/usr/bin/env bash
# Checks the stand-ins of the cases 11 to 15. They are Python programs without dependencies, so there is nothing to compile.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-3/*.py 1[1-5]/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
