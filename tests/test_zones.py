"""Operators' commands on availability zones, and the errors they get."""

import asyncio

import pytest
from click import testing

from rattanridge.admin import server, zones
from rattanridge.cli import main
from rattanridge.kernel import codes
from rattanridge.standin import fleet
from tests import evacuated_zones


async def start(world):
    """Start a node in each of three zones; return the operations of the first."""
    services = ("registry",) * 3
    await world.start(*services, zones=("a", "b", "c"), **evacuated_zones.SETTINGS)
    return zones.Zones(world.nodes[0])


async def code_of(operation):
    """Return the code that an operation fails with."""
    with pytest.raises(codes.Failure) as found:
        await operation
    return found.value.code


async def run(world, *words):
    """Run a command in a thread of its own; return its exit status and output."""
    address = world.nodes[0].config.listen.admin
    options = ["--admin", f"http://{address}", "--token", fleet.TOKENS[0].secret]
    invoke = testing.CliRunner().invoke
    result = await asyncio.to_thread(invoke, main.main, [*words, *options])
    return result.exit_code, result.output


class TestCommands:
    async def test_evacuate_list_and_restore(self, world):
        await start(world)
        node = world.nodes[0]
        await node.ports.listen(server.Server(node).serve, node.config.listen.admin)
        status, output = await run(world, "zone", "evacuate", "a")
        assert (status, "binds all nodes within 5 s" in output) == (0, True)
        await evacuated_zones.wait_for(world, True)
        line = "zone       a evacuated nodes 1 requests 0 agreed by 3 nodes\n"
        assert line in (await run(world, "status"))[1]
        output = (await run(world, "zone", "list"))[1]
        assert line in output and "b in use" in output
        status, output = await run(world, "zone", "evacuate", "a")
        assert (status, "error 8002" in output) == (1, True)
        assert (await run(world, "zone", "restore", "a"))[0] == 0
        await evacuated_zones.wait_for(world, False)
        assert "zone " not in (await run(world, "status"))[1]

    async def test_report_counts_nodes_that_know_something_else(self, world):
        operations = await start(world)
        await operations.evacuate("a")
        await evacuated_zones.wait_for(world, True)
        world.nodes[1].evacuations.zones.clear()
        await world.fleet.remove("node-2")
        found = await operations.show("a")
        assert (found.agree, found.differ, found.silent) == (1, 1, 1)


class TestErrors:
    async def test_unknown_zone_and_node_that_follows_none(self, world):
        operations = await start(world)
        assert await code_of(operations.evacuate("x")) is codes.ZONE_UNKNOWN
        assert await code_of(operations.restore("x")) is codes.ZONE_UNKNOWN
        assert await code_of(operations.restore("b")) is codes.ZONE_NOT_EVACUATED
        world.nodes[0].evacuations.enabled = False
        with pytest.raises(codes.Failure):
            zones.Zones(world.nodes[0])

    # Guards against: two operators evacuate the last two zones at the same time.
    async def test_one_zone_stays_in_use(self, world):
        operations = await start(world)
        await operations.evacuate("a")
        other = zones.Zones(world.nodes[1])
        await asyncio.gather(
            operations.evacuate("b"), other.evacuate("c"), return_exceptions=True
        )
        assert len(evacuated_zones.objects(world)) == 2
        left = ({"b", "c"} - set(evacuated_zones.objects(world))).pop()
        assert await code_of(operations.evacuate(left)) is codes.ZONE_LAST

    # Guards against: the answer to a write is lost, and the operator does not know.
    async def test_lost_answers_are_found_out(self, world):
        operations = await start(world)
        world.store.faults.lost = True
        assert (await operations.evacuate("a")).evacuated
        assert evacuated_zones.objects(world) == ["a"]
        assert not (await operations.restore("a")).evacuated
        assert not evacuated_zones.objects(world)

    async def test_zone_that_the_store_has_lost_can_be_restored(self, world):
        operations = await start(world)
        await asyncio.sleep(0.2)
        await operations.evacuate("a")
        await evacuated_zones.wait_for(world, True)
        await world.store.restore(0.2)
        await world.wait(lambda: "a" in world.nodes[0].evacuations.lost)
        await operations.restore("a")
        await evacuated_zones.wait_for(world, False)
        await asyncio.sleep(1.5)
        assert not evacuated_zones.objects(world)
        await evacuated_zones.wait_for(world, False)
