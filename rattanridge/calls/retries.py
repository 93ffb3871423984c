"""Retries: which failed calls are sent again, and the counters of why."""

import asyncio

from rattanridge.calls import types
from rattanridge.kernel import codes, metrics, presets
from rattanridge.policies import retries as policies

ATTEMPTS_MOST = 3
RUNS_MOST = 2  # attempts of one call that may have reached an upstream
PLACEMENT_COST = 0.1  # of a retry's; a refused attempt made no upstream work
FINAL = (codes.DEADLINE, codes.QUARANTINED, codes.ANSWER_TOO_LARGE, codes.MEMORY_FULL)
RANKS = {codes.Ran.NOT_RUN: 0, codes.Ran.UNKNOWN: 1, codes.Ran.RAN: 2}


class Retries:
    """Decides whether a failed call is sent again.

    :param counters: counts retries and refused retries by reason.
    """

    def __init__(self, counters: metrics.Counters):
        self.counters = counters
        self.policies: dict[str, tuple[str, policies.Retry]] = {}

    def policy(self, service: str, wanted: presets.Service) -> policies.Retry:
        """Return the service's policy; another name in the preset makes a new one."""
        known = self.policies.get(service)
        if known is None or known[0] != wanted.retries:
            known = (wanted.retries, policies.RETRIES.get(wanted.retries)())
            self.policies[service] = known
        return known[1]

    def allowed(
        self,
        call: types.Call,
        answer: types.Answer,
        policy: policies.Retry,
        attempts: int,
        runs: int,
    ) -> bool:
        """Whether to send a call again: an idempotent one after any failure,
        another only if it is proved not to have run.

        :param attempts: how often the call was sent.
        :param runs: attempts that may have reached an upstream.
        """
        if succeeded(answer):
            policy.earn(call.route.retry_budget if call.route is not None else 0.0)
            return False
        if not retryable(call, answer):
            return False
        reason = self.refusal(call, answer, policy, attempts, runs)
        if reason:
            self.counters.add(f"retry.refused.{reason}")
            return False
        name = answer.code.name if answer.code is not None else "status"
        self.counters.add(f"retry.{name}")
        return True

    def refusal(
        self,
        call: types.Call,
        answer: types.Answer,
        policy: policies.Retry,
        attempts: int,
        runs: int,
    ) -> str:
        """Return why a retryable call is not sent again, or nothing.

        An attempt that did not run may be placed anew at each hop of a chain, for
        it caused no further calls; work is repeated by the first hop alone.
        """
        ran = answer.ran is not codes.Ran.NOT_RUN
        if attempts >= ATTEMPTS_MOST:
            return "attempts"
        if ran and call.retried:
            return "earlier-hop"
        if ran and runs >= RUNS_MOST:
            return "runs"
        if not policy.spend(1.0 if ran else PLACEMENT_COST):
            return codes.RETRY_BUDGET.name
        return ""


def succeeded(answer: types.Answer) -> bool:
    """Whether an answer is a success of the upstream."""
    return answer.code is None and answer.status < 500


def retryable(call: types.Call, answer: types.Answer) -> bool:
    """Whether the kind of failure allows a second sending at all."""
    if answer.code in FINAL:
        return False
    if answer.code is codes.TOO_LATE and not has_time(call):
        return False
    return call.idempotent or answer.ran is codes.Ran.NOT_RUN


def has_time(call: types.Call) -> bool:
    """Whether half of the route's time is left, so that a call that is too late
    for one endpoint may be in time at another."""
    if call.route is None:
        return False
    left = call.deadline - asyncio.get_running_loop().time()
    return left > call.route.timeout / 2


def merge(earlier: types.Answer | None, later: types.Answer) -> types.Answer:
    """Return the answer to a call of several attempts.

    An upstream's own answer goes before a refusal, and the outcome is the most
    that any of the attempts may have done.
    """
    if earlier is None:
        return later
    kept, dropped = later, earlier
    if earlier.code is None and later.code is not None:
        kept, dropped = earlier, later
    dropped.close()
    if RANKS[dropped.ran] > RANKS[kept.ran]:
        kept.ran = dropped.ran
    return kept
