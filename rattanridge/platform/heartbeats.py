"""Heartbeats and farewells that an upstream sends to its local node."""

import dataclasses

import msgspec

from rattanridge.kernel import codes, untrusted_json

PREFIX = "/api/instances/"
READY_PATH = "/api/readyz"
MAX_BYTES = 65_536
READY = "ready"
DRAINING = "draining"
STATES = (READY, DRAINING)


@dataclasses.dataclass(slots=True, frozen=True)
class Heartbeat:
    """One heartbeat of an upstream.

    :param endpoint: the upstream's id, which stays the same across restarts.
    :param incarnation: start time of the upstream's process, in milliseconds since
        the epoch; 0 if not given.
    :param sequence: increases with each heartbeat of one incarnation.
    :param slots: number of requests that it runs at once.
    :param draining: whether it is about to leave.
    :param cold_remaining: seconds for which it is still slow after its start.
    """

    endpoint: str
    incarnation: int
    sequence: int
    service: str
    address: str
    version: str
    slots: int
    draining: bool
    cold_remaining: float


class WireHeartbeat(msgspec.Struct):
    """Body of a heartbeat. ``born`` is the incarnation, see ``Heartbeat``."""

    service: str = msgspec.field(name="Service")
    address: str = msgspec.field(name="Address")
    version: str = msgspec.field(name="Version")
    slots: int = msgspec.field(name="Slots")
    state: str = msgspec.field(name="State")
    sequence: int = msgspec.field(name="Sequence")
    cold_ms: float = msgspec.field(name="ColdRemainingMs", default=0.0)
    zone: str = msgspec.field(name="Zone", default="")
    born: int = 0


class WireLeave(msgspec.Struct):
    """Body of a farewell; it may be empty. ``born`` is the incarnation."""

    born: int = 0


def decode(endpoint: str, data: bytes) -> Heartbeat:
    """Decode a heartbeat; raise ``bad-field`` if a field is missing or invalid."""
    wire = untrusted_json.decode_or_fail(data, WireHeartbeat, "heartbeat")
    if wire.state not in STATES or wire.slots < 1 or not wire.service:
        raise codes.Failure(
            codes.BAD_FIELD,
            f"state {wire.state}, {wire.slots} slots, service {wire.service!r}: "
            f"expected one of {STATES}, at least 1 slot, and a service",
            where="heartbeat",
        )
    return Heartbeat(
        endpoint,
        wire.born,
        wire.sequence,
        wire.service,
        wire.address,
        wire.version,
        wire.slots,
        wire.state == DRAINING,
        wire.cold_ms / 1000,
    )


def encode(beat: Heartbeat, zone: str = "") -> bytes:
    """Return a heartbeat in the wire format of upstreams."""
    wire = WireHeartbeat(
        beat.service,
        beat.address,
        beat.version,
        beat.slots,
        DRAINING if beat.draining else READY,
        beat.sequence,
        beat.cold_remaining * 1000,
        zone,
        beat.incarnation,
    )
    return msgspec.json.encode(wire)


def decode_leave(data: bytes) -> int:
    """Return the incarnation named in a farewell; 0 if there is none."""
    wire = untrusted_json.decode_or_none(data, WireLeave)
    return wire.born if wire is not None else 0
