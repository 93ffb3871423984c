"""Holds back requests of which upstreams die; nodes share what they saw.

The evidence of a node is part of its record in the store, which all nodes follow
anyway.
"""

import asyncio
import collections.abc
import time

from rattanridge.kernel import codes
from rattanridge.mesh import calls, events
from rattanridge.policies import quarantine


class Suspects:
    """One node's evidence, and what it knows of the others'.

    :param node: the node's name.
    :param wall: returns the seconds since the epoch; nodes have no other clock
        in common.
    """

    def __init__(
        self,
        node: str,
        log: events.Events,
        meters: events.Meters,
        wall: collections.abc.Callable[[], float] = time.time,
    ):
        self.node = node
        self.log = log
        self.meters = meters
        self.wall = wall
        self.evidence = quarantine.CrashEvidence()
        self.quarantine = quarantine.Quarantine()
        self.listeners: list[collections.abc.Callable[[], None]] = []

    def check(self, call: calls.Call) -> None:
        """Refuse a request that is held back."""
        if not self.quarantine.reported:
            return
        name = fingerprint(call)
        if self.quarantine.is_quarantined(name, self.wall()):
            raise codes.Failure(
                codes.QUARANTINED, name, retry_after=quarantine.EVIDENCE_TTL / 2
            )

    def record_broken_call(self, call: calls.Call, ran_for: float) -> None:
        """The upstream's connection broke under a request."""
        now = asyncio.get_running_loop().time()
        self.evidence.record_broken_request(fingerprint(call), ran_for, now)

    def record_upstream_end(self) -> None:
        """The upstream has ended: requests that began just before are suspect."""
        now = asyncio.get_running_loop().time()
        if self.evidence.record_crash(now, self.wall()):
            self.meters.add("requests-suspected")
            self.log.note("requests-suspected", names=",".join(self.evidence.suspects))
            self.tell()

    def record_answer(self, call: calls.Call) -> None:
        """The upstream answered a request: it does not die of it."""
        if not self.quarantine.reported:
            return
        name = fingerprint(call)
        self.quarantine.clear(name, self.wall())
        if self.evidence.clear(name):
            self.tell()

    def expire(self) -> None:
        """Drop evidence that is too old."""
        if self.evidence.expire(self.wall()):
            self.tell()

    def own(self) -> tuple[quarantine.Suspect, ...]:
        """Return the evidence of this node."""
        return tuple(self.evidence.suspects.values())

    def take(self, node: str, found: tuple[quarantine.Suspect, ...]) -> None:
        """Take over the evidence of a node."""
        if node != self.node:
            self.quarantine.apply(node, found)

    def tell(self) -> None:
        """Count the own evidence and let it be published."""
        self.quarantine.apply(self.node, self.own())
        for listener in self.listeners:
            listener()


def fingerprint(call: calls.Call) -> str:
    """Return the hash by which a request is known again."""
    return quarantine.fingerprint(call.method, call.path, call.body)
