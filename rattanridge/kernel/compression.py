"""Documents in compressed form, as nodes send them to one another."""

import zlib

from rattanridge.kernel import codes

LEVEL = 1  # the fastest; configurations repeat themselves enough for it


def compress(data: bytes) -> bytes:
    """Return a document compressed."""
    return zlib.compress(data, LEVEL)


def decompress(data: bytes, limit: int) -> bytes:
    """Return a document that was compressed.

    Raises ``bad-field`` if it is unreadable, cut, or longer than ``limit`` bytes.
    """
    reader = zlib.decompressobj()
    try:
        found = reader.decompress(data, limit)
    except zlib.error as error:
        raise codes.Failure(codes.BAD_FIELD, str(error), where="packed document")
    if not reader.eof:
        raise codes.Failure(codes.BAD_FIELD, "cut or too long", where="packed document")
    return found
