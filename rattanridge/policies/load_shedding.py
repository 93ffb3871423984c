"""Keeps urgent work ahead of the calls of less urgent requests. Needs no network.

Calls made by requests in progress come first at an exit, as refusing one wastes the
work of its parent. Under overload they would take the slots that more urgent new
requests need. So the parents are refused before they start: an exit reports how often
it refuses new requests of each rank, and the exits whose requests call its service
refuse as many of their own less urgent ones.

Handles a service that is overloaded by urgent requests of callers and by calls of less
urgent requests to another service, and one that cannot serve the calls of requests
whatever their rank: their parents would be started in vain.
"""

import dataclasses
import random

HALF_LIFE = 1.0  # seconds in which the weight of a decision halves
MIN_DECISIONS = 3.0  # weighted decisions; fewer say nothing
REPORT_WEIGHT = 0.2  # of one report in the mean of a service
REPORT_HALF_LIFE = 1.0  # seconds in which a mean halves without reports
MIN_SHARE = 0.02  # smaller shares count as 0
MAX_ROUTES = 1000  # routes whose calls are remembered
MAX_SHARE = 0.6  # so that less urgent requests are not starved, and bring new reports

# Stands for nested calls in shares; it is more urgent than any rank.
NESTED = -1

Shares = dict[int, float]


@dataclasses.dataclass(slots=True)
class Decisions:
    """Decisions about requests of one rank; old ones lose their weight.

    :param offered: requests that arrived.
    :param refused: those that were refused.
    :param at: monotonic seconds of the last decision.
    """

    offered: float = 0.0
    refused: float = 0.0
    at: float = 0.0

    def decay(self, now: float) -> None:
        """Reduce the weight of earlier decisions."""
        factor = 0.5 ** ((now - self.at) / HALF_LIFE)
        self.offered *= factor
        self.refused *= factor
        self.at = now


class RefusedShares:
    """Share of the new requests that one exit refuses, by rank."""

    def __init__(self) -> None:
        self.decisions: dict[int, Decisions] = {}

    def record(self, rank: int, refused: bool, now: float) -> None:
        """Record the decision about one new request."""
        decisions = self.decisions.setdefault(rank, Decisions(at=now))
        decisions.decay(now)
        decisions.offered += 1.0
        decisions.refused += refused

    def shares(self, now: float) -> Shares:
        """Return the refused share of the requests of each rank or a more urgent one.

        That of nested calls counts apart. Shares that are too small to matter are left
        out.
        """
        found: Shares = {}
        offered = refused = 0.0
        for rank in sorted(self.decisions):
            decisions = self.decisions[rank]
            decisions.decay(now)
            if rank == NESTED:
                add_share(found, rank, decisions.offered, decisions.refused)
                continue
            offered += decisions.offered
            refused += decisions.refused
            add_share(found, rank, offered, refused)
        return found


def add_share(shares: Shares, rank: int, offered: float, refused: float) -> None:
    """Add a refused share unless it is too small to matter.

    :param offered: weighted number of requests.
    :param refused: weighted number of those that were refused.
    """
    if offered >= MIN_DECISIONS and refused >= MIN_SHARE * offered:
        shares[rank] = refused / offered


@dataclasses.dataclass(slots=True)
class Report:
    """Mean of the shares that the exits of a service reported.

    :param share: refused share of requests of one rank or a more urgent one.
    :param at: monotonic seconds of the last report.
    """

    share: float
    at: float

    def value(self, now: float) -> float:
        """Return the mean, which fades without reports."""
        return self.share * 0.5 ** ((now - self.at) / REPORT_HALF_LIFE)


class Dependencies:
    """Which services the requests of each route call, and whom those refuse."""

    def __init__(self, rng: random.Random | None = None) -> None:
        self.random = rng or random.Random()
        self.services: dict[str, set[str]] = {}
        self.reports: dict[str, dict[int, Report]] = {}

    def record_call(self, route: str, service: str) -> None:
        """Record that a request of a route called a service."""
        if len(self.services) >= MAX_ROUTES and route not in self.services:
            self.services.clear()
        self.services.setdefault(route, set()).add(service)

    def record_shares(self, service: str, shares: Shares, now: float) -> None:
        """Record the shares that one exit of a service reported."""
        reports = self.reports.setdefault(service, {})
        for rank in reports.keys() | shares.keys():
            report = reports.setdefault(rank, Report(0.0, now))
            before = report.value(now)
            report.share = before + REPORT_WEIGHT * (shares.get(rank, 0.0) - before)
            report.at = now

    def refused_share(self, route: str, rank: int, now: float) -> float:
        """Return the share of more urgent requests that a called service refuses.

        :param rank: rank of the requests of the route.
        """
        found = (
            report.value(now)
            for service in self.services.get(route, ())
            for other, report in self.reports.get(service, {}).items()
            if other < rank
        )
        share = max(found, default=0.0)
        return 0.0 if share < MIN_SHARE else min(share, MAX_SHARE)

    def should_refuse(self, route: str, rank: int, now: float) -> bool:
        """Decide whether a new request of a route is refused before it starts."""
        return self.random.random() < self.refused_share(route, rank, now)
