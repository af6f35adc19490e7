#!/usr/bin/env bash
# Checks the stand-ins of review/6 to 10, which are Python scripts: they need
# no build. The programs under test are built by deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'CHECK'
import ast
import glob
import tomllib  # Python 3.11 or later.

for path in glob.glob("review/common-2/*.py") + glob.glob("review/*/case.py"):
    with open(path) as f:
        ast.parse(f.read(), path)
CHECK
for program in entry control; do
  test -x "target/almondgate-platform-$program" ||
    { echo "target/almondgate-platform-$program is not built"; exit 1; }
done
