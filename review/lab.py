"""Starts nodes as processes on loopback, with small stand-ins for what they talk to.

The stand-ins follow the protocol page: a store of objects with lists and watches, an
endpoint that sends heartbeats, and a client of one connection.
"""

import asyncio
import contextlib
import dataclasses
import os
import pathlib
import shutil
import signal
import socket
import sys
import tempfile
import time

import aiohttp
import aiohttp.web

ROOT = pathlib.Path(__file__).resolve().parent.parent
HEARTBEAT_SECONDS = 1.5
GRACE_SECONDS = 6.0
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit statuses of a case
NODE_COMMAND = ("python3", "-m", "rattanridge.daemon")


class Record:
    """Writes what was sent, answered and run to a file.

    :param path: of the file, which is replaced.
    """

    def __init__(self, path):
        self.path = pathlib.Path(path)
        self.path.write_text("", encoding="utf-8")
        self.began = time.monotonic()

    def note(self, event, **fields):
        """Write one line with the seconds since the begin."""
        at = time.monotonic() - self.began
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        with self.path.open("a", encoding="utf-8") as file:
            file.write(f"{at:8.3f} {event} {text}\n")

    def say(self, text):
        """Write a line to the file and to standard output."""
        self.note("result", text=text)
        print(text, flush=True)


def trouble():
    """Return whether the case is run with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port():
    """Return a port of the loopback address that is free at present."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def free_address():
    return f"127.0.0.1:{free_port()}"


class Store:
    """The platform's store: objects by kind and name, with revisions and watches.

    :param record: gets the changes of what is answered.
    """

    def __init__(self, record):
        self.record = record
        self.revision = 1
        self.objects = {}
        self.events = []
        self.changed = asyncio.Condition()
        self.silent = False
        self.address = ""

    async def start(self):
        """Listen on a free port."""
        server = aiohttp.web.Server(self.serve, access_log=None)
        self.runner = aiohttp.web.ServerRunner(server, shutdown_timeout=0.1)
        await self.runner.setup()
        await aiohttp.web.TCPSite(self.runner, "127.0.0.1", 0).start()
        self.address = f"127.0.0.1:{self.runner.addresses[0][1]}"

    async def serve(self, request):
        """Answer one call; a call that comes in a silence is never answered."""
        if self.silent:
            await asyncio.sleep(3600)
        parts = request.path.removeprefix("/api/objects/").split("/")
        kind, name = parts[0], parts[1] if len(parts) > 1 else ""
        if request.method != "GET":
            return await self.change(request, kind, name, "status" in parts[2:])
        if "Watch" in request.query:
            return await self.watch(request, kind)
        if name:
            found = self.objects.get((kind, name))
            return reply(found) if found else aiohttp.web.Response(status=404)
        items = [item for key, item in sorted(self.objects.items()) if key[0] == kind]
        return reply({"items": items, "HasMore": False, "CurrentRev": self.revision})

    async def watch(self, request, kind):
        """Return the changes of a kind after a revision as soon as there is one."""
        after = int(request.query["Watch"])

        def later():
            return [
                {"Object": item, "IsDeleted": deleted}
                for revision, item_kind, item, deleted in self.events
                if item_kind == kind and revision > after
            ]

        try:
            async with asyncio.timeout(int(request.query.get("WaitMs", 0)) / 1000):
                async with self.changed:
                    await self.changed.wait_for(later)
        except TimeoutError:
            pass
        return reply({"events": later(), "CurrentRev": self.revision})

    async def change(self, request, kind, name, is_status):
        """Create, replace or remove an object, if its revision is the expected one."""
        if request.method == "DELETE":
            wanted = int(request.query.get("Revision", 0))
            item = None
        else:
            item = await request.json()
            name = item["Metadata"]["Name"]
            wanted = item["Metadata"].get("Revision", 0)
        known = self.objects.get((kind, name))
        if request.method == "POST" and known:
            return reply(known, 409)
        if request.method != "POST" and not known:
            return aiohttp.web.Response(status=404)
        if known and wanted not in (0, known["Metadata"]["Revision"]):
            return reply(known, 409)
        if is_status:
            item = known | {"Status": item.get("Status")}
        elif item is not None and known:
            item = item | {"Status": known["Status"]}
        return reply(await self.write(kind, name, item))

    async def write(self, kind, name, item):
        """Write an object, or remove it if ``item`` is None; return it."""
        async with self.changed:
            self.revision += 1
            deleted = item is None
            item = item or self.objects.pop((kind, name))
            metadata = {"Name": name, "Revision": self.revision}
            item = {"Metadata": metadata} | {
                part: item.get(part) for part in ("Spec", "Status")
            }
            if not deleted:
                self.objects[kind, name] = item
            self.events.append((self.revision, kind, item, deleted))
            self.changed.notify_all()
        return item

    async def put(self, kind, name, spec):
        """Write as the operator; return when it is acknowledged."""
        known = self.objects.get((kind, name), {})
        await self.write(kind, name, {"Spec": spec, "Status": known.get("Status")})
        self.record.note("operator", wrote=f"{kind}/{name}", revision=self.revision)


