"""A request on its way through the mesh, and the answer to it."""

import dataclasses

import multidict

from rattanridge.kernel import codes
from rattanridge.mesh.discovery import announcements
from rattanridge.platform import headers
from rattanridge.policies import cold_rate, load_shedding, placement
from rattanridge.web import headers as own_headers

Headers = list[tuple[str, str]]
# Statuses by which a caller concludes that its request did not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)


@dataclasses.dataclass(slots=True)
class Call:
    """One request.

    :param attempt: id of this attempt of the caller or upstream.
    :param headers: end-to-end headers, forwarded as they came.
    :param service: service that the request goes to.
    :param route: name of the route that matched.
    :param rank: rank by its account's and route's priority, or that of its parent if
        that is in progress; 0 is served first.
    :param from_upstream: whether an upstream sent it while running another request,
        its parent.
    :param nested: whether the parent is in progress and waits for the answer.
    :param is_retry: whether it was sent to an upstream before, or its parent is a
        retry.
    :param timely_until: monotonic time in seconds until which its answer is timely.
    :param deadline: monotonic time in seconds after which nobody waits for it.
    :param caller: service of the host at which the request began.
    :param version: version of the configuration at its entry.
    :param entry: address at which its entry accepts calls of other nodes.
    :param announcement: what its entry knows that the endpoint announced.
    :param zones: revision of the last change of an evacuation that its entry knows; 0
        if there was none.
    :param sent: whether any byte of it was sent to an upstream.
    :param account: name of the client account that it belongs to; empty for none.
        The configuration in force may no longer have it.
    """

    attempt: str
    method: str
    path: str
    headers: Headers
    body: bytes | bytearray
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
    from_upstream: bool = False
    is_retry: bool = False
    announcement: announcements.Announcement | None = None
    zones: int = 0
    sent: bool = False
    account: str = ""


@dataclasses.dataclass(slots=True)
class Answer:
    """The result of a call: the upstream's answer or a coded failure.

    :param ran: ``NOT_RUN`` only if it is proved that no work was done.
    :param code: reason why there is no answer of the upstream; None if there is one.
    :param reached_upstream: whether the call was sent to an upstream.
    :param node: node whose exit answered; empty if no exit was asked.
    :param queued: seconds that the call waited for a slot at the exit.
    :param upstream_time: seconds that the upstream took.
    :param retry_after: seconds after which trying again makes sense.
    :param load: load of the endpoint after the call.
    :param version: version of the configuration at the exit.
    :param known_at: monotonic seconds at which that version was known there to be the
        newest.
    :param refused_shares: how often the exit refuses new requests, by rank.
    :param announcement: what the endpoint announced in its answers.
    :param zones: revision of the last change of an evacuation that the exit knows.
    :param room: requests that the endpoint may get, if it is cold; None if it is not.
    """

    status: int
    headers: Headers
    body: bytes | bytearray
    ran: codes.Execution = codes.Execution.RAN
    code: codes.Code | None = None
    detail: str = ""
    reached_upstream: bool = False
    node: str = ""
    queued: float = 0.0
    upstream_time: float = 0.0
    retry_after: float = 0.0
    load: placement.Load | None = None
    version: int = 0
    known_at: float = float("-inf")
    refused_shares: load_shedding.Shares = dataclasses.field(default_factory=dict)
    announcement: announcements.Announcement | None = None
    room: cold_rate.Room | None = None
    zones: int = 0


def refusal(failure: codes.Failure, reached_upstream: bool = False) -> Answer:
    """Return the answer that reports a coded failure.

    A status that means "did not run" is replaced by 502 if the work may have run.
    """
    status = failure.code.status
    if failure.ran is not codes.Execution.NOT_RUN and status in NOT_RUN_STATUSES:
        status = 502
    return Answer(
        status,
        [],
        b"",
        ran=failure.ran,
        code=failure.code,
        detail=failure.detail,
        reached_upstream=reached_upstream,
        retry_after=failure.retry_after,
    )


# Headers that the mesh sets on each hop; values that a caller sent are dropped.
PER_HOP_HEADERS = frozenset(
    name.lower() for name in (headers.DEADLINE, headers.ENDPOINT, headers.CALLER)
)
# Headers that are dropped as well if there are client accounts: keys, which endpoints
# never receive, and the account's name, which only the mesh sets.
ACCOUNT_HEADERS = PER_HOP_HEADERS | frozenset(
    name.lower() for name in (headers.AUTHORIZATION, headers.ACCOUNT)
)


def forwardable(
    source: multidict.CIMultiDictProxy, dropped: frozenset[str] = PER_HOP_HEADERS
) -> Headers:
    """Return the headers to forward: neither hop-by-hop headers nor the mesh's own.

    :param dropped: further headers to drop, in lower case.
    """
    named = {
        item.strip().lower()
        for value in source.getall("Connection", ())
        for item in value.split(",")
    }
    return [
        (name, value)
        for name, value in source.items()
        if not own_headers.is_dropped(name)
        and name.lower() not in dropped
        and name.lower() not in named
    ]


def as_mapping(items: Headers) -> multidict.CIMultiDict:
    """Return headers as a mapping whose keys ignore case."""
    return multidict.CIMultiDict(items)
