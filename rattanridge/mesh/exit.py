"""Exit: the only way to the upstream beside the node."""

import asyncio

from rattanridge.kernel import codes
from rattanridge.mesh import (
    calls,
    connections,
    events,
    monitoring,
    parents,
    settings,
    suspects as suspecting,
    upstream as upstreams,
)
from rattanridge.platform import headers
from rattanridge.policies import idle_timeout, placement, queueing
from rattanridge.web import memory

LOOK_PAUSE = 0.05  # seconds after a broken connection until the upstream is looked at
ANSWER_MARGIN = 0.08  # seconds past the deadline for the upstream's own answer
MISDIRECTED = 421


class Exit:
    """Gives requests to the upstream, never more than it has slots.

    :param config: the node's settings.
    :param upstream: what is known of the upstream.
    :param suspects: told of requests under which the upstream ends.
    :param held: counts the bytes of bodies that the node holds.
    """

    def __init__(
        self,
        config: settings.Settings,
        upstream: upstreams.Upstream,
        suspects: suspecting.Suspects,
        held: memory.MemoryBudget,
        log: events.Events,
        meters: events.Meters,
    ):
        self.config = config
        self.upstream = upstream
        self.suspects = suspects
        self.log = log
        self.meters = meters
        self.pool = connections.Pool(held)
        self.resting = idle_timeout.IdleTimeout()
        self.queue = queueing.Queue(
            1,
            queueing.ORDERS.get(config.policies.order),
            queueing.ADMISSIONS.get(config.policies.admission),
        )
        self.identity = upstream.identity
        self.tasks: set[asyncio.Task] = set()
        self.looking: asyncio.Task | None = None
        self.parents = parents.Parents()
        self.stopping = False
        self.stop_deadline = float("inf")
        self.monitor = monitoring.Monitor(upstream, log)
        upstream.listeners.append(self.follow)

    def follow(self) -> None:
        """Follow a change of the upstream."""
        upstream = self.upstream
        if upstream.identity != self.identity:
            self.identity = upstream.identity
            self.suspects.record_upstream_end()
        self.queue.resize(max(upstream.slots, 1))
        if upstream.state is upstreams.State.READY:
            return
        self.queue.refuse_all(codes.DRAINING, "the endpoint leaves")
        if upstream.state is upstreams.State.UNKNOWN:
            self.pool.close()

    def request_count(self) -> int:
        """Return the requests at the upstream or in the queue."""
        return self.queue.running + len(self.queue.waiting)

    def load(self) -> placement.Load:
        """Return the load as other nodes are told."""
        queue = self.queue
        return placement.Load(queue.running, len(queue.waiting), queue.expected_wait())

    async def run(self, call: calls.Call) -> calls.Answer:
        """Run a call. One that must not repeat goes on if its caller goes away,
        once a byte of it was sent."""
        if call.idempotent:
            return await self.work(call)
        task = asyncio.create_task(self.work(call))
        self.tasks.add(task)
        task.add_done_callback(self.forget)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            if not call.sent:
                task.cancel()
            raise

    def forget(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.log.error("exit-failed", why=repr(task.exception()))

    async def work(self, call: calls.Call) -> calls.Answer:
        """Wait for a slot and run the call."""
        try:
            answer = await self.admit(call)
        except codes.Failure as failure:
            answer = calls.refusal(failure, arrived=call.sent)
        answer.load = self.load()
        if answer.code is not None:
            self.note(call, answer)
        return answer

    def note(self, call: calls.Call, answer: calls.Answer) -> None:
        self.meters.refusals.labels(answer.code.name).inc()
        self.log.note(
            "exit-refused",
            id=call.attempt,
            code=answer.code.number,
            why=answer.detail or answer.code.name,
            ran=answer.ran,
            running=self.queue.running,
            waiting=len(self.queue.waiting),
            state=self.upstream.state,
        )

    async def admit(self, call: calls.Call) -> calls.Answer:
        """Check the upstream, wait for a slot, and send."""
        self.check(call)
        loop = asyncio.get_running_loop()
        began = loop.time()
        ticket = queueing.Ticket(
            call.route, call.rank, call.nested, call.timely_until, call.deadline
        )
        await self.queue.acquire(ticket)
        queued = loop.time() - began
        try:
            self.check(call)
            self.meters.queue_seconds.observe(queued)
            answer = await self.send(call)
            answer.queued = queued
            return answer
        finally:
            self.queue.release()

    def check(self, call: calls.Call) -> None:
        """Refuse what the upstream can't be given now."""
        if self.stopping or self.may_outlast(call):
            raise codes.Failure(codes.STOPPING)
        self.suspects.check(call)
        failure = self.upstream.refusal(call.service) or self.monitor.refusal()
        if failure is not None:
            raise failure
        if self.upstream.is_unresponsive(len(self.parents.running)):
            raise codes.Failure(codes.NO_ENDPOINT, "silent")

    def may_outlast(self, call: calls.Call) -> bool:
        """Whether a call may still run when this process has to end.

        Entries that have not heard that it stops still send here.
        """
        left = self.stop_deadline - asyncio.get_running_loop().time()
        return queueing.may_outlast(self.queue.times.mean_of(call.route), left)

    async def send(self, call: calls.Call) -> calls.Answer:
        """Send a call to the upstream and return what it says."""
        loop = asyncio.get_running_loop()
        identity = self.upstream.identity
        address = self.upstream.address
        longest = self.resting.max_idle(not call.idempotent, loop.time())
        try:
            connection = await self.pool.acquire(
                address, call.deadline - loop.time(), longest
            )
        except codes.Failure as failure:
            self.note_unreachable(failure)
            raise
        began = loop.time()
        data = self.write(call, identity, call.deadline - began)
        call.sent = True
        self.upstream.record_request(len(self.parents.running))
        self.parents.begin(call)
        try:
            async with asyncio.timeout_at(call.deadline + ANSWER_MARGIN):
                response = await connection.exchange(
                    data, call.method != "HEAD", lambda item: is_answer(item, call)
                )
        except TimeoutError:
            self.monitor.record_request(call, None, loop.time() - began)
            raise codes.Failure(codes.DEADLINE, ran=codes.Execution.UNKNOWN)
        except codes.Failure:
            self.note_broken(call, connection, loop.time() - began)
            raise
        finally:
            self.parents.end(call, call.deadline - loop.time())
        spent = loop.time() - began
        self.pool.release(address, connection, response)
        return self.read(call, response, identity, spent)

    def note_broken(
        self, call: calls.Call, connection: connections.Connection, lasted: float
    ) -> None:
        """The upstream's connection broke under a request."""
        self.monitor.record_request(call, None, lasted)
        now = asyncio.get_running_loop().time()
        if self.resting.record_break(connection.idle_seconds, lasted, now):
            self.log.note("connection-forgotten", rested=connection.idle_seconds)
            return
        self.suspects.record_broken_call(call, lasted)
        self.look_soon()

    def note_unreachable(self, failure: codes.Failure) -> None:
        """The upstream took no connection; if nobody listens, it has ended."""
        self.upstream.record_unreachable(failure.detail)
        if failure.detail == connections.REFUSED:
            self.suspects.record_upstream_end()

    def look_soon(self) -> None:
        """See whether the upstream is still there, once for many broken calls."""
        if self.looking is None or self.looking.done():
            self.looking = asyncio.create_task(self.look())

    async def look(self) -> None:
        """Open a connection to the upstream, kept for the next request."""
        await asyncio.sleep(LOOK_PAUSE)
        address = self.upstream.address
        try:
            connection = await self.pool.connect(address, connections.CONNECT_TIMEOUT)
        except codes.Failure as failure:
            self.note_unreachable(failure)
            return
        self.pool.add_idle(address, connection)

    def write(
        self, call: calls.Call, identity: upstreams.Identity, left: float
    ) -> bytes:
        """Return the request as the upstream gets it."""
        sent = [
            *call.headers,
            (headers.DEADLINE, headers.format_deadline(left)),
            (headers.ENDPOINT, identity.endpoint),
            (headers.CALLER, call.caller),
        ]
        return connections.write_request(call.method, call.path, sent, call.body)

    def read(
        self,
        call: calls.Call,
        response: connections.Response,
        identity: upstreams.Identity,
        spent: float,
    ) -> calls.Answer:
        """Judge an answer: the upstream's own, or a proof that nothing ran."""
        self.upstream.record_answer()
        if response.status == MISDIRECTED:
            self.upstream.record_misdirected(identity)
            return calls.refusal(codes.Failure(codes.WRONG_ENDPOINT), arrived=True)
        if headers.NOT_RUN in response.headers:
            return calls.refusal(codes.Failure(codes.SHEDDING), arrived=True)
        self.queue.times.record(call.route, spent)
        self.meters.upstream_seconds.observe(spent)
        self.monitor.record_request(call, response.status, spent)
        self.suspects.record_answer(call)
        check_answer(response)
        return calls.Answer(
            response.status,
            calls.forwardable(response.headers),
            response.body,
            arrived=True,
            spent=spent,
        )


def is_answer(response: connections.Response, call: calls.Call) -> bool:
    """Whether an answer belongs to a call. A failure may come without an id."""
    attempt = response.headers.get(headers.ATTEMPT)
    if attempt is None:
        return response.status >= 300 or not call.attempt
    return attempt == call.attempt


def check_answer(response: connections.Response) -> None:
    """Refuse an answer that may not be the upstream's own, whole one."""
    if 200 <= response.status < 300:
        if headers.SIGNATURE not in response.headers:
            raise codes.Failure(
                codes.ANSWER_CUT, "no proof", ran=codes.Execution.UNKNOWN
            )
        if "Content-Encoding" in response.headers:
            raise codes.Failure(
                codes.ANSWER_CUT, "encoded", ran=codes.Execution.UNKNOWN
            )
    if response.status in calls.PROMISES:
        # It would tell the caller that the request did not run; no proof says so.
        raise codes.Failure(
            codes.UPSTREAM_FAILED, str(response.status), ran=codes.Execution.UNKNOWN
        )
