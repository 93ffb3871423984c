"""One claim of a request with an idempotency key, as the store keeps it."""

import enum

import msgspec

from rattanridge.kernel import hashing, untrusted_json
from rattanridge.mesh import calls
from rattanridge.web import headers

HASH_BYTES = 16
ANSWER_MOST = 256_000  # bytes of a body that is recorded


class State(enum.StrEnum):
    """What became of the sending that holds a claim."""

    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"


class Recorded(msgspec.Struct):
    """An answer that repeats get."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


class Claim(msgspec.Struct):
    """One claim as the store keeps it.

    :param digest: hash of the request; another one with the key is a conflict.
    :param sending: random name of the sending that holds it.
    :param ends: seconds since the epoch until which that one may still run.
    """

    digest: str
    sending: str
    ends: float
    state: State = State.RUNNING
    answer: Recorded | None = None


def identify(call: calls.Call, key: str) -> str:
    """Return the name of a request's claim."""
    path = call.path.partition("?")[0]
    return hash_texts(call.service, call.method, path, key)


def digest(call: calls.Call) -> str:
    """Return the hash of what a repeat must have in common."""
    path = call.path.encode(errors="surrogateescape")
    return hashing.hash_parts(path, call.body, size=HASH_BYTES)


def hash_texts(*texts: str) -> str:
    """Return one hash over texts, whose borders count."""
    parts = (text.encode(errors="surrogateescape") for text in texts)
    return hashing.hash_parts(*parts, size=HASH_BYTES)


def encode(claim: Claim) -> bytes:
    """Return a claim as the store keeps it."""
    return msgspec.json.encode(claim)


def decode(data: bytes) -> Claim | None:
    """Decode a claim; None if it is unreadable."""
    return untrusted_json.decode_or_none(data, Claim)


def record(answer: calls.Answer) -> Recorded | None:
    """Return an answer for the record, unless it is too large or none."""
    if answer.code is not None or len(answer.body) > ANSWER_MOST:
        return None
    kept = [(str(name), str(value)) for name, value in answer.headers]
    return Recorded(answer.status, kept, answer.body)


def replay(recorded: Recorded) -> calls.Answer:
    """Return a recorded answer, marked as such."""
    kept = [*recorded.headers, (headers.RECORDED, "1")]
    return calls.Answer(recorded.status, kept, recorded.body)
