"""Records in the store: one for each node, written by itself, only on a change."""

import msgspec

from rattanridge.kernel import codes
from rattanridge.policies import quarantine

KIND = "nodes"
READY = "ready"


class Record(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a node tells the others of itself and of the upstream beside it.

    :param hop: address for calls from other nodes.
    :param endpoint: id of the upstream; empty while none is known.
    :param incarnation: milliseconds since the epoch of the upstream's start.
    :param state: ``ready`` if the upstream takes requests here, else why not.
    :param suspects: requests of which the upstream seems to have died.
    """

    hop: str
    zone: str
    service: str
    endpoint: str
    incarnation: int
    version: str
    slots: int
    state: str
    suspects: tuple[quarantine.Suspect, ...] = ()


def decode(data: bytes) -> Record:
    """Decode a record; raise ``bad-field`` if it names no usable endpoint."""
    try:
        return msgspec.json.decode(data, type=Record)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        raise codes.Failure(codes.BAD_FIELD, str(error), where="node record")


def encode(record: Record) -> bytes:
    """Return a record as the store keeps it."""
    return msgspec.json.encode(record)
