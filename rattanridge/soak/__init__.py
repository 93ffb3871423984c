"""Fault soak: runs real processes on one machine under faults and checks promises."""
