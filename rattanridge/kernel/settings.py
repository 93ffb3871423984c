"""Settings of a node, from YAML. One object, passed whole to what needs it."""

import ipaddress
import re
import typing

import msgspec

from rattanridge.kernel import codes, documents

URL = re.compile(r"https?://[^/\s?#@]+(/[^\s?#]*)?")
HOST_PORT = re.compile(r"[0-9a-fA-F.:\[\]]+:\d{1,5}")
PORTS = ("caller_port", "hop_port", "control_port", "local_port", "admin_port")

Port = typing.Annotated[int, msgspec.Meta(ge=0, le=65535)]
Seconds = typing.Annotated[float, msgspec.Meta(gt=0, le=86400)]
Count = typing.Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
Bytes = typing.Annotated[int, msgspec.Meta(ge=1024, le=100_000_000)]
Name = typing.Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
Secret = typing.Annotated[str, msgspec.Meta(min_length=8)]


class Struct(msgspec.Struct, forbid_unknown_fields=True):
    """Base of settings classes: slots, and no unknown keys."""


class Limits(Struct):
    """Bounds on what callers send and on what a node keeps.

    Sizes are bytes, times are seconds.

    :param held_bytes: bodies over 64 KiB that a node holds at once.
    :param connections: connections that each port takes.
    :param idle: time that an unused connection to the upstream is kept; below
        the time after which upstreams close it themselves.
    :param late: time after its deadline for which work that must not repeat is
        still waited for, so that its outcome is known.
    """

    header_bytes: typing.Annotated[int, msgspec.Meta(ge=1024, le=1_000_000)] = 16_384
    body_bytes: Bytes = 10_000_000
    answer_bytes: Bytes = 10_000_000
    held_bytes: Bytes = 100_000_000
    connections: Count = 10_000
    idle: Seconds = 1.5
    late: Seconds = 30.0


class ControlSettings(Struct):
    """Times of the control path, in seconds, and its bounds.

    :param report_interval: between a relay's judgements and status writes.
    :param beat_interval: between a relay's heartbeats to each subscriber.
    :param node_beat_interval: between heartbeats of a subscriber that is idle.
    :param stream_timeout: a relay's silence after which a subscriber leaves it,
        and the bound on a single write.
    :param silence_limit: a subscriber's silence after which a relay drops it.
    :param lost_after: from a broken stream until the endpoint counts as lost.
    :param orphan_after: the same for an endpoint without any known stream.
    :param forget_after: from a broken stream until a node is no longer counted.
    :param keep_dead: how long records of dead endpoints are kept.
    """

    lease_term: Seconds = 3.0
    report_interval: Seconds = 1.0
    beat_interval: Seconds = 1.25
    node_beat_interval: Seconds = 2.5
    batch_interval: Seconds = 0.05
    watch_wait: Seconds = 20.0
    stream_timeout: Seconds = 2.75
    silence_limit: Seconds = 6.0
    lost_after: Seconds = 2.0
    orphan_after: Seconds = 8.0
    forget_after: Seconds = 60.0
    keep_dead: Seconds = 600.0
    backoff_first: Seconds = 0.1
    backoff_limit: Seconds = 3.0
    admissions: Count = 32
    drain_bound: Seconds = 30.0


class ClaimSettings(Struct):
    """Bounds of the at-most-once claims.

    :param slices: number of slice objects; the same on every node.
    :param writes_per_second: writes to the platform that all slices together
        may cost; an owner gets the part of its slices.
    :param keep: seconds that a claim is kept after its request's deadline; must
        exceed the time within which callers send a request again.
    :param slice_bytes: bytes of claims kept for one slice.
    :param answer_bytes: bytes of recorded answers that an owner keeps.
    """

    slices: Count = 16
    writes_per_second: Count = 250
    keep: Seconds = 900.0
    slice_bytes: typing.Annotated[int, msgspec.Meta(ge=1024, le=10_000_000)] = 2_000_000
    answer_bytes: Bytes = 4_000_000


class RolloutSettings(Struct):
    """Times of rollouts, in seconds.

    :param least_hold: no step of a rollout is held for less.
    :param warmup: a new endpoint's calls are not timed for so long.
    :param keep_progress: least time between two writes of a step's progress.
    """

    least_hold: Seconds = 10.0
    warmup: Seconds = 30.0
    keep_progress: Seconds = 5.0


class StatsdSettings(Struct):
    """Where counters go; an empty host keeps them in memory."""

    host: str = ""
    port: Port = 8125


