"""A node's own counts of running rollouts, and its brake."""

import dataclasses

from rattanridge.control import messages, replica, rollouts
from rattanridge.kernel import clock, log, metrics, settings
from rattanridge.policies import samples, verdicts

VERDICT = "mixture"

Counted = dict[str, samples.RouteCounts]


@dataclasses.dataclass(slots=True)
class Count:
    """A node's own counts of one rollout.

    :param counts: cumulative counts of the phase in force, by route.
    :param judged: what the node's own verdict has seen of them.
    :param told: what was reported, by any sink.
    :param base: what earlier sinks were told; not told again.
    :param braked: the stage's version at which the node stopped sending to the
        new one; only a later write of the platform lets it send again.
    """

    stage: messages.Stage
    verdict: verdicts.Verdict
    counts: Counted = dataclasses.field(default_factory=dict)
    judged: Counted = dataclasses.field(default_factory=dict)
    told: Counted = dataclasses.field(default_factory=dict)
    base: Counted = dataclasses.field(default_factory=dict)
    braked: int = -1

    def change(self, stage: messages.Stage, now: float) -> None:
        """Follow a new stage; counts of another share are not mixed with it."""
        if stage.phase != self.stage.phase:
            for group in (self.counts, self.judged, self.told, self.base):
                group.clear()
            self.verdict.turn(now)
        self.stage = stage

    def changed(self) -> bool:
        """Whether there is more to report than was told."""
        told = sum(item.total for item in self.told.values())
        return self.held_back() or told < sum(i.total for i in self.counts.values())

    def held_back(self) -> bool:
        return self.braked == self.stage.version


class Collector:
    """Counts one node's calls of running rollouts, and brakes.

    :param config: the node's settings.
    :param state: the node's replica.
    :param counters: counts what ends and brakes.
    """

    def __init__(
        self,
        config: settings.NodeSettings,
        state: replica.Replica,
        counters: metrics.Counters,
        time: clock.Clock | None = None,
    ):
        self.config = config
        self.counters = counters
        self.time = time or clock.Clock()
        self.log = log.Log("rollout", config.name)
        self.running: dict[str, Count] = {}
        state.table.listeners.append(self.see)

    def see(self, record: messages.Record) -> None:
        """Follow a service's stage."""
        if not isinstance(record, messages.Stage):
            return
        known = self.running.get(record.service)
        if record.state != rollouts.RUNNING:
            if self.running.pop(record.service, None) is not None:
                self.end(record)
            return
        if known is None or known.stage.number != record.number:
            verdict = verdicts.VERDICTS.get(VERDICT)()
            self.running[record.service] = Count(record, verdict)
            return
        known.change(record, self.time.monotonic())

    def end(self, stage: messages.Stage) -> None:
        self.counters.add(f"rollout.{stage.state}")
        self.log.info(
            "rollout-ended",
            service=stage.service,
            number=stage.number,
            state=stage.state,
            version=stage.new,
            why=stage.reason or "-",
        )

    def add(
        self,
        service: str,
        version: str,
        route: str,
        once: bool,
        failed: bool,
        seconds: float | None,
    ) -> None:
        """Count one attempt; ``None`` seconds are not compared."""
        count = self.running.get(service)
        if count is None:
            return
        item = count.counts.get(route)
        if item is None:
            item = count.counts[route] = samples.RouteCounts(route, once)
        if version == count.stage.new:
            item.new.note(failed, seconds)
        elif version == count.stage.old:
            item.old.note(failed, seconds)

    def braked(self, service: str) -> bool:
        """Whether this node sends no calls to the new version for now."""
        count = self.running.get(service)
        return count is not None and count.held_back()

    def judge(self) -> None:
        """Judge the node's own counts; stop sending to a version that fails here."""
        now = self.time.monotonic()
        for service, count in self.running.items():
            for item in news(count.counts, count.judged):
                count.verdict.observe(item, now)
            finding = count.verdict.judge(now)
            if finding is None or count.held_back():
                continue
            count.braked = count.stage.version
            self.counters.add("rollout.braked")
            self.log.warn("rollout-braked", service=service, why=str(finding))

    def begin_session(self) -> None:
        """Report only what no earlier sink was told: counts must not be doubled."""
        for count in self.running.values():
            count.base = {route: item.copy() for route, item in count.told.items()}

    def reports(self, origin: str) -> list[messages.Evidence]:
        """Return what changed, cumulative for the session, by rollout."""
        found = []
        for service, count in self.running.items():
            if not count.changed():
                continue
            items = [
                item.since(count.base.get(route, samples.RouteCounts(route)))
                for route, item in count.counts.items()
            ]
            count.told = {route: item.copy() for route, item in count.counts.items()}
            stage = count.stage
            found.append(
                messages.Evidence(
                    origin,
                    service,
                    stage.number,
                    stage.phase,
                    items,
                    int(count.held_back()),
                )
            )
        return found


def news(counts: Counted, seen: Counted) -> list[samples.RouteCounts]:
    """Return what was added to the counts, and mark it as seen."""
    found = []
    for route, item in counts.items():
        earlier = seen.get(route) or samples.RouteCounts(route, item.once)
        if item.total > earlier.total:
            found.append(item.since(earlier))
            seen[route] = item.copy()
    return found
