"""State of the nodes while the store fails, and afterwards."""

import asyncio

import msgspec
import pytest

from rattanridge.kernel import codes, compression
from rattanridge.mesh import node as nodes
from rattanridge.mesh.discovery import records, watching
from rattanridge.platform import configs, orders
from tests import mesh_world


class TestConfiguration:
    async def test_newer_version_is_applied_soon(self, world):
        await world.start("registry", "workshop")
        await world.configure(2, mesh_world.route("new", "/new/", "registry"))
        await world.wait(
            lambda: all(node.configs.version == 2 for node in world.nodes), 1.0
        )
        assert (await world.call("/new/1"))[0] == 200
        assert (await world.call("/lookup/1"))[0] == 404

    async def test_older_version_is_ignored(self, world):
        await world.start("registry")
        await world.configure(9, *mesh_world.DEFAULT_ROUTES)
        await world.wait(lambda: world.nodes[0].configs.version == 9)
        await world.configure(5, mesh_world.route("old", "/old/", "registry"))
        await asyncio.sleep(0.4)
        assert world.nodes[0].configs.version == 9

    @pytest.mark.parametrize(
        "data",
        [
            b"null",
            b"{}",
            b'{"Version":"zz","VirtualHosts":[],"Services":[]}',
            mesh_world.configuration(3, mesh_world.route("r", "/a", "registry")),
            mesh_world.configuration(3, mesh_world.route("r", "/a/", "unknown")),
        ],
    )
    async def test_invalid_configuration_is_ignored(self, world, data):
        await world.start("registry")
        await world.store.put(configs.KIND, configs.NAME, data)
        await asyncio.sleep(0.3)
        assert world.nodes[0].configs.version == 1
        assert (await world.call("/lookup/1"))[0] == 200

    # Guards against a kind of route that is new on the platform making the whole mesh
    # unusable.
    async def test_route_of_an_unknown_kind_is_served_and_never_runs_twice(self, world):
        await world.start("registry", "registry")
        odd = mesh_world.route("odd", "/odd/", "registry", "odd", attempts=3)
        await world.configure(2, *mesh_world.DEFAULT_ROUTES, odd)
        await world.wait(lambda: all(item.configs.version == 2 for item in world.nodes))
        assert (await world.call("/odd/1"))[0] == 200
        assert (await world.call("/lookup/1"))[0] == 200
        for upstream in world.upstreams:
            mesh_world.inject_fault(upstream, "lose")
        before = sum(len(item.runs) for item in world.upstreams)
        assert (await world.call("/odd/2"))[0] == 502
        assert sum(len(item.runs) for item in world.upstreams) == before + 1
        page = world.nodes[0].meters.render().decode()
        assert "rattanridge_unknown_route_kinds 1.0" in page

    async def test_node_without_configuration_refuses_as_not_run(self, world):
        await world.open()
        adding = asyncio.create_task(world.add("registry"))
        await world.wait(lambda: world.nodes)
        status, found, _ = await world.call("/lookup/1")
        assert (status, found["Rattanridge-Ran"]) == (503, "not-run")
        await world.configure(1, *mesh_world.DEFAULT_ROUTES)
        await adding


