"""Bodies of requests, read whole within bounds of size, time and memory."""

import asyncio

import aiohttp
import aiohttp.hdrs
import aiohttp.web

from rattanridge.kernel import codes
from rattanridge.web import memory

PART_SECONDS = 10.0  # within which the next part of a body must come
BROKEN = (aiohttp.ClientError, aiohttp.web.RequestPayloadError, OSError)
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


async def read_body(
    request: aiohttp.web.BaseRequest,
    limit: int,
    held: memory.MemoryBudget | None = None,
) -> bytes:
    """Read a request's body whole; ``held.release`` it after use.

    :param limit: most bytes.
    :param held: counts the bytes; a small body need not be counted.
    """
    held = held or memory.MemoryBudget(limit)
    length = request.content_length
    if (length or 0) > limit:
        raise codes.Failure(codes.BODY_TOO_LARGE)
    if length is None and not request.body_exists:
        return b""
    if aiohttp.hdrs.EXPECT in request.headers:
        await answer_expect(request)
    parts = []
    size = taken = 0
    try:
        while part := await read_part(request):
            size += len(part)
            if size > limit:
                raise codes.Failure(codes.BODY_TOO_LARGE)
            if size > memory.SMALL_BODY_BYTES:
                held.reserve(size - taken)
                taken = size
            parts.append(part)
    except BaseException as error:
        held.free(taken)
        if isinstance(error, BROKEN):
            raise codes.Failure(codes.BODY_CUT)
        raise
    return b"".join(parts)


async def read_part(request: aiohttp.web.BaseRequest) -> bytes:
    """Return the next part of a body; empty at its end."""
    try:
        async with asyncio.timeout(PART_SECONDS):
            return await request.content.readany()
    except TimeoutError:
        raise codes.Failure(codes.BODY_CUT, "it came too slowly")


async def answer_expect(request: aiohttp.web.BaseRequest) -> None:
    """Tell a caller that waits with its body to send it."""
    if request.headers[aiohttp.hdrs.EXPECT].lower() != "100-continue":
        raise codes.Failure(codes.BAD_REQUEST, "expectation")
    await request.writer.write(CONTINUE)
    request.writer.output_size = 0
