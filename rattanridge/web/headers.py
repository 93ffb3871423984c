"""Names of the system's own headers, and which headers travel on."""

import functools

PREFIX = "rattanridge-"
CODE = "Rattanridge-Code"
RAN = "Rattanridge-Ran"
RECORDED = "Rattanridge-Recorded"  # 1: a repeat got the recorded answer
CALL = "Rattanridge-Call"  # node to node: what the exit needs to know of a call
ANSWER = "Rattanridge-Answer"  # node to node: what the entry needs to know
NODE = "Rattanridge-Node"  # node to node: name of the sender
TOKEN = "Rattanridge-Token"  # node to node: proves the shared key

# Hop-by-hop headers of RFC 9110, and those that the HTTP library writes itself.
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
    """Whether a header never travels on."""
    lower = name.lower()
    return lower in HOP_BY_HOP or lower.startswith(PREFIX)


def host_of(value: str) -> str:
    """Return the host that a ``Host`` header names, without port, lower case."""
    if value.startswith("["):
        return value.partition("]")[0].lower() + "]"
    return value.partition(":")[0].rstrip(".").lower()
