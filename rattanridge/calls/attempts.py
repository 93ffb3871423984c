"""Attempts: on which endpoints a call is tried, again and at the same time."""

import asyncio

from rattanridge.calls import (
    endpoints as tables,
    exit as exits,
    forward,
    headers,
    memory,
    retries,
    types,
)
from rattanridge.control import transport
from rattanridge.kernel import codes, log, metrics, presets, settings
from rattanridge.policies import balancers, hedging

HOP_CONNECTIONS = 64  # to each other node
HOP_IDLE = 30.0  # seconds; a node keeps idle connections for longer
HOP_MARGIN = 0.005  # seconds of the deadline that a hop keeps for itself
MARGIN_SHARE = 0.1  # most of the time left that the margin takes

# Failures of the endpoint or its node themselves, unlike refusals under load.
ENDPOINT_FAILURES = (
    codes.UPSTREAM_FAILED,
    codes.ANSWER_CUT,
    codes.ANSWER_UNFRAMED,
    codes.PEER_FAILED,
    codes.INTERNAL,
)
# The endpoint is not there at all.
ENDPOINT_ABSENT = (
    codes.CONNECT_FAILED,
    codes.PEER_UNREACHABLE,
    codes.WRONG_ENDPOINT,
    codes.DRAINING,
    codes.STOPPING,
)


