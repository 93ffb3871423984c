"""The budget for repeats, shared by nodes that do not talk about it."""

import bisect
import random

import hypothesis
import pytest
from hypothesis import strategies

from rattanridge.policies import budget_nodes, retry_budget

SETTINGS = retry_budget.Settings(0.2, 58.0, 10.0)


def take_all(budget, nodes, now):
    """Return how many repeats a budget allows at once."""
    taken = 0
    while budget.try_spend(nodes, now):
        taken += 1
    return taken


class TestBudget:
    def test_a_node_has_its_part_of_the_fixed_rest(self):
        assert take_all(retry_budget.Budget(SETTINGS), 16, 5.0) == int(58 / 16)

    def test_a_node_without_a_part_has_nothing(self):
        assert take_all(retry_budget.Budget(SETTINGS), 0, 5.0) == 0

    def test_requests_earn_repeats(self):
        budget = retry_budget.Budget(SETTINGS)
        for _ in range(100):
            budget.record_request(5.0)
        assert take_all(budget, 0, 5.0) == 100 * SETTINGS.ratio * retry_budget.PART

    def test_a_request_and_the_fixed_rest_pay_together(self):
        budget = retry_budget.Budget(SETTINGS)
        for _ in range(15):
            budget.record_request(5.0)
        assert take_all(budget, 16, 5.0) == int(1.5 + 58 / 16)

    def test_a_request_pays_once(self):
        budget = retry_budget.Budget(SETTINGS)
        for _ in range(100):
            budget.record_request(5.0)
        assert take_all(budget, 0, 5.0) + take_all(budget, 0, 5.1) == 10

    def test_a_request_pays_for_a_short_time(self):
        budget = retry_budget.Budget(SETTINGS)
        for _ in range(100):
            budget.record_request(5.0)
        assert take_all(budget, 0, 5.0 + 10 * retry_budget.VALID + 0.01) == 0

    def test_the_fixed_rest_comes_back(self):
        budget = retry_budget.Budget(SETTINGS)
        take_all(budget, 16, 5.0)
        assert not budget.try_spend(16, 5.0 + 12.9)
        assert budget.try_spend(16, 5.0 + 13.1)

    def test_fewer_nodes_do_not_bring_back_what_is_spent(self):
        budget = retry_budget.Budget(SETTINGS)
        assert take_all(budget, 16, 5.0) + take_all(budget, 8, 6.0) == int(58 / 8)

    def test_calls_of_repeats_are_paid_for(self):
        """A service that sheds: requests to another one fail for it and are sent
        again, and make their calls again."""
        budget = retry_budget.Budget(SETTINGS)
        for _ in range(200):
            budget.record_request(5.0)
        for _ in range(15):
            assert budget.try_spend(16, 5.0)
        assert take_all(budget, 16, 5.0) == int(20 + 58 / 16) - 15


class Store:
    """What the store knows of nodes, at any time."""

    def __init__(self):
        self.changes = [(float("-inf"), frozenset())]

    def change(self, now, name, present):
        names = self.changes[-1][1]
        names = names | {name} if present else names - {name}
        self.changes.append((now, names))

    def names(self, at):
        return self.changes[bisect.bisect_right(self.changes, at, key=at_of) - 1][1]


def at_of(change):
    return change[0]


class Node:
    """One process, as far as the budget goes."""

    def __init__(self, name, now, rng):
        self.name = name
        self.rng = rng
        self.budget = retry_budget.Budget(SETTINGS)
        self.sharers = budget_nodes.BudgetNodes(name, SETTINGS.span())
        self.listen_at = now
        self.cut_until = now

    def listen(self, store, now):
        """Hear the store, now and then, as it was a moment ago."""
        if now >= self.listen_at and now >= self.cut_until:
            behind = self.rng.uniform(0, budget_nodes.STALE)
            self.sharers.apply_names(store.names(now - behind), now)
            self.listen_at = now + self.rng.uniform(0.8, 11.0)


