"""Starts a small deployment for the scripts of this review.

The store is the project's own stand-in, the nodes run by the command of the deploy
file; endpoints and clients are small stand-ins of this module.
"""

import asyncio
import collections
import json
import os
import pathlib
import random
import secrets
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "mesh.example"
BEAT_SECONDS = 1.5
READY_TIMEOUT = 20.0
FIRST_PORT = 10_000
PORTS = 100  # of one script
PORT_RANGES = 200

ranges = []  # the socket that holds the range of this script
taken = set()


def hold_range():
    """Return a bound socket whose port is the first of a range that is ours.

    Scripts beside each other do the same, so none takes the ports of another one. The
    ranges are below the ports that the system gives to outgoing connections.
    """
    while True:
        first = FIRST_PORT + random.randrange(PORT_RANGES) * PORTS
        held = socket.socket()
        try:
            held.bind(("127.0.0.1", first))
        except OSError:
            held.close()
            continue
        return held


def free_port():
    """Return a free port of the loopback address, of the range that is ours."""
    if not ranges:
        ranges.append(hold_range())
    first = ranges[0].getsockname()[1]
    while True:
        port = random.randrange(first + 1, first + PORTS)
        with socket.socket() as found:
            try:
                found.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in taken:
            taken.add(port)
            return port


def environment(**more):
    """Return the variables that a process of the platform gets."""
    kept = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
    path = os.pathsep.join((str(ROOT / "target" / "deps"), str(ROOT)))
    return {**kept, "PYTHONPATH": path, "LANG": "C.UTF-8", **more}


class Record:
    """The file that tells what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w")  # noqa: SIM115
        self.began = time.monotonic()

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()


async def read_head(reader):
    """Return the first line and the fields of a message; None at the end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    """Return the body of a message with a length or in chunks."""
    if "chunked" in fields.get("transfer-encoding", ""):
        parts = []
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            part = await reader.readexactly(size)
            await reader.readline()
            if not size:
                return b"".join(parts)
            parts.append(part)
    return await reader.readexactly(int(fields.get("content-length", "0")))


class Response:
    """An answer as a client has received it."""

    def __init__(self, status, fields, body):
        self.status = status
        self.fields = fields
        self.body = body


