"""Evidence on running rollouts: counted at nodes, pooled and judged at relays.

A node counts its own calls by stage and route, and stops sending to the new
version by itself when its own counts speak against it. Once a second it
reports cumulative counts to its relay; relays pool them and tell each other.
Every relay judges, and may take a version back without platform or lease,
for that only shrinks a share.
"""

import asyncio
import dataclasses
import weakref

from rattanridge.control import (
    member as members,
    messages,
    relay as relays,
    replica,
    rollouts,
    subscriber as subscribers,
)
from rattanridge.kernel import clock, log, metrics, settings
from rattanridge.policies import samples, verdicts

VERDICT = "mixture"
ORIGINS_KEPT = 4096  # origins of one stage; a bound on a relay's memory

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
        """Return the counts of each running rollout, cumulative for the session."""
        found = []
        for service, count in self.running.items():
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


@dataclasses.dataclass(slots=True)
class Case:
    """One rollout as a relay judges it.

    :param seen: newest counts by origin and route, in the phase in force.
    :param direct: sums over this relay's own subscribers, by route.
    :param total: sums over all, by route.
    :param braked: braked nodes by origin.
    :param own: origins that are this relay's own nodes.
    :param serial: tells this case's sums from those of an earlier case.
    """

    stage: messages.Stage
    verdict: verdicts.Verdict
    serial: int
    seen: dict[str, Counted] = dataclasses.field(default_factory=dict)
    direct: Counted = dataclasses.field(default_factory=dict)
    total: Counted = dataclasses.field(default_factory=dict)
    braked: dict[str, int] = dataclasses.field(default_factory=dict)
    own: set[str] = dataclasses.field(default_factory=set)

    def change(self, stage: messages.Stage, now: float) -> None:
        if stage.phase != self.stage.phase:
            for group in (self.seen, self.direct, self.total, self.braked, self.own):
                group.clear()
            self.verdict.turn(now)
        self.stage = stage


class Pool:
    """Pools evidence at a relay and judges it.

    :param config: the node's settings.
    :param state: the node's replica; its table carries the stages.
    :param counters: counts evidence and findings.
    """

    def __init__(
        self,
        config: settings.NodeSettings,
        state: replica.Replica,
        counters: metrics.Counters,
        time: clock.Clock | None = None,
    ):
        self.config = config
        self.state = state
        self.counters = counters
        self.time = time or clock.Clock()
        self.log = log.Log("pool", config.name)
        self.cases: dict[str, Case] = {}
        self.active = False
        self.serial = 0
        state.table.listeners.append(self.see)

    def start(self) -> None:
        """Begin to pool, from the stages that are known."""
        self.active = True
        for record in self.state.table.all(messages.Stage):
            self.see(record)

    def stop(self) -> None:
        self.active = False
        self.cases.clear()

    def see(self, record: messages.Record) -> None:
        """Follow a service's stage."""
        if not isinstance(record, messages.Stage) or not self.active:
            return
        known = self.cases.get(record.service)
        if record.state != rollouts.RUNNING:
            self.cases.pop(record.service, None)
        elif known is None or known.stage.number != record.number:
            verdict = verdicts.VERDICTS.get(VERDICT)()
            self.serial += 1
            self.cases[record.service] = Case(record, verdict, self.serial)
        else:
            known.change(record, self.time.monotonic())

    def take(self, evidence: messages.Evidence, direct: bool) -> None:
        """Add what an origin's counts tell beyond those known from it.

        :param direct: whether it comes from a node of this relay, not a peer.
        """
        case = self.cases.get(evidence.service)
        if case is None or case.stage.number != evidence.number:
            return
        if case.stage.phase != evidence.phase:
            self.counters.add("rollout.evidence.other-phase")
            return
        if evidence.origin not in case.seen and len(case.seen) >= ORIGINS_KEPT:
            self.counters.add("rollout.evidence.too-many")
            return
        seen = case.seen.setdefault(evidence.origin, {})
        case.braked[evidence.origin] = evidence.braked
        if direct:
            case.own.add(evidence.origin)
        now = self.time.monotonic()
        for delta in news({item.route: item for item in evidence.items}, seen):
            case.verdict.observe(delta, now)
            add_to(case.total, delta)
            if direct:
                add_to(case.direct, delta)

    def judge(self) -> None:
        """Take back what is found to be bad; cut what got worse in the bake."""
        now = self.time.monotonic()
        for case in list(self.cases.values()):
            finding = case.verdict.judge(now)
            stage = case.stage
            if finding is not None:
                self.counters.add(f"rollout.found.{finding.kind}")
                self.log.warn(
                    "rollout-bad",
                    service=stage.service,
                    number=stage.number,
                    share=stage.share,
                    why=str(finding),
                )
                self.state.table.merge(rollouts.recall(stage, str(finding)))
            elif stage.share >= 1.0 and case.verdict.alarm():
                self.counters.add("rollout.trial")
                self.log.info("rollout-trial", service=stage.service)
                self.state.table.merge(rollouts.cut(stage))

    def summaries(self, origin: str) -> list[messages.Evidence]:
        """Return the sums over this relay's own nodes, for other relays."""
        return [
            messages.Evidence(
                f"{origin}/{case.serial}",
                case.stage.service,
                case.stage.number,
                case.stage.phase,
                list(case.direct.values()),
                sum(case.braked[origin] for origin in case.own),
            )
            for case in self.cases.values()
        ]


