"""Request handlers of the node's ports, except the port for callers."""

import asyncio
import collections.abc

import aiohttp.web_request
import aiohttp.web_response

from rattanridge.kernel import codes
from rattanridge.mesh import (
    calls,
    configs as configurations,
    evacuation,
    events,
    exit as exits,
    hop_auth,
    hop_headers,
    monitoring,
    settings,
    shutdown as shutdowns,
    trial as trials,
    upstream as upstreams,
    versions as versioning,
)
from rattanridge.mesh.discovery import directory as directories, store_health
from rattanridge.mesh.quota import service as quotas
from rattanridge.platform import headers, heartbeats
from rattanridge.web import bodies, headers as own_headers

JSON = "application/json"
MAX_PERMIT_BYTES = 4096

WaitUntilPublished = collections.abc.Callable[[], collections.abc.Awaitable[None]]


class HopHandler:
    """Handles calls that other nodes forward to the local exit, and page requests.

    :param quota: answers messages about the quotas of accounts.
    :param hop_auth: checks that the sender is a node.
    :param shutdown: once it has begun, each response closes its connection.
    """

    def __init__(
        self,
        config: settings.Settings,
        exit: exits.Exit,
        configs: configurations.Configs,
        directory: directories.Directory,
        versions: versioning.Versions,
        evacuations: evacuation.Evacuations,
        quota: quotas.Quota,
        hop_auth: hop_auth.HopAuth,
        shutdown: shutdowns.Shutdown,
        meters: events.Meters,
    ):
        self.directory = directory
        self.versions = versions
        self.evacuations = evacuations
        self.config = config
        self.exit = exit
        self.configs = configs
        self.quota = quota
        self.hop_auth = hop_auth
        self.shutdown = shutdown
        self.meters = meters

    async def serve(
        self, request: aiohttp.web_request.BaseRequest
    ) -> aiohttp.web_response.Response:
        """Return the answer to a forwarded call, or a page for another node."""
        self.hop_auth.check(request)
        if own_headers.CALL not in request.headers:
            return await self.answer_page_request(request)
        try:
            answer = await self.exit.run(await self.read_call(request))
        except codes.Failure as failure:
            answer = calls.refusal(failure)
        answer.version = self.configs.version
        response_headers = [
            *answer.headers,
            (own_headers.ANSWER, hop_headers.encode_answer(answer)),
        ]
        known = hop_headers.encode_known(self.configs.known_age())
        if known:
            response_headers.append((own_headers.KNOWN, known))
        if answer.refused_shares:
            text = hop_headers.encode_shares(answer.refused_shares)
            response_headers.append((own_headers.REFUSED, text))
        if answer.announcement is not None:
            text = hop_headers.encode_announcement(answer.announcement)
            response_headers.append((own_headers.ANNOUNCED, text))
        if answer.room is not None:
            text = hop_headers.encode_room(answer.room)
            response_headers.append((own_headers.COLD, text))
        if self.evacuations.newest:
            text = str(self.evacuations.newest)
            response_headers.append((own_headers.ZONES, text))
        response = aiohttp.web_response.Response(
            status=answer.status, headers=response_headers, body=answer.body
        )
        if self.shutdown.begun:
            response.force_close()
        return response

    async def answer_page_request(
        self, request: aiohttp.web_request.BaseRequest
    ) -> aiohttp.web_response.Response:
        """Return the page that another node requested; 404 if there is none."""
        self.record_asker(request)
        page = self.find_page(request.path)
        if page is not None:
            return page
        if request.path == monitoring.REPORT_PATH:
            return await self.answer_coordinator(request)
        answer = await self.quota.answer(request)
        if answer is not None:
            return answer
        path, _, version = request.path.rpartition("/")
        if path != trials.BRAKE_PATH or request.method != "POST":
            return aiohttp.web_response.Response(status=404)
        self.exit.trial.brake(version)
        return aiohttp.web_response.Response(body=b"{}", content_type=JSON)

    def record_asker(self, request: aiohttp.web_request.BaseRequest) -> None:
        """Record what a node has that says who it is when it asks."""
        address = request.query.get(evacuation.NODE, "")
        if not address:
            return
        version, newest = (
            hop_headers.decode_revision(request.query.get(name, ""))
            for name in (evacuation.VERSION, evacuation.NEWEST)
        )
        self.configs.record_peer_version(version, address)
        self.evacuations.record_peer(newest, address)

    def find_page(self, path: str) -> aiohttp.web_response.Response | None:
        """Return a page of what this node knows; None if there is none at the path."""
        if path == directories.PATH:
            body = self.directory.encode_records()
        elif path == versioning.PATH:
            body = self.versions.encode_rollouts()
        elif path == evacuation.PATH and self.evacuations.enabled:
            body = self.evacuations.encode_page()
        elif path == configurations.STATE_PATH:
            body = self.configs.state()
        elif path == configurations.PATH:
            return aiohttp.web_response.Response(body=self.configs.compressed())
        else:
            return None
        return aiohttp.web_response.Response(body=body, content_type=JSON)

    async def answer_coordinator(
        self, request: aiohttp.web_request.BaseRequest
    ) -> aiohttp.web_response.Response:
        """Apply the permit in a POST, if any, and return the exit's evidence."""
        if request.method == "POST":
            data = await bodies.read_body(request, MAX_PERMIT_BYTES)
            permit = trials.decode_permit(data)
            if permit is None:
                return aiohttp.web_response.Response(status=400)
            self.exit.trial.apply_permit(permit)
        usable_slots = self.exit.queue.usable_slots()
        braked = self.exit.trial.is_braked()
        order = self.versions.running_order(self.exit.monitor.upstream.service)
        report = self.exit.monitor.report(usable_slots, braked, order)
        return aiohttp.web_response.Response(body=report, content_type=JSON)

    async def read_call(self, request: aiohttp.web_request.BaseRequest) -> calls.Call:
        """Return the forwarded call in a request; raise if it is unreadable."""
        body = await bodies.read_long_body(request, self.config.limits.body_bytes)
        call = hop_headers.decode_call(
            request.headers.get(headers.ATTEMPT, ""),
            request.method,
            request.raw_path,
            request.headers,
            body,
        )
        call.headers = calls.forwardable(request.headers)
        self.configs.record_peer_version(call.version, call.entry)
        self.evacuations.record_peer(call.zones, call.entry)
        return call


