"""The state of the local upstream, from its heartbeats and answers."""

import asyncio
import collections.abc
import dataclasses
import enum
import time

from rattanridge.kernel import codes
from rattanridge.mesh import events, settings
from rattanridge.platform import heartbeats

FIRST_BACKOFF = 0.1  # seconds without requests after a failed connection; doubles
MAX_BACKOFF = 1.0  # seconds
SILENT_INTERVALS = 2.5  # heartbeat intervals without a heartbeat: may be unresponsive
MAX_DEPARTED = 64  # endpoints whose farewells are remembered
ANSWER_TIMEOUT = 1.0  # seconds without an answer to running requests that confirm it
MAX_HEARTBEAT_DELAY = 10.0  # seconds; a heartbeat takes less from sender to node


class State(enum.StrEnum):
    """Whether an upstream accepts requests.

    ``UNKNOWN`` until the first heartbeat, ``GONE`` after a farewell.
    """

    UNKNOWN = "unknown"
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclasses.dataclass(slots=True, frozen=True)
class Identity:
    """One incarnation of an upstream.

    :param endpoint: the upstream's id.
    :param incarnation: start of the upstream, in milliseconds since the epoch.
    """

    endpoint: str
    incarnation: int


class Upstream:
    """Tracks the local upstream; calls ``listeners`` after each change.

    :param config: the node's settings.
    """

    def __init__(self, config: settings.Settings, log: events.Events):
        self.config = config
        self.log = log
        self.identity: Identity | None = None
        self.state = State.UNKNOWN
        self.service = config.service
        self.address = config.upstream
        self.version = ""
        self.slots = 0
        self.sequence = -1
        self.cold_until = 0.0
        # Whether it may be cold: until a heartbeat says that it is not.
        self.cold = True
        self.heartbeat_at = 0.0
        self.answered_at = 0.0
        self.busy_since = 0.0
        self.started_at = self.now()
        # Whether this process knows that the upstream has not left before its start.
        self.confirmed = False
        # Incarnation that said farewell, by endpoint id.
        self.departed: dict[str, int] = {}
        self.failures = 0
        self.paused_until = 0.0
        self.listeners: list[collections.abc.Callable[[], None]] = []

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def restore(self, identity: Identity, state: str, version: str, slots: int) -> None:
        """Restore the state that an earlier process of this node published.

        The upstream may have left since, so it gets no request until it is confirmed.
        Messages may have come before the record: a later incarnation stays, and what
        the record says of a leaving is final.

        :param state: the published state. Any state but draining and gone means that
            the upstream was ready, including that of a node that was stopping.
        """
        leaving = State(state) if state in (State.DRAINING, State.GONE) else None
        if leaving is State.GONE:
            self.record_departed(identity.endpoint, identity.incarnation)
        if self.has_departed(identity):
            leaving = State.GONE
        known = self.identity
        if known is not None and known.incarnation > identity.incarnation:
            return
        if known == identity and leaving in (None, self.state):
            return
        if known != identity:
            self.sequence = -1
            self.version = version
            self.slots = slots
            self.cold = True
            self.heartbeat_at = self.now()
        self.identity = identity
        self.state = leaving or State.READY
        self.log.info("upstream-restored", endpoint=identity.endpoint, state=self.state)
        self.notify()

    def record_heartbeat(self, beat: heartbeats.Heartbeat) -> bool:
        """Apply a heartbeat; return False if it is older than the known state.

        An earlier process of this node may have acknowledged that the sender leaves,
        after the heartbeat was sent, and may have told nobody. So only one that was
        sent after the start of this process confirms the sender.
        """
        identity = Identity(beat.endpoint, beat.incarnation)
        if not self.is_newer(beat):
            self.log.note(
                "heartbeat-old", endpoint=beat.endpoint, sequence=beat.sequence
            )
            return False
        fresh = identity != self.identity
        before = (self.identity, self.state, self.slots, self.version)
        self.identity = identity
        self.sequence = beat.sequence
        self.service = beat.service
        self.version = beat.version
        self.slots = beat.slots
        self.state = State.DRAINING if beat.draining else State.READY
        self.address = beat.address or self.config.upstream
        self.heartbeat_at = self.now()
        if self.heartbeat_at - self.started_at > MAX_HEARTBEAT_DELAY:
            self.confirmed = True
        self.record_cold(beat.cold_remaining)
        if fresh:
            self.failures = 0
            self.paused_until = 0.0
        if before != (identity, self.state, self.slots, self.version):
            self.log.info(
                "upstream-changed",
                endpoint=beat.endpoint,
                state=self.state,
                sequence=beat.sequence,
                version=beat.version,
            )
            self.notify()
        elif self.awaits_confirmation():
            self.notify()
        return True

    def is_newer(self, beat: heartbeats.Heartbeat) -> bool:
        """Return whether a heartbeat is newer than the known state.

        Heartbeats may arrive late, also after a farewell, and at the next process of
        the node. Leaving is final: a draining incarnation does not get ready again.
        """
        return not (
            self.has_departed(Identity(beat.endpoint, beat.incarnation))
            or self.is_of_earlier_incarnation(beat)
            or self.is_overtaken(beat)
            or self.is_ready_after_draining(beat)
        )

    def has_departed(self, identity: Identity) -> bool:
        """Return whether an incarnation has said farewell."""
        return identity.incarnation <= self.departed.get(identity.endpoint, -1)

    def is_of_earlier_incarnation(self, beat: heartbeats.Heartbeat) -> bool:
        """Return whether the sender started before the known upstream."""
        known = self.identity
        return known is not None and beat.incarnation < known.incarnation

    def is_overtaken(self, beat: heartbeats.Heartbeat) -> bool:
        """Return whether a later heartbeat of the sender was applied before."""
        return self.is_known(beat) and beat.sequence <= self.sequence

    def is_ready_after_draining(self, beat: heartbeats.Heartbeat) -> bool:
        """Return whether the sender says that it is ready, but was draining before."""
        return (
            self.is_known(beat)
            and self.state in (State.DRAINING, State.GONE)
            and not beat.draining
        )

    def is_known(self, beat: heartbeats.Heartbeat) -> bool:
        """Return whether the sender is the known upstream, in its incarnation."""
        return self.identity == Identity(beat.endpoint, beat.incarnation)

    def record_cold(self, remaining: float) -> None:
        """Apply what the upstream said of its being cold.

        It counts as cold until it says otherwise, as its time may pass only while it
        gets requests.

        :param remaining: seconds for which it is still cold; 0 if it is not.
        """
        self.cold_until = self.now() + remaining
        self.set_cold(remaining > 0, "told")

    def doubt_cold(self) -> None:
        """Take the upstream for cold until a heartbeat says otherwise."""
        self.set_cold(True, "doubt")

    def set_cold(self, cold: bool, why: str) -> None:
        """Set whether it may be cold; log a change where the settings bound that."""
        if cold == self.cold:
            return
        self.cold = cold
        if self.config.cold is not None:
            endpoint = self.identity.endpoint if self.identity else "-"
            self.log.note("upstream-cold", endpoint=endpoint, cold=cold, why=why)

    def record_farewell(self, endpoint: str, incarnation: int) -> None:
        """Apply a farewell. It is final: heartbeats may arrive after it.

        That of an earlier incarnation changes no state. A later one than the known has
        taken its place, so the node's record must name it for the next process.

        :param incarnation: 0 if the farewell names none; all that have started by now
            are meant then.
        """
        known = self.identity or Identity(endpoint, incarnation)
        if incarnation > known.incarnation:
            known = Identity(endpoint, incarnation)
        if not incarnation:
            incarnation = max(int(time.time() * 1000), known.incarnation)
        self.record_departed(endpoint, incarnation)
        self.identity = known
        if known.endpoint != endpoint or incarnation < known.incarnation:
            return
        self.state = State.GONE
        self.log.info("upstream-changed", endpoint=endpoint, state=self.state)
        self.notify()

    def record_leaving(self, identity: Identity) -> None:
        """Apply an answer in which an upstream said that it is about to leave.

        That is final for its incarnation, as in a heartbeat.
        """
        if identity != self.identity or self.state in (State.DRAINING, State.GONE):
            return
        self.state = State.DRAINING
        self.log.info(
            "upstream-changed",
            endpoint=identity.endpoint,
            state=self.state,
            by="answer",
        )
        self.notify()

    def record_departed(self, endpoint: str, incarnation: int) -> None:
        """Record the last incarnation of an endpoint that said farewell."""
        incarnation = max(incarnation, self.departed.pop(endpoint, -1))
        self.departed[endpoint] = incarnation
        while len(self.departed) > MAX_DEPARTED:
            del self.departed[next(iter(self.departed))]

    def awaits_confirmation(self) -> bool:
        """Return whether it is ready, but may have left before the process started."""
        return self.state is State.READY and not self.confirmed

    def confirm(self, endpoint: str) -> None:
        """Record that the upstream answered this process that it is ready.

        Later incarnations need no confirmation: none has left before this process
        started, as none had started by then.

        :param endpoint: its id; another one confirms nothing.
        """
        known = self.identity.endpoint if self.identity is not None else ""
        if self.awaits_confirmation() and known == endpoint:
            self.confirmed = True
            self.log.info("upstream-confirmed", endpoint=endpoint)
            self.notify()

    def notify(self) -> None:
        for listener in self.listeners:
            listener()

    def require_identity(self) -> Identity:
        """Return the upstream's identity; raise ``no-endpoint`` if it is unknown."""
        if self.identity is None:
            raise unknown_failure()
        return self.identity

    def refusal(self, service: str) -> codes.Failure | None:
        """Return why the upstream cannot get a request now; None if it can.

        :param service: the service that the request is for.
        """
        now = self.now()
        if self.state is State.UNKNOWN:
            return unknown_failure()
        if service != self.service:
            return codes.Failure(codes.WRONG_ENDPOINT, service)
        if self.state is not State.READY:
            return codes.Failure(codes.DRAINING)
        if now < self.paused_until:
            return codes.Failure(
                codes.CONNECT_FAILED,
                f"a connection failed less than {MAX_BACKOFF} s ago",
            )
        if not self.confirmed:
            return codes.Failure(
                codes.NO_ENDPOINT, "the upstream may have left; it is not checked yet"
            )
        return None

    def record_request(self, running: int) -> None:
        """Record that a request is sent to the upstream.

        :param running: requests that it already runs.
        """
        if not running:
            self.busy_since = self.now()

    def is_unresponsive(self, running: int) -> bool:
        """Return whether the upstream appears to be unresponsive.

        True if no heartbeat came for SILENT_INTERVALS, and no answer for
        ANSWER_TIMEOUT seconds while requests run. Late heartbeats alone do not count,
        so that an idle upstream still gets requests.

        :param running: requests that it runs.
        """
        now = self.now()
        silent = (
            now - self.heartbeat_at > SILENT_INTERVALS * self.config.heartbeat_ms / 1000
        )
        owed_since = max(self.answered_at, self.busy_since)
        return silent and running > 0 and now - owed_since > ANSWER_TIMEOUT

    def record_answer(self) -> None:
        """Record that the upstream answered a request."""
        self.failures = 0
        self.paused_until = 0.0
        self.answered_at = self.now()

    def record_unreachable(self, why: str) -> None:
        """Record a failed connection: send no requests for a growing pause."""
        now = self.now()
        self.doubt_cold()
        if now < self.paused_until:
            return
        pause = min(FIRST_BACKOFF * 2**self.failures, MAX_BACKOFF)
        self.failures += 1
        self.paused_until = now + pause
        self.log.note("upstream-unreachable", why=why, pause=pause)

    def record_misdirected(self, identity: Identity) -> None:
        """Record that another upstream answers at the address.

        The state is unknown until its heartbeat comes.

        :param identity: the upstream that the request was meant for.
        """
        self.doubt_cold()
        if self.identity == identity and self.state is State.READY:
            self.state = State.UNKNOWN
            self.log.info("upstream-replaced", endpoint=identity.endpoint)
            self.notify()


def unknown_failure() -> codes.Failure:
    """Return the refusal of a request before the upstream is known."""
    return codes.Failure(codes.NO_ENDPOINT, "no heartbeat of the local upstream yet")
