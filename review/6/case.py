"""After a short silence of the store a node acts on an old configuration."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import lab

CYCLES = 11
SILENCE_AFTER = 0.1  # seconds from the ack of a change to the begin of the silence
SILENCE = 0.3  # seconds
MOVE_AFTER = 3.6  # seconds from the first change to the one that moves the route
CONFIG_APPLY = 2.0  # seconds, ConfigApplyMs
MARGIN = 0.1  # seconds that requests are sent later than the bound
REST = 3.0  # seconds until the next cycle
FRONTS = 3


def configuration(version, service, timeout):
    """Return a configuration whose only route goes to a service."""
    routes = [lab.route("moving", "/moving/", service, TimeoutMs=timeout)]
    return lab.configuration(version, ["alpha", "beta", "front"], routes)


async def case(record):
    stale = sent = 0
    async with lab.Fleet(record) as fleet:
        store = fleet.store
        await store.put("config", "main", configuration(1, "alpha", 4000))
        for number, service in enumerate(["alpha", "beta", *["front"] * FRONTS]):
            endpoint = lab.Endpoint(record, service, f"i-{number}")
            await fleet.add(f"node-{number}", "zone-a", endpoint)
        for node in fleet.nodes:
            await node.wait_ready()
        await asyncio.sleep(4.0)
        version = 1
        services = ["alpha", "beta"]
        for cycle in range(CYCLES):
            version += 1
            here, there = services
            spec = configuration(version, here, 4000 + cycle)
            await store.put("config", "main", spec)
            await asyncio.sleep(SILENCE_AFTER)
            store.silent = lab.trouble()
            record.note("silence", begins=store.silent)
            await asyncio.sleep(SILENCE)
            store.silent = False
            record.note("silence", begins=False)
            await asyncio.sleep(MOVE_AFTER - SILENCE_AFTER - SILENCE)
            version += 1
            await store.put("config", "main", configuration(version, there, 4000))
            await asyncio.sleep(CONFIG_APPLY + MARGIN)
            for node in fleet.nodes[2:]:
                client = lab.Client(record, node.callers)
                result = await client.request("GET", "/moving/x")
                client.close()
                sent += 1
                ran = [
                    item.endpoint.service
                    for item in fleet.nodes
                    if result.attempt in item.endpoint.runs
                ]
                if ran == [here]:
                    stale += 1
                    record.say(
                        f"cycle {cycle}: {result.attempt} by way of {node.name} was "
                        f"run by {here}, {CONFIG_APPLY + MARGIN:.1f} s after the ack "
                        f"of version {version}, which moved the route to {there}"
                    )
            services.reverse()
            await asyncio.sleep(REST)
    record.say(f"{stale} of {sent} requests were handled by an older configuration")
    record.say("CONFIG: broken" if stale else "CONFIG: held")
    return lab.BROKEN if stale else lab.HELD


lab.run(case, pathlib.Path(__file__).parent)
