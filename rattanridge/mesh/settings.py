"""Settings of a node, from YAML or JSON: one object that all parts share.

The platform's template gives JSON, so that a node does not import the YAML library,
which takes some 19 ms of CPU time.
"""

import os
import typing

import msgspec

from rattanridge.kernel import codes, files, registry, settings
from rattanridge.policies import (
    admissions,
    demand,
    freshness,
    placement,
    retry_budget,
    slow_start,  # noqa: F401, registers a placement
    tickets,
)

MIN_KEY_LENGTH = 8  # characters of the shared key
ADDRESSES = ("callers", "hops", "ready", "heartbeats", "metrics", "admin")


class Listen(settings.Struct):
    """Addresses ``host:port`` that the node listens on.

    :param callers: for callers and the upstream's own calls.
    :param hops: for calls that other nodes forward.
    :param ready: for the platform's readiness probes.
    :param heartbeats: for the heartbeats of the local upstream.
    :param metrics: for the metrics; disabled if empty.
    :param admin: for the administration API; disabled if empty.
    """

    callers: str
    hops: str
    ready: str
    heartbeats: str
    metrics: str = ""
    admin: str = ""


class Drain(settings.Struct):
    """Durations of the shutdown.

    :param grace: seconds from SIGTERM until the process is killed.
    """

    grace: settings.Seconds = 6.0


class Repeats(settings.Struct):
    """The budget for sending requests to a second endpoint.

    :param ratio: retries for each request.
    :param least: retries in each window, whatever the number of requests.
    :param window: seconds.
    """

    ratio: float = 0.2
    least: float = 10.0
    window: settings.Seconds = 10.0

    def budget_settings(self) -> retry_budget.Settings:
        """Return the settings of the budget policies."""
        return retry_budget.Settings(self.ratio, self.least, self.window)


class Limits(settings.Struct):
    """Limits on what a node accepts and holds.

    :param held_bytes: bytes of requests and answers that a node holds at once.
    :param progress_bytes: bytes per second that a client has to send or read while
        the node waits for it.
    :param progress_interval: seconds over which these are counted.
    :param stall_seconds: seconds without progress after which a connection may be
        closed if memory is short.
    :param connections: connections that each port accepts.
    :param log_lines: lines per second for each kind of event.
    """

    header_bytes: settings.Count = 32_768
    body_bytes: settings.Bytes = 67_108_864
    held_bytes: settings.Bytes = 80_000_000
    connections: settings.Count = 1_500
    progress_bytes: settings.Count = 50
    progress_interval: settings.Seconds = 60.0
    stall_seconds: settings.Seconds = 2.0
    log_lines: settings.Count = 20


class Claims(settings.Struct):
    """Durations of the claims of requests that must run at most once.

    :param keep: seconds for which a claim is kept after its request's deadline; must
        exceed the time within which callers submit a request again.
    """

    keep: settings.Seconds = 900.0


class Cold(settings.Struct):
    """The bound on the requests that a cold endpoint gets in any second.

    :param overage: multiple of the rate of a cold endpoint in the configuration.
    :param slack: requests on top.
    """

    overage: typing.Annotated[float, msgspec.Meta(ge=0, le=1000)] = 1.5
    slack: typing.Annotated[float, msgspec.Meta(ge=0, le=1_000_000)] = 8.0


class Policies(settings.Struct):
    """Names of the policy plug-ins.

    :param placement: which endpoint a request goes to.
    :param order: which waiting request runs next.
    :param admission: which requests may wait at an exit.
    :param bound: how many slots less urgent requests may hold at an exit.
    :param repeats: whether a request may be sent to a second endpoint.
    """

    placement: str = "expected-time"
    order: str = "timely-first"
    admission: str = "short-queue"
    bound: str = "urgent-slots"
    repeats: str = "shared-budget"


PLUGINS: dict[str, registry.Registry] = {
    "placement": placement.PLACERS,
    "order": tickets.ORDERS,
    "admission": admissions.ADMISSIONS,
    "bound": demand.BOUNDS,
    "repeats": retry_budget.BUDGETS,
}


