"""Names of the system's own headers, and which headers travel on."""

import functools

import multidict

PREFIX = "rattanridge-"
CODE = "Rattanridge-Code"
RAN = "Rattanridge-Ran"
DEADLINE = "Rattanridge-Deadline"  # milliseconds left
RETRY = "Rattanridge-Retry"  # 1: a hop before this one retries
TOKEN = "Rattanridge-Token"
NODE = "Rattanridge-Node"
LOAD = "Rattanridge-Load"  # running/queued at the exit
SPENT = "Rattanridge-Spent"  # microseconds that the upstream took
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


@functools.lru_cache(maxsize=4096)
def is_dropped(name: str) -> bool:
    """Whether a header never travels on."""
    lower = name.lower()
    return lower in HOP_BY_HOP or lower.startswith(PREFIX)


def forwardable(source: multidict.CIMultiDictProxy) -> multidict.CIMultiDict:
    """Copy the headers that travel on: neither hop-by-hop nor the system's own."""
    kept = multidict.CIMultiDict(source)
    for named in source.getall("Connection", ()):
        for item in named.split(","):
            kept.popall(item.strip(), None)
    for name, value in source.items():
        if is_dropped(name):
            kept.popall(name, None)
        elif not value.isascii():
            rewrite(kept, name)
    return kept


def rewrite(kept: multidict.CIMultiDict, name: str) -> None:
    """Replace a header's values by ones that can be written."""
    values = kept.popall(name, ())
    for value in values:
        kept.add(name, make_writable(value))


def make_writable(value: str) -> str:
    """Return a value whose bytes can be written: bytes that are not UTF-8 are
    taken as Latin-1, which older programs send."""
    try:
        value.encode()
        return value
    except UnicodeEncodeError:
        return value.encode("utf-8", "surrogateescape").decode("latin-1")


def host_of(value: str) -> str:
    """Return the host that a ``Host`` header names, without port, lower case."""
    if value.startswith("["):
        return value.partition("]")[0].lower() + "]"
    return value.partition(":")[0].rstrip(".").lower()
