"""Experiment ``control``: cost and delay of a configuration change at all nodes."""

import asyncio
import time

from rattanridge.admin import presets as preset_store
from rattanridge.measure import base
from rattanridge.standin import fleet, upstream as upstreams

TARGET_SECONDS = 4.0  # from an accepted change until it is in force at all nodes
DEFAULT_SIZES = (16, 48, 96)  # nodes
CHANGES = 5
IDLE_SECONDS = 6.0  # duration of the measurement without changes
SERVICES = ("registry", "workshop", "payments", "archives")
ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")


@base.EXPERIMENTS.register("control")
def measure(parameters: base.Parameters) -> base.Result:
    """Measure how long a configuration change takes to be in force at all nodes, and
    the store calls, bytes, CPU time and memory that it costs per node.

    All nodes share one process and one store.
    """
    sizes = (parameters.size,) if parameters.size else DEFAULT_SIZES
    figures: dict[str, float] = {}
    for size in sizes:
        base.print_progress(f"control: {size} nodes")
        figures |= asyncio.run(run(parameters.seed, size))
    target = {name: TARGET_SECONDS for name in figures if name.endswith("in_force_s")}
    ok = all(figures[name] <= limit for name, limit in target.items())
    return base.Result("control", parameters.seed, 1, figures, target, ok)


async def run(seed: int, size: int) -> dict[str, float]:
    """Return the figures for a mesh of ``size`` nodes."""
    memory = base.read_private_memory_mib()
    async with fleet.Fleet(seed) as mesh:
        for index in range(size):
            shape = upstreams.Shape(SERVICES[index % len(SERVICES)])
            zone = ZONES[index // len(SERVICES) % len(ZONES)]
            await mesh.add(f"node-{index:03}", zone, shape)
        await apply_preset(mesh, 1.0)
        await mesh.wait_endpoints()
        figures = {"memory_mb": (base.read_private_memory_mib() - memory) / size}
        figures |= await measure_idle(mesh)
        figures |= await measure_changes(mesh)
    return {f"n{size}_{name}": round(value, 4) for name, value in figures.items()}


async def apply_preset(mesh: fleet.Fleet, timeout: float) -> None:
    """Put a preset in force and wait until all nodes have applied it.

    :param timeout: timeout of the preset's routes in seconds.
    """
    preset = fleet.make_preset("day", list(SERVICES), timeout)
    await mesh.wait_applied(await mesh.put_preset(preset))


async def measure_idle(mesh: fleet.Fleet) -> dict[str, float]:
    """Return the store calls and the CPU time of a node while nothing changes."""
    size = len(mesh.hosts)
    calls, cpu = mesh.store.calls, time.process_time()
    await asyncio.sleep(IDLE_SECONDS)
    return {
        "idle_calls_per_s": (mesh.store.calls - calls) / size / IDLE_SECONDS,
        "idle_core_percent": (time.process_time() - cpu) / size / IDLE_SECONDS * 100,
    }


async def measure_changes(mesh: fleet.Fleet) -> dict[str, float]:
    """Return the cost of a configuration change per node, and the longest delay."""
    size = len(mesh.hosts)
    node = next(iter(mesh.hosts.values())).node
    operations = preset_store.Presets(node.store)
    longest = 0.0
    calls, sent, cpu = mesh.store.calls, mesh.store.sent_bytes, time.process_time()
    for number in range(CHANGES):
        preset = fleet.make_preset("day", list(SERVICES), 2.0 + number)
        await operations.put("day", fleet.preset_text(preset), "olga")
        chosen = await operations.use("day", "olga")
        longest = max(longest, await mesh.wait_applied(chosen.generation))
        await asyncio.sleep(1.0)
    return {
        "in_force_s": longest,
        "calls_per_change": (mesh.store.calls - calls) / size / CHANGES,
        "bytes_per_change": (mesh.store.sent_bytes - sent) / size / CHANGES,
        "cpu_ms_per_change": (time.process_time() - cpu) / size / CHANGES * 1000,
    }
