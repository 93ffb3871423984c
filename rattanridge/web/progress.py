"""Closes connections whose clients neither send nor read what they have to.

One timer checks all connections that hold bytes. It runs only while there are any.
"""

import asyncio
import typing

from rattanridge.web import memory

CHECK_SECONDS = 0.5  # between two checks


class Limits(typing.Protocol):
    """Limits of progress.

    :param progress_bytes: bytes per second that a client has to send or read.
    :param progress_interval: seconds over which they are counted.
    :param stall_seconds: seconds without progress after which a connection may be
        closed if memory is short.
    """

    @property
    def progress_bytes(self) -> int: ...

    @property
    def progress_interval(self) -> float: ...

    @property
    def stall_seconds(self) -> float: ...


class Watch:
    """Checks the progress of the connections that hold bytes of a budget."""

    def __init__(self, budget: memory.MemoryBudget, limits: Limits):
        self.budget = budget
        self.limits = limits
        self.timer: asyncio.TimerHandle | None = None
        budget.watch = self

    def start(self) -> None:
        """Start to check, if no check is scheduled."""
        if self.timer is None:
            loop = asyncio.get_running_loop()
            self.timer = loop.call_later(CHECK_SECONDS, self.check_all, loop)

    def stop(self) -> None:
        """Check no more."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def check_all(self, loop: asyncio.AbstractEventLoop) -> None:
        """Check all connections that hold bytes."""
        self.timer = None
        now = loop.time()
        for holder in list(self.budget.holders):
            if self.is_too_slow(holder, now):
                self.budget.drop(holder, "slow")
        if self.budget.holders:
            self.start()

    def is_too_slow(self, holder: memory.Holder, now: float) -> bool:
        """Update the progress of a connection; return whether it is to be closed."""
        position = holder.owner.position()
        if position is None:
            holder.marked_at = None
            holder.is_stalled = False
            return False
        if holder.marked_at is None:
            holder.marked_at = holder.moved_at = now
            holder.mark = holder.last = position
            return False
        if position > holder.last:
            holder.moved_at = now
        holder.last = position
        holder.is_stalled = now - holder.moved_at >= self.limits.stall_seconds
        elapsed = now - holder.marked_at
        if elapsed < self.limits.progress_interval:
            return False
        if position - holder.mark < self.limits.progress_bytes * elapsed:
            return True
        holder.mark, holder.marked_at = position, now
        return False
