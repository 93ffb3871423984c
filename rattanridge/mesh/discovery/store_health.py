"""Whether the store answers this node, found out by small calls.

A watch that waits tells nothing: perhaps nothing has changed, perhaps the store is
silent. So a small call follows each watch that begins, and each time in which the store
has answered nothing. If it fails, the store counts as lost, and all watches begin again
once it answers. Its answer says nothing of a watch that waits: the store may have been
silent just when that began.
"""

import asyncio
import collections.abc
import random
import typing

from rattanridge.kernel import codes
from rattanridge.mesh import events, settings

CHECK_DELAY = 0.05  # seconds from the begin of a watch to the check that follows it
MIN_CHECK_INTERVAL = 1.0  # seconds between two checks while the store answers
MAX_SILENCE = 2.0  # seconds without an answer after which the store is checked
SILENCE_JITTER = (0.8, 1.2)  # so that the nodes do not check at the same time
FIRST_RETRY_DELAY = 0.1  # seconds before the first call after a failed one; doubles
MAX_RETRY_DELAY = 0.8  # seconds
RETRY_JITTER = (0.7, 1.3)
MIN_SPREAD = 0.15  # seconds over which the nodes spread lists that all make at once
RATE_SHARE = 0.8  # of the store's read rate that these lists may use
RELIST_INTERVAL = 2.0  # seconds at least between two requests to list all kinds again

Check = collections.abc.Callable[[], collections.abc.Awaitable[None]]


class Watch(typing.Protocol):
    """A watch that can be made to call the store again, or to list again.

    :param kind: kind of the objects that it follows.
    :param heard_at: monotonic seconds of the last answer to one of its own calls.
    """

    kind: str
    heard_at: float

    def interrupt(self) -> None: ...

    def renew(self) -> None: ...


class StoreHealth:
    """Tracks whether the store can be reached, for all watches of the node.

    While it cannot, only this object calls it, so that an outage costs few calls.

    :param config: has the store's read rate.
    :param check: makes a small call; raises ``watch-lost`` if the store has dropped its
        history, another coded failure without an answer.
    """

    def __init__(
        self,
        config: settings.Settings,
        check: Check,
        log: events.Events,
        rng: random.Random | None = None,
    ):
        self.config = config
        self.nodes = 1  # known nodes, this one included
        self.check = check
        self.log = log
        self.random = rng or random.Random()
        self.up = asyncio.Event()
        self.up.set()
        self.lost_at = 0.0
        self.answered_at = 0.0
        self.relisted_at = float("-inf")
        self.checked_at = float("-inf")
        # Whether a watch began after the last check.
        self.watch_unchecked = False
        self.watches: list[Watch] = []
        self.timer: asyncio.TimerHandle | None = None
        self.task: asyncio.Task | None = None

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def spread(self) -> float:
        """Return the seconds over which all nodes spread their lists of all kinds."""
        lists = self.nodes * len(self.watches)
        return max(lists / (RATE_SHARE * self.config.store_reads_per_s), MIN_SPREAD)

    def relist(self, why: str) -> bool:
        """Make all watches list their kind again, as they may have missed changes.

        Return False, and do nothing, within RELIST_INTERVAL seconds of the last time.
        """
        now = self.now()
        if now - self.relisted_at < RELIST_INTERVAL:
            return False
        self.relisted_at = now
        self.log.info("watches-doubted", why=why)
        for watch in self.watches:
            watch.interrupt()
        return True

    def record_watch(self) -> None:
        """Record that a watch begins; the store may be silent just then."""
        self.watch_unchecked = True
        wait = self.checked_at + MIN_CHECK_INTERVAL - self.now()
        self.schedule_check(max(wait, CHECK_DELAY))

    def record_success(self) -> None:
        """Record that the store answered a call."""
        self.answered_at = self.now()
        if not self.up.is_set():
            away = self.now() - self.lost_at
            self.up.set()
            self.log.info("store-regained", away=away)
            for watch in self.watches:
                watch.renew()
        if self.watch_unchecked:
            self.record_watch()
            return
        self.cancel_check()
        self.schedule_check(MAX_SILENCE * self.random.uniform(*SILENCE_JITTER))

    def record_failure(self, failure: codes.Failure) -> None:
        """Record that the store did not answer a check, or refused it."""
        if not self.up.is_set():
            return
        self.up.clear()
        self.lost_at = self.now()
        self.log.info("store-lost", code=failure.code.number, why=failure.detail)

    def schedule_check(self, delay: float) -> None:
        """Schedule a check in ``delay`` seconds unless one comes before."""
        loop = asyncio.get_running_loop()
        at = loop.time() + delay
        if self.timer is not None and self.timer.when() <= at:
            return
        self.cancel_check()
        self.timer = loop.call_at(at, self.start_check)

    def cancel_check(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def start_check(self) -> asyncio.Task:
        """Return the task that checks the store, started if none is running."""
        self.cancel_check()
        if self.task is None or self.task.done():
            self.task = asyncio.create_task(self.check_until_answered())
        return self.task

    async def wait_for_answer(self) -> None:
        """Check the store after another call failed, and wait until it answers."""
        await asyncio.shield(self.start_check())

    async def check_until_answered(self) -> None:
        """Check the store until it answers, with a growing delay between the calls."""
        delay = FIRST_RETRY_DELAY
        while not await self.try_check():
            await asyncio.sleep(delay * self.random.uniform(*RETRY_JITTER))
            delay = min(delay * 2, MAX_RETRY_DELAY)

    async def try_check(self) -> bool:
        """Make one check; return whether the store answered."""
        self.checked_at = self.now()
        self.watch_unchecked = False
        try:
            await self.check()
        except codes.Failure as failure:
            if failure.code is not codes.WATCH_LOST:
                self.record_failure(failure)
                return False
            self.relist("the store has dropped its history")
        self.record_success()
        return True

    def close(self) -> None:
        """Stop checking."""
        self.cancel_check()
        if self.task is not None:
            self.task.cancel()
