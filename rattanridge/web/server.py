"""HTTP server for the ports of a node.

The HTTP library itself answers malformed requests and requests whose handler fails.
This server gives those answers the system's result codes, too.
"""

import asyncio
import collections.abc
import re
import typing

import aiohttp
import aiohttp.abc
import aiohttp.streams
import aiohttp.web_protocol
import aiohttp.web_request
import aiohttp.web_response
import aiohttp.web_server
import multidict
import yarl

from rattanridge.kernel import codes
from rattanridge.web import pipelining, receiving, responses

IDLE_SECONDS = 75.0  # until an idle connection is closed
FIRST_REQUEST_SECONDS = 10.0  # until a new connection must have sent a request
LINGER_SECONDS = 1.0  # for reading the rest of the body of a refused request
SCHEMES = ("http", "https")
PLAIN_TARGET = re.compile(r"(/[A-Za-z0-9_~-][A-Za-z0-9._~-]*)*/?(\?[!-~]*)?")
DOT_SEGMENTS = frozenset((".", ".."))

Handler = collections.abc.Callable[
    [aiohttp.web_request.BaseRequest],
    collections.abc.Awaitable[aiohttp.web_response.StreamResponse],
]


class Limits(typing.Protocol):
    """Limits of one port."""

    @property
    def header_bytes(self) -> int: ...

    @property
    def connections(self) -> int: ...


class Config(typing.Protocol):
    """The settings that a port uses."""

    name: str

    @property
    def limits(self) -> Limits: ...


class Counters(typing.Protocol):
    """Counters of events by name."""

    def add(self, name: str) -> None: ...


class Log(typing.Protocol):
    """Event log; ``note`` limits the rate of frequent events."""

    def note(self, event: str, **fields: object) -> None: ...

    def error(self, event: str, **fields: object) -> None: ...


class Request(aiohttp.web_request.BaseRequest):
    """A request whose response does not name the HTTP library."""

    async def _prepare_hook(
        self, response: aiohttp.web_response.StreamResponse
    ) -> None:
        # The library has no other hook after it has added its own headers.
        if response.headers.get("Server") == aiohttp.http.SERVER_SOFTWARE:
            del response.headers["Server"]


