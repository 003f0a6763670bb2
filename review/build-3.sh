#!/usr/bin/env bash
# Builds what the scripts of review/11 to review/15 start, into target/review-3: the
# project's stand-ins and the harness. It needs target/deps of the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
out=target/review-3
rm -rf "$out"
mkdir -p "$out"
cp -r src/cardamomdyke_standins "$out/"
cp review/harness-3/*.py "$out/"
find "$out" -name __pycache__ -prune -exec rm -rf {} +
python3 -m compileall -q "$out"
# Case 13 starts the stand-ins of the second review, which run from their sources.
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="target/deps:src:review/second" \
    python3 -c "import harness, standin"
