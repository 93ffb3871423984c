"""The ports of a node other than the callers' one."""

import asyncio
import collections.abc

import aiohttp.web

from rattanridge.kernel import codes
from rattanridge.mesh import (
    calls,
    configs as configurations,
    directory as directories,
    events,
    exit as exits,
    hop_auth as accesses,
    marks,
    monitoring,
    settings,
    upstream as upstreams,
    watching,
)
from rattanridge.platform import headers, heartbeats
from rattanridge.web import bodies, headers as own_headers

JSON = "application/json"

Settled = collections.abc.Callable[[], collections.abc.Awaitable[None]]


class HopHandler:
    """Calls that other nodes forward to the exit here.

    :param access: checks who sends.
    """

    def __init__(
        self,
        config: settings.Settings,
        exit: exits.Exit,
        configs: configurations.Configs,
        directory: directories.Directory,
        access: accesses.HopAuth,
        meters: events.Meters,
    ):
        self.directory = directory
        self.config = config
        self.exit = exit
        self.configs = configs
        self.access = access
        self.meters = meters
        # Whether the node stops; each answer then ends its connection.
        self.closing = False

    async def serve(self, request: aiohttp.web.BaseRequest) -> aiohttp.web.Response:
        """Run one forwarded call, or answer a question of another node."""
        self.access.check(request)
        if own_headers.CALL not in request.headers:
            return self.answer_node(request)
        try:
            answer = await self.exit.run(await self.read(request))
        except codes.Failure as failure:
            answer = calls.refusal(failure)
        answer.version = self.configs.version
        sent = [*answer.headers, (own_headers.ANSWER, marks.write_answer(answer))]
        response = aiohttp.web.Response(
            status=answer.status, headers=sent, body=answer.body
        )
        if self.closing:
            response.force_close()
        return response

    def answer_node(self, request: aiohttp.web.BaseRequest) -> aiohttp.web.Response:
        """Answer what another node asks beside calls."""
        judge = self.exit.monitor
        if request.path == monitoring.REPORT_PATH:
            return aiohttp.web.Response(body=judge.report(), content_type=JSON)
        if request.path == directories.PATH:
            return aiohttp.web.Response(
                body=self.directory.encode_records(), content_type=JSON
            )
        if request.path == configurations.PATH:
            return aiohttp.web.Response(body=self.configs.packed())
        if request.path == configurations.STATE_PATH:
            return aiohttp.web.Response(body=self.configs.state(), content_type=JSON)
        page, _, version = request.path.rpartition("/")
        if page != monitoring.BRAKE_PATH or request.method != "POST":
            return aiohttp.web.Response(status=404)
        judge.brake(version)
        return aiohttp.web.Response(body=b"{}", content_type=JSON)

    async def read(self, request: aiohttp.web.BaseRequest) -> calls.Call:
        """Read a forwarded call."""
        body = await bodies.read_body(request, self.config.limits.body_bytes)
        call = marks.read_call(
            request.headers.get(headers.ATTEMPT, ""),
            request.method,
            request.raw_path,
            request.headers,
            body,
        )
        call.headers = calls.forwardable(request.headers)
        self.configs.record_peer_version(call.version, call.entry)
        return call


class HeartbeatHandler:
    """What the upstream beside the node says of itself.

    :param settled: waits until the node's record is in the store.
    """

    def __init__(
        self,
        upstream: upstreams.Upstream,
        settled: Settled,
        log: events.Events,
        meters: events.Meters,
    ):
        self.upstream = upstream
        self.settled = settled
        self.log = log
        self.meters = meters

    async def serve(self, request: aiohttp.web.BaseRequest) -> aiohttp.web.Response:
        """Acknowledge a heartbeat or a farewell."""
        endpoint = request.path.removeprefix(heartbeats.PREFIX)
        if endpoint == request.path or not endpoint or "/" in endpoint:
            return aiohttp.web.Response(status=404)
        data = await bodies.read_body(request, heartbeats.MAX_BYTES)
        try:
            await self.take(request.method, endpoint, data)
        except codes.Failure as failure:
            self.meters.add("heartbeat-unreadable")
            self.log.note("heartbeat-unreadable", endpoint=endpoint, why=str(failure))
            return aiohttp.web.Response(status=failure.code.status)
        return aiohttp.web.Response(body=b"{}", content_type=JSON)

    async def take(self, method: str, endpoint: str, data: bytes) -> None:
        """Take over what was said; leaving is told to the other nodes first."""
        if method == "DELETE":
            self.upstream.record_farewell(endpoint, heartbeats.decode_leave(data))
            await self.settled()
        elif method == "PUT":
            beat = heartbeats.decode(endpoint, data)
            if self.upstream.record_heartbeat(beat) and beat.draining:
                await self.settled()
        else:
            raise codes.Failure(codes.BAD_REQUEST, method)


class ReadinessHandler:
    """The platform's question whether callers may be sent here.

    :param ready: answers it.
    """

    def __init__(self, ready: collections.abc.Callable[[], bool]):
        self.ready = ready

    async def serve(self, request: aiohttp.web.BaseRequest) -> aiohttp.web.Response:
        """Answer 200 if they may."""
        if request.path != heartbeats.READY_PATH:
            return aiohttp.web.Response(status=404)
        return aiohttp.web.Response(status=200 if self.ready() else 503)


class MetricsHandler:
    """Counters, gauges and histograms in the text format of Prometheus.

    :param watches: whose ages are told.
    """

    def __init__(
        self,
        meters: events.Meters,
        exit: exits.Exit,
        upstream: upstreams.Upstream,
        watches: list[watching.Watch],
    ):
        self.meters = meters
        self.exit = exit
        self.upstream = upstream
        self.watches = watches

    async def serve(self, request: aiohttp.web.BaseRequest) -> aiohttp.web.Response:
        """Return all figures."""
        now = asyncio.get_running_loop().time()
        self.meters.running.set(self.exit.queue.running)
        self.meters.waiting.set(len(self.exit.queue.waiting))
        for watch in self.watches:
            self.meters.data_age.labels(watch.kind).set(now - watch.answered_at)
        self.meters.data_age.labels("heartbeat").set(now - self.upstream.heartbeat_at)
        return aiohttp.web.Response(
            body=self.meters.render(), content_type="text/plain"
        )
