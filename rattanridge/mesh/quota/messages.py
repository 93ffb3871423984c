"""Messages between the nodes and the allocator of quotas, on the port for hops."""

import typing

import msgspec

from rattanridge.kernel import untrusted_json
from rattanridge.policies import quota

# Followed by a slash and the number of the partition.
REPORT_PATH = "/quota/report"
ANNOUNCEMENT_PATH = "/quota/allocator"
MAX_BYTES = 1_048_576

T = typing.TypeVar("T")


class Report(msgspec.Struct, array_like=True):
    """What one node reports: its active accounts, and the shares that it holds.

    :param incarnation: of the node's process.
    :param sequence: number of the report, counted by that process.
    :param term: highest term of an allocator that the node knows.
    :param version: version of the configuration at the node.
    :param address: at which the node accepts calls of other nodes.
    :param full: whether the entries tell all that the node holds.
    """

    node: str
    incarnation: int
    sequence: int
    term: int
    version: int
    address: str
    full: bool
    entries: list[quota.Entry]


class Response(msgspec.Struct, array_like=True):
    """The answer to a report.

    :param holder: whether the node that answers is the allocator.
    :param address: of the allocator, as far as the node knows; empty if it does not.
    :param version: version of the configuration at the node that answers.
    :param incarnation: highest incarnation of the reporting node that is known; the
        report is refused if that is not its own.
    :param wants_full: whether a full report is needed, as the node is not known yet.
    :param interval: seconds until the next full report is wanted.
    :param ended_turn: turn of the lease of this node if it has ended without a renewal;
        -1 if not. The node cannot grant again unless it writes a higher turn.
    """

    holder: bool
    term: int
    address: str
    version: int
    incarnation: int = 0
    wants_full: bool = False
    interval: float = quota.REPORT_INTERVAL
    grants: list[quota.Grant] = []
    ended_turn: int = -1


class Announcement(msgspec.Struct, array_like=True):
    """A new allocator asks all nodes to report to it what they hold."""

    term: int
    address: str


def encode(message: msgspec.Struct) -> bytes:
    """Return a message as MessagePack."""
    return msgspec.msgpack.encode(message)


def decode(data: bytes, kind: type[T]) -> T | None:
    """Return a decoded message; None if it is unreadable."""
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except untrusted_json.ERRORS:
        return None
