"""Records of an earlier process that come after messages of the upstream."""

import pytest

from rattanridge.mesh import upstream as upstreams
from rattanridge.platform import heartbeats
from tests import silent_log, test_upstream_states


def make_beat(born, sequence=1):
    return heartbeats.Heartbeat(
        f"i-{born}", born, sequence, "s", "a:1", "v1", 4, False, 0.0
    )


def make_node():
    """Return what a process that has just started believes of its upstream."""
    return test_upstream_states.Believed(
        test_upstream_states.CONFIG, silent_log.SilentLog()
    )


class TestLateRecord:
    """The store answers a new process after its first heartbeat has come."""

    IDENTITY = upstreams.Identity("i-2", 2)

    def restore(self, beat, state):
        """Return what a process believes after a heartbeat, then its record."""
        node = make_node()
        node.record_heartbeat(beat)
        node.restore(self.IDENTITY, state, "v1", 4)
        return node

    # Guards against: a heartbeat that came late made the process ignore the record, in
    # which its predecessor had said that the sender had left.
    @pytest.mark.parametrize("state", ["draining", "gone"])
    def test_a_leaving_in_it_is_final(self, state):
        node = self.restore(make_beat(2), state)
        assert node.state == state
        assert not node.record_heartbeat(make_beat(2, sequence=9))

    @pytest.mark.parametrize("state", ["ready", "stopping"])
    def test_the_same_upstream_keeps_its_state(self, state):
        node = self.restore(make_beat(2, sequence=5), state)
        assert (node.state, node.sequence) == ("ready", 5)

    # Guards against: each list told all listeners of a leaving that was known.
    @pytest.mark.parametrize("state", ["ready", "draining", "gone"])
    def test_what_is_known_changes_nothing(self, state):
        node = self.restore(make_beat(2), state)
        changes = []
        node.listeners.append(lambda: changes.append(node.state))
        node.restore(self.IDENTITY, state, "v1", 4)
        assert not changes

    # Guards against: a farewell that names no incarnation comes first, and the record
    # makes its sender ready again.
    @pytest.mark.parametrize("state", ["ready", "draining"])
    def test_a_farewell_of_all_incarnations_is_final(self, state):
        node = make_node()
        node.record_farewell(self.IDENTITY.endpoint, 0)
        node.restore(self.IDENTITY, state, "v1", 4)
        assert node.state == "gone"
        assert not node.record_heartbeat(make_beat(2, sequence=9))

    def test_a_later_upstream_in_it_is_believed(self):
        node = self.restore(make_beat(1), "ready")
        assert node.identity == self.IDENTITY
        assert node.record_heartbeat(make_beat(2))
        assert not node.record_heartbeat(make_beat(1, sequence=9))

    def test_an_earlier_upstream_in_it_changes_nothing(self):
        node = self.restore(make_beat(3), "gone")
        assert (node.state, node.identity.endpoint) == ("ready", "i-3")
