"""Quarantine of requests that crash the upstreams which run them.

Evidence is shared from the first crash on, as a record that travels through the
relays, so that a request which its caller sends again through other nodes is
stopped as well. Two endpoints that broke while they ran it hold it back.
"""

import hashlib

from rattanridge.calls import types
from rattanridge.control import messages, replica
from rattanridge.kernel import clock, codes, log, metrics
from rattanridge.policies import balancers

CRASHES = 2  # endpoints, after which a request is held back
EXPIRY = 300.0  # seconds that evidence is kept
RECORDS_MOST = 1000
NAMES_MOST = 4  # endpoints that a record names
BROKEN = (codes.UPSTREAM_FAILED, codes.PEER_FAILED)


class Poison:
    """Gathers evidence of crashes, and refuses what is quarantined.

    :param state: the node's replica; its table carries the records.
    :param counters: counts crashes, quarantines and refusals.
    :param node: the node's name, for logs.
    """

    def __init__(
        self,
        state: replica.Replica,
        counters: metrics.Counters,
        node: str = "",
        time: clock.Clock | None = None,
    ):
        self.table = state.table
        self.counters = counters
        self.time = time or clock.Clock()
        self.log = log.Log("poison", node)
        self.known: dict[str, messages.Quarantine] = {}
        self.cleared_crashes: dict[str, frozenset[str]] = {}
        state.table.listeners.append(self.see)

    def gate(self, call: types.Call) -> None:
        """Refuse a quarantined call; for the mesh's entry."""
        if not self.known:
            return
        record = self.find(fingerprint(call))
        if record is None or not self.is_quarantined(record):
            return
        self.counters.add("poison.refused")
        ran = codes.Ran.NOT_RUN if call.idempotent else codes.Ran.UNKNOWN
        left = record.until - self.time.wall()
        raise codes.Failure(codes.QUARANTINED, ran=ran, retry_after=left)

    def observe(
        self,
        call: types.Call,
        chosen: balancers.Candidate,
        answer: types.Answer,
        seconds: float,
    ) -> None:
        """Note how an attempt ended; mark an answer that must not be retried."""
        if answer.code is None:
            self.clear_crashes(call)
            return
        if answer.code not in BROKEN or answer.ran is codes.Ran.NOT_RUN:
            return
        record = self.add_crash(call, chosen.name)
        if self.is_quarantined(record):
            answer.code = codes.QUARANTINED

    def add_crash(self, call: types.Call, endpoint: str) -> messages.Quarantine:
        """Add an endpoint to the evidence and share it."""
        name = fingerprint(call)
        known = self.find(name)
        crashes = set(known.crashes if known else ()) - self.cleared_of(name)
        crashes.add(endpoint)
        self.counters.add("poison.crashes")
        return self.publish(name, crashes, self.time.wall() + EXPIRY)

    def publish(
        self, name: str, crashes: set[str], until: float
    ) -> messages.Quarantine:
        """Merge a record of these crashes into the table, and return the result."""
        names = tuple(sorted(crashes)[:NAMES_MOST])
        record = messages.Quarantine(name, until, names)
        self.table.merge(record)
        return self.known.get(name, record)

    def clear_crashes(self, call: types.Call) -> None:
        """A request that an upstream answered is not what broke the others."""
        if not self.known:
            return
        name = fingerprint(call)
        record = self.find(name)
        if record is not None and not self.is_quarantined(record):
            self.cleared_crashes[name] = frozenset(record.crashes)

    def cleared_of(self, name: str) -> frozenset[str]:
        return self.cleared_crashes.get(name, frozenset())

    def is_quarantined(self, record: messages.Quarantine) -> bool:
        crashes = set(record.crashes) - self.cleared_of(record.fingerprint)
        return len(crashes) >= CRASHES

    def find(self, name: str) -> messages.Quarantine | None:
        """Return the evidence against a fingerprint, unless it expired."""
        record = self.known.get(name)
        if record is not None and record.until <= self.time.wall():
            self.forget(name)
            return None
        return record

    def see(self, record: messages.Record) -> None:
        """Take a record, from here or from another node, within the bounds."""
        if not isinstance(record, messages.Quarantine):
            return
        name = record.fingerprint
        if record.until <= self.time.wall():
            self.forget(name)
            return
        before = self.known.get(name)
        self.known[name] = record
        if self.is_quarantined(record) and (
            before is None or not self.is_quarantined(before)
        ):
            self.counters.add("poison.quarantined")
            self.log.warn(
                "request-quarantined",
                fingerprint=name,
                crashes=",".join(record.crashes),
            )
        if len(self.known) > RECORDS_MOST:
            self.shrink()
        self.unite(record, before)

    def unite(
        self, record: messages.Quarantine, before: messages.Quarantine | None
    ) -> None:
        """Join the crashes of two nodes that did not know of each other's."""
        if before is None or self.is_quarantined(record):
            return
        both = set(before.crashes) | set(record.crashes)
        both -= self.cleared_of(record.fingerprint)
        if len(both) > len(record.crashes):
            until = max(before.until, record.until)
            self.publish(record.fingerprint, both, until)

    def shrink(self) -> None:
        """Forget what expired, and what expires first if that is not enough."""
        now = self.time.wall()
        ordered = sorted(self.known.values(), key=lambda record: record.until)
        excess = len(ordered) - RECORDS_MOST
        for index, record in enumerate(ordered):
            if index < excess or record.until <= now:
                self.forget(record.fingerprint)
                self.table.drop(record.key)

    def forget(self, name: str) -> None:
        """Forget a record here; the table drops those that ended by itself."""
        self.known.pop(name, None)
        self.cleared_crashes.pop(name, None)


def fingerprint(call: types.Call) -> str:
    """Return the hash over method, path and body."""
    state = hashlib.blake2b(digest_size=16)
    for part in (call.method, call.path):
        data = part.encode()
        state.update(len(data).to_bytes(4, "big") + data)
    state.update(call.body)
    return state.hexdigest()
