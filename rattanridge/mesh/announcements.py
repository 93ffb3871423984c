"""What the local upstream announces in its answers: a limit on the rate of requests."""

import multidict

from rattanridge.mesh import events, upstream as upstreams
from rattanridge.platform import headers


class Announcements:
    """Reads the announcements in the upstream's answers.

    :param limit: requests per second that the upstream takes from all nodes; None if
        its last answer named no limit.
    """

    def __init__(
        self, upstream: upstreams.Upstream, log: events.Events, meters: events.Meters
    ):
        self.log = log
        self.meters = meters
        self.identity = upstream.identity
        self.limit: float | None = None
        meters.upstream_limit.set(float("inf"))

    def record_answer(
        self, fields: multidict.CIMultiDictProxy, identity: upstreams.Identity
    ) -> None:
        """Apply the announcements in an answer.

        :param fields: the answer's headers.
        :param identity: the upstream that gave it.
        """
        if identity != self.identity:
            self.identity = identity
            self.set_limit(None)
        self.record_limit(fields)

    def record_limit(self, fields: multidict.CIMultiDictProxy) -> None:
        """Apply the limit in an answer, or its absence.

        An unreadable limit changes nothing. Answers without a signature may not be the
        upstream's own, and end no limit.
        """
        values = fields.getall(headers.LIMIT, [])
        if not values:
            if headers.SIGNATURE in fields:
                self.set_limit(None)
            return
        limit = headers.parse_limit(values)
        if limit is None:
            self.meters.add("upstream-limit-unreadable")
            self.log.note("upstream-limit-unreadable", value=", ".join(values)[:100])
            return
        self.set_limit(limit)

    def set_limit(self, limit: float | None) -> None:
        """Set the limit in force and log a change."""
        before, self.limit = self.limit, limit
        if limit == before:
            return
        self.meters.upstream_limit.set(float("inf") if limit is None else limit)
        self.log.note(
            "upstream-limit",
            endpoint=self.identity.endpoint if self.identity else "-",
            limit="-" if limit is None else limit,
            before="-" if before is None else before,
        )
