"""Control path: records, replica, announcements, relays, zones, learning."""

import asyncio
import itertools

import grpc.aio
import hypothesis
import msgspec
import pytest
from hypothesis import strategies

from rattanridge.control import (
    learning,
    member as members,
    messages,
    outbox,
    relay as relays,
    replica,
    roster,
    source as sources,
    subscriber as subscribers,
    tables,
    transport,
    zone as zones,
)
from rattanridge.kernel import clock, codes, metrics, snapshot
from rattanridge.measure import fleet
from rattanridge.platform import leases, objects
from rattanridge.standin import store as stores
from tests import fakes


def endpoint(name="one", state="up", incarnation=1, sequence=1, zone="a"):
    return messages.Endpoint(
        name, zone, "pay", "v1", "h:1", 6, 110, state, incarnation, sequence
    )


def make_snapshot(generation: int, services=("pay",)) -> snapshot.Snapshot:
    preset = fleet.make_preset("day", list(services))
    return snapshot.build(generation, snapshot.split(preset, generation))


records = strategies.builds(
    endpoint,
    name=strategies.sampled_from(["one", "two"]),
    state=strategies.sampled_from(["up", "draining", "gone", "lost"]),
    incarnation=strategies.integers(1, 2),
    sequence=strategies.integers(1, 3),
)


class TestTable:
    @hypothesis.given(strategies.lists(records, max_size=12), strategies.randoms())
    def test_any_order_ends_the_same(self, items, random):
        first, second = tables.Table(), tables.Table()
        for record in items:
            first.merge(record)
        crossed = [*items, *items[:3]]
        random.shuffle(crossed)
        for record in crossed:
            second.merge(
                messages.decode(messages.encode(messages.Records([record]))).items[0]
            )
        assert first.records == second.records
        assert first.digest() == second.digest()

    def test_dead_records_are_dropped_and_leave_no_trace(self):
        table = tables.Table()
        empty = table.digest()
        table.merge(endpoint())
        table.merge(endpoint(state="lost"))
        table.merge(messages.Quarantine("f", 50.0, ("one",)))
        table.tidy(now=0.0, wall=0.0, keep=10.0)
        assert len(table.records) == 2
        assert not table.merge(endpoint())
        table.tidy(now=11.0, wall=61.0, keep=10.0)
        assert not table.records
        assert table.digest() == empty

    def test_revived_record_is_kept(self):
        table = tables.Table()
        table.merge(endpoint(state="lost"))
        table.tidy(now=0.0, wall=0.0, keep=10.0)
        table.merge(endpoint(sequence=2))
        table.tidy(now=20.0, wall=0.0, keep=10.0)
        assert table.records


class TestReplica:
    def test_nothing_in_force_below_what_was_learnt(self):
        state = fakes.make_replica()
        state.hold()
        state.apply(snapshot.diff(None, make_snapshot(3)))
        assert state.snapshot is None
        state.learn(4)
        assert state.snapshot is None
        state.apply(snapshot.diff(None, make_snapshot(4)))
        assert state.generation == 4

    def test_rejected_floor_lets_the_former_one_in(self):
        state = fakes.make_replica()
        state.hold()
        state.learn(4)
        state.apply(snapshot.diff(None, make_snapshot(3)))
        state.note_rejection(messages.Rejection(4, 1004, "no service"))
        assert state.generation == 3
        assert state.report().rejection.code == 1004

    def test_invalid_one_is_rejected_whole_and_reported(self):
        state = fakes.make_replica()
        state.swap(make_snapshot(1))
        good = make_snapshot(2, ["pay", "print"])
        resources = {k: v for k, v in good.resources.items() if k != "service/pay"}
        digest = snapshot.hash_resources(2, resources)
        state.apply(snapshot.Delta(2, "", digest, resources, []))
        assert state.generation == 1
        assert state.rejection.code == codes.MISSING_SERVICE.number
        state.swap(make_snapshot(3))
        assert state.rejection is None


