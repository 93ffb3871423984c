"""A store that returns from an older copy of itself, and has lost what came after."""

import asyncio
import dataclasses
import time

import aiohttp
import pytest

from rattanridge.kernel import codes
from rattanridge.mesh import kept_claims, node as nodes
from rattanridge.mesh.discovery import records
from rattanridge.platform import configs, orders, store as stores, store_objects
from rattanridge.standin import fleet, upstream as upstreams
from rattanridge.web import headers
from tests import mesh_world

RETURNED_WITHIN = 4.0  # seconds in which nodes follow the store again


async def start(world):
    await world.start("workshop", "registry", "registry", slots=12)
    await world.add("registry", "b", 12, "v2")
    await world.wait_for_endpoints()


async def restore(world, seconds):
    """Let the store return from a copy that is some seconds old."""
    await world.store.restore(seconds)


def rollout_state(world):
    stored = world.store.objects.get((orders.KIND, "registry"))
    status = orders.decode_status(bytes(stored.status)) if stored else None
    return status.state if status is not None else ""


class TestRevisions:
    @pytest.mark.parametrize(
        ("earlier", "later"), [((0, 5), (0, 6)), ((1, 900), (2, 3)), ((0, 7), (1, 1))]
    )
    def test_later_eras_come_later(self, earlier, later):
        assert store_objects.make_revision(*earlier) < store_objects.make_revision(
            *later
        )
        assert store_objects.era_of(store_objects.make_revision(*later)) == later[0]

    def test_no_revision_is_none_in_all_eras(self):
        assert store_objects.make_revision(3, 0) == 0

    @pytest.mark.parametrize("text", [None, "", "-1", "x", "1.5", "²"])
    def test_unreadable_era_changes_nothing(self, text):
        store = stores.Store("127.0.0.1:1")
        store.record_era("4")
        assert store.record_era(text) == 4
        assert store.era == 4

    def test_listeners_hear_of_later_eras_only(self):
        store = stores.Store("127.0.0.1:1")
        heard = []
        store.era_listeners.append(lambda: heard.append(store.era))
        for text in ("2", "2", "3", "2", "3", "5"):
            store.record_era(text)
        assert heard == [3, 5]


class TestStoreClient:
    # Guards against: a number that was given out again lets a write through that was
    # meant for another content.
    async def test_write_on_a_revision_of_an_earlier_era_is_a_conflict(self, world):
        await world.open()
        store = stores.Store(world.store.address)
        written = await store.create("things", "a", b"1")
        await restore(world, 60.0)
        await world.store.put("things", "a", b"2")
        assert world.store.objects["things", "a"].metadata.revision == (
            written.revision % store_objects.ERA_REVISIONS
        )
        await store.list("things")
        with pytest.raises(codes.Failure) as found:
            await store.replace("things", "a", b"3", written.revision)
        assert found.value.code is codes.PLATFORM_CONFLICT
        assert bytes(world.store.objects["things", "a"].spec) == b"2"
        await store.close()

    # Guards against: a watch from a revision that was given out again misses all that
    # came before it in the new era.
    @pytest.mark.parametrize("changes", [0, 1, 9])
    async def test_watch_of_an_earlier_era_is_lost(self, world, changes):
        await world.open()
        store = stores.Store(world.store.address)
        await store.create("things", "a", b"1")
        listing = await store.list("things")
        await restore(world, 60.0)
        for number in range(changes):
            await world.store.put("things", f"b{number}", b"1")
        with pytest.raises(codes.Failure) as found:
            await store.watch("things", listing.revision, 0.1, 0.8)
        assert found.value.code is codes.WATCH_LOST
        await store.close()


