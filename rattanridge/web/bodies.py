"""Reading of whole request bodies, with limits on size, time and memory."""

import asyncio

import aiohttp
import aiohttp.hdrs
import aiohttp.web_protocol
import aiohttp.web_request

from rattanridge.kernel import codes
from rattanridge.web import memory

PART_SECONDS = 10.0  # time limit for each part of a body
CONNECTION_ERRORS = (
    aiohttp.ClientError,
    aiohttp.web_protocol.RequestPayloadError,
    OSError,
)
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


async def read_body(
    request: aiohttp.web_request.BaseRequest,
    limit: int,
    held: memory.MemoryBudget | None = None,
) -> bytes:
    """Read the whole body of a request; call ``held.free_body`` after use.

    Raise ``body-too-large`` over the limit, ``body-cut`` if the body does not arrive
    completely, and ``memory-full`` if ``held`` has no room for it.

    :param limit: maximum size in bytes.
    :param held: memory budget that counts large bodies; None to bound this body only.
    """
    held = held or memory.MemoryBudget(limit)
    length = request.content_length
    if (length or 0) > limit:
        raise codes.Failure(codes.BODY_TOO_LARGE)
    if length is None and not request.body_exists:
        return b""
    if aiohttp.hdrs.EXPECT in request.headers:
        await send_continue(request)
    parts = []
    size = counted = 0
    try:
        while part := await read_part(request):
            size += len(part)
            if size > limit:
                raise codes.Failure(codes.BODY_TOO_LARGE)
            if size > memory.SMALL_BODY_BYTES:
                held.reserve(size - counted)
                counted = size
            parts.append(part)
    except BaseException as error:
        held.free(counted)
        if isinstance(error, CONNECTION_ERRORS):
            raise codes.Failure(codes.BODY_CUT)
        raise
    return b"".join(parts)


async def read_part(request: aiohttp.web_request.BaseRequest) -> bytes:
    """Return the next part of a body; empty at the end of the body."""
    try:
        async with asyncio.timeout(PART_SECONDS):
            return await request.content.readany()
    except TimeoutError:
        raise codes.Failure(codes.BODY_CUT, "it came too slowly")


async def send_continue(request: aiohttp.web_request.BaseRequest) -> None:
    """Answer ``Expect: 100-continue``; raise ``bad-request`` for other expectations."""
    if request.headers[aiohttp.hdrs.EXPECT].lower() != "100-continue":
        raise codes.Failure(codes.BAD_REQUEST, "expectation")
    await request.writer.write(CONTINUE)
    request.writer.output_size = 0
