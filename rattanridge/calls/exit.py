"""Exit: the only way to the upstream beside this node."""

import asyncio
import dataclasses

from rattanridge.calls import admission, forward, headers, memory, types
from rattanridge.kernel import codes, log, metrics, presets, settings
from rattanridge.policies import queues

SHED_HEADER = "Ran"


@dataclasses.dataclass(slots=True)
class Upstream:
    """What the upstream announced.

    :param address: ``host:port`` of its HTTP server.
    :param state: ``up`` or ``draining``.
    """

    service: str
    version: str
    address: str
    slots: int
    connections: int
    state: str = "up"


class Exit:
    """Owns the upstream's slots, connections and queue.

    :param config: the node's settings.
    :param counters: counts refusals by code.
    :param held: counts the bytes of answers that are held whole.
    """

    def __init__(
        self,
        config: settings.NodeSettings,
        counters: metrics.Counters,
        held: memory.Held,
    ):
        self.config = config
        self.counters = counters
        self.held = held
        self.log = log.Log("exit", config.name)
        self.upstream: Upstream | None = None
        self.admission = admission.Admission(1, 0)
        self.client: forward.Client | None = None

    async def attach(self, upstream: Upstream, service: presets.Service) -> None:
        """Take an announced upstream; one at another address gets connections of
        its own, while the requests in progress end on the old ones."""
        old, self.upstream = self.upstream, upstream
        if (
            old is None
            or old.address != upstream.address
            or old.connections != upstream.connections
        ):
            await self.connect(upstream)
        order = queues.QUEUES.get(service.order)()
        self.admission.resize(upstream.slots, service.queue, order)
        if upstream.state == "up":
            self.admission.open()
        else:
            self.admission.close()

    async def connect(self, upstream: Upstream) -> None:
        """Begin a pool of connections that keeps the upstream's limit."""
        old = self.client
        self.client = forward.Client(
            self.config,
            self.held,
            connections=upstream.connections,
            idle=self.config.limits.idle,
        )
        if old is not None:
            await old.retire()

    async def close(self) -> None:
        if self.client is not None:
            await self.client.close()
            self.client = None

    async def run(self, call: types.Call) -> types.Answer:
        """Run a call on the upstream, or refuse it."""
        try:
            return await self.admit(call)
        except codes.Failure as failure:
            self.counters.add(f"exit.refused.{failure.code.name}")
            answer = types.refuse(failure)
            answer.load = self.admission.load()
            return answer

    async def admit(self, call: types.Call) -> types.Answer:
        """Wait for a slot and keep it until the answer is read."""
        self.check(call)
        gate = self.admission
        await gate.enter(call.priority, call.deadline)
        began = asyncio.get_running_loop().time()
        try:
            answer = await self.send(self.check(call), call)
        except codes.Failure as failure:
            gate.leave(self.lasted(began) if failure.code is codes.DEADLINE else 0.0)
            raise
        except BaseException:
            gate.leave()
            raise
        if answer.rest is not None:
            answer.rest = SlotRest(answer.rest, gate)
        else:
            gate.leave(self.lasted(began))
        answer.load = gate.load()
        answer.spent = self.lasted(began)
        return answer

    def lasted(self, began: float) -> float:
        return asyncio.get_running_loop().time() - began

    def check(self, call: types.Call) -> Upstream:
        """Return the upstream, if it is the one that the call is for."""
        upstream = self.upstream
        if upstream is None or upstream.service != call.service:
            raise codes.Failure(codes.WRONG_ENDPOINT, call.service)
        return upstream

    async def send(self, upstream: Upstream, call: types.Call) -> types.Answer:
        """Send the call to the upstream and read its answer."""
        left = call.deadline - asyncio.get_running_loop().time()
        extra = {headers.DEADLINE: f"{max(left, 0) * 1000:.0f}"}
        if call.leaves_retries:
            extra[headers.RETRY] = "1"
        if self.client is None:
            raise codes.Failure(codes.STOPPING)
        end = call.wait_end(self.config.limits)
        answer = await self.client.send(upstream.address, call, extra, end)
        if (
            answer.status == 503
            and answer.headers.get(SHED_HEADER) == codes.Ran.NOT_RUN
        ):
            answer.close()
            raise codes.Failure(codes.SHEDDING)
        return answer


class SlotRest(types.Rest):
    """The rest of an answer whose request still has its slot.

    :param rest: what is unread.
    :param gate: gets the slot back.
    """

    def __init__(self, rest: types.Rest, gate: admission.Admission):
        self.rest = rest
        self.gate = gate
        self.open = True

    async def read(self) -> bytes:
        return await self.rest.read()

    def close(self) -> None:
        if self.open:
            self.open = False
            self.rest.close()
            self.gate.leave()
