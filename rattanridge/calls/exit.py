"""Exit: the only way to the upstream beside this node."""

import asyncio
import dataclasses

from rattanridge.calls import admission, forward, headers, types
from rattanridge.kernel import codes, log, metrics, settings

NOT_RUN = "not-run"


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
    """

    def __init__(self, config: settings.NodeSettings, counters: metrics.Counters):
        self.config = config
        self.counters = counters
        self.log = log.Log("exit", config.name)
        self.upstream: Upstream | None = None
        self.admission = admission.Admission(1, 0)
        self.session = None

    async def attach(self, upstream: Upstream, queue: int) -> None:
        """Take an announced upstream; a changed one gets fresh connections."""
        old, self.upstream = self.upstream, upstream
        same = old is not None and (
            dataclasses.replace(old, state=upstream.state) == upstream
        )
        if not same:
            await self.close()
            self.session = forward.make_session(upstream.connections)
            self.admission = admission.Admission(upstream.slots, queue)
        self.admission.queue = queue
        self.admission.closed = upstream.state != "up"

    async def close(self) -> None:
        if self.session is not None:
            await self.session.close()
            self.session = None

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
        upstream = self.upstream
        if upstream is None or upstream.service != call.service:
            raise codes.Failure(codes.WRONG_ENDPOINT, call.service)
        gate = self.admission
        await gate.enter(call.priority, call.deadline)
        loop = asyncio.get_running_loop()
        began = loop.time()
        try:
            answer = await self.send(upstream, call)
        finally:
            gate.leave(loop.time() - began)
        answer.load = gate.load()
        answer.spent = loop.time() - began
        return answer

    async def send(self, upstream: Upstream, call: types.Call) -> types.Answer:
        """Send the call to the upstream and read its whole answer."""
        left = call.deadline - asyncio.get_running_loop().time()
        extra = {headers.DEADLINE: f"{left * 1000:.0f}"}
        if call.retried:
            extra[headers.RETRY] = "1"
        url = f"http://{upstream.address}{call.path}"
        response, body = await forward.send(
            self.session, url, call, extra, self.config.limits.answer_bytes
        )
        if response.status == 503 and response.headers.get("Ran") == NOT_RUN:
            raise codes.Failure(codes.SHEDDING)
        return forward.answer_of(response, body)

    async def drained(self, bound: float) -> bool:
        """Wait until nothing runs, at most ``bound`` seconds."""
        loop = asyncio.get_running_loop()
        end = loop.time() + bound
        while self.admission.running and loop.time() < end:
            await asyncio.sleep(0.02)
        return not self.admission.running