def reply(body, status=200):
    return aiohttp.web.json_response(body, status=status)


class Endpoint:
    """An endpoint of one service that sends heartbeats to the node on its host.

    :param work: returns the seconds that a request takes.
    """

    def __init__(self, record, service, name, version="v1", slots=12, work=None):
        self.record = record
        self.service = service
        self.name = name
        self.version = version
        self.slots = slots
        self.work = work or (lambda request: 0.01)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.control = ""
        self.address = ""
        self.runs = {}  # attempt id: number of runs
        self.ended = set()
        self.task = None

    async def start(self, address):
        """Listen at the address."""
        server = aiohttp.web.Server(
            self.serve, access_log=None, handler_cancellation=True
        )
        self.runner = aiohttp.web.ServerRunner(server, shutdown_timeout=0.1)
        await self.runner.setup()
        host, _, port = address.partition(":")
        await aiohttp.web.TCPSite(self.runner, host, int(port)).start()
        self.address = address

    def start_heartbeats(self, control):
        """Send heartbeats to the node's control address."""
        self.control = control
        self.task = asyncio.create_task(self.send_heartbeats())

    async def send_heartbeats(self):
        while True:
            await self.send_heartbeat()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def heartbeat(self):
        """Return the body of the next heartbeat."""
        self.sequence += 1
        return {
            "Service": self.service,
            "Address": self.address,
            "Zone": "zone-a",
            "Version": self.version,
            "Slots": self.slots,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Sequence": self.sequence,
            "born": self.born,
        }

    async def send_heartbeat(self, body=None, method="PUT"):
        """Send a heartbeat or a farewell; return the status, 0 if there was none."""
        url = f"http://{self.control}/api/instances/{self.name}"
        limit = aiohttp.ClientTimeout(total=1.0)
        try:
            async with aiohttp.ClientSession(timeout=limit) as session:
                body = body or self.heartbeat()
                async with session.request(method, url, json=body) as answer:
                    return answer.status
        except (aiohttp.ClientError, OSError, TimeoutError):
            return 0

    async def serve(self, request):
        """Answer a health check, or run a request that is meant for this endpoint."""
        fields = {"Instance-Id": self.name}
        if request.path == "/healthz":
            status = 200 if self.state == "ready" else 503
            return aiohttp.web.Response(status=status, headers=fields)
        if request.headers.get("Target-Instance", self.name) != self.name:
            return aiohttp.web.Response(status=421, headers=fields)
        size = sum([len(part) async for part in request.content.iter_any()])
        attempt = request.headers["Attempt-Id"]
        self.runs[attempt] = self.runs.get(attempt, 0) + 1
        self.record.note("run", attempt=attempt, at=self.name, bytes=size)
        await asyncio.sleep(self.work(request))
        self.ended.add(attempt)
        fields = {"Attempt-Id": attempt, "Response-Signature": f"{self.name}.{attempt}"}
        return aiohttp.web.Response(headers=fields, text=f"{self.name} {self.version}")


SETTINGS = """\
name: "{name}"
zone: "{zone}"
region: "here"
service: "{service}"
upstream: "{upstream}"
store: "{store}"
store_reads_per_s: 2000
heartbeat_ms: 1500
listen:
  callers: "{callers}"
  hops: "{hops}"
  ready: "{ready}"
  heartbeats: "{control}"
  metrics: "{metrics}"
drain:
  grace: 6
repeats:
  ratio: 0.2
  least: 58
  window: 10
"""


