"""Decides which requests to quarantine because they crash upstreams.

Needs no network. Handles a request that crashes each upstream that starts to run it,
and that is sent again with the same path and body, to any node. An upstream that
stops for another reason breaks harmless requests too. Therefore only requests that
started just before the crash are suspected, two crashes are needed, and an answer
clears a request.
"""

import msgspec

from rattanridge.kernel import hashing

FINGERPRINT_BYTES = 12
CRASH_THRESHOLD = 2  # crashes of upstreams after which a request is quarantined
MAX_SUSPECT_RUN_TIME = 0.25  # seconds that a suspect request ran before the crash
CONFIRM_TIMEOUT = 3.0  # seconds within which the crash must be confirmed
EVIDENCE_TTL = 60.0  # seconds that evidence is kept
MAX_SUSPECTS = 32  # fingerprints that one node publishes


class Suspect(msgspec.Struct, frozen=True, array_like=True):
    """A request that started just before an upstream crashed.

    :param fingerprint: hash that identifies the request.
    :param crashes: number of crashes that one node observed.
    :param until: seconds since the epoch at which this evidence expires.
    """

    fingerprint: str
    crashes: int
    until: int


def fingerprint(method: str, path: str, body: bytes | bytearray) -> str:
    """Return the hash that identifies a request when it is sent again."""
    path_bytes = path.encode(errors="surrogateescape")
    return hashing.hash_parts(method.encode(), path_bytes, body, size=FINGERPRINT_BYTES)


class CrashEvidence:
    """The requests that one node suspects of crashing its upstream.

    A broken connection alone does not prove a crash. The crash is confirmed when the
    upstream refuses connections or another incarnation of it sends a heartbeat.
    """

    def __init__(self) -> None:
        self.pending: list[tuple[float, str]] = []
        self.suspects: dict[str, Suspect] = {}

    def record_broken_request(
        self, fingerprint: str, ran_for: float, now: float
    ) -> None:
        """Record a request whose connection to the upstream broke.

        :param fingerprint: hash that identifies the request.
        :param ran_for: seconds that it ran.
        """
        if ran_for <= MAX_SUSPECT_RUN_TIME:
            self.pending.append((now, fingerprint))

    def record_crash(self, now: float, wall: float) -> bool:
        """Record a confirmed crash; return whether the suspects changed.

        :param now: monotonic seconds.
        :param wall: seconds since the epoch.
        """
        confirmed = {
            fingerprint
            for at, fingerprint in self.pending
            if now - at <= CONFIRM_TIMEOUT
        }
        self.pending.clear()
        for fingerprint in confirmed:
            suspect = self.suspects.get(fingerprint)
            crashes = suspect.crashes + 1 if suspect is not None else 1
            self.suspects[fingerprint] = Suspect(
                fingerprint, crashes, int(wall + EVIDENCE_TTL)
            )
        while len(self.suspects) > MAX_SUSPECTS:
            self.suspects.pop(next(iter(self.suspects)))
        return bool(confirmed)

    def clear(self, fingerprint: str) -> bool:
        """Drop a request that was answered; return whether the suspects changed."""
        return self.suspects.pop(fingerprint, None) is not None

    def expire(self, wall: float) -> bool:
        """Drop expired suspects; return whether there were any."""
        expired = [
            fingerprint
            for fingerprint, item in self.suspects.items()
            if item.until <= wall
        ]
        for fingerprint in expired:
            del self.suspects[fingerprint]
        return bool(expired)


class Quarantine:
    """The evidence of all nodes, as one node has received it."""

    def __init__(self) -> None:
        self.reported: dict[str, tuple[Suspect, ...]] = {}
        self.cleared: dict[str, float] = {}

    def apply(self, node: str, suspects: tuple[Suspect, ...]) -> None:
        """Replace the suspects that a node published; none if the node is gone."""
        if suspects:
            self.reported[node] = suspects
        else:
            self.reported.pop(node, None)

    def clear(self, fingerprint: str, wall: float) -> None:
        """Ignore the evidence on a request that an upstream answered."""
        self.cleared = {
            cleared: until for cleared, until in self.cleared.items() if until > wall
        }
        self.cleared[fingerprint] = wall + EVIDENCE_TTL

    def is_quarantined(self, fingerprint: str, wall: float) -> bool:
        """Return whether a request is quarantined."""
        if self.cleared.get(fingerprint, 0.0) > wall:
            return False
        crashes = sum(
            item.crashes
            for suspects in self.reported.values()
            for item in suspects
            if item.fingerprint == fingerprint and item.until > wall
        )
        return crashes >= CRASH_THRESHOLD
