"""Decoding of JSON from sources that may send anything."""

import typing

import msgspec

T = typing.TypeVar("T")


def decode_or_none(data: bytes | bytearray, target_type: type[T]) -> T | None:
    """Return JSON decoded into a type; None if it is malformed or does not match."""
    try:
        return msgspec.json.decode(data, type=target_type)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError):
        return None
