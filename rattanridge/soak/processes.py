"""The processes of a soak: a store, and hosts with a node and an upstream each."""

import asyncio
import collections.abc
import dataclasses
import functools
import json
import pathlib
import signal
import sys

import aiohttp
import msgspec
import yaml

from rattanridge.mesh import configs
from rattanridge.soak import proxy as proxies
from rattanridge.standin import fleet

START_LIMIT = 20.0  # seconds
STOP_LIMIT = 12.0  # seconds from SIGTERM until a process is killed
GRACE = 6.0  # seconds of grace that a node has when it drains
POLL_INTERVAL = 0.05  # seconds
SERVICES = ("registry", "workshop", "payments")
ZONES = ("zone-a", "zone-b")


class ManagedProcess:
    """One process that can be started repeatedly.

    :param name: name of its log file, without suffix.
    :param directory: directory of its log file.
    :param arguments: arguments of the command ``rattanridge``.
    """

    def __init__(self, name: str, directory: pathlib.Path, arguments: list[str]):
        self.name = name
        self.directory = directory
        self.arguments = arguments
        self.process: asyncio.subprocess.Process | None = None
        self.start_count = 0

    async def start(self) -> None:
        """Start the process; its output is appended to the log file."""
        self.start_count += 1
        with (self.directory / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "rattanridge", *self.arguments,
                stdout=log, stderr=log,
            )  # fmt: skip

    def is_running(self) -> bool:
        """Whether the process is running."""
        return self.find_running() is not None

    def find_running(self) -> asyncio.subprocess.Process | None:
        """Return the process if it is running, else None."""
        process = self.process
        return process if process is not None and process.returncode is None else None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it is running."""
        process = self.find_running()
        if process is not None:
            process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process and wait until it has ended."""
        self.signal(signal.SIGKILL)
        await self.wait_ended()

    async def terminate(self) -> int:
        """Send SIGTERM; return the exit status, -9 if the process had to be killed."""
        self.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_LIMIT):
                return await self.wait_ended()
        except TimeoutError:
            await self.kill()
            return -signal.SIGKILL

    async def wait_ended(self) -> int:
        """Wait until the process has ended; return its exit status."""
        if self.process is None:
            raise RuntimeError(f"{self.name} was not started")
        return await self.process.wait()


@dataclasses.dataclass(slots=True)
class Host:
    """A node, its local upstream, and the proxies on the connections of the node.

    :param listen: addresses of the ports of the node, by name.
    :param store_link: proxy between the node and the store.
    :param upstream_link: proxy between the node and the upstream.
    :param journal: file in which the upstream records its runs.
    """

    name: str
    service: str
    listen: dict[str, str]
    node: ManagedProcess
    upstream: ManagedProcess
    store_link: proxies.Proxy
    upstream_link: proxies.Proxy
    journal: pathlib.Path


class Cluster:
    """All processes of one soak.

    :param directory: directory for settings, logs and journals.
    :param size: number of hosts.
    """

    def __init__(self, directory: pathlib.Path, size: int):
        self.directory = directory
        self.size = size
        self.store_address = next(fleet.FREE_ADDRESSES)
        self.store = ManagedProcess(
            "store",
            directory,
            ["standin", "platform", "--address", self.store_address],
        )
        self.hosts: list[Host] = []
        self.session: aiohttp.ClientSession

    async def start(self) -> None:
        """Start the store and all hosts.

        Raise ``TimeoutError`` if one of them does not answer.
        """
        self.session = aiohttp.ClientSession()
        await self.store.start()
        await self.wait(self.reset_store_faults)
        for index in range(self.size):
            self.hosts.append(await self.add_host(index))
        for host in self.hosts:
            await self.wait(functools.partial(self.fetch_state, host))

    async def add_host(self, index: int) -> Host:
        """Start the processes and the proxies of one host."""
        name = f"host-{index}"
        service = SERVICES[index % len(SERVICES)]
        upstream_address = next(fleet.FREE_ADDRESSES)
        store_link = proxies.Proxy(self.store_address)
        upstream_link = proxies.Proxy(upstream_address)
        await store_link.start()
        await upstream_link.start()
        ports = ("callers", "hops", "ready", "heartbeats")
        listen = {port: next(fleet.FREE_ADDRESSES) for port in ports}
        settings = {
            "name": name,
            "zone": ZONES[index % len(ZONES)],
            "service": service,
            "upstream": upstream_link.address,
            "store": store_link.address,
            "listen": listen,
            "drain": {"grace": GRACE},
        }
        path = self.directory / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        journal = self.directory / f"{name}.journal"
        node = ManagedProcess(f"{name}-node", self.directory, ["node", "-c", str(path)])
        upstream = ManagedProcess(
            f"{name}-upstream",
            self.directory,
            [
                "standin", "upstream", "--service", service,
                "--address", upstream_address, "--tell", upstream_link.address,
                "--node", listen["heartbeats"], "--journal", str(journal),
            ],
        )  # fmt: skip
        await node.start()
        await upstream.start()
        return Host(
            name, service, listen, node, upstream, store_link, upstream_link, journal
        )

    async def stop(self) -> None:
        """Kill the processes that this soak started, and no others."""
        for host in self.hosts:
            for process in (host.upstream, host.node):
                if process.is_running():
                    await process.kill()
            await host.store_link.stop()
            await host.upstream_link.stop()
        if self.store.is_running():
            await self.store.kill()
        await self.session.close()

    async def wait(
        self,
        condition: collections.abc.Callable[[], collections.abc.Awaitable[object]],
        seconds: float = START_LIMIT,
    ) -> None:
        """Wait until a condition holds; raise ``TimeoutError`` after ``seconds``.

        :param condition: called without arguments; its result is awaited.
        """
        async with asyncio.timeout(seconds):
            while not await condition():
                await asyncio.sleep(POLL_INTERVAL)

    async def reset_store_faults(self) -> bool:
        """Clear the faults of the store; return whether it answered."""
        return await self.set_store_faults() is not None

    async def set_store_faults(self, **faults: object) -> dict | None:
        """Replace the faults of the store; return them, None if there is no answer."""
        url = f"http://{self.store_address}/faults"
        try:
            async with self.session.put(url, data=json.dumps(faults)) as response:
                return await response.json()
        except (aiohttp.ClientError, OSError):
            return None

    async def return_store(self, seconds: float) -> bool:
        """Let the store return from a copy of some age; return whether it did."""
        url = f"http://{self.store_address}/return"
        try:
            async with self.session.post(url, data=json.dumps(seconds)) as response:
                return response.status == 200
        except (aiohttp.ClientError, OSError):
            return False

    async def set_upstream_faults(self, host: Host, **faults: object) -> bool:
        """Replace the faults of an upstream; return whether it answered."""
        url = f"http://{host.upstream_link.target}/-/faults"
        timeout = aiohttp.ClientTimeout(total=1.0)
        try:
            async with self.session.put(
                url, data=json.dumps(faults), timeout=timeout
            ) as response:
                return response.status == 200
        except (TimeoutError, aiohttp.ClientError, OSError):
            return False

    async def fetch_state(self, host: Host) -> configs.State | None:
        """Return the configuration state of a node; None if it does not answer."""
        url = f"http://{host.listen['hops']}{configs.STATE_PATH}"
        timeout = aiohttp.ClientTimeout(total=1.0)
        try:
            async with self.session.get(url, timeout=timeout) as response:
                return msgspec.json.decode(await response.read(), type=configs.State)
        except (TimeoutError, aiohttp.ClientError, OSError, msgspec.MsgspecError):
            return None
