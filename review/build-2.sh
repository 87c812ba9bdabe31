#!/usr/bin/env bash
# The stand-ins of review/6 to review/10 need Python's standard library alone. This
# checks that they can be compiled, and that the build of the deploy file is there.
set -euo pipefail
cd "$(dirname "$0")/.."
test -d target/deps
PYTHONDONTWRITEBYTECODE=1 python3 - <<'PYTHON'
import ast
import pathlib

for folder in ("common2", "6", "7", "8", "9", "10"):
    for path in sorted(pathlib.Path("review", folder).glob("*.py")):
        ast.parse(path.read_text("utf-8"), str(path))
PYTHON
