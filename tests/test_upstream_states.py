"""The order of an upstream's messages, whatever their delays and whoever restarts.

| known of the sender | ready | draining | farewell | answer that says that it leaves |
| --- | --- | --- | --- | --- |
| nothing, or an earlier incarnation | ready | draining | gone | ignored |
| ready | ready | draining | gone | draining |
| draining | ignored | draining | gone | draining |
| gone, or a later incarnation | ignored | ignored | ignored | ignored |

A message with a lower sequence number than an applied one is ignored.

A process that has just started knows nothing, or a record that may be older than the
last acknowledgement. It sends nothing until the upstream itself, or a heartbeat that is
too late to have been sent before, shows that it has not left.
"""

import types

import hypothesis
import pytest
from hypothesis import stateful, strategies

from rattanridge.mesh import upstream as upstreams
from rattanridge.platform import heartbeats
from tests import silent_log

CONFIG = types.SimpleNamespace(
    service="s", upstream="a:1", heartbeat_ms=1500, cold=None
)


class Believed(upstreams.Upstream):
    """An upstream's state that needs no running loop."""

    clock = 0.0

    def now(self):
        return self.clock

    def is_usable(self):
        """Return whether the upstream gets requests."""
        return self.refusal(CONFIG.service) is None


class IgnoresIncarnation(Believed):
    def is_of_earlier_incarnation(self, beat):
        return False


class IgnoresSequence(Believed):
    def is_overtaken(self, beat):
        return False


class IgnoresFarewell(Believed):
    def has_departed(self, identity):
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


class BelievesEveryHeartbeat(Believed):
    def record_heartbeat(self, beat):
        applied = super().record_heartbeat(beat)
        self.confirmed = self.confirmed or applied
        return applied


class BelievesTheRecord(Believed):
    def restore(self, identity, state, version, slots):
        super().restore(identity, state, version, slots)
        self.confirmed = True


class RefusesEverything(Believed):
    def is_newer(self, beat):
        return self.identity is None


class Machine(stateful.RuleBasedStateMachine):
    """One address: its endpoints, the messages on the way, the node and its record.

    A leaving is acknowledged while the store is silent, too.
    """

    tested: type[Believed] = Believed

    def __init__(self):
        super().__init__()
        self.log = silent_log.SilentLog()
        self.clock = 0.0
        self.silent = False
        self.record = None
        self.start_process()
        self.endpoint = "i-1"
        self.born = 1
        self.sequence = 0
        self.state = "ready"
        self.on_the_way = []
        # What the node acknowledged last of the leaving of each incarnation.
        self.left = {}

    def start_process(self):
        """Start a process of the node; it lists its record if the store answers."""
        self.node = self.tested(CONFIG, self.log)
        self.node.clock = self.node.started_at = self.clock
        # Incarnation and sequence number that this process applied last.
        self.applied = (0, 0)
        self.newest = 0
        # The leavings that this process knows for certain.
        self.told = {}
        self.listed = False
        self.list_record()

    def list_record(self):
        if self.silent or self.listed:
            return
        self.listed = True
        if self.record is not None:
            identity, state = self.record
            self.node.restore(identity, state, "v1", 4)
            if state in (upstreams.State.DRAINING, upstreams.State.GONE):
                self.tell(identity.incarnation, state.value)

    def tell(self, born, state):
        if self.told.get(born) != "gone":
            self.told[born] = state

    def publish(self):
        """Write the record as a node does, if the store answers."""
        if self.silent or self.node.identity is None:
            return
        if self.node.awaits_confirmation() and self.record is not None:
            return
        self.record = (self.node.identity, self.node.state)

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
            self.tell(born, "gone")
            self.publish()
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
            self.tell(born, "draining")
        self.publish()

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
        if self.node.is_usable():
            self.state = "draining"
            self.node.record_leaving(identity)
            self.left.setdefault(self.born, "draining")
            self.tell(self.born, "draining")
            self.publish()

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
        self.start_process()

    @stateful.rule()
    def silence_store(self):
        self.silent = True

    @stateful.rule()
    def regain_store(self):
        self.silent = False
        self.list_record()
        self.publish()

    @stateful.rule()
    def check_health(self):
        """The upstream answers truthfully; it says nothing of its incarnation."""
        if self.node.awaits_confirmation() and self.state == "ready":
            self.node.confirm(self.endpoint)
            self.publish()

    @stateful.rule()
    def wait_long(self):
        """All messages on the way arrive, or are lost."""
        while self.on_the_way:
            self.deliver(self.on_the_way.pop())
        self.clock += upstreams.MAX_HEARTBEAT_DELAY + 1
        self.node.clock = self.clock

    @stateful.rule()
    def hear_at_once(self):
        """A message that is not delayed is applied if it is the newest of all."""
        if self.state == "ready":
            message = self.send("ready")
            self.on_the_way.remove(message)
            self.deliver(message)
            assert self.node.state is upstreams.State.READY
            assert self.node.identity.incarnation == self.born

    @stateful.rule()
    def hear_after_a_check_or_a_long_time(self):
        """An upstream that is ready is usable, whatever the node has lost."""
        if self.state != "ready":
            return
        self.hear_at_once()
        self.check_health()
        assert self.node.is_usable()

    @stateful.rule()
    def hear_although_the_check_fails(self):
        if self.state == "ready":
            self.wait_long()
            self.hear_at_once()
            assert self.node.is_usable()

    @stateful.invariant()
    def nothing_reaches_an_upstream_that_has_left(self):
        node = self.node
        if node.identity is not None and node.identity.endpoint == self.endpoint:
            assert not (node.is_usable() and self.born in self.left)

    @stateful.invariant()
    def leaving_is_final(self):
        node = self.node
        if node.identity is None:
            return
        told = self.told.get(node.identity.incarnation)
        if told is not None:
            assert node.state in (upstreams.State.DRAINING, upstreams.State.GONE)
        if told == "gone":
            assert node.state is upstreams.State.GONE

    @stateful.invariant()
    def nothing_older_is_believed(self):
        """In a process, no incarnation follows one that started after it."""
        known = self.node.identity
        if known is not None:
            assert known.incarnation >= self.newest
            self.newest = known.incarnation


MUTANTS = (
    IgnoresIncarnation,
    IgnoresSequence,
    IgnoresFarewell,
    IgnoresDraining,
    IgnoresAnswers,
    BelievesAnswersOfOthers,
    RestoresNothing,
    BelievesEveryHeartbeat,
    BelievesTheRecord,
    RefusesEverything,
)
SETTINGS = hypothesis.settings(
    max_examples=1000, stateful_step_count=25, report_multiple_bugs=False
)
# The search ends at the first failure, which need not be made short.
MUTANT_SETTINGS = hypothesis.settings(
    SETTINGS, max_examples=20000, phases=(hypothesis.Phase.generate,)
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
