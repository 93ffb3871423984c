"""Checks of the documented promises against the records of callers and upstreams.

Each check returns one text per violation.
"""

import asyncio
import collections
import time

import aiohttp

from rattanridge.soak import (
    announced,
    callers,
    faults,
    journals,
    key_promises,
    processes,
    schedule,
)

POLL_INTERVAL = 0.25  # seconds between polls of the nodes
NODE_FAULTS = ("node-kill", schedule.STOP, "node-pause", "node-reload")
NO_CONNECTION = aiohttp.ClientConnectorError.__name__
RECOVERY = 1.0  # seconds that a node needs after a fault
# Seconds before a planned stop: requests sent since then may still run at the stop.
ACCEPTED_BEFORE = 1.4
ACCEPTED_AFTER = 0.5  # seconds in which a stopping node still accepts requests


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


def check_all(
    cluster: processes.Cluster,
    attempts: list[callers.Attempt],
    windows: list[faults.Window],
) -> list[str]:
    """Return the violations of all promises but that of ``GenerationMonitor``."""
    found = journals.read(cluster)
    runs = found.runs
    loop = asyncio.get_running_loop()
    told = announced.ToldNodes(runs, attempts, windows, time.time() - loop.time())
    return [
        *check_at_most_once(runs, attempts),
        *check_not_run(runs, attempts),
        *check_answers(attempts),
        *check_drained(runs, found.farewells),
        *announced.check_limits(runs, found.limits, told),
        *announced.check_leaving(runs, told),
        *check_planned_stops(runs, attempts, windows),
        *check_answered(attempts, windows),
        *key_promises.check_all(runs, attempts),
    ]


def check_at_most_once(
    runs: list[journals.Run], attempts: list[callers.Attempt]
) -> list[str]:
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


def check_not_run(
    runs: list[journals.Run], attempts: list[callers.Attempt]
) -> list[str]:
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


def check_drained(runs: list[journals.Run], farewells: dict[str, float]) -> list[str]:
    """Check that an upstream runs nothing new ``LATEST_RUN`` after its farewell."""
    return [
        f"endpoint {run.endpoint} left and ran attempt {run.attempt} "
        f"{run.at - farewells[run.endpoint]} s after its farewell was acknowledged"
        for run in runs
        if run.endpoint in farewells
        and run.at > farewells[run.endpoint] + announced.LATEST_RUN
    ]


def check_planned_stops(
    runs: list[journals.Run],
    attempts: list[callers.Attempt],
    windows: list[faults.Window],
) -> list[str]:
    """Check that a node that is stopped as planned answers the requests it accepted.

    It accepted nothing from a caller that could not connect. It accepted all that an
    upstream ran, until it has ended; what else it still accepts is over soon.
    """
    stops = [item for item in windows if item.name == schedule.STOP]
    ran = {run.attempt for run in runs}
    return [
        f"attempt {item.id} was cut ({item.error}) by the stop of {item.host} "
        f"{item.at - stop.started_at:.2f} s after its begin"
        for item in attempts
        for stop in stops
        if item.error not in ("", NO_CONNECTION)
        and item.host == stop.target
        and stop.started_at - ACCEPTED_BEFORE < item.at
        and item.at < (stop.ended_at if item.id in ran else accepted_until(stop))
    ]


def accepted_until(stop: faults.Window) -> float:
    """Return until when a node that is stopped accepts what upstreams may refuse."""
    return stop.started_at + ACCEPTED_AFTER


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
