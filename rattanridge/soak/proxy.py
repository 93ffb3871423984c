"""A loopback TCP proxy that injects faults into the connections it forwards."""

import asyncio
import dataclasses

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
        self.address = ""
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Listen on a free loopback port; ``address`` tells which."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        self.server.close()
        self.reset()
        for task in self.tasks:
            task.cancel()

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one connection until either side closes it."""
        host, _, port = self.target.rpartition(":")
        if self.mode.refuse:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, target_writer}
        tasks = [
            asyncio.create_task(self.forward(reader, target_writer, to_target=True)),
            asyncio.create_task(self.forward(target_reader, writer, to_target=False)),
        ]
        self.tasks.update(tasks)
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            task.cancel()
            self.tasks.discard(task)
        for closing in (writer, target_writer):
            closing.close()
            self.writers.discard(closing)

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
