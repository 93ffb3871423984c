"""Coordinates rollouts: shares grow by conditional writes to the order's status.

Every node may coordinate. They stand in an order of their own for each
service; the first one begins, and the next one takes over if the status has
not changed for too long. Two that act at once hurt nobody: each write is
conditional on the object's revision, and the loser reads again.
"""

import asyncio
import hashlib

from rattanridge.kernel import codes
from rattanridge.mesh import (
    directory as directories,
    events,
    monitoring,
    peers as forwarders,
    settings,
    versions as versioning,
    watching,
)
from rattanridge.platform import orders, store as stores
from rattanridge.policies import evidence, ramp as ramps

LOOK_INTERVAL = 0.35  # seconds
BEAT = 2.0  # seconds after which an unchanged status is written again
TAKEOVER = 3.5  # seconds without a change after which the next node takes over
RANK_WAIT = 1.0  # seconds that each further node waits longer
FIRST_WAIT = 0.6  # seconds that each further node waits for the first write


class Case:
    """The coordinator's view of one rollout."""

    def __init__(self, rollout: versioning.Rollout, now: float):
        self.order = rollout.order
        status = rollout.answer()
        self.ramp = ramps.Ramp(rollout.order.duration)
        self.began_at = rollout.seen_at
        if status is not None:
            self.ramp.step = min(status.step, len(ramps.STEPS) - 1)
            self.ramp.began = status.began
            self.ramp.step_at = status.elapsed
            self.began_at = min(rollout.seen_at, rollout.changed_at - status.elapsed)
        self.base: dict[str, evidence.CountsByRoute] = {}
        self.old: evidence.CountsByRoute = {}
        self.new: evidence.CountsByRoute = {}
        self.found: dict[str, monitoring.Report] = {}

    def take(self, report: monitoring.Report) -> None:
        """Take one exit's evidence; the old version's counts begin now."""
        self.found[report.endpoint] = report
        if report.version != self.order.version:
            self.base.setdefault(report.endpoint, report.routes)

    def sum_up(self) -> None:
        """Add up the evidence on both versions."""
        self.old = {}
        self.new = {}
        for report in self.found.values():
            if report.version == self.order.version:
                evidence.merge(self.new, report.routes)
                continue
            base = self.base.get(report.endpoint, {})
            fresh = {
                route: counts.since(base.get(route, evidence.Counts()))
                for route, counts in report.routes.items()
            }
            evidence.merge(self.old, fresh)


