"""Settings of a node, from YAML. One object, passed whole to what needs it."""

import ipaddress
import typing

import msgspec

from rattanridge.kernel import codes, documents

Port = typing.Annotated[int, msgspec.Meta(ge=0, le=65535)]
Seconds = typing.Annotated[float, msgspec.Meta(gt=0, le=86400)]
Count = typing.Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
Name = typing.Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
Secret = typing.Annotated[str, msgspec.Meta(min_length=8)]


class Struct(msgspec.Struct, forbid_unknown_fields=True):
    """Base of settings classes: slots, and no unknown keys."""


class Limits(Struct):
    """Bounds on what callers send and on what a node keeps.

    Sizes are bytes, times are seconds.
    """

    header_bytes: Count = 16_384
    body_bytes: Count = 10_000_000
    answer_bytes: Count = 10_000_000
    connections: Count = 10_000


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

    :param slices: number of slice objects; each has one write in flight, so it
        bounds the platform's write rate.
    :param keep: seconds that a claim is kept; must exceed the time within which
        callers send a request again.
    :param slice_bytes: bytes of claims in one slice object.
    :param answer_bytes: bytes of recorded answers that an owner keeps.
    """

    slices: Count = 64
    keep: Seconds = 900.0
    slice_bytes: Count = 500_000
    answer_bytes: Count = 4_000_000


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
    statsd: StatsdSettings = msgspec.field(default_factory=StatsdSettings)


def load(path: str) -> NodeSettings:
    """Read and check a settings file; raise a coded failure on any error."""
    return parse(documents.read(path), path)


def parse(text: str, where: str = "settings") -> NodeSettings:
    """Decode and check settings given as YAML text."""
    settings = documents.decode(text, NodeSettings, where)
    check(settings, where)
    return settings


def check(settings: NodeSettings, where: str = "settings") -> None:
    """Check what types can't say: IP numbers, URLs and distinct token names."""
    try:
        ipaddress.ip_address(settings.address)
    except ValueError:
        detail = f"address {settings.address!r} is not an IP number"
        raise codes.Failure(codes.BAD_FIELD, detail, where=where)
    for url in settings.platform:
        if not url.startswith(("http://", "https://")):
            detail = f"platform {url!r} is not an HTTP URL"
            raise codes.Failure(codes.BAD_FIELD, detail, where=where)
    if len({token.secret for token in settings.tokens}) != len(settings.tokens):
        raise codes.Failure(codes.BAD_FIELD, "two tokens are equal", where=where)
