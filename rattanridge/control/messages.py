"""Typed messages between nodes, encoded as msgpack."""

import typing

import msgspec

from rattanridge.kernel import codes, snapshot

PROTOCOL = 1


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

    :param number: the rollout's id; a later rollout has a higher one.
    :param version: platform version of the object; grows with each step.
    :param old: name of the version that traffic leaves.
    :param new: name of the version that traffic goes to.
    :param share: fraction of calls that may go to ``new``.
    :param idempotent_only: whether only idempotent calls may go to ``new``.
    :param state: ``running``, ``done`` or ``taken-back``; the last is final.
    """

    service: str
    number: int
    version: int
    old: str
    new: str
    share: float
    idempotent_only: bool = False
    state: str = "running"

    @property
    def key(self) -> tuple[str, str]:
        return ("stage", self.service)

    @property
    def rank(self) -> tuple:
        return (self.number, self.state == "taken-back", self.version)


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
    """Heartbeat of a relay."""

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


Any = (
    Hello
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
)

encoder = msgspec.msgpack.Encoder()
decoder = msgspec.msgpack.Decoder(Any)


def encode(message: typing.Any) -> bytes:
    """Encode a message; one that is encoded already is returned as it is."""
    return message if type(message) is bytes else encoder.encode(message)


def decode(data: bytes) -> typing.Any:
    """Decode one message; raise a coded failure if it can't be read."""
    try:
        return decoder.decode(data)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise codes.Failure(codes.BAD_MESSAGE, str(error))
