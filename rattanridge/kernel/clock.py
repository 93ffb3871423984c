"""The time that passes, also while the host is suspended."""

import time


def seconds_since_boot() -> float:
    """Return seconds since the host's start. The loop's clock stands still while the
    host is suspended; what other nodes may do meanwhile has to count."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
