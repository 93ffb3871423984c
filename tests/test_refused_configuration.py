"""What nodes say and do while the store holds a version that they cannot use."""

import asyncio
import math
import time

import msgspec

from rattanridge.kernel import codes
from rattanridge.mesh import settings
from rattanridge.platform import configs
from rattanridge.policies import freshness
from tests import mesh_world

UNDEFINED = mesh_world.route("r", "/r/", "undefined")


def gauge(node, name):
    """Return the value of a gauge on a node's metrics page."""
    lines = node.meters.render().decode().splitlines()
    prefix = f"rattanridge_{name} "
    return float(next(line for line in lines if line.startswith(prefix))[len(prefix) :])


async def refuse(world, version=3):
    """Put a version into the store that no node can use."""
    await world.configure(version, UNDEFINED)
    await world.wait(lambda: all(node.configs.refusal.why for node in world.nodes))


class TestState:
    # Guards against an acknowledged version that is not in force, while no metric says
    # so: on-call had one log line of each node.
    async def test_gauges_say_which_version_and_since_when(self, world):
        await world.start("registry")
        node = world.nodes[0]
        assert gauge(node, "configuration_refused_version") == 0
        await refuse(world)
        began = gauge(node, "configuration_refused_since_seconds")
        assert abs(time.time() - began) < 60
        assert gauge(node, "configuration_refused_version") == 3
        await world.configure(4, UNDEFINED)
        await world.wait(lambda: gauge(node, "configuration_refused_version") == 4)
        assert gauge(node, "configuration_refused_since_seconds") == began
        await world.apply(5, *mesh_world.DEFAULT_ROUTES)
        assert gauge(node, "configuration_refused_version") == 0
        assert gauge(node, "configuration_refused_since_seconds") == 0
        assert not node.configs.refusal.why

    # Guards against a status that names a refused version for ever.
    async def test_version_in_force_is_written_again(self, world):
        await world.start("registry")
        await refuse(world)
        await world.configure(1, *mesh_world.DEFAULT_ROUTES)
        await world.wait(lambda: not world.nodes[0].configs.refusal.why)

    async def test_older_version_is_not_refused(self, world):
        await world.start("registry")
        await world.apply(9, *mesh_world.DEFAULT_ROUTES)
        await world.configure(5, UNDEFINED)
        await asyncio.sleep(0.4)
        assert not world.nodes[0].configs.refusal.why

    async def test_older_version_of_another_node_leaves_it_refused(self, world):
        await world.start("registry")
        await refuse(world, version=9)
        held = world.nodes[0].configs
        older = mesh_world.configuration(5, *mesh_world.DEFAULT_ROUTES)
        assert held.apply_content(older, "another node")
        assert (held.version, held.refusal.version) == (5, 9)
        assert held.refusal.why


class TestProof:
    # Guards against a node that refuses a version and tells others that theirs, which
    # is the same as its own, is the newest: they put off asking the store for it.
    async def test_old_version_is_not_called_the_newest(self, world):
        await world.start("registry", "workshop")
        assert await self.proved_at(world) > -math.inf
        await refuse(world)
        assert await self.proved_at(world) == -math.inf

    async def proved_at(self, world):
        """Return what the second node hears from the first about their version."""
        # Its own watch goes on with the object that it has.
        asked = world.nodes[1].configs
        asked.freshness = freshness.Freshness()
        assert (await world.call("/lookup/1", node=1))[0] == 200
        return asked.freshness.known_at


class TestRequests:
    # Guards against 404 for a route that a version has which the node refuses.
    async def test_nobody_is_told_that_a_new_route_is_not_there(self, world):
        await world.start("registry")
        assert (await world.call("/r/1"))[0] == 404
        await refuse(world)
        status, found, _ = await world.call("/r/1")
        assert (status, found["Rattanridge-Ran"]) == (503, "not-run")
        assert found["Rattanridge-Code"] == str(codes.CONFIGURATION_BEHIND.number)
        assert (await world.call("/lookup/1"))[0] == 200


class TestVersionOfAnotherNode:
    async def start(self, world, *, copy):
        """Start two nodes; the second has version 3, which the first refuses.

        :param copy: what the second one sends as its configuration.
        """
        await world.start("workshop", "registry")
        await refuse(world)
        used = mesh_world.configuration(3, *mesh_world.DEFAULT_ROUTES)
        other = world.nodes[1].configs
        assert other.apply_content(used, "a store that answers well")
        other.content = copy or used
        return world.nodes[0].configs

    async def test_is_used_if_only_the_own_copy_is_bad(self, world):
        held = await self.start(world, copy=b"")
        await world.call("/lookup/1")
        await world.wait(lambda: held.version == 3)

    # Guards against a node that reads the same version again and again, from the store
    # and from others, as long as one has it in force: as in a rolling upgrade.
    async def test_is_asked_for_once_if_it_cannot_be_used(self, world):
        held = await self.start(world, copy=mesh_world.configuration(3, UNDEFINED))
        await world.call("/lookup/1")
        await world.wait(lambda: held.refusal.version_of_peers == 3)
        await world.wait(lambda: held.catch_up_task is None)
        await world.call("/lookup/1")
        assert held.catch_up_task is None
        assert held.version == 1
        assert (await world.call("/none/1"))[0] == 503


class TestNodeThatStarts:
    # Guards against a restarted or new node that is not ready for as long as a version
    # stands that it cannot use, while the others serve by the one before.
    async def test_goes_by_the_version_of_the_others(self, world):
        await world.start("registry", "workshop")
        await refuse(world)
        node = await world.add("registry")
        assert node.configs.version == 1
        assert node.configs.refusal.why
        assert (await world.call("/lookup/1", node=2))[0] == 200
        await world.apply(4, *mesh_world.DEFAULT_ROUTES)
        assert not node.configs.refusal.why
        assert configs.version_of(node.configs.content) == 4


class TestSettingsFile:
    # Guards against a refused settings file that only one log line tells of.
    async def test_gauge_says_that_a_reload_was_refused(self, world, tmp_path):
        await world.start("registry")
        node = world.nodes[0]
        path = tmp_path / "node.yaml"
        good = msgspec.yaml.encode(node.config)
        for content, refused in ((good + b"odd: 1\n", 1), (good, 0)):
            path.write_bytes(content)
            node.reload(settings.SettingsFile(str(path)))
            assert gauge(node, "settings_refused") == refused
