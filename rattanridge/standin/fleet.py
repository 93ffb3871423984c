"""A small mesh on loopback in one process: store, nodes and upstreams."""

import asyncio
import collections.abc
import dataclasses
import itertools
import socket
import time

import msgspec

from rattanridge.admin import presets as preset_store
from rattanridge.kernel import codes, presets, routes, settings as fields
from rattanridge.mesh import node as nodes, settings
from rattanridge.standin import metadata, upstream as upstreams

LOOPBACK = "127.0.0.1"
READY_LIMIT = 20.0  # seconds
STEP = 0.01  # seconds between looks
TOKENS = [
    fields.Token(name="olga", secret="olga-secret-token", role="operator"),
    fields.Token(name="victor", secret="victor-secret-token", role="viewer"),
]
# Each process takes ports of its own, below those that systems give out.
FIRST_PORT = 15_000
PORTS_PER_PROCESS = 800
PROCESSES_MOST = 20


def claim_ports() -> tuple[socket.socket, range]:
    """Return ports that no other process here takes, and the socket that guards them
    for as long as it is open."""
    for place in range(PROCESSES_MOST):
        first = FIRST_PORT + place * PORTS_PER_PROCESS
        guard = socket.socket()
        try:
            guard.bind((LOOPBACK, first))
        except OSError:
            guard.close()
            continue
        return guard, range(first + 1, first + PORTS_PER_PROCESS)
    raise codes.Failure(codes.CANNOT_LISTEN, "all ports for stand-ins are taken")


def free_addresses() -> collections.abc.Iterator[str]:
    """Yield addresses at which nothing listens just now."""
    guard, ports = claim_ports()
    with guard:
        for port in itertools.cycle(ports):
            with socket.socket() as probe:
                try:
                    probe.bind((LOOPBACK, port))
                except OSError:
                    continue
            yield f"{LOOPBACK}:{port}"


ADDRESSES = free_addresses()


@dataclasses.dataclass(slots=True)
class Host:
    """One host: a node with the upstream beside it."""

    node: nodes.Node
    upstream: upstreams.Upstream


class Fleet:
    """Starts and stops hosts around one stand-in of the store.

    :param seed: seed of the upstreams.
    """

    def __init__(self, seed: int = 1):
        self.seed = seed
        self.store = metadata.Metadata()
        self.hosts: dict[str, Host] = {}

    async def __aenter__(self) -> "Fleet":
        await self.store.start()
        return self

    async def __aexit__(self, *error: object) -> None:
        await self.stop()

    def settings_for(
        self, name: str, zone: str, service: str, upstream: str, **more: object
    ) -> settings.Settings:
        """Return a node's settings; ``more`` sets further fields."""
        given = {"tokens": TOKENS} | more
        return settings.Settings(
            name=name,
            zone=zone,
            service=service,
            upstream=upstream,
            store=self.store.address,
            listen=settings.Listen(*(next(ADDRESSES) for _ in range(6))),
            **given,
        )

    async def add(
        self,
        name: str,
        zone: str,
        shape: upstreams.Shape,
        renew: bool = True,
        **more: object,
    ) -> Host:
        """Start an upstream and the node beside it.

        :param renew: whether heartbeats go on after the first one.
        """
        seed = self.seed + len(self.hosts)
        upstream = upstreams.Upstream(shape, seed=seed)
        await upstream.listen(next(ADDRESSES))
        config = self.settings_for(name, zone, shape.service, upstream.address, **more)
        node = nodes.Node(config)
        await node.start()
        host = self.hosts[name] = Host(node, upstream)
        await upstream.report_to(config.listen.heartbeats, renew)
        return host

    async def put_preset(self, preset: presets.Preset, operator: str = "olga") -> int:
        """Store a preset and put it in force; return the generation."""
        node = next(iter(self.hosts.values())).node
        operations = preset_store.Presets(node.store)
        await operations.put(preset.name, preset_text(preset), operator)
        chosen = await operations.use(preset.name, operator)
        return chosen.generation

    async def wait_applied(
        self, generation: int, seconds: float = READY_LIMIT
    ) -> float:
        """Wait until every node applies a generation; return the seconds taken."""
        began = time.monotonic()
        await self.wait(
            lambda: all(
                host.node.configs.version >= generation for host in self.hosts.values()
            ),
            seconds,
        )
        return time.monotonic() - began

    async def wait_endpoints(self, seconds: float = READY_LIMIT) -> None:
        """Wait until every node knows every endpoint."""
        await self.wait(
            lambda: all(
                self.hosts.keys() <= host.node.directory.candidates.keys()
                for host in self.hosts.values()
            ),
            seconds,
        )

    async def wait(
        self,
        condition: collections.abc.Callable[[], bool],
        seconds: float = READY_LIMIT,
    ) -> None:
        """Wait until a condition holds; ``TimeoutError`` if it does not."""
        async with asyncio.timeout(seconds):
            while not condition():
                await asyncio.sleep(STEP)

    async def remove(self, name: str, graceful: bool = False) -> None:
        """Stop one host: gracefully, or at once as a failure would."""
        host = self.hosts.pop(name)
        if graceful:
            await host.upstream.leave()
            await host.node.stop()
            return
        await host.node.close()
        await host.upstream.stop()

    async def stop(self) -> None:
        """Stop everything at once."""
        await asyncio.gather(*(self.remove(name) for name in list(self.hosts)))
        await self.store.stop()


def preset_text(preset: presets.Preset) -> str:
    """Return a preset as YAML text (JSON is YAML)."""
    return msgspec.json.encode(preset).decode()


def make_preset(name: str, services: list[str], timeout: float = 5.0) -> presets.Preset:
    """Return a preset with a reading and a working route for each service."""
    found = []
    for service in services:
        common = {"prefix": f"/{service}", "service": service, "timeout": timeout}
        key = routes.KeySource("header", upstreams.KEY)
        found.append(presets.Route(methods=["GET"], idempotent=True, **common))
        found.append(presets.Route(methods=["POST"], key=key, **common))
    return presets.Preset(
        name=name,
        services={service: presets.Service() for service in services},
        routes=found,
    )
