"""What goes wrong in a soak: plug-ins, each with its begin and its end."""

import asyncio
import collections.abc
import dataclasses
import signal

from rattanridge.kernel import registry
from rattanridge.soak import parts, proxy, schedule

STORE_FAULTS = (
    ("down", True),
    ("silent", True),
    ("lost", True),
    ("delay", 0.5),
    ("deaf", True),
    ("mute", True),
)

Fault = collections.abc.Callable[
    [parts.World, parts.Host, schedule.Planned], collections.abc.Awaitable[None]
]
FAULTS: registry.Registry[Fault] = registry.Registry("fault")


async def kill_part(part: parts.Part, planned: schedule.Planned) -> None:
    """Kill a process and start it again after a while."""
    await part.kill()
    await asyncio.sleep(planned.lasts)
    await part.start()


async def pause_part(part: parts.Part, planned: schedule.Planned) -> None:
    """Let a process stand still for a while."""
    part.signal(signal.SIGSTOP)
    await asyncio.sleep(planned.lasts)
    part.signal(signal.SIGCONT)


@FAULTS.register("node-kill")
async def kill_node(
    world: parts.World, host: parts.Host, planned: schedule.Planned
) -> None:
    """Kill a node; it comes back."""
    await kill_part(host.node, planned)


@FAULTS.register("node-stop")
async def stop_node(
    world: parts.World, host: parts.Host, planned: schedule.Planned
) -> None:
    """Stop a node as planned; it comes back."""
    await host.node.terminate()
    await host.node.start()


@FAULTS.register("node-pause")
async def pause_node(
    world: parts.World, host: parts.Host, planned: schedule.Planned
) -> None:
    """Let a node stand still."""
    await pause_part(host.node, planned)


@FAULTS.register("node-reload")
async def reload_node(
    world: parts.World, host: parts.Host, planned: schedule.Planned
) -> None:
    """Let a node read its settings again, once it has started."""
    # Before its handlers are set, the signal would end the process.
    await world.wait(lambda: world.state(host))
    host.node.signal(signal.SIGHUP)


@FAULTS.register("upstream-kill")
async def kill_upstream(
    world: parts.World, host: parts.Host, planned: schedule.Planned
) -> None:
    """Kill an upstream; another incarnation comes."""
    await kill_part(host.upstream, planned)


@FAULTS.register("upstream-drain")
async def drain_upstream(
    world: parts.World, host: parts.Host, planned: schedule.Planned
) -> None:
    """Let an upstream leave as planned; another one comes in its place."""
    await host.upstream.terminate()
    await asyncio.sleep(planned.lasts)
    await host.upstream.start()


@FAULTS.register("upstream-pause")
async def pause_upstream(
    world: parts.World, host: parts.Host, planned: schedule.Planned
) -> None:
    """Let an upstream stand still."""
    await pause_part(host.upstream, planned)


@FAULTS.register("link-faults")
async def spoil_link(
    world: parts.World, host: parts.Host, planned: schedule.Planned
) -> None:
    """Delay, reset, cut one way or silence the way to the store or the upstream."""
    modes = [
        proxy.Mode(delay=planned.lasts / 10),
        proxy.Mode(mute_up=True),
        proxy.Mode(mute_down=True),
        proxy.Mode(mute_up=True, mute_down=True),
        proxy.Mode(refuse=True),
    ]
    links = [host.store_link, host.upstream_link]
    link, mode = planned.choose([(link, mode) for link in links for mode in modes])
    link.mode = mode
    if mode.refuse:
        link.reset()
    await asyncio.sleep(planned.lasts)
    link.mode = proxy.Mode()
    # Bytes were lost on the connections that were muted.
    link.reset()


@FAULTS.register(schedule.STORE)
async def spoil_store(
    world: parts.World, host: parts.Host, planned: schedule.Planned
) -> None:
    """Let the store misbehave for all nodes."""
    name, value = planned.choose(STORE_FAULTS)
    await world.set_store_faults(**{name: value})
    await asyncio.sleep(planned.lasts)
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
    """Plays a schedule; what can't be done at its time is noted and skipped."""

    def __init__(self, world: parts.World, faults: list[schedule.Planned]):
        self.world = world
        self.faults = faults
        self.running: dict[str, asyncio.Task] = {}
        self.windows: list[Window] = []
        self.skipped: list[schedule.Planned] = []

    async def run(self) -> None:
        """Begin each fault at its time, then wait until all have ended."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        for planned in self.faults:
            await asyncio.sleep(began + planned.at - loop.time())
            if planned.key() in self.running:
                self.skipped.append(planned)
            else:
                self.begin(planned)
        await asyncio.gather(*self.running.values())

    def begin(self, planned: schedule.Planned) -> None:
        """Begin one fault."""
        window = Window(planned.name, planned.key(), asyncio.get_running_loop().time())
        self.windows.append(window)
        host = self.world.hosts[planned.host]
        work = FAULTS.get(planned.name)(self.world, host, planned)
        task = self.running[window.key] = asyncio.create_task(work)
        task.add_done_callback(lambda done: self.end(window))

    def end(self, window: Window) -> None:
        """A fault has ended."""
        window.ended = asyncio.get_running_loop().time()
        self.running.pop(window.key, None)
