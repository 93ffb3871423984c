"""The upstream beside the node: what is known of it, from its heartbeats."""

import asyncio
import collections.abc
import dataclasses
import enum

from rattanridge.kernel import codes
from rattanridge.mesh import events, settings
from rattanridge.platform import heartbeats

FIRST_PAUSE = 0.1  # seconds without requests after a failed connection
LONGEST_PAUSE = 1.0  # seconds
TRUST = 2.5  # heartbeat intervals for which an earlier process's record is believed
SILENT = 2.5  # heartbeat intervals without any sign after which an upstream is doubted
STUCK = 1.0  # seconds without an answer, while requests run, that add to the doubt


class State(enum.StrEnum):
    """What an upstream may be given."""

    UNKNOWN = "unknown"
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclasses.dataclass(slots=True, frozen=True)
class Identity:
    """One incarnation of an upstream.

    :param endpoint: its id.
    :param incarnation: milliseconds since the epoch of its start.
    """

    endpoint: str
    incarnation: int


class Upstream:
    """Follows the upstream's heartbeats; ``listeners`` hear of each change.

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
        self.heartbeat_at = 0.0
        self.answered_at = 0.0
        self.busy_since = 0.0
        self.confirmed = False
        self.failures = 0
        self.paused_until = 0.0
        self.listeners: list[collections.abc.Callable[[], None]] = []

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def restore(self, identity: Identity, state: str, version: str, slots: int) -> None:
        """Believe for a while what an earlier process of this node had published.

        :param state: as published; one that stopped had a ready upstream.
        """
        self.identity = identity
        self.version = version
        self.slots = slots
        leaving = state in (State.DRAINING, State.GONE)
        self.state = State(state) if leaving else State.READY
        self.heartbeat_at = self.now()
        self.log.info("upstream-restored", endpoint=identity.endpoint)
        self.tell()

    def record_heartbeat(self, beat: heartbeats.Heartbeat) -> bool:
        """Take a heartbeat; return False if it is older than what is known."""
        identity = Identity(beat.endpoint, beat.incarnation)
        if not self.is_news(identity, beat.sequence):
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
        self.confirmed = True
        self.cold_until = self.heartbeat_at + beat.cold_remaining
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
            self.tell()
        return True

    def is_news(self, identity: Identity, sequence: int) -> bool:
        """Whether a heartbeat is newer than what is known."""
        known = self.identity
        if known is None:
            return True
        if identity.incarnation < known.incarnation:
            return False
        if identity != known:
            return True
        if self.state is State.GONE:
            return False
        return sequence > self.sequence

    def record_farewell(self, endpoint: str, incarnation: int) -> None:
        """Take an upstream's farewell; one of an earlier incarnation is ignored."""
        known = self.identity
        if known is not None:
            if known.endpoint != endpoint:
                return
            if incarnation and incarnation < known.incarnation:
                return
        self.identity = known or Identity(endpoint, incarnation)
        self.state = State.GONE
        self.log.info("upstream-changed", endpoint=endpoint, state=self.state)
        self.tell()

    def tell(self) -> None:
        for listener in self.listeners:
            listener()

    def refusal(self, service: str) -> codes.Failure | None:
        """Return why a request can't be given to the upstream now, if so."""
        now = self.now()
        if self.state is State.UNKNOWN:
            return codes.Failure(codes.NO_ENDPOINT, "no heartbeat yet")
        if service != self.service:
            return codes.Failure(codes.WRONG_ENDPOINT, service)
        if self.state is not State.READY:
            return codes.Failure(codes.DRAINING)
        if now < self.paused_until:
            return codes.Failure(codes.CONNECT_FAILED, "failed just now")
        interval = self.config.heartbeat_ms / 1000
        if not self.confirmed and now - self.heartbeat_at > TRUST * interval:
            return codes.Failure(codes.NO_ENDPOINT, "the record is not confirmed")
        return None

    def record_request(self, running: int) -> None:
        """A request is sent to it, beside ``running`` others."""
        if not running:
            self.busy_since = self.now()

    def is_unresponsive(self, running: int) -> bool:
        """Whether it seems dead: no heartbeat, and no answer while requests run."""
        now = self.now()
        silent = now - self.heartbeat_at > SILENT * self.config.heartbeat_ms / 1000
        owed_since = max(self.answered_at, self.busy_since)
        return silent and running > 0 and now - owed_since > STUCK

    def record_answer(self) -> None:
        """An answer came from it."""
        self.failures = 0
        self.paused_until = 0.0
        self.answered_at = self.now()

    def record_unreachable(self, why: str) -> None:
        """It took no connection: send it nothing for a moment."""
        now = self.now()
        if now < self.paused_until:
            return
        pause = min(FIRST_PAUSE * 2**self.failures, LONGEST_PAUSE)
        self.failures += 1
        self.paused_until = now + pause
        self.log.note("upstream-unreachable", why=why, pause=pause)

    def record_misdirected(self, identity: Identity | None) -> None:
        """Another upstream answers at the address: wait for its heartbeat."""
        if self.identity == identity and self.state is State.READY:
            self.state = State.UNKNOWN
            self.log.info("upstream-replaced", endpoint=identity.endpoint)
            self.tell()
