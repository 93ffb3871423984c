"""Typed claims: as the platform keeps them, and as nodes exchange them."""

import enum
import hashlib
import secrets

import msgspec

from rattanridge.calls import types
from rattanridge.control import messages
from rattanridge.kernel import codes

KEY_LENGTH = 16  # hexadecimal digits are twice the bytes
DIGEST_BYTES = 4
ATTEMPT_BYTES = 6


class State(enum.StrEnum):
    """What became of the attempt that holds a claim.

    ``RELEASED`` (proved not to have run) and ``CLOSED`` (ran, and a caller
    without a key has the whole answer) let another attempt take the claim.
    """

    RUNNING = "c"
    RELEASED = "r"
    CLOSED = "x"
    DONE = "d"
    UNKNOWN = "u"


FREE = (State.RELEASED, State.CLOSED)


class Claim(msgspec.Struct, array_like=True, frozen=True):
    """One claim.

    :param key: hash of service, method, path and idempotency key.
    :param digest: hash of query and body; another one is another request.
    :param attempt: random name of the sending that holds the claim.
    :param ends: wall-clock second of that sending's deadline.
    """

    key: str
    digest: str
    attempt: str
    ends: int
    state: State = State.RUNNING


class Segment(msgspec.Struct, array_like=True, frozen=True):
    """An immutable object with older claims of a slice.

    :param name: key of the object.
    :param ends: latest ``ends`` among its claims.
    :param size: bytes.
    :param version: the object's version.
    """

    name: str
    ends: int
    size: int
    version: int


class Head(msgspec.Struct):
    """The object ``claims/<slice>``: owner, newest claims, older segments.

    :param owner: name and incarnation of the owning process; empty if it
        handed the slice over.
    :param address: its control address.
    :param epoch: grows with each change of owner.
    :param slices: number of slices of the fleet.
    """

    owner: str = ""
    address: str = ""
    epoch: int = 0
    slices: int = 0
    claims: list[Claim] = []
    segments: list[Segment] = []


class Verdict(enum.StrEnum):
    """An owner's answer to a claim."""

    GRANTED = "granted"
    PENDING = "pending"  # the write is not finished yet: ask again
    RUNNING = "running"  # another attempt runs: ask again or give up
    RECORDED = "recorded"
    ACCEPTED = "accepted"  # ran or may have run, without a recorded answer
    CONFLICT = "conflict"
    FULL = "full"
    MOVED = "moved"
    UNAVAILABLE = "unavailable"  # not written; checked that nothing ran
    UNCHECKED = "unchecked"  # neither written nor read


class Ask(msgspec.Struct):
    """An entry asks for a claim.

    Asking again with the same attempt is harmless.

    :param wait: seconds that the owner may wait before it answers.
    :param closes: attempt whose answer this caller is known to have whole.
    :param unreachable: owner's address that the entry could not reach.
    :param slices: number of slices in the entry's settings.
    """

    slice: int
    claim: Claim
    wait: float
    closes: str = ""
    unreachable: str = ""
    slices: int = 0


class Recorded(msgspec.Struct):
    """An answer as an owner keeps it."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


class Reply(msgspec.Struct):
    """An owner's answer.

    :param ran: with ``ACCEPTED`` and ``CONFLICT``, what is known of the work.
    :param attempt: with ``RECORDED`` and ``ACCEPTED``, the sending that ran.
    :param address: with ``MOVED``, the owner's control address.
    """

    verdict: Verdict
    ran: codes.Ran = codes.Ran.UNKNOWN
    answer: Recorded | None = None
    attempt: str = ""
    address: str = ""


class Outcome(msgspec.Struct):
    """An entry tells what became of an attempt."""

    slice: int
    key: str
    attempt: str
    state: State
    answer: Recorded | None = None


def identify(call: types.Call, key: str) -> str:
    """Return a claim's key: scoped by service, method and path without query.

    The route's prefix is left out, so that a change of preset keeps it.
    """
    state = hashlib.blake2b(digest_size=KEY_LENGTH // 2)
    path = call.path.partition("?")[0]
    for part in (call.service, call.method, path, key):
        data = part.encode()
        state.update(len(data).to_bytes(4, "big") + data)
    return state.hexdigest()


def digest(call: types.Call) -> str:
    """Return the hash that tells two requests with one key apart."""
    state = hashlib.blake2b(digest_size=DIGEST_BYTES)
    query = call.path.partition("?")[2].encode()
    state.update(len(query).to_bytes(4, "big") + query)
    state.update(call.body)
    return state.hexdigest()


def new_attempt() -> str:
    """Return the random name of one sending of a request."""
    return secrets.token_hex(ATTEMPT_BYTES)


def slice_of(key: str, slices: int) -> int:
    """Return the number of the slice that holds a key."""
    return int(key, 16) % slices


def pack(message: msgspec.Struct) -> messages.Embedded:
    """Wrap a message so that control streams carry it."""
    return messages.Embedded(msgspec.Raw(msgspec.msgpack.encode(message)))


def unpack(message: messages.Embedded, kind: type) -> msgspec.Struct:
    """Decode an embedded message; raise a coded failure if it can't be read."""
    try:
        return msgspec.msgpack.decode(message.body, type=kind)
    except (msgspec.MsgspecError, AttributeError) as error:
        raise codes.Failure(codes.BAD_MESSAGE, str(error))
