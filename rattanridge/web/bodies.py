"""Reading of whole request bodies, with limits on size, time and memory."""

import asyncio
import typing

import aiohttp
import aiohttp.hdrs
import aiohttp.streams
import aiohttp.web_request

from rattanridge.kernel import codes
from rattanridge.web import memory, receiving

PART_SECONDS = 10.0  # time limit for each part of a body
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class Collector:
    """Collects the body of a request as it arrives.

    What the HTTP library keeps for each chunk takes up to 50 times the chunk's size,
    so a body is moved here whenever some of it has been parsed.

    :param limit: maximum size in bytes.
    :param holder: counts the bytes.
    """

    __slots__ = ("body", "changed", "counted", "failure", "holder", "limit", "payload")

    def __init__(
        self,
        payload: aiohttp.streams.StreamReader,
        limit: int,
        holder: memory.Holder,
    ):
        self.payload = payload
        self.limit = limit
        self.holder = holder
        self.body = bytearray()
        self.counted = 0
        self.failure: codes.Failure | None = None
        self.changed: asyncio.Future[None] | None = None

    def collect(self) -> None:
        """Move what has been parsed of the body, unless it failed before."""
        while self.failure is None and self.payload.exception() is None:
            part = self.payload.read_nowait(-1)
            if not part:
                break
            try:
                self.add(part)
            except codes.Failure as failure:
                self.fail(failure)
        if self.payload.is_eof() or self.payload.exception() is not None:
            self.wake()

    def add(self, part: bytes) -> None:
        """Add a part; raise ``body-too-large`` or ``memory-full`` over a limit."""
        size = self.counted + len(part)
        if size > self.limit:
            raise codes.Failure(codes.BODY_TOO_LARGE)
        self.holder.reserve(len(part), size)
        self.counted = size
        self.body += part

    def fail(self, failure: codes.Failure) -> None:
        """Give the body up; the first failure counts."""
        if self.failure is None:
            self.failure = failure
            self.body = bytearray()
            self.release()
        self.wake()

    def release(self) -> None:
        """Free the bytes that were counted."""
        self.holder.free(self.counted)
        self.counted = 0

    def wake(self) -> None:
        if self.changed is not None and not self.changed.done():
            self.changed.set_result(None)

    def is_waiting(self) -> bool:
        """Return whether the rest of the body has not come yet."""
        return self.failure is None and not self.payload.is_eof()

    async def wait(self) -> None:
        """Wait until the body is whole; raise a coded failure if it is given up."""
        loop = asyncio.get_running_loop()
        while self.is_waiting():
            if self.payload.exception() is not None:
                raise codes.Failure(codes.BODY_CUT)
            size = self.counted
            self.changed = loop.create_future()
            try:
                async with asyncio.timeout(PART_SECONDS):
                    await self.changed
            except TimeoutError:
                if size == self.counted:
                    self.fail(codes.Failure(codes.BODY_CUT, "it came too slowly"))
        if self.failure is not None:
            raise self.failure


class Connection(typing.Protocol):
    """A connection that passes on what it receives of a body."""

    holder: memory.Holder
    collector: Collector | None

    def collect_body(self, collector: Collector) -> None: ...


async def read_body(request: aiohttp.web_request.BaseRequest, limit: int) -> bytes:
    """Read the whole body of a request that is small; see ``read_long_body``."""
    return bytes(await read_long_body(request, limit))


async def read_long_body(
    request: aiohttp.web_request.BaseRequest, limit: int
) -> bytes | bytearray:
    """Read the whole body of a request; the server frees it after the answer.

    Raise ``body-too-large`` over the limit, ``body-cut`` if the body does not arrive
    completely, and ``memory-full`` if the memory budget has no room for it.

    :param limit: maximum size in bytes.
    """
    length = request.content_length
    if (length or 0) > limit:
        raise codes.Failure(codes.BODY_TOO_LARGE)
    if length is None and not request.body_exists:
        return b""
    if aiohttp.hdrs.EXPECT in request.headers:
        await send_continue(request)
    if not request.body_exists:
        return b""
    connection = typing.cast(Connection, request.protocol)
    request.content.set_read_chunk_size(receiving.READ_BYTES)
    collector = Collector(request.content, limit, connection.holder)
    connection.collect_body(collector)
    await collector.wait()
    body, collector.body = collector.body, bytearray()
    return bytes(body) if len(body) <= memory.SMALL_BODY_BYTES else body


async def send_continue(request: aiohttp.web_request.BaseRequest) -> None:
    """Answer ``Expect: 100-continue``; raise ``bad-request`` for other expectations."""
    if request.headers[aiohttp.hdrs.EXPECT].lower() != "100-continue":
        raise codes.Failure(codes.BAD_REQUEST, "expectation")
    await request.writer.write(CONTINUE)
    request.writer.output_size = 0
