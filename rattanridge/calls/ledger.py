"""The owner's side of claims: one task for each slice that has work.

A claim is granted only after a conditional write that holds it succeeded. An
owner that lost its slice can't grant any more; what it still tells from memory
(an answer, or that the request was accepted) stays true.
"""

import asyncio
import dataclasses

from rattanridge.calls import answers, budget, claimed, slices
from rattanridge.control import messages
from rattanridge.kernel import clock, codes, log, metrics, settings
from rattanridge.objectapi import client

TRIES = 2  # writes tried for one claim before it is refused
FLUSH_PAUSE = 1.0  # seconds that changed states wait for a claim to join
WAITING_MOST = 2000  # claims that wait at one owner
WAIT_MOST = 2.0  # seconds that one question may wait


@dataclasses.dataclass(slots=True, eq=False)
class Waiting:
    """One claim that waits for a write.

    :param checked: whether the slice was read after the claim arrived.
    """

    ask: claimed.Ask
    future: asyncio.Future
    tries: int = 0
    checked: bool = False

    def answer(self, reply: claimed.Reply) -> None:
        if not self.future.done():
            self.future.set_result(reply)

    def refuse(self) -> None:
        """Answer that the claim is not written."""
        verdict = claimed.Verdict.UNCHECKED
        if self.checked:
            verdict = claimed.Verdict.UNAVAILABLE
        self.answer(claimed.Reply(verdict))


@dataclasses.dataclass(slots=True)
class SliceQueue:
    """One slice with the claims that wait for it."""

    slice: slices.Slice
    waiting: dict[str, Waiting] = dataclasses.field(default_factory=dict)
    events: dict[str, asyncio.Event] = dataclasses.field(default_factory=dict)
    arrived: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    task: asyncio.Task | None = None


