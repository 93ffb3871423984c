"""HTTP stand-in of an upstream, with faults, that reports itself to its node.

It counts every request that it begins to run, so that tests count work where
it is done instead of believing the mesh.
"""

import asyncio
import collections
import collections.abc
import dataclasses
import random
import time
import uuid

import aiohttp
import aiohttp.web
import msgspec

from rattanridge.kernel import log
from rattanridge.platform import headers, heartbeats
from rattanridge.standin import faults

RENEW_INTERVAL = 1.0  # seconds between heartbeats
LEAVE_STEP = 0.02  # seconds between looks at the requests still running
LEAVE_MOST = 30.0  # seconds that requests in progress get on a planned stop
KEY = "Idempotency-Key"
PROOF = "proof"
WRONG_ENDPOINT = 421
ACKNOWLEDGED = 200


class Faults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Faults in force; all off by default.

    :param error_rate: fraction of requests answered 500.
    :param slow: seconds added to each request.
    :param crash_on: the upstream dies when a request's body or path holds this.
    :param only_prefix: faults hit only paths with this prefix.
    :param after: seconds after the start from which faults hit.
    :param above: faults hit only above this number of requests at once.
    :param shed: answer 503 with the header that says the work did not run.
    :param lose: run the request and close the connection instead of an answer.
    :param cut: the answer's body ends halfway.
    :param unproved: the answer lacks its proof.
    :param stray: another request's answer comes before the right one.
    :param silent: take the request and never answer.
    :param deaf: neither a caller that went away nor a deadline ends the work.
    """

    error_rate: float = 0.0
    slow: float = 0.0
    crash_on: str = ""
    only_prefix: str = ""
    after: float = 0.0
    above: int = 0
    shed: bool = False
    lose: bool = False
    cut: bool = False
    unproved: bool = False
    stray: bool = False
    silent: bool = False
    deaf: bool = False


@dataclasses.dataclass(slots=True)
class Run:
    """One request that the upstream began to run."""

    attempt: str
    method: str
    path: str
    headers: collections.abc.Mapping[str, str]
    body: bytes
    finished: bool = False
    cancelled: bool = False

    @property
    def key(self) -> str:
        """Return its idempotency key; empty if it has none."""
        return self.headers.get(KEY, "")


@dataclasses.dataclass(slots=True)
class Shape:
    """What an upstream is.

    :param service: the service's name.
    :param version: the version's name.
    :param slots: requests that run at once.
    :param work: mean seconds of work for one request.
    :param cold_start: seconds after a start in which work takes twice as long.
    """

    service: str
    version: str = "v1"
    slots: int = 12
    work: float = 0.005
    cold_start: float = 0.0


class Upstream:
    """One upstream stand-in.

    :param shape: what it is.
    :param node: ``host:port`` for the heartbeats; empty: none are sent.
    :param seed: seed of work times and errors.
    :param journal: file to which each run is written as it begins, so that it is
        known after a kill; empty: none.
    """

    def __init__(self, shape: Shape, node: str = "", seed: int = 0, journal: str = ""):
        self.shape = shape
        self.node = node
        self.journal = journal
        self.told_address = ""
        self.random = random.Random(seed)
        self.faults = Faults()
        self.endpoint = f"i-{uuid.uuid4().hex[:10]}"
        self.incarnation = int(time.time() * 1000)
        self.sequence = 0
        self.runs: list[Run] = []
        self.counts: collections.Counter[str] = collections.Counter()
        self.running = 0
        self.peak = 0
        self.started = 0.0
        self.address = ""
        self.runner: aiohttp.web.ServerRunner | None = None
        self.session: aiohttp.ClientSession | None = None
        self.renewing: asyncio.Task | None = None
        self.draining = False
        self.crashed = asyncio.Event()
        self.log = log.Log("upstream")

    async def start(self, address: str = "127.0.0.1:0") -> None:
        """Listen at ``host:port`` and begin to send heartbeats."""
        await self.listen(address)
        if self.node:
            await self.report_to(self.node)

    async def report_to(self, node: str, renew: bool = True) -> None:
        """Begin to send heartbeats to a node.

        :param renew: whether they go on after the first one.
        """
        self.node = node
        await self.beat()
        if renew:
            self.renewing = asyncio.create_task(self.renew())

    async def listen(self, address: str) -> None:
        """Take requests."""
        self.runner = aiohttp.web.ServerRunner(
            aiohttp.web.Server(self.handle, access_log=None, handler_cancellation=True),
            shutdown_timeout=1.0,
        )
        await self.runner.setup()
        host, _, port = address.rpartition(":")
        await aiohttp.web.TCPSite(self.runner, host, int(port)).start()
        self.address = f"{host}:{self.runner.addresses[0][1]}"
        self.started = asyncio.get_running_loop().time()

    async def stop(self) -> None:
        """Stop at once, as a killed process does."""
        if self.renewing is not None:
            self.renewing.cancel()
        if self.session is not None:
            await self.session.close()
            self.session = None
        if self.runner is not None:
            for connection in list(self.runner.server.connections):
                if connection.transport is not None:
                    connection.transport.abort()
            await self.runner.cleanup()
            self.runner = None

    async def beat(self) -> int:
        """Send a heartbeat; return the status that answers it, 0 if none does."""
        return await self.tell("PUT", self.report())

    def report(self) -> bytes:
        """Return what the next heartbeat says."""
        self.sequence += 1
        cold = self.shape.cold_start - self.age()
        beat = heartbeats.Heartbeat(
            self.endpoint,
            self.incarnation,
            self.sequence,
            self.shape.service,
            self.told_address or self.address,
            self.shape.version,
            self.shape.slots,
            self.draining,
            max(cold, 0.0),
        )
        return heartbeats.encode(beat)

    async def tell(self, method: str, data: bytes = b"") -> int:
        """Send the node something about this endpoint."""
        if self.session is None:
            self.session = aiohttp.ClientSession()
        url = f"http://{self.node}{heartbeats.PREFIX}{self.endpoint}"
        try:
            async with self.session.request(method, url, data=data or None) as answer:
                return answer.status
        except (aiohttp.ClientError, OSError) as error:
            self.log.warn("heartbeat-failed", why=type(error).__name__)
            return 0

    async def renew(self) -> None:
        """Send heartbeats until stopped."""
        while True:
            await asyncio.sleep(RENEW_INTERVAL)
            await self.beat()

    async def drain(self) -> int:
        """Say that no new work is wanted; return the status that answers it."""
        self.draining = True
        status = await self.beat()
        if status == ACKNOWLEDGED:
            self.write("farewell")
        return status

    async def say_farewell(self) -> int:
        """Say that it is gone; return the status that answers it."""
        if self.renewing is not None:
            self.renewing.cancel()
        return await self.tell("DELETE")

    async def leave(self) -> None:
        """Planned stop: drain, finish what runs, say goodbye, stop."""
        if self.node:
            await self.drain()
        loop = asyncio.get_running_loop()
        end = loop.time() + LEAVE_MOST
        while self.running and loop.time() < end:
            await asyncio.sleep(LEAVE_STEP)
        if self.node:
            await self.say_farewell()
        await self.stop()

    def age(self) -> float:
        """Return the seconds since the start."""
        return asyncio.get_running_loop().time() - self.started

    async def handle(self, request: aiohttp.web.BaseRequest) -> aiohttp.web.Response:
        """Answer one request."""
        if request.path == "/-/faults":
            self.faults, answer = await faults.exchange(request, self.faults)
            return answer
        if request.path == "/-/counts":
            return aiohttp.web.json_response(dict(self.counts) | {"peak": self.peak})
        if request.headers.get(headers.ENDPOINT, self.endpoint) != self.endpoint:
            return aiohttp.web.Response(status=WRONG_ENDPOINT)
        body = b"".join([chunk async for chunk in request.content.iter_any()])
        run = Run(
            request.headers.get(headers.ATTEMPT, ""),
            request.method,
            request.raw_path,
            request.headers,
            body,
        )
        if self.hit(run) and self.faults.shed:
            self.counts["shed"] += 1
            return aiohttp.web.Response(status=503, headers={headers.NOT_RUN: "1"})
        return await self.work(request, run)

    def hit(self, run: Run) -> bool:
        """Whether faults hit this request."""
        return (
            run.path.startswith(self.faults.only_prefix)
            and self.age() >= self.faults.after
            and self.running >= self.faults.above
        )

    async def work(
        self, request: aiohttp.web.BaseRequest, run: Run
    ) -> aiohttp.web.Response:
        """Run one request; the count happens before anything else."""
        self.runs.append(run)
        self.write("run", attempt=run.attempt, key=run.key)
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

    def write(self, event: str, **fields: str) -> None:
        """Write a line to the journal, if there is one."""
        if not self.journal:
            return
        line = {"event": event, "endpoint": self.endpoint, "at": time.time()} | fields
        with open(self.journal, "ab") as journal:
            journal.write(msgspec.json.encode(line) + b"\n")

    def give_up(self, run: Run) -> aiohttp.web.Response:
        """Answer a request whose deadline ended its work."""
        run.cancelled = True
        self.counts["deadlines"] += 1
        return aiohttp.web.Response(
            status=504, headers={headers.ATTEMPT: run.attempt}, text="deadline"
        )

    async def spend(self, run: Run, hit: bool) -> None:
        """Spend the time of the work and of the faults."""
        if hit and self.faults.crash_on and self.must_crash(run):
            self.crash()
        seconds = self.shape.work * self.random.uniform(0.5, 1.5)
        seconds += self.shape.work if self.age() < self.shape.cold_start else 0.0
        seconds += self.faults.slow if hit else 0.0
        await asyncio.sleep(seconds)
        if hit and self.faults.silent:
            await asyncio.Event().wait()

    def must_crash(self, run: Run) -> bool:
        """Whether a request is one that this upstream dies of."""
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
        """Answer a request that ran."""
        marks = {headers.ATTEMPT: run.attempt, headers.SIGNATURE: PROOF}
        if hit and self.random.random() < self.faults.error_rate:
            self.counts["errors"] += 1
            return aiohttp.web.Response(status=500, headers=marks, text="fault")
        run.finished = True
        if hit:
            self.spoil(request, marks)
        text = f"{self.shape.service} {self.shape.version} {run.path} {run.key}"
        size = int(request.query.get("size", "0"))
        body = text.encode() + run.body + b"." * size
        return aiohttp.web.Response(headers=marks, body=body)

    def spoil(self, request: aiohttp.web.BaseRequest, marks: dict[str, str]) -> None:
        """Do to an answer what the faults say."""
        if self.faults.lose:
            request.transport.abort()
        if self.faults.unproved:
            marks.pop(headers.SIGNATURE)
        if self.faults.cut:
            request.transport.write(raw_answer(marks, b"half", 100))
            request.transport.close()
        if self.faults.stray:
            other = {headers.ATTEMPT: "another", headers.SIGNATURE: "other"}
            request.transport.write(raw_answer(other, b"wrong", 5))


def raw_answer(marks: dict[str, str], body: bytes, length: int) -> bytes:
    """Return an answer's bytes, with a length that may be false."""
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in marks.items())
    return f"{head}\r\n".encode() + body


def deadline_of(request: aiohttp.web.BaseRequest) -> float | None:
    """Return the seconds that the caller waits; ``None`` if it does not say."""
    return headers.parse_deadline(request.headers.get(headers.DEADLINE))


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