class Settings(settings.Struct, kw_only=True):
    """All settings of one node.

    :param name: the node's name, unique in the fleet.
    :param zone: its availability zone.
    :param region: accepted, but not used.
    :param service: service of the local upstream.
    :param upstream: ``host:port`` of that upstream.
    :param store: ``host:port`` of the platform's store.
    :param store_reads_per_s: read calls a second that the store accepts from all nodes.
    :param apply_ms: milliseconds after its acknowledgement from which a configuration
        must be in force.
    :param contact_ms: milliseconds after a disturbance of the store in which a node
        must know all changes again.
    :param heartbeat_ms: milliseconds between two heartbeats of an upstream.
    :param key: secret with which nodes authenticate to each other; nodes do not
        authenticate if it is empty.
    :param tokens: tokens of the administration API.
    :param cold: bound on the requests to a cold endpoint; none if it is missing.
    :param evacuation_ms: milliseconds from an order to evacuate a zone until it binds
        all nodes; no such orders are followed if it is missing.
    """

    name: str
    zone: str
    region: str = ""
    service: str = ""
    upstream: str = ""
    store: str
    store_reads_per_s: settings.Rate = 2_000
    apply_ms: settings.Milliseconds = 2_000
    contact_ms: settings.Milliseconds = 3_000
    heartbeat_ms: settings.Milliseconds = 1_500
    key: str = ""
    tokens: list[settings.Token] = []
    listen: Listen
    drain: Drain = msgspec.field(default_factory=Drain)
    repeats: Repeats = msgspec.field(default_factory=Repeats)
    limits: Limits = msgspec.field(default_factory=Limits)
    claims: Claims = msgspec.field(default_factory=Claims)
    policies: Policies = msgspec.field(default_factory=Policies)
    cold: Cold | None = None
    evacuation_ms: settings.Milliseconds | None = None

    def bounds(self) -> freshness.Bounds:
        """Return how long facts on the data in the store last."""
        return freshness.Bounds(self.contact_ms / 1000, self.apply_ms / 1000)


def parse(text: str, where: str = "settings") -> Settings:
    """Decode and validate settings given as YAML or JSON text.

    Raise a coded failure that names the line if they are invalid.
    """
    found = files.decode_json(text, Settings)
    if found is None:
        return parse_yaml(text, where)
    try:
        validate(found, where)
    except codes.Failure:
        return parse_yaml(text, where)
    return found


def parse_yaml(text: str, where: str) -> Settings:
    """Decode and validate settings given as YAML text; see ``parse``."""
    # Imported here, so that a node whose settings are JSON does not load it.
    from rattanridge.kernel import documents

    found = documents.decode(text, Settings, where)
    try:
        validate(found, where)
    except codes.Failure as failure:
        raise documents.add_line_number(failure, text, where)
    return found


def load(path: str) -> Settings:
    """Read and validate a settings file; raise a coded failure on any error."""
    return parse(files.read(path), path)


def validate(found: Settings, where: str) -> None:
    """Validate what the types do not cover, such as addresses and plug-in names.

    Raise ``bad-field`` for the first field that is invalid.
    """
    for name in ("name", "zone", "service"):
        settings.check_word(getattr(found, name), name, where)
    settings.check_address(found.store, "store", where)
    settings.check_address(found.upstream, "upstream", where)
    settings.check_tokens(found.tokens, where)
    if found.key and len(found.key) < MIN_KEY_LENGTH:
        settings.raise_bad_field(
            where, "key", f"shorter than {MIN_KEY_LENGTH} characters"
        )
    seen: set[str] = set()
    for name in ADDRESSES:
        address = getattr(found.listen, name)
        settings.check_address(address, f"listen.{name}", where)
        if address and address in seen:
            settings.raise_bad_field(
                where,
                f"listen.{name}",
                f"{address} is already used by another listener",
            )
        seen.add(address)
    for name, plugins in PLUGINS.items():
        chosen = getattr(found.policies, name)
        if chosen not in plugins.items:
            known = ", ".join(plugins.names())
            settings.raise_bad_field(
                where, f"policies.{name}", f"unknown plug-in {chosen!r}; known: {known}"
            )


class SettingsFile:
    """A settings file that may change at any time.

    :param path: path of the file.
    """

    def __init__(self, path: str):
        self.path = path
        self.stamp = self.read_stamp()

    def read_stamp(self) -> tuple[int, int, int]:
        """Return inode, modification time and size; zeros if the file is missing."""
        try:
            found = os.stat(self.path)
        except OSError:
            return (0, 0, 0)
        return (found.st_ino, found.st_mtime_ns, found.st_size)

    def changed(self) -> bool:
        """Return whether the file has changed since the last call."""
        stamp = self.read_stamp()
        if stamp == self.stamp:
            return False
        self.stamp = stamp
        return True
