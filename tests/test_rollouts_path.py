"""Rollouts over the whole path, on real sockets, in one process."""

import asyncio
import contextlib

import aiohttp
import pytest
from click import testing

from rattanridge.admin import rollouts as admin_rollouts
from rattanridge.calls import headers
from rattanridge.cli import main
from rattanridge.control import messages
from rattanridge.kernel import codes, settings
from rattanridge.measure import fleet
from rattanridge.standin import upstream as upstreams

TIMES = settings.RolloutSettings(least_hold=0.2, warmup=0.01, keep_progress=0.1)
FLIGHT = 0.3  # seconds for a call that was on its way
CONTROL = settings.ControlSettings(report_interval=0.1, lease_term=2.0)


@pytest.fixture
async def running():
    """Two versions of one service side by side, and a node without upstream."""
    async with fleet.Fleet(control=CONTROL) as made:
        more = {"rollouts": TIMES}
        for number in (1, 2):
            for version in ("v1", "v2"):
                shape = upstreams.Shape("workshop", version, work=0.0)
                await made.add(f"{version}-{number}", f"zone-{number}", shape, **more)
        await made.add("entry", "zone-1", **more)
        generation = await made.put_preset(fleet.make_preset("day", ["workshop"]))
        await made.wait_applied(generation)
        await made.wait_endpoints()
        yield made


@contextlib.asynccontextmanager
async def calling(made: fleet.Fleet):
    """Send calls through every node; yield the codes of refusals."""
    broken: list[str] = []
    task = asyncio.create_task(send(made, broken))
    try:
        yield broken
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


async def send(made: fleet.Fleet, broken: list[str]) -> None:
    number = 0
    timeout = aiohttp.ClientTimeout(total=20.0)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        while True:
            for host in list(made.hosts.values()):
                number += 1
                method = "POST" if number % 3 == 0 else "GET"
                url = f"{host.node.caller_url}/workshop/{number}"
                async with session.request(method, url) as response:
                    await response.read()
                    if headers.CODE in response.headers:
                        broken.append(response.headers[headers.CODE])
            await asyncio.sleep(0.001)


def admin_of(made: fleet.Fleet) -> admin_rollouts.Rollouts:
    node = made.hosts["entry"].node
    return admin_rollouts.Rollouts(node.config, node.platform, node.state)


def stages(made: fleet.Fleet) -> list[messages.Stage]:
    found = [
        host.node.state.table.records.get(("stage", "workshop"))
        for host in made.hosts.values()
    ]
    return [stage for stage in found if stage is not None]


async def wait_state(made: fleet.Fleet, state: str) -> None:
    await made.wait(
        lambda: (
            len(stages(made)) == len(made.hosts)
            and {stage.state for stage in stages(made)} == {state}
        ),
        60.0,
    )


def runs(made: fleet.Fleet, version: str) -> int:
    return sum(
        len(host.upstream.runs)
        for host in made.hosts.values()
        if host.upstream and host.upstream.shape.version == version
    )


class TestRollout:
    async def test_good_version_takes_over(self, running):
        assert runs(running, "v2") == 0
        asked = admin_rollouts.Start(old="v1", new="v2", deadline=8.0, bake=0.5)
        async with calling(running) as broken:
            await admin_of(running).start("workshop", asked, "olga")
            await wait_state(running, "done")
            await asyncio.sleep(FLIGHT)
            before = runs(running, "v1")
            await asyncio.sleep(FLIGHT)
            assert runs(running, "v1") == before
        assert runs(running, "v2") > 0
        assert not broken
        shown = await admin_of(running).show("workshop")
        assert shown.state == "done"

    async def test_bad_version_is_taken_back(self, running):
        for name in ("v2-1", "v2-2"):
            running.hosts[name].upstream.faults.error_rate = 1.0
        asked = admin_rollouts.Start(old="v1", new="v2", deadline=30.0)
        async with calling(running):
            await admin_of(running).start("workshop", asked, "olga")
            await wait_state(running, "taken-back")
            await asyncio.sleep(FLIGHT)
            before = runs(running, "v2")
            await asyncio.sleep(FLIGHT)
            assert runs(running, "v2") == before
        await running.wait(
            lambda: (
                b"taken-back"
                in bytes(running.platform.store.objects["rollouts/workshop"].value)
            )
        )

    async def test_racing_operators_get_one_rollout(self, running):
        asked = admin_rollouts.Start(old="v1", new="v2", deadline=600.0)
        both = [admin_of(running).start("workshop", asked, name) for name in "ab"]
        results = await asyncio.gather(*both, return_exceptions=True)
        (lost,) = [item for item in results if isinstance(item, codes.Failure)]
        assert lost.code is codes.ROLLOUT_RUNNING
        await admin_of(running).cancel("workshop", "olga")
        again = await admin_of(running).start("workshop", asked, "olga")
        assert again.number == 2


class TestCommands:
    async def run(self, running, *words: str):
        """Run the command line against the administration API."""
        url = running.hosts["entry"].node.admin_url
        options = ["--admin", url, "--token", fleet.TOKENS[0].secret]
        runner = testing.CliRunner()
        command = ["rollout", *words, *options]
        return await asyncio.to_thread(runner.invoke, main.main, command)

    async def test_start_list_show_cancel_watch(self, running):
        start = ("start", "workshop", "--from", "v1", "--to", "v2", "--deadline")
        refused = await self.run(running, *start, "1s")
        assert refused.exit_code == 2
        assert str(codes.ROLLOUT_DEADLINE.number) in refused.output
        started = await self.run(running, *start, "1h")
        assert started.exit_code == 0
        assert "rollout 1 of workshop v1 -> v2: running" in started.output
        listed = await self.run(running, "list")
        assert "step 1 of 8 share 1%" in listed.output
        shown = await self.run(running, "show", "workshop")
        assert len(shown.output.splitlines()) == 9
        again = await self.run(running, *start, "1h")
        assert str(codes.ROLLOUT_RUNNING.number) in again.output
        cancelled = await self.run(running, "cancel", "workshop")
        assert "taken-back: cancelled by olga" in cancelled.output
        watched = await self.run(running, "watch", "workshop")
        assert watched.exit_code == 3
        missing = await self.run(running, "show", "nothing")
        assert str(codes.ROLLOUT_MISSING.number) in missing.output
