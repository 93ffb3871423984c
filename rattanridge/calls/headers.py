"""Names of the system's own headers, and which headers travel on."""

import multidict

PREFIX = "rattanridge-"
CODE = "Rattanridge-Code"
RAN = "Rattanridge-Ran"
DEADLINE = "Rattanridge-Deadline"  # milliseconds left
RETRY = "Rattanridge-Retry"  # 1: some hop of the chain retries already
TOKEN = "Rattanridge-Token"
NODE = "Rattanridge-Node"
LOAD = "Rattanridge-Load"  # running/queued at the exit
PRIORITY = "Rattanridge-Priority"
TARGET = "Rattanridge-Target"  # endpoint that the entry chose
ONCE = "Rattanridge-Once"  # 1: the work must not run more than once
RECORDED = "Rattanridge-Recorded"  # 1: a repeat got the recorded answer

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


def forwardable(source: multidict.CIMultiDictProxy) -> multidict.CIMultiDict:
    """Copy the headers that travel on: neither hop-by-hop nor the system's own."""
    named = source.get("Connection", "").lower()
    listed = {item.strip() for item in named.split(",")} if named else set()
    kept = multidict.CIMultiDict()
    for name, value in source.items():
        lower = name.lower()
        if lower in HOP_BY_HOP or lower in listed or lower.startswith(PREFIX):
            continue
        kept.add(name, value)
    return kept
