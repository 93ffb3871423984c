"""Bound of the bytes that a node holds for requests and answers."""

from rattanridge.kernel import codes

SMALL = 65_536  # bytes; smaller bodies are bounded by the connections


class Held:
    """Counts the bytes of bodies that are held whole.

    :param limit: most bytes at once.
    """

    def __init__(self, limit: int):
        self.limit = limit
        self.used = 0

    def take(self, size: int, ran: codes.Ran = codes.Ran.NOT_RUN) -> None:
        """Count more bytes; raise ``memory-full`` over the limit.

        :param ran: what is known of the work that the bytes belong to.
        """
        if self.used + size > self.limit:
            raise codes.Failure(codes.MEMORY_FULL, retry_after=1.0, ran=ran)
        self.used += size

    def give(self, size: int) -> None:
        """Give counted bytes back."""
        self.used -= size

    def release(self, body: bytes) -> None:
        """Give back the bytes of a request's body that was read whole."""
        if len(body) > SMALL:
            self.used -= len(body)


class Counted:
    """Counts one body while it comes in.

    :param held: counts for the node; ``None``: nothing is counted.
    """

    def __init__(self, held: Held | None):
        self.held = held
        self.size = 0

    def grow(self, size: int) -> None:
        """Count a body that has grown to a size; a small one is not counted."""
        if self.held is not None and size > SMALL:
            self.held.take(size - self.size)
            self.size = size

    def give(self) -> None:
        """Give the bytes back; the body is dropped."""
        if self.held is not None:
            self.held.give(self.size)
