"""Reading of documents from files, and decoding of those that are JSON."""

import json
import pathlib
import typing

import msgspec

from rattanridge.kernel import codes

T = typing.TypeVar("T")

MAX_DOCUMENT_BYTES = 1_000_000


def read(path: str) -> str:
    """Return a file's text; raise a ``codes.Failure`` if it cannot be read."""
    try:
        data = pathlib.Path(path).read_bytes()
    except OSError as error:
        raise codes.Failure(codes.NO_FILE, error.strerror or "", where=path)
    if len(data) > MAX_DOCUMENT_BYTES:
        raise codes.Failure(
            codes.TOO_LARGE,
            f"{len(data)} bytes; the limit is {MAX_DOCUMENT_BYTES}",
            where=path,
        )
    try:
        return data.decode()
    except UnicodeDecodeError as error:
        raise codes.Failure(codes.BAD_YAML, str(error), where=path)


def decode_json(text: str, target_type: type[T]) -> T | None:
    """Decode a JSON document; return None if it is not one, or is invalid.

    JSON is also YAML: ``documents.decode`` reports what is wrong, and where.
    """
    if len(text) > MAX_DOCUMENT_BYTES:
        return None
    try:
        value = json.loads(
            text, object_pairs_hook=make_object, parse_constant=refuse_constant
        )
        return msgspec.convert(value, target_type)
    except (ValueError, RecursionError, msgspec.ValidationError):
        return None


def make_object(pairs: list[tuple[str, object]]) -> dict[str, object]:
    """Return a JSON object; raise ``ValueError`` if a key occurs twice."""
    found = dict(pairs)
    if len(found) < len(pairs):
        raise ValueError("duplicate key")
    return found


def refuse_constant(name: str) -> object:
    """Raise ``ValueError`` for ``NaN`` and infinities, which JSON does not have."""
    raise ValueError(name)
