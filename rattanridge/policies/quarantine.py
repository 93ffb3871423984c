"""Which requests are held back because upstreams die of them. Needs no network.

Answers this load: a request that breaks each upstream which begins to run it,
and that comes again, with the same path and body, at any node. An upstream that
dies for another reason takes innocent requests with it; so only those that began
just before its end are suspected, two ends are needed, and an answer clears.
"""

import msgspec

from rattanridge.kernel import hashing

FINGERPRINT_BYTES = 12
CRASHES = 2  # ends of upstreams after which a request is held back
BEGUN_WITHIN = 0.25  # seconds before an upstream's end that make a request suspect
CONFIRM_WITHIN = 3.0  # seconds in which the end of an upstream must show
EVIDENCE_TTL = 60.0  # seconds that evidence is kept
SUSPECTS_MOST = 32  # fingerprints that one node tells


class Suspect(msgspec.Struct, frozen=True, array_like=True):
    """A request that began just before an upstream's end.

    :param fingerprint: hash of what makes it the same request.
    :param crashes: ends of upstreams that one node saw.
    :param until: seconds since the epoch until which this counts.
    """

    fingerprint: str
    crashes: int
    until: int


def fingerprint(method: str, path: str, body: bytes) -> str:
    """Return the hash by which a request is known again."""
    name = path.encode(errors="surrogateescape")
    return hashing.hash_parts(method.encode(), name, body, size=FINGERPRINT_BYTES)


class CrashEvidence:
    """What one node saw its upstream die of.

    A connection that breaks is no proof. The end of the upstream shows when it
    takes no connection, or when another incarnation of it speaks.
    """

    def __init__(self) -> None:
        self.pending: list[tuple[float, str]] = []
        self.suspects: dict[str, Suspect] = {}

    def record_broken_request(self, name: str, ran_for: float, now: float) -> None:
        """A connection broke under a request that ran for some seconds."""
        if ran_for <= BEGUN_WITHIN:
            self.pending.append((now, name))

    def record_crash(self, now: float, wall: float) -> bool:
        """The upstream has ended; return whether the suspects changed."""
        found = {name for at, name in self.pending if now - at <= CONFIRM_WITHIN}
        self.pending.clear()
        for name in found:
            known = self.suspects.get(name)
            crashes = known.crashes + 1 if known is not None else 1
            self.suspects[name] = Suspect(name, crashes, int(wall + EVIDENCE_TTL))
        while len(self.suspects) > SUSPECTS_MOST:
            self.suspects.pop(next(iter(self.suspects)))
        return bool(found)

    def clear(self, name: str) -> bool:
        """The upstream answered a request; return whether the suspects changed."""
        return self.suspects.pop(name, None) is not None

    def expire(self, wall: float) -> bool:
        """Drop what is too old; return whether the suspects changed."""
        old = [name for name, item in self.suspects.items() if item.until <= wall]
        for name in old:
            del self.suspects[name]
        return bool(old)


class Quarantine:
    """The evidence of all nodes, as one node knows it."""

    def __init__(self) -> None:
        self.reported: dict[str, tuple[Suspect, ...]] = {}
        self.cleared: dict[str, float] = {}

    def apply(self, node: str, suspects: tuple[Suspect, ...]) -> None:
        """Take over what a node tells; nothing is told by a node that is gone."""
        if suspects:
            self.reported[node] = suspects
        else:
            self.reported.pop(node, None)

    def clear(self, name: str, wall: float) -> None:
        """An upstream answered a request: what others saw counts no more."""
        self.cleared = {
            known: until for known, until in self.cleared.items() if until > wall
        }
        self.cleared[name] = wall + EVIDENCE_TTL

    def is_quarantined(self, name: str, wall: float) -> bool:
        """Whether a request is held back."""
        if self.cleared.get(name, 0.0) > wall:
            return False
        crashes = sum(
            item.crashes
            for suspects in self.reported.values()
            for item in suspects
            if item.fingerprint == name and item.until > wall
        )
        return crashes >= CRASHES