class TestAnnouncer:
    @pytest.fixture
    def state(self):
        return fakes.make_replica()

    @pytest.fixture
    def announcer(self, state):
        made = roster.Announcer(state.config, state, 1000)
        made.announce("pay", "v1", "h:1", 6, 110, "up")
        return made

    @pytest.mark.parametrize("kept", ["up", "draining", "gone"])
    def test_loss_is_refuted_with_the_own_state(self, state, announcer, kept):
        announcer.change(kept)
        current = state.table.records[("endpoint", "one")]
        state.table.merge(msgspec.structs.replace(current, state="lost"))
        after = state.table.records[("endpoint", "one")]
        assert after.state == kept
        assert after.sequence > current.sequence

    def test_earlier_start_with_a_clock_ahead(self, state, announcer):
        state.table.merge(endpoint(incarnation=5000, sequence=9))
        assert state.table.records[("endpoint", "one")].incarnation > 5000

    def test_nothing_is_published_twice(self, state, announcer):
        announcer.announce("pay", "v1", "h:1", 6, 110, "up")
        assert state.table.records[("endpoint", "one")].sequence == 1


class TestOutbox:
    async def test_overflow_closes_and_empties(self):
        box = outbox.Outbox(2)
        for number in range(5):
            box.put(messages.Beat(number))
        assert box.closed
        assert await box.get() is None

    async def test_records_that_wait_go_as_one(self):
        box = outbox.Outbox(9)
        for sequence in (1, 2):
            box.put(messages.Records([endpoint(sequence=sequence)]))
        box.put(messages.Beat(1))
        assert len((await box.get()).items) == 2
        assert await box.get() == messages.Beat(1)


class TestMessages:
    @pytest.mark.parametrize("count", [1, 200])
    def test_large_ones_are_packed(self, count):
        sent = messages.Records([endpoint(f"n{number}") for number in range(count)])
        data = messages.encode(sent)
        assert messages.decode(data) == sent
        assert len(data) < 30 * count + 100

    def test_bomb_and_rubbish_are_refused(self):
        bomb = messages.zlib.compress(bytes(messages.MAX_MESSAGE_BYTES + 1))
        for data in (bomb, b"x"):
            with pytest.raises(codes.Failure) as caught:
                messages.decode(messages.encoder.encode(messages.Packed(data)))
            assert caught.value.code is codes.BAD_MESSAGE


class Context:
    """A stream as the relay sees it."""

    def __init__(self, *said):
        self.said = asyncio.Queue()
        for message in said:
            self.said.put_nowait(message)
        self.got = []
        self.stuck = False

    async def read(self):
        return await self.said.get()

    async def write(self, data):
        if self.stuck:
            await asyncio.Event().wait()
        self.got.append(messages.decode(messages.encode(data)))

    def kinds(self):
        return [type(message) for message in self.got]


