"""Faults that a soak injects, as plug-ins, and the injector of a schedule.

Each plug-in injects one fault and returns once it is removed again.
"""

import asyncio
import collections.abc
import dataclasses
import signal
import typing

from rattanridge.kernel import registry
from rattanridge.soak import processes, proxy, schedule

STORE_FAULTS = (
    ("down", True),
    ("silent", True),
    ("lost", True),
    ("delay", 0.5),
    ("deaf", True),
    ("mute", True),
)
LIMITS = ("0", "0.5", "2", "5", "12.5", "7, 3", "nan")  # requests per second

Fault = collections.abc.Callable[
    [processes.Cluster, processes.Host, schedule.PlannedFault],
    collections.abc.Coroutine[typing.Any, typing.Any, None],
]
FAULTS: registry.Registry[Fault] = registry.Registry("fault")


async def kill_and_restart(
    process: processes.ManagedProcess, planned: schedule.PlannedFault
) -> None:
    """Kill a process and start it again after the duration of the fault."""
    await process.kill()
    await asyncio.sleep(planned.duration)
    await process.start()


async def pause_process(
    process: processes.ManagedProcess, planned: schedule.PlannedFault
) -> None:
    """Suspend a process for the duration of the fault."""
    process.signal(signal.SIGSTOP)
    await asyncio.sleep(planned.duration)
    process.signal(signal.SIGCONT)


@FAULTS.register("node-kill")
async def kill_node(
    cluster: processes.Cluster, host: processes.Host, planned: schedule.PlannedFault
) -> None:
    """Kill a node and restart it."""
    await kill_and_restart(host.node, planned)


@FAULTS.register(schedule.STOP)
async def stop_node(
    cluster: processes.Cluster, host: processes.Host, planned: schedule.PlannedFault
) -> None:
    """Stop a node gracefully and restart it."""
    await host.node.terminate()
    await host.node.start()


@FAULTS.register("node-pause")
async def pause_node(
    cluster: processes.Cluster, host: processes.Host, planned: schedule.PlannedFault
) -> None:
    """Suspend a node."""
    await pause_process(host.node, planned)


@FAULTS.register("node-reload")
async def reload_node(
    cluster: processes.Cluster, host: processes.Host, planned: schedule.PlannedFault
) -> None:
    """Make a node reload its settings, once it has started."""
    # SIGHUP ends a process that has not installed its signal handlers yet.
    await cluster.wait(lambda: cluster.fetch_state(host))
    host.node.signal(signal.SIGHUP)


@FAULTS.register("upstream-kill")
async def kill_upstream(
    cluster: processes.Cluster, host: processes.Host, planned: schedule.PlannedFault
) -> None:
    """Kill an upstream, then start another one in its place."""
    await kill_and_restart(host.upstream, planned)


@FAULTS.register("upstream-drain")
async def drain_upstream(
    cluster: processes.Cluster, host: processes.Host, planned: schedule.PlannedFault
) -> None:
    """Drain and stop an upstream, then start another one in its place."""
    await host.upstream.terminate()
    await asyncio.sleep(planned.duration)
    await host.upstream.start()


@FAULTS.register("upstream-pause")
async def pause_upstream(
    cluster: processes.Cluster, host: processes.Host, planned: schedule.PlannedFault
) -> None:
    """Suspend an upstream."""
    await pause_process(host.upstream, planned)


@FAULTS.register("link-faults")
async def disturb_link(
    cluster: processes.Cluster, host: processes.Host, planned: schedule.PlannedFault
) -> None:
    """Disturb the connections of a node to the store or to its upstream.

    The bytes are delayed, or dropped in one or both directions, or the connections are
    reset.
    """
    modes = [
        proxy.Mode(delay=planned.duration / 10),
        proxy.Mode(drop_to_target=True),
        proxy.Mode(drop_from_target=True),
        proxy.Mode(drop_to_target=True, drop_from_target=True),
        proxy.Mode(refuse=True),
    ]
    links = [host.store_link, host.upstream_link]
    link, mode = planned.choose([(link, mode) for link in links for mode in modes])
    link.mode = mode
    if mode.refuse:
        link.reset()
    await asyncio.sleep(planned.duration)
    link.mode = proxy.Mode()
    # Connections that stayed open may have lost bytes.
    link.reset()


@FAULTS.register(schedule.LIMIT)
async def limit_upstream(
    cluster: processes.Cluster, host: processes.Host, planned: schedule.PlannedFault
) -> None:
    """Make an upstream name a limit on the rate of its requests, if it runs."""
    await cluster.set_upstream_faults(host, limit=planned.choose(LIMITS))
    await asyncio.sleep(planned.duration)
    await cluster.set_upstream_faults(host)


@FAULTS.register(schedule.STORE)
async def set_store_fault(
    cluster: processes.Cluster, host: processes.Host, planned: schedule.PlannedFault
) -> None:
    """Set a fault of the store, which affects all nodes."""
    name, value = planned.choose(STORE_FAULTS)
    await cluster.set_store_faults(**{name: value})
    await asyncio.sleep(planned.duration)
    await cluster.set_store_faults()


@FAULTS.register(schedule.RETURN)
async def return_store(
    cluster: processes.Cluster, host: processes.Host, planned: schedule.PlannedFault
) -> None:
    """Let the store return from a copy that is as old as the duration of the fault."""
    await cluster.return_store(planned.duration)


@dataclasses.dataclass(slots=True)
class Window:
    """The time during which one fault was in force.

    :param target: name of the host that it affected, or ``store``.
    :param started_at: seconds of the event loop's clock, as is ``ended_at``.
    """

    name: str
    target: str
    started_at: float
    ended_at: float = float("inf")


class FaultInjector:
    """Injects the faults of a schedule.

    A fault whose target is still affected by another one is recorded and skipped.
    """

    def __init__(self, cluster: processes.Cluster, faults: list[schedule.PlannedFault]):
        self.cluster = cluster
        self.faults = faults
        self.running: dict[str, asyncio.Task] = {}
        self.windows: list[Window] = []
        self.skipped: list[schedule.PlannedFault] = []

    async def run(self) -> None:
        """Start each fault at its time, then wait until all have ended."""
        loop = asyncio.get_running_loop()
        start = loop.time()
        for planned in self.faults:
            await asyncio.sleep(start + planned.at - loop.time())
            if planned.target() in self.running:
                self.skipped.append(planned)
            else:
                self.start_fault(planned)
        await asyncio.gather(*self.running.values())

    def start_fault(self, planned: schedule.PlannedFault) -> None:
        """Start one fault and record its window."""
        window = Window(
            planned.name, planned.target(), asyncio.get_running_loop().time()
        )
        self.windows.append(window)
        host = self.cluster.hosts[planned.host]
        work = FAULTS.get(planned.name)(self.cluster, host, planned)
        task = self.running[window.target] = asyncio.create_task(work)
        task.add_done_callback(lambda done: self.end_fault(window))

    def end_fault(self, window: Window) -> None:
        """Record that a fault has ended."""
        window.ended_at = asyncio.get_running_loop().time()
        self.running.pop(window.target, None)