class HeartbeatHandler:
    """Handles heartbeats and farewells of the local upstream.

    :param wait_until_published: waits until the node's record is in the store, but
        only for a limited time.
    """

    def __init__(
        self,
        upstream: upstreams.Upstream,
        wait_until_published: WaitUntilPublished,
        log: events.Events,
        meters: events.Meters,
    ):
        self.upstream = upstream
        self.wait_until_published = wait_until_published
        self.log = log
        self.meters = meters

    async def serve(
        self, request: aiohttp.web_request.BaseRequest
    ) -> aiohttp.web_response.Response:
        """Return the acknowledgement of a heartbeat or a farewell."""
        endpoint = request.path.removeprefix(heartbeats.PREFIX)
        if endpoint == request.path or not endpoint or "/" in endpoint:
            return aiohttp.web_response.Response(status=404)
        data = await bodies.read_body(request, heartbeats.MAX_BYTES)
        try:
            await self.apply(request.method, endpoint, data)
        except codes.Failure as failure:
            self.meters.add("heartbeat-unreadable")
            self.log.note("heartbeat-unreadable", endpoint=endpoint, why=str(failure))
            return aiohttp.web_response.Response(status=failure.code.status)
        return aiohttp.web_response.Response(body=b"{}", content_type=JSON)

    async def apply(self, method: str, endpoint: str, data: bytes) -> None:
        """Apply a heartbeat or a farewell.

        If the upstream is leaving, wait until the node's record is published, so that
        other nodes can receive it before the upstream gets its acknowledgement. Raise
        ``bad-request`` for other methods.
        """
        if method == "DELETE":
            self.upstream.record_farewell(endpoint, heartbeats.decode_leave(data))
            await self.wait_until_published()
        elif method == "PUT":
            beat = heartbeats.decode(endpoint, data)
            if self.upstream.record_heartbeat(beat) and beat.draining:
                await self.wait_until_published()
        else:
            raise codes.Failure(codes.BAD_REQUEST, method)


class ReadinessHandler:
    """Handles the platform's readiness checks.

    :param ready: returns whether callers may be sent to this node.
    """

    def __init__(self, ready: collections.abc.Callable[[], bool]):
        self.ready = ready

    async def serve(
        self, request: aiohttp.web_request.BaseRequest
    ) -> aiohttp.web_response.Response:
        """Return status 200 if the node is ready, else 503."""
        if request.path != heartbeats.READY_PATH:
            return aiohttp.web_response.Response(status=404)
        return aiohttp.web_response.Response(status=200 if self.ready() else 503)


class MetricsHandler:
    """Handles requests for metrics, in the text format of Prometheus.

    :param health: has the watches whose data ages are reported.
    """

    def __init__(
        self,
        meters: events.Meters,
        exit: exits.Exit,
        upstream: upstreams.Upstream,
        health: store_health.StoreHealth,
    ):
        self.meters = meters
        self.exit = exit
        self.upstream = upstream
        self.health = health

    async def serve(
        self, request: aiohttp.web_request.BaseRequest
    ) -> aiohttp.web_response.Response:
        """Return all metrics, with the gauges set to their present values."""
        now = asyncio.get_running_loop().time()
        self.meters.running.set(self.exit.queue.running)
        self.meters.upstream_cold.set(self.exit.gate.room() is not None)
        self.meters.waiting.set(len(self.exit.queue.waiting))
        for watch in self.health.watches:
            self.meters.data_age.labels(watch.kind).set(now - watch.heard_at)
        self.meters.data_age.labels("store").set(now - self.health.answered_at)
        self.meters.data_age.labels("heartbeat").set(now - self.upstream.heartbeat_at)
        return aiohttp.web_response.Response(
            body=self.meters.render(), content_type="text/plain"
        )
