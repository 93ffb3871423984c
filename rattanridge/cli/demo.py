"""Command ``demo``, which shows the whole system in one process in under 30 s."""

import asyncio
import collections
import dataclasses
import random
import sys
import time

import aiohttp
import click

from rattanridge.admin import rollouts as admin_rollouts
from rattanridge.cli import main
from rattanridge.kernel import codes, log
from rattanridge.platform import orders
from rattanridge.standin import fleet, upstream as upstreams
from rattanridge.web import headers

SERVICES = ("registry", "workshop")
ZONES = ("tunis-a", "tunis-b")
CALL_INTERVAL = 0.01  # seconds between calls
STEPS_SECONDS = 17.0  # duration of the steps without the pauses between them
PAUSES = 3
CRASH_KEY = "cracked-seal"  # key of the request that crashes an upstream
ROLLOUT_SERVICE = "registry"  # service that gets new versions
DEADLINE = 5.0  # seconds for a good version to take over
LONG_DEADLINE = 60.0  # seconds; the bad version is rolled back long before
ROLLOUT_TIMEOUT = 20.0  # seconds to wait for a rollout to end
# Seconds after the end of a rollout from which the losing version gets no calls.
SETTLE_SECONDS = 0.8


@dataclasses.dataclass(slots=True)
class CallStats:
    """Results of the calls, as the callers saw them.

    :param answers: number of calls by result.
    :param not_run: keys of the commissions that were reported as not run.
    :param calls: number of calls sent.
    """

    answers: collections.Counter
    not_run: set[str]
    calls: int = 0


