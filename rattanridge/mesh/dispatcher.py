"""Sends each call to an endpoint, and to another one if a retry is allowed."""

import asyncio
import collections.abc
import dataclasses

from rattanridge.kernel import clock, codes, routes
from rattanridge.mesh import (
    calls,
    evacuation,
    events,
    exit as exits,
    peers as peer_clients,
    settings,
    shutdown as shutdowns,
)
from rattanridge.mesh.discovery import directory as directories
from rattanridge.policies import cold_rate, placement, retry_budget, tickets

MAX_EXIT_REFUSALS = 3  # attempts of one call that did not reach an upstream
# Refusals of one call that its entry could not foresee, and that count as no attempt.
MAX_FREE_REFUSALS = 6
# Connections to upstreams that may break during one call; the call may be the cause.
MAX_UPSTREAM_FAILURES = 2
NO_ENDPOINT_RETRY_AFTER = 0.3  # seconds
MIN_SERVER_ERROR = 500  # HTTP status
# Refusals of an exit that cannot be reached or cannot use its upstream.
UNUSABLE_CODES = (
    codes.PEER_UNREACHABLE,
    codes.PEER_FAILED,
    codes.CONNECT_FAILED,
    codes.NO_ENDPOINT,
    codes.WRONG_ENDPOINT,
    codes.DRAINING,
    codes.STOPPING,
    codes.ZONE_EVACUATED,
)
# Refusals by a bound on what the endpoint gets. The call moves on at no cost.
FREE_CODES = (codes.ENDPOINT_COLD, codes.ZONE_EVACUATED)
# Refusals that every other endpoint would give as well.
FINAL_CODES = (codes.QUARANTINED, codes.CALLS_OVERLOADED)

CandidateFilter = collections.abc.Callable[
    [str, list[placement.Candidate], bool], list[placement.Candidate]
]
BudgetNodeCount = collections.abc.Callable[[], int]


@dataclasses.dataclass(slots=True)
class Progress:
    """The attempts of one call so far.

    :param tried: nodes that the call was sent to.
    :param upstreams_reached: number of attempts that reached an upstream.
    :param exit_refusals: number of attempts that did not reach an upstream, without
        the free ones.
    :param free_refusals: number of refusals with one of ``FREE_CODES``.
    :param upstream_failures: number of attempts during which an upstream broke off.
    :param best_answer: the answer to return if no better one comes.
    """

    tried: set[str] = dataclasses.field(default_factory=set)
    upstreams_reached: int = 0
    exit_refusals: int = 0
    free_refusals: int = 0
    upstream_failures: int = 0
    best_answer: calls.Answer | None = None

    def record_answer(self, node: str, answer: calls.Answer) -> calls.Answer:
        """Record the answer to one attempt; return the best one so far."""
        self.tried.add(node)
        self.upstreams_reached += answer.reached_upstream
        free = answer.code in FREE_CODES
        self.free_refusals += free
        self.exit_refusals += not answer.reached_upstream and not free
        self.upstream_failures += answer.code is codes.UPSTREAM_FAILED
        self.best_answer = better_answer(self.best_answer, answer)
        return self.best_answer


