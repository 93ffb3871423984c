"""What upstreams announce in their answers: a limit on their rate, and that they leave.

The exit reads it, as all requests to an upstream pass it, and passes it on to the
entries, which choose among upstreams by it and tell it to an exit that was restarted.
"""

import collections.abc
import dataclasses

import multidict

from rattanridge.mesh import events, upstream as upstreams
from rattanridge.platform import headers

LimitListener = collections.abc.Callable[[float | None], None]


@dataclasses.dataclass(slots=True, frozen=True)
class Announcement:
    """What one incarnation of an upstream announced last.

    :param limit: requests per second that it takes from all nodes; None if unlimited.
    :param leaving: whether it is about to leave, which is final.
    """

    identity: upstreams.Identity
    limit: float | None = None
    leaving: bool = False


class Announcements:
    """Reads the announcements in the local upstream's answers.

    :param apply_limit: called with each change of the limit.
    """

    def __init__(
        self,
        upstream: upstreams.Upstream,
        apply_limit: LimitListener,
        log: events.Events,
        meters: events.Meters,
    ):
        self.upstream = upstream
        self.apply_limit = apply_limit
        self.log = log
        self.meters = meters
        self.identity = upstream.identity
        self.limit: float | None = None
        # Whether this incarnation has answered to this process.
        self.answered = False
        meters.upstream_limit.set(float("inf"))
        upstream.listeners.append(self.forget_earlier)

    def current(self) -> Announcement | None:
        """Return the announcements in force; None if there are none."""
        upstream = self.upstream
        leaving = upstream.state in (upstreams.State.DRAINING, upstreams.State.GONE)
        if upstream.identity is None or (self.limit is None and not leaving):
            return None
        return Announcement(upstream.identity, self.limit, leaving)

    def forget_earlier(self) -> None:
        """Forget what an earlier incarnation announced."""
        if self.upstream.identity != self.identity:
            self.identity = self.upstream.identity
            self.answered = False
            self.set_limit(None, "another incarnation")

    def record_answer(
        self, fields: multidict.CIMultiDictProxy, identity: upstreams.Identity
    ) -> None:
        """Apply the announcements in an answer.

        :param fields: the answer's headers.
        :param identity: the upstream that gave it; another one than the present one
            announces nothing.
        """
        if identity != self.identity:
            return
        self.record_limit(fields)
        # That it is cold no more is said by heartbeats and health checks only: an
        # answer may have been begun before it became cold.
        cold = headers.parse_cold(fields.get(headers.COLD))
        if cold:
            self.upstream.record_cold(cold)
        leaving = fields.getall(headers.LEAVING, [])
        if headers.LEAVING_VALUE in leaving:
            self.upstream.record_leaving(identity)

    def record_limit(self, fields: multidict.CIMultiDictProxy) -> None:
        """Apply the limit in an answer, or its absence.

        An unreadable limit changes nothing. Answers without a signature may not be the
        upstream's own, and end no limit.
        """
        values = fields.getall(headers.LIMIT, [])
        limit = headers.parse_limit(values)
        if limit is not None:
            self.answered = True
            self.set_limit(limit, "answer")
        elif values:
            self.meters.add("upstream-limit-unreadable")
            self.log.note("upstream-limit-unreadable", value=", ".join(values)[:100])
        elif headers.SIGNATURE in fields:
            self.answered = True
            self.set_limit(None, "answer")

    def apply_known(self, known: Announcement | None) -> None:
        """Apply the limit that an entry knows, until the upstream has answered.

        An exit that was restarted has forgotten it, and would send requests beyond it
        until the first answer.
        """
        if known is None or self.answered or known.identity != self.identity:
            return
        self.set_limit(known.limit, "entry")

    def set_limit(self, limit: float | None, source: str) -> None:
        """Set the limit in force; apply and log a change.

        :param source: what it was learnt from.
        """
        before, self.limit = self.limit, limit
        if limit == before:
            return
        self.meters.upstream_limit.set(float("inf") if limit is None else limit)
        self.log.note(
            "upstream-limit",
            endpoint=self.identity.endpoint if self.identity else "-",
            limit="-" if limit is None else limit,
            before="-" if before is None else before,
            source=source,
        )
        self.apply_limit(limit)
