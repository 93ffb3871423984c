"""Admission: slots, queue bound, order, deadlines, on a virtual clock."""

import asyncio
import random
import selectors

import hypothesis
import pytest
from hypothesis import strategies

from rattanridge.calls import admission
from rattanridge.kernel import codes, presets
from rattanridge.policies import queues


class VirtualSelector(selectors.DefaultSelector):
    """Moves the loop's clock instead of waiting."""

    now = 0.0

    def select(self, timeout=None):
        self.now += timeout or 0.0
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to the next timer."""

    def __init__(self):
        super().__init__(VirtualSelector())

    def time(self):
        return self._selector.now


def run(main):
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)


class Client:
    """Sends one request through admission and keeps what became of it."""

    def __init__(self, number, start, priority, timeout, work, patience):
        self.number = number
        self.start = start
        self.priority = priority
        self.deadline = start + timeout
        self.work = work
        self.patience = patience
        self.code = None
        self.entered = None
        self.ended = None

    async def go(self, gate, watch):
        loop = asyncio.get_running_loop()
        await asyncio.sleep(self.start)
        try:
            async with asyncio.timeout(self.patience):
                await gate.enter(self.priority, self.deadline)
                self.entered = loop.time()
                watch()
                try:
                    await asyncio.sleep(self.work)
                finally:
                    gate.leave(loop.time() - self.entered)
        except codes.Failure as failure:
            self.code = failure.code
        except TimeoutError:
            self.code = codes.CANCELLED
        self.ended = loop.time()


SECONDS = strategies.integers(0, 40).map(lambda number: number / 8)
CLIENTS = strategies.lists(
    strategies.tuples(
        SECONDS,
        strategies.sampled_from(presets.PRIORITIES),
        strategies.integers(1, 40).map(lambda number: number / 8),
        SECONDS,
        strategies.sampled_from([0.5, 100.0]),
    ),
    max_size=40,
)


def simulate(gate, clients, steps=()):
    """Run clients, and other steps at their times; return the most that ran."""
    most = [0, 0]

    def watch():
        most[0] = max(most[0], gate.running - gate.slots)
        most[1] = max(most[1], len(gate.waiting) - gate.queue)

    async def step(start, action):
        await asyncio.sleep(start)
        action()

    async def main():
        await asyncio.gather(
            *(client.go(gate, watch) for client in clients),
            *(step(start, action) for start, action in steps),
        )

    run(main())
    return most


class TestProperties:
    @hypothesis.given(strategies.integers(1, 3), strategies.integers(0, 5), CLIENTS)
    def test_bounds(self, slots, queue, drawn):
        """Slots and queue never overrun; everyone ends by the deadline or runs;
        all slots are given back."""
        gate = admission.Admission(slots, queue)
        clients = [Client(n, *fields) for n, fields in enumerate(drawn)]
        over_slots, over_queue = simulate(gate, clients)
        assert over_slots <= 0
        assert over_queue <= 0
        assert gate.load() == (0, 0)
        for client in clients:
            assert client.ended is not None
            if client.entered is None:
                assert client.ended <= max(client.deadline, client.start)
            else:
                assert client.entered <= client.deadline

    @hypothesis.given(strategies.integers(1, 3), CLIENTS)
    def test_no_starvation_within_a_priority(self, slots, drawn):
        """Nobody who came later with a later deadline goes first, and nobody of
        the same priority displaces another."""
        gate = admission.Admission(slots, 5)
        clients = [Client(n, *fields) for n, fields in enumerate(drawn)]
        simulate(gate, clients)
        ran = [client for client in clients if client.entered is not None]
        for one in clients:
            for other in ran:
                if one.priority != other.priority or one.start >= other.start:
                    continue
                if one.deadline >= other.deadline or other.entered <= other.start:
                    continue
                waited = one.entered if one.entered is not None else one.ended
                assert waited <= other.entered

    @hypothesis.given(CLIENTS, SECONDS, strategies.integers(1, 3))
    def test_resize_and_drain(self, drawn, when, slots):
        """After the bounds change, running requests still count; after a drain
        nobody enters and nobody waits."""
        gate = admission.Admission(3, 5)
        clients = [Client(n, *fields) for n, fields in enumerate(drawn)]
        seen = []

        def resize():
            gate.resize(slots, 5, queues.Deadline())
            assert gate.running <= max(3, slots)

        def drain():
            gate.close()
            seen.append(len(gate.waiting))

        steps = [(when / 2, resize), (when, drain)]
        simulate(gate, clients, steps)
        assert seen == [0]
        assert gate.load() == (0, 0)
        for client in clients:
            if client.start > when:
                assert client.code is codes.DRAINING


class TestOrder:
    def test_priority_then_deadline(self):
        order = []
        gate = admission.Admission(1, 10)

        async def one(name, priority, deadline):
            await gate.enter(priority, deadline)
            order.append(name)
            await asyncio.sleep(1)
            gate.leave(1.0)

        async def main():
            wanted = [
                ("first", "low", 90),
                ("low", "low", 50),
                ("late", "normal", 80),
                ("early", "normal", 70),
                ("high", "high", 99),
            ]
            await asyncio.gather(*(one(*fields) for fields in wanted))

        run(main())
        assert order == ["first", "high", "early", "late", "low"]

    def test_higher_priority_displaces(self):
        gate = admission.Admission(1, 1)
        clients = [
            Client(0, 0.0, "normal", 50.0, 10.0, 100.0),
            Client(1, 1.0, "low", 50.0, 1.0, 100.0),
            Client(2, 2.0, "normal", 50.0, 1.0, 100.0),
            Client(3, 3.0, "normal", 50.0, 1.0, 100.0),
        ]
        simulate(gate, clients)
        got = [client.code for client in clients]
        assert got == [None, codes.QUEUE_FULL, None, codes.QUEUE_FULL]


class TestHold:
    def crowd(self, high):
        """Return clients of both priorities whose requests are too long to wait."""
        rng = random.Random(1)
        priorities = ["high", "low"] if high else ["low"]
        return [
            Client(n, n / 8, rng.choice(priorities), 1.2, 1.0, 100.0)
            for n in range(400)
        ]

    def test_free_slots_go_to_the_higher_priority(self):
        """Also where nobody can wait in time, so that no queue sorts them."""
        gate = admission.Admission(2, 10)
        clients = self.crowd(True)
        simulate(gate, clients)
        ran = [item.priority for item in clients[40:] if item.entered is not None]
        assert len(ran) > 70
        assert ran.count("low") < len(ran) / 10

    def test_nothing_is_held_for_nobody(self):
        """Without higher work the slots are used in full."""
        gate = admission.Admission(2, 10)
        clients = self.crowd(False)
        simulate(gate, clients)
        assert sum(item.entered is not None for item in clients) >= 95


class TestEstimate:
    def test_cold_start_refuses_nobody(self):
        """Before anything ran, nothing is known that could refuse a request."""
        gate = admission.Admission(1, 50)
        clients = [Client(n, 0.0, "normal", 9.0, 0.1, 100.0) for n in range(40)]
        simulate(gate, clients)
        assert [client.code for client in clients] == [None] * 40

    def test_slow_spell_is_forgotten(self):
        """After a slow spell the queue takes requests again at once."""
        gate = admission.Admission(2, 50)
        slow = [Client(n, 0.0, "normal", 90.0, 30.0, 100.0) for n in range(4)]
        quick = [
            Client(n, 100.0 + n * 0.1, "normal", 5.0, 0.1, 100.0) for n in range(60)
        ]
        late = [Client(n, 120.0, "normal", 5.0, 0.1, 100.0) for n in range(30)]
        simulate(gate, [*slow, *quick, *late])
        assert all(client.code is None for client in [*slow, *quick, *late])

    def test_hopeless_is_refused_at_once(self):
        """What cannot end in time neither waits nor takes a slot."""
        gate = admission.Admission(1, 50)
        first = [Client(n, n * 2.0, "normal", 50.0, 1.0, 100.0) for n in range(5)]
        long = Client(5, 20.0, "normal", 50.0, 1.0, 100.0)
        hopeless = Client(6, 20.5, "normal", 0.8, 1.0, 100.0)
        simulate(gate, [*first, long, hopeless])
        assert hopeless.code is codes.TOO_LATE
        assert hopeless.ended == hopeless.start

    @pytest.mark.parametrize("free", [False, True])
    def test_free_slot_is_never_refused(self, free):
        """A mean of long requests does not refuse short ones while there is room,
        so that the mean can be unlearnt."""
        gate = admission.Admission(2 if free else 1, 50)
        long = [Client(n, n * 20.0, "normal", 50.0, 10.0, 100.0) for n in range(3)]
        short = Client(3, 41.0, "normal", 1.0, 0.1, 100.0)
        simulate(gate, [*long, short])
        assert (short.code is None) is free
