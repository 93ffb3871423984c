"""What goes wrong in a soak: plug-ins, each with its begin and its end."""

import asyncio
import collections.abc
import dataclasses
import random
import signal

from rattanridge.kernel import registry
from rattanridge.soak import parts, proxy

LONGEST = 3.0  # seconds that a fault lasts at most
SHORTEST = 0.3  # seconds
STORE_FAULTS = (
    ("down", True),
    ("silent", True),
    ("lost", True),
    ("delay", 0.5),
    ("deaf", True),
    ("mute", True),
)

Fault = collections.abc.Callable[
    [parts.World, parts.Host, random.Random], collections.abc.Awaitable[None]
]
FAULTS: registry.Registry[Fault] = registry.Registry("fault")


async def last(rng: random.Random) -> None:
    """Let a fault last for a while."""
    await asyncio.sleep(rng.uniform(SHORTEST, LONGEST))


async def kill_part(part: parts.Part, rng: random.Random) -> None:
    """Kill a process and start it again after a while."""
    await part.kill()
    await last(rng)
    await part.start()


async def pause_part(part: parts.Part, rng: random.Random) -> None:
    """Let a process stand still for a while."""
    part.signal(signal.SIGSTOP)
    await last(rng)
    part.signal(signal.SIGCONT)


@FAULTS.register("node-kill")
async def kill_node(world: parts.World, host: parts.Host, rng: random.Random) -> None:
    """Kill a node; it comes back."""
    await kill_part(host.node, rng)


@FAULTS.register("node-stop")
async def stop_node(world: parts.World, host: parts.Host, rng: random.Random) -> None:
    """Stop a node as planned; it comes back."""
    await host.node.terminate()
    await host.node.start()


@FAULTS.register("node-pause")
async def pause_node(world: parts.World, host: parts.Host, rng: random.Random) -> None:
    """Let a node stand still."""
    await pause_part(host.node, rng)


@FAULTS.register("node-reload")
async def reload_node(world: parts.World, host: parts.Host, rng: random.Random) -> None:
    """Let a node read its settings again, once it has started."""
    # Before its handlers are set, the signal would end the process.
    await world.wait(lambda: world.state(host))
    host.node.signal(signal.SIGHUP)


@FAULTS.register("upstream-kill")
async def kill_upstream(
    world: parts.World, host: parts.Host, rng: random.Random
) -> None:
    """Kill an upstream; another incarnation comes."""
    await kill_part(host.upstream, rng)


@FAULTS.register("upstream-drain")
async def drain_upstream(
    world: parts.World, host: parts.Host, rng: random.Random
) -> None:
    """Let an upstream leave as planned; another one comes in its place."""
    await host.upstream.terminate()
    await last(rng)
    await host.upstream.start()


@FAULTS.register("upstream-pause")
async def pause_upstream(
    world: parts.World, host: parts.Host, rng: random.Random
) -> None:
    """Let an upstream stand still."""
    await pause_part(host.upstream, rng)


@FAULTS.register("link-faults")
async def spoil_link(world: parts.World, host: parts.Host, rng: random.Random) -> None:
    """Delay, reset, cut one way or silence the way to the store or the upstream."""
    link = rng.choice([host.store_link, host.upstream_link])
    link.mode = rng.choice(
        [
            proxy.Mode(delay=rng.uniform(0.01, 0.3)),
            proxy.Mode(mute_up=True),
            proxy.Mode(mute_down=True),
            proxy.Mode(mute_up=True, mute_down=True),
            proxy.Mode(refuse=True),
        ]
    )
    if link.mode.refuse:
        link.reset()
    await last(rng)
    link.mode = proxy.Mode()
    # Bytes were lost on the connections that were muted.
    link.reset()


@FAULTS.register("store-faults")
async def spoil_store(world: parts.World, host: parts.Host, rng: random.Random) -> None:
    """Let the store misbehave for all nodes."""
    name, value = rng.choice(STORE_FAULTS)
    await world.set_store_faults(**{name: value})
    await last(rng)
    await world.set_store_faults()


@dataclasses.dataclass(slots=True)
class Window:
    """One fault from its begin to its end, in seconds of the loop's clock.

    :param key: host that it hits, or ``store``.
    """

    name: str
    key: str
    began: float
    ended: float = float("inf")


class Trouble:
    """Starts faults at random, in series and overlapping.

    :param most: faults at once.
    """

    def __init__(self, world: parts.World, rng: random.Random, most: int = 3):
        self.world = world
        self.random = rng
        self.most = most
        self.running: dict[str, asyncio.Task] = {}
        self.windows: list[Window] = []

    async def run(self, seconds: float) -> None:
        """Make trouble for some seconds, then wait until all faults have ended."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while loop.time() < end:
            await asyncio.sleep(self.random.uniform(0.1, 1.2))
            self.begin()
        await asyncio.gather(*self.running.values())

    def begin(self) -> None:
        """Begin one fault at a host that has none, if there may be one more."""
        free = [host for host in self.world.hosts if host.name not in self.running]
        if len(self.running) >= self.most or not free:
            return
        host = self.random.choice(free)
        name = self.random.choice(FAULTS.names())
        key = "store" if name == "store-faults" else host.name
        if key in self.running:
            return
        loop = asyncio.get_running_loop()
        window = Window(name, key, loop.time())
        self.windows.append(window)
        work = FAULTS.get(name)(self.world, host, self.random)
        task = self.running[key] = asyncio.create_task(work)
        task.add_done_callback(lambda done: self.end(window))

    def end(self, window: Window) -> None:
        """A fault has ended."""
        window.ended = asyncio.get_running_loop().time()
        self.running.pop(window.key, None)
