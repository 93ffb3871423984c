"""Evidence on running rollouts, pooled and judged at relays.

Every relay judges, and may take a version back without platform or lease, for
that only shrinks a share.
"""

import dataclasses

from rattanridge.control import collector, messages, replica, rollouts
from rattanridge.kernel import clock, log, metrics, settings
from rattanridge.policies import samples, verdicts

ORIGINS_KEPT = 4096  # origins of one stage; a bound on a relay's memory


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
    seen: dict[str, collector.Counted] = dataclasses.field(default_factory=dict)
    direct: collector.Counted = dataclasses.field(default_factory=dict)
    total: collector.Counted = dataclasses.field(default_factory=dict)
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
            verdict = verdicts.VERDICTS.get(collector.VERDICT)()
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
        for delta in collector.news(
            {item.route: item for item in evidence.items}, seen
        ):
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


def add_to(sums: collector.Counted, delta: samples.RouteCounts) -> None:
    """Add one route's counts to the sums by route."""
    known = sums.get(delta.route)
    if known is None:
        sums[delta.route] = delta.copy()
    else:
        known.add(delta)
