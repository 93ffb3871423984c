"""Typed messages between nodes, encoded as msgpack."""

import dataclasses
import typing
import zlib

import msgspec

from rattanridge.kernel import codes, snapshot
from rattanridge.policies import samples, schedules

PROTOCOL = 1
MAX_MESSAGE_BYTES = 8_000_000
PACK_BYTES = 512  # messages of at least this size are compressed
PACK_LEVEL = 6


class Message(msgspec.Struct, tag_field="t", omit_defaults=True):
    """Base of all messages; the tag names the kind on the wire."""


class Row(Message, frozen=True, array_like=True):
    """Base of replicated records; an array on the wire, for they are many.

    ``key`` names the record, ``rank`` orders its successive contents, and a
    dead one is a tombstone that is kept for a while and then dropped.
    """

    @property
    def dead(self) -> bool:
        return False


class Endpoint(Row, tag="endpoint", frozen=True):
    """One endpoint as its node announces it.

    :param name: the node's name; one endpoint stands beside each node.
    :param hop: address of the node for forwarded calls, ``host:port``.
    :param state: ``up``, ``draining``, ``gone``, or ``lost`` if its relay saw
        its stream break and not return.
    :param incarnation: the node's start, in milliseconds since the epoch.
    :param sequence: grows with each change that the node makes.
    :param relay: the relay that the node is attached to.
    """

    name: str
    zone: str
    service: str
    version: str
    hop: str
    slots: int
    connections: int
    state: str
    incarnation: int
    sequence: int
    relay: str = ""

    @property
    def key(self) -> tuple[str, str]:
        return ("endpoint", self.name)

    @property
    def rank(self) -> tuple:
        return (self.incarnation, self.sequence, self.state == "lost")

    @property
    def dead(self) -> bool:
        return self.state in ("gone", "lost")


class Role(Row, tag="role", frozen=True):
    """Who holds a role, as far as its holder or a taker-over told."""

    role: str
    holder: str
    address: str
    epoch: int

    @property
    def key(self) -> tuple[str, str]:
        return ("role", self.role)

    @property
    def rank(self) -> tuple:
        return (self.epoch, not self.holder)


class Stage(Row, tag="stage", frozen=True):
    """The stage of a service's newest rollout.

    A share grows only by the platform: with a higher ``version``. It shrinks
    also without: ``cut`` and ``taken-back`` outrank the same version, and
    ``taken-back`` is final for the number.

    :param number: the rollout's id; a later rollout has a higher one.
    :param version: number of changes that the platform's object saw.
    :param old: name of the version that traffic leaves.
    :param new: name of the version that traffic goes to.
    :param share: fraction of idempotent calls that may go to ``new``.
    :param once_share: the same for calls that must not run twice.
    :param spread: number of endpoints of ``new`` in use; 0: all.
    :param state: ``running``, ``done`` or ``taken-back``.
    :param reason: why it was taken back.
    :param boosts: shares of rare routes, in place of the stage's.
    :param cut: whether the share was cut for a trial, ahead of the platform.
    """

    service: str
    number: int
    version: int
    old: str
    new: str
    share: float
    once_share: float = 0.0
    spread: int = 0
    state: str = "running"
    reason: str = ""
    boosts: tuple[schedules.RouteShare, ...] = ()
    cut: bool = False

    @property
    def key(self) -> tuple[str, str]:
        return ("stage", self.service)

    @property
    def rank(self) -> tuple:
        return (self.number, self.state == "taken-back", self.version, self.cut)

    @property
    def phase(self) -> tuple[int, bool]:
        """What counts must share to be compared: the share is constant in it."""
        return (self.version, self.cut)

    def share_for(self, idempotent: bool, route: str) -> float:
        """Return the fraction of a route's calls that may go to ``new``."""
        for item in self.boosts:
            if item.route == route:
                return item.share
        return self.share if idempotent else self.once_share


class Quarantine(Row, tag="quarantine", frozen=True):
    """A request that crashed upstreams and is held back everywhere.

    :param fingerprint: hash over method, path and body.
    :param until: wall-clock seconds at which it ends.
    :param crashes: names of the endpoints that died while running it.
    """

    fingerprint: str
    until: float
    crashes: tuple[str, ...]

    @property
    def key(self) -> tuple[str, str]:
        return ("quarantine", self.fingerprint)

    @property
    def rank(self) -> tuple:
        return (len(self.crashes), self.until, self.crashes)


Record = Endpoint | Role | Stage | Quarantine


class Rejection(msgspec.Struct, frozen=True):
    """Why a node did not apply a configuration."""

    generation: int
    code: int
    reason: str


class Hello(Message, tag="hello"):
    """First message of a subscriber.

    :param generation: generation in force at the node; 0: none yet.
    :param digest: hash of its snapshot.
    :param table: digest of its table of records.
    :param relay: whether the subscriber is itself a relay.
    """

    node: str
    zone: str
    incarnation: int
    generation: int
    digest: str
    table: str
    relay: bool = False
    protocol: int = PROTOCOL


