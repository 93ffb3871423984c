"""``control-bytes``: bytes between nodes, idle, for changes and under churn."""

import asyncio
import collections

from rattanridge.measure import base, controls

TARGET_BYTES = 26_000  # a second and node
SIZE = 830
NODES_IN_WORKER = 140
IDLE = 6.0  # seconds
CHANGES = 4
CHANGES_A_DAY = 640
RESTARTS = 24
RESTART_PAUSE = 0.25  # seconds between restarts
RESTARTS_A_DAY = 260
DAY = 86_400.0  # seconds
SETTLE = 3.0  # seconds


@base.EXPERIMENTS.register("control-bytes")
def measure(parameters: base.Parameters) -> base.Result:
    """Count bytes by message kind, and compare with two plain ways."""
    size = parameters.size or SIZE
    figures = asyncio.run(run(parameters.seed, size))
    target = {
        "node_bytes_per_s": TARGET_BYTES,
        "relay_bytes_per_s": TARGET_BYTES,
        "churn_node_bytes_per_s": TARGET_BYTES,
    }
    ok = all(figures[name] <= limit for name, limit in target.items())
    return base.Result("control-bytes", parameters.seed, 1, figures, target, ok)


async def run(seed: int, size: int) -> dict[str, float]:
    """Run all parts on one fleet; return the figures."""
    async with controls.Pool(seed) as pool:
        base.progress(f"control-bytes: {size} nodes")
        specs = controls.make_specs(size, controls.ZONES)
        for part in controls.split(specs, -(-size // NODES_IN_WORKER)):
            pool.add(part)
        generation, _ = await pool.choose()
        await pool.wait_applied(generation)
        await pool.wait_endpoints(size)
        await asyncio.sleep(SETTLE)
        figures: dict[str, float] = {"nodes": size}
        idle = await measure_idle(pool, size, figures)
        await measure_changes(pool, size, figures)
        await measure_churn(pool, size, idle, figures)
        add_baseline(pool, size, figures)
        add_day(figures)
        return figures


async def count(pool: controls.Pool) -> collections.Counter[str]:
    """Return the bytes sent so far, by message kind."""
    return controls.sent_bytes(await pool.usages())


async def measure_idle(pool: controls.Pool, size: int, figures: dict) -> float:
    """Count an idle time; return the bytes a second of the whole fleet."""
    base.progress("control-bytes: idle")
    before, relays = await count(pool), await relay_bytes(pool)
    await asyncio.sleep(IDLE)
    after, relays_after = await count(pool), await relay_bytes(pool)
    spent = after - before
    for kind, value in sorted(spent.items()):
        figures[f"idle_{kind}_bytes_per_s_and_node"] = round(value / IDLE / size, 1)
    # Every message has a sender and a receiver.
    figures["idle_node_bytes_per_s"] = round(2 * spent.total() / IDLE / size)
    held = max(len(relays), 1)
    figures["relays"] = held
    relayed = sum(relays_after[n] - v for n, v in relays.items() if n in relays_after)
    nodes = spent.total() - relayed
    figures["idle_relay_bytes_per_s"] = round((relayed + nodes) / held / IDLE)
    return spent.total() / IDLE


async def relay_bytes(pool: controls.Pool) -> dict[str, int]:
    """Return the bytes that each relay sent."""
    found = {}
    for usage in await pool.usages():
        for sample in usage.samples:
            if sample.role:
                alone = controls.Usage([sample], {}, 0.0, 0.0)
                found[sample.name] = controls.sent_bytes([alone]).total()
    return found


async def measure_changes(pool: controls.Pool, size: int, figures: dict) -> None:
    """Count what a change of the preset costs."""
    base.progress("control-bytes: changes")
    before = await count(pool)
    for _ in range(CHANGES):
        generation, _ = await pool.choose()
        await pool.wait_applied(generation)
    spent = await count(pool) - before
    for kind in ("config", "report", "presence"):
        value = spent[kind] / CHANGES / size
        figures[f"change_{kind}_bytes_per_node"] = round(value, 1)


async def measure_churn(
    pool: controls.Pool, size: int, idle: float, figures: dict
) -> None:
    """Restart single nodes, far more often than in a day."""
    base.progress("control-bytes: churn")
    loop = asyncio.get_running_loop()
    before, began = await count(pool), loop.time()
    for _ in range(RESTARTS):
        handle = pool.random.choice(pool.handles)
        name = pool.random.choice([spec.name for spec in handle.setup.specs])
        await handle.ask("restart", name)
        await asyncio.sleep(RESTART_PAUSE)
    await asyncio.sleep(SETTLE)
    seconds = loop.time() - began
    spent = await count(pool) - before
    for kind, value in sorted(spent.items()):
        figures[f"churn_{kind}_bytes_per_s_and_node"] = round(value / seconds / size, 1)
    figures["churn_restarts_per_s"] = round(RESTARTS / seconds, 2)
    figures["churn_node_bytes_per_s"] = round(2 * spent.total() / seconds / size)
    extra = max(spent.total() - idle * seconds, 0)
    figures["restart_bytes_per_node"] = round(2 * extra / RESTARTS / size, 1)


def add_baseline(pool: controls.Pool, size: int, figures: dict) -> None:
    """Add what two plain ways would cost, from sizes of this run.

    One sends the whole preset to every node at each change; in the other every
    node watches the platform, and reads the preset and each zone's endpoints.
    """
    stored = pool.platform.store.objects
    preset = max(len(v.value) for k, v in stored.items() if k.startswith("presets/"))
    rosters = [len(v.value) for k, v in stored.items() if k.startswith("roster/")]
    roster = sum(rosters) / len(rosters)
    figures["full_bytes_per_change_and_node"] = preset
    figures["watched_bytes_per_restart_and_node"] = round(2 * roster)
    daily = CHANGES_A_DAY * preset + RESTARTS_A_DAY * 2 * roster
    figures["watched_day_bytes_per_s_and_node"] = round(daily / DAY, 1)
    figures["watched_reads_per_s"] = round(size / 20.0, 1)


def add_day(figures: dict) -> None:
    """Add the cost of an ordinary day: idle, changes and restarts."""
    changed = 2 * sum(v for k, v in figures.items() if k.startswith("change_"))
    daily = CHANGES_A_DAY * changed + RESTARTS_A_DAY * figures["restart_bytes_per_node"]
    extra = daily / DAY
    figures["node_bytes_per_s"] = round(figures["idle_node_bytes_per_s"] + extra)
    # A relay is one end of all that its nodes send and receive.
    through = extra / 2 * figures["nodes"] / figures["relays"]
    figures["relay_bytes_per_s"] = round(figures["idle_relay_bytes_per_s"] + through)