async def call(address, method, path, fields=(), body=b"", timeout=5.0):
    """Make one request on a connection of its own; None if no whole answer comes."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(encode(method, path, fields, body))
                return await read_response(reader)
            finally:
                writer.close()
    except (TimeoutError, OSError, ValueError, asyncio.IncompleteReadError):
        return None


def encode(method, path, fields, body=b""):
    """Return the bytes of a request."""
    lines = [f"{method} {path} HTTP/1.1"]
    lines.extend(f"{name}: {value}" for name, value in fields)
    if body or method not in ("GET", "DELETE"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


async def read_response(reader):
    """Return the next answer of a connection; None at its end."""
    head = await read_head(reader)
    if head is None:
        return None
    line, fields = head
    status = int(line.split()[1])
    body = b"" if status in (204, 304) else await read_body(reader, fields)
    return Response(status, fields, body)


def request_fields(attempt, deadline_ms=3000, more=()):
    """Return the fields that a client of the platform sends."""
    return [
        ("Host", HOST),
        ("Attempt-Id", attempt),
        ("Deadline-Ms", str(deadline_ms)),
        *more,
    ]


class Endpoint:
    """A sound endpoint: answers requests, and reports to the node on its machine."""

    def __init__(self, record, service, control, slots=12, work=0.02, version="v1"):
        self.record = record
        self.service = service
        self.control = control
        self.slots = slots
        self.work = work
        self.version = version
        self.id = f"i-{secrets.token_hex(4)}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.runs = collections.Counter()
        self.server = None
        self.beats = None
        self.port = free_port()

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.beats = asyncio.create_task(self.send_beats())

    async def send_beats(self):
        while True:
            await self.beat()
            await asyncio.sleep(BEAT_SECONDS)

    async def beat(self):
        """Send one liveness report; return its status, None without an answer."""
        self.sequence += 1
        body = json.dumps(
            {
                "Service": self.service,
                "Address": self.address,
                "Zone": "tunis-medina",
                "Version": self.version,
                "Slots": self.slots,
                "State": self.state,
                "ColdRemainingMs": 0,
                "Sequence": self.sequence,
                "born": self.born,
            }
        ).encode()
        fields = [("Host", self.control), ("Content-Type", "application/json")]
        path = f"/api/instances/{self.id}"
        answer = await call(self.control, "PUT", path, fields, body, 1.0)
        return answer.status if answer else None

    async def serve(self, reader, writer):
        try:
            while head := await read_head(reader):
                line, fields = head
                body = await read_body(reader, fields)
                method, path, _ = line.split(" ", 2)
                writer.write(await self.answer(method, path, fields, body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, method, path, fields, body):
        """Return the bytes of the answer to one request."""
        if path == "/healthz":
            ready = self.state == "ready"
            return self.format(200 if ready else 503, [("Instance-Id", self.id)], b"")
        wanted = fields.get("target-instance", self.id)
        attempt = fields.get("attempt-id", "")
        if wanted != self.id:
            return self.format(421, [("Instance-Id", self.id)], b"")
        self.runs[attempt] += 1
        self.record.write(f"run {self.id} {method} {path} {attempt}")
        await asyncio.sleep(self.work)
        text = f"{self.service} {method} {path} {len(body)}".encode()
        return self.format(200, self.signed(attempt), text)

    def signed(self, attempt):
        """Return the fields that each answer of an endpoint has."""
        return [("Attempt-Id", attempt), ("Response-Signature", f"s-{attempt}")]

    def format(self, status, fields, body):
        lines = [f"HTTP/1.1 {status} X"]
        lines.extend(f"{name}: {value}" for name, value in fields)
        lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body

    async def stop(self):
        self.beats.cancel()
        self.server.close()


class Node:
    """One node as a process of its own."""

    def __init__(self, lab, name, service, upstream_port):
        self.lab = lab
        self.name = name
        self.ports = {
            part: free_port()
            for part in ("callers", "hops", "ready", "heartbeats", "metrics")
        }
        self.settings = {
            "name": name,
            "zone": "tunis-medina",
            "region": "tunis",
            "service": service,
            "upstream": f"127.0.0.1:{upstream_port}",
            "store": lab.store,
            "store_reads_per_s": 2000,
            "apply_ms": 2000,
            "contact_ms": 3000,
            "heartbeat_ms": 1500,
            "listen": {part: self.address(part) for part in self.ports},
            "repeats": {"ratio": 0.2, "least": 58, "window": 10},
            "drain": {"grace": 6},
        }
        self.process = None

    def address(self, part):
        return f"127.0.0.1:{self.ports[part]}"

    async def start(self):
        path = self.lab.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings))
        log = open(self.lab.folder / f"{self.name}.log", "ab")  # noqa: SIM115
        self.process = await asyncio.create_subprocess_exec(
            "python3",
            "-m",
            "rattanridge.daemon",
            cwd=ROOT,
            env=environment(RATTANRIDGE_BOOT=str(path)),
            stdout=log,
            stderr=log,
        )
        self.lab.processes.append(self.process)
        log.close()

    async def kill(self, number=signal.SIGKILL):
        self.process.send_signal(number)
        await self.process.wait()

    def log(self):
        return (self.lab.folder / f"{self.name}.log").read_text(errors="replace")

    async def wait_ready(self, timeout=READY_TIMEOUT):
        fields = [("Host", self.address("ready"))]
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            found = await call(
                self.address("ready"), "GET", "/api/readyz", fields, b"", 1
            )
            if found is not None and found.status == 200:
                return True
            await asyncio.sleep(0.1)
        return False


class Lab:
    """The store, the nodes and their endpoints."""

    def __init__(self, folder):
        self.case = pathlib.Path(folder)
        self.record = Record(folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review3-"))
        self.store = f"127.0.0.1:{free_port()}"
        self.processes = []
        self.nodes = []
        self.endpoints = []

    async def start_store(self):
        log = open(self.folder / "store.log", "ab")  # noqa: SIM115
        process = await asyncio.create_subprocess_exec(
            "python3",
            "-m",
            "rattanridge",
            "standin",
            "platform",
            "--address",
            self.store,
            cwd=ROOT,
            env=environment(),
            stdout=log,
            stderr=log,
        )
        self.processes.append(process)
        for _ in range(100):
            if await self.store_call("GET", "config") is not None:
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the store stand-in has not started")

    async def store_call(self, method, path, body=None):
        data = json.dumps(body).encode() if body is not None else b""
        fields = [("Host", self.store)]
        return await call(self.store, method, f"/api/objects/{path}", fields, data)

    async def write_config(self, config):
        """Write a configuration, as the operator does."""
        found = await self.store_call("GET", "config/main")
        body = {"Metadata": {"Name": "main"}, "Spec": config}
        if found is not None and found.status == 200:
            revision = json.loads(found.body)["Metadata"]["Revision"]
            body["Metadata"]["Revision"] = revision
            answer = await self.store_call("PUT", "config/main", body)
        else:
            answer = await self.store_call("POST", "config", body)
        self.record.write(f"config {config['Version']} -> {answer.status}")

    async def add(self, service, endpoint_class=Endpoint, start=True, **options):
        """Start a node with its endpoint."""
        node = Node(self, f"n{len(self.nodes)}", service, 1)
        endpoint = endpoint_class(
            self.record, service, node.address("heartbeats"), **options
        )
        node.settings["upstream"] = endpoint.address
        self.nodes.append(node)
        self.endpoints.append(endpoint)
        if start:
            await node.start()
            await endpoint.start()
        return node, endpoint

    async def wait_ready(self):
        for node in self.nodes:
            if not await node.wait_ready():
                self.record.write(f"{node.name} is not ready: {node.log()[-2000:]}")
                raise RuntimeError(f"{node.name} is not ready")
        await asyncio.sleep(2 * BEAT_SECONDS)

    async def stop(self):
        for endpoint in self.endpoints:
            if endpoint.server is not None:
                await endpoint.stop()
        for process in self.processes:
            if process.returncode is None:
                process.kill()
                await process.wait()
        if os.environ.get("KEEP"):
            shutil.copytree(self.folder, os.environ["KEEP"], dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def route(name, prefix, service, kind="safe", timeout_ms=1000, **more):
    """Return one route of a configuration."""
    return {
        "Name": name,
        "PathPrefix": prefix,
        "Kind": kind,
        "Service": service,
        "Priority": 1,
        "TimeoutMs": timeout_ms,
        "TargetLatencyMs": 300,
        "MaxAttempts": 2,
        **more,
    }


def config(version, routes, services, **more):
    """Return a configuration."""
    return {
        "Version": f"{version:08x}",
        "VirtualHosts": [{"Host": HOST, "Paths": routes}],
        "Services": [
            {"Name": name, "HealthPath": "/healthz", "MaxConnections": 110}
            for name in services
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 1048576,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        **more,
    }


def run(folder, case):
    """Run a case; exit with 1 if it returns a broken rule, 2 if it could not run."""

    async def main():
        # A script that is ended ends its processes, too.
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        lab = Lab(folder)
        try:
            async with asyncio.timeout(110):
                return await case(lab, os.environ.get("TROUBLE", "1") != "0")
        finally:
            await lab.stop()

    try:
        broken = asyncio.run(main())
    except (Exception, asyncio.CancelledError) as error:
        print(f"could not run: {error!r}")
        sys.exit(2)
    print(broken or "held")
    sys.exit(1 if broken else 0)
