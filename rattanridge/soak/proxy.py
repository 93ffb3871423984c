"""A loopback proxy that spoils the connections which go through it."""

import asyncio
import dataclasses

CHUNK = 65_536  # bytes read at once


@dataclasses.dataclass(slots=True)
class Mode:
    """What is done to the bytes now.

    :param delay: seconds before each piece is passed on.
    :param mute_up: nothing goes to the target any more.
    :param mute_down: nothing comes back from it.
    :param refuse: new connections are reset.
    """

    delay: float = 0.0
    mute_up: bool = False
    mute_down: bool = False
    refuse: bool = False


class Proxy:
    """Passes connections on to one address.

    :param target: ``host:port``.
    """

    def __init__(self, target: str):
        self.target = target
        self.mode = Mode()
        self.address = ""
        self.server: asyncio.Server | None = None
        self.open: set[asyncio.StreamWriter] = set()
        self.pumps: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Listen on a free loopback port."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        """End everything at once."""
        self.server.close()
        self.reset()
        for task in self.pumps:
            task.cancel()

    def reset(self) -> None:
        """Break all connections off."""
        for writer in list(self.open):
            writer.transport.abort()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Pass one connection on until either side ends it."""
        host, _, port = self.target.rpartition(":")
        if self.mode.refuse:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self.open |= {writer, far_writer}
        both = [
            asyncio.create_task(self.pump(reader, far_writer, up=True)),
            asyncio.create_task(self.pump(far_reader, writer, up=False)),
        ]
        self.pumps.update(both)
        await asyncio.wait(both, return_when=asyncio.FIRST_COMPLETED)
        for task in both:
            task.cancel()
            self.pumps.discard(task)
        for end in (writer, far_writer):
            end.close()
            self.open.discard(end)

    async def pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, up: bool
    ) -> None:
        """Pass the bytes of one direction on, as the mode says."""
        try:
            while data := await reader.read(CHUNK):
                if self.mode.delay:
                    await asyncio.sleep(self.mode.delay)
                if self.mode.mute_up if up else self.mode.mute_down:
                    continue
                writer.write(data)
                await writer.drain()
        except OSError:
            # The other side is gone; the connection ends with this pump.
            return
