"""A zone's objects: losses, status and roster."""

import msgspec
import pytest

from rattanridge.control import (
    messages,
    relay as relays,
    zone as zones,
)
from rattanridge.kernel import clock
from rattanridge.objectapi import leases, objects
from rattanridge.standin import store as stores
from tests import fakes


class TestZone:
    @pytest.fixture
    def time(self):
        return clock.ManualClock()

    @pytest.fixture
    def platform(self, time):
        return fakes.Platform(stores.Store(), time)

    def make(self, platform, time, name="one"):
        state = fakes.make_replica(name)
        relay = relays.Relay(state.config, state, state.counters, time)
        relay.serving = True
        return zones.Zone(state.config, platform, state, relay, time)

    @pytest.mark.parametrize("state", ["up", "draining"])
    async def test_endpoint_whose_relay_died_with_it(self, platform, time, state):
        zone = self.make(platform, time)
        zone.state.table.merge(fakes.endpoint("two", state))
        for _ in range(3):
            zone.judge()
            time.now += zone.config.control.orphan_after
        assert zone.state.table.records[("endpoint", "two")].state == "lost"

    async def test_heard_by_another_relay_is_not_lost(self, platform, time):
        zone = self.make(platform, time)
        zone.state.table.merge(fakes.endpoint("two"))
        zone.relay.lost_at["two"] = time.now
        zone.relay.nodes["two"] = messages.NodeState(1, lost_at=1.0)
        told = messages.Presence("three", {"two": messages.NodeState(1)})
        zone.presences = lambda: [told]
        for _ in range(3):
            zone.judge()
            time.now += zone.config.control.orphan_after
        assert zone.state.table.records[("endpoint", "two")].state == "up"
        assert "two" not in zone.relay.nodes

    @pytest.mark.parametrize("alive", [True, False])
    async def test_other_zone_is_judged_only_without_relays(
        self, platform, time, alive
    ):
        zone = self.make(platform, time)
        zone.state.table.merge(fakes.endpoint("far", zone="b"))
        zone.zone_alive = lambda name: alive
        for _ in range(3):
            zone.judge()
            time.now += zone.config.control.orphan_after
        dead = zone.state.table.records[("endpoint", "far")].dead
        assert dead is not alive

    async def write(self, zone, time):
        writer = zone.writer("roster/a", list[messages.Endpoint])
        await writer.sync(zone.endpoints)
        time.now += 2
        return writer

    async def test_no_read_and_no_write_without_a_change(self, platform, time):
        zone = self.make(platform, time)
        zone.state.table.merge(fakes.endpoint("two"))
        writer = await self.write(zone, time)
        before = dict(platform.counters.values)
        await writer.sync(zone.endpoints)
        assert platform.counters.values == before
        zone.state.table.merge(fakes.endpoint("two", sequence=2))
        await writer.sync(zone.endpoints)
        assert platform.counters.get("platform.get") == before["platform.get"]
        assert platform.counters.get("platform.put") == before["platform.put"] + 1

    async def test_paused_writer_merges_before_it_writes(self, platform, time):
        paused, other = (self.make(platform, time, name) for name in ("one", "two"))
        paused.state.table.merge(fakes.endpoint("old"))
        writer = await self.write(paused, time)
        await self.write(other, time)
        other.state.table.merge(fakes.endpoint("new"))
        await self.write(other, time)
        paused.state.table.merge(fakes.endpoint("old", sequence=2))
        for _ in range(2):
            await writer.sync(paused.endpoints)
            time.now += 2
        stored = msgspec.json.decode(platform.store.get("roster/a").value)
        assert len(stored) == 2

    async def test_lost_nodes_of_the_former_holder_are_told(self, platform, time):
        zone = self.make(platform, time)
        former = zones.ZoneStatus("gone", {"two": messages.NodeState(3)})
        platform.store.put(
            "status/a/0",
            objects.Write(msgspec.Raw(msgspec.json.encode(former)), 0, "w"),
        )
        writer = zone.writer("status/a/0", zones.ZoneStatus)
        writer.taken = zone.take_status
        await writer.sync(zone.status)
        assert zone.status().nodes["two"].lost_at
        time.now += zone.config.control.forget_after
        zone.judge()
        assert set(zone.status().nodes) == {"one"}

    @pytest.mark.parametrize("planned", [True, False])
    async def test_relay_that_stopped_as_planned_is_not_lost(
        self, platform, time, planned
    ):
        former = leases.Lease(platform, "relay-a-0", "gone", "gone:1", 3.0, time)
        await former.step()
        lease = leases.Lease(platform, "relay-a-0", "one", "one:1", 3.0, time)
        await lease.step()
        if planned:
            await former.release()
        time.now += 4
        assert await lease.step()
        zone = self.make(platform, time)
        zone.former_left = lease.given_back
        zone.take_status(zones.ZoneStatus("gone", {"gone": messages.NodeState(3)}))
        assert ("gone" in zone.relay.nodes) is not planned
