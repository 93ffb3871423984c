"""One soak: starts a cluster, injects faults under load, and checks the promises."""

import asyncio
import dataclasses
import pathlib
import random
import time

import aiohttp

from rattanridge.admin import presets as preset_store
from rattanridge.kernel import codes, log, presets
from rattanridge.platform import store as stores
from rattanridge.soak import (
    api_keys,
    callers,
    faults,
    key_promises,
    processes,
    promises,
    schedule,
)
from rattanridge.standin import fleet

HOSTS = 6
IN_FORCE_LIMIT = 4.0  # seconds from an accepted choice until all nodes apply it
RECOVERY = 4.0  # seconds after the last fault until everything must work again
CHANGE_INTERVAL = 2.0  # seconds between two changes of the preset
FINAL_CALLS = 60
LONG_WORK = 0.6  # seconds that are added to requests that take long
STOPS_LOAD = callers.Load(callers=240, interval=2.0, long_share=0.3)
FINAL_SHARE = 0.95  # of the final calls that must be answered 200


@dataclasses.dataclass(slots=True)
class Outcome:
    """Result of a soak.

    :param calls: attempts to send a request.
    :param answered: attempts that were answered 200.
    :param faults: names and targets of the faults, in order.
    :param skipped: planned faults whose target was still affected by another one.
    :param broken: one text for each promise that did not hold.
    """

    seed: int
    calls: int = 0
    answered: int = 0
    faults: list[str] = dataclasses.field(default_factory=list)
    skipped: list[str] = dataclasses.field(default_factory=list)
    broken: list[str] = dataclasses.field(default_factory=list)


