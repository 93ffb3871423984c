"""The retry budget, shared by nodes that do not coordinate."""

import bisect
import random

import hypothesis
import pytest
from hypothesis import strategies

from rattanridge.policies import budget_nodes, retry_budget

SETTINGS = retry_budget.Settings(0.2, 58.0, 10.0)


def spend_all(budget, nodes, now):
    """Spend all retries that a budget allows now; return their number."""
    spent = 0
    while budget.try_spend(nodes, now):
        spent += 1
    return spent


class TestBudget:
    def test_node_has_its_part_of_the_allowance(self):
        assert spend_all(retry_budget.Budget(SETTINGS), 16, 5.0) == int(58 / 16)

    def test_node_without_a_part_has_no_retries(self):
        assert spend_all(retry_budget.Budget(SETTINGS), 0, 5.0) == 0

    def test_requests_earn_retries(self):
        budget = retry_budget.Budget(SETTINGS)
        for _ in range(100):
            budget.record_request(5.0)
        assert (
            spend_all(budget, 0, 5.0)
            == 100 * SETTINGS.ratio * retry_budget.EARNED_SHARE
        )

    def test_requests_and_the_allowance_pay_together(self):
        budget = retry_budget.Budget(SETTINGS)
        for _ in range(15):
            budget.record_request(5.0)
        assert spend_all(budget, 16, 5.0) == int(1.5 + 58 / 16)

    def test_request_pays_once(self):
        budget = retry_budget.Budget(SETTINGS)
        for _ in range(100):
            budget.record_request(5.0)
        assert spend_all(budget, 0, 5.0) + spend_all(budget, 0, 5.1) == 10

    def test_request_pays_for_a_limited_time(self):
        budget = retry_budget.Budget(SETTINGS)
        for _ in range(100):
            budget.record_request(5.0)
        assert spend_all(budget, 0, 5.0 + 10 * retry_budget.CREDIT_LIFETIME + 0.01) == 0

    def test_allowance_is_restored(self):
        budget = retry_budget.Budget(SETTINGS)
        spend_all(budget, 16, 5.0)
        assert not budget.try_spend(16, 5.0 + 12.9)
        assert budget.try_spend(16, 5.0 + 13.1)

    def test_fewer_nodes_do_not_restore_spent_retries(self):
        budget = retry_budget.Budget(SETTINGS)
        assert spend_all(budget, 16, 5.0) + spend_all(budget, 8, 6.0) == int(58 / 8)

    def test_calls_made_by_retries_are_paid_for(self):
        """A service sheds requests, so requests to the service that calls it fail and
        are retried, and each retry makes its calls again."""
        budget = retry_budget.Budget(SETTINGS)
        for _ in range(200):
            budget.record_request(5.0)
        for _ in range(15):
            assert budget.try_spend(16, 5.0)
        assert spend_all(budget, 16, 5.0) == int(20 + 58 / 16) - 15


class Store:
    """The node names in the store, at any time."""

    def __init__(self):
        self.changes = [(float("-inf"), frozenset())]

    def change(self, now, name, present):
        """Add or remove a node."""
        names = self.changes[-1][1]
        names = names | {name} if present else names - {name}
        self.changes.append((now, names))

    def names(self, at):
        """Return the names at a time."""
        return self.changes[bisect.bisect_right(self.changes, at, key=time_of) - 1][1]


def time_of(change):
    return change[0]


class Node:
    """The budget of one process, and its view of the store.

    :param read_at: seconds at which the store is read next.
    :param cut_until: seconds until which the store can't be reached.
    """

    def __init__(self, name, now, rng):
        self.name = name
        self.rng = rng
        self.budget = retry_budget.Budget(SETTINGS)
        self.budget_nodes = budget_nodes.BudgetNodes(name, SETTINGS.span())
        self.read_at = now
        self.cut_until = now

    def read_store(self, store, now):
        """Read the store at random intervals; what is read may be out of date."""
        if now >= self.read_at and now >= self.cut_until:
            staleness = self.rng.uniform(0, budget_nodes.MAX_STALENESS)
            self.budget_nodes.apply_names(store.names(now - staleness), now)
            self.read_at = now + self.rng.uniform(0.8, 11.0)