class Token(Struct, kw_only=True):
    """A bearer token of the administration API."""

    name: Name
    secret: Secret
    role: typing.Literal["viewer", "operator"] = "viewer"


class NodeSettings(Struct, kw_only=True):
    """Everything that one node needs to know.

    :param name: the node's name, unique in the fleet.
    :param zone: its availability zone.
    :param region: its region.
    :param address: IP number that other nodes use.
    :param caller_port: port for callers; 0 takes a free one.
    :param hop_port: port for calls from other nodes.
    :param control_port: port for control streams from other nodes.
    :param local_port: loopback port for the upstream beside the node:
        announcements and the calls that the upstream makes itself.
    :param admin_port: port of the administration API.
    :param platform: base URLs of the platform's object API, tried in turn.
    :param peers: control addresses of other nodes, asked for relays while the
        platform is down.
    :param key: the secret that nodes share.
    :param relay: whether the node may serve as a relay.
    :param coordinator: whether the node may serve as rollout coordinator.
    """

    name: Name
    zone: Name
    region: Name = "main"
    address: str = "127.0.0.1"
    caller_port: Port = 0
    hop_port: Port = 0
    control_port: Port = 0
    local_port: Port = 0
    admin_port: Port = 0
    platform: typing.Annotated[list[str], msgspec.Meta(min_length=1)]
    peers: list[str] = []
    key: Secret
    relay: bool = True
    coordinator: bool = True
    log_level: typing.Literal["debug", "info", "warning", "error"] = "info"
    tokens: list[Token] = []
    limits: Limits = msgspec.field(default_factory=Limits)
    control: ControlSettings = msgspec.field(default_factory=ControlSettings)
    claims: ClaimSettings = msgspec.field(default_factory=ClaimSettings)
    rollouts: RolloutSettings = msgspec.field(default_factory=RolloutSettings)
    statsd: StatsdSettings = msgspec.field(default_factory=StatsdSettings)


def load(path: str) -> NodeSettings:
    """Read and check a settings file; raise a coded failure on any error."""
    return parse(documents.read(path), path)


def parse(text: str, where: str = "settings") -> NodeSettings:
    """Decode and check settings given as YAML text."""
    settings = documents.decode(text, NodeSettings, where)
    try:
        check(settings, where)
    except codes.Failure as failure:
        raise documents.point(failure, text, where)
    return settings


def check(settings: NodeSettings, where: str = "settings") -> None:
    """Check what types can't say: IP numbers, URLs, tokens, ports and times."""
    check_number(settings.address, "address", where)
    if settings.statsd.host:
        check_number(settings.statsd.host, "statsd.host", where)
    for index, url in enumerate(settings.platform):
        if not URL.fullmatch(url):
            refuse(where, f"platform[{index}]", f"{url!r} is not an HTTP URL")
    for index, peer in enumerate(settings.peers):
        if not HOST_PORT.fullmatch(peer):
            refuse(where, f"peers[{index}]", f"{peer!r} is not host:port")
    check_tokens(settings.tokens, where)
    check_ports(settings, where)
    control = settings.control
    if control.report_interval >= control.stream_timeout:
        refuse(where, "control.stream_timeout", "not above report_interval")
    if control.backoff_first > control.backoff_limit:
        refuse(where, "control.backoff_limit", "below backoff_first")


def check_number(address: str, path: str, where: str) -> None:
    """Refuse what is not an IP number."""
    try:
        ipaddress.ip_address(address)
    except ValueError:
        refuse(where, path, f"{address!r} is not an IP number")


def check_tokens(tokens: list[Token], where: str) -> None:
    """Refuse tokens with one name or one secret."""
    names: set[str] = set()
    secrets: set[str] = set()
    for index, token in enumerate(tokens):
        if token.name in names or token.secret in secrets:
            refuse(where, f"tokens[{index}]", "a name or secret stands twice")
        names.add(token.name)
        secrets.add(token.secret)


def check_ports(settings: NodeSettings, where: str) -> None:
    """Refuse two uses of one port."""
    seen: set[int] = set()
    for field in PORTS:
        port = getattr(settings, field)
        if port and port in seen:
            refuse(where, field, f"port {port} has another use already")
        seen.add(port)


def refuse(where: str, path: str, detail: str) -> typing.NoReturn:
    """Raise the failure of one field."""
    raise codes.Failure(codes.BAD_FIELD, detail, where=f"{where}: {path}")
