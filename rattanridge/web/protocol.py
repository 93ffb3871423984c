"""One connection of a port: limits on what it makes the node hold, coded answers."""

import asyncio
import itertools
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
    context,
    failures,
    framing,
    memory,
    pipelining,
    receiving,
    responses,
    writing,
)

FIRST_REQUEST_SECONDS = 10.0  # until a new connection must have sent a request
UNUSED_SECONDS = 2.0  # after which such a connection may go if there are too many
# Heads up to this size are not counted once they are complete: counting those of idle
# connections would check each of them twice a second.
KEPT_HEAD_BYTES = 4_096


class Protocol(aiohttp.web_protocol.RequestHandler):
    """One connection; answers malformed requests with a result code."""

    __slots__ = (
        "ahead",
        "body_failure",
        "collector",
        "feeding",
        "framing",
        "holder",
        "kept",
        "known_requests",
        "received",
        "refused",
        "rest",
        "sending",
        "sent",
        "server",
        "timer",
        "unread",
        "unsent",
        "wire",
    )

    def __init__(self, server: context.Port, **options: typing.Any):
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
        # Counted bytes: heads, a body that no handler reads yet, what a client that
        # does not read has left of short answers.
        self.kept = self.unread = self.unsent = 0
        # The library forgets its transport before all bytes are written.
        self.wire: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.wire = typing.cast(asyncio.Transport, transport)
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
        self.wire = None
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
            self.begin_requests(len(data))
        elif in_body:
            self.count_unread(len(data))
            if not self.framing.add_body(len(data)):
                self.refuse_body(codes.Failure(codes.BAD_REQUEST, "chunk framing"))
        elif data:
            self.add_head(len(data))

    def begin_requests(self, size: int) -> None:
        """Take note of the requests whose heads have been parsed.

        :param size: bytes of the piece in which the last head ended.
        """
        count = self._request_count - self.known_requests
        self.known_requests = self._request_count
        size += self.framing.head
        self.holder.free(self.framing.head)
        self.framing.head = 0
        if not self._messages:
            return
        if size > KEPT_HEAD_BYTES or self.kept:
            self.keep_heads(count)
        message, payload = self._messages[-1]
        if isinstance(message, aiohttp.http.RawRequestMessage):
            self.framing.begin(payload, message.chunked)
            return
        self.refused = True
        self.refuse_body(failures.parse_failure(message.exc))

    def keep_heads(self, count: int) -> None:
        """Count the newest heads, which the library keeps until the next request."""
        if len(self._messages) <= count:
            self.holder.free(self.kept)
            self.kept = 0
        newest = itertools.islice(reversed(self._messages), count)
        size = sum(framing.head_size(message) for message, _ in newest)
        if size > KEPT_HEAD_BYTES and self.hold(size):
            self.kept += size

    def count_unread(self, size: int) -> None:
        """Count bytes of a body that no handler reads yet."""
        collector = self.collector
        is_read = collector is not None and collector.payload is self.framing.payload
        if not is_read and self.hold(size):
            self.unread += size

    def hold(self, size: int) -> bool:
        """Count bytes; abort the connection and return False if there is no room."""
        try:
            self.holder.reserve(size, 0)
        except codes.Failure:
            self.drop("memory")
            return False
        return True

    def add_head(self, size: int) -> None:
        """Count bytes of an unfinished head; refuse a head over the limit."""
        if self.hold(size) and not self.framing.add_head(size):
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
        if self.collector is not None and self.collector.is_waiting():
            self.collector.fail(failure)

    def collect_body(self, collector: bodies.Collector) -> None:
        """Pass on what arrives of a body, and what has arrived."""
        self.collector = collector
        self.free_unread()
        if self.body_failure is not None and not collector.payload.is_eof():
            collector.fail(self.body_failure)
        # Reads resume paused reading, which parses more at once.
        self.feeding = True
        try:
            collector.collect()
        finally:
            self.feeding = False
        if self._request_count != self.known_requests:
            self.begin_requests(0)
        if self.rest and not self.is_paused():
            self.data_received(b"")

    def end_body(self) -> None:
        """Free the body of the request whose answer is known."""
        if self.collector is not None:
            self.collector.release()
            self.collector = None
        if self.unread and not self._messages:
            self.free_unread()

    def free_unread(self) -> None:
        """Free what was counted of a body before its handler read it."""
        self.holder.free(self.unread)
        self.unread = 0

    def position(self) -> int | None:
        """Return how far the client has sent or read; None if that is not awaited."""
        wire = self.wire
        if wire is None:
            return None
        if self.unsent and not wire.get_write_buffer_size():
            self.holder.free(self.unsent)
            self.unsent = 0
        collector = self.collector
        receives = collector is not None and collector.is_waiting()
        sends = self.sending or self.unsent
        if not (receives or sends or self.framing.head):
            return None
        return self.received + self.sent - writing.unsent_bytes(wire)

    def drop(self, reason: str) -> None:
        """Abort the connection, and count and log why."""
        self.refused = True
        self.server.counters.add(f"http.dropped.{reason}")
        self.server.log.note(
            "http-dropped", why=reason, caller=str(self.peername), held=self.holder.held
        )
        if self.wire is not None:
            self.wire.abort()

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
            if not await writing.write_long_body(request, resp, self.record_sent):
                self.sent += size
            return await super().finish_response(request, resp, start_time)
        except ConnectionError:
            return resp, True
        finally:
            self.sending = False
            self.holder.free(size)
            self.count_unsent()
            # The library keeps the response until the next request.
            if size and isinstance(resp, aiohttp.web_response.Response):
                resp.body = None

    def record_sent(self, size: int) -> None:
        """Count bytes of an answer that the transport has got."""
        self.sent += size

    def count_unsent(self) -> None:
        """Count what the transport still holds of answers."""
        size = self.wire.get_write_buffer_size() if self.wire is not None else 0
        if size > self.unsent:
            self.holder.add(size - self.unsent)
            self.unsent = size

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

    def is_expendable(self, now: float) -> bool:
        """Return whether the connection may be closed if there are too many.

        :param now: time of the event loop, in seconds.
        """
        if self.wire is None or self.wire.is_closing():
            return False
        if self.holder.is_stalled:
            return True
        timer = self.timer
        if self._request_count or timer is None:
            return False
        return timer.when() - now < FIRST_REQUEST_SECONDS - UNUSED_SECONDS

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
