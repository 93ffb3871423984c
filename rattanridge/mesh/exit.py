"""Exit: the only path of requests to the local upstream."""

import asyncio

from rattanridge.kernel import codes
from rattanridge.mesh import (
    calls,
    connections,
    events,
    exchanges,
    gate as gates,
    monitoring,
    parents,
    probe as probing,
    settings,
    shutdown as shutdowns,
    suspects as suspecting,
    trial as trials,
    upstream as upstreams,
    upstream_messages,
)
from rattanridge.mesh.discovery import announcements
from rattanridge.platform import headers
from rattanridge.policies import (
    admissions,
    demand,
    idle_timeout,
    load_shedding,
    placement,
    queueing,
    tickets,
)
from rattanridge.web import memory

ANSWER_MARGIN = 0.08  # seconds past the deadline for the upstream's own answer
MISDIRECTED_STATUS = 421  # another upstream answers at the address


class Exit:
    """Sends requests to the upstream, never more at once than it has slots.

    :param config: the node's settings.
    :param upstream: state of the upstream.
    :param suspects: records requests during which the upstream ends.
    :param shutdown: tells which calls can still end in time.
    :param state_of: returns the state of the rollout to a version of a service.
    :param memory_budget: limits the bytes of bodies that the node holds in memory.
    :param gate: refuses requests that the endpoint must not get.
    """

    def __init__(
        self,
        config: settings.Settings,
        upstream: upstreams.Upstream,
        suspects: suspecting.Suspects,
        shutdown: shutdowns.Shutdown,
        state_of: trials.StateOf,
        memory_budget: memory.MemoryBudget,
        gate: gates.Gate,
        log: events.Events,
        meters: events.Meters,
    ):
        self.config = config
        self.upstream = upstream
        self.suspects = suspects
        self.shutdown = shutdown
        self.log = log
        self.meters = meters
        self.pool = connections.Pool(memory_budget)
        self.gate = gate
        self.idle_timeout = idle_timeout.IdleTimeout()
        self.queue = queueing.Queue(
            1,
            tickets.ORDERS.get(config.policies.order),
            admissions.ADMISSIONS.get(config.policies.admission),
            demand.BOUNDS.get(config.policies.bound),
        )
        self.refused_shares = load_shedding.RefusedShares()
        self.dependencies = load_shedding.Dependencies()
        self.announcements = announcements.Announcements(
            upstream, self.queue.set_limit, log, meters
        )
        self.identity = upstream.identity
        self.tasks: set[asyncio.Task] = set()
        self.probe = probing.Probe(upstream, self.pool, self.record_unreachable)
        self.parents = parents.Parents()
        self.monitor = monitoring.Monitor(upstream)
        self.trial = trials.Trial(upstream, self.monitor, state_of, log)
        upstream.listeners.append(self.apply_upstream_change)
        gate.evacuations.listeners.append(self.apply_evacuations)

    def apply_upstream_change(self) -> None:
        """Apply a change of the upstream: its identity, state or slots."""
        upstream = self.upstream
        if upstream.identity != self.identity:
            self.identity = upstream.identity
            self.suspects.record_upstream_end()
        self.queue.resize(max(upstream.slots, 1))
        if upstream.state is upstreams.State.READY:
            return
        self.queue.refuse_all(
            codes.DRAINING, "the endpoint stopped accepting requests meanwhile"
        )
        if upstream.state is upstreams.State.UNKNOWN:
            self.pool.close()

    def apply_evacuations(self) -> None:
        """Refuse all waiting requests if the node's zone is evacuated."""
        if self.gate.evacuated:
            self.queue.refuse_all(
                codes.ZONE_EVACUATED, "the zone was evacuated meanwhile"
            )

    def request_count(self) -> int:
        """Return the number of requests at the upstream and in the queue."""
        return self.queue.running + len(self.queue.waiting)

    def load(self, call: calls.Call) -> placement.Load:
        """Return the load that is reported with the answer to a call."""
        queue = self.queue
        wait = queue.expected_wait_behind(ticket_of(call))
        return placement.Load(queue.running, len(queue.waiting), wait)

    async def run(self, call: calls.Call) -> calls.Answer:
        """Run a call and return the answer; failures become answers.

        A call that is not idempotent is finished even if its caller goes away, once
        a byte of it was sent.
        """
        if call.idempotent:
            return await self.run_to_answer(call)
        task = asyncio.create_task(self.run_to_answer(call))
        self.tasks.add(task)
        task.add_done_callback(self.discard_task)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            if not call.sent:
                task.cancel()
            raise

    def discard_task(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.log.error("exit-failed", why=repr(task.exception()))

    async def run_to_answer(self, call: calls.Call) -> calls.Answer:
        """Run a call and return its answer or refusal with the load after it."""
        try:
            answer = await self.run_in_slot(call)
        except codes.Failure as failure:
            answer = calls.refusal(failure, reached_upstream=call.sent)
        answer.load = self.load(call)
        answer.announcement = self.announcements.current()
        answer.room = self.gate.room()
        now = asyncio.get_running_loop().time()
        answer.refused_shares = self.refused_shares.shares(now)
        if answer.code is not None:
            self.log_refusal(call, answer, answer.code)
        return answer

    def log_refusal(
        self, call: calls.Call, answer: calls.Answer, code: codes.Code
    ) -> None:
        self.meters.refusals.labels(code.name).inc()
        self.log.note(
            "exit-refused",
            id=call.attempt,
            code=code.number,
            why=answer.detail or code.name,
            ran=answer.ran,
            rank=call.rank,
            account=call.account or "-",
            running=self.queue.running,
            waiting=len(self.queue.waiting),
            state=self.upstream.state,
        )

    async def run_in_slot(self, call: calls.Call) -> calls.Answer:
        """Wait for a slot and send a call; raise if the upstream cannot accept it."""
        self.announcements.apply_known(call.announcement)
        self.check_call(call, len(self.queue.waiting))
        self.check_dependencies(call)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        ticket = await self.acquire_slot(call)
        queued = loop.time() - started_at
        try:
            self.check_call(call)
            self.monitor.record_sent()
            self.meters.queue_seconds.observe(queued)
            answer = await self.send(call)
            answer.queued = queued
            return answer
        finally:
            self.queue.release(ticket)

    async def acquire_slot(self, call: calls.Call) -> tickets.Ticket:
        """Wait for a slot and return its ticket; raise if there is none in time."""
        ticket = ticket_of(call)
        try:
            await self.queue.acquire(ticket)
        except codes.Failure as failure:
            self.record_decision(call, failure.code in queueing.FULL_CODES)
            raise
        finally:
            if ticket.left_slot:
                self.log_left_slot(call)
        self.record_decision(call, False)
        return ticket

    def log_left_slot(self, call: calls.Call) -> None:
        """Log that a call left a free slot to more urgent ones."""
        self.meters.slots_left.inc()
        self.log.note(
            "slot-left",
            id=call.attempt,
            route=call.route,
            rank=call.rank,
            account=call.account or "-",
        )

    def record_decision(self, call: calls.Call, refused: bool) -> None:
        """Record whether the queue refused a request.

        Refusals of nested calls are reported only where several ranks or accounts
        compete; elsewhere their parents are started as before.
        """
        now = asyncio.get_running_loop().time()
        if not call.nested:
            self.refused_shares.record(call.rank, refused, now)
        elif self.queue.is_mixed(now):
            self.refused_shares.record(load_shedding.NESTED, refused, now)

    def check_dependencies(self, call: calls.Call) -> None:
        """Raise ``calls-overloaded`` for a share of the less urgent requests.

        Their calls would take slots that another service refuses to more urgent ones.
        """
        if call.nested:
            return
        now = asyncio.get_running_loop().time()
        if self.dependencies.should_refuse(call.route, call.rank, now):
            raise codes.Failure(
                codes.CALLS_OVERLOADED, retry_after=self.queue.retry_after()
            )

    def check_call(self, call: calls.Call, waiting: int = 0) -> None:
        """Raise a coded failure if the upstream cannot accept the call now.

        :param waiting: requests that wait for a slot before it.
        """
        if not self.shutdown.can_finish(self.queue.times.mean_of(call.route)):
            raise codes.Failure(codes.STOPPING)
        self.suspects.check(call)
        failure = (
            self.upstream.refusal(call.service)
            or self.gate.refusal(waiting)
            or self.trial.refusal()
        )
        if failure is not None:
            raise failure
        if self.upstream.is_unresponsive(len(self.parents.running)):
            raise codes.Failure(
                codes.NO_ENDPOINT, "the upstream sends neither heartbeats nor answers"
            )

    async def send(self, call: calls.Call) -> calls.Answer:
        """Send a call to the upstream and return its answer; raise if none comes."""
        loop = asyncio.get_running_loop()
        identity = self.upstream.require_identity()
        address = self.upstream.address
        max_idle = self.idle_timeout.max_idle(not call.idempotent, loop.time())
        try:
            connection = await self.pool.acquire(
                address, call.deadline - loop.time(), max_idle
            )
        except codes.Failure as failure:
            self.record_unreachable(failure)
            raise
        self.gate.admit(self.pool, connection, len(self.parents.running))
        sent_at = loop.time()
        data = upstream_messages.encode_request(
            call, identity.endpoint, call.deadline - sent_at
        )
        call.sent = True
        response = await self.exchange(call, connection, data)
        upstream_time = loop.time() - sent_at
        self.pool.release(address, connection, response)
        return self.interpret_response(call, response, identity, upstream_time)

    async def exchange(
        self, call: calls.Call, connection: connections.Connection, data: bytes
    ) -> exchanges.Response:
        """Send a request and return the response; record how it went.

        Raise a coded failure if no whole response comes in time.
        """
        self.meters.upstream_requests.inc()
        self.upstream.record_request(len(self.parents.running))
        self.parents.record_start(call)
        self.monitor.record_start(call)
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        response = None
        try:
            async with asyncio.timeout_at(call.deadline + ANSWER_MARGIN):
                response = await connection.exchange(
                    data,
                    call.method != "HEAD",
                    lambda item: upstream_messages.answers_call(item, call),
                    exchanges.rest_of(call.body),
                )
            return response
        except TimeoutError:
            raise codes.Failure(codes.DEADLINE, ran=codes.Execution.UNKNOWN)
        except codes.Failure:
            self.record_broken_connection(call, connection, loop.time() - sent_at)
            raise
        finally:
            if response is None:
                self.monitor.record_request(call, None, loop.time() - sent_at)
            self.monitor.record_end(call)
            self.parents.record_end(call, call.deadline - loop.time())

    def record_broken_connection(
        self, call: calls.Call, connection: connections.Connection, elapsed: float
    ) -> None:
        """Record that the connection to the upstream broke during a request.

        A connection that the upstream had dropped while it was idle is no evidence
        against the request.

        :param elapsed: seconds from the request until the connection broke.
        """
        now = asyncio.get_running_loop().time()
        if self.idle_timeout.record_break(connection.idle_seconds, elapsed, now):
            self.log.note("connection-forgotten", rested=connection.idle_seconds)
            return
        self.upstream.doubt_cold()
        self.suspects.record_broken_call(call, elapsed)
        self.probe.schedule()

    def record_unreachable(self, failure: codes.Failure) -> None:
        """Record that the upstream accepted no connection.

        If the connection was refused, nobody listens: the upstream has ended.
        """
        self.upstream.record_unreachable(failure.detail)
        if failure.detail == connections.CONNECTION_REFUSED:
            self.suspects.record_upstream_end()

    def interpret_response(
        self,
        call: calls.Call,
        response: exchanges.Response,
        identity: upstreams.Identity,
        upstream_time: float,
    ) -> calls.Answer:
        """Return the answer for a response of the upstream.

        It is the upstream's own answer, or a refusal if the response proves that the
        request did not run. Raise if it may not be the upstream's own or not whole.
        """
        self.upstream.record_answer()
        if response.status == MISDIRECTED_STATUS:
            self.upstream.record_misdirected(identity)
            return calls.refusal(
                codes.Failure(codes.WRONG_ENDPOINT), reached_upstream=True
            )
        self.announcements.record_answer(response.headers, identity)
        if headers.NOT_RUN in response.headers:
            return calls.refusal(codes.Failure(codes.SHEDDING), reached_upstream=True)
        self.queue.times.record(call.route, upstream_time)
        self.meters.upstream_seconds.observe(upstream_time)
        self.monitor.record_request(call, response.status, upstream_time)
        self.suspects.record_answer(call)
        upstream_messages.check_response(response)
        return calls.Answer(
            response.status,
            calls.forwardable(response.headers),
            response.body,
            reached_upstream=True,
            upstream_time=upstream_time,
        )


def ticket_of(call: calls.Call) -> tickets.Ticket:
    """Return the ticket with which a call waits for a slot."""
    return tickets.Ticket(
        call.route,
        call.rank,
        call.nested,
        call.timely_until,
        call.deadline,
        call.account,
    )
