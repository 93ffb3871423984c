"""Compression of the documents that nodes exchange."""

import zlib

from rattanridge.kernel import codes

LEVEL = 1  # fastest; enough because configurations are repetitive


def compress(data: bytes) -> bytes:
    """Return the data compressed with zlib."""
    return zlib.compress(data, LEVEL)


def decompress(data: bytes, limit: int) -> bytes:
    """Return decompressed data.

    Raise ``bad-field`` if the data is unreadable or truncated, or if the result is
    longer than ``limit`` bytes.
    """
    decompressor = zlib.decompressobj()
    try:
        document = decompressor.decompress(data, limit)
    except zlib.error as error:
        raise codes.Failure(codes.BAD_FIELD, str(error), where="compressed document")
    if not decompressor.eof:
        raise codes.Failure(
            codes.BAD_FIELD,
            f"truncated, or longer than {limit} bytes",
            where="compressed document",
        )
    return document
