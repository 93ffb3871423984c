"""HTTP server for the ports of a node.

The HTTP library itself answers malformed requests and requests whose handler fails.
This server gives those answers the system's result codes, too.
"""

import asyncio
import collections.abc
import typing

import aiohttp
import aiohttp.abc
import aiohttp.streams
import aiohttp.web_protocol
import aiohttp.web_request
import aiohttp.web_response
import aiohttp.web_server

from rattanridge.kernel import codes
from rattanridge.web import (
    context,
    failures,
    memory,
    pipelining,
    protocol as protocols,
    targets,
    writing,
)

IDLE_SECONDS = 75.0  # until an idle connection is closed
# Of a body before its handler reads it. The library also pauses after a sixteenth as
# many chunks; 1,024 tiny ones take 100 kB, which was 12 MB for 120 connections.
BODY_BUFFER_BYTES = 4_096
LINGER_SECONDS = 1.0  # for reading the rest of the body of a refused request

Handler = collections.abc.Callable[
    [aiohttp.web_request.BaseRequest],
    collections.abc.Awaitable[aiohttp.web_response.StreamResponse],
]


class Request(aiohttp.web_request.BaseRequest):
    """A request whose response does not name the HTTP library."""

    async def _prepare_hook(
        self, response: aiohttp.web_response.StreamResponse
    ) -> None:
        # The library has no other hook after it has added its own headers.
        if response.headers.get("Server") == aiohttp.http.SERVER_SOFTWARE:
            del response.headers["Server"]


class Server(aiohttp.web_server.Server):
    """HTTP server of one port.

    :param handler: answers well-formed requests.
    :param config: the node's settings, which contain the limits.
    :param counters: counts refused requests by code, and dropped connections.
    :param pipeline: decides which pipelined requests start early; None for none.
    :param memory_budget: limits the bytes that the node holds in memory.
    """

    def __init__(
        self,
        handler: Handler,
        config: context.Config,
        counters: context.Counters,
        log: context.Log,
        pipeline: pipelining.Pipeline | None = None,
        memory_budget: memory.MemoryBudget | None = None,
    ):
        super().__init__(
            self.handle, request_factory=self.make_request, handler_cancellation=True
        )
        self.handler = handler
        self.limits = config.limits
        self.counters = counters
        self.log = log
        self.pipeline = pipeline
        self.memory_budget = memory_budget or memory.MemoryBudget(
            config.limits.held_bytes
        )

    def __call__(self) -> protocols.Protocol:
        return protocols.Protocol(
            self,
            loop=self._loop,
            access_log=None,
            max_line_size=self.limits.header_bytes,
            max_field_size=self.limits.header_bytes,
            auto_decompress=False,
            read_bufsize=BODY_BUFFER_BYTES,
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
        connection = typing.cast(protocols.Protocol, request.protocol)
        connection.start_ahead()
        early = connection.ahead.take(request._message)
        if early is None:
            try:
                response = await self.run(request)
            finally:
                connection.end_body()
        else:
            response = await early
            connection.holder.free(len(writing.body_of(response)))
        if (
            self.pipeline is not None
            and self.pipeline.closing
            and not connection.ahead.tasks
        ):
            response.force_close()
        return response

    async def run(
        self, request: aiohttp.web_request.BaseRequest
    ) -> aiohttp.web_response.StreamResponse:
        """Check the request target, then call the handler."""
        targets.check_target(request)
        return await self.handler(request)

    def admit(self) -> bool:
        """Return whether the connection limit allows the newest connection."""
        if len(self._connections) <= self.limits.connections:
            return True
        if self.drop_unused():
            return True
        self.counters.add("http.dropped.connections")
        return False

    def drop_unused(self) -> bool:
        """Abort the oldest connection that no request has come on, or that stalled.

        Return whether there was one; an honest client sends its request at once.
        """
        now = asyncio.get_running_loop().time()
        found = typing.cast(
            collections.abc.Iterable[protocols.Protocol], self._connections
        )
        for connection in found:
            if connection.is_expendable(now):
                connection.drop("unused")
                return True
        return False

    def busy_connections(self) -> int:
        """Return how many connections have a request or an answer in progress."""
        found = typing.cast(
            collections.abc.Iterable[protocols.Protocol], self._connections
        )
        return sum(connection.is_busy() for connection in found)

    def make_request(
        self,
        message: aiohttp.http.RawRequestMessage,
        payload: aiohttp.StreamReader,
        protocol: aiohttp.web_protocol.RequestHandler,
        writer: aiohttp.abc.AbstractStreamWriter,
        task: asyncio.Task,
    ) -> aiohttp.web_request.BaseRequest:
        """Build a request; convert a target in absolute form to origin form."""
        if not message.path.startswith("/") and message.url.scheme in targets.SCHEMES:
            message = targets.to_origin_form(message)
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
            failure = failures.parse_failure(error)
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
            why=failures.describe(error),
        )
        return failure