def add_to(sums: Counted, delta: samples.RouteCounts) -> None:
    known = sums.get(delta.route)
    if known is None:
        sums[delta.route] = delta.copy()
    else:
        known.add(delta)


class Reporter:
    """Reports a node's counts to its relay, and a relay's pool to its peers.

    :param member: the node's control path, with its subscriptions.
    :param collector: the node's own counts.
    :param pool: the node's pool, in use while it is a relay.
    """

    def __init__(
        self,
        config: settings.NodeSettings,
        member: members.Member,
        collector: Collector,
        pool: Pool,
        time: clock.Clock | None = None,
    ):
        self.config = config
        self.collector = collector
        self.pool = pool
        self.time = time or clock.Clock()
        self.origin = f"{config.name}/{member.incarnation}"
        self.subscriptions: weakref.WeakSet[subscribers.Subscriber] = weakref.WeakSet()
        self.sink: object = None
        self.session = 0
        self.task: asyncio.Task | None = None
        member.on_subscribe.append(self.attach)
        member.relay.handlers[messages.Evidence] = self.take

    def start(self) -> None:
        self.task = asyncio.create_task(self.run())

    async def stop(self) -> None:
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)

    def take(self, sender: relays.Member, message: messages.Evidence) -> None:
        """Take a report of a subscriber."""
        self.pool.take(message, direct=not sender.hello.relay)

    def attach(self, subscription: subscribers.Subscriber) -> None:
        """Take a new subscription to a relay."""
        self.subscriptions.add(subscription)

    async def run(self) -> None:
        while True:
            await self.time.sleep(self.config.control.report_interval)
            self.step()

    def step(self) -> None:
        """Judge and report once."""
        self.collector.judge()
        live = [item for item in self.subscriptions if item.relay]
        if self.pool.active:
            self.turn_to(self.pool)
            for report in self.collector.reports(self.name()):
                self.pool.take(report, direct=True)
            self.pool.judge()
            self.send(
                [item for item in live if item.is_relay],
                self.pool.summaries(f"{self.origin}/pool"),
            )
            return
        own = next((item for item in live if not item.is_relay), None)
        if own is not None:
            self.turn_to(own)
            self.send([own], self.collector.reports(self.name()))

    def turn_to(self, sink: object) -> None:
        """Begin a session with a new sink."""
        if sink is not self.sink:
            self.sink = sink
            self.session += 1
            self.collector.begin_session()

    def name(self) -> str:
        return f"{self.origin}/{self.session}"

    def send(
        self, targets: list[subscribers.Subscriber], reports: list[messages.Evidence]
    ) -> None:
        for target in targets:
            for report in reports:
                if report.items or report.braked:
                    target.outbox.put(report)
