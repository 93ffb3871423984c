"""Subscribers, the source, learning and roles of one node."""

import asyncio
import itertools

import hypothesis
import msgspec
import pytest
from hypothesis import strategies

from rattanridge.control import (
    finder,
    learning,
    member as members,
    messages,
    replica,
    source as sources,
    subscriber as subscribers,
    transport,
)
from rattanridge.kernel import clock, codes, metrics, snapshot
from rattanridge.measure import fleet
from rattanridge.objectapi import leases, objects
from rattanridge.standin import store as stores
from tests import fakes


class TestSubscriber:
    @pytest.fixture
    def subscriber(self):
        state = fakes.make_replica()
        return subscribers.Subscriber(state.config, state, None, state.counters, 1)

    def test_what_came_from_the_relay_is_not_sent_back(self, subscriber):
        subscriber.state.table.listeners.append(subscriber.offer)
        subscriber.handle(messages.Records([fakes.endpoint("two")]))
        assert subscriber.outbox.queue.empty()
        subscriber.state.table.merge(fakes.endpoint("one"))
        assert not subscriber.outbox.queue.empty()

    async def test_another_base_asks_for_the_whole(self, subscriber):
        delta = snapshot.diff(fakes.make_snapshot(1), fakes.make_snapshot(2, ["print"]))
        subscriber.handle(messages.Config(delta))
        assert isinstance(await subscriber.outbox.get(), messages.Want)

    def test_rejection_is_reported(self, subscriber):
        why = messages.Rejection(2, 1004, "presets/day/00000002: no service")
        subscriber.handle(messages.Rejected(why))
        assert subscriber.state.report().rejection == why

    def answer_reads(self, subscriber, read):
        class Call:
            async def write(self, data):
                pass

            def cancel(self):
                pass

        class Streams:
            def stream(self, address, method):
                call = Call()
                call.read = read
                return call

        subscriber.channels = Streams()

    async def test_cancelled_task_ends_whatever_the_library_raises(self, subscriber):
        async def read():
            try:
                await asyncio.Event().wait()
            except asyncio.CancelledError:
                raise asyncio.InvalidStateError("closed")

        self.answer_reads(subscriber, read)
        task = asyncio.create_task(subscriber.run("two:1"))
        await clock.settle()
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

    async def test_cancelled_call_is_a_lost_relay(self, subscriber):
        """grpc tells of a call that this side cancelled by ``CancelledError``."""

        async def read():
            raise asyncio.CancelledError

        self.answer_reads(subscriber, read)
        with pytest.raises(codes.Failure) as caught:
            await subscriber.run("two:1")
        assert caught.value.code is codes.NO_RELAY

    async def test_frozen_relay_is_left(self):
        """A relay that accepts the stream and then says nothing."""

        async def freeze(node, context):
            await asyncio.Event().wait()

        config = fakes.make_settings()
        config.control.stream_timeout = 0.1
        server = transport.Server(config)
        server.add_stream("Subscribe", freeze)
        address = await server.start()
        state = replica.Replica(config, metrics.Counters())
        channels = transport.Channels(config)
        node = subscribers.Subscriber(config, state, channels, state.counters, 1)
        with pytest.raises(codes.Failure) as caught:
            await asyncio.wait_for(node.run(address), 30)
        assert caught.value.code is codes.NO_RELAY
        await channels.close()
        await server.stop()

    crossing = strategies.lists(strategies.integers(0, 11), max_size=40)

    @hypothesis.given(crossing)
    def test_crossed_lost_and_doubled_messages(self, order):
        """Two relays' messages in any order, and the whole on request."""
        state = fakes.make_replica()
        node = subscribers.Subscriber(state.config, state, None, state.counters, 1)
        made = [fakes.make_snapshot(n, ["pay", f"s{n}"]) for n in range(1, 7)]
        deltas = [snapshot.diff(None, made[0])]
        deltas += [snapshot.diff(a, b) for a, b in itertools.pairwise(made)]
        deltas += [snapshot.diff(None, item) for item in made]
        highest = 0
        for index in order:
            before = state.generation
            node.handle(messages.Config(deltas[index]))
            assert state.generation >= before
            highest = max(highest, state.generation)
            if state.snapshot is not None:
                assert state.digest == made[state.generation - 1].digest
        node.handle(messages.Config(deltas[-1]))
        assert state.generation == 6


