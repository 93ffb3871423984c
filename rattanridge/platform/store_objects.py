"""Objects of the platform's metadata store, on the wire and decoded.

The store may return from an older copy of itself. It then begins a new era, in which it
gives out revisions again. The revisions of this program, beside those on the wire, grow
over all eras: they order what was read before a return and after it.
"""

import dataclasses
import typing

import msgspec

from rattanridge.kernel import codes, json_parts, untrusted_json

NULL = b"null"
ERA_REVISIONS = 2**40  # more revisions than the store gives out in one era


@dataclasses.dataclass(slots=True, frozen=True)
class StoredObject:
    """One object of the store.

    :param revision: of the object's last change, see ``make_revision``; 0 if the store
        gave none.
    :param spec: JSON set by the writer of the object.
    :param status: JSON that reports the system's progress on the spec.
    :param deleted: whether the object is deleted or marked for deletion.
    """

    name: str
    revision: int
    spec: bytes = NULL
    status: bytes = NULL
    deleted: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Listing:
    """All objects of a kind, or the changed ones, as of a revision of the store."""

    items: list[StoredObject]
    revision: int


class WireMetadata(json_parts.TolerantStruct, omit_defaults=True):
    """Name, revision and deletion mark of an object."""

    needed = frozenset({"revision", "marked"})

    name: str = msgspec.field(name="Name")
    revision: int = msgspec.field(name="Revision", default=0)
    marked: bool = msgspec.field(name="MarkedForDeletion", default=False)


class WireObject(msgspec.Struct, omit_defaults=True):
    """An object in wire format."""

    metadata: WireMetadata = msgspec.field(name="Metadata")
    spec: msgspec.Raw = msgspec.field(name="Spec", default=msgspec.Raw(NULL))
    status: msgspec.Raw = msgspec.field(name="Status", default=msgspec.Raw(NULL))


class WireEvent(msgspec.Struct):
    """One change in the answer to a watch."""

    object: msgspec.Raw = msgspec.field(name="Object")
    deleted: bool | None = msgspec.field(name="IsDeleted", default=False)


class WireListing(msgspec.Struct):
    """The answer to a list."""

    items: list[msgspec.Raw] | None = None
    more: bool | None = msgspec.field(name="HasMore", default=False)
    revision: int = msgspec.field(name="CurrentRev", default=0)


class WireChanges(msgspec.Struct):
    """The answer to a watch."""

    events: list[WireEvent] | None = None
    revision: int = msgspec.field(name="CurrentRev", default=0)


def make_revision(era: int, revision: int) -> int:
    """Return a revision that is higher than all of earlier eras.

    :param revision: as on the wire; 0 for none.
    """
    return era * ERA_REVISIONS + revision if revision else 0


def era_of(revision: int) -> int:
    """Return the era in which a revision was given out."""
    return revision // ERA_REVISIONS


def decode_object(
    data: bytes, deleted: bool = False, era: int = 0
) -> StoredObject | None:
    """Return a decoded object; None if its JSON or its name cannot be read.

    :param era: of the store when it sent the object.
    """
    wire = untrusted_json.decode_or_none(data, WireObject)
    if wire is None:
        return None
    return StoredObject(
        wire.metadata.name,
        make_revision(era, wire.metadata.revision),
        bytes(wire.spec),
        bytes(wire.status),
        deleted or wire.metadata.marked,
    )


def encode(name: str, revision: int, spec: bytes = NULL, status: bytes = NULL) -> bytes:
    """Return an object in wire format for a write; revision 0 sets no condition."""
    wire = WireObject(
        WireMetadata(name, revision), msgspec.Raw(spec), msgspec.Raw(status)
    )
    return msgspec.json.encode(wire)


def decode(data: bytes, target_type: type) -> typing.Any:
    """Decode an answer of the store; raise ``platform-refused`` if it is unreadable."""
    try:
        return untrusted_json.decode(data, target_type)
    except untrusted_json.ERRORS as error:
        raise codes.Failure(codes.PLATFORM_REFUSED, f"unreadable answer: {error}")
