"""Command that shows the whole system in one process, in under 30 seconds."""

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
PACE = 0.01  # seconds between calls
STEPS_SECONDS = 17.0  # that the steps take without pauses between them
PAUSES = 3
CRASHER = "cracked-seal"
MOVED = "registry"  # service that gets new versions
DEADLINE = 5.0  # seconds for a good version to take over
LONG_DEADLINE = 60.0  # seconds; the bad version is taken back long before
LIMIT = 20.0  # seconds
SETTLE = 0.8  # seconds after which no call reaches a version that was taken back


@dataclasses.dataclass(slots=True)
class Tally:
    """What callers saw."""

    answers: collections.Counter
    not_run: set[str]
    calls: int = 0


class Demo:
    """Runs the steps, prints what happens, and checks what must always hold.

    :param seconds: about how long the demo runs.
    """

    def __init__(self, seconds: float, seed: int = 1):
        self.seconds = seconds
        self.random = random.Random(seed)
        self.fleet = fleet.Fleet(seed)
        self.tally = Tally(collections.Counter(), set())
        self.broken: list[str] = []
        self.generations: dict[str, int] = {}
        self.began = time.monotonic()
        self.ending = False

    def say(self, text: str) -> None:
        """Tell a person what happens."""
        click.echo(f"{time.monotonic() - self.began:5.1f}s  {text}")

    async def run(self) -> bool:
        """Run all steps; return whether everything watched held."""
        async with self.fleet:
            await self.start()
            watching = asyncio.create_task(self.watch())
            calling = asyncio.create_task(self.send_calls())
            try:
                await self.act()
            finally:
                self.ending = True
                watching.cancel()
                await asyncio.gather(calling, watching, return_exceptions=True)
            self.check_runs()
            self.summarise()
        return not self.broken

    async def start(self) -> None:
        """Start two services in two zones and put the first preset in force."""
        for zone in ZONES:
            for service in SERVICES:
                await self.add(f"{service}-{zone}", zone, service, "v1")
        self.say(f"{len(self.fleet.hosts)} hosts in {len(ZONES)} zones are up")
        await self.choose("ordinary", 5.0)
        await self.fleet.wait_endpoints()

    async def add(self, name: str, zone: str, service: str, version: str) -> fleet.Host:
        """Start one host."""
        return await self.fleet.add(name, zone, upstreams.Shape(service, version))

    async def choose(self, name: str, timeout: float) -> None:
        """Put a preset in force and say how long it took everywhere."""
        preset = fleet.make_preset(name, list(SERVICES), timeout)
        generation = await self.fleet.put_preset(preset)
        seconds = await self.fleet.wait_applied(generation)
        count = len(self.fleet.hosts)
        self.say(
            f"preset {name} is in force, generation {generation}: "
            f"{count} of {count} nodes after {seconds * 1000:.0f} ms"
        )

    async def act(self) -> None:
        """Change things under traffic."""
        pause = max(self.seconds - STEPS_SECONDS, 0.0) / PAUSES
        await asyncio.sleep(pause)
        await self.choose("peak", 2.0)
        await self.complete_version("v2")
        await self.take_back_version("v3")
        await self.kill_upstream()
        await asyncio.sleep(pause)
        await self.drain_upstream()
        await asyncio.sleep(pause)

    async def complete_version(self, version: str) -> None:
        """Let a good version take over."""
        await self.add_version(version, 0.0)
        ended = await self.move(version, DEADLINE)
        self.expect(ended.state == orders.COMPLETED, f"{version} ended as {ended}")
        await asyncio.sleep(SETTLE)
        before = self.count_runs("v1")
        await asyncio.sleep(SETTLE)
        late = self.count_runs("v1") - before
        self.expect(late == 0, f"the old version got {late} calls after the rollout")
        self.say(f"{MOVED} {version} took over in time; v1 gets no call any more")

    async def take_back_version(self, version: str) -> None:
        """Let a bad version be taken back."""
        await self.add_version(version, 1.0)
        ended = await self.move(version, LONG_DEADLINE)
        self.expect(ended.state == orders.ROLLED_BACK, f"{version} ended as {ended}")
        await asyncio.sleep(SETTLE)
        before = self.count_runs(version)
        await asyncio.sleep(SETTLE)
        late = self.count_runs(version) - before
        self.expect(late == 0, f"a version taken back got {late} calls")
        self.say(f"{MOVED} {version} was taken back: {ended.reason}")

    async def add_version(self, version: str, error_rate: float) -> None:
        """Start an endpoint of a version in each zone, beside the old ones."""
        for zone in ZONES:
            host = await self.add(f"{MOVED}-{version}-{zone}", zone, MOVED, version)
            host.upstream.faults.error_rate = error_rate
        await self.fleet.wait_endpoints()

    async def move(self, version: str, deadline: float) -> admin_rollouts.Rollout:
        """Start a rollout; return it once it has ended."""
        node = next(iter(self.fleet.hosts.values())).node
        operations = admin_rollouts.Rollouts(node)
        await operations.start(
            MOVED, admin_rollouts.Start(new=version, deadline=deadline)
        )
        self.say(f"rollout of {MOVED} to {version} started")
        async with asyncio.timeout(LIMIT):
            while True:
                found = await operations.show(MOVED)
                if found.state != orders.RUNNING:
                    return found
                await asyncio.sleep(0.1)

    def count_runs(self, version: str) -> int:
        """Return the calls that a version of the moved service got."""
        return sum(
            len(host.upstream.runs)
            for host in self.fleet.hosts.values()
            if host.upstream.shape.service == MOVED
            and host.upstream.shape.version == version
        )

    async def kill_upstream(self) -> None:
        """Let one upstream die while it runs a request."""
        host = self.fleet.hosts[f"workshop-{ZONES[0]}"]
        host.upstream.faults.crash_on = CRASHER
        url = f"http://{host.node.config.listen.callers}"
        async with aiohttp.ClientSession() as session:
            while not host.upstream.crashed.is_set():
                await self.call(session, url, "POST", "workshop", CRASHER)
        self.say("one workshop upstream died while running a commission")

    async def drain_upstream(self) -> None:
        """Let one upstream leave as planned, while another one serves."""
        host = self.fleet.hosts[f"{MOVED}-v2-{ZONES[1]}"]
        await host.upstream.drain()
        await asyncio.sleep(1.0)
        before = len(host.upstream.runs)
        await asyncio.sleep(1.0)
        late = len(host.upstream.runs) - before
        self.expect(late == 0, f"a leaving upstream got {late} calls")
        self.say(f"one {MOVED} upstream drained and gets no new work")

    async def send_calls(self) -> None:
        """Send consultations and commissions to random nodes."""
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
                await asyncio.sleep(PACE)
            await asyncio.gather(*tasks)

    async def call(
        self,
        session: aiohttp.ClientSession,
        url: str,
        method: str,
        service: str,
        key: str,
    ) -> None:
        """Send one call and check that its answer is its own and whole."""
        self.tally.calls += 1
        marks = {upstreams.KEY: key} if method == "POST" else {}
        async with session.request(
            method, f"{url}/{service}/{key}", headers=marks
        ) as response:
            text = await response.text()
        number = response.headers.get(headers.CODE)
        if number is None and response.status >= 500:
            self.tally.answers["failed upstream"] += 1
            return
        if number is None:
            self.tally.answers["answered"] += 1
            self.expect(f"/{service}/{key}" in text, f"{key} got another's answer")
            return
        name = codes.TABLE[int(number)].name
        self.tally.answers[name] += 1
        if (
            response.headers[headers.RAN] == codes.Execution.NOT_RUN
            and method == "POST"
        ):
            self.tally.not_run.add(key)

    async def watch(self) -> None:
        """Check that no node's generation ever falls."""
        while True:
            for name, host in self.fleet.hosts.items():
                now = host.node.configs.version
                self.expect(
                    now >= self.generations.get(name, 0), f"{name} fell back to {now}"
                )
                self.generations[name] = now
            await asyncio.sleep(0.02)

    def check_runs(self) -> None:
        """Count commissions where they ran: none twice, none said not to have run."""
        runs = [run for host in self.fleet.hosts.values() for run in host.upstream.runs]
        counts = collections.Counter(run.key for run in runs if run.method == "POST")
        twice = [key for key, count in counts.items() if count > 1]
        self.expect(not twice, f"commissions ran twice: {twice}")
        false = [key for key in self.tally.not_run if key in counts]
        self.expect(not false, f"false 'not run': {false}")

    def expect(self, holds: bool, text: str) -> None:
        """Note what does not hold."""
        if not holds:
            self.broken.append(text)
            self.say(f"BROKEN: {text}")

    def summarise(self) -> None:
        """Print what callers saw."""
        self.say(f"{self.tally.calls} calls")
        for name, count in self.tally.answers.most_common():
            self.say(f"  {name}: {count}")
        held = "everything watched held" if not self.broken else "something broke"
        self.say(held)


@main.COMMANDS.register("demo")
@click.command()
@click.option(
    "--seconds", default=20.0, show_default=True, help="About how long it runs."
)
@click.option("--seed", default=1, show_default=True)
def demo(seconds: float, seed: int) -> None:
    """Run a small fleet under traffic and faults; exit 0 if all held."""
    log.configure("error")
    held = asyncio.run(Demo(seconds, seed).run())
    sys.exit(0 if held else 1)
