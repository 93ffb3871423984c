"""Checks that nodes keep to what upstreams announced in answers that they passed on."""

import collections.abc

from rattanridge.platform import headers
from rattanridge.soak import callers, faults, journals

DRAIN_BOUND = 2.0  # seconds after a leaving is known until no new run begins
LATEST_RUN = DRAIN_BOUND + journals.TIME_TOLERANCE  # the same, by times in journals
LIMIT_WINDOW = 4.0  # seconds in which the requests to a limited upstream count
LIMIT_FACTOR = 1.5  # of its limit that an upstream may get in a window
LIMIT_SLACK = 5  # requests that it may get beyond that
LIMIT_LEARNT = 0.5  # seconds until a node that passed on an answer keeps to it
PROCESS_FAULTS = ("node-kill", "node-stop", "node-pause")  # a node may forget


class ToldNodes:
    """Which nodes had passed on what upstreams announced, and did not forget it since.

    :param clock_offset: seconds since the epoch at 0 of the event loop's clock.
    """

    def __init__(
        self,
        runs: list[journals.Run],
        attempts: list[callers.Attempt],
        windows: list[faults.Window],
        clock_offset: float,
    ):
        self.attempts = {item.id: item for item in attempts}
        self.restarts = [
            (item.target, item.started_at + clock_offset, item.ended_at + clock_offset)
            for item in windows
            if item.name in PROCESS_FAULTS
        ]
        self.answers: dict[tuple[str, str], list[callers.Attempt]] = {}
        for run in runs:
            answered = self.attempts.get(run.attempt)
            if answered is not None and answered.answered_at:
                key = (answered.host, run.endpoint)
                self.answers.setdefault(key, []).append(answered)

    def was_told(
        self,
        run: journals.Run,
        lead: float,
        tells: collections.abc.Callable[[callers.Attempt], bool],
    ) -> bool:
        """Return whether the node of a request had been told before it.

        :param lead: seconds for which it must have known it.
        :param tells: returns whether an answer of the endpoint tells it.
        """
        attempt = self.attempts.get(run.attempt)
        if attempt is None:
            return False
        return any(
            tells(item)
            and item.answered_at + lead < run.at
            and not self.may_have_forgotten(attempt.host, item.answered_at, run.at)
            for item in self.answers.get((attempt.host, run.endpoint), ())
        )

    def may_have_forgotten(self, host: str, since: float, until: float) -> bool:
        """Return whether the node's process was disturbed between two times."""
        return any(
            host == target and started_at < until and ended_at > since
            for target, started_at, ended_at in self.restarts
        )


def check_limits(
    runs: list[journals.Run],
    limits: dict[str, list[tuple[float, str]]],
    told: ToldNodes,
) -> list[str]:
    """Check that upstreams get no more than their limits from nodes that were told."""
    broken = []
    for endpoint, changes in limits.items():
        ends = [at for at, _ in changes[1:]] + [float("inf")]
        for (since, text), until in zip(changes, ends, strict=True):
            limit = headers.parse_limit([text])
            if limit is None:
                continue
            counted = sorted(
                run.at
                for run in runs
                if run.endpoint == endpoint
                and since < run.at < until
                and told.was_told(run, LIMIT_LEARNT, lambda item: bool(item.limit))
            )
            most = most_in_window(counted, LIMIT_WINDOW)
            allowed = LIMIT_FACTOR * limit * LIMIT_WINDOW + LIMIT_SLACK
            if most > allowed:
                broken.append(
                    f"endpoint {endpoint} named a limit of {text} and got {most} "
                    f"requests in {LIMIT_WINDOW} s; {allowed} allowed"
                )
    return broken


def most_in_window(times: list[float], seconds: float) -> int:
    """Return the most of some sorted times that lie in any window."""
    most = first = 0
    for last, at in enumerate(times):
        while at - times[first] >= seconds:
            first += 1
        most = max(most, last - first + 1)
    return most


def check_leaving(runs: list[journals.Run], told: ToldNodes) -> list[str]:
    """Check that nodes send nothing to an upstream whose leaving they passed on."""
    return [
        f"endpoint {run.endpoint} ran attempt {run.attempt} of a node that had passed "
        f"on more than {DRAIN_BOUND} s before that it leaves"
        for run in runs
        if told.was_told(run, LATEST_RUN, lambda item: item.leaving)
    ]
