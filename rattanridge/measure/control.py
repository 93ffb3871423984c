"""``control``: what a change costs, and how soon it is in force at all nodes."""

import asyncio
import time

from rattanridge.admin import presets as preset_store
from rattanridge.measure import base
from rattanridge.standin import fleet, upstream as upstreams

TARGET_SECONDS = 4.0  # from an accepted change until it is in force everywhere
SIZES = (16, 48, 96)  # nodes
CHANGES = 5
IDLE_SECONDS = 6.0
SERVICES = ("registry", "workshop", "payments", "archives")
ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")


@base.EXPERIMENTS.register("control")
def measure(parameters: base.Parameters) -> base.Result:
    """Change the configuration under nodes that share one process and one store;
    tell calls to the store, bytes, processor time and memory for each node."""
    sizes = (parameters.size,) if parameters.size else SIZES
    figures: dict[str, float] = {}
    for size in sizes:
        base.progress(f"control: {size} nodes")
        figures |= asyncio.run(run(parameters.seed, size))
    target = {name: TARGET_SECONDS for name in figures if name.endswith("in_force_s")}
    ok = all(figures[name] <= limit for name, limit in target.items())
    return base.Result("control", parameters.seed, 1, figures, target, ok)


async def run(seed: int, size: int) -> dict[str, float]:
    """Measure one size."""
    memory = base.private_memory()
    async with fleet.Fleet(seed) as running:
        for index in range(size):
            shape = upstreams.Shape(SERVICES[index % len(SERVICES)])
            zone = ZONES[index // len(SERVICES) % len(ZONES)]
            await running.add(f"node-{index:03}", zone, shape)
        await choose(running, 1.0)
        await running.wait_endpoints()
        figures = {"memory_mb": (base.private_memory() - memory) / size}
        figures |= await idle(running)
        figures |= await change(running)
    return {f"n{size}_{name}": round(value, 4) for name, value in figures.items()}


async def choose(running: fleet.Fleet, timeout: float) -> None:
    """Put another configuration in force."""
    preset = fleet.make_preset("day", list(SERVICES), timeout)
    await running.wait_applied(await running.put_preset(preset))


async def idle(running: fleet.Fleet) -> dict[str, float]:
    """Return what each node costs while nothing changes."""
    size = len(running.hosts)
    calls, used = running.store.calls, time.process_time()
    await asyncio.sleep(IDLE_SECONDS)
    return {
        "idle_calls_per_s": (running.store.calls - calls) / size / IDLE_SECONDS,
        "idle_core_percent": (time.process_time() - used) / size / IDLE_SECONDS * 100,
    }


async def change(running: fleet.Fleet) -> dict[str, float]:
    """Return what each node costs for one change of the configuration."""
    size = len(running.hosts)
    node = next(iter(running.hosts.values())).node
    operations = preset_store.Presets(node.store)
    latest = 0.0
    calls, sent, used = running.store.calls, running.store.sent, time.process_time()
    for number in range(CHANGES):
        preset = fleet.make_preset("day", list(SERVICES), 2.0 + number)
        await operations.put("day", fleet.preset_text(preset), "olga")
        chosen = await operations.use("day", "olga")
        latest = max(latest, await running.wait_applied(chosen.generation))
        await asyncio.sleep(1.0)
    return {
        "in_force_s": latest,
        "calls_per_change": (running.store.calls - calls) / size / CHANGES,
        "bytes_per_change": (running.store.sent - sent) / size / CHANGES,
        "cpu_ms_per_change": (time.process_time() - used) / size / CHANGES * 1000,
    }
