"""Among how many nodes one node divides what all of them share."""

from rattanridge.policies import budget_nodes

SPAN = 13.0
LONG = (
    SPAN + budget_nodes.FRESH + budget_nodes.STALE + 0.1
)  # seconds until a node takes a part


def settled(*names):
    """Return the sharers of node ``a`` that knows others since the time 0."""
    found = budget_nodes.BudgetNodes("a", SPAN)
    found.apply_names(names, 0.0)
    found.apply_names(names, LONG)
    return found


class TestSharers:
    def test_divides_among_all_nodes_that_the_store_knows(self):
        assert settled("a", "b", "c").count(LONG) == 3

    # Guards against: each process that starts takes a part of the fixed rest anew.
    def test_a_node_that_has_just_started_takes_no_part(self):
        found = budget_nodes.BudgetNodes("a", SPAN)
        assert found.count(0.0) == 0
        found.apply_names(("a", "b"), 0.0)
        found.apply_names(("a", "b"), LONG - 0.2)
        assert found.count(LONG - 0.2) == 0

    # Guards against: a node that knows nobody takes the whole fixed rest.
    def test_a_node_that_the_store_does_not_know_takes_no_part(self):
        assert settled("b", "c").count(LONG) == 0

    # Guards against: nodes that know only some of the others take too large parts.
    def test_a_node_that_does_not_hear_the_store_takes_no_part(self):
        found = settled("a", "b")
        assert found.count(LONG + budget_nodes.FRESH) == 2
        assert found.count(LONG + budget_nodes.FRESH + 0.1) == 0
        found.record_contact(LONG + 20.0)
        assert found.count(LONG + 20.0) == 2

    def test_a_node_that_was_forgotten_waits_again(self):
        found = settled("a", "b")
        found.apply_names(("b",), LONG + 1.0)
        found.apply_names(("a", "b"), LONG + 2.0)
        assert found.count(LONG + 2.0) == 0

    def test_nodes_that_left_count_while_what_they_spent_counts(self):
        found = settled("a", "b", "c")
        found.apply_names(("a", "b"), LONG + 1.0)
        assert found.count(LONG + 1.0) == 3
        found.apply_names(("a", "b"), 2 * LONG + 1.0)
        assert found.count(2 * LONG + 1.0) == 2

    def test_a_node_that_comes_back_counts_once(self):
        found = settled("a", "b")
        found.apply_names(("a",), LONG + 1.0)
        found.apply_names(("a", "b"), LONG + 2.0)
        assert found.count(LONG + 2.0) == 2