class Fleet:
    """Nodes that come, go and start again, under a load that means them harm.

    A request is read up to a second after it was sent; a repeat arrives up to two
    seconds after it was decided.
    """

    STEP = 0.25  # seconds

    def __init__(self, seed, size):
        self.rng = random.Random(seed)
        self.store = Store()
        self.now = 0.0
        self.nodes = []
        self.sent = []
        self.arrived = []
        self.number = 0
        self.most = 3 * size
        for _ in range(size):
            self.add()

    def add(self, name=None):
        self.number += 1
        name = name or f"node-{self.number}"
        self.nodes.append(Node(name, self.now, self.rng))
        self.store.change(self.now, name, True)

    def stop(self, node, gone):
        self.nodes.remove(node)
        if gone:
            self.store.change(self.now, node.name, False)

    def restart(self, node):
        self.stop(node, False)
        self.add(node.name)

    def pick(self, share):
        count = round(len(self.nodes) * share)
        return self.rng.sample(self.nodes, count)

    def load(self, nodes, rate):
        """Send requests to some nodes for one step."""
        for _ in range(round(rate * self.STEP)):
            self.sent.append(self.now - self.rng.uniform(0, 1.0))
            self.rng.choice(nodes).budget.record_request(self.now)

    def spend(self, nodes):
        """Take every repeat that nodes allow."""
        for node in nodes:
            for _ in range(
                take_all(node.budget, node.sharers.count(self.now), self.now)
            ):
                self.arrived.append(self.now + self.rng.uniform(0, 2.0))

    def wait(self, seconds):
        for _ in range(round(seconds / self.STEP)):
            self.step()

    def step(self):
        for node in self.nodes:
            node.listen(self.store, self.now)
        self.now += self.STEP

    def excess(self):
        """Return by how much the worst window exceeds the budget; negative if none."""
        sent, arrived = sorted(self.sent), sorted(self.arrived)
        worst = float("-inf")
        for start in arrived:
            asked = [between(sent, start - back) for back in (0.0, 5.0, 10.0)]
            allowed = SETTINGS.ratio * max(asked) + SETTINGS.min_retries
            worst = max(worst, between(arrived, start) - allowed)
        return worst


def between(times, start):
    """Return how many of sorted times lie in the window that begins then."""
    end = start + SETTINGS.window
    return bisect.bisect_left(times, end) - bisect.bisect_left(times, start)


TROUBLES = ("kill", "replace", "leave", "join", "cut", "nothing")


def trouble(fleet, kind, share):
    """Let something happen to a part of the nodes."""
    chosen = fleet.pick(share)
    if kind == "join" and len(fleet.nodes) < fleet.most:
        for _ in chosen:
            fleet.add()
    for node in chosen:
        if kind == "kill":
            fleet.restart(node)
        elif kind == "replace":
            fleet.stop(node, True)
            fleet.add()
        elif kind == "leave" and len(fleet.nodes) > 1:
            fleet.stop(node, True)
        elif kind == "cut":
            node.cut_until = fleet.now + 25


