"""A clock that also runs while the host is suspended."""

import time


def seconds_since_boot() -> float:
    """Return the seconds since the host booted, including time spent suspended.

    The event loop's clock stops during a suspension, while other nodes keep acting;
    use this clock for limits that must include what they did in that time.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
