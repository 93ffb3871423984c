"""Decodes the parts of a JSON document one by one, by the parts of its type.

The library decodes a document whole or not at all. This is slower, and tells which part
does not match.
"""

import collections.abc
import functools
import types
import typing

import msgspec

Data = bytes | bytearray | msgspec.Raw

NULL = b"null"
LEFT_OUT = object()  # in place of the value of a field that is not used


class TolerantStruct(msgspec.Struct):
    """A struct that is used even if some of its values cannot be.

    An optional field that is null counts as left out. So does one whose value does not
    match its type, and ``PartsDecoder.left_out`` then names it.

    :cvar needed: attributes of optional fields that have to match if they are there
        and not null.
    """

    needed: typing.ClassVar[frozenset[str]] = frozenset()


class PartsDecoder:
    """Decodes one document; each method raises ``msgspec.ValidationError``.

    ``left_out`` has the place and the error of each value that is not used.
    """

    def __init__(self) -> None:
        self.left_out: list[str] = []
        self.place: list[str] = []

    def decode(self, data: Data, target_type: typing.Any) -> typing.Any:
        """Return JSON decoded into a type, by its parts if the whole does not match."""
        try:
            return msgspec.json.decode(data, type=target_type)
        except msgspec.ValidationError as error:
            return self.decode_parts(data, target_type, error)

    def decode_parts(
        self, data: Data, target_type: typing.Any, error: msgspec.ValidationError
    ) -> typing.Any:
        """Return JSON decoded part by part.

        :param error: raised if the type has no parts.
        """
        if isinstance(target_type, type) and issubclass(target_type, msgspec.Struct):
            return self.decode_struct(data, target_type)
        decoder = DECODERS.get(typing.get_origin(target_type) or target_type)
        if decoder is None:
            raise error
        return decoder(self, data, target_type)

    def decode_item(
        self, place: str, data: Data, target_type: typing.Any
    ) -> typing.Any:
        """Return a part decoded.

        :param place: where it is in the whole, for ``left_out``.
        """
        self.place.append(place)
        try:
            return self.decode(data, target_type)
        finally:
            self.place.pop()

    def decode_whole_number(self, data: Data, target_type: typing.Any) -> int:
        """Return a whole number in any form, as ``6.0`` or ``6e0``."""
        number = msgspec.json.decode(data, type=float)
        if not number.is_integer():
            raise msgspec.ValidationError(f"{number} is not a whole number")
        return int(number)

    def decode_struct(
        self, data: Data, target_type: type[msgspec.Struct]
    ) -> typing.Any:
        """Return a JSON object, or array, as a struct.

        Unknown fields are ignored, unless the struct forbids them.
        """
        found = named_parts(data, target_type)
        check_unknown(found, target_type)
        if issubclass(target_type, TolerantStruct):
            found = without_null(found, target_type)
            try:
                # Null is the only fault of most documents.
                return msgspec.json.decode(msgspec.json.encode(found), type=target_type)
            except msgspec.ValidationError:
                pass
        values = {}
        for field in fields_of(target_type):
            if field.encode_name in found:
                part = found[field.encode_name]
                values[field.name] = self.decode_field(part, field, target_type)
            elif field.required:
                raise msgspec.ValidationError(f"no field {field.encode_name}")
        used = {name: value for name, value in values.items() if value is not LEFT_OUT}
        return target_type(**used)

    def decode_field(
        self,
        part: msgspec.Raw,
        field: msgspec.structs.FieldInfo,
        target_type: type[msgspec.Struct],
    ) -> typing.Any:
        """Return the value of a field of a struct; ``LEFT_OUT`` if it is not used."""
        try:
            return self.decode_item(f".{field.encode_name}", part, field.type)
        except msgspec.ValidationError as error:
            if field.required or not is_tolerant(target_type, field.name):
                raise
            self.record_left_out(field.encode_name, error)
            return LEFT_OUT

    def record_left_out(self, name: str, error: msgspec.ValidationError) -> None:
        """Record that the value of a field is not used."""
        self.left_out.append(f"{''.join(self.place)}.{name}: {error}")

    def decode_list(self, data: Data, target_type: typing.Any) -> list:
        """Return a JSON array as a list."""
        (item_type,) = typing.get_args(target_type)
        items = msgspec.json.decode(data, type=list[msgspec.Raw])
        return [
            self.decode_item(f"[{index}]", item, item_type)
            for index, item in enumerate(items)
        ]

    def decode_tuple(self, data: Data, target_type: typing.Any) -> tuple:
        """Return a JSON array as a tuple, of any length if its type ends in ``...``."""
        arguments = typing.get_args(target_type)
        items = msgspec.json.decode(data, type=list[msgspec.Raw])
        if arguments[1:] == (...,):
            arguments = arguments[:1] * len(items)
        if len(items) != len(arguments):
            raise msgspec.ValidationError(f"{len(items)} items, not {len(arguments)}")
        return tuple(
            self.decode_item(f"[{index}]", item, arguments[index])
            for index, item in enumerate(items)
        )

    def decode_dict(self, data: Data, target_type: typing.Any) -> dict:
        """Return a JSON object as a dictionary."""
        key_type, item_type = typing.get_args(target_type)
        found = msgspec.json.decode(data, type=dict[str, msgspec.Raw])
        return {
            msgspec.convert(name, key_type): self.decode_item(
                f".{name}", item, item_type
            )
            for name, item in found.items()
        }

    def decode_union(self, data: Data, target_type: typing.Any) -> typing.Any:
        """Return JSON as the first type of a union that it matches."""
        *others, last = typing.get_args(target_type)
        for item_type in others:
            try:
                return self.decode(data, item_type)
            except msgspec.ValidationError:
                continue
        return self.decode(data, last)

    def decode_annotated(self, data: Data, target_type: typing.Any) -> typing.Any:
        """Return JSON as a type with constraints, which are checked."""
        value = self.decode(data, typing.get_args(target_type)[0])
        return msgspec.convert(value, target_type)


