"""Fault soak: real processes on one machine, faults from outside, promises checked."""
