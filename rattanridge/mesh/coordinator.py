"""Coordinates rollouts: raises shares by conditional writes to the rollout's status.

Every node may coordinate. For each service the nodes have a fixed ranking; the first
one starts, and the next one takes over if the status has not changed for too long. Two
nodes that coordinate at the same time do no harm: each write is conditional on the
object's revision, and the node that loses reads the status again. The exits of a new
version serve as long as the coordinator permits it, so none is served unwatched.
"""

import asyncio
import hashlib

import msgspec

from rattanridge.kernel import codes
from rattanridge.mesh import (
    evaluation as evaluations,
    events,
    monitoring,
    peers as forwarders,
    settings,
    trial as trials,
    versions as versioning,
)
from rattanridge.mesh.discovery import directory as directories, store_health
from rattanridge.platform import orders, store as stores
from rattanridge.policies import evidence, evidence_history, placement, ramp as ramps

CHECK_INTERVAL = 0.35  # seconds between two checks of all rollouts
# The same while an endpoint of a new version gets its full load.
LOADED_CHECK_INTERVAL = 0.15
RENEW_INTERVAL = 2.0  # seconds after which an unchanged status is written again
TAKEOVER_TIMEOUT = 3.5  # seconds without a change after which another node takes over
RANK_DELAY = 1.0  # seconds added to the takeover timeout for each rank
FIRST_WRITE_DELAY = 0.6  # seconds for each rank until a node makes the first write