class TestSum:
    """All nodes together, at loads that mean them harm."""

    # Guards against: what requests earn counts once in the window of each node.
    def test_load_that_moves_between_nodes(self):
        """Callers leave one half of the nodes for the other; all requests fail."""
        nodes = [retry_budget.Budget(SETTINGS) for _ in range(16)]
        requests, taken = [], []
        for step in range(1999):
            now = step * 0.01
            moved = now >= 10
            node = nodes[step % 8 + 8 * moved]
            node.record_request(now)
            requests.append(now)
            if step in (999, 1998):
                for failing in nodes[8 * moved :][:8]:
                    while failing.try_spend(16, now):
                        taken.append(now)
        windows = [sum(at <= r < at + 10 for r in requests) for at in (9.99, 4.99, 0)]
        arrived = sum(9.99 <= at < 19.99 for at in taken)
        assert arrived <= 0.2 * max(windows) + 58

    @pytest.mark.parametrize("gap", [0.1, 3.0, 6.0, 9.0, 9.9, 12.0])
    def test_bursts_a_window_apart(self, gap):
        """A burst, silence, a burst: what both earn is spent close together."""
        budget = retry_budget.Budget(SETTINGS)
        requests, taken = [], []
        for begin in (0.0, gap):
            requests += [begin] * 1000
            for _ in range(1000):
                budget.record_request(begin)
            taken += [begin + 0.01] * take_all(budget, 0, begin + 0.01)
        for start in taken:
            asked = [between(requests, start - back) for back in (0.0, 5.0, 10.0)]
            assert between(taken, start) <= SETTINGS.ratio * max(asked)

    # Guards against: nodes that know only some of the others take too large parts.
    def test_nodes_that_do_not_hear_of_new_ones(self):
        fleet = Fleet(1, 2)
        fleet.wait(50)
        for node in fleet.nodes:
            node.cut_until = float("inf")
        for _ in range(27):
            fleet.add()
        fleet.wait(50)
        fleet.spend(fleet.nodes)
        assert 0 < len(fleet.arrived) <= SETTINGS.min_retries

    # Guards against: what nodes spent that are gone is spent again by those that stay.
    def test_nodes_that_spend_and_leave(self):
        fleet = Fleet(1, 29)
        fleet.wait(50)
        fleet.spend(fleet.nodes[2:])
        for node in fleet.nodes[2:]:
            fleet.stop(node, True)
        fleet.wait(7)
        for node in fleet.nodes:
            node.sharers.apply_names(fleet.store.names(fleet.now), fleet.now)
        fleet.spend(fleet.nodes)
        assert fleet.arrived
        assert fleet.excess() <= 0

    # Guards against: repeats that arrive late count in no window.
    def test_repeats_that_arrive_late_and_those_of_a_window_later(self):
        fleet = Fleet(1, 2)
        fleet.wait(50)
        for late in (2.0, 0.0):
            before = len(fleet.arrived)
            fleet.spend(fleet.nodes)
            spent = len(fleet.arrived) - before
            fleet.arrived[before:] = [fleet.now + late] * spent
            fleet.wait(10.5)
        assert fleet.excess() <= 0

    @pytest.mark.parametrize("size", [1, 2, 16, 100])
    @pytest.mark.parametrize("kind", TROUBLES)
    def test_all_nodes_spend_all_they_may(self, kind, size):
        """Nodes fail at any moment, some not knowing the others, and all repeat."""
        fleet = Fleet(f"{kind}-{size}", size)
        for step in range(280):
            if step % 20 == 0:
                trouble(fleet, kind, fleet.rng.choice((0.3, 1.0)))
            fleet.load(fleet.nodes, 150)
            fleet.spend(fleet.nodes)
            fleet.step()
        assert fleet.arrived
        assert fleet.excess() <= 0

    @hypothesis.settings(max_examples=200)
    @hypothesis.given(
        strategies.integers(0, 2**32),
        strategies.sampled_from([1, 3, 16, 60]),
        strategies.lists(
            strategies.tuples(
                strategies.integers(1, 40),  # steps
                strategies.sampled_from([0, 20, 400]),  # requests a second
                strategies.sampled_from([0.1, 0.5, 1.0]),  # part of nodes that get them
                strategies.booleans(),  # whether all is spent
                strategies.sampled_from(TROUBLES),
                strategies.sampled_from([0.2, 0.6, 1.0]),  # part that it meets
            ),
            min_size=3,
            max_size=12,
        ),
    )
    def test_any_load_with_any_trouble(self, seed, size, phases):
        """Load comes in bursts and moves, repeats are hoarded and spent at once."""
        fleet = Fleet(seed, size)
        fleet.wait(35)
        for steps, rate, share, spends, kind, met in phases:
            trouble(fleet, kind, met)
            chosen = fleet.pick(share) or fleet.nodes
            for _ in range(steps):
                chosen = [node for node in chosen if node in fleet.nodes] or fleet.nodes
                fleet.load(chosen, rate)
                if spends:
                    fleet.spend(fleet.nodes)
                fleet.step()
        fleet.spend(fleet.nodes)
        assert fleet.excess() <= 0
