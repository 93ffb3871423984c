"""Rollout orders of operators, and the status that the system writes for them."""

import dataclasses

import msgspec

from rattanridge.kernel import untrusted_json

KIND = "rollouts"
RUNNING = "running"
COMPLETED = "completed"
ROLLED_BACK = "rolled_back"


@dataclasses.dataclass(slots=True, frozen=True)
class Order:
    """An operator's request to move a service's traffic to another version.

    :param duration: seconds after the order within which the rollout must complete.
    """

    service: str
    version: str
    duration: float


@dataclasses.dataclass(slots=True, frozen=True)
class Status:
    """Progress of an order.

    :param state: ``RUNNING``, ``COMPLETED`` or ``ROLLED_BACK``.
    :param version: target version of the order.
    :param share: fraction of the requests sent to that version, 0 to 1.
    :param one_endpoint: whether only one endpoint of that version gets requests.
    :param step: index of the current step.
    :param elapsed: seconds between the order and this write.
    :param began: seconds between the order and the first ready endpoint of the
        version; negative while there is none.
    :param holder: node that coordinates the order.
    :param turn: incremented with each write, so that other nodes detect a stalled
        holder.
    :param reason: why the order ended; empty while it runs.
    :param new_requests: requests that the version has had since the order.
    :param old_requests: requests that the version before has had since the order.
    :param excused_answers: failed and slow answers that the version had given when it
        was last proven.
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
    new_requests: int = 0
    old_requests: int = 0
    excused_answers: int = 0


class WireOrder(msgspec.Struct):
    """The spec of a rollout object, written by the operator."""

    service: str = msgspec.field(name="Service")
    version: str = msgspec.field(name="TargetVersion")
    duration: float = msgspec.field(name="DurationS")


class WireStatus(msgspec.Struct):
    """The status of a rollout object, written by the system.

    The platform defines the first two fields; the others are the system's own.
    """

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
    new_requests: int = msgspec.field(name="NewRequests", default=0)
    old_requests: int = msgspec.field(name="OldRequests", default=0)
    excused_answers: int = msgspec.field(name="ExcusedAnswers", default=0)


def decode_order(data: bytes) -> Order:
    """Decode an order; raise ``bad-field`` if it is invalid."""
    wire = untrusted_json.decode_or_fail(data, WireOrder, "rollout")
    return Order(wire.service, wire.version, wire.duration)


def encode_order(order: Order) -> bytes:
    """Return an order in the operator's wire format."""
    return msgspec.json.encode(WireOrder(order.service, order.version, order.duration))


def decode_status(data: bytes) -> Status | None:
    """Return a decoded status; None if it is absent or unreadable."""
    wire = untrusted_json.decode_or_none(data, WireStatus)
    if wire is None:
        return None
    return Status(*msgspec.structs.astuple(wire))


def encode_status(status: Status) -> bytes:
    """Return a status in the store's wire format."""
    return msgspec.json.encode(WireStatus(*dataclasses.astuple(status)))
