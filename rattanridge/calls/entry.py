"""Entry: takes requests, finds their route, runs them and answers them."""

import asyncio
import collections.abc

import aiohttp.web

from rattanridge.calls import (
    attempts,
    background,
    bodies,
    endpoints,
    exit as exits,
    headers,
    memory,
    responses,
    types,
)
from rattanridge.control import replica
from rattanridge.kernel import codes, log, metrics, presets, settings
from rattanridge.policies import balancers

ANSWER_MARGIN = 0.01  # seconds of a route's timeout kept for answering the caller
MARGIN_SHARE = 0.1  # most of the timeout that the margin takes
DEADLINE_DIGITS = 9

SAFE_METHODS = frozenset(("GET", "HEAD", "OPTIONS", "TRACE"))
# Refusals that the same request need not have met at an earlier time.
PASSING_REFUSALS = (
    codes.STOPPING,
    codes.NOT_READY,
    codes.NO_ROUTE,
    codes.MEMORY_FULL,
    codes.BODY_CUT,
)

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
    :param held: counts the bytes of bodies that are held whole.
    """

    def __init__(
        self,
        config: settings.NodeSettings,
        state: replica.Replica,
        exit: exits.Exit,
        counters: metrics.Counters,
        held: memory.Held,
    ):
        self.config = config
        self.state = state
        self.counters = counters
        self.held = held
        self.log = log.Log("entry", config.name)
        self.endpoints = endpoints.Endpoints(config, state)
        self.attempts = attempts.Attempts(config, self.endpoints, exit, counters, held)
        self.background = background.Background(config.name)
        self.gates: list[Gate] = []
        self.guard: Guard = run_unguarded
        self.observers: list[Observer] = self.attempts.observers
        self.stopping = False
        self.active = 0

    async def start(self) -> None:
        await self.attempts.start()

    async def stop(self) -> None:
        await self.attempts.stop()

    def busy(self) -> int:
        """Return the requests in progress, with those whose caller went away."""
        return self.active + len(self.background.tasks)

    async def serve(
        self, request: aiohttp.web.BaseRequest
    ) -> aiohttp.web.StreamResponse:
        """Answer one caller's request."""
        return await self.handle(request, inner=False)

    async def serve_upstream(
        self, request: aiohttp.web.BaseRequest
    ) -> aiohttp.web.StreamResponse:
        """Answer a call that the upstream beside the node makes."""
        return await self.handle(request, inner=True)

    async def handle(
        self, request: aiohttp.web.BaseRequest, inner: bool
    ) -> aiohttp.web.StreamResponse:
        """Answer one request; only an inner one's marks are believed.

        While the node stops, inner calls go on: requests in progress need them.
        """
        self.active += 1
        try:
            call = await self.admit(request, inner)
            try:
                answer = await self.answer(call)
            finally:
                self.held.release(call.body)
        except codes.Failure as failure:
            answer = types.refuse(failure)
        except asyncio.CancelledError:
            self.counters.add("entry.caller-gone")
            raise
        finally:
            self.active -= 1
        return await self.respond(request, answer)

    async def admit(self, request: aiohttp.web.BaseRequest, inner: bool) -> types.Call:
        """Read a request, or refuse it before its claim was looked at.

        Such a refusal does not say "not run" of a request that may be the second
        sending of one that ran, unless it would have been refused then too.
        """
        try:
            if self.stopping and not inner:
                raise codes.Failure(codes.STOPPING, retry_after=1.0)
            return await self.read(request, inner)
        except codes.Failure as failure:
            repeatable = request.method not in SAFE_METHODS
            if repeatable and failure.code in PASSING_REFUSALS:
                failure.ran = codes.Ran.UNKNOWN
            raise

    async def answer(self, call: types.Call) -> types.Answer:
        """Run a call: through the guard if it must not repeat.

        If the caller goes away or the deadline passes, the guard is cancelled but
        not the work that it began, for which the guard may go on waiting.
        """
        for gate in self.gates:
            gate(call)
        if call.idempotent:
            return await self.attempts.run(call)
        try:
            async with asyncio.timeout_at(call.deadline + ANSWER_MARGIN / 2):
                return await self.guard(call, lambda: self.work(call))
        except TimeoutError:
            raise codes.Failure(codes.DEADLINE, ran=codes.Ran.UNKNOWN)

    async def work(self, call: types.Call) -> types.Answer:
        """Run a call to its end, whoever stops waiting for it."""
        return await self.background.run(self.attempts.run(call))

    async def read(self, request: aiohttp.web.BaseRequest, inner: bool) -> types.Call:
        """Match the route and read the request whole."""
        snapshot = self.state.snapshot
        if snapshot is None:
            raise codes.Failure(codes.NOT_READY, retry_after=1.0)
        path = read_path(request)
        host = headers.host_of(request.headers.get("Host", ""))
        route = snapshot.match(host, path, request.method)
        if route is None:
            raise codes.Failure(codes.NO_ROUTE, f"{request.method} {path}")
        began = asyncio.get_running_loop().time()
        limit = self.config.limits.body_bytes
        body = await bodies.read_body(request, limit, self.held)
        call = types.Call(
            method=request.method,
            path=request.raw_path,
            headers=headers.forwardable(request.headers),
            body=body,
            service=route.service,
            idempotent=route.idempotent,
            priority=route.priority,
            deadline=began + keep_margin(route.timeout),
            caller=request.remote or "",
            route=route,
            stream=route.idempotent and request.version >= (1, 1),
        )
        if inner:
            self.believe_marks(call, request, began)
        return call

    def believe_marks(
        self, call: types.Call, request: aiohttp.web.BaseRequest, began: float
    ) -> None:
        """Take over the deadline and retry mark of the call that caused this one."""
        call.retried = headers.RETRY in request.headers
        text = request.headers.get(headers.DEADLINE, "")
        if text.isdigit() and len(text) <= DEADLINE_DIGITS:
            left = keep_margin(int(text) / 1000)
            call.deadline = min(call.deadline, began + left)

    def service(self, name: str) -> presets.Service:
        """Return what the preset in force says of a service."""
        return self.endpoints.service(name)

    async def respond(
        self, request: aiohttp.web.BaseRequest, answer: types.Answer
    ) -> aiohttp.web.StreamResponse:
        """Answer, count and log."""
        name = answer.code.name if answer.code is not None else "upstream"
        self.counters.add(f"entry.answered.{name}")
        if answer.code is not None:
            self.log.info(
                "refused",
                code=answer.code.number,
                name=name,
                ran=answer.ran.value,
                method=request.method,
                path=request.raw_path,
            )
        try:
            response = await responses.respond(request, answer)
            if self.stopping:
                response.force_close()
            return response
        except codes.Failure as failure:
            self.counters.add(f"entry.cut.{failure.code.name}")
            self.log.info("answer-cut", code=failure.code.number, path=request.raw_path)
            raise


def keep_margin(seconds: float) -> float:
    """Return the time for the work, less what answering the caller takes."""
    return seconds - min(ANSWER_MARGIN, seconds * MARGIN_SHARE)


def read_path(request: aiohttp.web.BaseRequest) -> str:
    """Return the path that routes match, decoded but for slashes."""
    path = request.raw_path.partition("?")[0]
    if "%" in path:
        return request.rel_url.path_safe
    return path
