"""The operator's rollout orders and the status that answers them."""

import dataclasses

import msgspec

from rattanridge.kernel import codes, untrusted_json

KIND = "rollouts"
RUNNING = "running"
COMPLETED = "completed"
ROLLED_BACK = "rolled_back"


@dataclasses.dataclass(slots=True, frozen=True)
class Order:
    """The operator wants a service's traffic on another version.

    :param duration: seconds, from the order, within which it is to be done.
    """

    service: str
    version: str
    duration: float


@dataclasses.dataclass(slots=True, frozen=True)
class Status:
    """How far an order has come.

    :param state: ``RUNNING``, ``COMPLETED`` or ``TAKEN_BACK``.
    :param version: the version that the order names.
    :param share: part of the requests that goes to it, 0 to 1.
    :param one_endpoint: whether only one of the new endpoints gets requests.
    :param step: index of the step in force.
    :param elapsed: seconds since the order, at the write.
    :param began: seconds after the order when the first new endpoint was ready;
        below 0 before that.
    :param holder: node that coordinates the order.
    :param turn: grows with each write, so that a stalled holder shows.
    :param reason: why the order ended as it did; empty while it runs.
    """

    state: str
    version: str
    share: float = 0.0
    one_endpoint: bool = False
    step: int = 0
    elapsed: float = 0.0
    began: float = -1.0
    holder: str = ""
    turn: int = 0
    reason: str = ""


class WireOrder(msgspec.Struct):
    """The operator's part."""

    service: str = msgspec.field(name="Service")
    version: str = msgspec.field(name="TargetVersion")
    duration: float = msgspec.field(name="DurationS")


class WireStatus(msgspec.Struct):
    """The system's part; what follows the first two are its own fields."""

    state: str = msgspec.field(name="State")
    version: str = msgspec.field(name="TargetVersion")
    share: float = msgspec.field(name="Share", default=0.0)
    one_endpoint: bool = msgspec.field(name="OneEndpoint", default=False)
    step: int = msgspec.field(name="Step", default=0)
    elapsed: float = msgspec.field(name="ElapsedS", default=0.0)
    began: float = msgspec.field(name="BeganS", default=-1.0)
    holder: str = msgspec.field(name="Holder", default="")
    turn: int = msgspec.field(name="Turn", default=0)
    reason: str = msgspec.field(name="Reason", default="")


def decode_order(data: bytes) -> Order:
    """Decode an order; raise ``bad-field`` if it is wrong."""
    try:
        wire = msgspec.json.decode(data, type=WireOrder)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise codes.Failure(codes.BAD_FIELD, str(error), where="rollout")
    return Order(wire.service, wire.version, wire.duration)


def encode_order(order: Order) -> bytes:
    """Return an order as the operator writes it."""
    return msgspec.json.encode(WireOrder(order.service, order.version, order.duration))


def decode_status(data: bytes) -> Status | None:
    """Decode a status; None if there is none or it is unreadable."""
    wire = untrusted_json.decode_or_none(data, WireStatus)
    if wire is None:
        return None
    return Status(*msgspec.structs.astuple(wire))


def encode_status(status: Status) -> bytes:
    """Return a status as the store keeps it."""
    return msgspec.json.encode(WireStatus(*dataclasses.astuple(status)))
