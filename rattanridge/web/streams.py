"""Servers and connections of asyncio streams that end before their event loop does."""

import asyncio
import collections.abc
import contextlib
import typing

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]
Serve = collections.abc.Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], collections.abc.Awaitable[None]
]


class StreamServer:
    """Listens on a free loopback port, as an async context manager.

    :param serve: handles one connection, which is closed when it returns.
    """

    def __init__(self, serve: Serve):
        self.serve = serve
        self.address = ""
        self.server: asyncio.Server
        self.writers: dict[asyncio.Task, asyncio.StreamWriter] = {}

    async def __aenter__(self) -> "StreamServer":
        await self.start()
        return self

    async def __aexit__(self, *exception: object) -> None:
        await self.stop()

    async def start(self) -> None:
        """Listen; ``address`` tells where, as ``host:port``."""
        self.server = await asyncio.start_server(self.handle, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        """Stop listening, reset all connections and wait until their tasks end."""
        self.server.close()
        self.reset()
        tasks = list(self.writers)
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks)

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in self.writers.values():
            writer.transport.abort()

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection and close it."""
        # asyncio serves each connection in a task of its own.
        task = typing.cast(asyncio.Task, asyncio.current_task())
        self.writers[task] = writer
        try:
            await self.serve(reader, writer)
        finally:
            writer.close()
            del self.writers[task]


@contextlib.asynccontextmanager
async def connect(address: str) -> collections.abc.AsyncIterator[Streams]:
    """Open a connection to ``host:port`` and close it at the end.

    Raise ``OSError`` if it cannot be opened.
    """
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        yield reader, writer
    finally:
        writer.close()
