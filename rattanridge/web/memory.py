"""Bound of the bytes that a node holds for requests and answers."""

from rattanridge.kernel import codes

SMALL_BODY_BYTES = 65_536  # bytes; smaller bodies are bounded by the connections


class MemoryBudget:
    """Counts the bytes of bodies that are held whole.

    :param limit: most bytes at once.
    """

    def __init__(self, limit: int):
        self.limit = limit
        self.used = 0

    def reserve(
        self, size: int, ran: codes.Execution = codes.Execution.NOT_RUN
    ) -> None:
        """Count more bytes; raise ``memory-full`` over the limit.

        :param ran: what is known of the work that the bytes belong to.
        """
        if self.used + size > self.limit:
            raise codes.Failure(codes.MEMORY_FULL, retry_after=1.0, ran=ran)
        self.used += size

    def free(self, size: int) -> None:
        """Give counted bytes back."""
        self.used -= size

    def free_body(self, body: bytes) -> None:
        """Give back the bytes of a request's body that was read whole."""
        if len(body) > SMALL_BODY_BYTES:
            self.used -= len(body)
