"""Starts pipelined requests before the answers to earlier ones have been sent.

The HTTP library handles the requests of a connection one after the other, so that a
slow one delays all behind it. Answers are still sent in the order of the requests.
"""

import asyncio
import collections.abc
import typing

import aiohttp.http
import aiohttp.web_response

MAX_AHEAD = 8  # requests of one connection that run or wait for their turn

Run = collections.abc.Callable[
    [aiohttp.http.RawRequestMessage],
    collections.abc.Coroutine[None, None, aiohttp.web_response.StreamResponse],
]


class Pipeline(typing.Protocol):
    """Decides which requests may start early.

    Requests behind an answer that closes the connection count as unread and are sent
    again, so only requests that may run more than once can start early.
    """

    @property
    def closing(self) -> bool:
        """Whether answers close their connections."""

    def may_start_early(self, message: aiohttp.http.RawRequestMessage) -> bool: ...


class Ahead:
    """Requests of one connection that were started before their turn."""

    __slots__ = ("tasks",)

    def __init__(self) -> None:
        # By identity of the message, which is kept so that no other one gets it.
        self.tasks: dict[int, tuple[aiohttp.http.RawRequestMessage, asyncio.Task]] = {}

    def start(
        self,
        messages: collections.abc.Iterable[object],
        pipeline: Pipeline,
        run: Run,
    ) -> None:
        """Start waiting requests up to the first one that may not start early.

        :param messages: the requests that wait for their turn, in order; one that the
            library could not parse is of another type.
        """
        for message in messages:
            if not isinstance(message, aiohttp.http.RawRequestMessage):
                return
            if id(message) not in self.tasks:
                if not self.may_start(message, pipeline):
                    return
                task = asyncio.create_task(run(message))
                task.add_done_callback(retrieve_exception)
                self.tasks[id(message)] = (message, task)
            if message.should_close:
                return

    def may_start(
        self, message: aiohttp.http.RawRequestMessage, pipeline: Pipeline
    ) -> bool:
        """Return whether a request may start early: it is plain HTTP, and few do."""
        if message.upgrade or len(self.tasks) >= MAX_AHEAD:
            return False
        return pipeline.may_start_early(message)

    def take(self, message: aiohttp.http.RawRequestMessage) -> asyncio.Task | None:
        """Return the task of a request whose turn has come; None if not started."""
        _, task = self.tasks.pop(id(message), (None, None))
        return task

    def cancel(self) -> None:
        """Cancel all requests, as the connection is closed."""
        for _, task in self.tasks.values():
            task.cancel()
        self.tasks.clear()


def retrieve_exception(task: asyncio.Task) -> None:
    """Mark the exception of a task as seen; its turn may never come."""
    if not task.cancelled():
        task.exception()


def has_body(message: aiohttp.http.RawRequestMessage) -> bool:
    """Return whether a request announces a body."""
    return message.chunked or message.headers.get("Content-Length", "0") != "0"
