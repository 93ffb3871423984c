"""Calls and answers as they pass between entry and exit."""

import dataclasses

import multidict

from rattanridge.kernel import codes, presets


@dataclasses.dataclass(slots=True)
class Call:
    """One request on its way.

    :param path: path and query as they came.
    :param deadline: monotonic seconds by which the caller is answered.
    :param retried: whether some hop of the chain retries already.
    :param caller: the caller's IP number.
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


@dataclasses.dataclass(slots=True)
class Answer:
    """One whole answer, or a refusal.

    :param code: set when the system itself answers instead of the upstream.
    :param ran: what is known of the work.
    :param load: running and queued requests at the exit.
    :param spent: seconds that the upstream took; 0 if it gave no answer.
    """

    status: int
    headers: multidict.CIMultiDict
    body: bytes
    ran: codes.Ran
    code: codes.Code | None = None
    load: tuple[int, int] = (0, 0)
    spent: float = 0.0


def refuse(failure: codes.Failure) -> Answer:
    """Return the answer that tells a coded failure."""
    headers = multidict.CIMultiDict({"Content-Type": "text/plain; charset=utf-8"})
    if failure.retry_after:
        headers["Retry-After"] = str(max(1, round(failure.retry_after)))
    text = f"{failure.format()} ({failure.ran.value})\n"
    return Answer(
        failure.code.status, headers, text.encode(), failure.ran, failure.code
    )
