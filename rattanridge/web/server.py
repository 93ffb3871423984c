"""HTTP server of all the node's ports, with coded refusals of its own.

The library refuses some requests before any handler sees them, and answers for
a handler that fails. Here those answers carry the system's codes too.
"""

import asyncio
import collections.abc
import re
import typing

import aiohttp
import aiohttp.web
import aiohttp.web_protocol
import yarl

from rattanridge.kernel import codes
from rattanridge.web import responses

IDLE_SECONDS = 75.0  # that a connection may wait for its next request
FIRST_REQUEST_SECONDS = 10.0  # within which a new connection sends its first one
LINGER_SECONDS = 1.0  # for reading the rest of a refused body
SCHEMES = ("http", "https")
PLAIN_TARGET = re.compile(r"(/[A-Za-z0-9_~-][A-Za-z0-9._~-]*)*/?(\?[!-~]*)?")
DOT_SEGMENTS = frozenset((".", ".."))

Handler = collections.abc.Callable[
    [aiohttp.web.BaseRequest], collections.abc.Awaitable[aiohttp.web.StreamResponse]
]


class Limits(typing.Protocol):
    """Bounds of one port."""

    header_bytes: int
    connections: int


class Config(typing.Protocol):
    """The part of a node's settings that a port needs."""

    name: str
    limits: Limits


class Counters(typing.Protocol):
    """Counts events by name."""

    def add(self, name: str) -> None: ...


class Log(typing.Protocol):
    """Takes events; those that may come often, through ``note``."""

    def note(self, event: str, **fields: object) -> None: ...

    def error(self, event: str, **fields: object) -> None: ...


class Request(aiohttp.web.BaseRequest):
    """One request; its answer does not tell the library's name."""

    async def _prepare_hook(self, response: aiohttp.web.StreamResponse) -> None:
        # The library offers no other place after its own headers were added.
        if response.headers.get("Server") == aiohttp.http.SERVER_SOFTWARE:
            del response.headers["Server"]


class Protocol(aiohttp.web.RequestHandler):
    """One connection; refuses unreadable requests with a code."""

    __slots__ = ("server", "timer")

    def __init__(self, server: "Server", **options: object):
        super().__init__(server, **options)
        self.server = server
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        if not self.server.admit():
            transport.abort()
            return
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(FIRST_REQUEST_SECONDS, self.drop_silent)

    def connection_lost(self, error: BaseException | None) -> None:
        if self.timer is not None:
            self.timer.cancel()
        super().connection_lost(error)

    def drop_silent(self) -> None:
        """End a connection that sent no whole request head in time."""
        if not self._request_count and self.transport is not None:
            self.server.counters.add("http.dropped.silent")
            self.transport.abort()

    def handle_error(
        self,
        request: aiohttp.web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> aiohttp.web.StreamResponse:
        """Return the coded answer to an unreadable request or a failed handler."""
        if request.writer.output_size > 0:
            raise ConnectionError("the answer is cut")
        failure = self.server.failure_of(request, status, exc)
        response = responses.refuse(failure)
        response.force_close()
        return response

    def log_exception(self, *args: object, **more: object) -> None:
        """Log what the library could not handle as one line of our own."""
        error = more.get("exc_info")
        self.server.log.error("http-failed", why=describe(error or args))


class Server(aiohttp.web.Server):
    """Serves one port.

    :param handler: answers the requests that can be read.
    :param config: the node's settings, for the limits.
    :param counters: counts refusals by code and connections over the limit.
    """

    def __init__(
        self,
        handler: Handler,
        config: Config,
        counters: Counters,
        log: Log,
    ):
        super().__init__(
            self.handle, request_factory=self.make_request, handler_cancellation=True
        )
        self.handler = handler
        self.limits = config.limits
        self.counters = counters
        self.log = log

    def __call__(self) -> Protocol:
        return Protocol(
            self,
            loop=self._loop,
            access_log=None,
            max_line_size=self.limits.header_bytes,
            max_field_size=self.limits.header_bytes,
            auto_decompress=False,
            keepalive_timeout=IDLE_SECONDS,
            lingering_time=LINGER_SECONDS,
        )

    async def handle(
        self, request: aiohttp.web.BaseRequest
    ) -> aiohttp.web.StreamResponse:
        """Check what holds for every port, then answer the request."""
        check_target(request)
        return await self.handler(request)

    def admit(self) -> bool:
        """Whether one more connection is within the limit."""
        if len(self._connections) <= self.limits.connections:
            return True
        self.counters.add("http.dropped.connections")
        return False

    def make_request(
        self,
        message: aiohttp.http.RawRequestMessage,
        payload: aiohttp.StreamReader,
        protocol: aiohttp.web.RequestHandler,
        writer: object,
        task: asyncio.Task,
    ) -> aiohttp.web.BaseRequest:
        """Build a request; one in absolute form is turned into origin form."""
        if not message.path.startswith("/") and message.url.scheme in SCHEMES:
            message = to_origin_form(message)
        return Request(message, payload, protocol, writer, task, self._loop)

    def failure_of(
        self,
        request: aiohttp.web.BaseRequest,
        status: int,
        error: BaseException | None,
    ) -> codes.Failure:
        """Return the coded failure of a request that no handler answered."""
        if isinstance(error, codes.Failure):
            failure = error
        elif status < 500:
            failure = unreadable(error)
        else:
            failure = codes.Failure(
                codes.INTERNAL, type(error).__name__, ran=codes.Execution.UNKNOWN
            )
        self.counters.add(f"http.refused.{failure.code.name}")
        self.log.note(
            "http-refused",
            code=failure.code.number,
            method=request.method,
            caller=request.remote or "",
            why=describe(error),
        )
        return failure


def to_origin_form(
    message: aiohttp.http.RawRequestMessage,
) -> aiohttp.http.RawRequestMessage:
    """Return a message whose absolute target became a path and a Host header."""
    kept = message.headers.copy()
    kept["Host"] = message.url.raw_authority
    target = message.url.raw_path_qs
    return message._replace(
        path=target, url=yarl.URL(target, encoded=True), headers=kept
    )


def unreadable(error: BaseException | None) -> codes.Failure:
    """Return the failure for a request that the parser refused."""
    text = str(getattr(error, "message", ""))
    too_long = isinstance(error, aiohttp.http_exceptions.LineTooLong)
    if too_long or text.startswith("Too many headers"):
        return codes.Failure(codes.HEADERS_TOO_LARGE)
    return codes.Failure(codes.BAD_REQUEST)


def check_target(request: aiohttp.web.BaseRequest) -> None:
    """Refuse a target whose route would depend on who resolves it.

    Dot segments, backslashes and control characters mean different paths to
    different programs; then a request could match one route here and be run
    as another.
    """
    target = request.raw_path
    if not target.startswith("/") or "#" in target:
        raise codes.Failure(codes.BAD_REQUEST, "target")
    if PLAIN_TARGET.fullmatch(target):
        return
    path = request.path
    if "\\" in path or not path.isprintable():
        raise codes.Failure(codes.BAD_REQUEST, "target")
    if not DOT_SEGMENTS.isdisjoint(path.split("/")):
        raise codes.Failure(codes.BAD_REQUEST, "dot segment in the target")


def describe(error: object) -> str:
    """Return an error's type and first line, short enough for a log line."""
    first = str(error).partition("\n")[0][:200]
    return f"{type(error).__name__}: {first}"
