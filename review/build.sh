#!/usr/bin/env bash
# Checks the stand-ins that the scripts start; they are Python programs and need no other build.
set -euo pipefail
cd "$(dirname "$0")"
python3 - lib/*.py [1-5]/*.py <<'P'
import ast
import sys

for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as source:
        ast.parse(source.read(), name)
P
