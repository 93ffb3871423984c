"""Bounds on what a request contains beside its body: head, chunk framing, trailers.

The HTTP library bounds single lines and the number of headers. It keeps the rest of an
unfinished head without a bound, and counts neither chunk extensions nor trailers.
"""

import sys

import aiohttp.http
import aiohttp.streams

# A parser fed with more takes up to 1 MB for tiny chunks before they are collected.
CHUNKED_PIECE_BYTES = 8_192
# "1\r\nx\r\n" has 5 bytes of framing for one of body; some clients pad the size.
FRAMING_BYTES_PER_BODY_BYTE = 8


class Framing:
    """Counts the bytes of a connection that belong to no body.

    :param limit: bytes of a head, and of trailers or framing without a body.
    """

    __slots__ = ("base", "chunked", "head", "limit", "payload", "received")

    def __init__(self, limit: int):
        self.limit = limit
        self.head = 0
        self.payload: aiohttp.streams.StreamReader | None = None
        self.chunked = False
        self.received = 0
        self.base = 0

    def in_body(self) -> bool:
        """Return whether the body of a request is being received."""
        return self.payload is not None and not self.payload.is_eof()

    def next_size(self) -> int:
        """Return how many bytes the parser may get next."""
        if not self.in_body():
            return self.limit - self.head
        return CHUNKED_PIECE_BYTES if self.chunked else sys.maxsize

    def begin(self, payload: aiohttp.streams.StreamReader, chunked: bool) -> None:
        """Begin the body of a request whose head is complete."""
        self.head = 0
        self.received = 0
        self.payload = payload
        self.chunked = chunked
        self.base = payload.total_bytes

    def add_head(self, size: int) -> bool:
        """Count bytes of an unfinished head; return whether it is within the limit."""
        self.head += size
        return self.head < self.limit

    def add_body(self, size: int) -> bool:
        """Count bytes of a body with its framing; return whether that is in bounds."""
        if not self.chunked or self.payload is None or self.payload.is_eof():
            return True
        self.received += size
        body = self.payload.total_bytes - self.base
        return self.received - body <= self.limit + body * FRAMING_BYTES_PER_BODY_BYTE


def head_size(message: object) -> int:
    """Return the bytes that a parsed head takes, about; 0 for a malformed request."""
    if not isinstance(message, aiohttp.http.RawRequestMessage):
        return 0
    fields = sum(len(name) + len(value) for name, value in message.raw_headers)
    return len(message.path) + fields
