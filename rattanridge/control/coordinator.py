"""Rollout coordinator: the one node that lets shares grow.

Every relay holder tries the lease ``leases/coordinator``, so the load on the
platform grows with zones. Whoever holds it first writes its epoch into every
running rollout: from then on a former holder's writes conflict. Shares grow
by conditional writes only. Progress is the time held under the lease, counted
by the monotonic clock and written to the object now and then; a successor
goes on from there, so a hold may be repeated in part but never skipped.
"""

import asyncio

import msgspec

from rattanridge.control import member, messages, pool, rollouts
from rattanridge.kernel import clock, codes, log
from rattanridge.objectapi import leases, objects
from rattanridge.policies import schedules

ROLE = "coordinator"
TRIAL_HOLD = 20.0  # seconds that a trial in the bake lasts without a finding
LONGEST_TICK = 3.0  # seconds that one look may add to a hold


class Running:
    """The coordinator's view of one running rollout.

    :param stored: the object as last read or written.
    """

    def __init__(self, stored: objects.Stored, rollout: rollouts.Rollout, now: float):
        self.stored = stored
        self.rollout = rollout
        self.held = rollout.held
        self.looked = now
        self.kept = now
        self.trial_since = now

    def take(self, stored: objects.Stored, rollout: rollouts.Rollout, now: float):
        """Take over a newer object; time held in the same step is kept."""
        same = rollout.turn == self.rollout.turn
        self.held = max(self.held, rollout.held) if same else rollout.held
        if not same:
            self.trial_since = now
        self.stored = stored
        self.rollout = rollout


