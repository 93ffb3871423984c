"""Settings of a node, from YAML. One object, passed whole to what needs it."""

import os

import msgspec

from rattanridge.kernel import documents, settings


class Struct(msgspec.Struct, forbid_unknown_fields=True):
    """Base of settings classes: slots, and no unknown keys."""


class Listen(Struct):
    """Addresses ``host:port`` that the node listens on.

    :param callers: for callers and the upstream's own calls.
    :param hops: for calls that other nodes forward.
    :param ready: for the platform's question whether the node is ready.
    :param heartbeats: for the heartbeats of the upstream beside it.
    :param metrics: for the metrics.
    """

    callers: str
    hops: str
    ready: str
    heartbeats: str
    metrics: str = ""


class Drain(Struct):
    """Times of leaving.

    :param grace: seconds from SIGTERM until the process is killed.
    :param upstream_ms: milliseconds from the acknowledgement that an upstream
        leaves until nothing more may reach it.
    """

    grace: settings.Seconds = 6.0
    upstream_ms: settings.Count = 2_000


class Repeats(Struct):
    """The budget of requests that are sent to a second endpoint."""

    ratio: float = 0.2
    least: float = 10.0
    window: settings.Seconds = 10.0


class Limits(Struct):
    """Bounds of what a node takes and keeps.

    :param connections: connections that each port takes.
    :param log_lines: lines a second for each kind of event.
    """

    header_bytes: settings.Count = 32_768
    body_bytes: settings.Bytes = 67_108_864
    connections: settings.Count = 1_500
    log_lines: settings.Count = 20


class Settings(Struct, kw_only=True):
    """Everything that one node needs to know.

    :param name: the node's name, unique in the fleet.
    :param zone: its availability zone.
    :param service: service of the upstream beside it.
    :param upstream: ``host:port`` of that upstream.
    :param store: ``host:port`` of the platform's store.
    :param heartbeat_ms: milliseconds between two heartbeats of an upstream.
    """

    name: str
    zone: str
    region: str = ""
    service: str = ""
    upstream: str = ""
    store: str
    heartbeat_ms: settings.Count = 1_500
    listen: Listen
    drain: Drain = msgspec.field(default_factory=Drain)
    repeats: Repeats = msgspec.field(default_factory=Repeats)
    limits: Limits = msgspec.field(default_factory=Limits)


def parse(text: str, where: str = "settings") -> Settings:
    """Decode and check settings given as YAML text."""
    return documents.decode(text, Settings, where)


def load(path: str) -> Settings:
    """Read and check a settings file; raise a coded failure on any error."""
    return parse(documents.read(path), path)


class File:
    """A settings file that may change at any time.

    :param path: where it lies.
    """

    def __init__(self, path: str):
        self.path = path
        self.stamp = self.look()

    def look(self) -> tuple[int, int, int]:
        """Return what tells one content of the file from another."""
        try:
            found = os.stat(self.path)
        except OSError:
            return (0, 0, 0)
        return (found.st_ino, found.st_mtime_ns, found.st_size)

    def changed(self) -> bool:
        """Whether the file is another one than at the last look."""
        stamp = self.look()
        if stamp == self.stamp:
            return False
        self.stamp = stamp
        return True
