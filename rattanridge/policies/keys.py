"""Idempotency-key sources: where the key of a request comes from."""

import abc
import hashlib

import msgspec
import multidict

from rattanridge.kernel import presets

KEY_LENGTH_MOST = 256  # characters; a longer one counts as missing


class Request(msgspec.Struct):
    """What a key source sees of a request.

    :param path: path and query.
    :param caller: who sent it: an IP number, for calls of an upstream its node.
    """

    method: str
    path: str
    headers: multidict.CIMultiDict
    body: bytes
    caller: str


class Source(abc.ABC):
    """Reads a request's key.

    :param name: the header or field that the preset names.
    """

    needs_name = True

    def __init__(self, name: str):
        self.name = name

    @abc.abstractmethod
    def read(self, request: Request) -> str:
        """Return the key; an empty string if the request has none."""


@presets.KEY_SOURCES.register("header")
class Header(Source):
    """The value of one header."""

    def read(self, request: Request) -> str:
        return bounded(request.headers.get(self.name, "").strip())


@presets.KEY_SOURCES.register("json-field")
class JsonField(Source):
    """A text or whole number in a JSON body; dots lead into objects."""

    def read(self, request: Request) -> str:
        try:
            value = msgspec.json.decode(request.body)
        except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError):
            return ""
        for step in self.name.split("."):
            if not isinstance(value, dict):
                return ""
            value = value.get(step)
        if isinstance(value, bool) or not isinstance(value, str | int):
            return ""
        return bounded(str(value))


@presets.KEY_SOURCES.register("fingerprint")
class Fingerprint(Source):
    """A hash over method, path, body and caller."""

    needs_name = False

    def read(self, request: Request) -> str:
        state = hashlib.blake2b(digest_size=16)
        for part in (request.method, request.path, request.caller):
            data = part.encode()
            state.update(len(data).to_bytes(4, "big") + data)
        state.update(request.body)
        return state.hexdigest()


def bounded(text: str) -> str:
    """Return a key; empty if it is too long."""
    return text if len(text) <= KEY_LENGTH_MOST else ""
