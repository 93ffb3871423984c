"""Checks of the documented promises against the records of callers and upstreams.

Each check returns one text per violation.
"""

import asyncio
import collections
import dataclasses
import json
import time

import aiohttp

from rattanridge.platform import headers
from rattanridge.soak import callers, faults, processes

POLL_INTERVAL = 0.25  # seconds between polls of the nodes
DRAIN_BOUND = 2.0  # seconds after an acknowledged drain until no new run begins
TIME_TOLERANCE = 0.1  # seconds, for the times in journals
PLANNED_STOP = "node-stop"
NODE_FAULTS = ("node-kill", "node-stop", "node-pause", "node-reload")
NO_CONNECTION = aiohttp.ClientConnectorError.__name__
RECOVERY = 1.0  # seconds that a node needs after a fault
# Seconds before a planned stop: requests sent since then may still run at the stop.
ACCEPTED_BEFORE = 1.4
ACCEPTED_AFTER = 0.5  # seconds in which a stopping node still accepts requests


LIMIT_WINDOW = 4.0  # seconds in which the requests to a limited upstream count
LIMIT_FACTOR = 1.5  # of its limit that an upstream may get in a window
LIMIT_SLACK = 5  # requests that it may get beyond that
LIMIT_LEARNT = 0.5  # seconds until a node that passed on an answer keeps to it
PROCESS_FAULTS = ("node-kill", "node-stop", "node-pause")  # a node may forget


@dataclasses.dataclass(slots=True)
class Run:
    """A request that an upstream began to run, as its journal records it.

    :param endpoint: id of the upstream.
    :param attempt: attempt id of the request.
    :param key: idempotency key; empty if it has none.
    :param at: seconds since the epoch.
    """

    endpoint: str
    attempt: str
    key: str
    at: float


class GenerationMonitor:
    """Polls the generation that each node applies while the soak runs."""

    def __init__(self, cluster: processes.Cluster):
        self.cluster = cluster
        self.broken: list[str] = []
        self.versions: dict[tuple[str, int], int] = {}

    async def run(self) -> None:
        """Poll all nodes until cancelled."""
        while True:
            await asyncio.gather(
                *(self.check_host(host) for host in self.cluster.hosts)
            )
            await asyncio.sleep(POLL_INTERVAL)

    async def check_host(self, host: processes.Host) -> None:
        """Check that the generation of a node has not decreased since its start."""
        start_count = host.node.start_count
        state = await self.cluster.fetch_state(host)
        if state is None or host.node.start_count != start_count:
            return
        known = self.versions.get((host.name, start_count), 0)
        if state.version < known:
            self.broken.append(
                f"the generation of {host.name} fell from {known} to {state.version}"
            )
        self.versions[host.name, start_count] = state.version


@dataclasses.dataclass(slots=True)
class Journals:
    """What the upstreams recorded.

    :param farewells: by endpoint, when its node acknowledged that it is draining.
    :param limits: by endpoint, the times at which it changed its limit, and the limits.
    """

    runs: list[Run] = dataclasses.field(default_factory=list)
    farewells: dict[str, float] = dataclasses.field(default_factory=dict)
    limits: dict[str, list[tuple[float, str]]] = dataclasses.field(default_factory=dict)


def read_journals(cluster: processes.Cluster) -> Journals:
    """Return what all upstreams recorded."""
    journals = Journals()
    for host in cluster.hosts:
        if not host.journal.exists():
            continue
        for line in host.journal.read_text().splitlines():
            found = json.loads(line)
            endpoint, at = found["endpoint"], found["at"]
            if found["event"] == "run":
                run = Run(endpoint, found["attempt"], found["key"], at)
                journals.runs.append(run)
            elif found["event"] == "limit":
                changes = journals.limits.setdefault(endpoint, [])
                changes.append((at, found["limit"]))
            else:
                journals.farewells[endpoint] = at
    return journals


def check_all(
    cluster: processes.Cluster,
    attempts: list[callers.Attempt],
    windows: list[faults.Window],
) -> list[str]:
    """Return the violations of all promises but that of ``GenerationMonitor``."""
    journals = read_journals(cluster)
    runs = journals.runs
    loop = asyncio.get_running_loop()
    told = ToldNodes(runs, attempts, windows, time.time() - loop.time())
    return [
        *check_at_most_once(runs, attempts),
        *check_not_run(runs, attempts),
        *check_answers(attempts),
        *check_drained(runs, journals.farewells),
        *check_limits(runs, journals.limits, told),
        *check_told_of_leaving(runs, told),
        *check_planned_stops(attempts, windows),
        *check_answered(attempts, windows),
    ]


