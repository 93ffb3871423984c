"""The claim of a request with an idempotency key, as the store holds it."""

import enum

import msgspec

from rattanridge.kernel import hashing, untrusted_json
from rattanridge.mesh import calls
from rattanridge.web import headers

HASH_BYTES = 16
MAX_RECORDED_BYTES = 256_000  # of an answer's body; larger ones are not recorded


class State(enum.StrEnum):
    """State of the submission that holds a claim."""

    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"


class RecordedAnswer(msgspec.Struct):
    """The answer that is returned to repeated submissions."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


class Claim(msgspec.Struct):
    """A claim as the store holds it.

    :param digest: hash of the request. Another request with the key is a conflict.
    :param sending: random id of the submission that holds the claim.
    :param ends: seconds since the epoch until which that submission may still run.
    :param answer: its answer, if one was recorded.
    """

    digest: str
    sending: str
    ends: float
    state: State = State.RUNNING
    answer: RecordedAnswer | None = None


def claim_name(call: calls.Call, key: str) -> str:
    """Return the name of a request's claim.

    The query is not part of it, but of the digest: the key with another query is a
    conflict. The account is part of it: accounts that choose the same key by chance
    must not get each other's answers.
    """
    path = call.path.partition("?")[0]
    account = (call.account,) if call.account else ()
    return hash_texts(call.service, call.method, path, key, *account)


def digest(call: calls.Call) -> str:
    """Return the hash of what all submissions of a request have in common."""
    path = call.path.encode(errors="surrogateescape")
    return hashing.hash_parts(path, call.body, size=HASH_BYTES)


def hash_texts(*texts: str) -> str:
    """Return one hash of several texts, which depends on their boundaries."""
    parts = (text.encode(errors="surrogateescape") for text in texts)
    return hashing.hash_parts(*parts, size=HASH_BYTES)


def encode(claim: Claim) -> bytes:
    """Return a claim as the store holds it."""
    return msgspec.json.encode(claim)


def decode(data: bytes) -> Claim | None:
    """Decode a claim; None if it is unreadable."""
    return untrusted_json.decode_or_none(data, Claim)


def record(answer: calls.Answer) -> RecordedAnswer | None:
    """Return an answer to record; None if it is too large, or a refusal."""
    if answer.code is not None or len(answer.body) > MAX_RECORDED_BYTES:
        return None
    kept = [(str(name), str(value)) for name, value in answer.headers]
    return RecordedAnswer(answer.status, kept, bytes(answer.body))


def replay(recorded: RecordedAnswer) -> calls.Answer:
    """Return a recorded answer, with the header that marks it as recorded."""
    kept = [*recorded.headers, (headers.RECORDED, "1")]
    return calls.Answer(recorded.status, kept, recorded.body)
