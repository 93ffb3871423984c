"""Recorded answers of finished attempts, in bounded memory."""

import collections

from rattanridge.calls import claimed

SHARE_MOST = 16  # one answer may take this part of the memory
OVERHEAD_BYTES = 200  # of one answer without its body


class Answers:
    """Keeps the newest answers.

    :param limit: bytes of all answers together.
    """

    def __init__(self, limit: int):
        self.limit = limit
        self.size = 0
        self.kept: collections.OrderedDict[str, claimed.Recorded] = (
            collections.OrderedDict()
        )

    def put(self, attempt: str, answer: claimed.Recorded) -> bool:
        """Keep an answer and forget the oldest; return whether it is kept."""
        size = size_of(answer)
        if size > self.limit // SHARE_MOST:
            return False
        self.drop(attempt)
        self.kept[attempt] = answer
        self.size += size
        while self.size > self.limit:
            self.drop(next(iter(self.kept)))
        return True

    def get(self, attempt: str) -> claimed.Recorded | None:
        return self.kept.get(attempt)

    def drop(self, attempt: str) -> None:
        old = self.kept.pop(attempt, None)
        if old is not None:
            self.size -= size_of(old)


def size_of(answer: claimed.Recorded) -> int:
    """Return the bytes that a recorded answer takes."""
    headers = sum(len(name) + len(value) for name, value in answer.headers)
    return len(answer.body) + headers + OVERHEAD_BYTES
