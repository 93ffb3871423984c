"""Parts that the scripts of the second review share.

They start the project's own processes with the commands of the deploy file, on loopback
addresses and free ports. Stand-ins are processes too: the project's own store, and an
upstream of this file, which follows the users' protocol.
"""

import argparse
import asyncio
import collections.abc
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
HELD = 0  # exit status: the rule held
BROKEN = 1  # exit status: the rule was broken
NOT_RUN = 2  # exit status: the case could not run
CRASHED = 70  # exit status of an upstream that a request has crashed
START_SECONDS = 15.0
PORTS = (20_000, 30_000)  # below those that the system gives to connections

taken_ports: set[int] = set()


class CouldNotRunError(Exception):
    """The case could not be set up, so that it shows nothing."""


def trouble() -> bool:
    """Return whether the disruption is part of this run."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run to ``record.txt``, with seconds."""

    def __init__(self, folder: pathlib.Path):
        self.file = (folder / "record.txt").open("w")
        self.began = time.monotonic()

    def write(self, text: str) -> None:
        """Write a line to the file only."""
        line = f"{time.monotonic() - self.began:8.3f} {text}"
        print(line, file=self.file, flush=True)

    def note(self, text: str) -> None:
        """Write a line to the file and to standard output."""
        self.write(text)
        print(text, flush=True)

    def write_runs(self, journal: pathlib.Path) -> None:
        """Write what the upstreams have noted of their runs."""
        lines = journal.read_text().splitlines() if journal.exists() else []
        for line in lines:
            self.write(f"endpoint: {line}")
        self.note(f"the endpoints noted {len(lines)} lines on their runs")


def free_port() -> int:
    """Return a TCP port that is free now, and that no connection gets by chance."""
    while True:
        port = random.randrange(*PORTS)
        if port in taken_ports:
            continue
        with socket.socket() as found:
            try:
                found.bind(("127.0.0.1", port))
            except OSError:
                continue
        taken_ports.add(port)
        return port


def environment() -> dict[str, str]:
    """Return the environment of a process: few variables, and the built libraries."""
    deps = str(ROOT / "target" / "deps")
    return {
        "PATH": os.environ["PATH"],
        "HOME": os.environ.get("HOME", "/"),
        "LANG": os.environ.get("LANG", "C.UTF-8"),
        "PYTHONPATH": os.pathsep.join([deps, str(ROOT)]),
        "SSL_CERT_FILE": "/dev/null",
    }


class Lab:
    """Processes of one run, in a temporary folder, and their ends."""

    def __init__(self, record: Record):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.processes: dict[str, subprocess.Popen] = {}

    def start(self, name: str, *command: str, **more: str) -> subprocess.Popen:
        """Start a process; its output goes to a file of the temporary folder."""
        with (self.folder / f"{name}.log").open("ab") as output:
            process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment() | more,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self.processes[name] = process
        self.record.note(f"start {name} pid={process.pid}")
        return process

    def start_store(self) -> str:
        """Start the project's stand-in of the store; return its address."""
        address = f"127.0.0.1:{free_port()}"
        command = ("standin", "platform", "--address", address)
        self.start("store", sys.executable, "-m", "rattanridge", *command)
        wait_for_port(address)
        return address

    def start_upstream(self, name: str, *options: str) -> subprocess.Popen:
        """Start the upstream of this file."""
        return self.start(name, sys.executable, __file__, *options)

    def write_settings(self, node: "NodePlan") -> pathlib.Path:
        """Write the settings of a node as the deploy template has them."""
        path = self.folder / f"{node.name}.json"
        path.write_text(json.dumps(node.settings()))
        return path

    def start_node(self, node: "NodePlan") -> subprocess.Popen:
        """Start a node with the command of the deploy file."""
        path = self.write_settings(node)
        command = (sys.executable, "-m", "rattanridge.daemon")
        return self.start(node.name, *command, RATTANRIDGE_BOOT=str(path))

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a process that this run has started."""
        self.record.note(f"signal {signal.Signals(number).name} to {name}")
        self.processes[name].send_signal(number)

    def close(self) -> None:
        """End all processes that this run has started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


