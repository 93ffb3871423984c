"""The entry's side of claims: run non-idempotent calls at most once."""

import asyncio
import collections
import dataclasses

import multidict

from rattanridge.calls import claimed, delivery, entry, headers, owners, types
from rattanridge.kernel import clock, codes, log, metrics, presets, settings
from rattanridge.policies import keys

ASK_WAIT = 0.5  # seconds that one question waits at the owner
MOVES_MOST = 8  # addresses asked for one claim
PAUSE = 0.02  # seconds before asking again after a failure
LEAST_LEFT = 0.02  # seconds before the deadline at which asking ends
ANSWER_MOST = 256_000  # bytes of a body that is recorded
TELL_TRIES = 3
RECENT_MOST = 4096  # sendings without a key that an entry remembers


@dataclasses.dataclass(slots=True, eq=False)
class Sending:
    """One request at this entry, with the claim that it needs.

    :param keyed: whether the caller gave a key.
    :param abandoned: whether the caller went away before work began.
    :param first: attempt that ran: this one's, or the one that it repeats.
    :param ran: what is known of the work.
    :param delivered: whether the caller has the outcome whole.
    """

    call: types.Call
    claim: claimed.Claim
    keyed: bool
    abandoned: bool = False
    first: str = ""
    ran: codes.Ran = codes.Ran.UNKNOWN
    delivered: bool = False


