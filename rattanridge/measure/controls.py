"""Many nodes' control paths in a few processes, around one platform stand-in.

A worker process runs the control part of some nodes on real sockets: replica,
control server, member and announcer. The measuring process starts workers, asks
them for samples over a pipe, and may stop or freeze a worker as a host failure
would.
"""

import asyncio
import collections
import dataclasses
import multiprocessing
import multiprocessing.connection
import os
import random
import signal
import time
import typing

from rattanridge.admin import presets as preset_store
from rattanridge.control import member, messages, replica, roster, source, transport
from rattanridge.kernel import metrics, settings
from rattanridge.measure import base, fleet
from rattanridge.objectapi import client
from rattanridge.standin import platform as platforms

SERVICES = [f"service-{number:02}" for number in range(27)]
ZONES = [f"zone-{letter}" for letter in "abcdef"]
FRAME_BYTES = 80  # grpc and HTTP/2 frame, and TCP/IP headers, for each message
STEP = 0.02  # seconds between looks
START_LIMIT = 40.0  # seconds
SHAPE = {"slots": 6, "connections": 110}


@dataclasses.dataclass(slots=True)
class Spec:
    """One node of a worker."""

    name: str
    zone: str
    service: str
    relay: bool = True


@dataclasses.dataclass(slots=True)
class Setup:
    """What a worker runs.

    :param direct: whether each node watches the platform itself: the baseline.
    """

    platform: str
    specs: list[Spec]
    control: settings.ControlSettings
    direct: bool = False


@dataclasses.dataclass(slots=True)
class Sample:
    """What one node tells of itself; times are monotonic seconds of the host.

    :param applied: when each generation came in force.
    """

    name: str
    zone: str
    started: float
    generation: int
    role: str
    applied: dict[int, float]
    counters: dict[str, int]


@dataclasses.dataclass(slots=True)
class Usage:
    """A worker's samples, processor seconds and private memory in MB.

    :param retired: counters of nodes that were stopped.
    """

    samples: list[Sample]
    retired: dict[str, int]
    processor: float
    memory: float


class ControlNode:
    """The control part of one node.

    :param spec: what to run.
    :param setup: what all nodes of the worker share.
    """

    def __init__(self, spec: Spec, setup: Setup):
        self.spec = spec
        self.config = settings.NodeSettings(
            name=spec.name,
            zone=spec.zone,
            platform=[setup.platform],
            key=fleet.KEY,
            relay=spec.relay,
            control=setup.control,
        )
        self.direct = setup.direct
        self.counters = metrics.Counters()
        self.platform = client.Client(self.config.platform, self.counters)
        self.state = replica.Replica(self.config, self.counters)
        self.state.listeners.append(self.note)
        self.server = transport.Server(self.config)
        self.member = member.Member(
            self.config, self.platform, self.state, self.server, self.counters
        )
        self.announcer = roster.Announcer(
            self.config, self.state, self.member.incarnation
        )
        self.applied: dict[int, float] = {}
        self.started = time.monotonic()
        self.watching: asyncio.Task | None = None

    def note(self) -> None:
        self.applied.setdefault(self.state.generation, time.monotonic())

    async def start(self) -> None:
        if self.direct:
            watch = source.Source(self.config, self.platform, self.state)
            self.watching = asyncio.create_task(watch.run())
            return
        await self.server.start()
        self.announce("up")
        await self.member.start()

    def announce(self, state: str) -> None:
        self.announcer.announce(
            self.spec.service, "v1", self.server.address, state=state, **SHAPE
        )

    async def stop(self) -> None:
        """End as a failure of the host would: without a word."""
        self.member.lease = None
        if self.watching is not None:
            self.watching.cancel()
        await self.member.stop()
        await self.server.stop()
        await self.platform.close()

    def sample(self) -> Sample:
        lease = self.member.lease
        return Sample(
            self.spec.name,
            self.spec.zone,
            self.started,
            self.state.generation,
            lease.role if lease is not None else "",
            self.applied,
            dict(self.counters.values),
        )


class Worker:
    """Runs nodes in a process of its own, and answers the measuring process.

    :param pipe: requests come in as the name of a method and its argument.
    """

    def __init__(self, setup: Setup, pipe: multiprocessing.connection.Connection):
        self.setup = setup
        self.pipe = pipe
        self.nodes: dict[str, ControlNode] = {}
        self.retired: collections.Counter[str] = collections.Counter()
        self.ended = asyncio.Event()
        self.requests: asyncio.Queue = asyncio.Queue()

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        loop.add_reader(self.pipe.fileno(), self.receive)
        starting = asyncio.create_task(self.start_all())
        while not self.ended.is_set():
            name, argument = await self.requests.get()
            self.pipe.send(await getattr(self, name)(argument))
        starting.cancel()

    def receive(self) -> None:
        try:
            self.requests.put_nowait(self.pipe.recv())
        except EOFError:
            os._exit(0)

    async def start_all(self) -> None:
        for spec in self.setup.specs:
            await self.add(spec)

    async def add(self, spec: Spec) -> None:
        node = ControlNode(spec, self.setup)
        self.nodes[spec.name] = node
        await node.start()

    async def usage(self, argument: object) -> Usage:
        samples = [node.sample() for node in self.nodes.values()]
        memory = base.private_memory()
        return Usage(samples, dict(self.retired), time.process_time(), memory)

    async def least(self, argument: object) -> int:
        """Return the lowest generation in force; -1 while nodes still start."""
        if len(self.nodes) < len(self.setup.specs):
            return -1
        return min(node.state.generation for node in self.nodes.values())

    async def endpoints(self, argument: object) -> int:
        """Return the lowest number of live endpoints that a node knows."""
        counts = []
        for node in self.nodes.values():
            known = node.state.table.all(messages.Endpoint)
            counts.append(sum(not record.dead for record in known))
        return min(counts, default=0)

    async def restart(self, name: str) -> None:
        """Stop one node at once and start it again."""
        node = self.nodes[name]
        await node.stop()
        self.retired.update(node.counters.values)
        await self.add(node.spec)

    async def touch(self, name: str) -> None:
        """Change one node's endpoint a little."""
        node = self.nodes[name]
        slots = node.announcer.wanted.slots % 50 + 1
        node.announcer.announce(
            node.spec.service, "v1", node.server.address, slots, 110, "up"
        )

    async def end(self, argument: object) -> None:
        self.ended.set()


