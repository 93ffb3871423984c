"""Kernel: settings, result codes, registries, clocks, logs, counters, snapshots."""
