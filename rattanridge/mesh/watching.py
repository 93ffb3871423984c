"""Follows the objects of one kind in the store: list, watch, and list again."""

import asyncio
import collections.abc
import random

from rattanridge.kernel import codes
from rattanridge.mesh import events
from rattanridge.platform import store as stores

WAIT = (4.0, 10.0)  # seconds that a watch waits; nodes must not renew theirs together
DOUBT_PAUSE = 2.0  # seconds between two lists that a doubt causes
FIRST_PAUSE = 0.1  # seconds before the first call after a failed one
LONGEST_PAUSE = 0.9  # seconds
LIST_SPREAD = 0.15  # seconds over which nodes spread the lists of a lost history
STORM_GAP = 2.0  # seconds; changes closer to one another are a storm
STORM_SETTLE = 0.9  # seconds between two lists in a storm

TakeAll = collections.abc.Callable[[list[stores.StoredObject]], None]
TakeOne = collections.abc.Callable[[stores.StoredObject], None]


class Health:
    """What a node knows of the store. While it is away, one watch tries it for all."""

    def __init__(self, log: events.Events, rng: random.Random | None = None):
        self.log = log
        self.random = rng or random.Random()
        self.up = asyncio.Event()
        self.up.set()
        self.prober: object | None = None
        self.pause = FIRST_PAUSE
        self.lost_at = 0.0
        self.doubted_at = float("-inf")
        self.watches: list[Watch] = []

    def doubt(self, why: str) -> None:
        """Watches may have missed changes: list all kinds again."""
        now = asyncio.get_running_loop().time()
        if now - self.doubted_at < DOUBT_PAUSE:
            return
        self.doubted_at = now
        self.log.info("watches-doubted", why=why)
        for watch in self.watches:
            watch.interrupt()

    def succeeded(self) -> None:
        """A call was answered."""
        if not self.up.is_set():
            away = asyncio.get_running_loop().time() - self.lost_at
            self.log.info("store-regained", away=away)
        self.up.set()
        self.prober = None
        self.pause = FIRST_PAUSE

    async def failed(self, who: object, failure: codes.Failure) -> None:
        """A call failed: wait for the time of the next one."""
        if self.up.is_set():
            self.up.clear()
            self.lost_at = asyncio.get_running_loop().time()
            self.log.info("store-lost", code=failure.code.number, why=failure.detail)
        if self.prober not in (None, who):
            await self.up.wait()
            return
        self.prober = who
        pause = self.pause * self.random.uniform(0.7, 1.3)
        self.pause = min(self.pause * 2, LONGEST_PAUSE)
        await asyncio.sleep(pause)


class Watch:
    """Follows one kind.

    :param take_all: gets all objects after a list.
    :param take: gets one changed or deleted object.
    :param settle: seconds after a change before the next watch; changes that
        gather meanwhile come with one call.
    :param stale: whether changes may be heard seconds late; it is much cheaper.
    :param large: whether the objects are large. A watch returns all versions since
        the last one; in a storm of changes a list returns the newest ones only,
        which keeps slow links free.
    :param heard: called at each answer of the store, also if nothing changed.
    """

    def __init__(
        self,
        store: stores.Store,
        kind: str,
        health: Health,
        take_all: TakeAll,
        take: TakeOne,
        log: events.Events,
        settle: float,
        stale: bool = False,
        large: bool = False,
        heard: collections.abc.Callable[[], None] | None = None,
    ):
        self.large = large
        self.heard = heard
        self.changed_at = float("-inf")
        self.settle = settle
        self.stale = stale
        self.store = store
        self.kind = kind
        self.health = health
        self.take_all = take_all
        self.take = take
        self.log = log
        self.revision = 0
        self.newest = 0
        self.listed = False
        self.answered_at = 0.0
        self.waiting: asyncio.Task | None = None
        self.doubted = False
        health.watches.append(self)

    async def run(self) -> None:
        """Follow the kind for ever."""
        while True:
            try:
                await self.list()
                while True:
                    await self.step()
            except codes.Failure as failure:
                if failure.code is codes.WATCH_LOST:
                    self.log.info("watch-lost", kind=self.kind, revision=self.revision)
                    self.health.doubt(failure.detail)
                    await asyncio.sleep(self.health.random.uniform(0.0, LIST_SPREAD))
                    continue
                await self.health.failed(self, failure)

    async def list(self) -> None:
        """Take over all objects, unless the answer is older than what is known."""
        self.doubted = False
        listing = await self.store.list(self.kind)
        self.hear()
        if listing.revision < self.revision:
            self.log.info("list-old", kind=self.kind, revision=listing.revision)
            raise codes.Failure(codes.PLATFORM_BUSY, "an old list")
        self.revision = listing.revision
        self.newest = max((item.revision for item in listing.items), default=0)
        self.take_all(listing.items)
        self.listed = True

    async def step(self) -> None:
        """Wait for changes once and take them over."""
        if self.doubted:
            raise codes.Failure(codes.WATCH_LOST, "doubted")
        wait = self.health.random.uniform(*WAIT)
        self.waiting = asyncio.create_task(
            self.store.watch(self.kind, self.revision, wait, self.stale)
        )
        try:
            changes = await self.waiting
        except asyncio.CancelledError:
            if asyncio.current_task().cancelling():
                raise
            raise codes.Failure(codes.WATCH_LOST, "doubted")
        finally:
            self.waiting.cancel()
            self.waiting = None
        self.hear()
        self.revision = max(self.revision, changes.revision)
        for item in changes.items:
            self.take(item)
        if not changes.items:
            return
        if self.is_storm() and self.large:
            await self.pass_storm()
        else:
            await asyncio.sleep(self.settle)

    def is_storm(self) -> bool:
        """Whether this change came soon after the one before."""
        now = asyncio.get_running_loop().time()
        gap = now - self.changed_at
        self.changed_at = now
        return gap < STORM_GAP

    async def pass_storm(self) -> None:
        """List now and then until nothing changes any more."""
        newest = -1
        while newest < self.newest:
            newest = self.newest
            await asyncio.sleep(STORM_SETTLE)
            await self.list()
        self.log.note("watch-storm-passed", kind=self.kind, revision=self.revision)

    def interrupt(self) -> None:
        """End the watch that waits, or the next one; then the kind is listed again."""
        self.doubted = True
        if self.waiting is not None:
            self.waiting.cancel()

    def hear(self) -> None:
        self.answered_at = asyncio.get_running_loop().time()
        if self.heard is not None:
            self.heard()
        self.health.succeeded()
