"""Sends a call to an endpoint, and on to another one where that is allowed."""

import asyncio
import collections.abc
import dataclasses

from rattanridge.kernel import clock, codes, routes
from rattanridge.mesh import (
    calls,
    directory as directories,
    events,
    exit as exits,
    peers as forwarders,
    settings,
)
from rattanridge.policies import placement, queueing, retry_budget

MOVES = 3  # exits that may refuse a call before any endpoint saw it
LOSSES = 2  # endpoints that may break off under a call, which may be the reason
NO_ENDPOINT_RETRY_AFTER = 0.3  # seconds
FAILED_STATUS = 500
# Refusals that tell of an exit that can't reach its endpoint at all.
UNUSABLE = (
    codes.PEER_UNREACHABLE,
    codes.PEER_FAILED,
    codes.CONNECT_FAILED,
    codes.NO_ENDPOINT,
    codes.WRONG_ENDPOINT,
    codes.DRAINING,
    codes.STOPPING,
)
# Answers that another endpoint would give as well.
FINAL = (codes.QUARANTINED,)

Keep = collections.abc.Callable[
    [str, list[placement.Candidate], bool], list[placement.Candidate]
]
Sharers = collections.abc.Callable[[], int]


@dataclasses.dataclass(slots=True)
class Progress:
    """How far a call has come.

    :param tried: nodes that it was sent to.
    :param arrivals: endpoints that it reached.
    :param moves: exits that refused it before its endpoint saw it.
    :param losses: endpoints that broke off under it.
    :param best: the answer to give if no better one comes.
    """

    tried: set[str] = dataclasses.field(default_factory=set)
    arrivals: int = 0
    moves: int = 0
    losses: int = 0
    best: calls.Answer | None = None

    def add(self, node: str, answer: calls.Answer) -> None:
        """Count one answer."""
        self.tried.add(node)
        self.arrivals += answer.arrived
        self.moves += not answer.arrived
        self.losses += answer.code is codes.UPSTREAM_FAILED
        self.best = better(self.best, answer)


