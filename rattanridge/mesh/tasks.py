"""Tasks that run until the node is closed."""

import asyncio
import collections.abc

from rattanridge.mesh import events


class Tasks:
    """Runs coroutines in the background and logs their failures."""

    def __init__(self, log: events.Events):
        self.log = log
        self.items: list[asyncio.Task] = []

    def start(self, work: collections.abc.Coroutine) -> None:
        """Run a coroutine until the tasks are cancelled."""
        task = asyncio.create_task(work)
        task.add_done_callback(self.log_failure)
        self.items.append(task)

    def log_failure(self, task: asyncio.Task) -> None:
        if not task.cancelled() and task.exception() is not None:
            self.log.error("task-failed", why=repr(task.exception()))

    def cancel(self) -> None:
        """Cancel all tasks."""
        for task in self.items:
            task.cancel()
