"""Runs requests with an idempotency key at most once in the whole fleet.

A claim is an object in the store, named after the key. If a request is submitted
several times, only the submission that creates the object runs; the others get its
recorded answer. Routes without a key source cause no calls to the store.
"""

import asyncio
import collections.abc
import secrets
import time

from rattanridge.kernel import codes, routes
from rattanridge.mesh import (
    calls,
    claim as claiming,
    events,
    kept_claims,
    peers,
    settings,
)
from rattanridge.platform import store as stores
from rattanridge.policies import keys

KIND = kept_claims.KIND
POLL_INTERVAL = 0.1  # seconds between two reads of a claim whose holder still runs
MIN_TIME_LEFT = 0.05  # seconds before the deadline at which waiting ends
MAX_OVERRUN = 30.0  # seconds after its deadline for which work may still run
WRITE_ATTEMPTS = 6  # to write an outcome, or to withdraw a claim
FIRST_RETRY_DELAY = 0.3  # seconds between the first two attempts; doubles
SWEEP_INTERVAL = 60.0  # seconds between two removals of old claims

Work = collections.abc.Callable[[], collections.abc.Awaitable[calls.Answer]]


class Claims:
    """Guards calls that have a key against running twice.

    :param is_sweeper: returns whether this node is the one to remove old claims.
    """

    def __init__(
        self,
        config: settings.Settings,
        store: stores.Store,
        is_sweeper: collections.abc.Callable[[], bool],
        log: events.Events,
        meters: events.Meters,
    ):
        self.config = config
        self.store = store
        self.is_sweeper = is_sweeper
        self.log = log
        self.meters = meters
        self.tasks: set[asyncio.Task] = set()
        self.used = False
        self.kept = kept_claims.KeptClaims(store, log)

    async def guard(
        self, call: calls.Call, route: routes.Route, work: Work
    ) -> calls.Answer:
        """Run a call if its claim is granted, else return the recorded answer.

        A call without a key runs without a claim. The work continues if the caller
        disconnects, so that a later submission gets its answer. It does not start
        after the caller's deadline.

        Raise ``claim-unchecked`` if the claim could not be read or created, or if there
        is no answer in time; ``key-conflict`` if another request used the key; and
        ``already-accepted`` if the holder of the claim has left no recorded answer.
        """
        key = read_key(call, route)
        if not key:
            self.meters.add("claims.no-key")
            return await work()
        self.used = True
        task = self.start_task(self.execute(call, key, work))
        try:
            async with asyncio.timeout_at(call.deadline + peers.ANSWER_MARGIN):
                return await asyncio.shield(task)
        except TimeoutError:
            raise unchecked_failure(codes.Failure(codes.DEADLINE))

    def apply_new_era(self) -> None:
        """Write the claims again that the store has lost by its return."""
        self.kept.begin_settling()
        self.start_task(self.kept.write_again())

    def start_task(self, work: collections.abc.Coroutine) -> asyncio.Task:
        """Run a coroutine that continues if the caller disconnects."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.remove_task)
        return task

    def remove_task(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None and not isinstance(error, codes.Failure):
            self.log.error("claim-failed", why=repr(error))

    async def execute(self, call: calls.Call, key: str, work: Work) -> calls.Answer:
        """Acquire the claim and run the work, or answer for the claim's holder."""
        name = claiming.claim_name(call, key)
        left = call.deadline - asyncio.get_running_loop().time()
        own = claiming.Claim(
            claiming.digest(call),
            secrets.token_hex(6),
            time.time() + left + MAX_OVERRUN,
        )
        while True:
            found, revision = await self.acquire(call, name, own)
            if found.sending == own.sending:
                if call.deadline <= asyncio.get_running_loop().time():
                    self.start_task(self.withdraw(name, own))
                    raise unchecked_failure(codes.Failure(codes.DEADLINE))
                self.log.note("claim-granted", id=call.attempt, claim=name)
                return await self.run(name, revision, own, work)
            answer = await self.answer_repeat(call, name, own, found)
            if answer is not None:
                return answer

    async def acquire(
        self, call: calls.Call, name: str, own: claiming.Claim
    ) -> tuple[claiming.Claim, int]:
        """Create a claim; return the one that the store holds, with its revision.

        A write that got no answer may still take effect. It is therefore retried with
        the same content until the store returns what it holds. Raise
        ``claim-unchecked`` if the time is over or the store refuses the write.
        """
        while True:
            try:
                return await self.create_or_read(name, own)
            except codes.Failure as failure:
                if failure.code not in stores.TRANSIENT_CODES or not self.has_time(
                    call
                ):
                    self.start_task(self.withdraw(name, own))
                    raise unchecked_failure(failure)
            await asyncio.sleep(POLL_INTERVAL)

    async def create_or_read(
        self, name: str, own: claiming.Claim
    ) -> tuple[claiming.Claim, int]:
        """Create a claim, or read the one that the store holds already.

        A claim that was created while the store had lost others is withdrawn first.
        """
        while True:
            await self.kept.wait_settled()
            try:
                stored = await self.store.create(KIND, name, claiming.encode(own))
                if self.kept.is_settling():
                    await self.remove(name, stored.revision)
                    continue
                self.kept.record(name, own)
                return own, stored.revision
            except codes.Failure as failure:
                if failure.code is codes.PLATFORM_BUSY:
                    raise
                found = await self.read_claim(name)
                if found is not None:
                    return found
                if failure.code is not codes.PLATFORM_CONFLICT:
                    raise

    def has_time(self, call: calls.Call) -> bool:
        left = call.deadline - asyncio.get_running_loop().time()
        return left > MIN_TIME_LEFT + POLL_INTERVAL

    async def read_claim(self, name: str) -> tuple[claiming.Claim, int] | None:
        """Return a valid claim with its revision; None if there is none.

        A claim that is unreadable or has expired is removed.
        """
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
        """Run the work of a granted claim, and start to write its outcome.

        The claim is withdrawn if the request is known not to have run.
        """
        try:
            answer = await work()
        except codes.Failure as failure:
            answer = calls.refusal(failure)
        if answer.ran is codes.Execution.NOT_RUN:
            self.start_task(self.withdraw(name, own))
            return answer
        own.state = (
            claiming.State.DONE
            if answer.ran is codes.Execution.RAN
            else claiming.State.UNKNOWN
        )
        own.answer = claiming.record(answer)
        self.kept.record(name, own)
        self.start_task(self.write_outcome(name, revision, own))
        return answer

    async def write_outcome(
        self, name: str, revision: int, own: claiming.Claim
    ) -> None:
        """Write the outcome of a submission; try at most WRITE_ATTEMPTS times."""
        delay = FIRST_RETRY_DELAY
        for _ in range(WRITE_ATTEMPTS):
            try:
                await self.store.replace(KIND, name, claiming.encode(own), revision)
                return
            except codes.Failure as failure:
                if failure.code is codes.PLATFORM_CONFLICT:
                    return
            await asyncio.sleep(delay)
            delay *= 2
        self.meters.add("claims.outcome-lost")
        self.log.note("claim-outcome-lost", claim=name)

    async def withdraw(self, name: str, own: claiming.Claim) -> None:
        """Remove a claim whose request has not run.

        Reads several times if there is no claim, as the write that creates it may
        still take effect.
        """
        self.kept.forget(name)
        delay = FIRST_RETRY_DELAY
        for _ in range(WRITE_ATTEMPTS):
            try:
                found = await self.read_claim(name)
                if found is not None and found[0].sending == own.sending:
                    await self.remove(name, found[1])
                    return
                if found is not None:
                    return
            except codes.Failure as failure:
                self.log.note("claim-not-read", code=failure.code.number)
            await asyncio.sleep(delay)
            delay *= 2

    async def answer_repeat(
        self, call: calls.Call, name: str, own: claiming.Claim, found: claiming.Claim
    ) -> calls.Answer | None:
        """Return the answer to a submission whose claim another submission holds.

        Waits for its outcome until shortly before the deadline. Return None if the
        other submission has withdrawn the claim. Raise ``key-conflict`` if the claim is
        for another request, ``already-accepted`` if there is no recorded answer.
        """
        if found.digest != own.digest:
            raise codes.Failure(codes.KEY_CONFLICT)
        while found.state is claiming.State.RUNNING and time.time() < found.ends:
            if not self.has_time(call):
                break
            await asyncio.sleep(POLL_INTERVAL)
            try:
                known = await self.read_claim(name)
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
        """Remove a claim unless it has changed meanwhile."""
        try:
            await self.store.delete(KIND, name, revision)
        except codes.Failure as failure:
            self.log.note("claim-not-removed", code=failure.code.number)

    async def sweep(self) -> None:
        """Remove old claims every SWEEP_INTERVAL seconds, until cancelled.

        Does nothing unless this node is the sweeper and has had a call with a key.
        """
        while True:
            await asyncio.sleep(SWEEP_INTERVAL)
            if not self.used or not self.is_sweeper():
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


def read_key(call: calls.Call, route: routes.Route) -> str:
    """Return the idempotency key of a call; empty if it has none."""
    if route.key is None:
        return ""
    return keys.read(route.key, calls.as_mapping(call.headers), call.body)


def unchecked_failure(failure: codes.Failure) -> codes.Failure:
    """Return ``claim-unchecked``, for a failure that leaves open what has run.

    An earlier submission of the request may have run; at the deadline, this one too.
    """
    return codes.Failure(
        codes.CLAIM_UNCHECKED,
        failure.code.name,
        ran=codes.Execution.UNKNOWN,
        retry_after=1.0,
    )