class TestOutage:
    @pytest.mark.parametrize("fault", ["down", "silent"])
    async def test_requests_are_served_and_changes_applied_afterwards(
        self, world, fault
    ):
        await world.start("registry", "workshop")
        setattr(world.store.faults, fault, True)
        for node in world.nodes:
            await node.store.close()
            node.store.session = None
        assert (await world.call("/lookup/1", node=1))[0] == 200
        await asyncio.sleep(0.5)
        setattr(world.store.faults, fault, False)
        await world.configure(4, *mesh_world.DEFAULT_ROUTES)
        await world.wait(
            lambda: all(node.configs.version == 4 for node in world.nodes), 4.0
        )

    # Guards against a watch that was started while the store was silent and keeps
    # waiting for up to 10.8 s after the store's return. The node then lacks an endpoint
    # that was added in the meantime.
    async def test_endpoints_are_known_soon_after_a_silent_store(self, world):
        await world.start("workshop")
        await world.store.put(records.KIND, "other", b"{}")
        await asyncio.sleep(0.3)
        world.store.faults.silent = True
        await asyncio.sleep(1.5)
        world.store.faults.silent = False
        await world.add("registry")

        async def served():
            return (await world.call("/lookup/1"))[0] == 200

        async with asyncio.timeout(3.0):
            while not await served():
                await asyncio.sleep(0.05)

    # Guards against: nodes whose watches wait for long have no share of the retry
    # budget's allowance, as they do not know whether their records are current.
    async def test_records_stay_current_while_nothing_changes(self, world, monkeypatch):
        monkeypatch.setattr(watching, "STALE_WAIT", (0.15, 0.2))
        await world.start("registry")
        node = world.nodes[0]
        await world.wait(lambda: all(watch.pending for watch in node.watches))
        at = node.membership.budget_nodes.last_contact_at
        await world.wait(
            lambda: node.membership.budget_nodes.last_contact_at > at + 0.5, 2.0
        )
        world.store.faults.silent = True
        await asyncio.sleep(0.3)
        at = node.membership.budget_nodes.last_contact_at
        await asyncio.sleep(0.5)
        assert node.membership.budget_nodes.last_contact_at == at

    # Guards against: over a slow link a check is late, and all kinds, 123 kB of
    # configuration among them, were listed again over that link.
    async def test_nothing_is_listed_again_after_a_short_silence(self, world):
        await world.start("workshop")
        node = world.nodes[0]
        await world.wait(lambda: all(watch.pending for watch in node.watches))
        before = node.meters.values()
        node.health.record_failure(codes.Failure(codes.PLATFORM_DOWN))
        node.health.start_check()
        await world.wait(node.health.up.is_set)
        await world.add("registry")
        await world.wait_for_endpoints()
        after = node.meters.values()
        lists = "rattanridge_store_calls{list,ok}"
        assert after[lists] == before[lists]
        assert (await world.call("/lookup/1"))[0] == 200

    async def test_outage_causes_few_calls(self, world):
        await world.start("registry", "workshop")
        world.store.faults.down = True
        await world.store.put("config", "other", b"{}")
        before = world.store.calls
        await asyncio.sleep(2.0)
        assert world.store.calls - before < 20

    async def test_missed_change_is_read_once_a_peer_reports_it(self, world):
        """The store's watches miss a change that another node has applied."""
        await world.start("workshop", "registry")
        world.store.faults.deaf = True
        fresh = mesh_world.route("new", "/new/", "registry")
        await world.configure(4, *mesh_world.DEFAULT_ROUTES, fresh)
        ahead = world.nodes[0]
        ahead.configs.apply(await ahead.store.get(configs.KIND, configs.NAME))
        await world.call("/lookup/1")
        await world.wait(lambda: world.nodes[1].configs.version == 4, 1.5)
        assert (await world.call("/new/1", node=1))[0] == 200

    # Guards against: a node that had heard of a newer version refused a route of it
    # with 404, as its watch had reported nothing.
    async def test_new_route_is_served_once_a_peer_has_told_of_it(self, world):
        await world.start("workshop", "registry")
        world.store.faults.deaf = True
        fresh = mesh_world.route("new", "/new/", "registry")
        await world.configure(4, *mesh_world.DEFAULT_ROUTES, fresh)
        ahead, behind = world.nodes
        ahead.configs.apply(await ahead.store.get(configs.KIND, configs.NAME))
        await world.call("/lookup/1")
        assert behind.configs.version == 1
        assert (await world.call("/new/1", node=1))[0] == 200
        assert (await world.call("/none/1", node=1))[0] == 404

    async def test_unknown_route_while_the_newer_version_cannot_be_had(self, world):
        await world.start("workshop", "registry")
        world.store.faults.deaf = True
        world.nodes[1].configs.record_peer_version(9, "127.0.0.1:1")
        status, fields, _ = await world.call("/new/1", node=1)
        assert (status, fields["Rattanridge-Ran"]) == (503, "not-run")
        assert (await world.call("/lookup/1", node=1))[0] == 200

    async def test_one_failed_watch_makes_all_list_again(self, world, monkeypatch):
        """The store stops answering watches and drops its history."""
        monkeypatch.setattr(watching, "MIN_LONGEST_WAIT", 0.4)
        monkeypatch.setattr(watching, "WAIT_PER_NODE", 0.0)
        monkeypatch.setattr(watching, "ANSWER_MARGIN", 0.2)
        await world.start("workshop")
        node = world.nodes[0]
        world.store.faults.mute = True
        await asyncio.sleep(0.5)
        await world.configure(4, *mesh_world.DEFAULT_ROUTES)
        await world.wait(lambda: node.configs.version == 4, 3.0)
        assert node.health.relisted_at > float("-inf")

    async def test_nodes_renew_their_watches_at_different_times(self, world):
        await world.start("registry")
        watch = world.nodes[0].watches[0]
        assert len({watch.draw_wait() for _ in range(20)}) == 20

    @pytest.mark.parametrize(("nodes", "longest"), [(10, 10), (195, 18), (830, 18)])
    async def test_some_node_renews_its_watch_each_second(self, world, nodes, longest):
        """It finds out that the store has dropped its history, and tells the others."""
        await world.start("registry")
        watch = world.nodes[0].watches[0]
        watch.health.nodes = nodes
        waits = [watch.draw_wait() for _ in range(200)]
        assert nodes / (sum(waits) / len(waits)) > 1
        assert 0.9 * longest < max(waits) <= longest

    # Guards against: a change was made while the watches heard nothing, the history was
    # dropped, and all nodes handled requests by the older version for over 4 s.
    async def test_change_before_a_dropped_history_that_no_watch_reported(self, world):
        await world.start("registry", "workshop")
        world.store.faults.deaf = True
        await world.configure(4, *mesh_world.DEFAULT_ROUTES)
        world.store.expire_history()
        await world.wait(
            lambda: all(node.configs.version == 4 for node in world.nodes), 3.0
        )

    # Guards against: over a slow link in a storm, all versions that were missed came
    # at once, 123 kB each.
    async def test_large_objects_are_listed_if_other_nodes_have_newer_ones(self, world):
        await world.start("registry")
        node = world.nodes[0]
        watch = node.watches[0]
        await world.wait(lambda: watch.pending)
        watch.renew()
        assert not watch.interrupted
        await world.wait(lambda: watch.pending and not watch.pending.cancelling())
        node.configs.newest_known = 9
        watch.renew()
        assert watch.interrupted

    async def test_node_without_the_store_reads_from_a_peer(self, world):
        await world.start("workshop", "registry")
        world.nodes[0].store.base = "http://127.0.0.1:1/"
        world.store.faults.deaf = True
        await world.configure(4, *mesh_world.DEFAULT_ROUTES)
        other = world.nodes[1]
        other.configs.apply(await other.store.get(configs.KIND, configs.NAME))
        await world.call("/lookup/1")
        await world.wait(lambda: world.nodes[0].configs.version == 4, 2.0)

    async def test_node_that_starts_without_the_store_reads_from_its_callers(
        self, world
    ):
        await world.start("workshop", "registry")
        world.store.faults.down = True
        fresh = nodes.Node(world.nodes[1].config)
        await world.nodes[1].close()
        world.fleet.hosts["node-1"].node = fresh
        await fresh.start()
        await asyncio.sleep(0.2)
        assert not fresh.ready()

        async def reached():
            while not fresh.ready():
                await world.call("/lookup/1")
                await asyncio.sleep(0.05)

        async with asyncio.timeout(4):
            await reached()
        assert (await world.call("/lookup/1", node=1))[0] == 200

    @pytest.mark.parametrize(
        "data", [None, b"", b"\xff", compression.compress(b"odd")[:-2]]
    )
    async def test_unreadable_answer_of_a_peer_is_ignored(self, world, data):
        await world.start("registry")
        configs = world.nodes[0].configs
        before = configs.current

        async def fetch(address, path):
            return data

        configs.fetch = fetch
        configs.peer_address = "127.0.0.1:1"
        await configs.read_from_peer()
        assert configs.current is before

    async def test_large_configuration_is_compressed_between_nodes(self, world):
        """Guards against slow transfers: 24 nodes that the store refused fetched
        123 kB each from one node, over its single link."""
        await world.start("registry")
        paths = [
            mesh_world.route(f"r-{number}", f"/p{number}/", "registry")
            for number in range(800)
        ]
        await world.configure(2, *paths)
        configs = world.nodes[0].configs
        await world.wait(lambda: configs.version == 2)
        assert len(configs.content) > 100_000
        assert len(configs.compressed()) < 0.15 * len(configs.content)
        assert configs.decompress(configs.compressed()) == configs.content

    async def test_dropped_history_is_listed_again(self, world):
        await world.start("registry")
        world.store.expire_history()
        await world.configure(6, *mesh_world.DEFAULT_ROUTES)
        await world.wait(lambda: world.nodes[0].configs.version == 6, 3.0)


