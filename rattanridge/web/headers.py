"""The system's own HTTP headers, and rules for forwarding headers."""

import functools

PREFIX = "rattanridge-"
CODE = "Rattanridge-Code"
RAN = "Rattanridge-Ran"
RECORDED = "Rattanridge-Recorded"  # 1: answer recorded for an earlier attempt
CALL = "Rattanridge-Call"  # between nodes: data of a call for the exit node
ANSWER = "Rattanridge-Answer"  # between nodes: data of an answer for the entry node
REFUSED = "Rattanridge-Refused"  # between nodes: percentage refused, by rank
# Between nodes: what the endpoint announced in its answers, as the sender knows it.
ANNOUNCED = "Rattanridge-Announced"
# Between nodes: what a cold endpoint may still get, only while it is cold.
COLD = "Rattanridge-Cold"
# Between nodes: revision of the last change of an evacuation that the sender knows.
ZONES = "Rattanridge-Zones"
# Between nodes: milliseconds since the version of the configuration at the sender was
# known to be the newest.
KNOWN = "Rattanridge-Known"
NODE = "Rattanridge-Node"  # between nodes: name of the sending node
TOKEN = "Rattanridge-Token"  # between nodes: proof of the shared key

# Hop-by-hop headers of RFC 9110, and headers that the HTTP library writes itself.
HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    )
)


@functools.lru_cache(maxsize=4096)
def is_dropped(name: str) -> bool:
    """Return whether a header must not be forwarded."""
    lower = name.lower()
    return lower in HOP_BY_HOP or lower.startswith(PREFIX)


def host_of(value: str) -> str:
    """Return the host of a ``Host`` header in lower case, without port or final dot."""
    if value.startswith("["):
        return value.partition("]")[0].lower() + "]"
    return value.partition(":")[0].rstrip(".").lower()