class Dispatcher:
    """Runs calls at the endpoints of their service.

    :param keep: leaves the candidates whose version a call may go to.
    :param sharers: returns among how many nodes the fixed part of the retry budget is
        divided; 0 if this one has no part of it.
    :param hint: told the configuration's version at each exit that answers.
    :param peers: forwards calls to other nodes.
    """

    def __init__(
        self,
        config: settings.Settings,
        directory: directories.Directory,
        exit: exits.Exit,
        keep: Keep,
        sharers: Sharers,
        hint: collections.abc.Callable[[int, str], None],
        peers: forwarders.PeerClient,
        log: events.Events,
        meters: events.Meters,
    ):
        self.config = config
        self.directory = directory
        self.exit = exit
        self.keep = keep
        self.sharers = sharers
        self.hint = hint
        self.log = log
        self.meters = meters
        self.peers = peers
        self.placer = placement.PLACERS.get(config.policies.placement)(config.zone)
        self.budgets: dict[str, retry_budget.Budget] = {}
        self.poll_tasks: set[asyncio.Task] = set()
        self.stop_deadline = float("inf")

    def budget(self, service: str) -> retry_budget.Budget:
        """Return the budget of a service."""
        found = self.budgets.get(service)
        if found is None:
            kind = retry_budget.BUDGETS.get(self.config.policies.repeats)
            found = self.budgets[service] = kind(self.config.repeats.budget_settings())
        return found

    def apply_settings(self) -> None:
        """Take over changed settings."""
        for budget in self.budgets.values():
            budget.settings = self.config.repeats.budget_settings()

    async def run(self, call: calls.Call, route: routes.Route) -> calls.Answer:
        """Return the answer to a call; the last refusal if nobody took it."""
        self.check_end(route)
        self.count(call)
        if call.repeated and not self.may_spend(call):
            return calls.refusal(codes.Failure(codes.RETRY_BUDGET, "call of a repeat"))
        progress = Progress()
        while True:
            chosen = self.choose(call, route, progress.tried)
            if chosen is None:
                return progress.best or calls.refusal(no_endpoint(call))
            answer = await self.send(chosen, call)
            self.learn(chosen, call, answer)
            progress.add(chosen.node, answer)
            if not self.may_repeat(call, route, answer, progress):
                return progress.best
            self.note(call, chosen, answer)
            call.repeated = call.repeated or progress.arrivals > 0

    def count(self, call: calls.Call) -> None:
        """Count a request. What an upstream calls earns no repeats: it may be the
        repeats of another service that multiply these calls."""
        sender = "upstream" if call.inner else "caller"
        self.meters.budget_requests.labels(call.service, sender).inc()
        if not call.inner:
            self.budget(call.service).record_request(clock.seconds_since_boot())

    def check_end(self, route: routes.Route) -> None:
        """Refuse a call that may still run when this process has to end."""
        left = self.stop_deadline - asyncio.get_running_loop().time()
        work = self.placer.mean(route.name).seconds or placement.DEFAULT_PROCESSING_TIME
        if queueing.may_outlast(work, left):
            raise codes.Failure(codes.STOPPING, retry_after=max(left, 0.0))

    def choose(
        self, call: calls.Call, route: routes.Route, tried: set[str]
    ) -> placement.Candidate | None:
        """Choose among the endpoints that were not tried."""
        all_found = self.directory.candidates_of(call.service)
        found = self.keep(call.service, all_found, bool(tried))
        left = [item for item in found if item.node not in tried]
        now = asyncio.get_running_loop().time()
        return self.placer.choose(left, route.name, route.target_latency, now)

    async def send(self, chosen: placement.Candidate, call: calls.Call) -> calls.Answer:
        """Send a call to one endpoint, by the node beside it."""
        loop = asyncio.get_running_loop()
        chosen.begin(loop.time())
        answered = False
        try:
            if chosen.node == self.config.name:
                answer = await self.exit.run(call)
            else:
                answer = await self.peers.run(chosen.hop, call)
            answered = answer.load is not None
            answer.node = chosen.node
            return answer
        finally:
            chosen.end(answered, loop.time())

    def learn(
        self, chosen: placement.Candidate, call: calls.Call, answer: calls.Answer
    ) -> None:
        """Learn from an answer about the endpoint that gave it."""
        now = asyncio.get_running_loop().time()
        if answer.load is not None:
            chosen.record_load(answer.load, now)
        self.hint(answer.version, chosen.hop)
        if answer.code in UNUSABLE:
            chosen.record_unreachable(now)
            if answer.load is None:
                self.probe(chosen)
            return
        chosen.record_reachable()
        failed = answer.code is None and answer.status >= FAILED_STATUS
        lost = answer.arrived and answer.code is not None
        chosen.record_shed(failed or lost, now)
        if answer.code is None and answer.spent > 0 and not failed:
            self.placer.record_processing_time(chosen, call.route, answer.spent, now)

    def probe(self, chosen: placement.Candidate) -> None:
        """Begin to look for a node that could not be reached, with no request."""
        self.peers.pool.drop(chosen.hop)
        if chosen.lost:
            return
        chosen.lost = True
        task = asyncio.create_task(self.look_for(chosen))
        self.poll_tasks.add(task)
        task.add_done_callback(self.poll_tasks.discard)

    async def look_for(self, chosen: placement.Candidate) -> None:
        """Connect to a node again and again until it answers or is forgotten."""
        loop = asyncio.get_running_loop()
        self.log.note("node-lost", name=chosen.node, hop=chosen.hop)
        while chosen in self.directory.candidates_of(chosen.service):
            await asyncio.sleep(max(chosen.paused_until - loop.time(), 0.0))
            if await self.peers.reach(chosen.hop):
                chosen.record_reachable()
                self.log.note("node-regained", name=chosen.node)
                return
            chosen.record_unreachable(loop.time())

    def may_repeat(
        self,
        call: calls.Call,
        route: routes.Route,
        answer: calls.Answer,
        progress: Progress,
    ) -> bool:
        """Whether the call may go to another endpoint after this answer."""
        if answer.code is None and answer.status < FAILED_STATUS:
            return False
        if answer.code in FINAL:
            return False
        if answer.ran is not codes.Execution.NOT_RUN and not call.idempotent:
            return False
        now = asyncio.get_running_loop().time()
        work = self.placer.mean(route.name).seconds
        if now + work > call.deadline:
            return False
        if progress.moves >= MOVES or progress.arrivals >= route.attempts:
            return False
        if progress.losses >= LOSSES:
            return False
        if not progress.arrivals:
            return True
        return self.may_spend(call)

    def may_spend(self, call: calls.Call) -> bool:
        """Spend a repeat of the service's budget, if there is one left.

        The calls that a repeated request makes are repeats too: at the services that
        they go to.
        """
        now = clock.seconds_since_boot()
        nodes = self.sharers()
        self.meters.budget_nodes.set(nodes)
        repeats_of = self.meters.budget_repeats
        budget = self.budget(call.service)
        if budget.try_spend(nodes, now):
            repeats_of.labels(call.service, "allowed").inc()
            return True
        repeats_of.labels(call.service, "refused").inc()
        self.meters.refusals.labels(codes.RETRY_BUDGET.name).inc()
        self.log.note(
            "repeat-refused",
            id=call.attempt,
            service=call.service,
            repeated=call.repeated,
            earned=budget.earned_left(now),
            nodes=nodes,
        )
        return False

    def note(
        self, call: calls.Call, chosen: placement.Candidate, answer: calls.Answer
    ) -> None:
        """Log that a call goes on to another endpoint, and what was known of the
        one that was chosen."""
        reason = answer.code.name if answer.code is not None else str(answer.status)
        now = asyncio.get_running_loop().time()
        self.meters.retries.labels(reason).inc()
        self.log.note(
            "call-moved",
            id=call.attempt,
            service=call.service,
            tried=chosen.node,
            endpoint=chosen.endpoint,
            reason=reason,
            why=answer.detail,
            ran=answer.ran,
            arrived=answer.arrived,
            speed=chosen.latency_ratio(now),
            shed=chosen.shed_share(now),
            running=chosen.load.running if chosen.load else "-",
            waiting=chosen.load.waiting if chosen.load else "-",
            report_age=now - chosen.load_at if chosen.load else "-",
        )


def better(last: calls.Answer | None, answer: calls.Answer) -> calls.Answer:
    """Return the answer to keep: the upstream's own, else the more certain one.

    Once any try may have run, a later proof for another try proves nothing.
    """
    if last is None or answer.code is None:
        return answer
    if last.code is None or last.ran is not codes.Execution.NOT_RUN:
        return last
    return answer


def no_endpoint(call: calls.Call) -> codes.Failure:
    """Return the refusal where no endpoint is known."""
    return codes.Failure(
        codes.NO_ENDPOINT, call.service, retry_after=NO_ENDPOINT_RETRY_AFTER
    )