class NodePlan:
    """Addresses and settings of one node."""

    def __init__(self, name: str, service: str, store: str, zone: str = "zone-a"):
        self.name = name
        self.service = service
        self.store = store
        self.zone = zone
        ports = [free_port() for _ in range(6)]
        addresses = [f"127.0.0.1:{port}" for port in ports]
        self.callers, self.hops, self.ready, self.beats, self.metrics, self.app = (
            addresses
        )

    def settings(self) -> dict:
        """Return the settings as ``deploy/node.yaml.tmpl`` renders them."""
        return {
            "name": self.name,
            "zone": self.zone,
            "region": "region",
            "service": self.service,
            "upstream": self.app,
            "store": self.store,
            "store_reads_per_s": 2000,
            "heartbeat_ms": 1500,
            "listen": {
                "callers": self.callers,
                "hops": self.hops,
                "ready": self.ready,
                "heartbeats": self.beats,
                "metrics": self.metrics,
            },
            "repeats": {"ratio": 0.2, "least": 58, "window": 10},
            "drain": {"grace": 6},
        }


def route(name: str, service: str, kind: str, **more: object) -> dict:
    """Return a route in the wire format of the configuration."""
    found = {
        "Name": name,
        "PathPrefix": f"/{name}/",
        "Kind": kind,
        "Priority": 0,
        "TimeoutMs": 2000,
        "TargetLatencyMs": 300,
        "MaxAttempts": 3,
        "Service": service,
    }
    return found | more


def configuration(version: int, routes: list[dict]) -> dict:
    """Return a configuration in wire format, with all routes at one host."""
    services = sorted({item["Service"] for item in routes})
    return {
        "Version": f"{version:08x}",
        "VirtualHosts": [{"Host": "host.example", "Paths": routes}],
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
    }


def wait_for_port(address: str) -> None:
    """Wait until something listens at an address."""
    host, _, port = address.rpartition(":")
    end = time.monotonic() + START_SECONDS
    while time.monotonic() < end:
        with contextlib.suppress(OSError):
            socket.create_connection((host, int(port)), 0.5).close()
            return
        time.sleep(0.05)
    raise CouldNotRunError(f"nothing listens at {address}")


def http(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout: float = 5.0,
) -> tuple[int, dict[str, str], bytes]:
    """Send one request on a new connection; return status, headers and body.

    Status 0 stands for a connection that ended or stayed silent without an answer.
    """
    host, _, port = address.rpartition(":")
    fields = {"Host": address, "Connection": "close", "Content-Length": str(len(body))}
    fields |= headers or {}
    head = f"{method} {path} HTTP/1.1\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    parts = []
    try:
        with socket.create_connection((host, int(port)), timeout) as wire:
            wire.sendall(head.encode() + b"\r\n" + body)
            while part := wire.recv(65536):
                parts.append(part)
    except OSError:
        return 0, {}, b""
    top, _, rest = b"".join(parts).partition(b"\r\n\r\n")
    lines = top.decode("latin-1").split("\r\n")
    if len(lines[0].split()) < 2:
        return 0, {}, b""
    found = dict(line.partition(": ")[::2] for line in lines[1:])
    return int(lines[0].split()[1]), found, rest


def wait_ready(node: NodePlan) -> None:
    """Wait until a node says that it is ready."""
    end = time.monotonic() + START_SECONDS
    while time.monotonic() < end:
        if http(node.ready, "GET", "/api/readyz", timeout=1.0)[0] == 200:
            return
        time.sleep(0.1)
    raise CouldNotRunError(f"{node.name} is not ready")


def create(store: str, kind: str, name: str, spec: dict) -> None:
    """Create an object in the store, as the operator does."""
    body = json.dumps({"Metadata": {"Name": name}, "Spec": spec}).encode()
    fields = {"Content-Type": "application/json"}
    status, _, text = http(store, "POST", f"/api/objects/{kind}", fields, body)
    if not 200 <= status < 300:
        raise CouldNotRunError(f"the store answers {status} {text!r}")


def replace(store: str, kind: str, name: str, spec: dict) -> None:
    """Replace an object in the store without a condition."""
    body = json.dumps({"Metadata": {"Name": name}, "Spec": spec}).encode()
    fields = {"Content-Type": "application/json"}
    status, _, text = http(store, "PUT", f"/api/objects/{kind}/{name}", fields, body)
    if not 200 <= status < 300:
        raise CouldNotRunError(f"the store answers {status} {text!r}")


