"""Decoding of JSON from sources that may send anything.

JSON has one kind of number: ``6``, ``6.0`` and ``6e0`` are the same. The library takes
only the first of them for an ``int``; here all are read.
"""

import typing

import msgspec

from rattanridge.kernel import codes, json_parts

T = typing.TypeVar("T")

# Errors of the library for data that are malformed or do not match a type.
ERRORS = (msgspec.MsgspecError, RecursionError, UnicodeDecodeError)


def decode(data: json_parts.Data, target_type: type[T]) -> T:
    """Return JSON decoded into a type; raise one of ``ERRORS`` if it does not match."""
    return decode_with_gaps(data, target_type)[0]


def decode_with_gaps(
    data: json_parts.Data, target_type: type[T]
) -> tuple[T, list[str]]:
    """Return JSON decoded into a type, and the values that are not used.

    Raise one of ``ERRORS`` if it does not match. The parts of a document are read one
    by one only if the whole does not match; see ``json_parts.TolerantStruct``.
    """
    try:
        return msgspec.json.decode(data, type=target_type), []
    except msgspec.ValidationError as error:
        parts = json_parts.PartsDecoder()
        try:
            return parts.decode_parts(data, target_type, error), parts.left_out
        except msgspec.ValidationError:
            # Unlike the error of a part, this one tells the place in the document.
            raise error


def decode_or_none(data: json_parts.Data, target_type: type[T]) -> T | None:
    """Return JSON decoded into a type; None if it is malformed or does not match."""
    try:
        return decode(data, target_type)
    except ERRORS:
        return None


def decode_or_fail(data: json_parts.Data, target_type: type[T], where: str) -> T:
    """Return JSON decoded into a type; raise ``bad-field`` if it does not match.

    :param where: what the data are, for the error message.
    """
    try:
        return decode(data, target_type)
    except ERRORS as error:
        raise codes.Failure(codes.BAD_FIELD, str(error), where=where)
