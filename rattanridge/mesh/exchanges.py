"""Requests and responses of connections to upstreams and to other nodes."""

import asyncio
import collections
import collections.abc
import dataclasses

import aiohttp.http
import aiohttp.streams
import multidict

from rattanridge.mesh import response_limits
from rattanridge.web import memory, writing

ResponseMatcher = collections.abc.Callable[["Response"], bool]


@dataclasses.dataclass(slots=True)
class Response:
    """One whole response as it was received.

    :param closing: whether the peer closes the connection after it.
    """

    status: int
    headers: multidict.CIMultiDictProxy
    body: bytes | bytearray
    closing: bool = False


@dataclasses.dataclass(slots=True)
class Exchange:
    """One request that waits for its response.

    :param parser: parses what is received for it.
    :param received: counts the bytes held for it.
    :param matcher: returns whether a response belongs to the request; None if every
        response does.
    :param answered: future of its response.
    :param pending: responses that were not read whole yet.
    """

    parser: aiohttp.http.HttpResponseParser
    received: response_limits.ReceivedBytes
    matcher: ResponseMatcher | None
    answered: asyncio.Future[Response]
    pending: collections.deque["Pending"] = dataclasses.field(
        default_factory=collections.deque
    )


@dataclasses.dataclass(slots=True)
class Pending:
    """A response that was not read whole yet.

    :param payload: what the parser has not handed over of the body.
    :param body: what it has handed over, so that it joins no parts at the end.
    """

    message: aiohttp.http.RawResponseMessage
    payload: aiohttp.streams.StreamReader
    body: bytearray = dataclasses.field(default_factory=bytearray)

    def collect(self) -> None:
        """Move what was parsed of the body."""
        if self.payload.exception() is None and not self.payload.at_eof():
            self.body += self.payload.read_nowait(-1)

    def whole_body(self) -> bytes | bytearray:
        """Return the whole body; a long one is not copied."""
        body = self.body
        return bytes(body) if len(body) <= memory.SMALL_BODY_BYTES else body


def parse_idle_limit(response: Response) -> float | None:
    """Return the seconds that the peer keeps an idle connection; None if unknown."""
    text = response.headers.get("Keep-Alive", "")
    for part in text.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.strip().isdecimal():
            return float(value)
    return None


def write_request(
    method: str, path: str, headers: list[tuple[str, str]], body: bytes | bytearray
) -> bytes:
    """Return the bytes of a request, with a Content-Length where one is expected.

    A long body is not copied behind the head; ``rest_of`` returns it.
    """
    lines = [f"{method} {path} HTTP/1.1"]
    lines.extend(f"{name}: {value}" for name, value in headers)
    if body or method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        lines.append(f"Content-Length: {len(body)}")
    head = "\r\n".join(lines) + "\r\n\r\n"
    data = head.encode("utf-8", "surrogateescape")
    return data if len(body) > writing.PIECE_BYTES else data + body


def rest_of(body: bytes | bytearray) -> bytes | bytearray:
    """Return what ``write_request`` leaves of a body to write after its result."""
    return body if len(body) > writing.PIECE_BYTES else b""
