"""A loopback TCP proxy that injects faults into the connections it forwards."""

import asyncio
import dataclasses

from rattanridge.web import streams

CHUNK_BYTES = 65_536  # read at once


@dataclasses.dataclass(slots=True)
class Mode:
    """Faults in force; all off by default.

    :param delay: seconds before each chunk is forwarded.
    :param drop_to_target: bytes to the target are dropped.
    :param drop_from_target: bytes from the target are dropped.
    :param refuse: new connections are reset.
    """

    delay: float = 0.0
    drop_to_target: bool = False
    drop_from_target: bool = False
    refuse: bool = False


class Proxy:
    """Forwards connections to one address.

    :param target: the address, as ``host:port``.
    """

    def __init__(self, target: str):
        self.target = target
        self.mode = Mode()
        self.server = streams.StreamServer(self.serve)
        self.target_writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """The address at which it listens, as ``host:port``; empty before."""
        return self.server.address

    async def start(self) -> None:
        """Listen on a free loopback port; ``address`` tells which."""
        await self.server.start()

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        self.reset()
        await self.server.stop()

    def reset(self) -> None:
        """Reset all open connections, on both sides."""
        self.server.reset()
        for writer in self.target_writers:
            writer.transport.abort()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one connection until either side closes it."""
        if self.mode.refuse:
            writer.transport.abort()
            return
        try:
            async with streams.connect(self.target) as (target_reader, target_writer):
                await self.forward_both(reader, writer, target_reader, target_writer)
        except OSError:
            # The target accepts no connection, and neither does the proxy.
            writer.transport.abort()

    async def forward_both(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        target_reader: asyncio.StreamReader,
        target_writer: asyncio.StreamWriter,
    ) -> None:
        """Forward both directions until one of them ends."""
        tasks = [
            asyncio.create_task(self.forward(reader, target_writer, to_target=True)),
            asyncio.create_task(self.forward(target_reader, writer, to_target=False)),
        ]
        self.target_writers.add(target_writer)
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self.target_writers.discard(target_writer)
            for task in tasks:
                task.cancel()

    async def forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        to_target: bool,
    ) -> None:
        """Forward the bytes of one direction, subject to the faults in force."""
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.mode.delay:
                    await asyncio.sleep(self.mode.delay)
                if (
                    self.mode.drop_to_target
                    if to_target
                    else self.mode.drop_from_target
                ):
                    continue
                writer.write(data)
                await writer.drain()
        except OSError:
            # The other side has closed. serve() closes the connection when this task
            # ends.
            return
