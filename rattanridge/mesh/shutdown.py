"""The shutdown of a node: what is still accepted, in one state for all its parts.

All that accept requests ask the same object, so that no part accepts what another one
already takes for ended.
"""

import asyncio
import enum

from rattanridge.kernel import codes
from rattanridge.policies import processing_times

RESTART_TIME = 1.0  # seconds until the next process of the node usually answers


class Phase(enum.IntEnum):
    """How far a shutdown has come."""

    RUNNING = 0
    DRAINING = 1  # requests are accepted that can end in time
    CLOSING = 2  # besides, each response to a caller closes its connection
    REFUSING = 3  # no request is accepted any more


class Shutdown:
    """The shutdown of one node.

    :param phase: never falls.
    :param deadline: monotonic seconds by which accepted requests have to end.
    """

    __slots__ = ("deadline", "phase")

    def __init__(self) -> None:
        self.phase = Phase.RUNNING
        self.deadline = float("inf")

    @property
    def begun(self) -> bool:
        """Whether the node is stopping."""
        return self.phase > Phase.RUNNING

    @property
    def closing(self) -> bool:
        """Whether responses to callers close their connections."""
        return self.phase >= Phase.CLOSING

    @property
    def refusing(self) -> bool:
        """Whether no request is accepted any more."""
        return self.phase is Phase.REFUSING

    def begin(self, deadline: float) -> None:
        """Accept only requests that can end before the deadline, monotonic seconds."""
        self.deadline = deadline
        self.advance(Phase.DRAINING)

    def advance(self, phase: Phase) -> None:
        """Enter a phase, unless a later one has been entered."""
        self.phase = max(self.phase, phase)

    def can_finish(self, processing_time: float) -> bool:
        """Return whether a request is accepted, as it will end before the deadline.

        :param processing_time: mean seconds of its route.
        """
        if self.refusing:
            return False
        return not processing_times.may_outlast(processing_time, self.time_left())

    def time_left(self) -> float:
        """Return the seconds until the deadline."""
        return self.deadline - asyncio.get_running_loop().time()

    def failure(self) -> codes.Failure:
        """Return the refusal of a caller's request."""
        wait = RESTART_TIME if self.refusing else max(self.time_left(), 0.0)
        return codes.Failure(codes.STOPPING, retry_after=wait)


async def sleep_until(deadline: float) -> None:
    """Sleep until monotonic seconds."""
    await asyncio.sleep(deadline - asyncio.get_running_loop().time())