def check_at_most_once(runs: list[Run], attempts: list[callers.Attempt]) -> list[str]:
    """Check that each POST attempt and each idempotency key ran at most once."""
    unsafe = {item.id for item in attempts if item.method == "POST"}
    run_counts = collections.Counter(run.attempt for run in runs)
    keys = collections.Counter(run.key for run in runs if run.key)
    return [
        *(
            f"idempotency key {key} ran {count} times"
            for key, count in keys.items()
            if count > 1
        ),
        *(
            f"attempt {attempt} ran {count} times"
            for attempt, count in run_counts.items()
            if count > 1 and attempt in unsafe
        ),
    ]


def check_not_run(runs: list[Run], attempts: list[callers.Attempt]) -> list[str]:
    """Check that no attempt ran whose answer said that it did not run."""
    ran = {run.attempt for run in runs}
    return [
        f"attempt {item.id} was answered not-run ({item.code}) and ran"
        for item in attempts
        if item.ran == "not-run" and item.id in ran
    ]


def check_answers(attempts: list[callers.Attempt]) -> list[str]:
    """Check that each successful answer is complete and belongs to its request."""
    return [
        f"attempt {item.id} of {item.path} got the wrong answer {item.body[:80]!r}"
        for item in attempts
        if item.status == 200 and f" {item.path} {item.key}".encode() not in item.body
    ]


def check_drained(runs: list[Run], farewells: dict[str, float]) -> list[str]:
    """Check that an upstream runs nothing new ``DRAIN_BOUND`` after its farewell."""
    return [
        f"endpoint {run.endpoint} left and ran attempt {run.attempt} "
        f"{run.at - farewells[run.endpoint]} s after its farewell was acknowledged"
        for run in runs
        if run.endpoint in farewells
        and run.at > farewells[run.endpoint] + DRAIN_BOUND + TIME_TOLERANCE
    ]


class ToldNodes:
    """Which nodes had passed on what upstreams announced, and did not forget it since.

    :param clock_offset: seconds since the epoch at 0 of the event loop's clock.
    """

    def __init__(
        self,
        runs: list[Run],
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

    def was_told(self, run: Run, lead: float, tells) -> bool:
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
    runs: list[Run], limits: dict[str, list[tuple[float, str]]], told: ToldNodes
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


def check_told_of_leaving(runs: list[Run], told: ToldNodes) -> list[str]:
    """Check that nodes send nothing to an upstream whose leaving they passed on."""
    return [
        f"endpoint {run.endpoint} ran attempt {run.attempt} of a node that had passed "
        f"on more than {DRAIN_BOUND} s before that it leaves"
        for run in runs
        if told.was_told(run, DRAIN_BOUND + TIME_TOLERANCE, lambda item: item.leaving)
    ]


def check_planned_stops(
    attempts: list[callers.Attempt], windows: list[faults.Window]
) -> list[str]:
    """Check that a node that is stopped as planned answers the requests it accepted.

    It accepted nothing from a caller that could not connect.
    """
    stops = [item for item in windows if item.name == PLANNED_STOP]
    return [
        f"attempt {item.id} was cut ({item.error}) by the stop of {item.host}"
        for item in attempts
        for stop in stops
        if item.error not in ("", NO_CONNECTION)
        and item.host == stop.target
        and stop.started_at - ACCEPTED_BEFORE
        < item.at
        < stop.started_at + ACCEPTED_AFTER
    ]


def check_answered(
    attempts: list[callers.Attempt], windows: list[faults.Window]
) -> list[str]:
    """Check that a node without a fault answers within ``callers.ANSWER_TIMEOUT``."""
    return [
        f"attempt {item.id} of {item.path} got no answer from {item.host}"
        for item in attempts
        if item.error == TimeoutError.__name__
        and not any(
            window.name in NODE_FAULTS
            and window.target == item.host
            and window.started_at < item.at + callers.ANSWER_TIMEOUT
            and item.at < window.ended_at + RECOVERY
            for window in windows
        )
    ]
