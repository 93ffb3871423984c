"""Remembers how long requests of each urgency wait at an endpoint. Needs no network.

Handles endpoints whose queues are full of less urgent requests: the wait of those says
nothing about an urgent one, and an endpoint without a report would look better to it.
"""

from rattanridge.policies import demand, tickets

REPORT_TTL = 2.0  # seconds after which a reported wait is ignored


class ReportedWaits:
    """The waits that an exit reported lately, by urgency; see ``demand``."""

    def __init__(self) -> None:
        self.waits: dict[int, tuple[float, float]] = {}

    def record(self, urgency: int, wait: float, now: float) -> None:
        """Record the seconds that a further request of an urgency would wait."""
        self.waits[urgency] = (wait, now)

    def is_mixed(self, now: float) -> bool:
        """Return whether new requests of several ranks were answered lately.

        Beside nested calls alone, an exit reports the wait at the end of its queue.
        """
        if len(self.waits) < 2:
            return False
        recent = [
            urgency
            for urgency, (_, at) in self.waits.items()
            if urgency > tickets.NESTED and now - at < demand.MEMORY
        ]
        return len(recent) > 1

    def wait_of(self, urgency: int, now: float) -> float:
        """Return the seconds that a request would wait at least.

        That is the reported wait of its urgency, or of more urgent requests if there is
        none.
        """
        known = {
            other: wait
            for other, (wait, at) in self.waits.items()
            if other <= urgency and now - at < REPORT_TTL
        }
        return known.get(urgency, max(known.values(), default=0.0))