class Ledger:
    """Serves claims of the slices that this process owns or takes over.

    :param config: the node's settings.
    :param platform: the platform's client.
    :param counters: counts claims by verdict, and writes.
    :param incarnation: the process's start, in milliseconds since the epoch.
    """

    def __init__(
        self,
        config: settings.NodeSettings,
        platform: client.Client,
        counters: metrics.Counters,
        incarnation: int,
        time: clock.Clock | None = None,
    ):
        self.config = config
        self.settings = config.claims
        self.platform = platform
        self.counters = counters
        self.owner = f"{config.name}/{incarnation}"
        self.address = ""
        self.time = time or clock.Clock()
        self.log = log.Log("ledger", config.name)
        self.answers = answers.Answers(config.claims.answer_bytes)
        self.queues: dict[int, SliceQueue] = {}
        self.budget = budget.Budget(self.time)
        self.questions = 0
        self.closed = False

    async def serve_claim(
        self, node: str, message: messages.Embedded
    ) -> messages.Embedded:
        """Answer another node's question over the control server."""
        ask = claimed.unpack(message, claimed.Ask)
        return claimed.pack(await self.claim(ask))

    async def serve_outcome(
        self, node: str, message: messages.Embedded
    ) -> messages.Embedded:
        """Take another node's outcome over the control server."""
        outcome = claimed.unpack(message, claimed.Outcome)
        return claimed.pack(self.settle(outcome))

    def queue_of(self, number: int) -> SliceQueue:
        if not 0 <= number < self.settings.slices:
            raise codes.Failure(codes.BAD_MESSAGE, f"slice {number}")
        if number not in self.queues:
            self.queues[number] = SliceQueue(
                slices.Slice(
                    number,
                    self.platform,
                    self.config,
                    self.owner,
                    self.address,
                    self.time,
                )
            )
        return self.queues[number]

    async def claim(self, ask: claimed.Ask) -> claimed.Reply:
        """Answer a claim within the seconds that the question may wait."""
        if self.closed:
            raise codes.Failure(codes.STOPPING)
        if ask.slices != self.settings.slices:
            raise codes.Failure(codes.BAD_MESSAGE, "another number of slices")
        queue = self.queue_of(ask.slice)
        if self.questions >= WAITING_MOST:
            return self.count(claimed.Reply(claimed.Verdict.UNCHECKED))
        self.questions += 1
        try:
            return self.count(await self.decide(queue, ask))
        finally:
            self.questions -= 1

    def count(self, reply: claimed.Reply) -> claimed.Reply:
        self.counters.add(f"claims.{reply.verdict.value}")
        return reply

    async def decide(self, queue: SliceQueue, ask: claimed.Ask) -> claimed.Reply:
        if queue.slice.held:
            reply = await self.wait_outcome(queue, ask)
            if reply is not None:
                return reply
        future = self.join(queue, ask)
        await self.wait(future, ask.wait)
        if not future.done():
            return claimed.Reply(claimed.Verdict.PENDING)
        return future.result()

    async def wait_outcome(
        self, queue: SliceQueue, ask: claimed.Ask
    ) -> claimed.Reply | None:
        """Answer a repeat from memory; wait while the first one runs."""
        reply = self.look(queue, ask)
        if reply is None or reply.verdict is not claimed.Verdict.RUNNING:
            return reply
        event = queue.events.setdefault(ask.claim.key, asyncio.Event())
        waiter = asyncio.ensure_future(event.wait())
        try:
            await self.wait(waiter, ask.wait)
        finally:
            waiter.cancel()
        return self.look(queue, ask)

    async def wait(self, future: asyncio.Future, seconds: float) -> None:
        """Wait for a future, at most some seconds of this ledger's clock."""
        if future.done() or seconds <= 0:
            return
        sleeper = asyncio.ensure_future(self.time.sleep(min(seconds, WAIT_MOST)))
        try:
            await asyncio.wait((future, sleeper), return_when="FIRST_COMPLETED")
        finally:
            sleeper.cancel()

    def look(self, queue: SliceQueue, ask: claimed.Ask) -> claimed.Reply | None:
        """Answer from the known claims; ``None`` if the key may be claimed."""
        known = queue.slice.find(ask.claim.key)
        attempt = ask.claim.attempt
        if known is None:
            return None
        if known.attempt == attempt:
            if known.state is claimed.State.RUNNING:
                return claimed.Reply(claimed.Verdict.GRANTED)
            return claimed.Reply(claimed.Verdict.UNAVAILABLE)
        if known.state in claimed.FREE:
            return None
        if known.state is claimed.State.DONE and known.attempt == ask.closes:
            return None
        if known.digest != ask.claim.digest:
            return conflict(known)
        return self.repeat(known)

    def repeat(self, known: claimed.Claim) -> claimed.Reply:
        """Answer a repeat of the request that holds a claim."""
        if known.state is claimed.State.DONE:
            answer = self.answers.get(known.attempt)
            if answer is not None:
                return claimed.Reply(
                    claimed.Verdict.RECORDED, codes.Ran.RAN, answer, known.attempt
                )
            return claimed.Reply(
                claimed.Verdict.ACCEPTED, codes.Ran.RAN, attempt=known.attempt
            )
        if known.state is claimed.State.RUNNING and self.time.wall() <= known.ends + 1:
            return claimed.Reply(claimed.Verdict.RUNNING)
        return claimed.Reply(claimed.Verdict.ACCEPTED)

    def join(self, queue: SliceQueue, ask: claimed.Ask) -> asyncio.Future:
        """Queue a claim for the next write; a repeated question joins itself."""
        attempt = ask.claim.attempt
        known = queue.waiting.get(attempt)
        if known is not None and not known.future.done():
            known.ask = ask
            return known.future
        future = asyncio.get_running_loop().create_future()
        queue.waiting[attempt] = Waiting(ask, future)
        queue.arrived.set()
        self.kick(queue)
        return future

    def kick(self, queue: SliceQueue) -> None:
        """Let the slice's task run."""
        if queue.task is None or queue.task.done():
            queue.task = asyncio.create_task(self.work(queue))

    async def work(self, queue: SliceQueue) -> None:
        """Write while there is something to write; one write at a time."""
        while queue.waiting or (queue.slice.held and queue.slice.settled):
            if not queue.waiting:
                queue.arrived.clear()
                arrival = asyncio.ensure_future(queue.arrived.wait())
                await self.wait(arrival, FLUSH_PAUSE)
                arrival.cancel()
            await self.budget.take(self.rate())
            batch, queue.waiting = queue.waiting, {}
            try:
                await self.serve(queue, list(batch.values()))
            except codes.Failure as failure:
                self.failed(queue, list(batch.values()), failure)
            except BaseException:
                for item in batch.values():
                    item.refuse()
                raise

    def rate(self) -> float:
        """Return the writes a second that the slices worked on here may cost."""
        working = sum(
            queue.task is not None and not queue.task.done()
            for queue in self.queues.values()
        )
        held = sum(queue.slice.held for queue in self.queues.values())
        part = max(working, held, 1) / self.settings.slices
        return self.settings.writes_per_second * part

    async def serve(self, queue: SliceQueue, batch: list[Waiting]) -> None:
        """Read the slice if it is not held, decide the batch, and write it.

        A slice that is full is read as well: nothing is refused as not run on
        what memory alone tells.
        """
        room = self.settings.slice_bytes - queue.slice.used()
        if not queue.slice.held or room < len(batch) * slices.CLAIM_BYTES:
            await queue.slice.load()
            for item in batch:
                item.checked = True
            if self.elsewhere(queue, batch):
                return
        granted = self.choose(queue, batch)
        if not granted and not (queue.slice.held and queue.slice.settled):
            return
        self.counters.add("claims.writes")
        await queue.slice.commit([item.ask.claim for item in granted])
        for item in granted:
            item.answer(self.look(queue, item.ask))
        self.wake(queue)

    def elsewhere(self, queue: SliceQueue, batch: list[Waiting]) -> bool:
        """Send the batch to the slice's owner, unless it can't be reached."""
        slice = queue.slice
        address = slice.head.address
        if not slice.foreign() or address == self.address:
            return False
        if any(item.ask.unreachable == address for item in batch):
            self.log.info("slice-owner-lost", slice=slice.key, owner=slice.head.owner)
            self.counters.add("claims.takeovers")
            return False
        for item in batch:
            item.answer(claimed.Reply(claimed.Verdict.MOVED, address=address))
        return True

    def choose(self, queue: SliceQueue, batch: list[Waiting]) -> list[Waiting]:
        """Answer what needs no write; return the claims to write."""
        granted: dict[str, Waiting] = {}
        room = self.settings.slice_bytes - queue.slice.used()
        for item in batch:
            key, attempt = item.ask.claim.key, item.ask.claim.attempt
            reply = self.look(queue, item.ask)
            if reply is None and attempt in queue.slice.outcomes:
                reply = claimed.Reply(claimed.Verdict.UNAVAILABLE)
            if reply is None and key in granted:
                reply = claimed.Reply(claimed.Verdict.RUNNING)
            if reply is None and room < (len(granted) + 1) * slices.CLAIM_BYTES:
                reply = claimed.Reply(claimed.Verdict.FULL)
            if reply is not None:
                item.answer(reply)
            else:
                granted[key] = item
        return list(granted.values())

    def failed(
        self, queue: SliceQueue, batch: list[Waiting], failure: codes.Failure
    ) -> None:
        """After a failed read or write: try again once, then refuse.

        The claims may still be written; their entries tell that they gave up.
        """
        queue.slice.held = False
        self.counters.add(f"claims.failed.{failure.code.name}")
        self.log.info(
            "claims-not-written",
            slice=queue.slice.key,
            code=failure.code.number,
            claims=len(batch),
            why=failure.detail,
        )
        for item in batch:
            item.tries += 1
            if item.future.done():
                continue
            if item.tries < TRIES:
                queue.waiting.setdefault(item.ask.claim.attempt, item)
            else:
                item.refuse()

    def settle(self, outcome: claimed.Outcome) -> claimed.Reply:
        """Note what became of an attempt, and wake those that wait for it."""
        if self.closed:
            raise codes.Failure(codes.STOPPING)
        queue = self.queue_of(outcome.slice)
        slice = queue.slice
        if outcome.answer is not None:
            self.answers.put(outcome.attempt, outcome.answer)
        if outcome.state is claimed.State.CLOSED:
            self.answers.drop(outcome.attempt)
        changed = slice.settle(outcome.key, outcome.attempt, outcome.state)
        self.counters.add(f"claims.settled.{outcome.state.name.lower()}")
        if changed:
            self.wake(queue)
            self.kick(queue)
        if slice.foreign() and not slice.held:
            return claimed.Reply(claimed.Verdict.MOVED, address=slice.head.address)
        return claimed.Reply(claimed.Verdict.ACCEPTED)

    def wake(self, queue: SliceQueue) -> None:
        """Wake the repeats whose first sending is no longer running."""
        for key in list(queue.events):
            known = queue.slice.find(key)
            if known is None or known.state is not claimed.State.RUNNING:
                queue.events.pop(key).set()

    async def hand_over(self) -> None:
        """Write what is left and give every slice back, on a planned stop."""
        self.closed = True
        for queue in self.queues.values():
            if queue.task is not None and not queue.task.done():
                await self.wait(queue.task, WAIT_MOST)
                queue.task.cancel()
            if not queue.slice.held:
                continue
            try:
                await queue.slice.commit([], release=True)
            except codes.Failure as failure:
                self.log.info(
                    "slice-not-handed-over", slice=queue.slice.key, why=str(failure)
                )

    async def close(self) -> None:
        """End all tasks at once."""
        self.closed = True
        tasks = [queue.task for queue in self.queues.values() if queue.task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def conflict(known: claimed.Claim) -> claimed.Reply:
    """Answer a request whose key another request holds.

    While that one runs it may yet prove not to have run, and its key go to this
    request: then an older view must not say "not run".
    """
    ran = codes.Ran.NOT_RUN
    if known.state is claimed.State.RUNNING:
        ran = codes.Ran.UNKNOWN
    return claimed.Reply(claimed.Verdict.CONFLICT, ran)