class Protocol(aiohttp.web_protocol.RequestHandler):
    """One connection; answers malformed requests with a result code."""

    __slots__ = ("ahead", "server", "timer")

    def __init__(self, server: "Server", **options: typing.Any):
        super().__init__(server, **options)
        self.server = server
        self.ahead = pipelining.Ahead()
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        receiving.limit_reads(transport)
        if not self.server.admit():
            typing.cast(asyncio.Transport, transport).abort()
            return
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(FIRST_REQUEST_SECONDS, self.abort_unused)

    def connection_lost(self, error: BaseException | None) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.ahead.cancel()
        super().connection_lost(error)

    def data_received(self, data: bytes) -> None:
        super().data_received(data)
        self.start_ahead()

    def start_ahead(self) -> None:
        """Start requests that wait behind another one, as far as they may.

        Those behind a request that may not start early itself may depend on it.
        """
        pipeline = self.server.pipeline
        current = self._current_request
        if pipeline is None or current is None or not self._messages:
            return
        if not current.keep_alive or not pipeline.may_start_early(current._message):
            return
        messages = [message for message, _ in self._messages]
        self.ahead.start(messages, pipeline, self.run_early)

    async def run_early(
        self, message: aiohttp.http.RawRequestMessage
    ) -> aiohttp.web_response.StreamResponse:
        """Return the answer to a request that waits for its turn."""
        writer = aiohttp.http.StreamWriter(self, self._loop)
        # The library has it as long as the connection is open.
        task = typing.cast(asyncio.Task, self._task_handler)
        request = self.server.make_request(
            message, aiohttp.streams.EMPTY_PAYLOAD, self, writer, task
        )
        return await self.server.run(request)

    def is_busy(self) -> bool:
        """Return whether a request, or its answer, is in progress.

        That is from the end of the request's head until the whole answer is written.
        """
        if self._request_in_progress or self._messages:
            return True
        transport = self.transport
        return transport is not None and transport.get_write_buffer_size() > 0

    def abort_unused(self) -> None:
        """Abort the connection unless it has sent a complete request head."""
        if not self._request_count and self.transport is not None:
            self.server.counters.add("http.dropped.silent")
            self.transport.abort()

    def handle_error(
        self,
        request: aiohttp.web_request.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> aiohttp.web_response.StreamResponse:
        """Return the coded answer to a malformed request or a failed handler.

        Raise ``ConnectionError`` if part of an answer was already sent.
        """
        if request.writer.output_size > 0:
            raise ConnectionError("the answer is cut")
        failure = self.server.record_failure(request, status, exc)
        response = responses.from_failure(failure)
        response.force_close()
        return response

    def log_exception(self, *args: object, **more: object) -> None:
        """Log an unhandled error of the library as one line in our format."""
        error = more.get("exc_info")
        self.server.log.error("http-failed", why=describe(error or args))


class Server(aiohttp.web_server.Server):
    """HTTP server of one port.

    :param handler: answers well-formed requests.
    :param config: the node's settings, which contain the limits.
    :param counters: counts refused requests by code, and dropped connections.
    :param pipeline: decides which pipelined requests start early; None for none.
    """

    def __init__(
        self,
        handler: Handler,
        config: Config,
        counters: Counters,
        log: Log,
        pipeline: pipelining.Pipeline | None = None,
    ):
        super().__init__(
            self.handle, request_factory=self.make_request, handler_cancellation=True
        )
        self.handler = handler
        self.limits = config.limits
        self.counters = counters
        self.log = log
        self.pipeline = pipeline

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
        self, request: aiohttp.web_request.BaseRequest
    ) -> aiohttp.web_response.StreamResponse:
        """Return the answer to the request whose turn it is on its connection.

        While ``pipeline`` is closing, the last answer of a connection closes it:
        requests that were started early are answered first.
        """
        protocol = typing.cast(Protocol, request.protocol)
        protocol.start_ahead()
        early = protocol.ahead.take(request._message)
        response = await (self.run(request) if early is None else early)
        if (
            self.pipeline is not None
            and self.pipeline.closing
            and not protocol.ahead.tasks
        ):
            response.force_close()
        return response

    async def run(
        self, request: aiohttp.web_request.BaseRequest
    ) -> aiohttp.web_response.StreamResponse:
        """Check the request target, then call the handler."""
        check_target(request)
        return await self.handler(request)

    def admit(self) -> bool:
        """Return whether the connection limit allows the newest connection."""
        if len(self._connections) <= self.limits.connections:
            return True
        self.counters.add("http.dropped.connections")
        return False

    def busy_connections(self) -> int:
        """Return how many connections have a request or an answer in progress."""
        protocols = typing.cast(collections.abc.Iterable[Protocol], self._connections)
        return sum(protocol.is_busy() for protocol in protocols)

    def make_request(
        self,
        message: aiohttp.http.RawRequestMessage,
        payload: aiohttp.StreamReader,
        protocol: aiohttp.web_protocol.RequestHandler,
        writer: aiohttp.abc.AbstractStreamWriter,
        task: asyncio.Task,
    ) -> aiohttp.web_request.BaseRequest:
        """Build a request; convert a target in absolute form to origin form."""
        if not message.path.startswith("/") and message.url.scheme in SCHEMES:
            message = to_origin_form(message)
        return Request(message, payload, protocol, writer, task, self._loop)

    def record_failure(
        self,
        request: aiohttp.web_request.BaseRequest,
        status: int,
        error: BaseException | None,
    ) -> codes.Failure:
        """Count and log the failure of a request without an answer; return it coded."""
        if isinstance(error, codes.Failure):
            failure = error
        elif status < 500:
            failure = parse_failure(error)
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
    """Return a message with its absolute target split into a path and a Host header."""
    headers = message.headers.copy()
    headers["Host"] = message.url.raw_authority
    target = message.url.raw_path_qs
    return message._replace(
        path=target,
        url=yarl.URL(target, encoded=True),
        headers=multidict.CIMultiDictProxy(headers),
    )


def parse_failure(error: BaseException | None) -> codes.Failure:
    """Return the coded failure of a request that the parser rejected."""
    text = str(getattr(error, "message", ""))
    too_long = isinstance(error, aiohttp.http_exceptions.LineTooLong)
    if too_long or text.startswith("Too many headers"):
        return codes.Failure(codes.HEADERS_TOO_LARGE)
    return codes.Failure(codes.BAD_REQUEST)


def check_target(request: aiohttp.web_request.BaseRequest) -> None:
    """Raise ``bad-request`` for a target that programs may resolve differently.

    Dot segments, backslashes and control characters are interpreted differently by
    different programs: a request could match one route here and another path at the
    upstream.
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
    """Return an error's type and first line, the line cut to 200 characters."""
    first = str(error).partition("\n")[0][:200]
    return f"{type(error).__name__}: {first}"
