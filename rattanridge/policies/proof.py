"""Decides whether a new version has shown that it is good. Needs no network.

Nothing found against a version is no proof for it: it may have had too few requests, or
the old version may be in such trouble that no fault could be seen beside it. A version
is proven on a route if a bad one would hardly have served it as well: one that fails
or slows a part of the requests which the old version serves at the same time. Where the
old version serves none, its requests must be served well by themselves.
"""

from rattanridge.policies import evidence, evidence_history

# Probability that a bad version serves as well by chance; fewer requests than could
# show that must all be good.
PROOF_SIGNIFICANCE = 0.05
FEW_CALLS = 50  # requests; a service with few in a trial could hardly show more
FEW_CALLS_SIGNIFICANCE = 0.2
EXCUSE_SIGNIFICANCE = 0.02  # smaller, as it is looked at during the whole rollout
MIN_CALLS = 8  # requests on a route that are judged
# Of the requests that ended, the share that must have been answered, and in a time that
# counts; without them nothing speaks for the version.
MIN_ANSWERED_SHARE = 0.25
MIN_WINDOW_CALLS = 20  # requests on a route in the last window that are judged
MAX_BAD_ANSWERS = 40  # failed or slow answers
DECISION_TIME = 3.5  # seconds


def find_doubt(
    history: evidence_history.History, significance: float | None = None
) -> str:
    """Return on which route the new version is not proven, and why; empty if it is.

    :param significance: probability that a bad version serves as well by chance; None
        for the one that fits the number of requests.
    """
    for route, item in history.routes.items():
        doubt = find_route_doubt(item.compare(), MIN_CALLS, significance)
        if not doubt:
            recent = item.compare(history.at - evidence_history.WINDOWS[-1])
            doubt = find_route_doubt(recent, MIN_WINDOW_CALLS, significance)
        if doubt:
            return f"{doubt} on {route}"
    return ""


def find_route_doubt(
    compared: evidence_history.Comparison,
    least_calls: int,
    significance: float | None,
) -> str:
    """Return why the new version is not proven on one route; empty if it is.

    :param least_calls: requests; with fewer nothing is judged.
    :param significance: as for ``find_doubt``.
    """
    old = compared.old
    new = compared.new
    if new.ended() < least_calls:
        return ""
    if significance is None:
        few = new.ended() < FEW_CALLS
        significance = FEW_CALLS_SIGNIFICANCE if few else PROOF_SIGNIFICANCE
    if is_doubtful(new.errors, new.calls, old.error_share(), significance):
        share = old.error_share()
        return f"{new.errors} of {new.calls} failed, {share:.2f} of the old version's"
    slow, timed, old_share = count_slow(old, new)
    if min(new.calls, timed) < MIN_ANSWERED_SHARE * new.ended():
        return f"only {min(new.calls, timed)} of {new.ended()} tell a time"
    if is_doubtful(slow, timed, old_share, significance):
        return f"{slow} of {timed} slow, {old_share:.2f} of the old version's"
    return ""


def count_slow(old: evidence.Counts, new: evidence.Counts) -> tuple[int, int, float]:
    """Return the slow requests of the new version, of how many, and the old share.

    Where the old version has too few answers to compare with, an answer is slow if it
    came past the target latency of its route.
    """
    bad = evidence.thresholds(old)
    if not bad.seconds:
        timed_out = sum(new.timed_out.values())
        return new.late + timed_out, new.calls + timed_out, 0.0
    slow, timed = new.count_slow(bad)
    old_slow, old_timed = old.count_slow(bad)
    return slow, timed, old_slow / old_timed


def is_doubtful(found: int, calls: int, old_share: float, significance: float) -> bool:
    """Return whether a bad version may have had as few failed or slow requests.

    :param old_share: share of the old version's requests that failed or were slow.
    """
    bad_share = evidence.add_share(old_share, evidence.BAD_SHARE)
    chance = evidence.lower_tail(found, calls, bad_share)
    best = (1.0 - bad_share) ** calls
    return chance > max(significance, best)


class BadAnswers:
    """Bounds the bad answers of a version that nothing else has decided on.

    Failed and slow answers are counted since the version was last proven. With
    ``MAX_BAD_ANSWERS`` it has ``DECISION_TIME`` to prove itself; none if it had given
    so many before this coordinator took over.

    :param excused: bad answers that it had given when it was last proven.
    """

    def __init__(self, excused: int = 0) -> None:
        self.excused = excused
        # Bad answers that it gave while another coordinator watched it.
        self.earlier = 0
        self.limit_at: float | None = None

    def record_earlier(self, counts_by_route: evidence.CountsByRoute) -> None:
        """Record what an exit had counted before this coordinator took over."""
        for counts in counts_by_route.values():
            self.earlier += counts.errors + sum(counts.timed_out.values())

    def find_fault(self, history: evidence_history.History) -> str:
        """Return why the version must be rolled back now; empty if it need not be."""
        found = self.earlier + count_bad_answers(history)
        doubt = find_doubt(history, EXCUSE_SIGNIFICANCE)
        if not doubt and has_evidence(history):
            self.excused = found
        if found - self.excused < MAX_BAD_ANSWERS:
            self.limit_at = None
            return ""
        if self.limit_at is None:
            self.limit_at = history.at
        decision_time = DECISION_TIME
        if self.earlier - self.excused >= MAX_BAD_ANSWERS:
            decision_time = 0.0
        if history.at - self.limit_at < decision_time:
            return ""
        return f"not proven after {found} bad answers: {doubt or 'too few requests'}"


def has_evidence(history: evidence_history.History) -> bool:
    """Return whether the new version is judged on any route."""
    return any(item.last_new.ended() >= MIN_CALLS for item in history.routes.values())


def count_bad_answers(history: evidence_history.History) -> int:
    """Return the failed and the slow answers of the new version on all routes."""
    total = 0
    for item in history.routes.values():
        compared = item.compare()
        slow, _, _ = count_slow(compared.old, compared.new)
        total += compared.new.errors + slow
    return total