class Welcome(Message, tag="welcome"):
    """First answer of a relay that admits the subscriber."""

    relay: str
    zone: str
    generation: int


class Busy(Message, tag="busy"):
    """Answer of a relay that admits no more subscribers now."""

    retry_after: float


class Config(Message, tag="config"):
    """A change of configuration."""

    delta: snapshot.Delta


class Want(Message, tag="want"):
    """The receiver shall send its whole configuration: it has a newer one."""

    digest: str = ""


class Records(Message, tag="records"):
    """Records to merge; every order and repetition ends the same."""

    items: list[Record]


class Report(Message, tag="report"):
    """What a node has in force; also its heartbeat.

    :param leaving: whether the node stops as planned and is to be forgotten.
    """

    generation: int
    digest: str
    rejection: Rejection | None = None
    leaving: bool = False


class NodeState(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a relay knows of one node.

    :param generation: generation in force at the node, as far as known.
    :param rejection: why it does not apply a higher one.
    :param lost_at: wall-clock seconds at which its stream broke; 0: it stands.
    """

    generation: int
    rejection: Rejection | None = None
    lost_at: float = 0.0


class Presence(Message, tag="presence"):
    """The nodes of one relay, told to other relays when they change."""

    relay: str
    nodes: dict[str, NodeState]


class Rejected(Message, tag="rejected"):
    """The relay found a chosen configuration invalid."""

    rejection: Rejection


class Beat(Message, tag="beat"):
    """Heartbeat of either end of a stream that has nothing else to say."""

    generation: int


class Candidate(Message, tag="candidate"):
    """The receiver shall try to take a role that seems vacant."""

    role: str


class Ask(Message, tag="ask"):
    """A question for the relays that a node knows and its generation."""


class Known(Message, tag="known"):
    """Answer to ``Ask``.

    :param generation: the highest that the answering node knows of, its own and
        the one that the asking node had when it was last heard.
    :param in_contact: whether the answering node hears the platform or a relay,
        so that its answer may be relied on.
    """

    generation: int
    roles: list[Role]
    in_contact: bool = False


class Embedded(Message, tag="embedded"):
    """A typed message of another layer; the method called tells which."""

    body: msgspec.Raw


class Evidence(Message, tag="evidence"):
    """Counts of a running rollout, from one node or pooled by one relay.

    Counts are cumulative for the origin and the stage, so a report that is
    late, doubled or crossed adds nothing.

    :param origin: who counted, unique for each subscription.
    :param phase: the stage's phase that the calls were made under.
    :param braked: nodes that stopped sending to the new version by themselves.
    """

    origin: str
    service: str
    number: int
    phase: tuple[int, bool]
    items: list[samples.RouteCounts]
    braked: int = 0


class Packed(Message, tag="packed"):
    """Another message, encoded and compressed."""

    data: bytes


Any = (
    Packed
    | Hello
    | Welcome
    | Busy
    | Config
    | Want
    | Records
    | Report
    | Beat
    | Presence
    | Rejected
    | Candidate
    | Ask
    | Known
    | Embedded
    | Evidence
)

encoder = msgspec.msgpack.Encoder()
decoder = msgspec.msgpack.Decoder(Any)


@dataclasses.dataclass(slots=True, frozen=True)
class Frame:
    """A message that is encoded already, once for all streams.

    :param kind: the message's kind, for counters.
    """

    kind: str
    data: bytes


def encode(message: typing.Any) -> bytes:
    """Encode a message, compressed if it is large."""
    if isinstance(message, Frame):
        return message.data
    data = encoder.encode(message)
    if len(data) < PACK_BYTES:
        return data
    return encoder.encode(Packed(zlib.compress(data, PACK_LEVEL)))


def frame(message: Message) -> Frame:
    """Encode a message for all the streams that it goes to."""
    return Frame(kind_of(message), encode(message))


def kind_of(message: Message | Frame) -> str:
    """Return the kind's name, for counters."""
    if isinstance(message, Frame):
        return message.kind
    return type(message).__name__.lower()


def decode(data: bytes) -> typing.Any:
    """Decode one message; raise a coded failure if it can't be read."""
    try:
        message = decoder.decode(data)
        if isinstance(message, Packed):
            message = decoder.decode(unpack(message.data))
    except (msgspec.MsgspecError, RecursionError, zlib.error) as error:
        raise codes.Failure(codes.BAD_MESSAGE, str(error))
    return message


def unpack(data: bytes) -> bytes:
    """Decompress within the bound for messages."""
    unpacker = zlib.decompressobj()
    found = unpacker.decompress(data, MAX_MESSAGE_BYTES)
    if unpacker.unconsumed_tail:
        raise codes.Failure(codes.BAD_MESSAGE, f"over {MAX_MESSAGE_BYTES} bytes")
    return found
