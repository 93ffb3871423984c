"""Entry: accepts requests of callers, and of the local upstream, and answers them."""

import asyncio
import random

import aiohttp.http
import aiohttp.web_request
import aiohttp.web_response
import multidict

from rattanridge.kernel import codes, routes
from rattanridge.mesh import (
    calls,
    claims,
    configs,
    dispatcher,
    events,
    settings,
    shutdown as shutdowns,
    suspects as suspecting,
)
from rattanridge.mesh.accounts import authentication
from rattanridge.mesh.quota import service
from rattanridge.platform import headers
from rattanridge.policies import splitting
from rattanridge.web import bodies, headers as own_headers, memory, pipelining

RESPONSE_MARGIN = 0.02  # seconds of the deadline kept for sending the response
DEFAULT_DEADLINE = 30.0  # seconds, if the caller sends no deadline
MIN_RETRY_AFTER = 0.05  # seconds
# Random factors of Retry-After, so that refused callers do not all return at once.
RETRY_AFTER_JITTER = (0.8, 1.5)
# Reasons for which a node refuses a request that a newer version may let in.
VERSION_CODES = (codes.NOT_READY, codes.NO_ROUTE, codes.NO_ACCOUNT)


class Entry:
    """Serves callers and the local upstream.

    :param configs: the configuration in force.
    :param dispatcher: sends calls to endpoints.
    :param claims: runs calls that carry an idempotency key at most once.
    :param suspects: refuses requests that crash upstreams.
    :param quota: refuses requests beyond the quotas of their accounts.
    :param shutdown: tells what is still accepted, and when answers close connections.
    :param memory_budget: limits the bytes of bodies that the node holds in memory.
    """

    def __init__(
        self,
        config: settings.Settings,
        configs: configs.Configs,
        dispatcher: dispatcher.Dispatcher,
        claims: claims.Claims,
        suspects: suspecting.Suspects,
        quota: service.Quota,
        shutdown: shutdowns.Shutdown,
        memory_budget: memory.MemoryBudget,
        log: events.Events,
        meters: events.Meters,
    ):
        self.config = config
        self.configs = configs
        self.dispatcher = dispatcher
        self.claims = claims
        self.suspects = suspects
        self.quota = quota
        self.shutdown = shutdown
        self.memory_budget = memory_budget
        self.log = log
        self.meters = meters
        self.splitter = splitting.Splitter()
        self.random = random.Random()
        self.active = 0

    @property
    def closing(self) -> bool:
        """Whether answers close their connections."""
        return self.shutdown.closing

    async def serve(
        self, request: aiohttp.web_request.BaseRequest
    ) -> aiohttp.web_response.StreamResponse:
        """Return the response to one request."""
        started_at = asyncio.get_running_loop().time()
        self.active += 1
        call = None
        try:
            call, route = await self.read_call(request, started_at)
            answer = await self.run(call, route)
        except codes.Failure as failure:
            answer = calls.refusal(failure)
        except asyncio.CancelledError:
            self.meters.requests.labels("caller-gone").inc()
            raise
        finally:
            self.active -= 1
        self.record_answer(request, call, answer, started_at)
        return self.respond(answer)

    def may_start_early(self, message: aiohttp.http.RawRequestMessage) -> bool:
        """Return whether a pipelined request may run before its turn.

        Only if it may run more than once, and if its answer is small, as the answer is
        held until those before it have been sent.
        """
        if self.closing or pipelining.has_body(message):
            return False
        route = self.match(message.method, message.path, message.headers)
        return route is not None and route.idempotent and not route.large

    async def run(self, call: calls.Call, route: routes.Route) -> calls.Answer:
        """Run a call; at most once across all nodes if its route has a key source.

        Raise ``stopping`` if no call is accepted any more.
        """
        if self.shutdown.refusing:
            raise self.shutdown.failure()
        self.suspects.check(call)
        await self.admit(call)
        if route.key is None or route.idempotent:
            return await self.dispatcher.run(call, route)
        return await self.claims.guard(
            call, route, lambda: self.dispatcher.run(call, route)
        )

    async def admit(self, call: calls.Call) -> None:
        """Admit a caller's request by its account's quota; raise if it is refused.

        Requests that an upstream makes belong to their parent, which was admitted.
        """
        current = self.configs.current
        if not call.account or call.from_upstream or current is None:
            return
        account = current.accounts.get(call.account)
        if account is not None:
            await self.quota.admit(account, call.attempt)

    async def read_call(
        self, request: aiohttp.web_request.BaseRequest, started_at: float
    ) -> tuple[calls.Call, routes.Route]:
        """Read a whole request and return it as a call with its route.

        Raise ``not-ready`` if there is no configuration, ``no-route`` if no route
        matches, ``no-account`` if the route requires a key, and other coded failures
        if the body is refused. The version in force after the body was read decides.
        """
        current, route = await self.find_route(request)
        limit = min(current.limits.body_bytes, self.config.limits.body_bytes)
        body = await bodies.read_long_body(request, limit)
        if authentication.needs_recheck(current, self.configs.current or current):
            current, route = await self.find_route(request)
        return self.make_call(request, current, route, body, started_at), route

    def make_call(
        self,
        request: aiohttp.web_request.BaseRequest,
        current: routes.Configuration,
        route: routes.Route,
        body: bytes | bytearray,
        started_at: float,
    ) -> calls.Call:
        """Return a request as a call.

        Raise ``no-account`` or ``parent-unknown`` if nobody has sent it who may.
        """
        time_left = headers.parse_deadline(request.headers.get(headers.DEADLINE))
        time_left = DEFAULT_DEADLINE if time_left is None else time_left
        sender = self.identify(request, current, route)
        parent, running = sender.parent, sender.running_parent
        dropped = calls.ACCOUNT_HEADERS if current.accounts else calls.PER_HOP_HEADERS
        call = calls.Call(
            attempt=request.headers.get(headers.ATTEMPT, ""),
            method=request.method,
            path=request.raw_path,
            headers=calls.forwardable(request.headers, dropped),
            body=body,
            service=self.splitter.choose(route),
            route=route.name,
            idempotent=route.idempotent,
            rank=sender.rank,
            from_upstream=parent is not None,
            nested=running is not None,
            is_retry=parent is not None and parent.is_retry,
            timely_until=started_at + route.target_latency,
            deadline=started_at + min(time_left - RESPONSE_MARGIN, route.timeout),
            caller=self.config.service,
            version=current.version,
            entry=self.config.listen.hops,
            account=sender.account,
        )
        if running is not None:
            dependencies = self.dispatcher.exit.dependencies
            dependencies.record_call(running.route, call.service)
        return call

    def identify(
        self,
        request: aiohttp.web_request.BaseRequest,
        current: routes.Configuration,
        route: routes.Route,
    ) -> authentication.Sender:
        """Return the sender of a request; raise if it may not send it."""
        find_parent = self.dispatcher.exit.parents.find
        return authentication.identify(current, route, request.headers, find_parent)

    async def find_route(
        self, request: aiohttp.web_request.BaseRequest
    ) -> tuple[routes.Configuration, routes.Route]:
        """Return the configuration in force and the route of a request.

        That there is no route, or no account with its key, is said only by the newest
        version that is known of; it may have been added in it. Raise ``no-route``,
        ``no-account``, ``not-ready``, or ``configuration-behind`` if that version
        cannot be had at once.
        """
        try:
            return self.accept(request)
        except codes.Failure as failure:
            if failure.code not in VERSION_CODES or not self.configs.knows_newer():
                raise
        await self.configs.wait_caught_up()
        try:
            return self.accept(request)
        except codes.Failure as failure:
            if failure.code in VERSION_CODES and self.configs.knows_newer():
                raise codes.Failure(codes.CONFIGURATION_BEHIND)
            raise

    def accept(
        self, request: aiohttp.web_request.BaseRequest
    ) -> tuple[routes.Configuration, routes.Route]:
        """Return the configuration in force and the route of a request.

        Raise ``no-route``, ``not-ready``, ``no-account`` or ``parent-unknown``.
        """
        current = self.configs.current
        if current is None:
            raise codes.Failure(codes.NOT_READY, retry_after=1.0)
        found = self.match(request.method, request.raw_path, request.headers)
        if found is None:
            host = own_headers.host_of(request.headers.get("Host", ""))
            raise codes.Failure(
                codes.NO_ROUTE,
                f"no route matches {request.method} {request.raw_path} at {host!r}",
            )
        if current.accounts:
            self.identify(request, current, found)
        return current, found

    def match(
        self, method: str, target: str, fields: multidict.CIMultiDictProxy
    ) -> routes.Route | None:
        """Return the route in force of a request; None if there is none.

        :param target: path and query.
        :param fields: the request's headers.
        """
        current = self.configs.current
        host = own_headers.host_of(fields.get("Host", ""))
        if current is None:
            return None
        return current.match(host, target.partition("?")[0], method)

    def respond(self, answer: calls.Answer) -> aiohttp.web_response.Response:
        """Return the response to send to the caller.

        A refusal with a server error becomes a 503 with Retry-After if the work
        provably did not run.
        """
        response_headers = multidict.CIMultiDict(answer.headers)
        status = answer.status
        response_headers[own_headers.RAN] = answer.ran.value
        if answer.code is not None:
            response_headers[own_headers.CODE] = str(answer.code.number)
            if answer.ran is codes.Execution.NOT_RUN and status >= 500:
                status = 503
                wait = max(answer.retry_after, MIN_RETRY_AFTER)
                wait *= self.random.uniform(*RETRY_AFTER_JITTER)
                response_headers["Retry-After"] = f"{wait:.2f}"
            if answer.code is codes.QUOTA_EXCEEDED:
                wait = max(answer.retry_after, MIN_RETRY_AFTER)
                response_headers["Retry-After"] = f"{wait:.2f}"
            if answer.code is codes.NO_ACCOUNT:
                response_headers["WWW-Authenticate"] = headers.KEY_SCHEME
        return aiohttp.web_response.Response(
            status=status, headers=response_headers, body=answer.body
        )

    def record_answer(
        self,
        request: aiohttp.web_request.BaseRequest,
        call: calls.Call | None,
        answer: calls.Answer,
        started_at: float,
    ) -> None:
        """Count an answer and log it with the values that led to it."""
        took = asyncio.get_running_loop().time() - started_at
        self.meters.request_seconds.observe(took)
        outcome = "answered" if answer.code is None else answer.code.name
        self.meters.requests.labels(outcome).inc()
        account = call.account if call is not None else ""
        if call is not None and account and not call.nested:
            self.meters.record_account_request(account, answer.code is None)
        if answer.code is None and answer.status < 500:
            late = call is not None and started_at + took > call.timely_until
            outcome = "late" if late else "served"
        self.log.note(
            f"request-{outcome}",
            id=request.headers.get(headers.ATTEMPT, "-"),
            path=request.raw_path,
            remote=request.remote,
            account=account or "-",
            route=call.route if call else "-",
            service=call.service if call else "-",
            status=answer.status,
            ran=answer.ran,
            why=answer.detail or "-",
            took=took,
            by=answer.node or "-",
            queued=answer.queued,
            spent=answer.upstream_time,
            version=self.configs.version,
        )
