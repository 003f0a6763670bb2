#!/usr/bin/env bash
# Builds what the scripts start: the deploy file's build, and the stand-ins.
set -eu
cd "$(dirname "$0")/.."
bash scripts/build-node
python3 -m compileall -q review/standins review/harness.py
