"""What the upstreams of a soak recorded in their journals."""

import dataclasses
import json

from rattanridge.soak import processes

TIME_TOLERANCE = 0.1  # seconds, for the times in journals


@dataclasses.dataclass(slots=True)
class Run:
    """A request that an upstream began to run, as its journal records it.

    :param endpoint: id of the upstream.
    :param attempt: attempt id of the request.
    :param key: idempotency key; empty if it has none.
    :param at: seconds since the epoch.
    :param account: name of the client account that it received; empty if none.
    :param authorization: what it received of the caller's key; empty if nothing.
    """

    endpoint: str
    attempt: str
    key: str
    at: float
    account: str = ""
    authorization: str = ""


@dataclasses.dataclass(slots=True)
class Journals:
    """What the upstreams recorded.

    :param farewells: by endpoint, when its node acknowledged that it is draining.
    :param limits: by endpoint, the times at which it changed its limit, and the limits.
    """

    runs: list[Run] = dataclasses.field(default_factory=list)
    farewells: dict[str, float] = dataclasses.field(default_factory=dict)
    limits: dict[str, list[tuple[float, str]]] = dataclasses.field(default_factory=dict)


def read(cluster: processes.Cluster) -> Journals:
    """Return what all upstreams recorded."""
    journals = Journals()
    for host in cluster.hosts:
        if not host.journal.exists():
            continue
        for line in host.journal.read_text().splitlines():
            found = json.loads(line)
            endpoint, at = found["endpoint"], found["at"]
            if found["event"] == "run":
                run = Run(
                    endpoint,
                    found["attempt"],
                    found["key"],
                    at,
                    found["account"],
                    found["authorization"],
                )
                journals.runs.append(run)
            elif found["event"] == "limit":
                changes = journals.limits.setdefault(endpoint, [])
                changes.append((at, found["limit"]))
            else:
                journals.farewells[endpoint] = at
    return journals
