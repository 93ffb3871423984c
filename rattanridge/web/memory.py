"""Limit on the memory that a node uses for requests and answers."""

import dataclasses
import typing

from rattanridge.kernel import codes

# One body or answer up to this size may use the whole limit, larger ones all but a
# part of it, so that a few large ones do not keep ordinary requests out.
SMALL_BODY_BYTES = 65_536
SMALL_SHARE = 8  # one part in this many of the limit is kept for small ones


class Owner(typing.Protocol):
    """A connection on whose behalf bytes are held."""

    def position(self) -> int | None:
        """Return a count of bytes that grows as the client sends or reads.

        None if the node does not wait for the client.
        """

    def drop(self, reason: str) -> None:
        """Abort the connection; the reason is the last part of a counter's name."""


@dataclasses.dataclass(slots=True, eq=False)
class Holder:
    """The bytes that are held on behalf of one connection.

    :param held: bytes held now.
    :param is_stalled: whether the client neither sends nor reads what it has to.
    :param last: position at the last check.
    :param moved_at: time of the check that last saw progress, in seconds.
    :param mark: position at the start of the interval of the progress rule.
    :param marked_at: start of that interval, in seconds; None before the first one.
    """

    budget: "MemoryBudget"
    owner: Owner
    held: int = 0
    is_closed: bool = False
    is_stalled: bool = False
    last: int = 0
    moved_at: float = 0.0
    mark: int = 0
    marked_at: float | None = None

    def reserve(self, size: int, total: int) -> None:
        """Reserve bytes; raise ``memory-full`` if the limit would be exceeded.

        :param total: bytes of the whole message so far, with these.
        """
        self.budget.reserve(size, total=total)
        self.record(size)

    def add(self, size: int) -> None:
        """Count bytes that are held already, even over the limit."""
        if size:
            self.budget.used += size
            self.record(size)

    def record(self, size: int) -> None:
        """Record counted bytes; a closed connection holds none."""
        if self.is_closed:
            self.budget.free(size)
            return
        self.is_stalled = False
        if not self.held:
            self.marked_at = None
            self.budget.add_holder(self)
        self.held += size

    def free(self, size: int) -> None:
        """Free bytes; those of a closed connection have been freed before."""
        size = min(size, self.held)
        if size:
            self.held -= size
            self.budget.free(size)
            if not self.held:
                self.budget.holders.discard(self)

    def close(self) -> None:
        """Free all bytes, as the connection is closed."""
        self.free(self.held)
        self.is_closed = True


class Watch(typing.Protocol):
    """Checks the progress of connections while any of them holds bytes."""

    def start(self) -> None: ...


class MemoryBudget:
    """Memory budget for requests and answers.

    :param limit: maximum number of bytes held at once.
    """

    def __init__(self, limit: int):
        self.limit = limit
        self.used = 0
        self.holders: set[Holder] = set()
        self.watch: Watch | None = None

    def reserve(
        self,
        size: int,
        ran: codes.Execution = codes.Execution.NOT_RUN,
        total: int = 0,
    ) -> None:
        """Reserve bytes; raise ``memory-full`` if the limit would be exceeded.

        Connections that have stalled are closed first, those that hold most before
        others.

        :param ran: whether the requested work was executed, for the failure.
        :param total: bytes of the whole message so far, with these.
        """
        limit = self.limit
        if total > SMALL_BODY_BYTES:
            limit -= limit // SMALL_SHARE
        while self.used + size > limit:
            stalled = [holder for holder in self.holders if holder.is_stalled]
            if not stalled:
                raise codes.Failure(codes.MEMORY_FULL, retry_after=1.0, ran=ran)
            self.drop(max(stalled, key=lambda holder: holder.held), "memory")
        self.used += size

    def drop(self, holder: Holder, reason: str) -> None:
        """Close the connection of a holder, and free its bytes."""
        holder.owner.drop(reason)
        holder.close()

    def free(self, size: int) -> None:
        """Free reserved bytes."""
        self.used -= size

    def add_holder(self, holder: Holder) -> None:
        """Add a connection that holds bytes from now on."""
        self.holders.add(holder)
        if self.watch is not None:
            self.watch.start()