def hello(node="two", generation=0, digest="", table="", relay=False):
    return messages.Hello(node, "a", 1, generation, digest, table, relay)


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
        context = Context(*said)
        task = asyncio.create_task(relay.subscribe(said[0].node, context))
        await clock.settle()
        return context, task

    async def test_idle_node_gathers_nothing(self, state):
        made = relays.Relay(state.config, state, state.counters)
        state.table.merge(endpoint())
        assert not made.batch

    async def test_no_configuration_yet(self, relay):
        context, _ = await self.join(relay, hello(generation=0, digest="x"))
        assert messages.Config not in context.kinds()

    async def test_no_full_snapshot_to_a_node_that_has_the_hash(self, relay, state):
        state.swap(make_snapshot(1))
        table = state.table.digest()
        context, _ = await self.join(relay, hello("two", 1, state.digest, table))
        assert context.kinds() == [messages.Welcome]

    async def test_deltas_follow_what_was_sent(self, relay, state):
        state.swap(make_snapshot(1))
        context, _ = await self.join(relay, hello())
        state.swap(make_snapshot(2, ["pay", "print"]))
        state.swap(make_snapshot(3, ["pay"]))
        await clock.settle()
        other = fakes.make_replica("two")
        for message in context.got:
            if isinstance(message, messages.Config):
                other.apply(message.delta)
        assert other.digest == state.digest

    async def test_mismatch_asks_for_the_whole(self, relay, state):
        state.swap(make_snapshot(1))
        context, _ = await self.join(relay, hello())
        newer = make_snapshot(2, ["print"])
        delta = snapshot.diff(make_snapshot(1, ["archive"]), newer)
        context.said.put_nowait(messages.Config(delta))
        await clock.settle()
        assert messages.Want in context.kinds()
        context.said.put_nowait(messages.Config(snapshot.diff(None, newer)))
        await clock.settle()
        assert state.generation == 2

    async def test_records_do_not_return_to_their_sender(self, relay, state):
        sender, _ = await self.join(relay, hello("two"))
        other, _ = await self.join(relay, hello("three"))
        sender.said.put_nowait(messages.Records([endpoint("two")]))
        async with asyncio.timeout(5):
            while messages.Records([endpoint("two")]) not in other.got:
                await asyncio.sleep(0.01)
        assert messages.Records([endpoint("two")]) not in sender.got

    async def test_storm_gathers_longer_and_calm_ends_it(self, state):
        relay = relays.Relay(state.config, state, state.counters, clock.ManualClock())
        relay.serving = True
        shortest = state.config.control.batch_interval
        longest = shortest * relays.STORM_STRETCH
        for sequence in range(1, 9):
            for number in range(relays.STORM_RECORDS):
                state.table.merge(endpoint(f"n{number}", sequence=sequence))
            await relay.time.advance(longest)
        assert relay.gathering == longest
        for sequence in range(9, 17):
            state.table.merge(endpoint("n0", sequence=sequence))
            await relay.time.advance(longest)
        assert relay.gathering == shortest

    async def test_stuck_subscriber_is_sent_away(self, state, relay):
        relay.config.control.stream_timeout = 0.05
        context, task = await self.join(relay, hello())
        context.stuck = True
        relay.members["two"].outbox.put(messages.Beat(1))
        await asyncio.wait_for(task, 10)
        assert "two" not in relay.members
        assert relay.nodes["two"].lost_at

    @pytest.mark.parametrize("said", [(), (messages.Beat(1),), (hello("three"),)])
    async def test_stream_without_a_proper_hello_ends(self, relay, said):
        relay.config.control.stream_timeout = 0.05
        await asyncio.wait_for(relay.subscribe("two", Context(*said)), 10)
        assert not relay.members

    async def test_admissions_are_bounded(self, relay, state):
        relay.config.control.admissions = 1
        relay.admitting = 1
        context, task = await self.join(relay, hello())
        await task
        assert context.kinds() == [messages.Busy]

    async def test_restarted_node_is_remembered(self, relay):
        await self.join(relay, hello("two", generation=7))
        await self.join(relay, hello("two", generation=0))
        assert relay.nodes["two"].generation == 7

    @pytest.mark.parametrize("leaving", [True, False])
    async def test_planned_stop_is_no_loss(self, relay, leaving):
        report = messages.Report(0, "", leaving=leaving)
        _, task = await self.join(relay, hello(), report, grpc.aio.EOF)
        await task
        assert ("two" in relay.nodes) is not leaving


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
        zone.state.table.merge(endpoint("two", state))
        for _ in range(3):
            zone.judge()
            time.now += zone.config.control.orphan_after
        assert zone.state.table.records[("endpoint", "two")].state == "lost"

    async def test_heard_by_another_relay_is_not_lost(self, platform, time):
        zone = self.make(platform, time)
        zone.state.table.merge(endpoint("two"))
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
        zone.state.table.merge(endpoint("far", zone="b"))
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
        zone.state.table.merge(endpoint("two"))
        writer = await self.write(zone, time)
        before = dict(platform.counters.values)
        await writer.sync(zone.endpoints)
        assert platform.counters.values == before
        zone.state.table.merge(endpoint("two", sequence=2))
        await writer.sync(zone.endpoints)
        assert platform.counters.get("platform.get") == before["platform.get"]
        assert platform.counters.get("platform.put") == before["platform.put"] + 1

    async def test_paused_writer_merges_before_it_writes(self, platform, time):
        paused, other = (self.make(platform, time, name) for name in ("one", "two"))
        paused.state.table.merge(endpoint("old"))
        writer = await self.write(paused, time)
        await self.write(other, time)
        other.state.table.merge(endpoint("new"))
        await self.write(other, time)
        paused.state.table.merge(endpoint("old", sequence=2))
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


