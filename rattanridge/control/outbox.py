"""What waits to be written to one stream, within a bound."""

import asyncio
import typing

from rattanridge.control import messages


class Outbox:
    """A bounded queue; one that overflows is closed and emptied.

    The stream is then ended, and the peer returns for what it lacks.

    :param limit: messages that may wait.
    """

    def __init__(self, limit: int):
        self.limit = limit
        self.queue: asyncio.Queue = asyncio.Queue()
        self.closed = False

    def put(self, message: typing.Any) -> None:
        """Add a message, or a coded failure that ends the stream."""
        if self.closed:
            return
        if self.queue.qsize() >= self.limit:
            self.close()
            return
        self.queue.put_nowait(message)

    def close(self) -> None:
        """Drop what waits, and wake the writer with ``None``."""
        self.closed = True
        while not self.queue.empty():
            self.queue.get_nowait()
        self.queue.put_nowait(None)

    async def get(self) -> typing.Any:
        """Return the next message, records that wait together as one.

        ``None`` means that the outbox was closed.
        """
        message = await self.queue.get()
        if isinstance(message, messages.Records):
            return self.gather(message)
        return message

    def gather(self, first: messages.Records) -> messages.Records:
        """Join the records that wait behind the first ones."""
        items = list(first.items)
        while not self.queue.empty() and isinstance(
            self.queue._queue[0], messages.Records
        ):
            items += self.queue.get_nowait().items
        return messages.Records(items)
