"""Entry: takes requests, finds their route and endpoint, and answers them."""

import asyncio
import collections.abc

import aiohttp
import aiohttp.web

from rattanridge.calls import endpoints, exit as exits, forward, headers, retries, types
from rattanridge.control import replica, transport
from rattanridge.kernel import codes, log, metrics, presets, settings
from rattanridge.policies import balancers

HOP_CONNECTIONS = 64  # to each other node


Work = collections.abc.Callable[[], collections.abc.Awaitable[types.Answer]]
Gate = collections.abc.Callable[[types.Call], None]
Guard = collections.abc.Callable[
    [types.Call, Work], collections.abc.Awaitable[types.Answer]
]
Observer = collections.abc.Callable[
    [types.Call, balancers.Candidate, types.Answer, float], None
]


async def run_unguarded(call: types.Call, work: Work) -> types.Answer:
    """Run a call's work without a claim."""
    return await work()


class Entry:
    """Serves callers and the upstream beside the node.

    ``gates`` refuse a call by raising a coded failure before any work,
    ``guard`` runs calls that must not repeat, and ``observers`` see each
    attempt with its endpoint, answer and seconds.

    :param config: the node's settings.
    :param state: the node's replica.
    :param exit: the node's exit, for endpoints beside it.
    :param counters: counts answers and refusals by code.
    """

    def __init__(
        self,
        config: settings.NodeSettings,
        state: replica.Replica,
        exit: exits.Exit,
        counters: metrics.Counters,
    ):
        self.config = config
        self.state = state
        self.exit = exit
        self.counters = counters
        self.log = log.Log("entry", config.name)
        self.endpoints = endpoints.Endpoints(config, state)
        self.retries = retries.Retries(counters)
        self.gates: list[Gate] = []
        self.guard: Guard = run_unguarded
        self.observers: list[Observer] = []
        self.session = None
        self.stopping = False
        self.active = 0
        token = transport.sign(config.key, "hop", config.name)
        self.hop_headers = {headers.NODE: config.name, headers.TOKEN: token}

    async def start(self) -> None:
        self.session = forward.make_session(0)

    async def stop(self) -> None:
        if self.session is not None:
            await self.session.close()

    async def serve(self, request: aiohttp.web.BaseRequest) -> aiohttp.web.Response:
        """Answer one caller's request."""
        return await self.handle(request, inner=False)

    async def serve_upstream(
        self, request: aiohttp.web.BaseRequest
    ) -> aiohttp.web.Response:
        """Answer a call that the upstream beside the node makes."""
        return await self.handle(request, inner=True)

    async def handle(
        self, request: aiohttp.web.BaseRequest, inner: bool
    ) -> aiohttp.web.Response:
        """Answer one request; only an inner one's marks are believed."""
        self.active += 1
        try:
            answer = await self.answer(request, inner)
        except codes.Failure as failure:
            answer = types.refuse(failure)
        finally:
            self.active -= 1
        return self.respond(request, answer)

    async def answer(
        self, request: aiohttp.web.BaseRequest, inner: bool
    ) -> types.Answer:
        if self.stopping:
            raise codes.Failure(codes.STOPPING, retry_after=1.0)
        call = await self.read(request)
        if inner:
            self.believe_marks(call, request)
        for gate in self.gates:
            gate(call)
        if call.idempotent:
            return await self.run(call)
        return await self.guard(call, lambda: self.run(call))

    def believe_marks(self, call: types.Call, request: aiohttp.web.BaseRequest) -> None:
        """Take over the deadline and retry mark of the call that caused this one."""
        call.retried = headers.RETRY in request.headers
        text = request.headers.get(headers.DEADLINE, "")
        if text.isdigit() and len(text) < 10:
            now = asyncio.get_running_loop().time()
            call.deadline = min(call.deadline, now + int(text) / 1000)

    def queue_of(self, service: str) -> int:
        """Return the queue bound that the preset gives a service."""
        snapshot = self.state.snapshot
        known = snapshot.preset.services.get(service) if snapshot else None
        return (known or presets.Service()).queue

    async def read(self, request: aiohttp.web.BaseRequest) -> types.Call:
        """Match the route and read the request whole."""
        snapshot = self.state.snapshot
        if snapshot is None:
            raise codes.Failure(codes.NOT_READY, retry_after=1.0)
        host = request.headers.get("Host", "").partition(":")[0]
        route = snapshot.match(host, request.path, request.method)
        if route is None:
            raise codes.Failure(codes.NO_ROUTE, f"{request.method} {request.path}")
        body = await self.read_body(request)
        now = asyncio.get_running_loop().time()
        return types.Call(
            method=request.method,
            path=request.raw_path,
            headers=headers.forwardable(request.headers),
            body=body,
            service=route.service,
            idempotent=route.idempotent,
            priority=route.priority,
            deadline=now + route.timeout,
            caller=request.remote or "",
            route=route,
        )

    async def read_body(self, request: aiohttp.web.BaseRequest) -> bytes:
        """Read the body whole, within the limit."""
        limit = self.config.limits.body_bytes
        if (request.content_length or 0) > limit:
            raise codes.Failure(codes.BODY_TOO_LARGE)
        chunks = []
        size = 0
        try:
            async for chunk in request.content.iter_any():
                size += len(chunk)
                if size > limit:
                    raise codes.Failure(codes.BODY_TOO_LARGE)
                chunks.append(chunk)
        except (aiohttp.ClientError, aiohttp.web.RequestPayloadError, OSError):
            raise codes.Failure(codes.BODY_CUT)
        return b"".join(chunks)

    async def run(self, call: types.Call) -> types.Answer:
        """Run a call, again on another endpoint where that is allowed."""
        tried: frozenset[str] = frozenset()
        while True:
            chosen = self.endpoints.choose(
                call.service, call.idempotent, tried, call.route
            )
            answer = await self.attempt(call, chosen)
            if not self.retries.allowed(call, answer):
                return answer
            tried |= {chosen.name}
            call.retried = True
            try:
                self.endpoints.choose(call.service, call.idempotent, tried, call.route)
            except codes.Failure:
                return answer

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
                answer = await self.forward(call, chosen)
        finally:
            chosen.in_flight -= 1
        seconds = loop.time() - began
        chosen.running, chosen.queued = answer.load
        if answer.code is None and answer.status < 500:
            chosen.succeed(seconds)
        else:
            chosen.fail(loop.time())
        for observer in self.observers:
            observer(call, chosen, answer, seconds)
        return answer

    async def forward(
        self, call: types.Call, chosen: balancers.Candidate
    ) -> types.Answer:
        """Send a call to the node beside the chosen endpoint."""
        left = call.deadline - asyncio.get_running_loop().time()
        extra = dict(self.hop_headers)
        extra[headers.TARGET] = call.service
        extra[headers.DEADLINE] = f"{left * 1000:.0f}"
        extra[headers.PRIORITY] = call.priority
        if call.retried:
            extra[headers.RETRY] = "1"
        if not call.idempotent:
            extra[headers.ONCE] = "1"
        limit = self.config.limits.answer_bytes
        try:
            response, body = await forward.send(
                self.session, f"http://{chosen.hop}{call.path}", call, extra, limit
            )
        except codes.Failure as failure:
            if failure.code is codes.UPSTREAM_FAILED:
                failure.code = codes.PEER_FAILED
            return types.refuse(failure)
        return parse_hop(response, body)

    def respond(
        self, request: aiohttp.web.BaseRequest, answer: types.Answer
    ) -> aiohttp.web.Response:
        """Build the response, and count it."""
        name = answer.code.name if answer.code is not None else "upstream"
        self.counters.add(f"entry.answered.{name}")
        answer.headers[headers.RAN] = answer.ran.value
        if answer.code is not None:
            answer.headers[headers.CODE] = str(answer.code.number)
            self.log.info(
                "refused",
                code=answer.code.number,
                name=answer.code.name,
                ran=answer.ran.value,
                method=request.method,
                path=request.path,
            )
        return aiohttp.web.Response(
            status=answer.status, headers=answer.headers, body=answer.body
        )


def parse_hop(response: aiohttp.ClientResponse, body: bytes) -> types.Answer:
    """Read another node's answer, with its code, outcome and load."""
    answer = forward.answer_of(response, body)
    ran = response.headers.get(headers.RAN, codes.Ran.UNKNOWN)
    answer.ran = codes.Ran(ran)
    number = response.headers.get(headers.CODE, "")
    if number.isdigit():
        answer.code = codes.TABLE.get(int(number), codes.PEER_FAILED)
    running, _, queued = response.headers.get(headers.LOAD, "0/0").partition("/")
    answer.load = (int(running), int(queued))
    answer.spent = int(response.headers.get(headers.SPENT, "0")) / 1e6
    return answer
