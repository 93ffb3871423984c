"""Sources of idempotency keys: where the key of a request is read from."""

import abc

import msgspec
import multidict

from rattanridge.kernel import routes, untrusted_json

MAX_KEY_LENGTH = 256  # characters; a longer key counts as missing


class Source(abc.ABC):
    """Reads the idempotency key of a request.

    :param name: the header or JSON field that the preset names.
    """

    def __init__(self, name: str):
        self.name = name

    @abc.abstractmethod
    def read(self, headers: multidict.CIMultiDict, body: bytes | bytearray) -> str:
        """Return the key; an empty string if the request has none."""


@routes.KEY_SOURCES.register("header")
class Header(Source):
    """Reads the key from one header."""

    def read(self, headers: multidict.CIMultiDict, body: bytes | bytearray) -> str:
        return drop_if_too_long(headers.get(self.name, "").strip())


@routes.KEY_SOURCES.register("json-field")
class JsonField(Source):
    """Reads the key from a string or integer field of a JSON body.

    Dots in the name separate the fields of nested objects.
    """

    def read(self, headers: multidict.CIMultiDict, body: bytes | bytearray) -> str:
        try:
            value = msgspec.json.decode(body)
        except untrusted_json.ERRORS:
            return ""
        for field in self.name.split("."):
            if not isinstance(value, dict):
                return ""
            value = value.get(field)
        if isinstance(value, float) and value.is_integer():
            value = int(value)  # 6.0 is the same number as 6
        if isinstance(value, bool) or not isinstance(value, str | int):
            return ""
        return drop_if_too_long(str(value))


def read(
    source: routes.KeySource, headers: multidict.CIMultiDict, body: bytes | bytearray
) -> str:
    """Return the key that a source reads; an empty string if there is none."""
    return routes.KEY_SOURCES.get(source.source)(source.name).read(headers, body)


def drop_if_too_long(key: str) -> str:
    """Return the key; an empty string if it exceeds ``MAX_KEY_LENGTH``."""
    return key if len(key) <= MAX_KEY_LENGTH else ""