class Soak:
    """Runs the soak of one seed.

    :param seconds: for which faults are injected.
    :param directory: directory for settings, logs and journals.
    :param stops: whether all nodes are stopped and started again in turn, beside long
        requests that must not be repeated, in place of random faults.
    :param accounts: whether the presets have client accounts, whose keys change.
    """

    def __init__(
        self,
        seed: int,
        seconds: float,
        directory: pathlib.Path,
        stops: bool = False,
        accounts: bool = False,
    ):
        self.cluster = processes.Cluster(directory, HOSTS)
        self.stops = stops
        load = STOPS_LOAD if stops else callers.Load()
        self.keys = api_keys.KeyRing(random.Random(seed)) if accounts else None
        self.callers = callers.Callers(
            self.cluster, random.Random(seed), load, self.keys
        )
        planned = schedule.plan_stops(seconds, HOSTS)
        if not stops:
            planned = self.plan_random(seed, seconds)
        self.injector = faults.FaultInjector(self.cluster, planned)
        self.monitor = promises.GenerationMonitor(self.cluster)
        self.outcome = Outcome(seed)
        self.generation = 0
        self.changes = 0
        self.log = log.Log("soak")

    def plan_random(self, seed: int, seconds: float) -> list[schedule.PlannedFault]:
        """Return random faults of all kinds, in order of time."""
        planned = schedule.plan(seed, seconds, HOSTS, faults.FAULTS.names())
        planned += schedule.plan_limits(seed, seconds, HOSTS)
        planned += schedule.plan_returns(seed, seconds)
        return sorted(planned, key=lambda item: item.at)

    async def run(self) -> Outcome:
        """Run the soak and return its outcome, also if the processes do not start."""
        try:
            if not await self.start():
                return self.outcome
            monitor_task = asyncio.create_task(self.monitor.run())
            callers_task = asyncio.create_task(self.callers.run())
            change_task = asyncio.create_task(self.change_presets())
            await self.injector.run()
            change_task.cancel()
            await asyncio.gather(change_task, return_exceptions=True)
            await self.check_recovery()
            self.callers.stopping = True
            await callers_task
            await self.check_service()
            monitor_task.cancel()
        finally:
            await self.cluster.stop()
        self.complete_outcome()
        return self.outcome

    async def start(self) -> bool:
        """Start all processes and put a preset in force; return whether that worked."""
        try:
            await self.cluster.start()
            await self.apply_preset()
            await self.wait_in_force()
            await self.prepare_upstreams()
        except TimeoutError:
            self.outcome.broken.append(
                f"the processes did not start within {processes.START_LIMIT} s"
            )
            return False
        return True

    async def prepare_upstreams(self) -> None:
        """Make long requests take long, if nodes are to be stopped beside them."""
        if not self.stops:
            return
        for host in self.cluster.hosts:
            prefix = f"/{host.service}/{callers.LONG}"
            await self.cluster.set_upstream_faults(
                host, slow=LONG_WORK, only_prefix=prefix
            )

    async def apply_preset(self) -> None:
        """Store another preset and put it in force, as an operator does."""
        self.changes += 1
        preset = fleet.make_preset(
            "day", list(processes.SERVICES), 2.0 + self.changes / 100
        )
        # Requests without an idempotency key must not be retried either.
        for service in processes.SERVICES:
            preset.routes.append(
                presets.Route(prefix=f"/{service}/once", service=service)
            )
        if self.keys is not None:
            self.keys.change = self.changes
            preset.accounts = api_keys.accounts_of(self.changes)
            preset.routes += map(api_keys.public_route, processes.SERVICES)
        store = stores.Store(self.cluster.store_address)
        operations = preset_store.Presets(store, lambda: self.generation)
        try:
            await operations.put("day", fleet.preset_text(preset), "olga")
            self.generation = (await operations.use("day", "olga")).generation
        finally:
            await store.close()

    async def change_presets(self) -> None:
        """Change the preset until cancelled; store faults may cause refusals."""
        while True:
            await asyncio.sleep(CHANGE_INTERVAL)
            try:
                await self.apply_preset()
            except codes.Failure as failure:
                self.log.info("choice-refused", code=failure.code.number)

    async def wait_in_force(self, seconds: float = processes.START_LIMIT) -> None:
        """Wait until all nodes apply the newest preset."""
        await self.cluster.wait(self.is_in_force, seconds)

    async def is_in_force(self) -> bool:
        """Whether all nodes apply the newest preset."""
        states = await asyncio.gather(
            *(self.cluster.fetch_state(x) for x in self.cluster.hosts)
        )
        return all(
            state is not None and state.version >= self.generation for state in states
        )

    async def check_recovery(self) -> None:
        """Clear the store faults, then check that a new preset is applied in time."""
        await self.cluster.set_store_faults()
        await asyncio.sleep(RECOVERY)
        await self.apply_preset()
        started_at = time.monotonic()
        try:
            await self.wait_in_force(IN_FORCE_LIMIT)
        except TimeoutError:
            took = time.monotonic() - started_at
            self.outcome.broken.append(
                f"a preset was not in force on all nodes after {took:.1f} s"
            )

    async def check_service(self) -> None:
        """Check that nearly all requests are served after the faults."""
        if self.keys is not None:
            self.keys.only_steady = True
            found = await key_promises.check_rotation(self.callers, self.changes)
            self.outcome.broken += found
        before = len(self.callers.attempts)
        async with aiohttp.ClientSession() as session:
            for _ in range(FINAL_CALLS):
                await self.callers.send_request(session)
        final = self.callers.attempts[before:]
        served = sum(item.status == 200 for item in final)
        if served < FINAL_SHARE * len(final):
            answers = {(item.status, item.code, item.error) for item in final}
            self.outcome.broken.append(f"served {served} of {len(final)}: {answers}")

    def complete_outcome(self) -> None:
        """Complete the outcome and check the promises."""
        attempts = self.callers.attempts
        self.outcome.calls = len(attempts)
        self.outcome.answered = sum(item.status == 200 for item in attempts)
        windows = self.injector.windows
        self.outcome.faults = [f"{item.name} {item.target}" for item in windows]
        self.outcome.skipped = [
            f"{item.name} {item.target()}" for item in self.injector.skipped
        ]
        self.outcome.broken += self.monitor.broken
        self.outcome.broken += promises.check_all(self.cluster, attempts, windows)
