"""How many requests a version on trial may still get. Needs no network.

What a version has had and what its service has had since the order are counted at the
exits. As long as the version is not accepted, each exit may send its upstream only as
many requests as it was permitted, and all permits together stay within a part of what
the service has had. So no fault of the version, and no loss of evidence, lets more
through. Counts of exits that are silent or were restarted are taken at what they were
permitted.
"""

import dataclasses

MAX_SHARE = 0.055  # of the service's requests since the order
SLACK = 20  # requests
# Part of what is left that one round of permits gives away. Exits may use up the
# permits of the round before while those of the next one are on their way.
ROUND_SHARE = 0.5


@dataclasses.dataclass(slots=True)
class ExitCount:
    """What one exit has sent to its upstream.

    :param process: identifies the exit's process and its upstream's incarnation.
    :param sent: requests that were sent, as of its last report.
    :param permitted: requests that it may have sent by the permits that it may hold.
    :param silent: whether it has not reported since the last permit.
    """

    process: str
    sent: int
    permitted: int = 0
    silent: bool = False

    def unseen(self) -> int:
        """Return the requests that it may have sent since its last report."""
        return max(self.permitted - self.sent, 0)


class Exposure:
    """Counts the requests of both versions, and divides what the new one may get.

    :param new: requests that the new version had before, as another node counted them.
    :param old: the same of the old version.
    """

    def __init__(self, new: int = 0, old: int = 0):
        self.new = new
        self.old = old
        # Requests that are already in ``new`` and will be reported again.
        self.counted_before = new
        self.new_exits: dict[str, ExitCount] = {}
        self.old_exits: dict[str, ExitCount] = {}

    def record_new(self, endpoint: str, process: str, sent: int) -> None:
        """Record how many requests an endpoint of the new version was sent."""
        known = self.new_exits.get(endpoint)
        if known is None:
            counted = min(sent, self.counted_before)
            self.counted_before -= counted
            self.new += sent - counted
        elif known.process == process:
            self.new += sent - known.sent
        else:
            # The process before may have used up its permits unseen.
            self.new += known.unseen() + sent
        permitted = known.permitted if known and known.process == process else 0
        self.new_exits[endpoint] = ExitCount(process, sent, permitted)

    def record_old(self, endpoint: str, process: str, sent: int) -> None:
        """Record how many requests an endpoint of the old version was sent.

        Its first report is where counting begins.
        """
        known = self.old_exits.get(endpoint)
        if known is not None:
            same = known.process == process
            self.old += sent - known.sent if same else sent
        self.old_exits[endpoint] = ExitCount(process, sent)

    def served(self) -> int:
        """Return the requests that the service has had since the order."""
        return self.new + self.old

    def permitted(self) -> int:
        """Return the requests that all exits together may have sent the new version."""
        return sum(max(item.permitted, item.sent) for item in self.new_exits.values())

    def outstanding(self) -> int:
        """Return the requests that silent exits may have sent unseen."""
        return sum(item.unseen() for item in self.new_exits.values() if item.silent)

    def remaining(self) -> int:
        """Return how many more requests the new version may get."""
        allowed = int(MAX_SHARE * self.served()) + SLACK
        return max(allowed - self.new - self.outstanding(), 0)

    def permit(self, endpoint: str, weight: float, remaining: int) -> int:
        """Return up to how many requests an exit may have sent its upstream.

        :param weight: the exit's part of what is given away; 1 for all exits together.
        :param remaining: what was left at the begin of this round.
        """
        known = self.new_exits.get(endpoint)
        if known is None:
            return 0
        permitted = known.sent + int(ROUND_SHARE * remaining * weight)
        # A silent exit may have got an earlier permit, and not this one.
        earlier = known.permitted if known.silent else 0
        known.permitted = max(permitted, earlier)
        known.silent = True
        return permitted