def work(setup: Setup, pipe: multiprocessing.connection.Connection) -> None:
    """Main function of a worker process."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    asyncio.run(Worker(setup, pipe).run())


class Handle:
    """The measuring process's end of one worker."""

    def __init__(self, setup: Setup):
        context = multiprocessing.get_context("spawn")
        self.setup = setup
        self.pipe, other = context.Pipe()
        self.process = context.Process(target=work, args=(setup, other), daemon=True)
        self.process.start()
        other.close()
        self.lock = asyncio.Lock()

    async def ask(self, name: str, argument: object = None) -> typing.Any:
        """Call a method of the worker."""
        async with self.lock:
            self.pipe.send((name, argument))
            return await asyncio.to_thread(self.pipe.recv)

    def freeze(self) -> None:
        os.kill(self.process.pid, signal.SIGSTOP)

    def kill(self) -> None:
        self.process.kill()
        self.process.join()


class Pool:
    """Workers around one platform stand-in.

    :param seed: seed of the stand-in and of random choices.
    """

    def __init__(self, seed: int, control: settings.ControlSettings | None = None):
        self.random = random.Random(seed)
        self.control = control or settings.ControlSettings()
        self.platform = platforms.Platform(seed)
        self.handles: list[Handle] = []
        self.client: client.Client | None = None
        self.presets: preset_store.Presets | None = None
        self.puts = 0

    async def __aenter__(self) -> "Pool":
        await self.platform.start()
        self.client = client.Client([self.platform.url])
        self.presets = preset_store.Presets(self.client)
        return self

    async def __aexit__(self, *error: object) -> None:
        for handle in self.handles:
            handle.kill()
        await self.client.close()
        await self.platform.stop()

    def add(self, specs: list[Spec], direct: bool = False) -> Handle:
        handle = Handle(Setup(self.platform.url, specs, self.control, direct))
        self.handles.append(handle)
        return handle

    def remove(self, handle: Handle) -> None:
        """Kill a worker, as a failure of its hosts would."""
        self.handles.remove(handle)
        handle.kill()

    async def choose(self) -> tuple[int, float]:
        """Put a new preset in force; return its generation and when it was written."""
        self.puts += 1
        preset = fleet.make_preset("day", SERVICES, timeout=1.0 + self.puts)
        await self.presets.put("day", fleet.preset_text(preset), "olga")
        chosen = await self.presets.use("day", "olga")
        return chosen.generation, self.platform.accepted[source.POINTER]

    async def wait_applied(self, generation: int, seconds: float = START_LIMIT) -> None:
        async with asyncio.timeout(seconds):
            for handle in self.handles:
                while await handle.ask("least") < generation:
                    await asyncio.sleep(STEP)

    async def wait_endpoints(self, count: int, seconds: float = START_LIMIT) -> None:
        async with asyncio.timeout(seconds):
            for handle in self.handles:
                while await handle.ask("endpoints") < count:
                    await asyncio.sleep(STEP)

    async def usages(self) -> list[Usage]:
        return list(await asyncio.gather(*(h.ask("usage") for h in self.handles)))

    async def samples(self) -> list[Sample]:
        return [sample for usage in await self.usages() for sample in usage.samples]


def make_specs(
    count: int, zones: list[str], prefix: str = "node", relay: bool = True
) -> list[Spec]:
    """Return nodes spread over zones and services in turn."""
    return [
        Spec(
            f"{prefix}-{number:03}",
            zones[number % len(zones)],
            SERVICES[number % len(SERVICES)],
            relay,
        )
        for number in range(count)
    ]


def split(specs: list[Spec], workers: int) -> list[list[Spec]]:
    """Deal nodes out to workers so that each zone is spread over all of them."""
    return [specs[number::workers] for number in range(workers) if specs[number:]]


def total(usages: list[Usage], prefix: str) -> collections.Counter[str]:
    """Sum the counters of all nodes whose names begin with a prefix."""
    sums: collections.Counter[str] = collections.Counter()
    groups = [sample.counters for usage in usages for sample in usage.samples]
    for counters in [*groups, *(usage.retired for usage in usages)]:
        for name, value in counters.items():
            if name.startswith(prefix):
                sums[name.removeprefix(prefix)] += value
    return sums


def sent_bytes(usages: list[Usage]) -> collections.Counter[str]:
    """Return the bytes sent between nodes by message kind, with framing."""
    sums = total(usages, "control.sent-bytes.")
    for kind, count in total(usages, "control.sent.").items():
        sums[kind] += count * FRAME_BYTES
    return sums
