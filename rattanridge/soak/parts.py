"""The processes of a soak: a store, and hosts with a node and an upstream each."""

import asyncio
import dataclasses
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
STOP_LIMIT = 12.0  # seconds from SIGTERM
GRACE = 6.0  # seconds of a node
STEP = 0.05  # seconds between looks
SERVICES = ("registry", "workshop", "payments")
ZONES = ("zone-a", "zone-b")


class Part:
    """One process, started again and again.

    :param name: of its log file.
    :param arguments: of the command ``rattanridge``.
    """

    def __init__(self, name: str, directory: pathlib.Path, arguments: list[str]):
        self.name = name
        self.directory = directory
        self.arguments = arguments
        self.process: asyncio.subprocess.Process | None = None
        self.lives = 0

    async def start(self) -> None:
        """Start the process."""
        self.lives += 1
        with (self.directory / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "rattanridge", *self.arguments,
                stdout=log, stderr=log,
            )  # fmt: skip

    def running(self) -> bool:
        """Whether the process lives."""
        return self.process is not None and self.process.returncode is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it lives."""
        if self.running():
            self.process.send_signal(number)

    async def kill(self) -> None:
        """End the process at once."""
        self.signal(signal.SIGKILL)
        await self.process.wait()

    async def terminate(self) -> int:
        """Ask the process to end; return its exit status, -9 if it had to be killed."""
        self.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_LIMIT):
                return await self.process.wait()
        except TimeoutError:
            await self.kill()
            return -signal.SIGKILL


@dataclasses.dataclass(slots=True)
class Host:
    """A node with the upstream beside it, and the proxies on its ways.

    :param store_link: between the node and the store.
    :param upstream_link: between the node and the upstream.
    """

    name: str
    service: str
    listen: dict[str, str]
    node: Part
    upstream: Part
    store_link: proxies.Proxy
    upstream_link: proxies.Proxy
    journal: pathlib.Path


class World:
    """All processes of one soak.

    :param directory: for settings, logs and journals.
    :param size: hosts.
    """

    def __init__(self, directory: pathlib.Path, size: int):
        self.directory = directory
        self.size = size
        self.store_address = next(fleet.ADDRESSES)
        self.store = Part(
            "store",
            directory,
            ["standin", "platform", "--address", self.store_address],
        )
        self.hosts: list[Host] = []
        self.session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Start the store and all hosts."""
        self.session = aiohttp.ClientSession()
        await self.store.start()
        await self.wait(self.store_answers)
        for index in range(self.size):
            self.hosts.append(await self.add(index))
        for host in self.hosts:
            await self.wait(lambda host=host: self.state(host))

    async def add(self, index: int) -> Host:
        """Start one host."""
        name = f"host-{index}"
        service = SERVICES[index % len(SERVICES)]
        upstream_address = next(fleet.ADDRESSES)
        store_link = proxies.Proxy(self.store_address)
        upstream_link = proxies.Proxy(upstream_address)
        await store_link.start()
        await upstream_link.start()
        ports = ("callers", "hops", "ready", "heartbeats")
        listen = {port: next(fleet.ADDRESSES) for port in ports}
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
        node = Part(f"{name}-node", self.directory, ["node", "-c", str(path)])
        upstream = Part(
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
        """End all processes of this soak, and nothing else."""
        for host in self.hosts:
            for part in (host.upstream, host.node):
                if part.running():
                    await part.kill()
            await host.store_link.stop()
            await host.upstream_link.stop()
        if self.store.running():
            await self.store.kill()
        await self.session.close()

    async def wait(self, condition, seconds: float = START_LIMIT) -> None:
        """Wait until an awaitable condition holds."""
        async with asyncio.timeout(seconds):
            while not await condition():
                await asyncio.sleep(STEP)

    async def store_answers(self) -> bool:
        """Whether the store takes calls."""
        return await self.set_store_faults() is not None

    async def set_store_faults(self, **faults: object) -> dict | None:
        """Set what the store does wrong; None if it does not answer."""
        url = f"http://{self.store_address}/faults"
        try:
            async with self.session.put(url, data=json.dumps(faults)) as response:
                return await response.json()
        except (aiohttp.ClientError, OSError):
            return None

    async def state(self, host: Host) -> configs.State | None:
        """Return what a node has in force; None if it does not answer."""
        url = f"http://{host.listen['hops']}{configs.STATE_PATH}"
        limit = aiohttp.ClientTimeout(total=1.0)
        try:
            async with self.session.get(url, timeout=limit) as response:
                return msgspec.json.decode(await response.read(), type=configs.State)
        except (TimeoutError, aiohttp.ClientError, OSError, msgspec.MsgspecError):
            return None
