"""Names of the system's own headers, and which headers travel on."""

import multidict

PREFIX = "rattanridge-"
CODE = "Rattanridge-Code"
RAN = "Rattanridge-Ran"
DEADLINE = "Rattanridge-Deadline"  # milliseconds left
RETRY = "Rattanridge-Retry"  # 1: a hop before this one retries
TOKEN = "Rattanridge-Token"
NODE = "Rattanridge-Node"
LOAD = "Rattanridge-Load"  # running/queued at the exit
PRIORITY = "Rattanridge-Priority"
TARGET = "Rattanridge-Target"  # service of the endpoint that the entry chose
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
    named = source.get("Connection")
    listed = {item.strip() for item in named.lower().split(",")} if named else ()
    kept = multidict.CIMultiDict()
    for name, value in source.items():
        lower = name.lower()
        if lower in HOP_BY_HOP or lower.startswith(PREFIX) or lower in listed:
            continue
        kept.add(name, value if value.isascii() else make_writable(value))
    return kept


def make_writable(value: str) -> str:
    """Return a value whose bytes can be written: bytes that are not UTF-8 are
    taken as Latin-1, which older programs send."""
    return value.encode("utf-8", "surrogateescape").decode(
        "utf-8" if is_text(value) else "latin-1"
    )


def is_text(value: str) -> bool:
    """Whether a string came from bytes that were UTF-8."""
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True
