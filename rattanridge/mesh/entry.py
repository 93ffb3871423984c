"""Entry: takes requests of callers beside the node, and answers them."""

import asyncio
import random

import aiohttp.web
import multidict

from rattanridge.kernel import codes, routes
from rattanridge.mesh import (
    calls,
    claims,
    configs,
    dispatcher,
    events,
    settings,
    suspects as suspecting,
)
from rattanridge.platform import headers
from rattanridge.policies import splitting
from rattanridge.web import bodies, headers as own_headers, memory

RETURN_MARGIN = 0.02  # seconds of a caller's time kept for the way back
DEFAULT_DEADLINE = 30.0  # seconds for a caller that names none
LEAST_RETRY_AFTER = 0.05  # seconds
RETRY_SPREAD = (0.8, 1.5)  # of the time told, so that callers don't return together


class Entry:
    """Serves callers and the upstream beside the node.

    :param configs: the configuration in force.
    :param attempts: sends calls to endpoints.
    :param claims: guards calls that carry an idempotency key.
    :param suspects: holds back requests of which upstreams die.
    :param held: counts the bytes of bodies that the node holds.
    """

    def __init__(
        self,
        config: settings.Settings,
        configs: configs.Configs,
        attempts: dispatcher.Dispatcher,
        claims: claims.Claims,
        suspects: suspecting.Suspects,
        held: memory.MemoryBudget,
        log: events.Events,
        meters: events.Meters,
    ):
        self.config = config
        self.configs = configs
        self.attempts = attempts
        self.claims = claims
        self.suspects = suspects
        self.memory_budget = held
        self.log = log
        self.meters = meters
        self.splitter = splitting.Splitter()
        self.random = random.Random()
        self.closing = False
        self.active = 0

    async def serve(
        self, request: aiohttp.web.BaseRequest
    ) -> aiohttp.web.StreamResponse:
        """Answer one request."""
        began = asyncio.get_running_loop().time()
        self.active += 1
        call = None
        try:
            call, route = await self.read(request, began)
            answer = await self.run(call, route)
        except codes.Failure as failure:
            answer = calls.refusal(failure)
        except asyncio.CancelledError:
            self.meters.requests.labels("caller-gone").inc()
            raise
        finally:
            self.active -= 1
            if call is not None:
                self.memory_budget.free_body(call.body)
        self.account(request, call, answer, began)
        return self.respond(answer)

    async def run(self, call: calls.Call, route: routes.Route) -> calls.Answer:
        """Run a call, at most once in the fleet if its route has a key source."""
        self.suspects.check(call)
        if route.key is None or route.idempotent:
            return await self.attempts.run(call, route)
        return await self.claims.guard(
            call, route, lambda: self.attempts.run(call, route)
        )

    async def read(
        self, request: aiohttp.web.BaseRequest, began: float
    ) -> tuple[calls.Call, routes.Route]:
        """Read a request whole and find its route."""
        current = self.configs.current
        if current is None:
            raise codes.Failure(codes.NOT_READY, retry_after=1.0)
        host = own_headers.host_of(request.headers.get("Host", ""))
        path = request.raw_path
        route = current.match(host, path.partition("?")[0], request.method)
        if route is None:
            raise codes.Failure(codes.NO_ROUTE, f"{host} {path}")
        left = headers.parse_deadline(request.headers.get(headers.DEADLINE))
        left = DEFAULT_DEADLINE if left is None else left
        limit = min(current.limits.body_bytes, self.config.limits.body_bytes)
        body = await bodies.read_body(request, limit, self.memory_budget)
        attempt = request.headers.get(headers.ATTEMPT, "")
        parent = self.attempts.exit.parents.of(attempt)
        call = calls.Call(
            attempt=attempt,
            method=request.method,
            path=path,
            headers=calls.forwardable(request.headers),
            body=body,
            service=self.splitter.choose(route),
            route=route.name,
            idempotent=route.idempotent,
            rank=route.priority,
            inner=parent is not None,
            nested=parent is not None and parent.waits,
            repeated=parent is not None and parent.repeated,
            timely_until=began + route.target_latency,
            deadline=began + min(left - RETURN_MARGIN, route.timeout),
            caller=self.config.service,
            version=current.version,
            entry=self.config.listen.hops,
        )
        return call, route

    def respond(self, answer: calls.Answer) -> aiohttp.web.Response:
        """Return the response that a caller gets."""
        found = multidict.CIMultiDict(answer.headers)
        status = answer.status
        found[own_headers.RAN] = answer.ran.value
        if answer.code is not None:
            found[own_headers.CODE] = str(answer.code.number)
            if answer.ran is codes.Execution.NOT_RUN and status >= 500:
                status = 503
                wait = max(answer.retry_after, LEAST_RETRY_AFTER)
                wait *= self.random.uniform(*RETRY_SPREAD)
                found["Retry-After"] = f"{wait:.2f}"
        response = aiohttp.web.Response(status=status, headers=found, body=answer.body)
        if self.closing:
            response.force_close()
        return response

    def account(
        self,
        request: aiohttp.web.BaseRequest,
        call: calls.Call | None,
        answer: calls.Answer,
        began: float,
    ) -> None:
        """Count an answer, and log it with what decided it."""
        took = asyncio.get_running_loop().time() - began
        self.meters.request_seconds.observe(took)
        outcome = "answered" if answer.code is None else answer.code.name
        self.meters.requests.labels(outcome).inc()
        if answer.code is None and answer.status < 500:
            late = call is not None and began + took > call.timely_until
            outcome = "late" if late else "served"
        self.log.note(
            f"request-{outcome}",
            id=request.headers.get(headers.ATTEMPT, "-"),
            path=request.raw_path,
            remote=request.remote,
            route=call.route if call else "-",
            service=call.service if call else "-",
            status=answer.status,
            ran=answer.ran,
            why=answer.detail or "-",
            took=took,
            by=answer.node or "-",
            queued=answer.queued,
            spent=answer.spent,
            version=self.configs.version,
        )