class TestNodes:
    # Guards against: nodes refuse the store's lists as old until its counter has passed
    # (list-old for 15 s on the day restored-verdict), and learn nothing meanwhile.
    async def test_change_after_the_return_is_in_force_in_time(self, world):
        await start(world)
        for number in range(40):
            await world.store.put("things", str(number), b"1")
        await world.configure(2, *mesh_world.DEFAULT_ROUTES)
        await world.wait(lambda: all(n.configs.version == 2 for n in world.nodes))
        await restore(world, 60.0)
        await world.configure(3, *mesh_world.DEFAULT_ROUTES)
        await world.wait(
            lambda: all(node.configs.version == 3 for node in world.nodes),
            RETURNED_WITHIN,
        )

    async def test_configuration_never_goes_back(self, world):
        await start(world)
        copied_at = time.monotonic()
        await world.configure(2, *mesh_world.DEFAULT_ROUTES)
        await world.wait(lambda: all(n.configs.version == 2 for n in world.nodes))
        await restore(world, time.monotonic() - copied_at)
        stored = world.store.objects[configs.KIND, configs.NAME]
        assert b"00000002" not in bytes(stored.spec)
        await asyncio.sleep(1.0)
        assert {node.configs.version for node in world.nodes} == {2}

    # Guards against: a node that starts after the return goes by the older
    # configuration, though others tell it that they have a newer one.
    @pytest.mark.parametrize("pause", [0.0, 2.5])
    async def test_node_that_starts_after_the_return_asks_the_others(
        self, world, pause
    ):
        await start(world)
        await asyncio.sleep(0.3)
        await world.configure(2, *mesh_world.DEFAULT_ROUTES)
        await world.wait(lambda: all(n.configs.version == 2 for n in world.nodes))
        await restore(world, 0.25)
        assert b"00000002" not in bytes(
            world.store.objects[configs.KIND, configs.NAME].spec
        )
        fresh = nodes.Node(world.nodes[0].config)
        await world.nodes[0].close()
        world.fleet.hosts["node-0"].node = fresh
        await fresh.start()
        await asyncio.sleep(pause)
        async with asyncio.timeout(RETURNED_WITHIN):
            while fresh.configs.version != 2:
                await world.call("/lookup/1")
                await asyncio.sleep(0.05)

    async def test_records_are_written_again(self, world):
        await world.start("workshop", "registry", slots=12)
        await asyncio.sleep(0.3)
        await world.add("registry", "b", 12)
        await world.wait_for_endpoints()
        await restore(world, 0.2)
        await world.wait(
            lambda: ("nodes", "node-2") in world.store.objects, RETURNED_WITHIN
        )
        await world.wait_for_endpoints()

    async def test_leaving_is_written_again(self, world):
        await start(world)
        copied_at = time.monotonic()
        await world.upstreams[1].drain_and_stop()
        await world.wait(lambda: "node-1" not in world.nodes[0].directory.candidates)
        await restore(world, time.monotonic() - copied_at)
        stored = world.store.objects[records.KIND, "node-1"]
        assert records.decode(bytes(stored.spec)).state == records.READY
        await asyncio.sleep(RETURNED_WITHIN / 2)
        assert "node-1" not in world.nodes[0].directory.candidates