class Coordinator:
    """Serves the role while this node is a relay and holds the lease.

    :param member: the node's control path.
    :param pool: the node's pool of evidence.
    """

    def __init__(
        self,
        member: member.Member,
        pool: pool.Pool,
        time: clock.Clock | None = None,
    ):
        self.member = member
        self.config = member.config
        self.platform = member.platform
        self.state = member.state
        self.counters = member.counters
        self.pool = pool
        self.time = time or clock.Clock()
        self.log = log.Log("coordinator", self.config.name)
        self.objects: dict[str, objects.Stored] = {}
        self.running: dict[str, Running] = {}
        self.lease = leases.Lease(
            self.platform,
            ROLE,
            self.config.name,
            member.server.address,
            self.config.control.lease_term,
            self.time,
        )
        self.epoch = 0
        self.renew = float("-inf")
        member.source.rollout_seen = self.see
        member.on_relay.append(self.run)

    def see(self, stored: objects.Stored) -> None:
        """Follow a rollout's object; every relay spreads its stage."""
        known = self.objects.get(stored.key)
        if known is not None and known.version >= stored.version:
            return
        self.objects[stored.key] = stored
        try:
            rollout = rollouts.read(stored)
        except codes.Failure as failure:
            self.counters.add("rollout.unreadable")
            self.log.warn("rollout-unreadable", key=stored.key, why=str(failure))
            return
        self.state.table.merge(rollouts.stage_of(rollout))
        if rollout.service in self.running:
            now = self.time.monotonic()
            self.running[rollout.service].take(stored, rollout, now)

    async def run(self, relay_lease: leases.Lease) -> None:
        """Pool evidence, and coordinate while the lease is held."""
        self.lease.address = self.member.server.address
        self.pool.start()
        tick = min(
            self.config.control.report_interval,
            self.config.rollouts.least_hold,
            self.lease.term / 4,
        )
        try:
            while True:
                await self.step()
                await self.time.sleep(tick)
        finally:
            self.pool.stop()
            self.running.clear()
            if self.lease.held():
                await asyncio.shield(self.lease.release())

    async def step(self) -> None:
        """Renew or try the lease when that is due, then look at all rollouts."""
        if self.config.coordinator and self.time.monotonic() >= self.renew:
            await self.lease.step()
            pause = min(self.lease.pause(), self.lease.term / 2)
            self.renew = self.time.monotonic() + pause
        await self.look()

    async def look(self) -> None:
        """Look once at every rollout; without the lease, forget the progress."""
        if not self.lease.held():
            self.running.clear()
            self.epoch = 0
            return
        if self.epoch != self.lease.epoch:
            self.epoch = self.lease.epoch
            self.announce()
        for stored in list(self.objects.values()):
            try:
                await self.attend(stored)
            except codes.Failure as failure:
                self.counters.add(f"rollout.retry.{failure.code.name}")
                self.log.info(
                    "rollout-write-failed", key=stored.key, code=failure.code.number
                )
                if failure.code is codes.PLATFORM_CONFLICT:
                    await self.read_again(stored.key)

    def announce(self) -> None:
        self.state.table.merge(
            messages.Role(ROLE, self.config.name, self.lease.address, self.lease.epoch)
        )

    async def read_again(self, key: str) -> None:
        """Read an object after a conflict, without waiting for the watch."""
        try:
            stored = await self.platform.find(key)
        except codes.Failure:
            return
        if stored is not None:
            self.see(stored)

    async def attend(self, stored: objects.Stored) -> None:
        """Take the one write that a rollout needs now, if any."""
        try:
            rollout = rollouts.read(stored)
        except codes.Failure:
            return
        now = self.time.monotonic()
        if rollout.epoch > self.epoch:
            self.lease.drop()
            return
        if await self.catch_up(stored, rollout):
            return
        if not rollout.running:
            self.running.pop(rollout.service, None)
            return
        running = self.running.get(rollout.service)
        if running is None:
            running = self.running[rollout.service] = Running(stored, rollout, now)
            if rollout.epoch != self.epoch:
                await self.write(running, rollout)
        self.count_hold(running, now)
        await self.move(running, now)

    async def catch_up(self, stored: objects.Stored, rollout: rollouts.Rollout) -> bool:
        """Write what the relays decided before the platform knew."""
        stage = self.state.table.records.get(("stage", rollout.service))
        if stage is None or stage.number != rollout.number:
            return False
        running = self.running.get(rollout.service)
        if running is None:
            running = Running(stored, rollout, self.time.monotonic())
        if stage.state == rollouts.TAKEN_BACK and rollout.state != rollouts.TAKEN_BACK:
            await self.write(running, rollouts.take_back(rollout, stage.reason))
            return True
        cut = stage.cut and stage.version == rollout.turn and rollout.running
        if cut and not rollout.trial:
            await self.write(running, rollouts.begin_trial(rollout))
            return True
        return False

    def count_hold(self, running: Running, now: float) -> None:
        """Count the time since the last look while both versions can be compared."""
        passed = min(max(now - running.looked, 0.0), LONGEST_TICK)
        running.looked = now
        if self.has_endpoints(running.rollout):
            running.held += passed

    def has_endpoints(self, rollout: rollouts.Rollout) -> bool:
        """Whether an endpoint of the new version is up."""
        return any(
            record.version == rollout.new and record.state == "up"
            for record in self.state.table.all(messages.Endpoint)
            if record.service == rollout.service
        )

    async def move(self, running: Running, now: float) -> None:
        """Advance a step that was held for long enough, or keep its progress."""
        rollout = running.rollout
        if rollout.trial:
            if now - running.trial_since >= self.trial_hold(rollout):
                await self.write(running, rollouts.end_trial(rollout))
            return
        schedule = schedules.SCHEDULES.get(rollout.schedule)()
        progress = self.progress(running)
        if schedule.ready(rollout.plan, rollout.window(), progress):
            await self.write(running, rollouts.advance(rollout, progress.routes))
        elif self.is_late(rollout, progress) and not rollout.late:
            self.counters.add("rollout.late")
            self.log.warn(
                "rollout-late",
                service=rollout.service,
                code=codes.ROLLOUT_DEADLINE.number,
                left=progress.left,
            )
            await self.write(running, msgspec.structs.replace(rollout, late=True))
        elif now - running.kept >= self.config.rollouts.keep_progress:
            await self.write(running, rollout)

    def trial_hold(self, rollout: rollouts.Rollout) -> float:
        case = self.pool.cases.get(rollout.service)
        if case is not None and case.verdict.suspicious():
            return 2 * TRIAL_HOLD
        return min(TRIAL_HOLD, max(rollout.bake, rollout.least_hold))

    def progress(self, running: Running) -> schedules.Progress:
        rollout = running.rollout
        case = self.pool.cases.get(rollout.service)
        routes = []
        suspicious = False
        if case is not None:
            routes = [
                schedules.Route(item.route, item.once, item.old.calls, item.new.calls)
                for item in case.total.values()
            ]
            suspicious = case.verdict.suspicious() or any(case.braked.values())
        return schedules.Progress(
            rollout.step, running.held, self.left(rollout), routes, suspicious
        )

    def left(self, rollout: rollouts.Rollout) -> float:
        """Return the seconds to the deadline; a clock set back gives none more."""
        return min(rollout.left, rollout.deadline - self.time.wall())

    def is_late(self, rollout: rollouts.Rollout, progress: schedules.Progress) -> bool:
        least = schedules.least_left(rollout.plan, rollout.window(), progress)
        return least > progress.left + self.config.control.report_interval

    async def write(self, running: Running, rollout: rollouts.Rollout) -> None:
        """Write an object if the lease is held and nobody else wrote it."""
        if not self.lease.held():
            raise codes.Failure(codes.LEASE_LOST, ROLE)
        now = self.time.monotonic()
        same = rollout.turn == running.rollout.turn
        value = msgspec.structs.replace(
            rollout,
            epoch=self.epoch,
            held=running.held if same or rollout.trial else rollout.held,
            left=self.left(rollout),
            ended=rollout.ended if rollout.running else self.time.wall(),
        )
        key = rollouts.key_of(rollout.service)
        stored = await self.platform.put(key, value, running.stored.version)
        running.kept = now
        running.take(stored, value, now)
        self.see(stored)
        if not same:
            self.tell(value)

    def tell(self, rollout: rollouts.Rollout) -> None:
        share, once_share = rollout.shares()
        self.counters.add("rollout.turn")
        self.log.info(
            "rollout-turn",
            service=rollout.service,
            number=rollout.number,
            turn=rollout.turn,
            state=rollout.state,
            step=rollout.step,
            share=share,
            once_share=once_share,
            why=rollout.reason or "-",
        )