def main(
    folder: pathlib.Path, run: collections.abc.Callable[[Record, Lab], int]
) -> int:
    """Run a case, end its processes, and return its exit status."""
    record = Record(folder)
    lab = Lab(record)
    status = NOT_RUN
    # So that a script that is stopped ends its processes, too.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(NOT_RUN))
    try:
        status = run(record, lab)
    except Exception as error:
        # Any failure of the script itself shows nothing about the rule.
        record.note(f"could not run: {error!r}")
    finally:
        lab.close()
    record.note(f"exit status {status}")
    return status


class Upstream:
    """An endpoint as the users' protocol describes it.

    It answers ``GET PATH?bytes=N&ms=T`` with N bytes after T milliseconds.
    """

    def __init__(self, options: argparse.Namespace):
        self.options = options
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.draining = False

    def journal(self, text: str) -> None:
        """Write a line on what has run."""
        if self.options.journal:
            with open(self.options.journal, "a") as file:
                file.write(f"{time.time():.3f} {self.options.id} {text}\n")

    async def run(self) -> None:
        host, _, port = self.options.address.rpartition(":")
        server = await asyncio.start_server(self.serve, host, int(port))
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.drain)
        async with server:
            await self.send_heartbeats()

    def drain(self) -> None:
        self.draining = True
        asyncio.get_running_loop().create_task(self.send_heartbeat())

    async def send_heartbeats(self) -> None:
        while True:
            await self.send_heartbeat()
            await asyncio.sleep(self.options.beat)

    async def send_heartbeat(self) -> None:
        self.sequence += 1
        state = "draining" if self.draining else "ready"
        beat = {
            "Service": self.options.service,
            "Address": self.options.address,
            "Zone": "zone-a",
            "Version": self.options.version,
            "Slots": self.options.slots,
            "State": state,
            "ColdRemainingMs": 0,
            "Sequence": self.sequence,
            "born": self.born,
        }
        path = f"/api/instances/{self.options.id}"
        fields = {"Content-Type": "application/json"}
        body = json.dumps(beat).encode()
        call = (self.options.node, "PUT", path, fields, body, 1.0)
        status, _, _ = await asyncio.to_thread(http, *call)
        if self.draining:
            self.journal(f"draining answered {status}")

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while await self.answer_one(reader, writer):
                pass
        writer.close()

    async def answer_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer one request; return whether another one may follow."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lines = head.split("\r\n")
        method, target, _ = lines[0].split(" ")
        fields = {
            name.lower(): value
            for name, _, value in (line.partition(": ") for line in lines[1:])
        }
        body = await reader.readexactly(int(fields.get("content-length", "0")))
        path, _, query = target.partition("?")
        if path == "/healthz":
            status = b"503 Draining" if self.draining else b"200 OK"
            writer.write(
                b"HTTP/1.1 "
                + status
                + b"\r\nContent-Length: 0\r\nInstance-Id: "
                + self.options.id.encode()
                + b"\r\n\r\n"
            )
            return True
        attempt = fields.get("attempt-id", "")
        if fields.get("target-instance", self.options.id) != self.options.id:
            writer.write(
                b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n"
                + f"Attempt-Id: {attempt}\r\n\r\n".encode()
            )
            return True
        self.journal(f"run {attempt} {method} {target} body={len(body)}")
        if path == self.options.crash_path:
            await asyncio.sleep(self.options.crash_after / 1000)
            self.journal(f"crash {attempt}")
            os._exit(CRASHED)
        wanted = dict(part.partition("=")[::2] for part in query.split("&") if part)
        await asyncio.sleep(float(wanted.get("ms", self.options.work)) / 1000)
        size = int(wanted.get("bytes", "100"))
        writer.write(
            (
                f"HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n"
                f"Attempt-Id: {attempt}\r\nResponse-Signature: s.{attempt}\r\n\r\n"
            ).encode()
            + b"x" * size
        )
        await writer.drain()
        return True


def run_upstream() -> None:
    """Run the stand-in of an upstream."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--id", default="i-1")
    parser.add_argument("--service", required=True)
    parser.add_argument("--address", required=True)
    parser.add_argument("--node", required=True)
    parser.add_argument("--version", default="v1")
    parser.add_argument("--slots", type=int, default=12)
    parser.add_argument("--work", type=float, default=90.0)
    parser.add_argument("--beat", type=float, default=1.5)
    parser.add_argument("--journal", default="")
    parser.add_argument("--crash-path", default="")
    parser.add_argument("--crash-after", type=float, default=0.0)
    asyncio.run(Upstream(parser.parse_args()).run())


if __name__ == "__main__":
    run_upstream()
