"""Idempotency-key sources: where the key of a request comes from."""

import abc

import msgspec
import multidict

from rattanridge.kernel import routes

KEY_LENGTH_MOST = 256  # characters; a longer one counts as missing


class Source(abc.ABC):
    """Reads a request's key.

    :param name: the header or field that the preset names.
    """

    def __init__(self, name: str):
        self.name = name

    @abc.abstractmethod
    def read(self, headers: multidict.CIMultiDict, body: bytes) -> str:
        """Return the key; an empty string if the request has none."""


@routes.KEY_SOURCES.register("header")
class Header(Source):
    """The value of one header."""

    def read(self, headers: multidict.CIMultiDict, body: bytes) -> str:
        return bounded(headers.get(self.name, "").strip())


@routes.KEY_SOURCES.register("json-field")
class JsonField(Source):
    """A text or whole number in a JSON body; dots lead into objects."""

    def read(self, headers: multidict.CIMultiDict, body: bytes) -> str:
        try:
            value = msgspec.json.decode(body)
        except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError):
            return ""
        for step in self.name.split("."):
            if not isinstance(value, dict):
                return ""
            value = value.get(step)
        if isinstance(value, bool) or not isinstance(value, str | int):
            return ""
        return bounded(str(value))


def read(source: routes.KeySource, headers: multidict.CIMultiDict, body: bytes) -> str:
    """Return the key that a source finds; an empty string if there is none."""
    return routes.KEY_SOURCES.get(source.source)(source.name).read(headers, body)


def bounded(text: str) -> str:
    """Return a key; empty if it is too long."""
    return text if len(text) <= KEY_LENGTH_MOST else ""
