#!/usr/bin/env bash
# Prepares the stand-ins of the second review's scripts; needs no network. They are
# Python, run with the libraries that the build of the deploy file has put into
# target/deps, so this only checks that they can be imported.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH="target/deps:src:review/second" python3 -c "import harness, standin"
for number in 6 7 8 9 10; do
    [ ! -f "review/$number/case.py" ] || PYTHONDONTWRITEBYTECODE=1 python3 - "review/$number/case.py" <<'CHECK'
import ast
import pathlib
import sys

ast.parse(pathlib.Path(sys.argv[1]).read_text())
CHECK
done
echo "the stand-ins are ready"
