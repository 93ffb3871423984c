"""The promises of our pages, checked from what callers and upstreams saw."""

import asyncio
import collections
import dataclasses
import json

import aiohttp

from rattanridge.soak import callers, faults, parts

LOOK_INTERVAL = 0.25  # seconds between looks at the nodes
DRAIN_BOUND = 2.0  # seconds after an acknowledged farewell without new requests
ROUNDING = 0.1  # seconds
PLANNED_STOP = "node-stop"
HITS_NODES = ("node-kill", "node-stop", "node-pause", "node-reload")
NO_CONNECTION = aiohttp.ClientConnectorError.__name__
SETTLING = 1.0  # seconds after a fault of a node
TAKEN_BEFORE = 1.4  # seconds before a planned stop: requests of then may still run
TAKEN_AFTER = 0.5  # seconds after it in which requests are still taken


@dataclasses.dataclass(slots=True)
class Run:
    """A request that an upstream began to run.

    :param at: seconds since the epoch.
    """

    endpoint: str
    attempt: str
    key: str
    at: float


class Watcher:
    """Looks at the nodes while the soak runs."""

    def __init__(self, world: parts.World):
        self.world = world
        self.broken: list[str] = []
        self.versions: dict[tuple[str, int], int] = {}

    async def run(self) -> None:
        """Look until cancelled."""
        while True:
            await asyncio.gather(*(self.look(host) for host in self.world.hosts))
            await asyncio.sleep(LOOK_INTERVAL)

    async def look(self, host: parts.Host) -> None:
        """Check that a node's generation never falls in one life of its process."""
        life = host.node.lives
        state = await self.world.state(host)
        if state is None or host.node.lives != life:
            return
        known = self.versions.get((host.name, life), 0)
        if state.version < known:
            self.broken.append(f"{host.name} fell from {known} to {state.version}")
        self.versions[host.name, life] = state.version


def read_journals(world: parts.World) -> tuple[list[Run], dict[str, float]]:
    """Return all runs, and by endpoint the time of its acknowledged farewell."""
    runs: list[Run] = []
    farewells: dict[str, float] = {}
    for host in world.hosts:
        if not host.journal.exists():
            continue
        for line in host.journal.read_text().splitlines():
            found = json.loads(line)
            endpoint, at = found["endpoint"], found["at"]
            if found["event"] == "run":
                runs.append(Run(endpoint, found["attempt"], found["key"], at))
            else:
                farewells[endpoint] = at
    return runs, farewells


def check(
    world: parts.World, sent: list[callers.Sent], windows: list[faults.Window]
) -> list[str]:
    """Return what was broken."""
    runs, farewells = read_journals(world)
    return [
        *check_once(runs, sent),
        *check_refusals(runs, sent),
        *check_answers(sent),
        *check_leaving(runs, farewells),
        *check_planned_stops(sent, windows),
        *check_timely(sent, windows),
    ]


def check_once(runs: list[Run], sent: list[callers.Sent]) -> list[str]:
    """Work that must not repeat runs at most once: each sending, and each key."""
    unsafe = {item.attempt for item in sent if item.method == "POST"}
    attempts = collections.Counter(run.attempt for run in runs)
    keys = collections.Counter(run.key for run in runs if run.key)
    return [
        *(f"{key} ran {count} times" for key, count in keys.items() if count > 1),
        *(
            f"sending {attempt} ran {count} times"
            for attempt, count in attempts.items()
            if count > 1 and attempt in unsafe
        ),
    ]


def check_refusals(runs: list[Run], sent: list[callers.Sent]) -> list[str]:
    """What is told not to have run has not, and never will."""
    ran = {run.attempt for run in runs}
    return [
        f"sending {item.attempt} was told not-run ({item.code}) and ran"
        for item in sent
        if item.ran == "not-run" and item.attempt in ran
    ]


def check_answers(sent: list[callers.Sent]) -> list[str]:
    """A success is whole and the request's own."""
    return [
        f"sending {item.attempt} of {item.path} got {item.body[:80]!r}"
        for item in sent
        if item.status == 200 and f" {item.path} {item.key}".encode() not in item.body
    ]


def check_leaving(runs: list[Run], farewells: dict[str, float]) -> list[str]:
    """A leaving upstream gets nothing new soon after its farewell was heard."""
    return [
        f"{run.endpoint} left and ran {run.attempt} {run.at - farewells[run.endpoint]}"
        for run in runs
        if run.endpoint in farewells
        and run.at > farewells[run.endpoint] + DRAIN_BOUND + ROUNDING
    ]


def check_planned_stops(
    sent: list[callers.Sent], windows: list[faults.Window]
) -> list[str]:
    """A node that is stopped as planned answers what it has taken.

    It has taken nothing from a caller that got no connection.
    """
    stops = [item for item in windows if item.name == PLANNED_STOP]
    return [
        f"sending {item.attempt} was cut ({item.cut}) by the stop of {item.host}"
        for item in sent
        for stop in stops
        if item.cut not in ("", NO_CONNECTION)
        and item.host == stop.key
        and stop.began - TAKEN_BEFORE < item.at < stop.began + TAKEN_AFTER
    ]


def check_timely(sent: list[callers.Sent], windows: list[faults.Window]) -> list[str]:
    """A node that no fault hits answers long after the deadline at the latest."""
    return [
        f"sending {item.attempt} {item.path} got no answer of {item.host}"
        for item in sent
        if item.cut == TimeoutError.__name__
        and not any(
            hit.name in HITS_NODES
            and hit.key == item.host
            and hit.began < item.at + callers.LIMIT
            and item.at < hit.ended + SETTLING
            for hit in windows
        )
    ]
