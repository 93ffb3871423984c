"""Requests with an idempotency key run at most once in the whole fleet.

A claim is an object in the store, named after the key. Of several sendings of
one request only the one that creates the object runs; the others get its
recorded answer. Routes without a key source cost the store nothing.
"""

import asyncio
import collections.abc
import secrets
import time

from rattanridge.kernel import codes, routes
from rattanridge.mesh import calls, claim as claiming, events, peers, settings
from rattanridge.platform import store as stores
from rattanridge.policies import keys

KIND = "claims"
POLL = 0.1  # seconds between looks at a claim whose first sending still runs
LEAST_LEFT = 0.05  # seconds before the deadline at which waiting ends
LATE = 30.0  # seconds after its deadline in which work may still end
TELL_TRIES = 6
TELL_PAUSE = 0.3  # seconds before an outcome is written again; doubles
SWEEP_INTERVAL = 60.0  # seconds between two rounds of removing old claims

Work = collections.abc.Callable[[], collections.abc.Awaitable[calls.Answer]]


class Claims:
    """Guards calls with a key.

    :param leads: whether it is this node's turn to remove old claims.
    """

    def __init__(
        self,
        config: settings.Settings,
        store: stores.Store,
        leads: collections.abc.Callable[[], bool],
        log: events.Events,
        meters: events.Meters,
    ):
        self.config = config
        self.store = store
        self.leads = leads
        self.log = log
        self.meters = meters
        self.tasks: set[asyncio.Task] = set()
        self.used = False

    async def guard(
        self, call: calls.Call, route: routes.Route, work: Work
    ) -> calls.Answer:
        """Run a call once its claim is granted, else answer or refuse it.

        The work goes on if the caller goes away: a repeat gets its answer. It does
        not begin once the caller's time is over.
        """
        key = keys.read(route.key, calls.as_mapping(call.headers), call.body)
        if not key:
            self.meters.add("claims.no-key")
            return await work()
        self.used = True
        task = self.begin(self.execute(call, key, work))
        try:
            async with asyncio.timeout_at(call.deadline + peers.ANSWER_MARGIN):
                return await asyncio.shield(task)
        except TimeoutError:
            raise unchecked(codes.Failure(codes.DEADLINE))

    def begin(self, work: collections.abc.Coroutine) -> asyncio.Task:
        """Run something that the caller's leaving does not end."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.finished)
        return task

    def finished(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None and not isinstance(error, codes.Failure):
            self.log.error("claim-failed", why=repr(error))

    async def execute(self, call: calls.Call, key: str, work: Work) -> calls.Answer:
        """Claim, run, and write what became of it."""
        name = claiming.identify(call, key)
        left = call.deadline - asyncio.get_running_loop().time()
        own = claiming.Claim(
            claiming.digest(call), secrets.token_hex(6), time.time() + left + LATE
        )
        while True:
            found, revision = await self.claim(call, name, own)
            if found.sending == own.sending:
                if call.deadline <= asyncio.get_running_loop().time():
                    self.begin(self.withdraw(name, own))
                    raise unchecked(codes.Failure(codes.DEADLINE))
                self.log.note("claim-granted", id=call.attempt, claim=name)
                return await self.run(name, revision, own, work)
            answer = await self.answer(call, name, own, found)
            if answer is not None:
                return answer

    async def claim(
        self, call: calls.Call, name: str, own: claiming.Claim
    ) -> tuple[claiming.Claim, int]:
        """Create a claim; return the one that the store holds, with its revision.

        A write without an answer may still happen, so it is repeated with the
        same content until the store says what it holds.
        """
        while True:
            try:
                return await self.create(name, own)
            except codes.Failure as failure:
                if failure.code not in stores.TRANSIENT_CODES or not self.has_time(
                    call
                ):
                    self.begin(self.withdraw(name, own))
                    raise unchecked(failure)
            await asyncio.sleep(POLL)

    async def create(
        self, name: str, own: claiming.Claim
    ) -> tuple[claiming.Claim, int]:
        """Create a claim, or return the one that the store holds."""
        while True:
            try:
                stored = await self.store.create(KIND, name, claiming.encode(own))
                return own, stored.revision
            except codes.Failure as failure:
                if failure.code is codes.PLATFORM_BUSY:
                    raise
                found = await self.look(name)
                if found is not None:
                    return found
                if failure.code is not codes.PLATFORM_CONFLICT:
                    raise

    def has_time(self, call: calls.Call) -> bool:
        left = call.deadline - asyncio.get_running_loop().time()
        return left > LEAST_LEFT + POLL

    async def look(self, name: str) -> tuple[claiming.Claim, int] | None:
        """Return a claim with its revision; None if there is none that counts."""
        stored = await self.store.get(KIND, name)
        if stored is None or stored.deleted:
            return None
        claim = claiming.decode(stored.spec)
        if claim is None or time.time() > claim.ends + self.config.claims.keep:
            await self.remove(name, stored.revision)
            return None
        return claim, stored.revision

    async def run(
        self, name: str, revision: int, own: claiming.Claim, work: Work
    ) -> calls.Answer:
        """Run the work of a granted claim."""
        try:
            answer = await work()
        except codes.Failure as failure:
            answer = calls.refusal(failure)
        if answer.ran is codes.Execution.NOT_RUN:
            self.begin(self.withdraw(name, own))
            return answer
        own.state = (
            claiming.State.DONE
            if answer.ran is codes.Execution.RAN
            else claiming.State.UNKNOWN
        )
        own.answer = claiming.record(answer)
        self.begin(self.tell(name, revision, own))
        return answer

    async def tell(self, name: str, revision: int, own: claiming.Claim) -> None:
        """Write what became of a sending, as often as needed within bounds."""
        pause = TELL_PAUSE
        for _ in range(TELL_TRIES):
            try:
                await self.store.replace(KIND, name, claiming.encode(own), revision)
                return
            except codes.Failure as failure:
                if failure.code is codes.PLATFORM_CONFLICT:
                    return
            await asyncio.sleep(pause)
            pause *= 2
        self.meters.add("claims.outcome-lost")
        self.log.note("claim-outcome-lost", claim=name)

    async def withdraw(self, name: str, own: claiming.Claim) -> None:
        """Remove a claim whose request has not run, also one that comes late."""
        pause = TELL_PAUSE
        for _ in range(TELL_TRIES):
            try:
                found = await self.look(name)
                if found is not None and found[0].sending == own.sending:
                    await self.remove(name, found[1])
                    return
                if found is not None:
                    return
            except codes.Failure as failure:
                self.log.note("claim-not-read", code=failure.code.number)
            await asyncio.sleep(pause)
            pause *= 2

    async def answer(
        self, call: calls.Call, name: str, own: claiming.Claim, found: claiming.Claim
    ) -> calls.Answer | None:
        """Answer a sending whose request another sending holds; None if that one
        has given the claim back."""
        if found.digest != own.digest:
            raise codes.Failure(codes.KEY_CONFLICT)
        while found.state is claiming.State.RUNNING and time.time() < found.ends:
            if not self.has_time(call):
                break
            await asyncio.sleep(POLL)
            try:
                known = await self.look(name)
            except codes.Failure as failure:
                self.log.note("claim-not-read", code=failure.code.number)
                continue
            if known is None:
                return None
            found = known[0]
        self.meters.add(f"claims.repeated.{found.state.value}")
        self.log.note("claim-held", id=call.attempt, claim=name, state=found.state)
        if found.answer is not None:
            return claiming.replay(found.answer)
        ran = (
            codes.Execution.RAN
            if found.state is claiming.State.DONE
            else codes.Execution.UNKNOWN
        )
        raise codes.Failure(codes.ALREADY_ACCEPTED, ran=ran)

    async def remove(self, name: str, revision: int) -> None:
        """Remove a claim unless it was changed meanwhile."""
        try:
            await self.store.delete(KIND, name, revision)
        except codes.Failure as failure:
            self.log.note("claim-not-removed", code=failure.code.number)

    async def sweep(self) -> None:
        """Remove old claims now and then, where keys are in use."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL)
            if not self.used or not self.leads():
                continue
            try:
                listing = await self.store.list(KIND)
            except codes.Failure as failure:
                self.log.note("claims-not-listed", code=failure.code.number)
                continue
            for item in listing.items:
                claim = claiming.decode(item.spec)
                oldest = time.time() - self.config.claims.keep
                if claim is None or claim.ends < oldest:
                    await self.remove(item.name, item.revision)


def unchecked(failure: codes.Failure) -> codes.Failure:
    """Return the failure where nobody knows whether an earlier sending ran."""
    return codes.Failure(
        codes.CLAIM_UNCHECKED,
        failure.code.name,
        ran=codes.Execution.UNKNOWN,
        retry_after=1.0,
    )
