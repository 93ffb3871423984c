"""Decoding of JSON from sources that may send anything.

JSON has one kind of number: ``6``, ``6.0`` and ``6e0`` are the same. The library takes
only the first of them for an ``int``; here all are read.
"""

import collections.abc
import types
import typing

import msgspec

from rattanridge.kernel import codes

T = typing.TypeVar("T")

# Errors of the library for data that are malformed or do not match a type.
ERRORS = (msgspec.MsgspecError, RecursionError, UnicodeDecodeError)


def decode(data: bytes | bytearray | msgspec.Raw, target_type: type[T]) -> T:
    """Return JSON decoded into a type; raise one of ``ERRORS`` if it does not match.

    The parts of a document are read one by one only if the whole does not match.
    """
    try:
        return msgspec.json.decode(data, type=target_type)
    except msgspec.ValidationError as error:
        try:
            return decode_parts(data, target_type)
        except msgspec.ValidationError:
            # Unlike the error of a part, this one tells the place in the document.
            raise error


def decode_or_none(data: bytes | bytearray, target_type: type[T]) -> T | None:
    """Return JSON decoded into a type; None if it is malformed or does not match."""
    try:
        return decode(data, target_type)
    except ERRORS:
        return None


def decode_or_fail(data: bytes | bytearray, target_type: type[T], where: str) -> T:
    """Return JSON decoded into a type; raise ``bad-field`` if it does not match.

    :param where: what the data are, for the error message.
    """
    try:
        return decode(data, target_type)
    except ERRORS as error:
        raise codes.Failure(codes.BAD_FIELD, str(error), where=where)


def decode_parts(
    data: bytes | bytearray | msgspec.Raw, target_type: type
) -> typing.Any:
    """Return JSON whose parts are decoded one by one into the parts of a type."""
    if target_type is int:
        return decode_whole_number(data)
    if isinstance(target_type, type) and issubclass(target_type, msgspec.Struct):
        return decode_struct(data, target_type)
    decoder = DECODERS.get(typing.get_origin(target_type) or target_type)
    if decoder is None:
        raise msgspec.ValidationError(f"not a {target_type}")
    return decoder(data, typing.get_args(target_type))


def decode_whole_number(data: bytes | bytearray | msgspec.Raw) -> int:
    """Return a whole number in any form, as ``6.0`` or ``6e0``."""
    number = msgspec.json.decode(data, type=float)
    if not number.is_integer():
        raise msgspec.ValidationError("not a whole number")
    return int(number)


def decode_struct(
    data: bytes | bytearray | msgspec.Raw, target_type: type
) -> typing.Any:
    """Return a JSON object, or array, decoded into a struct; the rest is ignored."""
    fields = msgspec.structs.fields(target_type)
    found = named_parts(data, target_type, fields)
    values = {}
    for field in fields:
        if field.encode_name in found:
            values[field.name] = decode(found[field.encode_name], field.type)
        elif field.required:
            raise msgspec.ValidationError(f"no field {field.encode_name}")
    return target_type(**values)


def named_parts(
    data: bytes | bytearray | msgspec.Raw,
    target_type: type[msgspec.Struct],
    fields: tuple[msgspec.structs.FieldInfo, ...],
) -> dict[str, msgspec.Raw]:
    """Return the parts of a struct by name; an array holds them in their order."""
    if not target_type.__struct_config__.array_like:
        return msgspec.json.decode(data, type=dict[str, msgspec.Raw])
    items = msgspec.json.decode(data, type=list[msgspec.Raw])
    names = [field.encode_name for field in fields]
    return dict(zip(names, items, strict=False))


def decode_list(data: bytes | bytearray | msgspec.Raw, arguments: tuple) -> list:
    """Return a JSON array decoded into a list."""
    items = msgspec.json.decode(data, type=list[msgspec.Raw])
    return [decode(item, arguments[0]) for item in items]


def decode_tuple(data: bytes | bytearray | msgspec.Raw, arguments: tuple) -> tuple:
    """Return a JSON array decoded into a tuple, of any length after ``...``."""
    items = msgspec.json.decode(data, type=list[msgspec.Raw])
    if arguments[1:] == (...,):
        arguments = arguments[:1] * len(items)
    if len(items) != len(arguments):
        raise msgspec.ValidationError(f"{len(items)} items, not {len(arguments)}")
    pairs = zip(items, arguments, strict=True)
    return tuple(decode(item, item_type) for item, item_type in pairs)


def decode_dict(data: bytes | bytearray | msgspec.Raw, arguments: tuple) -> dict:
    """Return a JSON object decoded into a dictionary with text as its keys."""
    found = msgspec.json.decode(data, type=dict[str, msgspec.Raw])
    return {name: decode(item, arguments[1]) for name, item in found.items()}


def decode_union(data: bytes | bytearray | msgspec.Raw, arguments: tuple) -> typing.Any:
    """Return JSON decoded into the first type of a union that it matches."""
    for item_type in arguments:
        try:
            return decode(data, item_type)
        except msgspec.ValidationError:
            continue
    raise msgspec.ValidationError("matches no type of the union")


Decoder = collections.abc.Callable[[bytes | bytearray | msgspec.Raw, tuple], typing.Any]
DECODERS: dict[typing.Any, Decoder] = {
    list: decode_list,
    tuple: decode_tuple,
    dict: decode_dict,
    typing.Union: decode_union,
    types.UnionType: decode_union,
}
