"""Decides which requests to quarantine because they crash upstreams.

Needs no network. Handles a request that crashes each upstream that starts to run it,
and that is sent again with the same path and body, to any node. An upstream that
stops for another reason breaks harmless requests too. Therefore only requests that
started just before the crash are suspected, two crashes are needed, and an answer
clears a request.

A node publishes what it has seen; whoever has read that keeps it until its time is up,
whatever becomes of the node, its process or its record. Only the node itself takes it
back, by saying that the request has been answered since.
"""

import msgspec

from rattanridge.kernel import hashing

FINGERPRINT_BYTES = 12
CRASH_THRESHOLD = 2  # crashes of upstreams after which a request is quarantined
MAX_SUSPECT_RUN_TIME = 0.25  # seconds that a suspect request ran before the crash
CONFIRM_TIMEOUT = 3.0  # seconds within which the crash must be confirmed
EVIDENCE_TTL = 60.0  # seconds that evidence is kept
MAX_SUSPECTS = 32  # fingerprints that one node publishes
MAX_KEPT = 128  # fingerprints that are kept of one node
CLEARED = 0  # crashes of a request that has been answered since


class Suspect(msgspec.Struct, frozen=True, array_like=True):
    """A request that started just before an upstream crashed.

    :param fingerprint: hash that identifies the request.
    :param crashes: number of crashes that one node observed; CLEARED if the request was
        answered after them.
    :param until: seconds since the epoch at which this evidence expires.
    """

    fingerprint: str
    crashes: int
    until: int


def join(known: Suspect | None, found: Suspect) -> Suspect:
    """Return what is to be believed of a request after one node's later statement.

    A process that knew nothing of its predecessor's evidence may state less.
    """
    if known is None or CLEARED in (known.crashes, found.crashes):
        return found
    crashes = max(known.crashes, found.crashes)
    return Suspect(found.fingerprint, crashes, max(known.until, found.until))


def drop_least(suspects: dict[str, Suspect], most: int) -> None:
    """Drop the weakest evidence until ``most`` requests are left."""
    ranked = sorted(suspects.values(), key=lambda item: (item.crashes, item.until))
    for item in ranked[: max(len(ranked) - most, 0)]:
        del suspects[item.fingerprint]


def drop_expired(suspects: dict[str, Suspect], wall: float) -> bool:
    """Drop the evidence whose time is up; return whether there was any.

    :param wall: seconds since the epoch.
    """
    expired = [name for name, item in suspects.items() if item.until <= wall]
    for name in expired:
        del suspects[name]
    return bool(expired)


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
        drop_least(self.suspects, MAX_SUSPECTS)
        return bool(confirmed)

    def restore(self, published: tuple[Suspect, ...], wall: float) -> bool:
        """Take over what this node has published; return whether the suspects changed.

        What this process has found out itself about a request goes first.

        :param published: by an earlier process, or by this one.
        :param wall: seconds since the epoch.
        """
        before = dict(self.suspects)
        for item in published:
            known = self.suspects.get(item.fingerprint)
            if known is None or CLEARED not in (known.crashes, item.crashes):
                self.suspects[item.fingerprint] = join(known, item)
        drop_expired(self.suspects, wall)
        drop_least(self.suspects, MAX_SUSPECTS)
        return self.suspects != before

    def clear(self, fingerprint: str, wall: float) -> bool:
        """Clear a request that was answered; return whether the suspects changed.

        :param wall: seconds since the epoch.
        """
        known = self.suspects.get(fingerprint)
        if known is None or known.crashes == CLEARED:
            return False
        until = int(wall + EVIDENCE_TTL)
        self.suspects[fingerprint] = Suspect(fingerprint, CLEARED, until)
        return True

    def expire(self, wall: float) -> bool:
        """Drop expired suspects; return whether there were any."""
        return drop_expired(self.suspects, wall)


class Quarantine:
    """The evidence of all nodes, as one node has received it.

    ``reported`` has the suspects of each node by their fingerprint.
    """

    def __init__(self) -> None:
        self.reported: dict[str, dict[str, Suspect]] = {}
        self.cleared: dict[str, float] = {}

    def apply(self, node: str, suspects: tuple[Suspect, ...]) -> None:
        """Apply the suspects that a node published.

        What it published before and does not mention now is kept.
        """
        if not suspects:
            return
        kept = self.reported.setdefault(node, {})
        for item in suspects:
            kept[item.fingerprint] = join(kept.get(item.fingerprint), item)
        drop_least(kept, MAX_KEPT)

    def expire(self, wall: float) -> None:
        """Drop the evidence whose time is up.

        :param wall: seconds since the epoch.
        """
        for node, kept in list(self.reported.items()):
            drop_expired(kept, wall)
            if not kept:
                del self.reported[node]

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
        found = (kept.get(fingerprint) for kept in self.reported.values())
        crashes = sum(item.crashes for item in found if item and item.until > wall)
        return crashes >= CRASH_THRESHOLD
