"""``reconnect``: a zone, and then the whole fleet, restarts at once."""

import asyncio

from rattanridge.measure import base, controls

SIZE = 830
NODES_IN_WORKER = 140
TARGET_READS = 2000  # a second, of the platform
TARGET_WRITES = 300  # a second, of the platform
IDLE = 5.0  # seconds
SETTLE = 2.0  # seconds
REST = 8.0  # seconds until the last candidates for relay roles gave up
LOOK = 0.1  # seconds between looks at the platform's counts
READS = ("get", "list", "watch")
WRITES = ("put", "delete")


class Meter:
    """Counts the platform's calls, and the most in any second.

    :param pool: whose platform is watched while the context is open.
    """

    def __init__(self, pool: controls.Pool):
        self.pool = pool
        self.history: list[tuple[int, int]] = []
        self.task: asyncio.Task | None = None

    async def __aenter__(self) -> "Meter":
        self.task = asyncio.create_task(self.watch())
        return self

    async def __aexit__(self, *error: object) -> None:
        self.task.cancel()
        self.note()

    async def watch(self) -> None:
        while True:
            self.note()
            await asyncio.sleep(LOOK)

    def note(self) -> None:
        counts = self.pool.platform.counts
        reads = sum(counts[name] for name in READS)
        writes = sum(counts[name] for name in WRITES)
        self.history.append((reads, writes))

    def peak(self, column: int) -> int:
        """Return the most calls in any second; 0: reads, 1: writes."""
        span = round(1 / LOOK)
        values = [row[column] for row in self.history]
        return max(
            values[min(i + span, len(values) - 1)] - v for i, v in enumerate(values)
        )

    def rate(self, column: int) -> float:
        spent = self.history[-1][column] - self.history[0][column]
        return spent / (LOOK * max(len(self.history) - 1, 1))


@base.EXPERIMENTS.register("reconnect")
def measure(parameters: base.Parameters) -> base.Result:
    """Time until restarted nodes have the configuration, and count calls."""
    size = parameters.size or SIZE
    figures = asyncio.run(run(parameters.seed, size))
    target = {}
    for name in figures:
        for ending, limit in (
            ("_peak_reads_per_s", TARGET_READS),
            ("_peak_writes_per_s", TARGET_WRITES),
        ):
            if name.endswith(ending) and not name.startswith("direct"):
                target[name] = limit
    ok = all(figures[name] <= limit for name, limit in target.items())
    return base.Result("reconnect", parameters.seed, 1, figures, target, ok)


async def run(seed: int, size: int) -> dict[str, float]:
    """Restart a zone and then the fleet; return the figures."""
    figures: dict[str, float] = {"nodes": size}
    async with controls.Pool(seed) as pool:
        specs = controls.make_specs(size, controls.ZONES)
        zone = [spec for spec in specs if spec.zone == controls.ZONES[0]]
        rest = [spec for spec in specs if spec.zone != controls.ZONES[0]]
        workers = [pool.add(zone)]
        for part in controls.split(rest, -(-len(rest) // NODES_IN_WORKER)):
            workers.append(pool.add(part))
        base.progress(f"reconnect: {size} nodes start")
        generation, _ = await pool.choose()
        await pool.wait_applied(generation)
        await pool.wait_endpoints(size)
        await asyncio.sleep(REST)
        await measure_idle(pool, figures)
        base.progress(f"reconnect: {len(zone)} nodes of a zone restart")
        await restart(pool, workers[:1], "zone", generation, figures)
        await pool.wait_endpoints(size)
        base.progress(f"reconnect: {size} nodes restart")
        await restart(pool, workers[1:] + pool.handles[-1:], "all", generation, figures)
    async with controls.Pool(seed) as pool:
        base.progress(f"reconnect: {len(zone)} nodes that watch the platform start")
        generation, _ = await pool.choose()
        async with Meter(pool) as meter:
            pool.add(zone, direct=True)
            await pool.wait_applied(generation)
            await asyncio.sleep(SETTLE)
        add_peaks(figures, "direct_zone", meter)
    return figures


async def measure_idle(pool: controls.Pool, figures: dict) -> None:
    """Count the platform\'s calls while nothing happens."""
    async with Meter(pool) as meter:
        await asyncio.sleep(IDLE)
    figures["idle_reads_per_s"] = round(meter.rate(0), 1)
    figures["idle_writes_per_s"] = round(meter.rate(1), 1)


async def restart(
    pool: controls.Pool,
    handles: list[controls.Handle],
    name: str,
    generation: int,
    figures: dict,
) -> None:
    """Kill workers with all their nodes, start them again, and wait for them."""
    async with Meter(pool) as meter:
        setups = [handle.setup for handle in handles]
        for handle in handles:
            pool.remove(handle)
        fresh = [pool.add(setup.specs) for setup in setups]
        await pool.wait_applied(generation)
        usages = [await handle.ask("usage") for handle in fresh]
        await asyncio.sleep(SETTLE)
    samples = [sample for usage in usages for sample in usage.samples]
    times = [sample.applied[generation] - sample.started for sample in samples]
    for label, part in (("p50", 0.5), ("p99", 0.99), ("max", 1.0)):
        figures[f"{name}_ready_{label}_s"] = round(base.percentile(times, part), 2)
    sent = controls.sent_bytes(usages)
    figures[f"{name}_sent_bytes_per_node"] = round(sent.total() / len(samples))
    add_peaks(figures, name, meter)


def add_peaks(figures: dict, name: str, meter: Meter) -> None:
    """Add the most calls of any second."""
    figures[f"{name}_peak_reads_per_s"] = meter.peak(0)
    figures[f"{name}_peak_writes_per_s"] = meter.peak(1)
