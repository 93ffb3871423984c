"""``node-cost``: processor time and memory of one node, with and without control."""

import asyncio
import dataclasses
import multiprocessing
import multiprocessing.connection
import time

from rattanridge import node as nodes
from rattanridge.control import messages
from rattanridge.kernel import settings
from rattanridge.measure import base, controls, fleet

TARGET_PROCESSOR = 4.2  # percent of a core
TARGET_MEMORY = 32.0  # MB
SIZE = 830
SECONDS = 2.5  # of each case
CHANGES_A_DAY = 640
DAY = 86_400.0  # seconds
RECORDS_A_DAY = 260 * 3  # a restart is a withdrawal, an end and a new start
PEERS = 10  # relays of other zones
PAUSE = 0.2  # seconds between changes, far more than in a day
SETTLE = 2.0  # seconds
LIMIT = 30.0  # seconds
ZONE = controls.ZONES[0]
SUBJECT = "subject"


@dataclasses.dataclass(slots=True)
class Reading:
    """Processor seconds, private memory in MB, and what the node is."""

    processor: float
    memory: float
    generation: int
    role: str


@dataclasses.dataclass(slots=True)
class Case:
    """How to run the node under measurement.

    :param control: whether it takes part in control.
    :param relay: whether it may be a relay.
    """

    platform: str
    control: bool
    relay: bool
    times: settings.ControlSettings


async def serve(case: Case, pipe: multiprocessing.connection.Connection) -> None:
    """Run one whole node in this process; answer each request with a reading."""
    config = settings.NodeSettings(
        name=SUBJECT,
        zone=ZONE,
        platform=[case.platform],
        key=fleet.KEY,
        relay=case.relay,
        control=case.times,
    )
    node = nodes.Node(config)
    if not case.control:
        node.member.start = skip
    await node.start()
    requests: asyncio.Queue = asyncio.Queue()
    loop = asyncio.get_running_loop()
    loop.add_reader(pipe.fileno(), lambda: requests.put_nowait(pipe.recv()))
    while await requests.get():
        lease = node.member.lease
        pipe.send(
            Reading(
                time.process_time(),
                base.private_memory(),
                node.state.generation,
                lease.role if lease is not None else "",
            )
        )


async def skip() -> None:
    """Stand in for the start of the control path."""


def work(case: Case, pipe: multiprocessing.connection.Connection) -> None:
    """Main function of the measured process."""
    asyncio.run(serve(case, pipe))


class Subject:
    """The measured node in a process of its own."""

    def __init__(self, case: Case):
        context = multiprocessing.get_context("spawn")
        self.pipe, other = context.Pipe()
        self.process = context.Process(target=work, args=(case, other), daemon=True)
        self.process.start()

    async def read(self) -> Reading:
        self.pipe.send(True)
        return await asyncio.to_thread(self.pipe.recv)

    async def wait(self, generation: int) -> None:
        async with asyncio.timeout(LIMIT):
            while (await self.read()).generation < generation:
                await asyncio.sleep(controls.STEP)

    def kill(self) -> None:
        self.process.kill()
        self.process.join()


@dataclasses.dataclass(slots=True)
class Run:
    """One case of the measurement.

    :param name: first part of the figures' names.
    :param members: other nodes in the zone; a relay has them all.
    """

    name: str
    members: int
    control: bool = True
    relay: bool = False


@base.EXPERIMENTS.register("node-cost")
def measure(parameters: base.Parameters) -> base.Result:
    """Compare a node without control, as a subscriber and as a relay."""
    size = parameters.size or SIZE
    seconds = parameters.seconds / 12 if parameters.seconds else SECONDS
    figures = asyncio.run(run(parameters.seed, size, seconds))
    target = {}
    for name in ("subscriber", "relay"):
        target[f"{name}_control_day_percent"] = TARGET_PROCESSOR
        target[f"{name}_control_mb"] = TARGET_MEMORY
    ok = all(figures[name] <= limit for name, limit in target.items())
    return base.Result("node-cost", parameters.seed, 1, figures, target, ok)


