"""Command line interface: one module for each command or group of commands."""
