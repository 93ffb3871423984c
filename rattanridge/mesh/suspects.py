"""Quarantines requests that crash upstreams; nodes share their evidence.

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
    """The evidence of this node and of all others; refuses quarantined requests.

    ``listeners`` are called when this node's evidence has changed.

    :param node: the node's name.
    :param wall_clock: returns the seconds since the epoch, which is the only clock
        that nodes have in common.
    """

    def __init__(
        self,
        node: str,
        log: events.Events,
        meters: events.Meters,
        wall_clock: collections.abc.Callable[[], float] = time.time,
    ):
        self.node = node
        self.log = log
        self.meters = meters
        self.wall_clock = wall_clock
        self.evidence = quarantine.CrashEvidence()
        self.quarantine = quarantine.Quarantine()
        self.listeners: list[collections.abc.Callable[[], None]] = []

    def check(self, call: calls.Call) -> None:
        """Raise ``quarantined`` if a request is held back."""
        if not self.quarantine.reported:
            return
        name = fingerprint(call)
        if self.quarantine.is_quarantined(name, self.wall_clock()):
            raise codes.Failure(
                codes.QUARANTINED, name, retry_after=quarantine.EVIDENCE_TTL / 2
            )

    def record_broken_call(self, call: calls.Call, ran_for: float) -> None:
        """Record that the upstream's connection broke during a request.

        :param ran_for: seconds since the request was sent.
        """
        now = asyncio.get_running_loop().time()
        self.evidence.record_broken_request(fingerprint(call), ran_for, now)

    def record_upstream_end(self) -> None:
        """Record the end of the upstream: requests sent just before are suspects."""
        now = asyncio.get_running_loop().time()
        if self.evidence.record_crash(now, self.wall_clock()):
            self.meters.add("requests-suspected")
            self.log.note("requests-suspected", names=",".join(self.evidence.suspects))
            self.notify()

    def record_answer(self, call: calls.Call) -> None:
        """Clear a request that the upstream answered: it did not crash it."""
        if not self.quarantine.reported:
            return
        name = fingerprint(call)
        self.quarantine.clear(name, self.wall_clock())
        if self.evidence.clear(name, self.wall_clock()):
            self.notify()

    def expire(self) -> None:
        """Drop evidence that is too old."""
        self.quarantine.expire(self.wall_clock())
        if self.evidence.expire(self.wall_clock()):
            self.notify()

    def restore(self, published: tuple[quarantine.Suspect, ...]) -> None:
        """Take over the evidence that an earlier process of this node published."""
        if not self.evidence.restore(published, self.wall_clock()):
            return
        names = ",".join(self.evidence.suspects)
        self.log.note("evidence-restored", names=names)
        self.notify()

    def own_evidence(self) -> tuple[quarantine.Suspect, ...]:
        """Return the evidence of this node."""
        return tuple(self.evidence.suspects.values())

    def apply(self, node: str, found: tuple[quarantine.Suspect, ...]) -> None:
        """Apply the evidence that another node published; empty if its record is gone.

        What is missing now is kept until its time is up.
        """
        if node == self.node:
            return
        self.log_missing(node, {item.fingerprint for item in found})
        self.quarantine.apply(node, found)

    def log_missing(self, node: str, names: set[str]) -> None:
        """Log the evidence that a node publishes no more before its time is up.

        :param names: fingerprints of what the node publishes now.
        """
        now = self.wall_clock()
        missing = [
            item
            for name, item in self.quarantine.reported.get(node, {}).items()
            if name not in names and item.until > now
        ]
        if missing:
            self.log.note(
                "evidence-kept",
                name=node,
                names=",".join(item.fingerprint for item in missing),
                left=max(item.until for item in missing) - now,
            )

    def notify(self) -> None:
        """Apply this node's evidence, and call the listeners, which publish it."""
        self.quarantine.apply(self.node, self.own_evidence())
        for listener in self.listeners:
            listener()


def fingerprint(call: calls.Call) -> str:
    """Return the hash that identifies a request."""
    return quarantine.fingerprint(call.method, call.path, call.body)
