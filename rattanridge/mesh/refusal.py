"""The version that the store holds and that this node cannot use, if there is one."""

import time

from rattanridge.kernel import codes
from rattanridge.mesh import events


class Refusal:
    """Which version is refused and why; shown by log lines and gauges.

    :ivar why: source and error; empty if the store's version can be used.
    :ivar version: that version; 0 if there is none, or if its number is unreadable.
    :ivar version_of_peers: highest version that another node has in force, and whose
        copy of it cannot be used here either.
    """

    def __init__(self, log: events.Events, meters: events.Meters):
        self.log = log
        self.meters = meters
        self.why = ""
        self.version = 0
        self.version_of_peers = 0

    def record(self, version: int, source: str, failure: codes.Failure) -> None:
        """Record that a version cannot be used."""
        self.log.error(
            "configuration-refused",
            version=version,
            source=source,
            code=failure.code.number,
            why=str(failure),
        )
        if not self.why:
            self.meters.refused_since.set(time.time())
        self.meters.refused_version.set(version)
        self.version = version
        self.why = f"{source}: {failure}"

    def end(self) -> None:
        """Record that the version that the store holds can be used."""
        self.why = ""
        self.version = 0
        self.meters.refused_since.set(0)
        self.meters.refused_version.set(0)
