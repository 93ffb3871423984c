"""Work that goes on when the one who waits for it goes away."""

import asyncio
import collections.abc
import typing

from rattanridge.kernel import log

T = typing.TypeVar("T")


class Background:
    """Runs work that must not be broken off half done.

    :param node: the node's name, for logs.
    """

    def __init__(self, node: str):
        self.tasks: set[asyncio.Task] = set()
        self.log = log.Log("background", node)

    async def run(self, work: collections.abc.Coroutine[object, object, T]) -> T:
        """Wait for work; a cancelled wait leaves the work running."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.end)
        return await asyncio.shield(task)

    def end(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.log.debug("work-failed", why=repr(task.exception()))