class Dispatcher:
    """Runs calls at the endpoints of their service.

    :param filter_candidates: returns the candidates whose version a call may use.
    :param count_budget_nodes: returns among how many nodes the fixed allowance of the
        retry budget is divided; 0 if this node has no share of it.
    :param record_peer_version: called with the version of the configuration at each
        exit that answers, and the exit's address.
    :param evacuations: learns from the answers of other nodes.
    :param peers: forwards calls to other nodes.
    :param shutdown: tells which calls can still end in time.
    """

    def __init__(
        self,
        config: settings.Settings,
        directory: directories.Directory,
        exit: exits.Exit,
        filter_candidates: CandidateFilter,
        count_budget_nodes: BudgetNodeCount,
        record_peer_version: collections.abc.Callable[[int, str, float], None],
        evacuations: evacuation.Evacuations,
        peers: peer_clients.PeerClient,
        shutdown: shutdowns.Shutdown,
        log: events.Events,
        meters: events.Meters,
    ):
        self.config = config
        self.directory = directory
        self.exit = exit
        self.filter_candidates = filter_candidates
        self.count_budget_nodes = count_budget_nodes
        self.record_peer_version = record_peer_version
        self.evacuations = evacuations
        self.log = log
        self.meters = meters
        self.peers = peers
        self.shutdown = shutdown
        self.placer = placement.PLACERS.get(config.policies.placement)(config.zone)
        self.rooms = cold_rate.KnownRooms()
        self.budgets: dict[str, retry_budget.Budget] = {}
        self.poll_tasks: set[asyncio.Task] = set()

    def budget(self, service: str) -> retry_budget.Budget:
        """Return the retry budget of a service."""
        found = self.budgets.get(service)
        if found is None:
            kind = retry_budget.BUDGETS.get(self.config.policies.repeats)
            found = self.budgets[service] = kind(self.config.repeats.budget_settings())
        return found

    def apply_settings(self) -> None:
        """Apply changed settings to the retry budgets."""
        for budget in self.budgets.values():
            budget.settings = self.config.repeats.budget_settings()

    async def run(self, call: calls.Call, route: routes.Route) -> calls.Answer:
        """Return the answer to a call; the best refusal if no endpoint accepted it.

        Raise ``stopping`` if the call might outlast this process.
        """
        self.check_can_finish(route)
        self.record_request(call)
        if call.is_retry and not self.try_spend_retry(call):
            return calls.refusal(
                codes.Failure(codes.RETRY_BUDGET, "the call was made by a retry")
            )
        progress = Progress()
        while True:
            candidate = self.choose(call, route, progress.tried)
            if candidate is None:
                return progress.best_answer or calls.refusal(self.no_endpoint(call))
            answer = await self.send(candidate, call)
            self.record_result(candidate, call, answer)
            best_answer = progress.record_answer(candidate.node, answer)
            if not self.may_retry(call, route, answer, progress):
                return best_answer
            self.log_move(call, candidate, answer)
            call.is_retry = call.is_retry or progress.upstreams_reached > 0

    def record_request(self, call: calls.Call) -> None:
        """Count a request for the retry budget of its service.

        Calls of upstreams add nothing to the budget: retries of requests to another
        service may have multiplied them.
        """
        sender = "upstream" if call.from_upstream else "caller"
        self.meters.budget_requests.labels(call.service, sender).inc()
        if not call.from_upstream:
            self.budget(call.service).record_request(clock.seconds_since_boot())

    def check_can_finish(self, route: routes.Route) -> None:
        """Raise ``stopping`` if a call may still run when this process has to end."""
        processing_time = (
            self.placer.mean(route.name).seconds or placement.DEFAULT_PROCESSING_TIME
        )
        if not self.shutdown.can_finish(processing_time):
            raise self.shutdown.failure()

    def choose(
        self, call: calls.Call, route: routes.Route, tried: set[str]
    ) -> placement.Candidate | None:
        """Return the best endpoint that was not tried yet; None if there is none."""
        now = asyncio.get_running_loop().time()
        untried = self.untried(call, tried, bool(tried), now)
        if not untried and self.rooms.rooms:
            untried = self.untried(call, tried, True, now)
        return self.placer.choose(
            untried,
            route.name,
            route.target_latency,
            now,
            tickets.urgency_of(call.rank, call.nested),
        )

    def untried(
        self, call: calls.Call, tried: set[str], retry: bool, now: float
    ) -> list[placement.Candidate]:
        """Return the endpoints that may get a call, but no cold one without room.

        :param retry: whether the call goes on to another endpoint, which then has the
            old version during a rollout.
        """
        candidates = self.directory.candidates_of(call.service)
        allowed = self.filter_candidates(call.service, candidates, retry)
        untried = [item for item in allowed if item.node not in tried]
        if self.rooms.rooms:
            untried = [item for item in untried if not self.rooms.delay(item.node, now)]
        return untried

    def no_endpoint(self, call: calls.Call) -> codes.Failure:
        """Return the failure of a call whose service has no usable endpoint."""
        now = asyncio.get_running_loop().time()
        candidates = self.directory.candidates_of(call.service)
        wait = self.rooms.least_delay((item.node for item in candidates), now)
        if wait:
            return codes.Failure(codes.ENDPOINT_COLD, call.service, retry_after=wait)
        return codes.Failure(
            codes.NO_ENDPOINT, call.service, retry_after=NO_ENDPOINT_RETRY_AFTER
        )

    async def send(
        self, candidate: placement.Candidate, call: calls.Call
    ) -> calls.Answer:
        """Send a call to one endpoint through the exit of its node."""
        loop = asyncio.get_running_loop()
        candidate.begin(loop.time())
        self.rooms.record_sent(candidate.node)
        call.zones = self.evacuations.newest
        call.announcement = self.directory.announcement_of(candidate.node, loop.time())
        answered = False
        try:
            if candidate.node == self.config.name:
                answer = await self.exit.run(call)
            else:
                answer = await self.peers.run(candidate.hop, call)
            answered = answer.load is not None
            answer.node = candidate.node
            return answer
        finally:
            candidate.end(answered, loop.time())

    def record_result(
        self, candidate: placement.Candidate, call: calls.Call, answer: calls.Answer
    ) -> None:
        """Record what an answer shows about its endpoint: load, time, failures."""
        now = asyncio.get_running_loop().time()
        if answer.load is not None:
            urgency = tickets.urgency_of(call.rank, call.nested)
            candidate.record_load(answer.load, now, urgency)
            self.record_announcement(candidate, answer, now)
            self.rooms.record(candidate.node, answer.room, now)
            dependencies = self.exit.dependencies
            dependencies.record_shares(call.service, answer.refused_shares, now)
        self.record_peer_version(answer.version, candidate.hop, answer.known_at)
        self.evacuations.record_peer(answer.zones, candidate.hop)
        if answer.code in UNUSABLE_CODES:
            candidate.record_unreachable(now)
            if answer.load is None:
                self.start_polling(candidate)
            return
        candidate.record_reachable()
        failed = answer.code is None and answer.status >= MIN_SERVER_ERROR
        lost = answer.reached_upstream and answer.code is not None
        candidate.record_shed(failed or lost, now)
        if answer.code is None and answer.upstream_time > 0 and not failed:
            self.placer.record_processing_time(
                candidate, call.route, answer.upstream_time, now
            )

    def record_announcement(
        self, candidate: placement.Candidate, answer: calls.Answer, now: float
    ) -> None:
        """Record what an endpoint announced, or that it announces nothing any more.

        A refusal does not tell the latter: its exit may have been restarted, and has
        not heard from the endpoint yet.
        """
        if answer.announcement is not None or answer.code is None:
            self.directory.record_announcement(candidate.node, answer.announcement, now)

    def start_polling(self, candidate: placement.Candidate) -> None:
        """Start to poll a node that could not be reached, without using requests."""
        self.peers.pool.close_idle(candidate.hop)
        if candidate.lost:
            return
        candidate.lost = True
        task = asyncio.create_task(self.poll_until_reachable(candidate))
        self.poll_tasks.add(task)
        task.add_done_callback(self.poll_tasks.discard)

    async def poll_until_reachable(self, candidate: placement.Candidate) -> None:
        """Connect to a node repeatedly until it accepts or is no longer a candidate."""
        loop = asyncio.get_running_loop()
        self.log.note("node-lost", name=candidate.node, hop=candidate.hop)
        while self.directory.is_candidate(candidate):
            await asyncio.sleep(max(candidate.paused_until - loop.time(), 0.0))
            if await self.peers.probe(candidate.hop):
                candidate.record_reachable()
                self.log.note("node-regained", name=candidate.node)
                return
            candidate.record_unreachable(loop.time())

    def may_retry(
        self,
        call: calls.Call,
        route: routes.Route,
        answer: calls.Answer,
        progress: Progress,
    ) -> bool:
        """Return whether the call may go to another endpoint after this answer."""
        if answer.code is None and answer.status < MIN_SERVER_ERROR:
            return False
        if answer.code in FINAL_CODES:
            return False
        if answer.ran is not codes.Execution.NOT_RUN and not call.idempotent:
            return False
        now = asyncio.get_running_loop().time()
        processing_time = self.placer.mean(route.name).seconds
        if now + processing_time > call.deadline:
            return False
        if (
            progress.exit_refusals >= MAX_EXIT_REFUSALS
            or progress.upstreams_reached >= route.attempts
        ):
            return False
        if progress.upstream_failures >= MAX_UPSTREAM_FAILURES:
            return False
        if answer.code in FREE_CODES:
            return progress.free_refusals < MAX_FREE_REFUSALS
        if not progress.upstreams_reached:
            return True
        return self.try_spend_retry(call)

    def try_spend_retry(self, call: calls.Call) -> bool:
        """Spend one retry of the service's budget; return whether one was left.

        The calls that a retried request makes are retries too, and are paid from the
        budgets of the services that they go to.
        """
        now = clock.seconds_since_boot()
        nodes = self.count_budget_nodes()
        self.meters.budget_nodes.set(nodes)
        outcomes = self.meters.budget_repeats
        budget = self.budget(call.service)
        if budget.try_spend(nodes, now):
            outcomes.labels(call.service, "allowed").inc()
            return True
        outcomes.labels(call.service, "refused").inc()
        self.meters.refusals.labels(codes.RETRY_BUDGET.name).inc()
        self.log.note(
            "repeat-refused",
            id=call.attempt,
            service=call.service,
            repeated=call.is_retry,
            earned=budget.earned_left(now),
            nodes=nodes,
        )
        return False

    def log_move(
        self, call: calls.Call, candidate: placement.Candidate, answer: calls.Answer
    ) -> None:
        """Log that a call moves to another endpoint, and the failed one's state."""
        reason = answer.code.name if answer.code is not None else str(answer.status)
        now = asyncio.get_running_loop().time()
        self.meters.retries.labels(reason).inc()
        self.log.note(
            "call-moved",
            id=call.attempt,
            service=call.service,
            tried=candidate.node,
            endpoint=candidate.endpoint,
            reason=reason,
            why=answer.detail,
            ran=answer.ran,
            arrived=answer.reached_upstream,
            speed=candidate.latency_ratio(now),
            shed=candidate.shed_share(now),
            running=candidate.load.running if candidate.load else "-",
            waiting=candidate.load.waiting if candidate.load else "-",
            report_age=now - candidate.load_at if candidate.load else "-",
        )


def better_answer(last: calls.Answer | None, answer: calls.Answer) -> calls.Answer:
    """Return the better of two answers to one call.

    The upstream's own answer is the best. Among refusals, one whose work may have run
    is kept: a later attempt that provably did not run says nothing about it.
    """
    if last is None or answer.code is None:
        return answer
    if last.code is None or last.ran is not codes.Execution.NOT_RUN:
        return last
    return answer
