"""Typed messages of the platform's object API, and the objects kept in it."""

import msgspec

MAX_VALUE_BYTES = 1_000_000


class Stored(msgspec.Struct):
    """One object as the platform returns it.

    :param key: name, parts split by slashes.
    :param version: revision of the store at the last write of this object.
    :param value: JSON value; ``None`` for a deleted object in a watch.
    :param write_id: id that the last writer gave.
    """

    key: str
    version: int
    value: msgspec.Raw = msgspec.Raw(b"null")
    write_id: str = ""


class Listing(msgspec.Struct):
    """Objects under some prefixes, and the store's revision at that time."""

    revision: int
    objects: list[Stored]


class Write(msgspec.Struct):
    """Body of a conditional write; ``if_version`` 0 means: create."""

    value: msgspec.Raw
    if_version: int
    write_id: str


class Choice(msgspec.Struct):
    """One choice of a preset.

    :param generation: grows by one with each choice.
    :param preset: name of the preset.
    :param revision: its revision.
    :param operator: who chose it.
    :param at: seconds since the epoch.
    """

    generation: int
    preset: str
    revision: int
    operator: str = ""
    at: float = 0.0


class InForce(Choice, omit_defaults=True):
    """The one pointer ``in-force``.

    :param past: the last choices before it, the oldest first; so that a writer
        whose answer was lost can tell a choice that was followed by another
        from one that never took effect.
    """

    past: list[Choice] = []


class LeaseValue(msgspec.Struct):
    """Content of ``leases/<role>``.

    :param holder: name of the node; empty after it gave the lease back.
    :param address: control address of the holder, ``host:port``.
    :param epoch: grows with each change of holder.
    :param term: seconds; others wait that long without a change.
    :param renewals: counts renewals, so that each one is a change.
    """

    holder: str
    address: str
    epoch: int
    term: float
    renewals: int = 0
