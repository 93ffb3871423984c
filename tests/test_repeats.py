"""The budget for repeats, shared by nodes that do not talk about it."""

import random

from rattanridge.policies import repeats

SETTINGS = repeats.Settings(0.2, 58.0, 10.0)


class TestBudget:
    def test_a_node_has_its_part_of_the_fixed_rest(self):
        budget = repeats.Budget(SETTINGS)
        taken = sum(budget.take(16, 5.0) for _ in range(100))
        assert taken == int(repeats.SAFETY * 58 / 16)

    def test_requests_earn_repeats(self):
        budget = repeats.Budget(SETTINGS)
        for _ in range(100):
            budget.note_request(5.0)
        taken = sum(budget.take(16, 5.0) for _ in range(100))
        assert taken == int(repeats.SAFETY * (20 + 58 / 16))

    def test_calls_of_repeats_are_paid_for(self):
        """A service that sheds: requests to another one fail for it and are sent
        again, and make their calls again."""
        budget = repeats.Budget(SETTINGS)
        for _ in range(100):
            budget.note_request(5.0)
        for _ in range(15):
            assert budget.take(16, 5.0)
        taken = sum(budget.take(16, 5.0) for _ in range(100))
        assert taken == int(repeats.SAFETY * (20 + 58 / 16)) - 15

    def test_comes_back_after_the_window(self):
        budget = repeats.Budget(SETTINGS)
        while budget.take(16, 5.0):
            pass
        assert not budget.take(16, 9.0)
        assert budget.take(16, 17.0)

    def test_all_nodes_together_keep_to_the_budget_in_any_window(self):
        """A failing service: each of 16 nodes repeats whatever it may."""
        rng = random.Random(7)
        nodes = [repeats.Budget(SETTINGS) for _ in range(16)]
        requests, taken = [], []
        for step in range(4000):
            now = step * 0.01
            node = rng.choice(nodes)
            node.note_request(now)
            requests.append(now)
            if node.take(16, now):
                taken.append(now)
        for end in range(10, 40):
            allowed = 0.2 * sum(end - 10 <= at < end for at in requests) + 58
            assert sum(end - 10 <= at < end for at in taken) <= allowed


class TestSum:
    """All nodes together, at loads that mean them harm."""

    # Guards against: what requests earn counts once in the window of each node.
    def test_load_that_moves_between_nodes(self):
        """Callers leave one half of the nodes for the other; all requests fail."""
        nodes = [repeats.Budget(SETTINGS) for _ in range(16)]
        requests, taken = [], []
        for step in range(1999):
            now = step * 0.01
            moved = now >= 10
            node = nodes[step % 8 + 8 * moved]
            node.note_request(now)
            requests.append(now)
            if step in (999, 1998):
                for failing in nodes[8 * moved :][:8]:
                    while failing.take(16, now):
                        taken.append(now)
        windows = [sum(at <= r < at + 10 for r in requests) for at in (9.99, 4.99, 0)]
        arrived = sum(9.99 <= at < 19.99 for at in taken)
        assert arrived <= 0.2 * max(windows) + 58
