"""Number of nodes among which a node divides the shared retry allowance."""

from rattanridge.policies import budget_nodes

SPAN = 13.0  # seconds
# Seconds after the first contact to the store until a node takes a share.
SETTLE_TIME = SPAN + budget_nodes.MAX_CONTACT_AGE + budget_nodes.MAX_STALENESS + 0.1


def settled(*names):
    """Return the state of node ``a``; the store reports ``names`` from time 0 on."""
    nodes = budget_nodes.BudgetNodes("a", SPAN)
    nodes.apply_names(names, 0.0)
    nodes.apply_names(names, SETTLE_TIME)
    return nodes


class TestBudgetNodes:
    def test_divides_by_all_nodes_in_the_store(self):
        assert settled("a", "b", "c").count(SETTLE_TIME) == 3

    # Guards against restarts that add up: each new process takes a share again, while
    # what its predecessor spent still counts.
    def test_started_node_takes_no_share_yet(self):
        nodes = budget_nodes.BudgetNodes("a", SPAN)
        assert nodes.count(0.0) == 0
        nodes.apply_names(("a", "b"), 0.0)
        nodes.apply_names(("a", "b"), SETTLE_TIME - 0.2)
        assert nodes.count(SETTLE_TIME - 0.2) == 0

    # Guards against a node that has seen no other node and takes the whole allowance.
    def test_node_missing_in_the_store_takes_no_share(self):
        assert settled("b", "c").count(SETTLE_TIME) == 0

    # Guards against shares that are too large: a node without contact to the store has
    # not seen the nodes that joined since.
    def test_node_without_contact_to_the_store_takes_no_share(self):
        nodes = settled("a", "b")
        assert nodes.count(SETTLE_TIME + budget_nodes.MAX_CONTACT_AGE) == 2
        assert nodes.count(SETTLE_TIME + budget_nodes.MAX_CONTACT_AGE + 0.1) == 0
        nodes.record_contact(SETTLE_TIME + 20.0)
        assert nodes.count(SETTLE_TIME + 20.0) == 2

    def test_node_that_was_removed_from_the_store_waits_again(self):
        nodes = settled("a", "b")
        nodes.apply_names(("b",), SETTLE_TIME + 1.0)
        nodes.apply_names(("a", "b"), SETTLE_TIME + 2.0)
        assert nodes.count(SETTLE_TIME + 2.0) == 0

    def test_departed_nodes_count_while_their_spending_counts(self):
        nodes = settled("a", "b", "c")
        nodes.apply_names(("a", "b"), SETTLE_TIME + 1.0)
        assert nodes.count(SETTLE_TIME + 1.0) == 3
        nodes.apply_names(("a", "b"), 2 * SETTLE_TIME + 1.0)
        assert nodes.count(2 * SETTLE_TIME + 1.0) == 2

    def test_returning_node_counts_once(self):
        nodes = settled("a", "b")
        nodes.apply_names(("a",), SETTLE_TIME + 1.0)
        nodes.apply_names(("a", "b"), SETTLE_TIME + 2.0)
        assert nodes.count(SETTLE_TIME + 2.0) == 2
