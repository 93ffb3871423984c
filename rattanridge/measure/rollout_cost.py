"""What evidence costs: bytes and processor time of one report and one look."""

import random
import time

from rattanridge.control import collector, messages, pool, replica
from rattanridge.kernel import clock, metrics, settings

SERVICE = "workshop"
ROUTES = 4
NODES = 70  # nodes of one relay at 830 nodes and twelve relays
SECONDS = 5  # of virtual time
CALLS = 20  # calls of one node in a second, over all routes
MICROSECONDS = 1e6


def measure_cost(seed: int) -> dict[str, float]:
    """Return the size of a report and the time to make, take and judge it."""
    rng = random.Random(seed)
    config = settings.NodeSettings(
        name="one", zone="a", platform=["http://127.0.0.1:1"], key="not-used-here"
    )
    stage = messages.Stage(SERVICE, 1, 1, "v1", "v2", 0.1, 0.1)
    state = replica.Replica(config, metrics.Counters())
    manual = clock.ManualClock()
    pooled = pool.Pool(config, state, state.counters, manual)
    pooled.start()
    state.table.merge(stage)
    nodes = [make_node(config, manual, stage) for _ in range(NODES)]
    spent = {"add": 0.0, "report": 0.0, "take": 0.0, "judge": 0.0, "brake": 0.0}
    size = 0
    for _ in range(SECONDS):
        manual.now += 1.0
        for number, node in enumerate(nodes):
            spent["add"] += timed(lambda node=node: add_calls(node, rng))
            spent["brake"] += timed(node.judge)
            began = time.perf_counter()
            data = [messages.encode(item) for item in node.reports(f"node-{number}/1")]
            spent["report"] += time.perf_counter() - began
            size += sum(map(len, data))
            spent["take"] += timed(lambda data=data: take_all(pooled, data))
        spent["judge"] += timed(pooled.judge)
    reports = NODES * SECONDS
    return {
        "evidence_bytes": round(size / reports),
        "observe_call_us": per(spent["add"], reports * CALLS),
        "brake_look_us": per(spent["brake"], reports),
        "make_report_us": per(spent["report"], reports),
        "take_report_us": per(spent["take"], reports),
        "judge_look_us": per(spent["judge"], SECONDS),
    }


def make_node(
    config: settings.NodeSettings, manual: clock.Clock, stage: messages.Stage
) -> collector.Collector:
    """Return one node's collector under a running rollout."""
    state = replica.Replica(config, metrics.Counters())
    made = collector.Collector(config, state, state.counters, manual)
    state.table.merge(stage)
    return made


def add_calls(node: collector.Collector, rng: random.Random) -> None:
    """Let a node count calls of both versions on all routes."""
    for number in range(CALLS):
        version = "v2" if rng.random() < 0.1 else "v1"
        route = f"GET */workshop/{number % ROUTES}"
        node.add(SERVICE, version, route, False, False, rng.lognormvariate(-4.0, 0.5))


def take_all(pooled: pool.Pool, data: list[bytes]) -> None:
    """Let a relay decode and pool reports."""
    for item in data:
        pooled.take(messages.decode(item), direct=True)


def timed(act) -> float:
    """Return the seconds that a call takes."""
    began = time.perf_counter()
    act()
    return time.perf_counter() - began


def per(seconds: float, count: int) -> float:
    """Return microseconds for each of a number of acts."""
    return round(seconds / count * MICROSECONDS, 2)
