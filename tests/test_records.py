"""Records, replicas, announcements, outboxes and messages."""

import hypothesis
import msgspec
import pytest
from hypothesis import strategies

from rattanridge.control import (
    messages,
    outbox,
    roster,
    tables,
)
from rattanridge.kernel import codes, snapshot
from tests import fakes

records = strategies.builds(
    fakes.endpoint,
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
        table.merge(fakes.endpoint())
        table.merge(fakes.endpoint(state="lost"))
        table.merge(messages.Quarantine("f", 50.0, ("one",)))
        table.tidy(now=0.0, wall=0.0, keep=10.0)
        assert len(table.records) == 2
        assert not table.merge(fakes.endpoint())
        table.tidy(now=11.0, wall=61.0, keep=10.0)
        assert not table.records
        assert table.digest() == empty

    def test_revived_record_is_kept(self):
        table = tables.Table()
        table.merge(fakes.endpoint(state="lost"))
        table.tidy(now=0.0, wall=0.0, keep=10.0)
        table.merge(fakes.endpoint(sequence=2))
        table.tidy(now=20.0, wall=0.0, keep=10.0)
        assert table.records


class TestReplica:
    def test_nothing_in_force_below_what_was_learnt(self):
        state = fakes.make_replica()
        state.hold()
        state.apply(snapshot.diff(None, fakes.make_snapshot(3)))
        assert state.snapshot is None
        state.learn(4)
        assert state.snapshot is None
        state.apply(snapshot.diff(None, fakes.make_snapshot(4)))
        assert state.generation == 4

    def test_rejected_floor_lets_the_former_one_in(self):
        state = fakes.make_replica()
        state.hold()
        state.learn(4)
        state.apply(snapshot.diff(None, fakes.make_snapshot(3)))
        state.note_rejection(messages.Rejection(4, 1004, "no service"))
        assert state.generation == 3
        assert state.report().rejection.code == 1004

    def test_invalid_one_is_rejected_whole_and_reported(self):
        state = fakes.make_replica()
        state.swap(fakes.make_snapshot(1))
        good = fakes.make_snapshot(2, ["pay", "print"])
        resources = {k: v for k, v in good.resources.items() if k != "service/pay"}
        digest = snapshot.hash_resources(2, resources)
        state.apply(snapshot.Delta(2, "", digest, resources, []))
        assert state.generation == 1
        assert state.rejection.code == codes.MISSING_SERVICE.number
        state.swap(fakes.make_snapshot(3))
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
        state.table.merge(fakes.endpoint(incarnation=5000, sequence=9))
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
            box.put(messages.Records([fakes.endpoint(sequence=sequence)]))
        box.put(messages.Beat(1))
        assert len((await box.get()).items) == 2
        assert await box.get() == messages.Beat(1)


class TestMessages:
    @pytest.mark.parametrize("count", [1, 200])
    def test_large_ones_are_packed(self, count):
        sent = messages.Records([fakes.endpoint(f"n{item}") for item in range(count)])
        data = messages.encode(sent)
        assert messages.decode(data) == sent
        assert len(data) < 30 * count + 100

    def test_bomb_and_rubbish_are_refused(self):
        bomb = messages.zlib.compress(bytes(messages.MAX_MESSAGE_BYTES + 1))
        for data in (bomb, b"x"):
            with pytest.raises(codes.Failure) as caught:
                messages.decode(messages.encoder.encode(messages.Packed(data)))
            assert caught.value.code is codes.BAD_MESSAGE
