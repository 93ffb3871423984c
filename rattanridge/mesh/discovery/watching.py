"""Follows the objects of one kind in the store: list, watch, and list again."""

import asyncio
import collections.abc

from rattanridge.kernel import codes
from rattanridge.mesh import events
from rattanridge.mesh.discovery import store_health
from rattanridge.platform import store as stores, store_objects
from rattanridge.policies import freshness as freshnesses

# Seconds that one watch waits for changes: the longest time for each known node, within
# limits. An answer without changes proves that there are none, to all nodes that hear
# of it. Waits are random with a constant hazard, so that some end at any time, also
# soon after a change at which all of them began.
WAIT_PER_NODE = 0.7
MIN_LONGEST_WAIT = 10.0
MAX_LONGEST_WAIT = 18.0  # below the time for which stores keep their history
SHORTEST_WAIT = 0.8  # seconds
MEAN_WAIT_SHARE = 0.7  # of the longest
LAST_WAIT_SHARE = 0.9  # of the longest, for waits that would be longer
# Seconds that a watch of what may be old waits, so that the nodes hear of each other
# even if one call is never answered.
STALE_WAIT = (3.0, 4.2)
MIN_WAIT = 0.5  # seconds that a call waits at least when it is renewed
ANSWER_MARGIN = 0.3  # seconds for the way to the store and back; doubles if too short
MAX_UNANSWERED = 1  # watches in a row, after which the kind is listed
# Longest time in seconds before a call that failed is made again though the store
# answers others.
MAX_RETRY_DELAY = 0.9
STORM_GAP = 2.0  # seconds; changes that follow each other faster are a storm
# Share of the time in which a change must be in force, between two lists in a storm of
# which one may be old.
STORM_LIST_SHARE = 0.42

ApplyAll = collections.abc.Callable[[list[store_objects.StoredObject]], None]
ApplyOne = collections.abc.Callable[[store_objects.StoredObject], None]


