#!/bin/sh
# The stand-ins of these cases are Python files beside this one: nothing to compile.
# Checks that they can be loaded with the libraries of the deploy file's build.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=target/deps:review python3 -c "import lab"