class Demo:
    """Runs the steps under traffic, prints their progress and checks invariants.

    :param seconds: approximate duration of the demo.
    :param seed: seed of the stand-ins and of the calls.
    """

    def __init__(self, seconds: float, seed: int = 1):
        self.seconds = seconds
        self.random = random.Random(seed)
        self.fleet = fleet.Fleet(seed)
        self.stats = CallStats(collections.Counter(), set())
        self.violations: list[str] = []
        self.generations: dict[str, int] = {}
        self.started_at = time.monotonic()
        self.ending = False

    def report(self, text: str) -> None:
        """Print a line with the seconds since the start."""
        click.echo(f"{time.monotonic() - self.started_at:5.1f}s  {text}")

    async def run(self) -> bool:
        """Run all steps; return whether all checks passed."""
        async with self.fleet:
            await self.start()
            watching = asyncio.create_task(self.watch_generations())
            calling = asyncio.create_task(self.send_calls())
            try:
                await self.run_steps()
            finally:
                self.ending = True
                watching.cancel()
                await asyncio.gather(calling, watching, return_exceptions=True)
            self.check_runs()
            self.summarise()
        return not self.violations

    async def start(self) -> None:
        """Start two services in two zones and put the first preset in force."""
        for zone in ZONES:
            for service in SERVICES:
                await self.add(f"{service}-{zone}", zone, service, "v1")
        self.report(f"{len(self.fleet.hosts)} hosts in {len(ZONES)} zones are up")
        await self.apply_preset("ordinary", 5.0)
        await self.fleet.wait_endpoints()

    async def add(self, name: str, zone: str, service: str, version: str) -> fleet.Host:
        """Start one host."""
        return await self.fleet.add(name, zone, upstreams.Shape(service, version))

    async def apply_preset(self, name: str, timeout: float) -> None:
        """Put a preset in force; print how long all nodes took to apply it."""
        preset = fleet.make_preset(name, list(SERVICES), timeout)
        generation = await self.fleet.put_preset(preset)
        seconds = await self.fleet.wait_applied(generation)
        count = len(self.fleet.hosts)
        self.report(
            f"preset {name} is in force, generation {generation}: "
            f"{count} of {count} nodes after {seconds * 1000:.0f} ms"
        )

    async def run_steps(self) -> None:
        """Run the steps: a preset, two rollouts, a crash and a drain."""
        pause = max(self.seconds - STEPS_SECONDS, 0.0) / PAUSES
        await asyncio.sleep(pause)
        await self.apply_preset("peak", 2.0)
        await self.complete_rollout("v2")
        await self.roll_back_version("v3")
        await self.crash_upstream()
        await asyncio.sleep(pause)
        await self.drain_upstream()
        await asyncio.sleep(pause)

    async def complete_rollout(self, version: str) -> None:
        """Roll out a good version; check that it takes over completely."""
        await self.add_version(version, 0.0)
        ended = await self.roll_out(version, DEADLINE)
        self.check(ended.state == orders.COMPLETED, f"{version} ended as {ended}")
        await asyncio.sleep(SETTLE_SECONDS)
        before = self.count_runs("v1")
        await asyncio.sleep(SETTLE_SECONDS)
        late = self.count_runs("v1") - before
        self.check(late == 0, f"the old version got {late} calls after the rollout")
        self.report(
            f"{ROLLOUT_SERVICE} {version} took over in time; v1 gets no more calls"
        )

    async def roll_back_version(self, version: str) -> None:
        """Roll out a version that always fails; check that it is rolled back."""
        await self.add_version(version, 1.0)
        ended = await self.roll_out(version, LONG_DEADLINE)
        self.check(ended.state == orders.ROLLED_BACK, f"{version} ended as {ended}")
        await asyncio.sleep(SETTLE_SECONDS)
        before = self.count_runs(version)
        await asyncio.sleep(SETTLE_SECONDS)
        late = self.count_runs(version) - before
        self.check(late == 0, f"a version that was rolled back got {late} calls")
        self.report(f"{ROLLOUT_SERVICE} {version} was rolled back: {ended.reason}")

    async def add_version(self, version: str, error_rate: float) -> None:
        """Start an endpoint of a version in each zone, in addition to the old ones.

        :param error_rate: fraction of its requests that fail.
        """
        for zone in ZONES:
            host = await self.add(
                f"{ROLLOUT_SERVICE}-{version}-{zone}", zone, ROLLOUT_SERVICE, version
            )
            host.upstream.faults.error_rate = error_rate
        await self.fleet.wait_endpoints()

    async def roll_out(self, version: str, deadline: float) -> admin_rollouts.Rollout:
        """Start a rollout; return it once it has ended.

        :param deadline: seconds within which it must complete.
        """
        node = next(iter(self.fleet.hosts.values())).node
        operations = admin_rollouts.Rollouts(node)
        await operations.start(
            ROLLOUT_SERVICE, admin_rollouts.Start(new=version, deadline=deadline)
        )
        self.report(f"rollout of {ROLLOUT_SERVICE} to {version} started")
        async with asyncio.timeout(ROLLOUT_TIMEOUT):
            while True:
                rollout = await operations.show(ROLLOUT_SERVICE)
                if rollout.state != orders.RUNNING:
                    return rollout
                await asyncio.sleep(0.1)

    def count_runs(self, version: str) -> int:
        """Return the number of requests that a version of the service has run."""
        return sum(
            len(host.upstream.runs)
            for host in self.fleet.hosts.values()
            if host.upstream.shape.service == ROLLOUT_SERVICE
            and host.upstream.shape.version == version
        )

    async def crash_upstream(self) -> None:
        """Crash one upstream while it runs a request."""
        host = self.fleet.hosts[f"workshop-{ZONES[0]}"]
        host.upstream.faults.crash_on = CRASH_KEY
        url = f"http://{host.node.config.listen.callers}"
        async with aiohttp.ClientSession() as session:
            while not host.upstream.crashed.is_set():
                await self.call(session, url, "POST", "workshop", CRASH_KEY)
        self.report("one workshop upstream crashed while running a commission")

    async def drain_upstream(self) -> None:
        """Drain one upstream while another one serves."""
        host = self.fleet.hosts[f"{ROLLOUT_SERVICE}-v2-{ZONES[1]}"]
        await host.upstream.drain()
        await asyncio.sleep(1.0)
        before = len(host.upstream.runs)
        await asyncio.sleep(1.0)
        late = len(host.upstream.runs) - before
        self.check(late == 0, f"a draining upstream got {late} calls")
        self.report(f"one {ROLLOUT_SERVICE} upstream drained and gets no new calls")

    async def send_calls(self) -> None:
        """Send calls to random nodes until the demo ends.

        Four of five are consultations (idempotent), the others commissions, which
        must not run twice.
        """
        async with aiohttp.ClientSession() as session:
            tasks: set[asyncio.Task] = set()
            number = 0
            while not self.ending:
                number += 1
                host = self.random.choice(list(self.fleet.hosts.values()))
                url = f"http://{host.node.config.listen.callers}"
                method, service = ("GET", "registry")
                if number % 5 == 0:
                    method, service = ("POST", "workshop")
                task = asyncio.create_task(
                    self.call(session, url, method, service, f"order-{number}")
                )
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                await asyncio.sleep(CALL_INTERVAL)
            await asyncio.gather(*tasks)

    async def call(
        self,
        session: aiohttp.ClientSession,
        url: str,
        method: str,
        service: str,
        key: str,
    ) -> None:
        """Send one call; check that the answer belongs to it, and count the result."""
        self.stats.calls += 1
        sent_headers = {upstreams.IDEMPOTENCY_KEY: key} if method == "POST" else {}
        async with session.request(
            method, f"{url}/{service}/{key}", headers=sent_headers
        ) as response:
            text = await response.text()
        number = response.headers.get(headers.CODE)
        if number is None and response.status >= 500:
            self.stats.answers["failed upstream"] += 1
            return
        if number is None:
            self.stats.answers["answered"] += 1
            self.check(
                f"/{service}/{key}" in text,
                f"the call with key {key} got the answer to another one",
            )
            return
        name = codes.TABLE[int(number)].name
        self.stats.answers[name] += 1
        if (
            response.headers[headers.RAN] == codes.Execution.NOT_RUN
            and method == "POST"
        ):
            self.stats.not_run.add(key)

    async def watch_generations(self) -> None:
        """Check continuously that the generation of no node decreases."""
        while True:
            for name, host in self.fleet.hosts.items():
                current = host.node.configs.version
                self.check(
                    current >= self.generations.get(name, 0),
                    f"node {name} went back to generation {current}",
                )
                self.generations[name] = current
            await asyncio.sleep(0.02)

    def check_runs(self) -> None:
        """Check the commissions against the upstreams' own records.

        None may have run twice, and none that was reported as not run may have run.
        """
        runs = [run for host in self.fleet.hosts.values() for run in host.upstream.runs]
        counts = collections.Counter(run.key for run in runs if run.method == "POST")
        repeated = [key for key, count in counts.items() if count > 1]
        self.check(not repeated, f"commissions ran twice: {repeated}")
        misreported = [key for key in self.stats.not_run if key in counts]
        self.check(
            not misreported, f"commissions reported as not run did run: {misreported}"
        )

    def check(self, holds: bool, text: str) -> None:
        """Record and print a violation unless a condition holds."""
        if not holds:
            self.violations.append(text)
            self.report(f"BROKEN: {text}")

    def summarise(self) -> None:
        """Print the number of calls by result, and whether all checks passed."""
        self.report(f"{self.stats.calls} calls")
        for name, count in self.stats.answers.most_common():
            self.report(f"  {name}: {count}")
        verdict = "all checks passed" if not self.violations else "some checks failed"
        self.report(verdict)


@main.COMMANDS.register("demo")
@click.command()
@click.option(
    "--seconds",
    default=20.0,
    show_default=True,
    help="Approximate duration in seconds.",
)
@click.option("--seed", default=1, show_default=True)
def demo(seconds: float, seed: int) -> None:
    """Run a small fleet under traffic and faults.

    Exit with status 0 if all checks passed, 1 otherwise.
    """
    log.configure("error")
    passed = asyncio.run(Demo(seconds, seed).run())
    sys.exit(0 if passed else 1)
