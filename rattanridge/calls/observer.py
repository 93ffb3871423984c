"""What a call's outcome tells about the version that ran it."""

import asyncio

from rattanridge.calls import attempts as tries, types
from rattanridge.control import collector as collectors
from rattanridge.kernel import codes, settings
from rattanridge.policies import balancers

BREAK_PAUSE = 1.0  # seconds in which broken calls of one endpoint count once

# Outcomes that blame the upstream itself. A refusal, a full queue, a host that
# is gone or an upstream that sheds load tell nothing about its version.
FAULTS = frozenset(
    (
        codes.UPSTREAM_FAILED.number,
        codes.ANSWER_CUT.number,
        codes.ANSWER_UNFRAMED.number,
        codes.DEADLINE.number,
    )
)


class Observer:
    """Counts attempts of running rollouts.

    :param config: the node's settings.
    :param attempts: the attempts that are observed.
    :param collector: takes the counts.
    """

    def __init__(
        self,
        config: settings.NodeSettings,
        attempts: tries.Attempts,
        collector: collectors.Collector,
    ):
        self.config = config
        self.collector = collector
        self.broken: dict[str, float] = {}
        attempts.observers.append(self.observe)
        attempts.endpoints.versions.braked = collector.braked

    def observe(
        self,
        call: types.Call,
        chosen: balancers.Candidate,
        answer: types.Answer,
        seconds: float,
    ) -> None:
        """Count one attempt, unless it tells nothing about the version."""
        if call.service not in self.collector.running or call.route is None:
            return
        if answer.code is not None and answer.code.number not in FAULTS:
            return
        now = asyncio.get_running_loop().time()
        failed = answer.code is not None or answer.status >= 500
        if answer.code is codes.UPSTREAM_FAILED and self.broke_just_now(chosen, now):
            return
        self.collector.add(
            call.service,
            chosen.version,
            call.route.label(),
            not call.idempotent,
            failed,
            answer.spent if self.comparable(chosen, answer, now) else None,
        )

    def broke_just_now(self, chosen: balancers.Candidate, now: float) -> bool:
        """Whether the endpoint's calls broke already: one death counts once."""
        since = now - self.broken.get(chosen.name, float("-inf"))
        if since < BREAK_PAUSE:
            return True
        self.broken[chosen.name] = now
        return False

    def comparable(
        self, chosen: balancers.Candidate, answer: types.Answer, now: float
    ) -> bool:
        """Whether the upstream's time tells about the version.

        Not while the endpoint is cold or requests queue. The time is the one
        that the exit measured: on the way, a far zone looks like a slow version.
        """
        cold = now - chosen.since < self.config.rollouts.warmup
        return answer.spent > 0.0 and not cold and answer.load[1] <= 0
