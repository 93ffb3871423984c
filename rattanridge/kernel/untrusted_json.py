"""JSON from other programs, which may be anything."""

import typing

import msgspec

T = typing.TypeVar("T")


def decode_or_none(data: bytes, kind: type[T]) -> T | None:
    """Decode JSON into a type; None if it is unreadable."""
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError):
        return None