Decoder = collections.abc.Callable[[PartsDecoder, Data, typing.Any], typing.Any]
# By the origin of a type without its arguments.
DECODERS: dict[typing.Any, Decoder] = {
    int: PartsDecoder.decode_whole_number,
    list: PartsDecoder.decode_list,
    tuple: PartsDecoder.decode_tuple,
    dict: PartsDecoder.decode_dict,
    typing.Union: PartsDecoder.decode_union,
    types.UnionType: PartsDecoder.decode_union,
    typing.Annotated: PartsDecoder.decode_annotated,
}


@functools.cache
def fields_of(
    target_type: type[msgspec.Struct],
) -> tuple[msgspec.structs.FieldInfo, ...]:
    """Return the fields of a struct, in their order."""
    return msgspec.structs.fields(target_type)


def is_tolerant(target_type: type[msgspec.Struct], name: str) -> bool:
    """Return whether a struct is used without a field that does not match."""
    return issubclass(target_type, TolerantStruct) and name not in target_type.needed


def check_unknown(
    parts: dict[str, msgspec.Raw], target_type: type[msgspec.Struct]
) -> None:
    """Raise if a struct that forbids unknown fields has one."""
    if not target_type.__struct_config__.forbid_unknown_fields:
        return
    unknown = parts.keys() - {field.encode_name for field in fields_of(target_type)}
    if unknown:
        raise msgspec.ValidationError(f"unknown field {min(unknown)}")


def without_null(
    parts: dict[str, msgspec.Raw], target_type: type[msgspec.Struct]
) -> dict[str, msgspec.Raw]:
    """Return the parts of a struct without the optional ones that are null."""
    required = {field.encode_name for field in fields_of(target_type) if field.required}
    return {
        name: part
        for name, part in parts.items()
        if name in required or bytes(part) != NULL
    }


def named_parts(
    data: Data, target_type: type[msgspec.Struct]
) -> dict[str, msgspec.Raw]:
    """Return the parts of a struct by name; an array holds them in their order."""
    if not target_type.__struct_config__.array_like:
        return msgspec.json.decode(data, type=dict[str, msgspec.Raw])
    items = msgspec.json.decode(data, type=list[msgspec.Raw])
    names = [field.encode_name for field in fields_of(target_type)]
    return dict(zip(names, items, strict=False))
