#!/bin/sh
# Builds the stand-ins that the scripts of the second review start, after the build of
# deploy/system.toml: they are Python programs, so they are compiled and tried once.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q review/lab2.py
python3 review/lab2.py --help >/dev/null
PYTHONPATH=target/deps python3 -m rattanridge standin platform --help >/dev/null
PYTHONPATH=target/deps:review python3 -c "import lab"