class TestClaims:
    @pytest.fixture
    async def running(self):
        async with fleet.Fleet() as made:
            await made.add("one", "zone-a", upstreams.Shape("press", work=0.0))
            await made.add("two", "zone-a", upstreams.Shape("other"))
            generation = await made.put_preset(fleet.make_preset("day", ["press"]))
            await made.wait_applied(generation)
            await made.wait_endpoints()
            yield made

    async def post(self, running, name):
        address = running.hosts[name].node.config.listen.callers
        sent = {upstreams.IDEMPOTENCY_KEY: "k", "Deadline-Ms": "6000"}
        async with aiohttp.ClientSession() as session:
            url = f"http://{address}/press/run"
            async with session.post(url, data=b"ring", headers=sent) as response:
                return response.status, response.headers.get(headers.RECORDED)

    # Guards against: a request with a key runs again, as the store has lost its claim.
    @pytest.mark.parametrize("pause", [0.0, 1.0])
    async def test_claim_that_the_store_has_lost_is_written_again(self, running, pause):
        await asyncio.sleep(0.6)
        assert await self.post(running, "one") == (200, None)
        await running.store.restore(0.5)
        assert not any(kind == "claims" for kind, _ in running.store.objects)
        await asyncio.sleep(pause)
        assert await self.post(running, "two") == (200, "1")
        assert len(running.hosts["one"].upstream.runs) == 1

    async def test_earlier_state_of_a_claim_is_replaced(self, running):
        running.hosts["one"].upstream.shape.work = 0.6
        await self.post(running, "one")
        await asyncio.sleep(0.2)
        await running.store.restore(0.5)
        assert await self.post(running, "two") == (200, "1")
        assert len(running.hosts["one"].upstream.runs) == 1

    def test_old_claims_are_forgotten(self, monkeypatch):
        kept = kept_claims.KeptClaims(None, None)
        monkeypatch.setattr(kept_claims, "MAX_CLAIMS", 3)
        kept.now = lambda: 5.0
        for name in "abcde":
            kept.record(name, None)
        assert list(kept.claims) == ["c", "d", "e"]
        kept.now = lambda: 500.0
        kept.record("f", None)
        assert list(kept.claims) == ["f"]


class TestVerdicts:
    # Guards against: a version that was rolled back is on trial again, as the store has
    # forgotten the verdict.
    @pytest.mark.parametrize("lost", ["status", "order"])
    async def test_verdict_is_kept_and_written_again(self, world, lost):
        await start(world)
        await asyncio.sleep(0.3)
        copied_at = time.monotonic()
        await world.order("registry", "v2", 30.0)
        await world.wait(lambda: rollout_state(world) == orders.RUNNING)
        if lost == "status":
            await asyncio.sleep(0.5)
            copied_at = time.monotonic()
        world.nodes[3].exit.trial.brake("v2")
        await world.wait(lambda: rollout_state(world) == orders.ROLLED_BACK, 5.0)
        await world.wait(
            lambda: all(
                node.versions.state_of("registry", "v2") == orders.ROLLED_BACK
                for node in world.nodes
            )
        )
        # As if the store had returned later: nothing but the verdict is remembered.
        await world.wait(
            lambda: (
                not any(
                    node.coordination.coordinator.evaluations for node in world.nodes
                )
            )
        )
        world.nodes[3].exit.trial.braked_until = 0.0
        await restore(world, time.monotonic() - copied_at)
        if lost == "order":
            assert (orders.KIND, "registry") not in world.store.objects
            await asyncio.sleep(0.5)
            await world.order("registry", "v2", 30.0)
        assert rollout_state(world) != orders.ROLLED_BACK
        await world.wait(
            lambda: rollout_state(world) == orders.ROLLED_BACK, RETURNED_WITHIN
        )
        assert not world.upstreams[3].runs

    async def test_version_that_took_over_is_not_on_trial_again(self, world):
        await start(world)
        await world.order("registry", "v2", 6.0)
        await world.wait(lambda: rollout_state(world) == orders.RUNNING)
        await asyncio.sleep(0.4)
        versions = world.nodes[0].versions
        rollout = versions.rollouts["registry"]
        completed = dataclasses.replace(
            rollout.current_status(), state=orders.COMPLETED, share=1.0
        )
        for node in world.nodes:
            for task in node.tasks.items:
                if "Coordinator" in repr(task.get_coro()):
                    task.cancel()
        stored = await world.nodes[0].store.replace_status(
            orders.KIND, "registry", orders.encode_status(completed), 0
        )
        await world.wait(
            lambda: all(
                node.versions.state_of("registry", "v2") == orders.COMPLETED
                for node in world.nodes
            )
        )
        assert not stored.deleted
        await restore(world, 0.3)
        for node in world.nodes:
            node.tasks.start(node.coordination.coordinator.run())
        await world.wait(
            lambda: rollout_state(world) == orders.COMPLETED, RETURNED_WITHIN
        )
        assert world.nodes[3].exit.trial.refusal() is None
