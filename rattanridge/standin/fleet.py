"""A small mesh on loopback in one process: a store, nodes and upstreams."""

import asyncio
import collections.abc
import dataclasses
import itertools
import socket
import time
import typing

import msgspec

from rattanridge.admin import presets as preset_store
from rattanridge.kernel import codes, presets, routes, settings as fields
from rattanridge.mesh import node as nodes, settings
from rattanridge.standin import metadata, upstream as upstreams

LOOPBACK = "127.0.0.1"
READY_LIMIT = 20.0  # seconds
POLL_INTERVAL = 0.01  # seconds
TOKENS = [
    fields.Token(name="olga", secret="olga-secret-token", role="operator"),
    fields.Token(name="victor", secret="victor-secret-token", role="viewer"),
]
# Each process reserves its own block of ports. The blocks lie below the range from
# which operating systems assign ephemeral ports.
FIRST_PORT = 15_000
PORTS_PER_PROCESS = 800
MAX_PROCESSES = 20


def reserve_ports() -> tuple[socket.socket, range]:
    """Reserve a block of ports that no other stand-in process on this machine uses.

    Return the ports and the socket that reserves them for as long as it is open.
    """
    for block in range(MAX_PROCESSES):
        first = FIRST_PORT + block * PORTS_PER_PROCESS
        guard = socket.socket()
        try:
            guard.bind((LOOPBACK, first))
        except OSError:
            guard.close()
            continue
        return guard, range(first + 1, first + PORTS_PER_PROCESS)
    raise codes.Failure(
        codes.CANNOT_LISTEN,
        "all port blocks for stand-ins are in use by other processes",
    )


def free_addresses() -> collections.abc.Iterator[str]:
    """Yield loopback addresses at which nothing listens at the moment."""
    guard, ports = reserve_ports()
    with guard:
        for port in itertools.cycle(ports):
            with socket.socket() as probe:
                try:
                    probe.bind((LOOPBACK, port))
                except OSError:
                    continue
            yield f"{LOOPBACK}:{port}"


FREE_ADDRESSES = free_addresses()


@dataclasses.dataclass(slots=True)
class Host:
    """One host: a node and its local upstream."""

    node: nodes.Node
    upstream: upstreams.Upstream


class Fleet:
    """Starts and stops hosts that share one stand-in of the store.

    :param seed: seed of the upstreams; each adds the number of hosts before it.
    """

    def __init__(self, seed: int = 1):
        self.seed = seed
        self.store = metadata.MetadataStore()
        self.hosts: dict[str, Host] = {}

    async def __aenter__(self) -> "Fleet":
        await self.store.start()
        return self

    async def __aexit__(self, *error: object) -> None:
        await self.stop()

    def settings_for(
        self, name: str, zone: str, service: str, upstream: str, **more: typing.Any
    ) -> settings.Settings:
        """Return the settings of a node; ``more`` sets further fields."""
        given: dict[str, typing.Any] = {"tokens": TOKENS} | more
        return settings.Settings(
            name=name,
            zone=zone,
            service=service,
            upstream=upstream,
            store=self.store.address,
            listen=settings.Listen(*(next(FREE_ADDRESSES) for _ in range(6))),
            **given,
        )

    async def add(
        self,
        name: str,
        zone: str,
        shape: upstreams.Shape,
        renew: bool = True,
        **more: typing.Any,
    ) -> Host:
        """Start an upstream and its node.

        :param renew: whether the upstream repeats its heartbeat after the first one.
        """
        seed = self.seed + len(self.hosts)
        upstream = upstreams.Upstream(shape, seed=seed)
        await upstream.listen(next(FREE_ADDRESSES))
        config = self.settings_for(name, zone, shape.service, upstream.address, **more)
        node = nodes.Node(config)
        await node.start()
        host = self.hosts[name] = Host(node, upstream)
        await upstream.start_heartbeats(config.listen.heartbeats, renew)
        return host

    async def put_preset(self, preset: presets.Preset, operator: str = "olga") -> int:
        """Store a preset and put it in force; return its generation."""
        node = next(iter(self.hosts.values())).node
        operations = preset_store.Presets(node.store)
        await operations.put(preset.name, preset_text(preset), operator)
        chosen = await operations.use(preset.name, operator)
        return chosen.generation

    async def wait_applied(
        self, generation: int, seconds: float = READY_LIMIT
    ) -> float:
        """Wait until every node has applied a generation; return the seconds taken.

        Nodes that started before there was one then check their upstreams, too.
        """
        started_at = time.monotonic()
        nodes = [host.node for host in self.hosts.values()]
        await self.wait(
            lambda: all(node.configs.version >= generation for node in nodes), seconds
        )
        taken = time.monotonic() - started_at
        await self.wait_checked(seconds)
        return taken

    async def wait_checked(self, seconds: float = READY_LIMIT) -> None:
        """Wait until no upstream of a service in force awaits its health check."""
        checks = [host.node.confirmation for host in self.hosts.values()]
        await self.wait(
            lambda: (
                not any(
                    item.health_path() and item.upstream.awaits_confirmation()
                    for item in checks
                )
            ),
            seconds,
        )

    async def wait_endpoints(self, seconds: float = READY_LIMIT) -> None:
        """Wait until every node lists every endpoint as a candidate, and checked it."""
        await self.wait(
            lambda: all(
                self.hosts.keys() <= host.node.directory.candidates.keys()
                for host in self.hosts.values()
            ),
            seconds,
        )
        await self.wait_checked(seconds)

    async def wait(
        self,
        condition: collections.abc.Callable[[], bool],
        seconds: float = READY_LIMIT,
    ) -> None:
        """Wait until a condition holds; raise ``TimeoutError`` after ``seconds``."""
        async with asyncio.timeout(seconds):
            while not condition():
                await asyncio.sleep(POLL_INTERVAL)

    async def remove(self, name: str, graceful: bool = False) -> None:
        """Stop one host: gracefully, or abruptly as in a failure."""
        host = self.hosts.pop(name)
        if graceful:
            await host.upstream.drain_and_stop()
            await host.node.stop()
            return
        await host.node.close()
        await host.upstream.stop()

    async def stop(self) -> None:
        """Stop all hosts abruptly, then the store."""
        await asyncio.gather(*(self.remove(name) for name in list(self.hosts)))
        await self.store.stop()


def preset_text(preset: presets.Preset) -> str:
    """Return a preset as YAML text; JSON is a subset of YAML."""
    return msgspec.json.encode(preset).decode()


def make_preset(name: str, services: list[str], timeout: float = 5.0) -> presets.Preset:
    """Return a preset with two routes for each service.

    GET requests are idempotent; POST requests carry an idempotency key.

    :param timeout: seconds, for all routes.
    """
    found = []
    for service in services:
        common: dict[str, typing.Any] = {
            "prefix": f"/{service}",
            "service": service,
            "timeout": timeout,
        }
        key = routes.KeySource("header", upstreams.IDEMPOTENCY_KEY)
        found.append(presets.Route(methods=["GET"], idempotent=True, **common))
        found.append(presets.Route(methods=["POST"], key=key, **common))
    return presets.Preset(
        name=name,
        services={service: presets.Service() for service in services},
        routes=found,
    )
