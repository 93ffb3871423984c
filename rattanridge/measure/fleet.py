"""A small fleet on loopback in one process: platform, nodes and upstreams."""

import asyncio
import dataclasses
import time

import msgspec

from rattanridge import node as nodes
from rattanridge.kernel import presets, settings
from rattanridge.standin import platform as platforms, upstream as upstreams

KEY = "fleet-shared-key"
TOKENS = [
    settings.Token(name="olga", secret="olga-secret-token", role="operator"),
    settings.Token(name="victor", secret="victor-secret-token", role="viewer"),
]
READY_LIMIT = 20.0  # seconds


@dataclasses.dataclass(slots=True)
class Host:
    """One host: a node with the upstream beside it, if any."""

    node: nodes.Node
    upstream: upstreams.Upstream | None = None


class Fleet:
    """Starts and stops hosts around one platform stand-in.

    :param seed: seed of the stand-ins.
    :param control: times of the control path for all nodes.
    """

    def __init__(self, seed: int = 1, control: settings.ControlSettings | None = None):
        self.seed = seed
        self.control = control or settings.ControlSettings()
        self.platform = platforms.Platform(seed)
        self.hosts: dict[str, Host] = {}

    async def __aenter__(self) -> "Fleet":
        await self.platform.start()
        return self

    async def __aexit__(self, *error: object) -> None:
        await self.stop()

    def settings_for(
        self, name: str, zone: str, **more: object
    ) -> settings.NodeSettings:
        """Return a node's settings; ``more`` sets further fields."""
        fields = {"control": self.control, "tokens": TOKENS} | more
        return settings.NodeSettings(
            name=name, zone=zone, platform=[self.platform.url], key=KEY, **fields
        )

    async def add(
        self,
        name: str,
        zone: str,
        shape: upstreams.Shape | None = None,
        **more: object,
    ) -> Host:
        """Start a node, and an upstream beside it if a shape is given."""
        node = nodes.Node(self.settings_for(name, zone, **more))
        await node.start()
        host = Host(node)
        self.hosts[name] = host
        if shape is not None:
            await self.add_upstream(host, shape)
        return host

    async def add_upstream(self, host: Host, shape: upstreams.Shape) -> None:
        seed = self.seed + len(self.hosts)
        host.upstream = upstreams.Upstream(shape, host.node.local_url, seed)
        await host.upstream.start()

    async def put_preset(self, preset: presets.Preset, operator: str = "olga") -> int:
        """Store a preset and put it in force; return the generation."""
        admin = next(iter(self.hosts.values())).node.admin
        text = preset_text(preset)
        await admin.presets.put(preset.name, text, operator)
        chosen = await admin.presets.use(preset.name, operator)
        return chosen.generation

    async def wait_applied(
        self, generation: int, seconds: float = READY_LIMIT
    ) -> float:
        """Wait until every node applies a generation; return the seconds taken."""
        began = time.monotonic()
        await self.wait(
            lambda: all(
                host.node.state.generation >= generation for host in self.hosts.values()
            ),
            seconds,
        )
        return time.monotonic() - began

    async def wait_endpoints(self, seconds: float = READY_LIMIT) -> None:
        """Wait until every node knows every endpoint that is up."""
        up = {name for name, host in self.hosts.items() if host.upstream}

        def known(host: Host) -> bool:
            services = host.node.entry.endpoints.services.values()
            return up <= {name for group in services for name in group}

        await self.wait(
            lambda: all(known(host) for host in self.hosts.values()), seconds
        )

    async def wait(self, condition, seconds: float = READY_LIMIT) -> None:
        """Wait until a condition holds; ``TimeoutError`` if it does not."""
        async with asyncio.timeout(seconds):
            while not condition():
                await asyncio.sleep(0.01)

    async def remove(self, name: str, graceful: bool = False) -> None:
        """Stop one host: gracefully, or at once as a failure would."""
        host = self.hosts.pop(name)
        if graceful:
            await host.node.stop()
        else:
            host.node.member.lease = None
            await host.node.close()
        if host.upstream is not None:
            await host.upstream.stop()

    async def stop(self) -> None:
        await asyncio.gather(*(self.remove(name) for name in list(self.hosts)))
        await self.platform.stop()


def preset_text(preset: presets.Preset) -> str:
    """Return a preset as YAML text (JSON is YAML)."""
    return msgspec.json.encode(preset).decode()


def make_preset(name: str, services: list[str], timeout: float = 5.0) -> presets.Preset:
    """Return a preset with a reading and a working route for each service."""
    routes = []
    for service in services:
        common = {"prefix": f"/{service}", "service": service, "timeout": timeout}
        key = presets.KeySource(source="header", name="Idempotency-Key")
        routes.append(presets.Route(methods=["GET"], idempotent=True, **common))
        routes.append(presets.Route(methods=["POST"], key=key, **common))
    return presets.Preset(
        name=name,
        services={service: presets.Service(warmup=0.0) for service in services},
        routes=routes,
    )