class Attempts:
    """Places calls on endpoints.

    :param config: the node's settings.
    :param endpoints: candidates by service.
    :param exit: the node's exit, for the endpoint beside it.
    :param counters: counts retries and hedges.
    :param held: counts the bytes of answers that are held whole.
    """

    def __init__(
        self,
        config: settings.NodeSettings,
        endpoints: tables.Endpoints,
        exit: exits.Exit,
        counters: metrics.Counters,
        held: memory.Held,
    ):
        self.config = config
        self.endpoints = endpoints
        self.exit = exit
        self.counters = counters
        self.held = held
        self.log = log.Log("attempts", config.name)
        self.retries = retries.Retries(counters)
        self.observers = []
        self.client: forward.Client | None = None
        token = transport.sign(config.key, "hop", config.name)
        self.hop_headers = {headers.NODE: config.name, headers.TOKEN: token}

    async def start(self) -> None:
        self.client = forward.Client(
            self.config, self.held, per_address=HOP_CONNECTIONS, idle=HOP_IDLE
        )

    async def stop(self) -> None:
        if self.client is not None:
            await self.client.close()

    async def run(self, call: types.Call) -> types.Answer:
        """Run a call, again on another endpoint where that is allowed."""
        wanted = self.endpoints.service(call.service)
        policy = self.retries.policy(call.service, wanted)
        tried: frozenset[str] = frozenset()
        kept: types.Answer | None = None
        runs = 0
        while True:
            try:
                chosen = self.endpoints.choose(
                    call.service, call.idempotent, tried, call.route
                )
            except codes.Failure as failure:
                return kept or types.refuse(failure)
            if tried:
                self.log.debug("retry", service=call.service, endpoint=chosen.name)
            tried |= {chosen.name}
            if call.idempotent and call.route is not None and call.route.hedge:
                answer, used = await self.hedge(call, chosen, tried, wanted)
                tried |= used
            else:
                answer = await self.attempt(call, chosen)
            runs += answer.ran is not codes.Ran.NOT_RUN
            again = self.retries.allowed(call, answer, policy, len(tried), runs)
            kept = retries.merge(kept, answer)
            if not again:
                return kept

    async def hedge(
        self,
        call: types.Call,
        chosen: balancers.Candidate,
        tried: frozenset[str],
        wanted: presets.Service,
    ) -> tuple[types.Answer, frozenset[str]]:
        """Send a call, and after a pause to a second endpoint too; return the
        first good answer and the endpoints used."""
        policy = hedging.HEDGES.get(wanted.hedging)()
        pause = policy.pause(call.route.hedge, chosen.latency)
        tasks = [asyncio.create_task(self.attempt(call, chosen))]
        used = frozenset((chosen.name,))
        try:
            await asyncio.wait(tasks, timeout=pause)
            second = None if tasks[0].done() else self.second(call, tried, wanted)
            if second is not None:
                used |= {second.name}
                tasks.append(asyncio.create_task(self.attempt(call, second)))
            answer = await first_good(tasks)
        except BaseException:
            drop(tasks)
            raise
        drop([task for task in tasks if not task.done()])
        return answer, used

    def second(
        self, call: types.Call, tried: frozenset[str], wanted: presets.Service
    ) -> balancers.Candidate | None:
        """Return the endpoint of a hedge, if one is allowed now."""
        if call.retried:
            return None
        try:
            found = self.endpoints.choose(call.service, True, tried, call.route)
        except codes.Failure:
            return None
        if not self.retries.policy(call.service, wanted).spend():
            self.counters.add(f"hedge.refused.{codes.RETRY_BUDGET.name}")
            return None
        self.counters.add("hedge.sent")
        return found

    async def attempt(
        self, call: types.Call, chosen: balancers.Candidate
    ) -> types.Answer:
        """Send a call to one endpoint and note how it went."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        chosen.in_flight += 1
        try:
            if chosen.name == self.config.name:
                answer = await self.exit.run(call)
            else:
                answer = await self.forward(call, chosen, began)
        finally:
            chosen.in_flight -= 1
        now = loop.time()
        self.note(call, chosen, answer, now - began, now)
        for observer in self.observers:
            observer(call, chosen, answer, now - began)
        return answer

    def note(
        self,
        call: types.Call,
        chosen: balancers.Candidate,
        answer: types.Answer,
        seconds: float,
        now: float,
    ) -> None:
        """Keep what an attempt tells about its endpoint."""
        chosen.running, chosen.queued = answer.load
        if retries.succeeded(answer):
            chosen.succeed(seconds, now)
        elif answer.code in ENDPOINT_ABSENT:
            chosen.eject(now)
        elif is_endpoint_failure(call, answer, seconds):
            chosen.fail(now)

    async def forward(
        self, call: types.Call, chosen: balancers.Candidate, now: float
    ) -> types.Answer:
        """Send a call to the node beside the chosen endpoint."""
        left = call.deadline - now
        left -= min(HOP_MARGIN, left * MARGIN_SHARE)
        extra = dict(self.hop_headers)
        extra[headers.TARGET] = call.service
        extra[headers.DEADLINE] = f"{left * 1000:.0f}"
        extra[headers.PRIORITY] = call.priority
        if call.leaves_retries:
            extra[headers.RETRY] = "1"
        if not call.idempotent:
            extra[headers.ONCE] = "1"
        end = call.wait_end(self.config.limits)
        try:
            answer = await self.client.send(chosen.hop, call, extra, end)
            return read_marks(answer)
        except codes.Failure as failure:
            if failure.code is codes.UPSTREAM_FAILED:
                failure.code = codes.PEER_FAILED
            elif failure.code is codes.CONNECT_FAILED:
                failure.code = codes.PEER_UNREACHABLE
            return types.refuse(failure)


def is_endpoint_failure(call: types.Call, answer: types.Answer, seconds: float) -> bool:
    """Whether a failed attempt tells against its endpoint.

    A refusal under load does not; a missed deadline does only if there was time,
    for a short one, that a caller's caller left, says nothing.
    """
    if answer.code is codes.DEADLINE:
        return call.route is not None and seconds >= call.route.timeout / 2
    return answer.code is None or answer.code in ENDPOINT_FAILURES


def read_marks(answer: types.Answer) -> types.Answer:
    """Take over another node's code, outcome and load from its marks."""
    marks = answer.marks
    if marks is None or headers.RAN not in marks:
        raise codes.Failure(codes.PEER_FAILED, "no marks", ran=codes.Ran.UNKNOWN)
    answer.ran = codes.Ran(marks[headers.RAN])
    number = marks.get(headers.CODE, "")
    if number.isdigit():
        answer.code = codes.TABLE.get(int(number), codes.PEER_FAILED)
    running, _, queued = marks.get(headers.LOAD, "0/0").partition("/")
    answer.load = (int(running), int(queued))
    answer.spent = int(marks.get(headers.SPENT, "0")) / 1e6
    return answer


async def first_good(tasks: list[asyncio.Task]) -> types.Answer:
    """Return the first successful answer of running attempts, else the last."""
    waiting = set(tasks)
    kept: types.Answer | None = None
    while waiting and (kept is None or not retries.succeeded(kept)):
        done, waiting = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            if kept is not None and retries.succeeded(kept):
                task.result().close()
            else:
                kept = retries.merge(kept, task.result())
    return kept


def drop(tasks: list[asyncio.Task]) -> None:
    """Cancel attempts that are not wanted any more, and close their answers."""
    for task in tasks:
        task.cancel()
        task.add_done_callback(close_answer)


def close_answer(task: asyncio.Task) -> None:
    """Close an answer that nobody will read."""
    if not task.cancelled() and task.exception() is None:
        task.result().close()
