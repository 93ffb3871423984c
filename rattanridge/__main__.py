"""Runs the command line as ``python -m rattanridge``."""

from rattanridge.cli import main

main.main(prog_name="rattanridge")
