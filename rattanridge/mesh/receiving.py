"""Bounds of what a peer may send in answer to one request."""

from rattanridge.kernel import codes
from rattanridge.web import memory

ANSWER_BYTES = 33_554_432  # of the largest answer that is taken
FRAMING_BYTES = 262_144  # of heads, chunk marks and other answers, beside the bodies
FRAMING_PART = 16  # a body of so many bytes allows one more byte of framing
STRAY_ANSWERS = 64  # answers to other requests, or of no final status


class Received:
    """Counts what came in answer to one request.

    A peer in trouble may send without end what is no answer, or no part of one. The
    parser drops such bytes, or keeps more than their size, and tells of neither.

    :param held: counts the bytes of bodies that the node holds.
    """

    def __init__(self, held: memory.MemoryBudget):
        self.held = held
        self.taken = 0
        self.size = 0
        self.skipped = 0
        self.strays = 0

    def add(self, size: int, bodies: int) -> None:
        """Count bytes that came; raise a coded failure if they are too many.

        :param bodies: bytes of all bodies that are not skipped yet, so far.
        """
        self.size += size
        bodies += self.skipped
        framing = self.size - bodies
        if bodies > ANSWER_BYTES:
            raise failed("answer too large")
        if framing > FRAMING_BYTES + bodies // FRAMING_PART:
            raise failed("bytes that are no answer")
        if bodies > memory.SMALL_BODY_BYTES:
            self.hold(bodies - self.taken)

    def skip(self, body: int) -> None:
        """Count an answer that is not the one to the request.

        :param body: bytes of its body.
        """
        self.skipped += body
        self.strays += 1
        if self.strays > STRAY_ANSWERS:
            raise failed("other answers without end")

    def hold(self, size: int) -> None:
        self.held.reserve(size, codes.Execution.UNKNOWN)
        self.taken += size

    def release(self) -> None:
        """Give back what the node held."""
        self.held.free(self.taken)
        self.taken = 0


def failed(why: str) -> codes.Failure:
    """Return the failure of an answer that is not taken."""
    return codes.Failure(codes.UPSTREAM_FAILED, why, ran=codes.Execution.UNKNOWN)
