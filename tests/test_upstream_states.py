"""The order of an upstream's messages, whatever their delays and whoever restarts.

| known of the sender | ready | draining | farewell | answer that says that it leaves |
| --- | --- | --- | --- | --- |
| nothing, or an earlier incarnation | ready | draining | gone | ignored |
| ready | ready | draining | gone | draining |
| draining | ignored | draining | gone | draining |
| gone, or a later incarnation | ignored | ignored | ignored | ignored |

A message with a lower sequence number than an applied one is ignored.
"""

import types

import hypothesis
import pytest
from hypothesis import stateful, strategies

from rattanridge.mesh import upstream as upstreams
from rattanridge.platform import heartbeats
from tests import silent_log

CONFIG = types.SimpleNamespace(service="s", upstream="a:1", heartbeat_ms=1500)


class Believed(upstreams.Upstream):
    """An upstream's state that needs no running loop."""

    def now(self):
        return 0.0


class IgnoresIncarnation(Believed):
    def is_of_earlier_incarnation(self, beat):
        return False


class IgnoresSequence(Believed):
    def is_overtaken(self, beat):
        return False


class IgnoresFarewell(Believed):
    def is_departed(self, beat):
        return False


class IgnoresDraining(Believed):
    def is_ready_after_draining(self, beat):
        return False


class IgnoresAnswers(Believed):
    def record_leaving(self, identity):
        pass


class BelievesAnswersOfOthers(Believed):
    def record_leaving(self, identity):
        super().record_leaving(self.identity)


class RestoresNothing(Believed):
    def restore(self, identity, state, version, slots):
        pass


class RefusesEverything(Believed):
    def is_newer(self, beat):
        return self.identity is None


class Machine(stateful.RuleBasedStateMachine):
    """One address: its endpoints, the messages on the way, and the node beside it.

    The node's record is stored before a leaving is acknowledged.
    """

    tested: type[Believed] = Believed

    def __init__(self):
        super().__init__()
        self.log = silent_log.SilentLog()
        self.node = self.tested(CONFIG, self.log)
        self.endpoint = "i-1"
        self.born = 1
        self.sequence = 0
        self.state = "ready"
        self.on_the_way = []
        # What the node acknowledged last of the leaving of each incarnation.
        self.left = {}
        # Incarnation and sequence number that this process of the node applied last.
        self.applied = (0, 0)

    def send(self, kind):
        self.sequence += 1
        message = (kind, self.endpoint, self.born, self.sequence)
        self.on_the_way.append(message)
        return message

    def deliver(self, message):
        kind, endpoint, born, sequence = message
        if kind == "farewell":
            self.node.record_farewell(endpoint, born)
            self.left[born] = "gone"
            return
        draining = kind == "draining"
        beat = heartbeats.Heartbeat(
            endpoint, born, sequence, "s", "a:1", "v1", 4, draining, 0.0
        )
        applied = self.node.record_heartbeat(beat)
        if applied:
            assert (born, sequence) > self.applied
            self.applied = (born, sequence)
        if applied and draining:
            self.left.setdefault(born, "draining")

    @stateful.rule()
    def ready(self):
        if self.state == "ready":
            self.send("ready")

    @stateful.rule()
    def drain(self):
        self.state = "draining" if self.state == "ready" else self.state
        if self.state == "draining":
            self.send("draining")

    @stateful.rule()
    def drain_at_once(self):
        """The message is not delayed, but earlier ones may be."""
        self.drain()
        if self.state == "draining":
            self.deliver(self.on_the_way.pop())

    @stateful.rule()
    def answer_that_it_leaves(self):
        """Only an upstream that gets requests answers."""
        identity = upstreams.Identity(self.endpoint, self.born)
        if self.state == "gone" or self.node.identity != identity:
            return
        if self.node.state is upstreams.State.READY:
            self.state = "draining"
            self.node.record_leaving(identity)
            self.left.setdefault(self.born, "draining")

    @stateful.rule()
    def answer_of_an_earlier_incarnation(self):
        """It was on the way when the next incarnation was heard of."""
        state = self.node.state
        if self.node.identity is not None and self.node.identity.incarnation > 1:
            self.node.record_leaving(upstreams.Identity("i-1", 1))
            assert self.node.state is state

    @stateful.rule()
    def leave(self):
        self.state = "gone"
        self.send("farewell")

    @stateful.rule()
    def leave_at_once(self):
        """The message is not delayed, but earlier ones may be."""
        self.leave()
        self.deliver(self.on_the_way.pop())

    @stateful.rule(same_id=strategies.booleans())
    def start_upstream_again(self, same_id):
        self.born += 1
        self.endpoint = self.endpoint if same_id else f"i-{self.born}"
        self.sequence = 0
        self.state = "ready"

    @stateful.rule(choice=strategies.integers(0, 50))
    def deliver_any(self, choice):
        if self.on_the_way:
            self.deliver(self.on_the_way.pop(choice % len(self.on_the_way)))

    @stateful.rule()
    def start_node_again(self):
        before = self.node
        self.node = self.tested(CONFIG, self.log)
        self.applied = (0, 0)
        if before.identity is not None:
            self.node.restore(before.identity, before.state, before.version, 4)

    @stateful.rule()
    def hear_at_once(self):
        """A message that is not delayed is applied if it is the newest of all."""
        if self.state == "ready":
            message = self.send("ready")
            self.on_the_way.remove(message)
            self.deliver(message)
            assert self.node.state is upstreams.State.READY
            assert self.node.identity.incarnation == self.born

    @stateful.invariant()
    def leaving_is_final(self):
        node = self.node
        if node.identity is None:
            return
        left = self.left.get(node.identity.incarnation)
        if left is not None:
            assert node.state in (upstreams.State.DRAINING, upstreams.State.GONE)
        if left == "gone":
            assert node.state is upstreams.State.GONE

    @stateful.invariant()
    def nothing_older_is_believed(self):
        """No incarnation follows one that started after it."""
        known = self.node.identity
        newest = getattr(self, "newest", 0)
        if known is not None:
            assert known.incarnation >= newest
            self.newest = known.incarnation


MUTANTS = (
    IgnoresIncarnation,
    IgnoresSequence,
    IgnoresFarewell,
    IgnoresDraining,
    IgnoresAnswers,
    BelievesAnswersOfOthers,
    RestoresNothing,
    RefusesEverything,
)
SETTINGS = hypothesis.settings(
    max_examples=1000, stateful_step_count=25, report_multiple_bugs=False
)
# The search ends at the first failure, which need not be made short.
MUTANT_SETTINGS = hypothesis.settings(
    SETTINGS, max_examples=5000, phases=(hypothesis.Phase.generate,)
)


class TestOrderOfMessages:
    def test_leaving_is_final_and_a_new_incarnation_is_believed(self):
        stateful.run_state_machine_as_test(Machine, settings=SETTINGS)

    @pytest.mark.parametrize("mutant", MUTANTS)
    def test_each_rule_is_needed(self, mutant):
        class Mutant(Machine):
            tested = mutant

        with pytest.raises(AssertionError):
            stateful.run_state_machine_as_test(Mutant, settings=MUTANT_SETTINGS)