class TestRecords:
    async def test_lost_answer_is_read_back(self, world):
        await world.start("registry", "workshop")
        world.store.faults.lost = True
        await world.upstreams[0].drain()
        await asyncio.sleep(0.3)
        world.store.faults.lost = False
        await world.wait(
            lambda: len(world.nodes[1].directory.candidates_of("registry")) == 0, 3.0
        )

    async def test_removed_record_is_written_again(self, world):
        await world.start("registry", "workshop")
        known = world.store.objects[records.KIND, "node-0"]
        await world.store.write(records.KIND, "node-0", 0, known, deleted=True)
        await world.wait(lambda: (records.KIND, "node-0") in world.store.objects)
        await world.wait_for_endpoints()

    async def test_invalid_record_adds_no_endpoint(self, world):
        await world.start("registry", "workshop")
        for index, data in enumerate((b"null", b"[1]", b'{"hop":5}', b'"x"')):
            await world.store.put(records.KIND, f"foreign-{index}", data)
        await world.store.put(orders.KIND, "registry", b'{"Service":1}')
        await asyncio.sleep(0.4)
        assert len(world.nodes[1].directory.candidates_of("registry")) == 1
        assert (await world.call("/lookup/1", node=1))[0] == 200

    async def test_host_with_the_address_of_a_removed_one(self, world):
        """The removed host left its record, and a new node has its address."""
        await world.start("workshop", "registry")
        node = world.nodes[1]
        stale = records.Record(
            node.config.listen.hops, "a", "workshop", "i-old", 1, "v1", 4, "ready"
        )
        await world.store.put(records.KIND, "gone", records.encode(stale))
        await world.wait(lambda: "gone" in world.nodes[0].directory.records)
        world.upstreams[1].shape.slots = 5
        await world.upstreams[1].send_heartbeat()
        found = world.nodes[0].directory
        await world.wait(
            lambda: (
                [item.node for item in found.candidates_of("workshop")] == ["node-0"]
            )
        )
        node.health.relist("test")
        await world.wait(lambda: (records.KIND, "gone") not in world.store.objects)

    async def test_stopping_node_gets_no_more_requests(self, world):
        await world.start("workshop", "registry", "registry")
        stopping = asyncio.create_task(world.nodes[1].stop())
        await world.wait(
            lambda: len(world.nodes[0].directory.candidates_of("registry")) == 1
        )
        assert (await world.call("/lookup/1"))[0] == 200
        await stopping


class TestStorm:
    async def test_versions_in_quick_succession_are_not_all_fetched(
        self, world, monkeypatch
    ):
        """Guards against overloaded links: configurations are large, links slow."""
        monkeypatch.setattr(watching, "STORM_LIST_SHARE", 0.1)
        await world.start("registry")
        stored = world.store.objects[configs.KIND, configs.NAME]
        size = len(msgspec.json.encode(stored))
        before = world.store.sent_bytes
        for version in range(2, 32):
            await world.configure(version, *mesh_world.DEFAULT_ROUTES)
            await asyncio.sleep(0.03)
        await world.wait(lambda: world.nodes[0].configs.version == 31, 2.0)
        assert world.store.sent_bytes - before < 15 * size
        await world.configure(40, *mesh_world.DEFAULT_ROUTES)
        await world.wait(lambda: world.nodes[0].configs.version == 40, 2.0)
