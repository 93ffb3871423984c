#!/bin/sh
# Checks that all that the scripts start can be loaded after the build of the deploy
# file. The stand-ins are Python; none has to be compiled.
cd "$(dirname "$0")/.." || exit 2
export PYTHONPATH="target/deps:."
python3 -m rattanridge standin platform --help > /dev/null || exit 1
python3 -c "import rattanridge.daemon" || exit 1
python3 -m py_compile review/lab3.py review/1[1-5]/case.py
