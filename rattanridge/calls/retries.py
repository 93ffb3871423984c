"""Retries: a budget for each service, at most one hop of a chain retries."""

from rattanridge.calls import types
from rattanridge.kernel import codes, metrics

TOKENS_MOST = 10.0
TOKENS_FIRST = 3.0
ATTEMPTS_MOST = 3


class Retries:
    """Decides whether a failed call is sent again.

    :param counters: counts retries and refused retries by reason.
    """

    def __init__(self, counters: metrics.Counters):
        self.counters = counters
        self.tokens: dict[str, float] = {}

    def allowed(self, call: types.Call, answer: types.Answer) -> bool:
        """Whether to send a call again; an idempotent one on any failure, any
        other only if it is proved not to have run."""
        if answer.code is None and answer.status < 500:
            self.earn(call)
            return False
        if call.retried or not retryable(call, answer):
            return False
        reason = answer.code.name if answer.code is not None else "status"
        tokens = self.tokens.get(call.service, TOKENS_FIRST)
        if tokens < 1.0:
            self.counters.add("retry.refused.retry-budget")
            return False
        self.tokens[call.service] = tokens - 1.0
        self.counters.add(f"retry.{reason}")
        return True

    def earn(self, call: types.Call) -> None:
        """Add the fraction of a token that one success earns."""
        gain = call.route.retry_budget if call.route is not None else 0.0
        tokens = self.tokens.get(call.service, TOKENS_FIRST)
        self.tokens[call.service] = min(tokens + gain, TOKENS_MOST)


def retryable(call: types.Call, answer: types.Answer) -> bool:
    """Whether the kind of failure allows a second sending at all."""
    if answer.code in (codes.DEADLINE, codes.TOO_LATE, codes.QUARANTINED):
        return False
    return call.idempotent or answer.ran is codes.Ran.NOT_RUN
