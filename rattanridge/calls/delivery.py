"""Whether a caller has its answer whole, as far as its machine tells.

Delivered means: written whole, and every byte acknowledged by the caller's TCP.
"""

import asyncio
import collections.abc
import contextvars
import fcntl
import os
import struct
import termios

import aiohttp.web

POLL_FIRST = 0.001  # seconds
POLL_LIMIT = 0.05  # seconds
WAIT_MOST = 1.0  # seconds that the handler waits for acknowledgements

Serve = collections.abc.Callable[
    [aiohttp.web.BaseRequest], collections.abc.Awaitable[aiohttp.web.StreamResponse]
]


class Delivery:
    """One answer on its way; what it settles is set while it is made.

    :param settle: called once the answer is delivered; ``None``: nobody asks.
    """

    __slots__ = ("settle",)

    def __init__(self):
        self.settle: collections.abc.Callable[[], None] | None = None


CURRENT: contextvars.ContextVar[Delivery | None] = contextvars.ContextVar(
    "delivery", default=None
)


async def serve(
    handler: Serve, request: aiohttp.web.BaseRequest
) -> aiohttp.web.StreamResponse:
    """Serve a request; if its delivery matters, write the answer and watch it."""
    delivery = Delivery()
    CURRENT.set(delivery)
    response = await handler(request)
    if delivery.settle is None:
        return response
    await response.prepare(request)
    await response.write_eof()
    if await acknowledged(request.transport):
        delivery.settle()
    return response


async def acknowledged(transport: asyncio.Transport | None) -> bool:
    """Wait until the peer acknowledged all bytes; return whether it did."""
    socket = transport.get_extra_info("socket") if transport is not None else None
    if socket is None or socket.fileno() < 0 or transport.get_write_buffer_size():
        return False
    # The transport closes its own descriptor when the caller goes away, which
    # callers do as soon as they have the answer.
    descriptor = os.dup(socket.fileno())
    try:
        return await poll(descriptor)
    except asyncio.CancelledError:
        if unacknowledged(descriptor):
            raise
        return True
    finally:
        os.close(descriptor)


async def poll(descriptor: int) -> bool:
    """Wait until all bytes are acknowledged; return whether they were in time."""
    pause, waited = POLL_FIRST, 0.0
    while unacknowledged(descriptor):
        if waited >= WAIT_MOST:
            return False
        await asyncio.sleep(pause)
        waited += pause
        pause = min(pause * 2, POLL_LIMIT)
    return True


def unacknowledged(descriptor: int) -> int:
    """Return the bytes that a TCP socket sent and the peer did not acknowledge."""
    (count,) = struct.unpack(
        "i", fcntl.ioctl(descriptor, termios.TIOCOUTQ, struct.pack("i", 0))
    )
    return count