class TestSubscriber:
    @pytest.fixture
    def subscriber(self):
        state = fakes.make_replica()
        return subscribers.Subscriber(state.config, state, None, state.counters, 1)

    def test_what_came_from_the_relay_is_not_sent_back(self, subscriber):
        subscriber.state.table.listeners.append(subscriber.offer)
        subscriber.handle(messages.Records([endpoint("two")]))
        assert subscriber.outbox.queue.empty()
        subscriber.state.table.merge(endpoint("one"))
        assert not subscriber.outbox.queue.empty()

    async def test_another_base_asks_for_the_whole(self, subscriber):
        delta = snapshot.diff(make_snapshot(1), make_snapshot(2, ["print"]))
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
        made = [make_snapshot(n, ["pay", f"s{n}"]) for n in range(1, 7)]
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


class Channels:
    """Answers questions to other nodes from a table."""

    def __init__(self, answers):
        self.answers = answers

    async def call(self, address, method, message, timeout):
        if address not in self.answers:
            raise codes.Failure(codes.NO_RELAY)
        return self.answers[address]


class TestLearner:
    def make(self, answers, plan=()):
        platform = fakes.Platform(stores.Store(), clock.ManualClock())
        platform.plan = list(plan)
        state = fakes.make_replica(peers=["p:1"])
        state.hold()
        return learning.Learner(state.config, platform, state, Channels(answers))

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
        member.failed["two:1"] = member.time.monotonic()
        assert await member.find_relay() == "three:1"

    async def hold(self, member, slot, holder, version):
        value = objects.LeaseValue(holder, f"{holder}:1", 1, 3.0)
        await member.platform.put(f"leases/relay-a-{slot}", value, version)

    async def test_dead_relays_of_stale_leases_are_not_tried_for_ever(self, member):
        """Both relays died: the node must look at the leases, and win one."""
        member.time = member.platform.time
        member.state.hold()
        for slot, holder in enumerate(("two", "three")):
            await self.hold(member, slot, holder, 0)
        for _ in range(8):
            finding = asyncio.create_task(member.find_relay())
            await clock.settle()
            await member.time.advance(members.CANDIDATE_SPREAD)
            if address := await finding:
                member.failed[address] = member.time.monotonic()
            await member.time.advance(member.config.control.backoff_limit)
        assert member.lease is not None

    async def test_relay_that_renews_its_lease_is_tried_again(self, member):
        member.config.relay = False
        await self.hold(member, 0, "two", 0)
        assert await member.find_relay() == "two:1"
        member.failed["two:1"] = member.next_look = member.time.monotonic()
        stored = await member.platform.get("leases/relay-a-0")
        await self.hold(member, 0, "two", stored.version)
        assert member.zone_relays() == []
        assert await member.find_relay() == "two:1"
        assert member.zone_relays() == ["two:1"]

    async def test_other_zone_serves_while_the_own_has_none(self, member):
        member.platform.plan = ["down"] * 9
        role = messages.Role("relay-b-0", "far", "far:1", 1)
        member.state.table.merge(role)
        assert await member.find_relay() == "far:1"

    async def test_superseded_by_a_lease_or_a_record(self, member):
        lease = leases.Lease(member.platform, "relay-a-0", "one", "one:1", 3.0)
        await lease.step()
        assert not member.superseded(lease)
        member.state.table.merge(messages.Role("relay-a-0", "two", "two:1", 2))
        assert member.superseded(lease)