class TestSource:
    @pytest.fixture
    def platform(self):
        return fakes.Platform(stores.Store(), clock.ManualClock())

    async def choose(self, platform, generation, services=("pay",), route=""):
        preset = fleet.make_preset("day", list(services))
        if route:
            preset.routes[0].service = route
        key = sources.preset_key("day", generation)
        await platform.put(key, preset, 0)
        pointer = objects.InForce(generation, "day", generation)
        for name, value in (("in-force", pointer), ("history", [pointer])):
            stored = await platform.find(name)
            if stored and name == "history":
                value = [*msgspec.json.decode(stored.value), *value]
            await platform.put(name, value, stored.version if stored else 0)

    async def test_invalid_revision_is_named_and_the_former_one_comes(self, platform):
        await self.choose(platform, 1)
        await self.choose(platform, 2, route="nowhere")
        state = fakes.make_replica()
        state.hold()
        await sources.Source(state.config, platform, state).load()
        assert state.generation == 1
        assert state.rejection.generation == 2
        assert state.rejection.code == codes.MISSING_SERVICE.number
        assert sources.preset_key("day", 2) in state.rejection.reason

    async def test_nothing_chosen_yet(self, platform):
        state = fakes.make_replica()
        state.hold()
        await sources.Source(state.config, platform, state).load()
        assert state.floor == 0


class TestLearner:
    def make(self, answers, plan=()):
        platform = fakes.Platform(stores.Store(), clock.ManualClock())
        platform.plan = list(plan)
        state = fakes.make_replica(peers=["p:1"])
        state.hold()
        return learning.Learner(state.config, platform, state, fakes.Channels(answers))

    async def test_platform_tells(self):
        learner = self.make({})
        pointer = objects.InForce(5, "day", 1)
        await learner.platform.put("in-force", pointer, 0)
        await learner.look()
        assert learner.state.floor == 5

    @pytest.mark.parametrize(
        ("first", "second", "floor"),
        [
            ((4, True), (6, True), 6),
            ((6, False), (4, True), 6),
            ((6, False), (4, False), None),
            (None, (4, True), 4),
            (None, None, None),
        ],
    )
    async def test_relays_tell_while_the_platform_is_down(self, first, second, floor):
        roles = [messages.Role(f"relay-a-{n}", f"r{n}", f"r{n}:1", 1) for n in range(2)]
        answers = {"p:1": messages.Known(0, roles)}
        for address, known in (("r0:1", first), ("r1:1", second)):
            if known is not None:
                answers[address] = messages.Known(known[0], [], known[1])
        learner = self.make(answers)
        await learner.ask([])
        assert learner.state.floor == floor


class TestMember:
    @pytest.fixture
    def member(self):
        config = fakes.make_settings()
        platform = fakes.Platform(stores.Store(), clock.ManualClock())
        state = fakes.make_replica()
        server = fakes.Server(config)
        return members.Member(config, platform, state, server, metrics.Counters())

    async def test_relay_that_failed_is_the_last_choice(self, member):
        for slot, holder in enumerate(("two", "three")):
            role = messages.Role(f"relay-a-{slot}", holder, f"{holder}:1", 1)
            member.state.table.merge(role)
        member.finder.failed["two:1"] = member.time.monotonic()
        assert await member.finder.find() == "three:1"

    async def hold(self, member, slot, holder, version):
        value = objects.LeaseValue(holder, f"{holder}:1", 1, 3.0)
        await member.platform.put(f"leases/relay-a-{slot}", value, version)

    async def test_dead_relays_of_stale_leases_are_not_tried_for_ever(self, member):
        """Both relays died: the node must look at the leases, and win one."""
        member.time = member.finder.time = member.platform.time
        member.state.hold()
        for slot, holder in enumerate(("two", "three")):
            await self.hold(member, slot, holder, 0)
        for _ in range(8):
            finding = asyncio.create_task(member.finder.find())
            await clock.settle()
            await member.time.advance(finder.CANDIDATE_SPREAD)
            if address := await finding:
                member.finder.failed[address] = member.time.monotonic()
            await member.time.advance(member.config.control.backoff_limit)
        assert member.finder.won is not None

    async def test_relay_that_renews_its_lease_is_tried_again(self, member):
        member.config.relay = False
        await self.hold(member, 0, "two", 0)
        assert await member.finder.find() == "two:1"
        member.finder.failed["two:1"] = member.time.monotonic()
        member.finder.next_look = member.time.monotonic()
        stored = await member.platform.get("leases/relay-a-0")
        await self.hold(member, 0, "two", stored.version)
        assert member.finder.zone_relays() == []
        assert await member.finder.find() == "two:1"
        assert member.finder.zone_relays() == ["two:1"]

    async def test_other_zone_serves_while_the_own_has_none(self, member):
        member.platform.plan = ["down"] * 9
        role = messages.Role("relay-b-0", "far", "far:1", 1)
        member.state.table.merge(role)
        assert await member.finder.find() == "far:1"

    async def test_superseded_by_a_lease_or_a_record(self, member):
        lease = leases.Lease(member.platform, "relay-a-0", "one", "one:1", 3.0)
        await lease.step()
        assert not member.superseded(lease)
        member.state.table.merge(messages.Role("relay-a-0", "two", "two:1", 2))
        assert member.superseded(lease)
