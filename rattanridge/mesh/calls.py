"""One request on its way through the mesh, and its answer."""

import dataclasses

import multidict

from rattanridge.kernel import codes
from rattanridge.platform import headers
from rattanridge.policies import placement
from rattanridge.web import headers as own_headers

Headers = list[tuple[str, str]]
PROMISES = (408, 421, 429, 503)  # statuses that tell a caller: it did not run


@dataclasses.dataclass(slots=True)
class Call:
    """One request.

    :param attempt: id of this sending of the request.
    :param headers: those that travel on.
    :param service: service that it goes to.
    :param route: name of its route.
    :param rank: its route's priority; 0 comes first.
    :param inner: whether an upstream makes it for a request that it runs.
    :param nested: whether that request is in progress, and waits for it.
    :param repeated: whether it was sent to an upstream before, or is made by a
        request that was.
    :param timely_until: monotonic seconds until which its answer is timely.
    :param deadline: monotonic seconds after which nobody waits for it.
    :param caller: service of the host where it began.
    :param version: version of the configuration at its entry.
    :param entry: address at which its entry takes calls of other nodes.
    :param sent: whether any byte of it was sent to an upstream.
    """

    attempt: str
    method: str
    path: str
    headers: Headers
    body: bytes
    service: str
    route: str
    idempotent: bool
    rank: int
    nested: bool
    timely_until: float
    deadline: float
    caller: str
    version: int = 0
    entry: str = ""
    inner: bool = False
    repeated: bool = False
    sent: bool = False


@dataclasses.dataclass(slots=True)
class Answer:
    """What became of a call.

    :param ran: ``NOT_RUN`` only if it is proved.
    :param code: why there is no answer of the upstream; None if there is one.
    :param arrived: whether the call reached an upstream.
    :param node: node whose exit answered; empty if none was asked.
    :param queued: seconds that the call waited for a slot there.
    :param spent: seconds that the upstream took.
    :param load: load of the endpoint after the call.
    :param version: version of the configuration at the exit.
    """

    status: int
    headers: Headers
    body: bytes
    ran: codes.Execution = codes.Execution.RAN
    code: codes.Code | None = None
    detail: str = ""
    arrived: bool = False
    node: str = ""
    queued: float = 0.0
    spent: float = 0.0
    retry_after: float = 0.0
    load: placement.Load | None = None
    version: int = 0


def refusal(failure: codes.Failure, arrived: bool = False) -> Answer:
    """Return the answer that tells a coded failure."""
    status = failure.code.status
    if failure.ran is not codes.Execution.NOT_RUN and status in PROMISES:
        status = 502
    return Answer(
        status,
        [],
        b"",
        ran=failure.ran,
        code=failure.code,
        detail=failure.detail,
        arrived=arrived,
        retry_after=failure.retry_after,
    )


# Set by the system on each hop, whatever a caller sent.
OWN = frozenset(
    name.lower() for name in (headers.DEADLINE, headers.ENDPOINT, headers.CALLER)
)


def forwardable(source: multidict.CIMultiDictProxy) -> Headers:
    """Return the headers that travel on: neither of one connection nor our own."""
    named = {
        item.strip().lower()
        for value in source.getall("Connection", ())
        for item in value.split(",")
    }
    return [
        (name, value)
        for name, value in source.items()
        if not own_headers.is_dropped(name)
        and name.lower() not in OWN
        and name.lower() not in named
    ]


def as_mapping(found: Headers) -> multidict.CIMultiDict:
    """Return headers by name, whatever its case."""
    return multidict.CIMultiDict(found)
