"""Limits of what a peer may send in response to one request."""

from rattanridge.kernel import codes
from rattanridge.web import memory

MAX_BODY_BYTES = 33_554_432  # of all bodies that come during one request
# Bytes of heads, chunk framing and other responses, in addition to the bodies.
MAX_FRAMING_BYTES = 262_144
BODY_BYTES_PER_FRAMING_BYTE = 16  # each 16 bytes of a body allow one more of framing
STATUSES = range(100, 600)
MAX_UNMATCHED_RESPONSES = 64  # to other requests, or interim ones


class ReceivedBytes:
    """Counts the bytes that a peer sent in response to one request.

    A faulty peer may send endless bytes that belong to no response. The parser drops
    them, or keeps more than their size in memory, and reports neither.

    :param memory_budget: limits the bytes of bodies that the node holds in memory.
    """

    def __init__(self, memory_budget: memory.MemoryBudget):
        self.memory_budget = memory_budget
        self.reserved = 0
        self.size = 0
        self.unmatched_bytes = 0
        self.unmatched_responses = 0

    def add(self, size: int, bodies: int) -> None:
        """Count received bytes; raise a coded failure if a limit is exceeded.

        :param bodies: total bytes of all bodies received so far, without those of
            responses counted by ``add_unmatched``.
        """
        self.size += size
        bodies += self.unmatched_bytes
        framing = self.size - bodies
        if bodies > MAX_BODY_BYTES:
            raise response_failure(f"response has more than {MAX_BODY_BYTES} bytes")
        if framing > MAX_FRAMING_BYTES + bodies // BODY_BYTES_PER_FRAMING_BYTE:
            raise response_failure(
                f"{framing} bytes beside {bodies} bytes of bodies belong to no response"
            )
        if bodies > self.reserved:
            self.reserve(bodies - self.reserved)

    def add_unmatched(self, body: int) -> None:
        """Count a response that does not answer the request.

        :param body: bytes of its body.
        """
        self.unmatched_bytes += body
        self.unmatched_responses += 1
        if self.unmatched_responses > MAX_UNMATCHED_RESPONSES:
            raise response_failure(
                f"more than {MAX_UNMATCHED_RESPONSES} responses to other requests"
            )

    def reserve(self, size: int) -> None:
        total = self.reserved + size
        self.memory_budget.reserve(size, codes.Execution.UNKNOWN, total)
        self.reserved += size

    def release(self) -> None:
        """Free the memory that was reserved for the bodies."""
        self.memory_budget.free(self.reserved)
        self.reserved = 0


def check_status(status: int) -> None:
    """Raise ``upstream-failed`` for a status that HTTP does not define.

    The parser accepts any three digits.
    """
    if status not in STATUSES:
        raise response_failure(f"response has the invalid status {status:03}")


def response_failure(reason: str) -> codes.Failure:
    """Return the failure for a response that was not accepted."""
    return codes.Failure(codes.UPSTREAM_FAILED, reason, ran=codes.Execution.UNKNOWN)
