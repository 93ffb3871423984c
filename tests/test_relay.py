"""Relays: fan out, bounds, and what they learn of their nodes."""

import asyncio

import grpc.aio
import pytest

from rattanridge.control import (
    messages,
    relay as relays,
)
from rattanridge.kernel import clock, snapshot
from tests import fakes


class TestRelay:
    @pytest.fixture
    def state(self):
        return fakes.make_replica()

    @pytest.fixture
    async def relay(self, state):
        made = relays.Relay(state.config, state, state.counters)
        made.begin()
        yield made
        made.end()

    async def join(self, relay, *said):
        context = fakes.Context(*said)
        task = asyncio.create_task(relay.subscribe(said[0].node, context))
        await clock.settle()
        return context, task

    async def test_idle_node_gathers_nothing(self, state):
        made = relays.Relay(state.config, state, state.counters)
        state.table.merge(fakes.endpoint())
        assert not made.batch

    async def test_no_configuration_yet(self, relay):
        context, _ = await self.join(relay, fakes.hello(generation=0, digest="x"))
        assert messages.Config not in context.kinds()

    async def test_no_full_snapshot_to_a_node_that_has_the_hash(self, relay, state):
        state.swap(fakes.make_snapshot(1))
        table = state.table.digest()
        context, _ = await self.join(relay, fakes.hello("two", 1, state.digest, table))
        assert context.kinds() == [messages.Welcome]

    async def test_deltas_follow_what_was_sent(self, relay, state):
        state.swap(fakes.make_snapshot(1))
        context, _ = await self.join(relay, fakes.hello())
        state.swap(fakes.make_snapshot(2, ["pay", "print"]))
        state.swap(fakes.make_snapshot(3, ["pay"]))
        await clock.settle()
        other = fakes.make_replica("two")
        for message in context.got:
            if isinstance(message, messages.Config):
                other.apply(message.delta)
        assert other.digest == state.digest

    async def test_mismatch_asks_for_the_whole(self, relay, state):
        state.swap(fakes.make_snapshot(1))
        context, _ = await self.join(relay, fakes.hello())
        newer = fakes.make_snapshot(2, ["print"])
        delta = snapshot.diff(fakes.make_snapshot(1, ["archive"]), newer)
        context.said.put_nowait(messages.Config(delta))
        await clock.settle()
        assert messages.Want in context.kinds()
        context.said.put_nowait(messages.Config(snapshot.diff(None, newer)))
        await clock.settle()
        assert state.generation == 2

    async def test_records_do_not_return_to_their_sender(self, relay, state):
        sender, _ = await self.join(relay, fakes.hello("two"))
        other, _ = await self.join(relay, fakes.hello("three"))
        sender.said.put_nowait(messages.Records([fakes.endpoint("two")]))
        async with asyncio.timeout(5):
            while messages.Records([fakes.endpoint("two")]) not in other.got:
                await asyncio.sleep(0.01)
        assert messages.Records([fakes.endpoint("two")]) not in sender.got

    async def test_storm_gathers_longer_and_calm_ends_it(self, state):
        relay = relays.Relay(state.config, state, state.counters, clock.ManualClock())
        relay.serving = True
        shortest = state.config.control.batch_interval
        longest = shortest * relays.STORM_STRETCH
        for sequence in range(1, 9):
            for number in range(relays.STORM_RECORDS):
                state.table.merge(fakes.endpoint(f"n{number}", sequence=sequence))
            await relay.time.advance(longest)
        assert relay.gathering == longest
        for sequence in range(9, 17):
            state.table.merge(fakes.endpoint("n0", sequence=sequence))
            await relay.time.advance(longest)
        assert relay.gathering == shortest

    async def test_stuck_subscriber_is_sent_away(self, state, relay):
        relay.config.control.stream_timeout = 0.05
        context, task = await self.join(relay, fakes.hello())
        context.stuck = True
        relay.members["two"].outbox.put(messages.Beat(1))
        await asyncio.wait_for(task, 10)
        assert "two" not in relay.members
        assert relay.nodes["two"].lost_at

    @pytest.mark.parametrize("said", [(), (messages.Beat(1),), (fakes.hello("three"),)])
    async def test_stream_without_a_proper_hello_ends(self, relay, said):
        relay.config.control.stream_timeout = 0.05
        await asyncio.wait_for(relay.subscribe("two", fakes.Context(*said)), 10)
        assert not relay.members

    async def test_admissions_are_bounded(self, relay, state):
        relay.config.control.admissions = 1
        relay.admitting = 1
        context, task = await self.join(relay, fakes.hello())
        await task
        assert context.kinds() == [messages.Busy]

    async def test_restarted_node_is_remembered(self, relay):
        await self.join(relay, fakes.hello("two", generation=7))
        await self.join(relay, fakes.hello("two", generation=0))
        assert relay.nodes["two"].generation == 7

    @pytest.mark.parametrize("leaving", [True, False])
    async def test_planned_stop_is_no_loss(self, relay, leaving):
        report = messages.Report(0, "", leaving=leaving)
        _, task = await self.join(relay, fakes.hello(), report, grpc.aio.EOF)
        await task
        assert ("two" in relay.nodes) is not leaving
