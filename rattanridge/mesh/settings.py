"""Settings of a node, from YAML. One object, passed whole to what needs it."""

import os

import msgspec

from rattanridge.kernel import codes, documents, registry, settings
from rattanridge.policies import placement, queueing, retry_budget

KEY_LENGTH_LEAST = 8  # characters of the shared key
ADDRESSES = ("callers", "hops", "ready", "heartbeats", "metrics", "admin")


class Listen(settings.Struct):
    """Addresses ``host:port`` that the node listens on.

    :param callers: for callers and the upstream's own calls.
    :param hops: for calls that other nodes forward.
    :param ready: for the platform's question whether the node is ready.
    :param heartbeats: for the heartbeats of the upstream beside it.
    :param metrics: for the metrics; none if it is empty.
    :param admin: for the administration API; none if it is empty.
    """

    callers: str
    hops: str
    ready: str
    heartbeats: str
    metrics: str = ""
    admin: str = ""


class Drain(settings.Struct):
    """Times of leaving.

    :param grace: seconds from SIGTERM until the process is killed.
    """

    grace: settings.Seconds = 6.0


class Repeats(settings.Struct):
    """The budget of requests that are sent to a second endpoint."""

    ratio: float = 0.2
    least: float = 10.0
    window: settings.Seconds = 10.0

    def budget_settings(self) -> retry_budget.Settings:
        """Return them as the budgets take them."""
        return retry_budget.Settings(self.ratio, self.least, self.window)


class Limits(settings.Struct):
    """Bounds of what a node takes and keeps.

    :param held_bytes: bodies over 64 KiB that a node holds at once.
    :param connections: connections that each port takes.
    :param log_lines: lines a second for each kind of event.
    """

    header_bytes: settings.Count = 32_768
    body_bytes: settings.Bytes = 67_108_864
    held_bytes: settings.Bytes = 80_000_000
    connections: settings.Count = 1_500
    log_lines: settings.Count = 20


class Claims(settings.Struct):
    """Times of the claims of requests that must run at most once.

    :param keep: seconds that a claim is kept after its request's deadline; must
        exceed the time within which callers send a request again.
    """

    keep: settings.Seconds = 900.0


class Policies(settings.Struct):
    """Names of the plug-ins that decide.

    :param placement: which endpoint a request goes to.
    :param order: which waiting request comes next.
    :param admission: who may wait at an exit.
    :param repeats: whether a request is sent to a second endpoint.
    """

    placement: str = "expected-time"
    order: str = "timely-first"
    admission: str = "short-queue"
    repeats: str = "shared-budget"


PLUGINS: dict[str, registry.Registry] = {
    "placement": placement.PLACERS,
    "order": queueing.ORDERS,
    "admission": queueing.ADMISSIONS,
    "repeats": retry_budget.BUDGETS,
}


class Settings(settings.Struct, kw_only=True):
    """Everything that one node needs to know.

    :param name: the node's name, unique in the fleet.
    :param zone: its availability zone.
    :param service: service of the upstream beside it.
    :param upstream: ``host:port`` of that upstream.
    :param store: ``host:port`` of the platform's store.
    :param heartbeat_ms: milliseconds between two heartbeats of an upstream.
    :param key: secret that nodes prove to each other; none if it is empty.
    :param tokens: who may use the administration API.
    """

    name: str
    zone: str
    region: str = ""
    service: str = ""
    upstream: str = ""
    store: str
    heartbeat_ms: settings.Count = 1_500
    key: str = ""
    tokens: list[settings.Token] = []
    listen: Listen
    drain: Drain = msgspec.field(default_factory=Drain)
    repeats: Repeats = msgspec.field(default_factory=Repeats)
    limits: Limits = msgspec.field(default_factory=Limits)
    claims: Claims = msgspec.field(default_factory=Claims)
    policies: Policies = msgspec.field(default_factory=Policies)


def parse(text: str, where: str = "settings") -> Settings:
    """Decode and check settings given as YAML text."""
    found = documents.decode(text, Settings, where)
    try:
        check(found, where)
    except codes.Failure as failure:
        raise documents.add_line_number(failure, text, where)
    return found


def load(path: str) -> Settings:
    """Read and check a settings file; raise a coded failure on any error."""
    return parse(documents.read(path), path)


def check(found: Settings, where: str) -> None:
    """Check what types can't say: addresses, tokens, names of plug-ins."""
    for name in ("name", "zone", "service"):
        settings.check_word(getattr(found, name), name, where)
    settings.check_address(found.store, "store", where)
    settings.check_address(found.upstream, "upstream", where)
    settings.check_tokens(found.tokens, where)
    if found.key and len(found.key) < KEY_LENGTH_LEAST:
        settings.raise_bad_field(
            where, "key", f"shorter than {KEY_LENGTH_LEAST} characters"
        )
    seen: set[str] = set()
    for name in ADDRESSES:
        address = getattr(found.listen, name)
        settings.check_address(address, f"listen.{name}", where)
        if address and address in seen:
            settings.raise_bad_field(
                where, f"listen.{name}", f"{address} has another use"
            )
        seen.add(address)
    for name, plugins in PLUGINS.items():
        chosen = getattr(found.policies, name)
        if chosen not in plugins.items:
            known = ", ".join(plugins.names())
            settings.raise_bad_field(
                where, f"policies.{name}", f"{chosen!r}; known: {known}"
            )


class SettingsFile:
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
