"""Limit on the memory that a node uses for bodies of requests and answers."""

from rattanridge.kernel import codes

# Bodies up to this size are not counted; the connection limit bounds them.
SMALL_BODY_BYTES = 65_536


class MemoryBudget:
    """Memory budget for bodies that are held whole.

    :param limit: maximum number of bytes held at once.
    """

    def __init__(self, limit: int):
        self.limit = limit
        self.used = 0

    def reserve(
        self, size: int, ran: codes.Execution = codes.Execution.NOT_RUN
    ) -> None:
        """Reserve bytes; raise ``memory-full`` if the limit would be exceeded.

        :param ran: whether the requested work was executed, for the failure.
        """
        if self.used + size > self.limit:
            raise codes.Failure(codes.MEMORY_FULL, retry_after=1.0, ran=ran)
        self.used += size

    def free(self, size: int) -> None:
        """Free reserved bytes."""
        self.used -= size

    def free_body(self, body: bytes) -> None:
        """Free the bytes that ``read_body`` reserved for a body."""
        if len(body) > SMALL_BODY_BYTES:
            self.used -= len(body)
