"""Records in the store: each node writes its own, only when it changes."""

import msgspec

from rattanridge.kernel import untrusted_json
from rattanridge.policies import quarantine

KIND = "nodes"
READY = "ready"


class Record(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a node publishes about itself and the local upstream.

    :param hop: address for calls from other nodes.
    :param endpoint: id of the upstream; empty while it is unknown.
    :param incarnation: start of the upstream, in milliseconds since the epoch.
    :param state: ``ready`` if the upstream accepts requests through this node, else
        the reason why it does not.
    :param suspects: requests that may have crashed the upstream.
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
    """Decode a record; raise ``bad-field`` if it is invalid."""
    return untrusted_json.decode_or_fail(data, Record, "node record")


def encode(record: Record) -> bytes:
    """Return a record as the store holds it."""
    return msgspec.json.encode(record)
