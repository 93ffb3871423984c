"""HTTP stand-in of an upstream, with faults, that sends heartbeats to its node.

It records every request that it begins to run, so that tests count executions at
the upstream and do not rely on what the mesh reports.
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
from rattanridge.standin import faults, upstream_faults

RENEW_INTERVAL = 1.0  # seconds between heartbeats
DRAIN_POLL_INTERVAL = 0.02  # seconds
MAX_DRAIN = 30.0  # seconds for requests in progress to finish on a planned stop
IDEMPOTENCY_KEY = "Idempotency-Key"
SIGNATURE_VALUE = "proof"
WRONG_ENDPOINT = 421
HEALTH_PATH = "/healthz"
ACKNOWLEDGED = 200  # status by which the node accepts a heartbeat


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
        """The idempotency key of the request; empty if it has none."""
        return self.headers.get(IDEMPOTENCY_KEY, "")


@dataclasses.dataclass(slots=True)
class Shape:
    """Properties of an upstream stand-in.

    :param service: name of its service.
    :param version: name of its version.
    :param slots: requests that it can run at the same time.
    :param work: mean processing time of a request in seconds.
    :param cold_start: seconds after the start in which each request takes ``work``
        seconds more.
    """

    service: str
    version: str = "v1"
    slots: int = 12
    work: float = 0.005
    cold_start: float = 0.0


class Upstream:
    """One upstream stand-in.

    :param node: ``host:port`` to which heartbeats are sent; empty: none are sent.
    :param seed: seed of the processing times and errors.
    :param journal: file to which each run is written as it begins, so that the runs
        of a killed process can be read, the acknowledged drain and changes of its
        limit; empty: no file is written.
    """

    def __init__(self, shape: Shape, node: str = "", seed: int = 0, journal: str = ""):
        self.shape = shape
        self.node = node
        self.journal = journal
        self.reported_address = ""
        self.random = random.Random(seed)
        self.faults = upstream_faults.Faults()
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
        self.heartbeat_task: asyncio.Task | None = None
        self.draining = False
        self.crashed = asyncio.Event()
        self.log = log.Log("upstream")

    async def start(self, address: str = "127.0.0.1:0") -> None:
        """Listen at ``host:port`` and start to send heartbeats to the node, if any."""
        await self.listen(address)
        if self.node:
            await self.start_heartbeats(self.node)

    async def start_heartbeats(self, node: str, renew: bool = True) -> None:
        """Start to send heartbeats to a node.

        :param renew: whether heartbeats follow the first one.
        """
        self.node = node
        await self.send_heartbeat()
        if renew:
            self.heartbeat_task = asyncio.create_task(self.send_heartbeats())

    async def listen(self, address: str) -> None:
        """Accept requests at ``host:port``; port 0 selects a free port."""
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
        """Stop abruptly, as if the process had been killed."""
        if self.heartbeat_task is not None:
            self.heartbeat_task.cancel()
        if self.session is not None:
            await self.session.close()
            self.session = None
        if self.runner is not None:
            self.abort_connections()
            await self.runner.cleanup()
            self.runner = None

    def abort_connections(self) -> None:
        """Abort all connections at which requests are accepted."""
        server = self.runner.server if self.runner is not None else None
        for connection in list(server.connections) if server is not None else ():
            if connection.transport is not None:
                connection.transport.abort()

    async def send_heartbeat(self) -> int:
        """Send a heartbeat; return the status of the answer, 0 if there was none."""
        return await self.send_to_node("PUT", self.next_heartbeat())

    def next_heartbeat(self) -> bytes:
        """Return the body of the next heartbeat and advance the sequence number."""
        self.sequence += 1
        cold = self.shape.cold_start - self.uptime()
        beat = heartbeats.Heartbeat(
            self.endpoint,
            self.incarnation,
            self.sequence,
            self.shape.service,
            self.reported_address or self.address,
            self.shape.version,
            self.shape.slots,
            self.draining,
            max(cold, 0.0),
        )
        return heartbeats.encode(beat)

    async def send_to_node(self, method: str, data: bytes = b"") -> int:
        """Send a request about this endpoint; return the status, 0 if none."""
        if self.session is None:
            self.session = aiohttp.ClientSession()
        url = f"http://{self.node}{heartbeats.PREFIX}{self.endpoint}"
        try:
            async with self.session.request(method, url, data=data or None) as answer:
                return answer.status
        except (aiohttp.ClientError, OSError) as error:
            self.log.warn("heartbeat-failed", why=type(error).__name__)
            return 0

    async def send_heartbeats(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            await asyncio.sleep(RENEW_INTERVAL)
            await self.send_heartbeat()

    async def drain(self) -> int:
        """Report as draining; return the status of the answer, 0 if none.

        If the node acknowledged it, the journal gets the event ``farewell``.
        """
        self.draining = True
        status = await self.send_heartbeat()
        if status == ACKNOWLEDGED:
            self.write_journal("farewell")
        return status

    async def send_farewell(self) -> int:
        """Send a farewell to the node; return the status of the answer, 0 if none."""
        if self.heartbeat_task is not None:
            self.heartbeat_task.cancel()
        self.draining = True
        return await self.send_to_node("DELETE")

    async def drain_and_stop(self) -> None:
        """Drain, let running requests finish, send a farewell, and stop."""
        if self.node:
            await self.drain()
        loop = asyncio.get_running_loop()
        end = loop.time() + MAX_DRAIN
        while self.running and loop.time() < end:
            await asyncio.sleep(DRAIN_POLL_INTERVAL)
        if self.node:
            await self.send_farewell()
        await self.stop()

    def uptime(self) -> float:
        """Return the seconds since the upstream began to listen."""
        return asyncio.get_running_loop().time() - self.started

    async def handle(self, request: aiohttp.web.BaseRequest) -> aiohttp.web.Response:
        """Answer one request of a test or of the mesh."""
        if request.path == "/-/faults":
            limit = self.faults.limit
            self.faults, answer = await faults.handle_faults(request, self.faults)
            if self.faults.limit != limit:
                self.write_journal("limit", limit=self.faults.limit)
            return answer
        if request.path == "/-/counts":
            return aiohttp.web.json_response(dict(self.counts) | {"peak": self.peak})
        answer = await self.handle_request(request)
        answer.headers.update(self.announcements())
        return answer

    def announcements(self) -> dict[str, str]:
        """Return the headers in which each answer tells the state of the upstream."""
        fields = {}
        if self.faults.limit:
            fields[headers.LIMIT] = self.faults.limit
        if self.draining or self.faults.leaving:
            fields[headers.LEAVING] = headers.LEAVING_VALUE
        return fields

    async def handle_request(
        self, request: aiohttp.web.BaseRequest
    ) -> aiohttp.web.Response:
        """Answer one request of the mesh, subject to the faults in force."""
        if request.path == HEALTH_PATH:
            return self.answer_health_check()
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
        if self.is_affected(run) and self.faults.shed:
            self.counts["shed"] += 1
            return aiohttp.web.Response(status=503, headers={headers.NOT_RUN: "1"})
        return await self.run_request(request, run)

    def answer_health_check(self) -> aiohttp.web.Response:
        """Answer a health check: status 200 unless the upstream is leaving."""
        well = self.faults.health == "well" if self.faults.health else not self.draining
        fields = {headers.INSTANCE: self.endpoint}
        if self.faults.health == "full":
            fields[headers.NOT_RUN] = "1"
        return aiohttp.web.Response(status=200 if well else 503, headers=fields)

    def is_affected(self, run: Run) -> bool:
        """Whether the faults in force affect this request."""
        return (
            run.path.startswith(self.faults.only_prefix)
            and self.uptime() >= self.faults.after
            and self.running >= self.faults.above
        )

    async def run_request(
        self, request: aiohttp.web.BaseRequest, run: Run
    ) -> aiohttp.web.Response:
        """Run one request, which is recorded before anything else happens."""
        self.runs.append(run)
        received = {"account": headers.ACCOUNT, "authorization": headers.AUTHORIZATION}
        fields = {name: run.headers.get(field, "") for name, field in received.items()}
        self.write_journal("run", attempt=run.attempt, key=run.key, **fields)
        self.counts["runs"] += 1
        affected = self.is_affected(run)
        self.running += 1
        self.peak = max(self.peak, self.running)
        try:
            processing = self.process(run, affected)
            if self.faults.deaf:
                await asyncio.shield(processing)
            elif not await finish_by(processing, seconds_left(request)):
                return self.answer_deadline(run)
            return await self.answer(request, run, affected)
        except asyncio.CancelledError:
            run.cancelled = True
            self.counts["cancelled"] += 1
            raise
        finally:
            self.running -= 1

    def write_journal(self, event: str, **fields: str) -> None:
        """Append a line to the journal, if there is one."""
        if not self.journal:
            return
        line = {"event": event, "endpoint": self.endpoint, "at": time.time()} | fields
        with open(self.journal, "ab") as journal:
            journal.write(msgspec.json.encode(line) + b"\n")

    def answer_deadline(self, run: Run) -> aiohttp.web.Response:
        """Answer a request whose work was cancelled at its deadline."""
        run.cancelled = True
        self.counts["deadlines"] += 1
        return aiohttp.web.Response(
            status=504, headers={headers.ATTEMPT: run.attempt}, text="deadline"
        )

    async def process(self, run: Run, affected: bool) -> None:
        """Wait for the processing time of a request, and for what faults add to it."""
        if affected and self.faults.crash_on and self.is_crash_request(run):
            self.crash()
        seconds = self.shape.work * self.random.uniform(0.5, 1.5)
        seconds += self.shape.work if self.uptime() < self.shape.cold_start else 0.0
        seconds += self.faults.slow if affected else 0.0
        await asyncio.sleep(seconds)
        if affected and self.faults.silent:
            await asyncio.Event().wait()

    def is_crash_request(self, run: Run) -> bool:
        """Whether a request contains the text on which this upstream crashes."""
        crash_text = self.faults.crash_on
        return crash_text in run.path or crash_text.encode() in run.body

    def crash(self) -> None:
        """Crash: abort every connection and accept no further request."""
        self.counts["crashes"] += 1
        self.crashed.set()
        self.abort_connections()
        self.stopping = asyncio.create_task(self.stop())
        raise asyncio.CancelledError

    async def answer(
        self, request: aiohttp.web.BaseRequest, run: Run, affected: bool
    ) -> aiohttp.web.Response:
        """Return the answer to a request that ran."""
        fields = {headers.ATTEMPT: run.attempt, headers.SIGNATURE: SIGNATURE_VALUE}
        if affected and self.random.random() < self.faults.error_rate:
            self.counts["errors"] += 1
            return aiohttp.web.Response(status=500, headers=fields, text="fault")
        run.finished = True
        if affected:
            self.apply_answer_faults(request, fields)
        text = f"{self.shape.service} {self.shape.version} {run.path} {run.key}"
        size = int(request.query.get("size", "0"))
        body = text.encode() + run.body + b"." * size
        return aiohttp.web.Response(headers=fields, body=body)

    def apply_answer_faults(
        self, request: aiohttp.web.BaseRequest, fields: dict[str, str]
    ) -> None:
        """Apply the faults that change or lose an answer."""
        if self.faults.lose:
            faults.transport_of(request).abort()
        if self.faults.unproved:
            fields.pop(headers.SIGNATURE)
        if self.faults.cut:
            transport = faults.transport_of(request)
            transport.write(upstream_faults.encode_answer(fields, b"half", 100))
            transport.close()
        if self.faults.stray:
            other = {headers.ATTEMPT: "another", headers.SIGNATURE: "other"}
            wrong = upstream_faults.encode_answer(other, b"wrong", 5)
            faults.transport_of(request).write(wrong)


def seconds_left(request: aiohttp.web.BaseRequest) -> float | None:
    """Return the seconds until the deadline of a request; None if it has none."""
    return headers.parse_deadline(request.headers.get(headers.DEADLINE))


async def finish_by(
    work: collections.abc.Awaitable[None], seconds: float | None
) -> bool:
    """Return whether some work ended within the seconds; cancel it if not."""
    try:
        async with asyncio.timeout(seconds):
            await work
    except TimeoutError:
        return False
    return True
