"""One connection of a port: limits on what it makes the node hold, coded answers."""

import asyncio
import typing

import aiohttp
import aiohttp.abc
import aiohttp.http
import aiohttp.http_exceptions
import aiohttp.streams
import aiohttp.web_protocol
import aiohttp.web_request
import aiohttp.web_response
import aiohttp.web_server

from rattanridge.kernel import codes
from rattanridge.web import (
    bodies,
    failures,
    framing,
    memory,
    pipelining,
    receiving,
    responses,
    writing,
)

FIRST_REQUEST_SECONDS = 10.0  # until a new connection must have sent a request


class Limits(typing.Protocol):
    """Limits of one port."""

    @property
    def header_bytes(self) -> int: ...

    @property
    def connections(self) -> int: ...

    @property
    def held_bytes(self) -> int: ...


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


class Port(typing.Protocol):
    """What a connection uses of the server of its port."""

    limits: Limits
    counters: Counters
    log: Log
    pipeline: pipelining.Pipeline | None
    memory_budget: memory.MemoryBudget

    def admit(self) -> bool: ...

    def make_request(
        self,
        message: aiohttp.http.RawRequestMessage,
        payload: aiohttp.StreamReader,
        protocol: aiohttp.web_protocol.RequestHandler,
        writer: aiohttp.abc.AbstractStreamWriter,
        task: asyncio.Task,
    ) -> aiohttp.web_request.BaseRequest: ...

    async def run(
        self, request: aiohttp.web_request.BaseRequest
    ) -> aiohttp.web_response.StreamResponse: ...

    def record_failure(
        self,
        request: aiohttp.web_request.BaseRequest,
        status: int,
        error: BaseException | None,
    ) -> codes.Failure: ...