class Coordinator:
    """Looks at all rollouts, and acts where it is this node's turn."""

    def __init__(
        self,
        config: settings.Settings,
        store: stores.Store,
        health: watching.Health,
        versions: versioning.Versions,
        directory: directories.Directory,
        peers: forwarders.PeerClient,
        log: events.Events,
    ):
        self.config = config
        self.store = store
        self.health = health
        self.versions = versions
        self.directory = directory
        self.peers = peers
        self.log = log
        self.cases: dict[str, Case] = {}

    async def run(self) -> None:
        """Look again and again."""
        while True:
            await asyncio.sleep(LOOK_INTERVAL)
            if not self.health.up.is_set():
                continue
            for rollout in list(self.versions.rollouts.values()):
                try:
                    await self.look(rollout)
                except codes.Failure as failure:
                    self.log.note(
                        "rollout-not-written",
                        service=rollout.order.service,
                        code=failure.code.number,
                    )
                    await self.read_again(rollout.order.service)

    async def read_again(self, service: str) -> None:
        """Read a rollout after a write whose outcome is not known."""
        try:
            item = await self.store.get(orders.KIND, service)
        except codes.Failure as failure:
            self.log.note("rollout-not-read", code=failure.code.number)
            return
        if item is not None:
            self.versions.take(item)

    async def look(self, rollout: versioning.Rollout) -> None:
        """Take the one step that a rollout needs now, if it is this node's turn."""
        service = rollout.order.service
        if rollout.state() != orders.RUNNING or not self.is_due(rollout):
            self.cases.pop(service, None)
            return
        now = self.versions.now()
        case = self.cases.get(service)
        if case is None or case.order != rollout.order:
            case = self.cases[service] = Case(rollout, now)
        await self.gather(case)
        case.ramp.elapsed = now - case.began_at
        await self.decide(rollout, case)

    def is_due(self, rollout: versioning.Rollout) -> bool:
        """Whether this node coordinates the rollout now."""
        status = rollout.answer()
        if status is not None and status.holder == self.config.name:
            return True
        waited = self.versions.now() - rollout.changed_at
        rank = self.rank(rollout.order.service)
        if status is not None:
            return waited > TAKEOVER + rank * RANK_WAIT
        return waited >= rank * FIRST_WAIT

    def rank(self, service: str) -> int:
        """Return this node's place among those that may coordinate."""
        own = place(service, self.config.name)
        return sum(place(service, name) < own for name in self.directory.running())

    async def gather(self, case: Case) -> None:
        """Ask all exits of the service for their evidence."""
        found = self.directory.candidates_of(case.order.service)
        reports = await asyncio.gather(*(self.ask(item.hop) for item in found))
        for report in reports:
            if report is not None and report.service == case.order.service:
                case.take(report)
        case.sum_up()

    async def ask(self, address: str) -> monitoring.Report | None:
        """Return one exit's evidence; None if it does not answer."""
        data = await self.peers.fetch(address, "GET", monitoring.REPORT_PATH)
        if data is None:
            self.log.note("evidence-missing", node=address)
            return None
        return monitoring.decode(data)

    async def decide(self, rollout: versioning.Rollout, case: Case) -> None:
        """Take back, go on, or complete."""
        ramp = case.ramp
        fault = evidence.find_fault(case.old, case.new)
        if fault:
            await self.brake(case)
            await self.write(rollout, case, orders.ROLLED_BACK, fault)
            return
        endpoints = self.count_new(case)
        before = (ramp.step, ramp.began, ramp.has_capacity())
        ramp.capacity_ratio = self.room(case)
        ramp.advance(endpoints, case.old, case.new)
        if ramp.done():
            await self.write(rollout, case, orders.COMPLETED, "in time")
        elif ramp.out_of_time():
            why = "not proved in time" if ramp.has_capacity() else "too few endpoints"
            await self.brake(case)
            await self.write(rollout, case, orders.ROLLED_BACK, why)
        elif self.is_news(ramp, before) or self.is_stale(rollout):
            await self.write(rollout, case, orders.RUNNING, "")

    def is_news(self, ramp: ramps.Ramp, before: tuple[int, float, bool]) -> bool:
        """Whether the share changed since the last look."""
        return before != (ramp.step, ramp.began, ramp.has_capacity())

    def room(self, case: Case) -> float:
        """Return the new version's slots over the old one's."""
        slots = {True: 0, False: 0}
        for item in self.directory.candidates_of(case.order.service):
            if not item.lost:
                slots[item.version == case.order.version] += item.slots
        return slots[True] / slots[False] if slots[False] else float("inf")

    def count_new(self, case: Case) -> int:
        """Return the number of endpoints of the new version."""
        return sum(
            item.version == case.order.version
            for item in self.directory.candidates_of(case.order.service)
        )

    def is_stale(self, rollout: versioning.Rollout) -> bool:
        """Whether the status does not show that this node coordinates."""
        status = rollout.answer()
        if status is None or status.holder != self.config.name:
            return True
        return self.versions.now() - rollout.changed_at > BEAT

    async def brake(self, case: Case) -> None:
        """Tell the exits of the new version at once, without the store."""
        path = f"{monitoring.BRAKE_PATH}/{case.order.version}"
        found = self.directory.candidates_of(case.order.service)
        await asyncio.gather(
            *(
                self.peers.fetch(item.hop, "POST", path)
                for item in found
                if item.version == case.order.version
            )
        )

    async def write(
        self, rollout: versioning.Rollout, case: Case, state: str, why: str
    ) -> None:
        """Write the status, if nobody else has written since."""
        ramp = case.ramp
        endpoints = self.count_new(case)
        share = {orders.COMPLETED: 1.0, orders.ROLLED_BACK: 0.0}.get(
            state, ramp.share(endpoints)
        )
        status = orders.Status(
            state,
            case.order.version,
            share,
            state == orders.RUNNING and ramp.one_endpoint(),
            ramp.step,
            ramp.elapsed,
            ramp.began,
            self.config.name,
            (rollout.status.turn if rollout.status is not None else 0) + 1,
            why,
        )
        stored = await self.store.replace_status(
            orders.KIND,
            case.order.service,
            orders.encode_status(status),
            rollout.revision,
        )
        self.log.info(
            "rollout-written",
            service=case.order.service,
            version=case.order.version,
            state=state,
            step=ramp.step,
            share=share,
            elapsed=ramp.elapsed,
            calls=sum(item.calls for item in case.new.values()),
            errors=sum(item.errors for item in case.new.values()),
            why=why or "-",
        )
        self.versions.take(stored)


def place(service: str, node: str) -> bytes:
    """Return a node's fixed place in a random order of its own for a service."""
    return hashlib.blake2b(f"{service}/{node}".encode(), digest_size=8).digest()