class Fleet:
    """Nodes that start, stop and restart under an adverse load.

    A request is read up to a second after it was sent; a retry arrives up to two
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
        self.max_size = 3 * size
        for _ in range(size):
            self.add()

    def add(self, name=None):
        """Start a node; its name is new if none is given."""
        self.number += 1
        name = name or f"node-{self.number}"
        self.nodes.append(Node(name, self.now, self.rng))
        self.store.change(self.now, name, True)

    def stop(self, node, removed):
        """Stop a node, and optionally remove it from the store."""
        self.nodes.remove(node)
        if removed:
            self.store.change(self.now, node.name, False)

    def restart(self, node):
        """Replace the process of a node; it starts without any budget."""
        self.stop(node, False)
        self.add(node.name)

    def pick(self, share):
        """Return a random fraction of the nodes."""
        count = round(len(self.nodes) * share)
        return self.rng.sample(self.nodes, count)

    def load(self, nodes, rate):
        """Send requests to the given nodes for one step.

        :param rate: requests per second.
        """
        for _ in range(round(rate * self.STEP)):
            self.sent.append(self.now - self.rng.uniform(0, 1.0))
            self.rng.choice(nodes).budget.record_request(self.now)

    def spend(self, nodes):
        """Spend all retries that the given nodes allow."""
        for node in nodes:
            for _ in range(
                spend_all(node.budget, node.budget_nodes.count(self.now), self.now)
            ):
                self.arrived.append(self.now + self.rng.uniform(0, 2.0))

    def wait(self, seconds):
        """Advance the time; nodes read the store meanwhile."""
        for _ in range(round(seconds / self.STEP)):
            self.step()

    def step(self):
        """Advance the time by one step."""
        for node in self.nodes:
            node.read_store(self.store, self.now)
        self.now += self.STEP

    def excess(self):
        """Return by how many retries the worst window exceeds the budget.

        The result is negative if none does.
        """
        sent, arrived = sorted(self.sent), sorted(self.arrived)
        worst = float("-inf")
        for start in arrived:
            counts = [between(sent, start - back) for back in (0.0, 5.0, 10.0)]
            allowed = SETTINGS.ratio * max(counts) + SETTINGS.min_retries
            worst = max(worst, between(arrived, start) - allowed)
        return worst


def between(times, start):
    """Return the number of sorted times in the window that begins at ``start``."""
    end = start + SETTINGS.window
    return bisect.bisect_left(times, end) - bisect.bisect_left(times, start)


FAULTS = ("kill", "replace", "leave", "join", "cut", "nothing")


def inject(fleet, kind, share):
    """Inject a fault at a random fraction of the nodes."""
    chosen = fleet.pick(share)
    if kind == "join" and len(fleet.nodes) < fleet.max_size:
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


class TestAllNodes:
    """The retries of all nodes together, under adverse loads."""

    # Guards against credit that counts once in the window of each node: when load
    # moves, the old and the new nodes would each spend the credit of a full window.
    def test_load_that_moves_between_nodes(self):
        """Callers switch from one half of the nodes to the other; all requests fail."""
        nodes = [retry_budget.Budget(SETTINGS) for _ in range(16)]
        requests, retries = [], []
        for step in range(1999):
            now = step * 0.01
            moved = now >= 10
            node = nodes[step % 8 + 8 * moved]
            node.record_request(now)
            requests.append(now)
            if step in (999, 1998):
                for failing in nodes[8 * moved :][:8]:
                    while failing.try_spend(16, now):
                        retries.append(now)
        windows = [sum(at <= r < at + 10 for r in requests) for at in (9.99, 4.99, 0)]
        arrived = sum(9.99 <= at < 19.99 for at in retries)
        assert arrived <= 0.2 * max(windows) + 58

    @pytest.mark.parametrize("gap", [0.1, 3.0, 6.0, 9.0, 9.9, 12.0])
    def test_two_bursts(self, gap):
        """Two bursts with a gap; the credit of both is spent within a short time."""
        budget = retry_budget.Budget(SETTINGS)
        requests, retries = [], []
        for begin in (0.0, gap):
            requests += [begin] * 1000
            for _ in range(1000):
                budget.record_request(begin)
            retries += [begin + 0.01] * spend_all(budget, 0, begin + 0.01)
        for start in retries:
            counts = [between(requests, start - back) for back in (0.0, 5.0, 10.0)]
            assert between(retries, start) <= SETTINGS.ratio * max(counts)

    # Guards against shares of the allowance that are too large: nodes that have lost
    # the store do not count those that joined since.
    def test_nodes_that_have_not_seen_new_ones(self):
        fleet = Fleet(1, 2)
        fleet.wait(50)
        for node in fleet.nodes:
            node.cut_until = float("inf")
        for _ in range(27):
            fleet.add()
        fleet.wait(50)
        fleet.spend(fleet.nodes)
        assert 0 < len(fleet.arrived) <= SETTINGS.min_retries

    # Guards against spending twice: the remaining nodes take over the shares of nodes
    # that spent theirs and left.
    def test_nodes_that_spend_and_leave(self):
        fleet = Fleet(1, 29)
        fleet.wait(50)
        fleet.spend(fleet.nodes[2:])
        for node in fleet.nodes[2:]:
            fleet.stop(node, True)
        fleet.wait(7)
        for node in fleet.nodes:
            node.budget_nodes.apply_names(fleet.store.names(fleet.now), fleet.now)
        fleet.spend(fleet.nodes)
        assert fleet.arrived
        assert fleet.excess() <= 0

    # Guards against retries that count in no window because they arrive late.
    def test_late_retries_and_those_of_the_next_window(self):
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
    @pytest.mark.parametrize("kind", FAULTS)
    def test_all_nodes_spend_their_whole_budget(self, kind, size):
        """Nodes fail at any time, some have not seen others, and all of them retry."""
        fleet = Fleet(f"{kind}-{size}", size)
        for step in range(280):
            if step % 20 == 0:
                inject(fleet, kind, fleet.rng.choice((0.3, 1.0)))
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
                strategies.sampled_from([0, 20, 400]),  # requests per second
                strategies.sampled_from([0.1, 0.5, 1.0]),  # fraction of nodes used
                strategies.booleans(),  # whether the budgets are spent
                strategies.sampled_from(FAULTS),
                strategies.sampled_from([0.2, 0.6, 1.0]),  # fraction of nodes affected
            ),
            min_size=3,
            max_size=12,
        ),
    )
    def test_any_load_with_any_fault(self, seed, size, phases):
        """Load comes in bursts and moves; budgets are saved up and spent at once."""
        fleet = Fleet(seed, size)
        fleet.wait(35)
        for steps, rate, share, spends, kind, affected in phases:
            inject(fleet, kind, affected)
            chosen = fleet.pick(share) or fleet.nodes
            for _ in range(steps):
                chosen = [node for node in chosen if node in fleet.nodes] or fleet.nodes
                fleet.load(chosen, rate)
                if spends:
                    fleet.spend(fleet.nodes)
                fleet.step()
        fleet.spend(fleet.nodes)
        assert fleet.excess() <= 0