class Protocol(aiohttp.web_protocol.RequestHandler):
    """One connection; answers malformed requests with a result code."""

    __slots__ = (
        "ahead",
        "body_failure",
        "collector",
        "feeding",
        "framing",
        "holder",
        "known_requests",
        "received",
        "refused",
        "rest",
        "sending",
        "sent",
        "server",
        "timer",
    )

    def __init__(self, server: Port, **options: typing.Any):
        super().__init__(typing.cast(aiohttp.web_server.Server, server), **options)
        self.server = server
        self.ahead = pipelining.Ahead()
        self.timer: asyncio.TimerHandle | None = None
        self.holder = memory.Holder(server.memory_budget, self)
        self.framing = framing.Framing(server.limits.header_bytes)
        self.collector: bodies.Collector | None = None
        self.body_failure: codes.Failure | None = None
        self.feeding = False
        self.known_requests = 0
        self.refused = False
        self.rest = b""
        self.received = 0
        self.sent = 0
        self.sending = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        receiving.limit_reads(transport)
        writing.limit_writes(transport)
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
        self.holder.close()
        self.rest = b""

    def data_received(self, data: bytes) -> None:
        if self.feeding:
            # The library parses what it kept while reading was paused.
            super().data_received(data)
            return
        if self.refused:
            return
        self.received += len(data)
        self.feeding = True
        try:
            self.feed_all(self.rest + data if self.rest else data)
        finally:
            self.feeding = False
        self.start_ahead()

    def resume_reading(self, resume_parser: bool = True) -> None:
        # The library calls this on each read of a body, also if nothing is paused.
        if self._reading_paused:
            super().resume_reading(resume_parser)

    def feed_all(self, data: bytes) -> None:
        """Parse data in pieces; keep the rest once the library pauses reading."""
        self.rest = b""
        while True:
            size = self.framing.next_size()
            self.feed(data if len(data) <= size else data[:size])
            if len(data) <= size or self.refused:
                return
            data = data[size:]
            if self.is_paused():
                self.rest = data
                return

    def is_paused(self) -> bool:
        """Return whether the library takes no more data."""
        return self._reading_paused or self._buffer_paused

    def feed(self, data: bytes) -> None:
        """Parse one piece; refuse a head, framing or trailers over their bounds."""
        in_body = self.framing.in_body()
        super().data_received(data)
        if self.collector is not None:
            self.collector.collect()
        if self._request_count != self.known_requests:
            self.begin_requests()
        elif in_body:
            if not self.framing.add_body(len(data)):
                self.refuse_body(codes.Failure(codes.BAD_REQUEST, "chunk framing"))
        elif data:
            self.add_head(len(data))

    def begin_requests(self) -> None:
        """Take note of the requests whose heads have been parsed."""
        self.known_requests = self._request_count
        self.holder.free(self.framing.head)
        if not self._messages:
            return
        message, payload = self._messages[-1]
        if isinstance(message, aiohttp.http.RawRequestMessage):
            self.framing.begin(payload, message.chunked)
            return
        self.refused = True
        self.refuse_body(failures.parse_failure(message.exc))

    def add_head(self, size: int) -> None:
        """Count bytes of an unfinished head; refuse a head over the limit."""
        try:
            self.holder.reserve(size, 0)
        except codes.Failure:
            self.drop("memory")
            return
        if not self.framing.add_head(size):
            self.refuse_head()

    def refuse_head(self) -> None:
        """Answer that the head is too large once its turn comes; read no more."""
        self.refused = True
        error = aiohttp.http_exceptions.LineTooLong(b"head", self.framing.limit)
        # The library has no other way to queue an answer to a malformed request.
        queued = aiohttp.web_protocol._ErrInfo(400, error, error.message)
        self._messages.append((queued, aiohttp.streams.EMPTY_PAYLOAD))
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def refuse_body(self, failure: codes.Failure) -> None:
        """Give up the body that is being received; read no more."""
        self.refused = True
        self.body_failure = failure
        if self.collector is not None:
            self.collector.fail(failure)

    def collect_body(self, collector: bodies.Collector) -> None:
        """Pass on what arrives of a body, and what has arrived."""
        self.collector = collector
        if self.body_failure is not None and not collector.payload.is_eof():
            collector.fail(self.body_failure)
        # Reads resume paused reading, which parses more at once.
        self.feeding = True
        try:
            collector.collect()
        finally:
            self.feeding = False
        if self._request_count != self.known_requests:
            self.begin_requests()
        if self.rest and not self.is_paused():
            self.data_received(b"")

    def end_body(self) -> None:
        """Free the body of the request whose answer is known."""
        if self.collector is not None:
            self.collector.release()
            self.collector = None

    def position(self) -> int | None:
        """Return how far the client has sent or read; None if that is not awaited."""
        transport = self.transport
        collector = self.collector
        receives = collector is not None and collector.is_waiting()
        if transport is None or not (receives or self.sending or self.framing.head):
            return None
        return self.received + self.sent - writing.unsent_bytes(transport)

    def drop(self, reason: str) -> None:
        """Abort the connection, and count and log why."""
        self.refused = True
        self.server.counters.add(f"http.dropped.{reason}")
        self.server.log.note(
            "http-dropped", why=reason, caller=str(self.peername), held=self.holder.held
        )
        if self.transport is not None:
            self.transport.abort()

    async def finish_response(
        self,
        request: aiohttp.web_request.BaseRequest,
        resp: aiohttp.web_response.StreamResponse,
        start_time: float | None,
    ) -> tuple[aiohttp.web_response.StreamResponse, bool]:
        """Write a response; its body counts as held until it is written."""
        size = len(writing.body_of(resp))
        self.holder.add(size)
        self.sending = True
        try:
            self.sent += size
            await writing.write_long_body(request, resp)
            return await super().finish_response(request, resp, start_time)
        except ConnectionError:
            return resp, True
        finally:
            self.sending = False
            self.holder.free(size)

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
        response = await self.server.run(request)
        # Counted until its turn comes, when it is counted as the one being written.
        self.holder.add(len(writing.body_of(response)))
        return response

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
        self.server.log.error("http-failed", why=failures.describe(error or args))