@dataclasses.dataclass
class Node:
    """One node process and its endpoint.

    :param store: address of the store, or of a proxy before it.
    """

    record: Record
    folder: pathlib.Path
    name: str
    zone: str
    endpoint: Endpoint
    store: str
    process: asyncio.subprocess.Process | None = None

    def __post_init__(self):
        for port in ("callers", "hops", "ready", "control", "metrics"):
            setattr(self, port, free_address())
        self.upstream = free_address()

    async def start_endpoint(self):
        """Start the endpoint, with heartbeats."""
        await self.endpoint.start(self.upstream)
        self.endpoint.start_heartbeats(self.control)

    async def start(self):
        """Start the process as the deploy file says."""
        path = self.folder / f"{self.name}.yaml"
        fields = vars(self) | {"service": self.endpoint.service}
        path.write_text(SETTINGS.format(**fields), encoding="utf-8")
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment |= {
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "RATTANRIDGE_BOOT": str(path),
            "SSL_CERT_FILE": "/dev/null",
        }
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *NODE_COMMAND,
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record.note("node-started", node=self.name, callers=self.callers)

    def send_signal(self, number):
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.record.note("signal", node=self.name, signal=signal.Signals(number))
            self.process.send_signal(number)

    async def is_ready(self):
        """Ask as the platform does; return whether the node counts as ready."""
        limit = aiohttp.ClientTimeout(total=0.5)
        url = f"http://{self.ready}/api/readyz"
        try:
            async with aiohttp.ClientSession(timeout=limit) as session:
                async with session.get(url) as answer:
                    return answer.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False

    async def wait_ready(self, seconds=10.0):
        """Wait until the node is ready; raise ``TimeoutError`` after some seconds."""
        async with asyncio.timeout(seconds):
            while not await self.is_ready():
                await asyncio.sleep(0.05)

    async def end(self):
        """Kill the process if it runs, and wait for its end."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class Fleet:
    """All processes and stand-ins of one case; an async context manager."""

    def __init__(self, record):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store(record)
        self.nodes = []

    async def __aenter__(self):
        await self.store.start()
        return self

    async def __aexit__(self, *error):
        if error[0] is not None:
            self.note_logs()
        for node in self.nodes:
            await node.end()
            if node.endpoint.task is not None:
                node.endpoint.task.cancel()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs of the nodes: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def note_logs(self):
        """Write the state and the last log lines of each node to the record."""
        for node in self.nodes:
            status = node.process.returncode if node.process is not None else "-"
            self.record.note("node-state", node=node.name, exit_status=status)
            log = self.folder / f"{node.name}.log"
            for line in log.read_text(errors="replace").splitlines()[-8:]:
                self.record.note("node-log", node=node.name, line=line)

    async def add(self, name, zone, endpoint, store=""):
        """Start a node and its endpoint; return the node."""
        store = store or self.store.address
        node = Node(self.record, self.folder, name, zone, endpoint, store)
        self.nodes.append(node)
        await node.start_endpoint()
        await node.start()
        return node


def route(name, prefix, service, kind="safe", **more):
    """Return a route as the operator writes it."""
    return {
        "Name": name,
        "PathPrefix": prefix,
        "Kind": kind,
        "TimeoutMs": 5000,
        "TargetLatencyMs": 500,
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 2,
    } | more


def configuration(version, services, routes):
    """Return a configuration as the operator writes it."""
    return {
        "Version": f"{version:08x}",
        "Services": [
            {"Name": name, "HealthPath": "/healthz", "MaxConnections": 110}
            for name in services
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 67108864,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "VirtualHosts": [{"Host": "mesh.example", "Paths": routes}],
    }


@dataclasses.dataclass
class Result:
    """What a client saw of one request.

    :param status: 0 if the connection ended without a complete answer.
    :param sent: whether the whole request was written.
    """

    attempt: str
    status: int = 0
    headers: dict = dataclasses.field(default_factory=dict)
    body: bytes = b""
    sent: bool = False
    error: str = ""


class Client:
    """A client on one machine that keeps one connection open.

    :param address: the ``Outbound`` address of its machine.
    """

    count = 0

    def __init__(self, record, address):
        self.record = record
        self.address = address
        self.streams = None

    async def connect(self):
        """Open the connection if it is not open; raise ``OSError`` if that fails."""
        if self.streams is not None and self.streams[0].at_eof():
            self.close()
        if self.streams is None:
            host, _, port = self.address.partition(":")
            async with asyncio.timeout(1.0):
                self.streams = await asyncio.open_connection(host, int(port))

    def close(self):
        """Close the connection."""
        if self.streams is not None:
            with contextlib.suppress(OSError):
                self.streams[1].close()
            self.streams = None

    async def request(self, method, path, body=b"", deadline=4.0):
        """Send one request; return what came back."""
        Client.count += 1
        result = Result(f"{os.getpid():08x}{Client.count:08x}")
        lines = [
            f"{method} {path} HTTP/1.1",
            "Host: mesh.example",
            f"Attempt-Id: {result.attempt}",
            f"Deadline-Ms: {int(deadline * 1000)}",
        ]
        if body or method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        data = ("\r\n".join(lines) + "\r\n\r\n").encode() + body
        began = time.monotonic()
        try:
            await self.connect()
            async with asyncio.timeout(deadline):
                reader, writer = self.streams
                writer.write(data)
                await writer.drain()
                result.sent = True
                await self.read(reader, result)
        except TimeoutError:
            result.error = "time limit"
            self.close()
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            result.error = type(error).__name__
            self.close()
        if result.headers.get("connection") == "close":
            self.close()
        self.record.note(
            "request",
            attempt=result.attempt,
            by=self.address,
            path=path,
            status=result.status,
            sent=result.sent,
            error=result.error or "-",
            took=f"{time.monotonic() - began:.3f}",
        )
        return result

    async def read(self, reader, result):
        """Read one answer with a length."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        fields = (line.partition(":") for line in head[1:] if line)
        result.headers = {name.lower(): text.strip() for name, _, text in fields}
        length = int(result.headers.get("content-length", 0))
        result.body = await reader.readexactly(length)
        result.status = int(head[0].split()[1])


def run(case, folder, limit=115.0):
    """Run a case and exit with its status; 2 if it could not run.

    :param case: coroutine function that takes the record and returns a status.
    :param folder: of the case, to which ``record.txt`` is written.
    """
    record = Record(pathlib.Path(folder) / "record.txt")

    async def limited():
        task = asyncio.current_task()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        async with asyncio.timeout(limit):
            return await case(record)

    try:
        status = asyncio.run(limited())
    except (Exception, asyncio.CancelledError) as error:
        record.say(f"the case could not run: {type(error).__name__} {error}")
        status = NOT_RUN
    sys.exit(status)