class Coordinator:
    """Checks all rollouts, and advances those that this node coordinates."""

    def __init__(
        self,
        config: settings.Settings,
        store: stores.Store,
        health: store_health.StoreHealth,
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
        self.evaluations: dict[str, evaluations.Evaluation] = {}

    async def run(self) -> None:
        """Check all rollouts again and again, until cancelled."""
        while True:
            await asyncio.sleep(self.check_interval())
            rollouts = list(self.versions.rollouts.values())
            await asyncio.gather(*(self.check(rollout) for rollout in rollouts))

    def check_interval(self) -> float:
        """Return the seconds until the next check."""
        found = self.evaluations.values()
        loaded = any(item.ramp.step >= ramps.LOAD_STEP for item in found)
        return LOADED_CHECK_INTERVAL if loaded else CHECK_INTERVAL

    async def check(self, rollout: versioning.Rollout) -> None:
        """Advance a rollout; read it again if its status could not be written."""
        try:
            await self.advance(rollout)
        except codes.Failure as failure:
            self.log.note(
                "rollout-not-written",
                service=rollout.order.service,
                code=failure.code.number,
            )
            await self.read_back(rollout.order.service)

    async def read_back(self, service: str) -> None:
        """Read a rollout after a write whose outcome is unknown."""
        try:
            item = await self.store.get(orders.KIND, service)
        except codes.Failure as failure:
            self.log.note("rollout-not-read", code=failure.code.number)
            return
        if item is not None:
            self.versions.apply(item)

    async def advance(self, rollout: versioning.Rollout) -> None:
        """Evaluate a running rollout and write its status if this node coordinates it.

        Raise a coded failure if the status could not be written.
        """
        service = rollout.order.service
        if rollout.unsaved and rollout.status is not None and self.is_due(rollout):
            await self.save_again(rollout, rollout.status)
            return
        if rollout.state() != orders.RUNNING or not self.is_due(rollout):
            self.evaluations.pop(service, None)
            return
        evaluation = self.evaluations.get(service)
        if evaluation is None or evaluation.order != rollout.order:
            evaluation = evaluations.Evaluation(rollout)
            self.evaluations[service] = evaluation
        candidates = self.directory.candidates_of(service)
        await self.fetch_reports(evaluation, candidates)
        evaluation.measure(self.versions.now())
        await self.decide(rollout, evaluation, candidates)

    async def save_again(
        self, rollout: versioning.Rollout, status: orders.Status
    ) -> None:
        """Write the status of a rollout that the store has lost."""
        written = await self.store.replace_status(
            orders.KIND,
            rollout.order.service,
            orders.encode_status(status),
            rollout.revision,
        )
        self.log.info(
            "rollout-saved-again",
            service=rollout.order.service,
            state=status.state,
        )
        self.versions.apply(written)

    def is_due(self, rollout: versioning.Rollout) -> bool:
        """Return whether it is this node's turn to coordinate the rollout.

        While the store does not answer, the node that coordinates goes on to watch the
        new version until another node may have taken over.
        """
        status = rollout.current_status()
        waited = self.versions.now() - rollout.changed_at
        reachable = self.health.up.is_set()
        if status is not None and status.holder == self.config.name:
            return reachable or waited < TAKEOVER_TIMEOUT
        if not reachable:
            return False
        rank = self.rank(rollout.order.service)
        if status is not None:
            return waited > TAKEOVER_TIMEOUT + rank * RANK_DELAY
        return waited >= rank * FIRST_WRITE_DELAY

    def rank(self, service: str) -> int:
        """Return this node's rank, from 0, among those that may coordinate."""
        own = rank_key(service, self.config.name)
        return sum(
            rank_key(service, name) < own for name in self.directory.running_nodes()
        )

    async def fetch_reports(
        self,
        evaluation: evaluations.Evaluation,
        candidates: list[placement.Candidate],
    ) -> None:
        """Fetch the reports of all exits of the service, and renew their permits."""
        permits = evaluation.permits(candidates)
        reports = await asyncio.gather(
            *(
                self.fetch_report(item, permits.get(item.endpoint))
                for item in candidates
            )
        )
        evaluation.record_reports(reports, self.versions.now())
        self.log_evidence(evaluation)

    def log_evidence(self, evaluation: evaluations.Evaluation) -> None:
        """Log what both versions have had so far; differences show the last check."""
        old = evaluation.old.values()
        new = evaluation.new.values()
        self.log.note(
            "rollout-evidence",
            service=evaluation.order.service,
            version=evaluation.order.version,
            exits=len(evaluation.heard),
            step=evaluation.ramp.step,
            new_calls=sum(item.calls for item in new),
            new_errors=sum(item.errors for item in new),
            old_calls=sum(item.calls for item in old),
            old_errors=sum(item.errors for item in old),
            new_requests=evaluation.exposure.new,
            permitted=evaluation.exposure.permitted(),
            obstacle=evaluation.ramp.obstacle or "-",
        )
        for route, history in evaluation.history.routes.items():
            if history.last_new.ended():
                self.log_route(evaluation, route, history.compare())

    def log_route(
        self,
        evaluation: evaluations.Evaluation,
        route: str,
        compared: evidence_history.Comparison,
    ) -> None:
        """Log what one route shows, and what would make the new version bad there."""
        old = compared.old
        new = compared.new
        bad = evidence.thresholds(old)
        slow, timed = new.count_slow(bad)
        self.log.note(
            "rollout-route",
            route=route,
            version=evaluation.order.version,
            new_calls=new.calls,
            new_errors=new.errors,
            old_calls=old.calls,
            old_errors=old.errors,
            bad_share=bad.error_share,
            new_slow=slow,
            new_timed=timed,
            new_unanswered=sum(new.unanswered.values()),
            new_timed_out=sum(new.timed_out.values()),
            bad_seconds=bad.seconds,
        )

    async def fetch_report(
        self, candidate: placement.Candidate, permit: trials.Permit | None
    ) -> monitoring.Report | None:
        """Return the report of one exit; None if none comes or it is unreadable.

        :param permit: given to the exit with the request, if any.
        """
        method = "GET" if permit is None else "POST"
        body = b"" if permit is None else msgspec.json.encode(permit)
        path = monitoring.REPORT_PATH
        data = await self.peers.fetch(candidate.hop, method, path, body)
        if data is None:
            self.log.note("evidence-missing", node=candidate.hop)
            return None
        return monitoring.decode_report(data)

    async def decide(
        self,
        rollout: versioning.Rollout,
        evaluation: evaluations.Evaluation,
        candidates: list[placement.Candidate],
    ) -> None:
        """Roll back, continue or complete a rollout, and write what changed."""
        ramp = evaluation.ramp
        new = evaluation.candidates_on_trial(candidates)
        if evaluation.fault:
            await self.brake(evaluation, new)
            await self.write_status(
                rollout, evaluation, orders.ROLLED_BACK, evaluation.fault
            )
            return
        if not self.health.up.is_set():
            return
        earlier = (ramp.step, ramp.began, ramp.has_capacity())
        evaluation.advance(candidates)
        if ramp.done():
            await self.write_status(rollout, evaluation, orders.COMPLETED, "in time")
            await self.accept(evaluation, new)
        elif ramp.failed():
            why = self.failure_reason(ramp)
            await self.brake(evaluation, new)
            await self.write_status(rollout, evaluation, orders.ROLLED_BACK, why)
        elif self.has_changed(ramp, earlier) or self.needs_renewal(rollout):
            await self.write_status(rollout, evaluation, orders.RUNNING, "")

    def failure_reason(self, ramp: ramps.Ramp) -> str:
        """Return why a version may not take over, though the time is over."""
        if not ramp.has_capacity():
            return "too few endpoints"
        obstacle = ramp.obstacle or ramps.NOT_HEARD
        return f"not proved in time: {obstacle}"

    def has_changed(self, ramp: ramps.Ramp, earlier: tuple[int, float, bool]) -> bool:
        """Return whether the ramp has changed since the last check."""
        return earlier != (ramp.step, ramp.began, ramp.has_capacity())

    def needs_renewal(self, rollout: versioning.Rollout) -> bool:
        """Return whether an unchanged status must be written again.

        It must if it names another holder, if this process has not written it, as its
        age is unknown then, if the store has an earlier step after its return, or if it
        is older than RENEW_INTERVAL: without a change another node would take over.
        """
        status = rollout.current_status()
        if status is None or status.holder != self.config.name:
            return True
        evaluation = self.evaluations[rollout.order.service]
        if not evaluation.written or status.step != evaluation.ramp.step:
            return True
        return self.versions.now() - rollout.changed_at > RENEW_INTERVAL

    async def brake(
        self, evaluation: evaluations.Evaluation, new: list[placement.Candidate]
    ) -> None:
        """Send the brake to the exits of the new version, without the store.

        The new version then gets no requests even if the store is unreachable.
        """
        path = f"{trials.BRAKE_PATH}/{evaluation.order.version}"
        await asyncio.gather(
            *(self.peers.fetch(item.hop, "POST", path) for item in new)
        )

    async def accept(
        self, evaluation: evaluations.Evaluation, new: list[placement.Candidate]
    ) -> None:
        """Tell the exits of the new version that it has replaced the old one."""
        permit = trials.Permit(
            evaluation.order.version,
            trials.UNLIMITED,
            trials.ACCEPTED_DURATION,
            accepted=True,
        )
        await asyncio.gather(*(self.fetch_report(item, permit) for item in new))

    async def write_status(
        self,
        rollout: versioning.Rollout,
        evaluation: evaluations.Evaluation,
        state: str,
        why: str,
    ) -> None:
        """Write the status; raise ``platform-conflict`` if another node wrote first.

        :param why: reason for the end of the rollout; empty while it runs.
        """
        ramp = evaluation.ramp
        share = evaluation.share(state)
        status = orders.Status(
            state,
            evaluation.order.version,
            share,
            state == orders.RUNNING and ramp.one_endpoint(),
            ramp.step,
            ramp.elapsed,
            ramp.began,
            self.config.name,
            (rollout.status.turn if rollout.status is not None else 0) + 1,
            why,
            evaluation.exposure.new,
            evaluation.exposure.old,
            evaluation.bad_answers.excused,
        )
        stored = await self.store.replace_status(
            orders.KIND,
            evaluation.order.service,
            orders.encode_status(status),
            rollout.revision,
        )
        evaluation.written = True
        self.log.info(
            "rollout-written",
            service=evaluation.order.service,
            version=evaluation.order.version,
            state=state,
            step=ramp.step,
            share=share,
            elapsed=ramp.elapsed,
            calls=sum(item.calls for item in evaluation.new.values()),
            errors=sum(item.errors for item in evaluation.new.values()),
            new_requests=evaluation.exposure.new,
            old_requests=evaluation.exposure.old,
            why=why or "-",
        )
        self.versions.apply(stored)


def rank_key(service: str, node: str) -> bytes:
    """Return the sort key of a node in the ranking for a service.

    It is a hash, so each service has a ranking of its own that all nodes agree on.
    """
    return hashlib.blake2b(f"{service}/{node}".encode(), digest_size=8).digest()
