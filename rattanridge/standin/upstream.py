"""HTTP stand-in of an upstream, with faults, that announces itself to its node.

It counts every request that it begins to run, so that tests count work where
it is done instead of believing the mesh.
"""

import asyncio
import collections
import collections.abc
import dataclasses
import random

import aiohttp
import aiohttp.web
import msgspec

from rattanridge.calls import headers
from rattanridge.kernel import log

RENEW_INTERVAL = 1.0  # seconds between announcements
LEAVE_STEP = 0.02  # seconds between looks at the requests still running
LEAVE_MOST = 30.0  # seconds that requests in progress get on a planned stop
SICK_ERROR_RATE = 0.5  # from which an honest health endpoint says so


class Faults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Faults in force; all off by default.

    :param error_rate: fraction of requests answered 500.
    :param slow: seconds added to each request.
    :param crash_on: the upstream dies when a request's body or path holds this.
    :param only_prefix: faults hit only paths with this prefix.
    :param after: seconds after the start from which faults hit.
    :param above: faults hit only above this number of requests at once.
    :param shed: answer 503 with the header that says the work did not run.
    :param cut: the answer's body ends halfway.
    :param silent: take the request and never answer.
    :param lie: health and load endpoints claim an idle, healthy upstream.
    :param deaf: neither a caller that went away nor a deadline ends the work.
    """

    error_rate: float = 0.0
    slow: float = 0.0
    crash_on: str = ""
    only_prefix: str = ""
    after: float = 0.0
    above: int = 0
    shed: bool = False
    cut: bool = False
    silent: bool = False
    lie: bool = False
    deaf: bool = False


@dataclasses.dataclass(slots=True)
class Run:
    """One request that the upstream began to run."""

    method: str
    path: str
    key: str
    body: bytes
    finished: bool = False
    cancelled: bool = False


@dataclasses.dataclass(slots=True)
class Shape:
    """What an upstream is.

    :param service: the service's name.
    :param version: the version's name.
    :param slots: requests that run at once.
    :param connections: connections that it takes.
    :param work: mean seconds of work for one request.
    :param cold_start: seconds of the first requests' extra work after a start.
    """

    service: str
    version: str = "v1"
    slots: int = 12
    connections: int = 110
    work: float = 0.005
    cold_start: float = 0.0


class Upstream:
    """One upstream stand-in.

    :param shape: what it is.
    :param announce: base URL of the node's local port; empty: no announcement.
    :param seed: seed of work times and errors.
    """

    def __init__(self, shape: Shape, announce: str = "", seed: int = 0):
        self.shape = shape
        self.announce_url = announce
        self.random = random.Random(seed)
        self.faults = Faults()
        self.runs: list[Run] = []
        self.counts: collections.Counter[str] = collections.Counter()
        self.running = 0
        self.peak = 0
        self.started = 0.0
        self.port = 0
        self.runner: aiohttp.web.ServerRunner | None = None
        self.session: aiohttp.ClientSession | None = None
        self.renewing: asyncio.Task | None = None
        self.draining = False
        self.crashed = asyncio.Event()
        self.log = log.Log("upstream")

    async def start(self, address: str = "127.0.0.1", port: int = 0) -> None:
        """Listen and begin to announce."""
        self.runner = aiohttp.web.ServerRunner(
            aiohttp.web.Server(self.handle, access_log=None, handler_cancellation=True),
            shutdown_timeout=1.0,
        )
        await self.runner.setup()
        await aiohttp.web.TCPSite(self.runner, address, port).start()
        self.port = self.runner.addresses[0][1]
        self.started = asyncio.get_running_loop().time()
        if self.announce_url:
            self.session = aiohttp.ClientSession()
            await self.tell("up")
            self.renewing = asyncio.create_task(self.renew())

    async def stop(self) -> None:
        """Stop at once, as a killed process does."""
        if self.renewing is not None:
            self.renewing.cancel()
        if self.session is not None:
            await self.session.close()
        if self.runner is not None:
            for connection in list(self.runner.server.connections):
                if connection.transport is not None:
                    connection.transport.abort()
            await self.runner.cleanup()
            self.runner = None

    async def announce(self, state: str = "up") -> None:
        """Tell the node beside it what runs here."""
        body = {
            "service": self.shape.service,
            "version": self.shape.version,
            "address": f"127.0.0.1:{self.port}",
            "slots": self.shape.slots,
            "connections": self.shape.connections,
            "state": state,
        }
        async with self.session.put(f"{self.announce_url}/announce", json=body) as got:
            if got.status != 200:
                self.log.warn("announcement-refused", status=got.status)

    async def renew(self) -> None:
        """Renew the announcement's lease until stopped."""
        while True:
            await asyncio.sleep(RENEW_INTERVAL)
            await self.tell("up")

    async def tell(self, state: str) -> None:
        """Announce a state if the node can be reached."""
        try:
            await self.announce(state)
        except (aiohttp.ClientError, OSError) as error:
            self.log.warn("announcement-failed", why=type(error).__name__)

    async def say_last(self, state: str) -> None:
        """Announce a state that no renewal follows."""
        if self.renewing is not None:
            self.renewing.cancel()
        if self.session is not None:
            await self.tell(state)

    async def drain(self) -> None:
        """Announce that no new work is wanted."""
        self.draining = True
        await self.say_last("draining")

    async def leave(self) -> None:
        """Planned stop: drain, finish what runs, say goodbye, stop."""
        self.draining = True
        await self.say_last("draining")
        loop = asyncio.get_running_loop()
        end = loop.time() + LEAVE_MOST
        while self.running and loop.time() < end:
            await asyncio.sleep(LEAVE_STEP)
        await self.say_last("gone")
        await self.stop()

    async def handle(self, request: aiohttp.web.BaseRequest) -> aiohttp.web.Response:
        """Answer one request."""
        if request.path == "/-/health":
            return self.health()
        if request.path == "/-/load":
            load = 0 if self.faults.lie else self.running
            return aiohttp.web.json_response({"running": load})
        if request.path == "/-/faults":
            return await self.set_faults(request)
        if request.path == "/-/counts":
            return aiohttp.web.json_response(dict(self.counts) | {"peak": self.peak})
        body = b"".join([chunk async for chunk in request.content.iter_any()])
        key = request.headers.get("Idempotency-Key", "")
        run = Run(request.method, request.path_qs, key, body)
        if self.hit(run) and self.faults.shed:
            self.counts["shed"] += 1
            return aiohttp.web.Response(status=503, headers={"Ran": "not-run"})
        return await self.work(request, run)

    def health(self) -> aiohttp.web.Response:
        """Tell whether the upstream is well; with the fault ``lie`` always so."""
        sick = self.draining or self.faults.error_rate >= SICK_ERROR_RATE
        if (sick or self.faults.silent) and not self.faults.lie:
            return aiohttp.web.Response(text="sick", status=503)
        return aiohttp.web.Response(text="ok")

    async def set_faults(
        self, request: aiohttp.web.BaseRequest
    ) -> aiohttp.web.Response:
        if request.method == "PUT":
            try:
                self.faults = msgspec.json.decode(await request.read(), type=Faults)
            except msgspec.MsgspecError as error:
                return aiohttp.web.Response(text=str(error), status=400)
        return aiohttp.web.Response(body=msgspec.json.encode(self.faults))

    def hit(self, run: Run) -> bool:
        """Whether faults hit this request."""
        age = asyncio.get_running_loop().time() - self.started
        return (
            run.path.startswith(self.faults.only_prefix)
            and age >= self.faults.after
            and self.running >= self.faults.above
        )

    async def work(
        self, request: aiohttp.web.BaseRequest, run: Run
    ) -> aiohttp.web.Response:
        """Run one request; the count happens before anything else."""
        self.runs.append(run)
        self.counts["runs"] += 1
        hit = self.hit(run)
        self.running += 1
        self.peak = max(self.peak, self.running)
        try:
            spending = self.spend(run, hit)
            if self.faults.deaf:
                await asyncio.shield(spending)
            elif not await finish_by(spending, deadline_of(request)):
                return self.give_up(run)
            return await self.answer(request, run, hit)
        except asyncio.CancelledError:
            run.cancelled = True
            self.counts["cancelled"] += 1
            raise
        finally:
            self.running -= 1

    def give_up(self, run: Run) -> aiohttp.web.Response:
        """Answer a request whose deadline ended its work."""
        run.cancelled = True
        self.counts["deadlines"] += 1
        return aiohttp.web.Response(status=504, text="deadline")

    async def spend(self, run: Run, hit: bool) -> None:
        """Spend the time of the work and of the faults."""
        if hit and self.faults.crash_on and self.must_crash(run):
            self.crash()
        age = asyncio.get_running_loop().time() - self.started
        seconds = self.shape.work * self.random.uniform(0.5, 1.5)
        seconds += self.shape.work if age < self.shape.cold_start else 0.0
        seconds += self.faults.slow if hit else 0.0
        await asyncio.sleep(seconds)
        if hit and self.faults.silent:
            await asyncio.Event().wait()

    def must_crash(self, run: Run) -> bool:
        wanted = self.faults.crash_on
        return wanted in run.path or wanted.encode() in run.body

    def crash(self) -> None:
        """Die: every connection breaks and no request is taken any more."""
        self.counts["crashes"] += 1
        self.crashed.set()
        for connection in list(self.runner.server.connections):
            if connection.transport is not None:
                connection.transport.abort()
        self.stopping = asyncio.create_task(self.stop())
        raise asyncio.CancelledError

    async def answer(
        self, request: aiohttp.web.BaseRequest, run: Run, hit: bool
    ) -> aiohttp.web.Response:
        if hit and self.random.random() < self.faults.error_rate:
            self.counts["errors"] += 1
            return aiohttp.web.Response(status=500, text="fault")
        if hit and self.faults.cut:
            await self.cut(request)
        run.finished = True
        text = f"{self.shape.service} {self.shape.version} {run.path} {run.key}"
        size = int(request.query.get("size", "0"))
        headers = {"Version": self.shape.version}
        return aiohttp.web.Response(body=text.encode() + b"." * size, headers=headers)

    async def cut(self, request: aiohttp.web.BaseRequest) -> None:
        """Send half an answer and break the connection."""
        response = aiohttp.web.StreamResponse(headers={"Content-Length": "1000"})
        await response.prepare(request)
        await response.write(b"." * 500)
        request.transport.abort()
        raise asyncio.CancelledError


def deadline_of(request: aiohttp.web.BaseRequest) -> float | None:
    """Return the seconds that the caller waits; ``None`` if it does not say."""
    text = request.headers.get(headers.DEADLINE, "")
    return int(text) / 1000 if text.isdecimal() else None


async def finish_by(
    work: collections.abc.Awaitable[None], seconds: float | None
) -> bool:
    """Return whether some work ended within the seconds; it is cancelled if not."""
    try:
        async with asyncio.timeout(seconds):
            await work
    except TimeoutError:
        return False
    return True
