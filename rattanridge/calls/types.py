"""Calls and answers as they pass between entry and exit."""

import abc
import dataclasses

import multidict

from rattanridge.kernel import codes, presets, settings


@dataclasses.dataclass(slots=True)
class Call:
    """One request on its way.

    :param path: path and query as they came, byte for byte.
    :param deadline: monotonic seconds by which the answer is wanted.
    :param retried: whether a hop before this one retries.
    :param caller: the caller's IP number.
    :param stream: whether a large answer may be passed on in parts.
    """

    method: str
    path: str
    headers: multidict.CIMultiDict
    body: bytes
    service: str
    idempotent: bool
    priority: str
    deadline: float
    retried: bool = False
    caller: str = ""
    route: presets.Route | None = None
    stream: bool = False

    @property
    def leaves_retries(self) -> bool:
        """Whether the calls that this one causes are not sent again by their
        entries, for this one is sent again as a whole.

        A call that is not idempotent is only ever sent again if it did not run,
        and caused no calls; what it causes may be retried there.
        """
        return self.retried or self.idempotent

    def wait_end(self, limits: settings.Limits) -> float:
        """Return the monotonic seconds at which to give up waiting for an answer.

        Work that must not repeat is waited for beyond its deadline, so that its
        outcome is known.
        """
        return self.deadline if self.idempotent else self.deadline + limits.late


class Rest(abc.ABC):
    """The part of an answer's body that has not been read yet."""

    @abc.abstractmethod
    async def read(self) -> bytes:
        """Return the next part, empty at the end; raise a coded failure if the
        answer ends too early or after its deadline."""

    @abc.abstractmethod
    def close(self) -> None:
        """Give back what the answer holds; break the connection if it is cut."""


@dataclasses.dataclass(slots=True)
class Answer:
    """One whole answer, or the beginning of a large one, or a refusal.

    :param body: all of the body, or its beginning if there is a ``rest``.
    :param code: set when the system itself answers instead of the upstream.
    :param ran: what is known of the work.
    :param load: running and queued requests at the exit.
    :param spent: seconds that the upstream took; 0 if it gave no answer.
    :param marks: all headers of the answer as they came.
    """

    status: int
    headers: multidict.CIMultiDict
    body: bytes
    ran: codes.Ran
    code: codes.Code | None = None
    load: tuple[int, int] = (0, 0)
    spent: float = 0.0
    rest: Rest | None = None
    marks: multidict.CIMultiDictProxy | None = None

    def close(self) -> None:
        """Drop an answer that nobody is going to read."""
        if self.rest is not None:
            self.rest.close()


def refuse(failure: codes.Failure) -> Answer:
    """Return the answer that tells a coded failure."""
    headers = multidict.CIMultiDict({"Content-Type": "text/plain; charset=utf-8"})
    if failure.retry_after:
        headers["Retry-After"] = str(max(1, round(failure.retry_after)))
    text = f"{failure.format()} ({failure.ran.value})\n"
    return Answer(
        failure.code.status, headers, text.encode(), failure.ran, failure.code
    )
