"""Headers that callers and upstreams exchange with the system."""

ATTEMPT = "Attempt-Id"  # one sending of a request; a client's retry has a new one
DEADLINE = "Deadline-Ms"  # milliseconds that the sender still waits
SIGNATURE = "Response-Signature"  # the upstream's signature of its answer
ENDPOINT = "Target-Instance"  # endpoint id; any other endpoint refuses with 421
NOT_RUN = "Not-Executed"  # the upstream did not begin to work on the request
CALLER = "Caller-Service"  # service of the host where the request began

DEADLINE_DIGITS = 9

PARENT_SEPARATOR = "."


def parent_of(attempt: str) -> str:
    """Return the id of the request that a call was made for; empty if it has none.

    The id of a call that an upstream makes begins with that of the request
    which it runs.
    """
    return attempt.rpartition(PARENT_SEPARATOR)[0]


def parse_deadline(text: str | None) -> float | None:
    """Return the seconds that a deadline header leaves, or None if it is unusable."""
    if not text or len(text) > DEADLINE_DIGITS or not text.isdecimal():
        return None
    return int(text) / 1000


def format_deadline(seconds: float) -> str:
    """Return seconds as the whole milliseconds of a deadline header, at least 1."""
    return str(max(int(seconds * 1000), 1))