async def run(seed: int, size: int, seconds: float) -> dict[str, float]:
    """Measure a node among ``size`` endpoints, as a relay with two sizes."""
    members = round(size / len(controls.ZONES) / 2)
    figures: dict[str, float] = {"members": members}
    for case in (
        Run("bare", 1, control=False),
        Run("subscriber", members),
        Run("relay_third", members // 3, relay=True),
        Run("relay", members, relay=True),
    ):
        base.progress(f"node-cost: {case.name}, {case.members} other nodes")
        # Most endpoints are records only: no relay may judge them lost.
        times = settings.ControlSettings(orphan_after=DAY)
        async with controls.Pool(seed, times) as pool:
            await measure_case(pool, case, size, seconds, figures)
    for name in ("subscriber", "relay_third", "relay"):
        add_difference(figures, name)
    add_slopes(figures, members)
    return figures


async def measure_case(
    pool: controls.Pool, case: Run, size: int, seconds: float, figures: dict
) -> None:
    """Read the node's cost at rest, for changes and for endpoint records.

    The endpoints of other zones come from the platform's rosters; a relay has
    streams to and from the relays of the other zones.
    """
    generation, _ = await pool.choose()
    peers = controls.make_specs(PEERS if case.relay else 0, controls.ZONES[1:], "peer")
    await put_rosters(pool, size - case.members - len(peers))
    if peers:
        pool.add(peers)
        await pool.wait_applied(generation)
    subject = Subject(Case(pool.platform.url, case.control, case.relay, pool.control))
    name = case.name
    try:
        if case.relay:
            await subject.wait(generation)
        specs = controls.make_specs(case.members, [ZONE], relay=not case.relay)
        handle = pool.add(specs)
        await pool.wait_applied(generation)
        await pool.wait_endpoints(size)
        if case.control:
            await subject.wait(generation)
        await asyncio.sleep(SETTLE)
        rest = await spend(subject, seconds)
        figures[f"{name}_idle_percent"] = round(100 * rest, 2)
        figures[f"{name}_mb"] = round((await subject.read()).memory, 1)
        if case.control:
            changes = await spend_changes(pool, subject, seconds, rest)
            figures[f"{name}_change_ms"] = round(changes, 2)
            records = await spend_records(handle, subject, seconds, rest)
            figures[f"{name}_record_ms"] = round(records, 2)
    finally:
        subject.kill()


async def put_rosters(pool: controls.Pool, count: int) -> None:
    """Store the endpoints of all other zones, as their relays would."""
    zones = controls.ZONES[1:]
    specs = controls.make_specs(count, zones, "far")
    for zone in zones:
        records = [
            messages.Endpoint(
                name=spec.name,
                zone=zone,
                service=spec.service,
                version="v1",
                hop="127.0.0.1:1",
                state="up",
                incarnation=1,
                sequence=1,
                **controls.SHAPE,
            )
            for spec in specs
            if spec.zone == zone
        ]
        await pool.client.put(f"roster/{zone}", records, 0)


async def spend(subject: Subject, seconds: float) -> float:
    """Return the processor's share that the subject takes."""
    before, began = await subject.read(), time.monotonic()
    await asyncio.sleep(seconds)
    after = await subject.read()
    return (after.processor - before.processor) / (time.monotonic() - began)


async def spend_changes(
    pool: controls.Pool, subject: Subject, seconds: float, rest: float
) -> float:
    """Return the milliseconds that one change of the preset costs."""
    before, began, count = await subject.read(), time.monotonic(), 0
    while time.monotonic() - began < seconds:
        await pool.choose()
        count += 1
        await asyncio.sleep(PAUSE)
    return per_event(before, await subject.read(), began, rest, count)


async def spend_records(
    handle: controls.Handle, subject: Subject, seconds: float, rest: float
) -> float:
    """Return the milliseconds that one change of an endpoint costs."""
    before, began, count = await subject.read(), time.monotonic(), 0
    while time.monotonic() - began < seconds:
        await handle.ask("touch", handle.setup.specs[count % 8].name)
        count += 1
        await asyncio.sleep(PAUSE)
    return per_event(before, await subject.read(), began, rest, count)


def per_event(
    before: Reading, after: Reading, began: float, rest: float, count: int
) -> float:
    """Return milliseconds for each event, less what the time at rest takes."""
    spent = after.processor - before.processor
    return 1000 * (spent - rest * (time.monotonic() - began)) / count


def add_difference(figures: dict, name: str) -> None:
    """Add what control alone costs, at rest and on an ordinary day."""
    idle = figures[f"{name}_idle_percent"] - figures["bare_idle_percent"]
    figures[f"{name}_control_idle_percent"] = round(idle, 2)
    figures[f"{name}_control_mb"] = round(figures[f"{name}_mb"] - figures["bare_mb"], 1)
    events = CHANGES_A_DAY * figures[f"{name}_change_ms"]
    events += RECORDS_A_DAY * figures[f"{name}_record_ms"]
    day = idle + 100 * events / 1000 / DAY
    figures[f"{name}_control_day_percent"] = round(day, 2)


def add_slopes(figures: dict, members: int) -> None:
    """Add a relay's cost for each subscriber, from its two sizes."""
    more = members - members // 3
    for name in ("idle_percent", "change_ms", "record_ms", "mb"):
        rise = figures[f"relay_{name}"] - figures[f"relay_third_{name}"]
        figures[f"relay_{name}_per_subscriber"] = round(rise / more, 4)
