"""Platform headers in requests and answers of callers and upstreams."""

import math
import re

ATTEMPT = "Attempt-Id"  # id of one attempt; a client's retry gets a new one
DEADLINE = "Deadline-Ms"  # milliseconds for which the sender still waits
SIGNATURE = "Response-Signature"  # the upstream's signature over its answer
ENDPOINT = "Target-Instance"  # endpoint id; any other endpoint answers 421
INSTANCE = "Instance-Id"  # endpoint id in the answer to a health check
NOT_RUN = "Not-Executed"  # the upstream did not start work on the request
LIMIT = "Server-Limit"  # requests per second that the upstream takes from all nodes
LEAVING = "Server-Leaving"  # "1" in all answers of an upstream that is about to leave
COLD = "Cold-Ms"  # milliseconds for which the upstream is still cold
CALLER = "Caller-Service"  # service of the host that sent the first request
AUTHORIZATION = "Authorization"  # of a caller: "Token", a space, and a key
ACCOUNT = "Tenant-Id"  # name of the client account that a request belongs to

DEADLINE_CHARACTERS = 32
MAX_DEADLINE_MS = 999_999_999
NUMBER = re.compile(r"\d+(\.\d+)?([eE][+-]?\d+)?", re.ASCII)  # as in JSON
LEAVING_VALUE = "1"

KEY_SCHEME = "Token"
PARENT_SEPARATOR = "."


def parent_of(attempt: str) -> str:
    """Return the id of the request on whose behalf a call is made; empty if none.

    When an upstream makes a call while it runs a request, the call's id is the
    request's id with a further part after the last separator.
    """
    return attempt.rpartition(PARENT_SEPARATOR)[0]


def parse_key(text: str | None) -> str:
    """Return the key in an authorization header; empty if there is none."""
    if not text:
        return ""
    scheme, _, key = text.partition(" ")
    return key.strip() if scheme.lower() == KEY_SCHEME.lower() else ""


def parse_deadline(text: str | None) -> float | None:
    """Return the seconds left by a deadline header; None if it is absent or invalid.

    Its milliseconds may have a fraction or an exponent, as any number.
    """
    if not text or len(text) > DEADLINE_CHARACTERS:
        return None
    if not text.isdecimal() and not NUMBER.fullmatch(text):
        return None
    milliseconds = float(text)
    return milliseconds / 1000 if milliseconds <= MAX_DEADLINE_MS else None


def parse_cold(text: str | None) -> float | None:
    """Return the seconds in the header of a cold upstream; None if unreadable."""
    found = parse_rate(text) if text else None
    return found / 1000 if found is not None else None


def parse_limit(values: list[str]) -> float | None:
    """Return the requests per second in limit headers; None if none is readable.

    The lowest one counts if there are several.
    """
    found = [parse_rate(part) for value in values for part in value.split(",")]
    return min((rate for rate in found if rate is not None), default=None)


def parse_rate(text: str) -> float | None:
    """Return a rate that is finite and not negative; None if the text is none."""
    try:
        rate = float(text)
    except ValueError:
        return None
    return rate if math.isfinite(rate) and rate >= 0 else None


def format_deadline(seconds: float) -> str:
    """Format seconds for a deadline header: whole milliseconds, at least 1."""
    return str(max(int(seconds * 1000), 1))
