#!/usr/bin/env bash
# The stand-ins are Python modules of the standard library: nothing to compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import ast, glob
for path in glob.glob("**/*.py", recursive=True):
    ast.parse(open(path).read(), path)'
