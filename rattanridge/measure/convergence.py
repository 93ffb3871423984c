"""``convergence``: from an accepted choice until the last node applies it."""

import asyncio

from rattanridge.measure import base, controls

TARGET_SECONDS = 4.0
SIZES = (16, 64, 830)
DIRECT = 64  # nodes of the baseline, each watching the platform itself
CHANGES = 5
NODES_IN_WORKER = 140
SLOW = 0.5  # seconds that the slow platform adds to each call
SETTLE = 1.0  # seconds between a fault's end and the next change


@base.EXPERIMENTS.register("convergence")
def measure(parameters: base.Parameters) -> base.Result:
    """Time changes at several sizes, with the relay killed and the platform slow."""
    sizes = (parameters.size,) if parameters.size else SIZES
    figures = asyncio.run(run(parameters.seed, sizes))
    target = {name: TARGET_SECONDS for name in figures if name.endswith("_max_s")}
    target = {name: limit for name, limit in target.items() if "direct" not in name}
    ok = all(figures[name] <= limit for name, limit in target.items())
    return base.Result("convergence", parameters.seed, 1, figures, target, ok)


async def run(seed: int, sizes: tuple[int, ...]) -> dict[str, float]:
    """Run the largest size alone, and the others and the baseline together."""
    figures: dict[str, float] = {}
    *small, largest = sizes
    base.progress(f"convergence: {small} nodes, and {DIRECT} that watch the platform")
    await asyncio.gather(
        *(run_size(seed, size, figures) for size in small),
        run_direct(seed, figures),
    )
    base.progress(f"convergence: {largest} nodes")
    await run_size(seed, largest, figures)
    return figures


async def run_size(seed: int, size: int, figures: dict) -> None:
    """Run all cases at one size on a fleet of its own."""
    async with controls.Pool(seed) as pool:
        await measure_size(pool, size, figures)


async def run_direct(seed: int, figures: dict) -> None:
    """Run the baseline: every node watches the platform itself."""
    async with controls.Pool(seed) as pool:
        for part in controls.split(controls.make_specs(DIRECT, controls.ZONES), 2):
            pool.add(part, direct=True)
        await measure_changes(pool, f"direct{DIRECT}", figures)


async def measure_size(pool: controls.Pool, size: int, figures: dict) -> None:
    """Run all cases at one size.

    The scouts are single nodes in processes of their own. They are started
    first, so that they become relays, and one is frozen and one killed at the
    moment of a choice, as hosts would be.
    """
    scouts = [
        pool.add([controls.Spec(f"scout-{zone}", zone, controls.SERVICES[0])])
        for zone in controls.ZONES[:2]
    ]
    first, _ = await pool.choose()
    await pool.wait_applied(first)
    specs = controls.make_specs(size - len(scouts), controls.ZONES)
    for part in controls.split(specs, -(-size // NODES_IN_WORKER)):
        pool.add(part)
    await pool.wait_applied(first)
    await pool.wait_endpoints(size)
    await asyncio.sleep(SETTLE)
    name = f"n{size}"
    await measure_changes(pool, name, figures)
    pool.platform.faults.slow = SLOW
    await asyncio.sleep(SETTLE)
    add_figures(figures, f"{name}_platform_slow", await change(pool))
    pool.platform.faults.slow = 0.0
    await asyncio.sleep(SETTLE)
    scouts[0].freeze()
    pool.handles.remove(scouts[0])
    add_figures(figures, f"{name}_relay_frozen", await change(pool))
    scouts[0].kill()
    await asyncio.sleep(SETTLE)
    pool.remove(scouts[1])
    add_figures(figures, f"{name}_relay_killed", await change(pool))


async def measure_changes(pool: controls.Pool, name: str, figures: dict) -> None:
    """Make some changes with nothing wrong."""
    times: list[float] = []
    generation, _ = await pool.choose()
    await pool.wait_applied(generation)
    for _ in range(CHANGES):
        await asyncio.sleep(0.2)
        times += await change(pool)
    add_figures(figures, name, times)


async def change(pool: controls.Pool) -> list[float]:
    """Choose a preset; return each node's seconds until it applied it."""
    generation, accepted = await pool.choose()
    await pool.wait_applied(generation)
    samples = await pool.samples()
    return [sample.applied[generation] - accepted for sample in samples]


def add_figures(figures: dict, name: str, times: list[float]) -> None:
    """Add percentiles of times in seconds."""
    for label, part in (("p50", 0.5), ("p99", 0.99), ("max", 1.0)):
        figures[f"{name}_{label}_s"] = round(base.percentile(times, part), 3)