class Claims:
    """Guards the calls of one entry.

    :param config: the node's settings.
    :param holders: asks the owners of slices.
    :param counters: counts outcomes.
    """

    def __init__(
        self,
        config: settings.NodeSettings,
        holders: owners.Owners,
        counters: metrics.Counters,
        time: clock.Clock | None = None,
    ):
        self.config = config
        self.slices = config.claims.slices
        self.owners = holders
        self.counters = counters
        self.time = time or clock.Clock()
        self.log = log.Log("claims", config.name)
        self.recent: collections.OrderedDict[str, Sending] = collections.OrderedDict()
        self.tasks: set[asyncio.Task] = set()

    async def guard(self, call: types.Call, work: entry.Work) -> types.Answer:
        """Run a call's work once its claim is granted, else answer or refuse.

        The work goes on if the caller goes away: a repeat gets its answer.
        """
        sending = self.prepare(call)
        task = self.spawn(self.execute(sending, work))
        try:
            answer = await asyncio.shield(task)
        except asyncio.CancelledError:
            sending.abandoned = True
            raise
        self.expect_delivery(sending)
        return answer

    def spawn(self, work) -> asyncio.Task:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.finished)
        return task

    def finished(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        if not task.cancelled():
            task.exception()

    def prepare(self, call: types.Call) -> Sending:
        """Name the claim that a call needs."""
        request = self.request_of(call)
        wanted = call.route.key if call.route is not None else presets.KeySource()
        key = presets.KEY_SOURCES.get(wanted.source)(wanted.name).read(request)
        keyed = bool(key) and wanted.source != "fingerprint"
        if not key:
            self.counters.add("claims.no-key")
            key = keys.Fingerprint("").read(request)
        left = call.deadline - asyncio.get_running_loop().time()
        claim = claimed.Claim(
            key=claimed.identify(call, f"{keyed:d}{key}"),
            digest=claimed.digest(call),
            attempt=claimed.new_attempt(),
            ends=int(self.time.wall() + left + self.config.limits.late) + 1,
        )
        return Sending(call, claim, keyed)

    def request_of(self, call: types.Call) -> keys.Request:
        """Return what a key source sees; the upstream's calls carry the node."""
        caller = call.caller
        own = self.config.address
        if caller != own and (caller.startswith("127.") or caller == "::1"):
            caller = self.config.name
        return keys.Request(call.method, call.path, call.headers, call.body, caller)

    async def execute(self, sending: Sending, work: entry.Work) -> types.Answer:
        """Claim, run, and tell the owner what became of it."""
        try:
            reply = await self.claim(sending)
        except codes.Failure:
            self.tell(sending, claimed.State.RELEASED)
            raise
        if reply.verdict is not claimed.Verdict.GRANTED:
            return self.answer(sending, reply)
        sending.first = sending.claim.attempt
        if sending.abandoned:
            self.tell(sending, claimed.State.RELEASED)
            raise codes.Failure(codes.CANCELLED)
        return await self.run(sending, work)

    async def run(self, sending: Sending, work: entry.Work) -> types.Answer:
        """Run the work of a granted claim."""
        self.remember(sending)
        try:
            answer = await work()
        except codes.Failure as failure:
            answer = types.refuse(failure)
        except BaseException:
            self.tell(sending, claimed.State.UNKNOWN)
            raise
        sending.ran = answer.ran
        match answer.ran:
            case codes.Ran.NOT_RUN:
                self.tell(sending, claimed.State.RELEASED)
            case codes.Ran.RAN:
                self.tell(sending, claimed.State.DONE, record(answer))
            case _:
                self.tell(sending, claimed.State.UNKNOWN)
        return answer

    async def claim(self, sending: Sending) -> claimed.Reply:
        """Ask until the owner decides or the deadline is near.

        The attempt stays the same, so that a claim whose answer got lost is
        granted again and not twice.
        """
        number = claimed.slice_of(sending.claim.key, self.slices)
        ask = claimed.Ask(number, sending.claim, 0.0, self.closable(sending))
        ask.slices = self.slices
        avoid: set[str] = set()
        moves = 0
        running = False
        while moves <= MOVES_MOST:
            left = sending.call.deadline - asyncio.get_running_loop().time()
            if left <= LEAST_LEFT:
                break
            ask.wait = min(ASK_WAIT, left - LEAST_LEFT)
            reply = await self.ask(ask, avoid)
            if reply is None:
                moves += 1
            elif reply.verdict is claimed.Verdict.RUNNING:
                running = True
            elif reply.verdict is not claimed.Verdict.PENDING:
                return reply
        raise self.give_up(running)

    async def ask(self, ask: claimed.Ask, avoid: set[str]) -> claimed.Reply | None:
        """Ask one address; ``None`` if another one has to be asked.

        :param avoid: addresses that did not answer; one more may be added.
        """
        address = self.owners.pick(ask.slice, avoid)
        try:
            reply = await self.owners.ask(address, ask)
        except codes.Failure as failure:
            self.counters.add(f"claims.owner-silent.{failure.code.name}")
            self.owners.note_silent(ask.slice, address)
            avoid.add(address)
            ask.unreachable = address
            await self.time.sleep(PAUSE)
            return None
        if reply.verdict is not claimed.Verdict.MOVED:
            self.owners.learn(ask.slice, address)
            return reply
        if reply.address in avoid:
            ask.unreachable = reply.address
        else:
            self.owners.learn(ask.slice, reply.address)
        return None

    def closable(self, sending: Sending) -> str:
        """Return the attempt whose outcome this caller is known to have."""
        known = self.recent.get(sending.claim.key)
        return known.first if known is not None and known.delivered else ""

    def give_up(self, running: bool) -> codes.Failure:
        """Return the failure of a claim that nobody decided in time."""
        code = codes.ALREADY_ACCEPTED if running else codes.CLAIM_UNCHECKED
        return codes.Failure(code, ran=codes.Ran.UNKNOWN, retry_after=1.0)

    def answer(self, sending: Sending, reply: claimed.Reply) -> types.Answer:
        """Answer a call whose claim was not granted."""
        verdict = reply.verdict
        sending.first = reply.attempt
        sending.ran = reply.ran
        self.counters.add(f"claims.answered.{verdict.value}")
        if verdict is claimed.Verdict.RECORDED and reply.answer is not None:
            return replay(reply.answer)
        match verdict:
            case claimed.Verdict.ACCEPTED:
                raise codes.Failure(codes.ALREADY_ACCEPTED, ran=reply.ran)
            case claimed.Verdict.CONFLICT:
                raise codes.Failure(codes.KEY_CONFLICT, ran=reply.ran)
            case claimed.Verdict.FULL:
                raise codes.Failure(codes.CLAIMS_FULL, retry_after=1.0)
            case claimed.Verdict.UNAVAILABLE:
                raise codes.Failure(codes.CLAIM_UNAVAILABLE, retry_after=1.0)
        raise self.give_up(False)

    def remember(self, sending: Sending) -> None:
        """Remember a sending without a key, to know when its answer arrived."""
        if sending.keyed:
            return
        self.recent[sending.claim.key] = sending
        while len(self.recent) > RECENT_MOST:
            self.recent.popitem(last=False)

    def expect_delivery(self, sending: Sending) -> None:
        """Let the claim of a request without a key end with its delivery."""
        current = delivery.CURRENT.get()
        if current is None or sending.keyed or not sending.first:
            return
        if sending.ran is codes.Ran.RAN:
            current.settle = lambda: self.delivered(sending)

    def delivered(self, sending: Sending) -> None:
        sending.delivered = True
        self.remember(sending)
        self.tell(sending, claimed.State.CLOSED)

    def tell(
        self,
        sending: Sending,
        state: claimed.State,
        answer: claimed.Recorded | None = None,
    ) -> None:
        """Tell the slice's owner what became of an attempt, in the background."""
        outcome = claimed.Outcome(
            claimed.slice_of(sending.claim.key, self.slices),
            sending.claim.key,
            sending.first or sending.claim.attempt,
            state,
            answer,
        )
        self.spawn(self.deliver(outcome))

    async def deliver(self, outcome: claimed.Outcome) -> None:
        """Tell an outcome to the owner; after a few tries it is lost, which
        leaves the claim's outcome unknown."""
        avoid: set[str] = set()
        for _ in range(TELL_TRIES):
            address = self.owners.pick(outcome.slice, avoid)
            try:
                reply = await self.owners.tell(address, outcome)
            except codes.Failure:
                avoid.add(address)
                continue
            if reply.verdict is not claimed.Verdict.MOVED:
                return
            self.owners.learn(outcome.slice, reply.address)
        self.counters.add("claims.outcome-lost")

    async def close(self) -> None:
        """End all tasks at once."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def record(answer: types.Answer) -> claimed.Recorded | None:
    """Return an answer for the record, unless it is too large."""
    whole = answer.rest is None and answer.code is None
    if not whole or len(answer.body) > ANSWER_MOST:
        return None
    # The header library's own kind of text can't be encoded.
    kept = [(str(name), str(value)) for name, value in answer.headers.items()]
    return claimed.Recorded(answer.status, kept, answer.body)


def replay(recorded: claimed.Recorded) -> types.Answer:
    """Return a recorded answer, marked as such."""
    kept = multidict.CIMultiDict(recorded.headers)
    kept[headers.RECORDED] = "1"
    return types.Answer(recorded.status, kept, recorded.body, codes.Ran.RAN)
