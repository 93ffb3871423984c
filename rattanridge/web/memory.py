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