class Watch:
    """Follows the objects of one kind.

    :param apply_all: called with all objects after a list.
    :param apply: called with each changed or deleted object.
    :param batch_delay: seconds from a change to the next watch call, which then
        returns all changes made meanwhile.
    :param allow_stale: whether changes may arrive seconds late, which costs the store
        much less.
    :param large: whether the objects are large. A watch returns every version since
        the last one, a list only the newest ones. During a storm of changes the
        watch therefore lists, which keeps slow links free.
    :param is_behind: returns whether other nodes have newer objects.
    :param freshness: when the data were last known to be the newest, also by others.
    :param on_answer: called with each answer of the store, also if nothing changed.
    """

    def __init__(
        self,
        store: stores.Store,
        kind: str,
        health: store_health.StoreHealth,
        apply_all: ApplyAll,
        apply: ApplyOne,
        log: events.Events,
        batch_delay: float,
        allow_stale: bool = False,
        large: bool = False,
        is_behind: collections.abc.Callable[[], bool] = lambda: False,
        freshness: freshnesses.Freshness | None = None,
        on_answer: collections.abc.Callable[[], None] | None = None,
    ):
        self.large = large
        self.is_behind = is_behind
        self.freshness = freshness or freshnesses.Freshness()
        self.on_answer = on_answer
        self.changed_at = float("-inf")
        self.batch_delay = batch_delay
        self.allow_stale = allow_stale
        self.store = store
        self.kind = kind
        self.health = health
        self.apply_all = apply_all
        self.apply = apply
        self.log = log
        self.revision = 0
        self.newest = 0
        self.listed = False
        self.heard_at = 0.0
        self.began_at = 0.0
        # When the watch that waits now ends, over all calls that it takes; None if
        # none waits.
        self.ends_at: float | None = None
        self.renewal: asyncio.TimerHandle | None = None
        self.unanswered = 0  # watches in a row
        self.pending: asyncio.Task | None = None
        self.interrupted = False
        self.retry_delay = store_health.FIRST_RETRY_DELAY
        health.watches.append(self)

    async def run(self) -> None:
        """Follow the kind until cancelled."""
        while True:
            try:
                await self.list()
                self.retry_delay = store_health.FIRST_RETRY_DELAY
                while True:
                    await self.watch_once()
            except codes.Failure as failure:
                if failure.code is codes.WATCH_LOST:
                    self.log.info("watch-lost", kind=self.kind, revision=self.revision)
                    self.health.relist(failure.detail)
                    spread = self.health.spread()
                    await asyncio.sleep(self.health.random.uniform(0.0, spread))
                    continue
                await self.back_off(failure)

    async def back_off(self, failure: codes.Failure) -> None:
        """Wait after a failed call until the store answers a small one."""
        self.log.note("watch-failed", kind=self.kind, code=failure.code.number)
        await self.health.wait_for_answer()
        delay = self.retry_delay
        self.retry_delay = min(delay * 2, MAX_RETRY_DELAY)
        jitter = self.health.random.uniform(*store_health.RETRY_JITTER)
        await asyncio.sleep(delay * jitter)

    async def list(self) -> None:
        """List all objects and apply them; raise ``platform-busy`` if the list is old.

        A list is old if its revision is lower than one that was already received.
        """
        self.interrupted = False
        began_at = asyncio.get_running_loop().time()
        listing = await self.store.list(self.kind)
        self.record_answer()
        if listing.revision < self.revision:
            self.log.info("list-old", kind=self.kind, revision=listing.revision)
            raise codes.Failure(
                codes.PLATFORM_BUSY,
                f"list of revision {listing.revision} is older than {self.revision}",
            )
        self.revision = listing.revision
        self.newest = max((item.revision for item in listing.items), default=0)
        self.apply_all(listing.items)
        self.freshness.record(began_at)
        self.listed = True

    async def read_stale_list(self) -> None:
        """Apply the newer objects of a list that may be old, and costs little.

        Watches do not continue from it, so that they miss nothing.
        """
        listing = await self.store.list(self.kind, allow_stale=True)
        self.health.record_success()
        for item in listing.items:
            self.apply_one(item)

    def apply_one(self, item: store_objects.StoredObject) -> None:
        """Apply one object that may have changed."""
        self.apply(item)
        self.newest = max(self.newest, item.revision)

    def draw_wait(self) -> float:
        """Return the seconds for which the next watch waits for changes."""
        if self.allow_stale:
            return self.health.random.uniform(*STALE_WAIT)
        longest = WAIT_PER_NODE * self.health.nodes
        longest = min(max(longest, MIN_LONGEST_WAIT), MAX_LONGEST_WAIT)
        draw = self.health.random
        wait = SHORTEST_WAIT + draw.expovariate(1 / (MEAN_WAIT_SHARE * longest))
        if wait > longest:
            return draw.uniform(LAST_WAIT_SHARE * longest, longest)
        return wait

    def continue_wait(self) -> float:
        """Return the seconds that a call which begins now waits for changes.

        A call that takes another one's place waits for the rest of its time.
        """
        if self.ends_at is not None:
            return max(self.ends_at - self.began_at, MIN_WAIT)
        wait = self.draw_wait()
        self.ends_at = self.began_at + wait
        return wait

    def margin(self) -> float:
        """Return the seconds beyond its wait within which a call must be answered."""
        return ANSWER_MARGIN * 2**self.unanswered

    async def watch_once(self) -> None:
        """Make one watch call and apply the changes that it returns, if any.

        Return without an answer if another call has to take its place. Raise
        ``watch-lost`` if the watch was interrupted to list again.
        """
        if self.interrupted:
            raise codes.Failure(codes.WATCH_LOST, "interrupted to list again")
        self.began_at = asyncio.get_running_loop().time()
        wait = self.continue_wait()
        call = self.store.watch(
            self.kind, self.revision, wait, self.margin(), self.allow_stale
        )
        self.pending = asyncio.create_task(call)
        self.schedule_renewal()
        self.health.record_watch()
        try:
            changes = await self.pending
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                raise
            if not self.interrupted:
                return
            raise codes.Failure(codes.WATCH_LOST, "interrupted to list again")
        except codes.Failure as failure:
            if failure.code is not codes.WATCH_UNANSWERED:
                raise
            self.record_unanswered(failure)
            return
        finally:
            self.pending.cancel()
            self.pending = None
            self.cancel_renewal()
        self.record_answer()
        if not changes.items:
            self.record_wait(wait)
        await self.apply_changes(changes)

    async def apply_changes(self, changes: store_objects.Listing) -> None:
        """Apply the answer to a watch; return when the next one may begin."""
        self.revision = max(self.revision, changes.revision)
        if not changes.items:
            return
        for item in changes.items:
            self.apply_one(item)
        self.log.note(
            "watch-answered",
            kind=self.kind,
            revision=self.revision,
            changes=len(changes.items),
            waited=self.heard_at - self.began_at,
        )
        if self.is_storm() and self.large:
            await self.wait_out_storm()
        else:
            await asyncio.sleep(self.batch_delay)

    def record_wait(self, wait: float) -> None:
        """Record that a call was answered without changes.

        The store answers so once the whole wait is over, which it counts from when it
        has taken the call.
        """
        if not self.allow_stale and self.heard_at >= self.began_at + wait:
            self.freshness.record(self.began_at + wait)

    def schedule_renewal(self) -> None:
        """Let the pending call begin again before it may have missed too much."""
        if self.allow_stale:
            return
        at = self.freshness.renew_at(self.began_at, self.health.config.bounds())
        self.renewal = asyncio.get_running_loop().call_at(at, self.renew_if_due)

    def renew_if_due(self) -> None:
        """Begin the pending call again, unless its data have been proved meanwhile."""
        at = self.freshness.renew_at(self.began_at, self.health.config.bounds())
        if at <= asyncio.get_running_loop().time():
            self.renew()
        else:
            self.schedule_renewal()

    def cancel_renewal(self) -> None:
        if self.renewal is not None:
            self.renewal.cancel()
            self.renewal = None

    def record_unanswered(self, failure: codes.Failure) -> None:
        """Record that a call was not answered; the next one begins where it did.

        Raise ``watch-lost`` after several in a row, to list the kind.
        """
        self.log.note("watch-unanswered", kind=self.kind, why=failure.detail)
        self.ends_at = None
        self.unanswered += 1
        if self.large and self.is_behind():
            self.interrupt()
        if self.unanswered > MAX_UNANSWERED:
            raise codes.Failure(codes.WATCH_LOST, failure.detail)

    def is_storm(self) -> bool:
        """Record a change; return whether it came within STORM_GAP of the last one."""
        now = asyncio.get_running_loop().time()
        gap = now - self.changed_at
        self.changed_at = now
        return gap < STORM_GAP

    async def wait_out_storm(self) -> None:
        """List now and then until a list shows no change.

        Lists that may be old cost little, but two of them in a row may leave the node
        with objects that are too old.
        """
        newest = -1
        stale = False  # whether the last list may have been old
        interval = STORM_LIST_SHARE * self.health.config.bounds().apply
        while newest < self.newest:
            newest = self.newest
            await asyncio.sleep(interval)
            stale = not stale
            if stale:
                await self.read_stale_list()
            if newest == self.newest:
                await self.list()
                stale = False
        self.log.note("watch-storm-passed", kind=self.kind, revision=self.revision)

    def interrupt(self) -> None:
        """End the pending watch call, or the next one, so that the kind is listed."""
        self.interrupted = True
        if self.pending is not None:
            self.pending.cancel()

    def renew(self) -> None:
        """End the pending watch call, so that the next one begins where it did.

        Unlike a list, its answer has only what was missed; but every version of it, so
        large objects are listed if they are known to have changed.
        """
        if self.large and self.is_behind():
            self.interrupt()
        elif self.pending is not None:
            self.pending.cancel()

    def record_answer(self) -> None:
        """Record that the store answered a call of this watch."""
        self.heard_at = asyncio.get_running_loop().time()
        self.unanswered = 0
        self.ends_at = None
        if self.on_answer is not None:
            self.on_answer()
        self.health.record_success()
