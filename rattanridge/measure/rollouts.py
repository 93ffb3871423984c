"""``rollouts``: good versions completed in time, bad ones taken back."""

import asyncio
import collections.abc
import dataclasses
import random
import time

import aiohttp
import msgspec

from rattanridge import policies
from rattanridge.admin import rollouts as admin_rollouts
from rattanridge.control import messages, rollouts
from rattanridge.kernel import registry, settings
from rattanridge.measure import (
    base,
    fleet,
    rollout_cases,
    rollout_cost,
    rollout_model,
)
from rattanridge.standin import platform as platforms, upstream as upstreams

SECONDS = 34.0
ROUNDS = 7
OURS = ("mixture", "staged")
BASELINES = {
    "fixed_steps": ("fixed-threshold", "fixed-steps"),
    "immediate": ("fixed-threshold", "immediate"),
}
OTHER_VERDICTS = ("fixed-threshold", "sprt", "bayesian")
# Where verdicts differ: noise, overload and few samples.
HARD = (
    "shared_overload",
    "noisy_latency",
    "low_traffic",
    "rare_route",
    "one_percent",
    "slow_at_once",
)
FROM_START = ("errors_at_once", "slow_at_once", "rare_route", "one_percent", "crashes")
PARTS = {"ours": 0.5, "baselines": 0.68, "verdicts": 0.8}  # of the time, summed up
TARGET = {
    "good_in_time_percent": 99.0,
    "bad_taken_back_percent": 99.0,
    "reached_if_bad_from_start_percent": 1.0,
    "last_call_after_verdict_s": 2.0,
    "last_call_after_verdict_platform_down_s": 2.0,
}

SERVICE = "workshop"
TIMES = settings.RolloutSettings(least_hold=0.3, warmup=0.1, keep_progress=0.5)
LIMIT = 25.0  # seconds
PACE = 0.01  # seconds between rounds of calls
SETTLE = 2.5  # seconds watched after a verdict


@dataclasses.dataclass(slots=True)
class Group:
    """Outcomes of one scenario over the deployments.

    :param in_time: runs that ended as done before the deadline.
    """

    scenario: rollout_cases.Scenario
    outcomes: list[rollout_model.Outcome] = dataclasses.field(default_factory=list)
    in_time: int = 0

    def count(self, state: str) -> int:
        return sum(outcome.state == state for outcome in self.outcomes)

    def reached(self) -> list[float]:
        """Return the percentage of the service's calls that the new one got."""
        return [100.0 * item.reached / item.calls for item in self.outcomes]

    def mean(self, name: str) -> float:
        return sum(getattr(item, name) for item in self.outcomes) / len(self.outcomes)


Groups = dict[str, Group]


@base.EXPERIMENTS.register("rollouts")
def measure(parameters: base.Parameters) -> base.Result:
    """Sample rollouts in virtual time, then time two take-backs on real sockets."""
    registry.load_plugins(policies)
    seconds = parameters.seconds or SECONDS
    rounds = parameters.size or ROUNDS
    began = time.monotonic()
    figures: dict[str, float | int | str] = {}
    ours = sample(parameters.seed, OURS, rounds, began + PARTS["ours"] * seconds)
    add_figures(figures, ours)
    end = began + PARTS["baselines"] * seconds
    for name, (verdict, schedule) in BASELINES.items():
        base.progress(f"rollouts: baseline {name}")
        sampled = sample(parameters.seed, (verdict, schedule), 2, end)
        add_summary(figures, f"baseline_{name}", sampled)
    end = began + PARTS["verdicts"] * seconds
    hard = {name: group for name, group in ours.items() if name in HARD}
    add_summary(figures, "verdict_mixture", hard)
    for verdict in OTHER_VERDICTS:
        base.progress(f"rollouts: verdict {verdict}")
        sampled = sample(parameters.seed, (verdict, "staged"), 1, end, HARD)
        add_summary(figures, f"verdict_{verdict}", sampled)
    figures |= rollout_cost.measure_cost(parameters.seed)
    figures |= asyncio.run(time_take_backs(parameters.seed))
    runs = sum(len(group.outcomes) for group in ours.values())
    return base.Result(
        "rollouts", parameters.seed, runs, figures, TARGET, meets(figures)
    )


def meets(figures: dict[str, float | int | str]) -> bool:
    """Whether every target is met; those of rates are lower bounds."""
    for name, target in TARGET.items():
        value = figures[name]
        lower = name.startswith(("good", "bad"))
        if (value < target) if lower else (value > target):
            return False
    return True


def sample(
    seed: int,
    policy: tuple[str, str],
    rounds: int,
    end: float,
    only: collections.abc.Container[str] | None = None,
) -> Groups:
    """Run every scenario in every deployment, round by round until ``end``."""
    groups = {
        scenario.name: Group(scenario)
        for scenario in rollout_cases.SCENARIOS
        if only is None or scenario.name in only
    }
    for number in range(rounds):
        if number and time.monotonic() > end:
            break
        base.progress(f"rollouts: {'/'.join(policy)} round {number + 1}")
        for group in groups.values():
            for deployment in rollout_cases.DEPLOYMENTS:
                name = f"{seed}/{number}/{deployment.name}/{group.scenario.name}"
                rng = random.Random(name)
                run = rollout_model.Run(deployment, group.scenario, *policy, rng)
                outcome = run.run()
                group.outcomes.append(outcome)
                done = outcome.state == rollouts.DONE
                group.in_time += done and outcome.at <= deployment.window
    return groups


def add_figures(figures: dict[str, float | int | str], groups: Groups) -> None:
    """Add sums, and figures of each scenario."""
    add_summary(figures, "", groups)
    started_bad = [value for name in FROM_START for value in groups[name].reached()]
    mean = sum(started_bad) / len(started_bad)
    figures["reached_if_bad_from_start_percent"] = round(mean, 3)
    under = sum(value < 1.0 for value in started_bad)
    figures["runs_under_1_percent"] = f"{under}/{len(started_bad)}"
    for name, group in groups.items():
        count = len(group.outcomes)
        if not group.scenario.bad:
            figures[f"{name}_in_time"] = f"{group.in_time}/{count}"
            continue
        figures[f"{name}_taken_back"] = f"{group.count(rollouts.TAKEN_BACK)}/{count}"
        reached = group.reached()
        figures[f"{name}_reached_percent_mean"] = round(sum(reached) / count, 3)
        figures[f"{name}_reached_percent_max"] = round(max(reached), 3)
        figures[f"{name}_payments_reached_mean"] = round(group.mean("once_reached"), 1)
        figures[f"{name}_calls_2s_after_fault_mean"] = round(group.mean("after"), 1)
        peak = max(outcome.peak for outcome in group.outcomes)
        figures[f"{name}_peak_share"] = round(peak, 3)


def add_summary(
    figures: dict[str, float | int | str], prefix: str, groups: Groups
) -> None:
    """Add the rates of good versions in time and of bad ones taken back."""
    good = [group for group in groups.values() if not group.scenario.bad]
    bad = [group for group in groups.values() if group.scenario.bad]
    start = f"{prefix}_" if prefix else ""
    total = sum(len(group.outcomes) for group in good)
    figures[f"{start}good_runs"] = total
    in_time = sum(group.in_time for group in good)
    figures[f"{start}good_in_time_percent"] = round(100.0 * in_time / total, 2)
    figures[f"{start}false_take_backs"] = sum(
        group.count(rollouts.TAKEN_BACK) for group in good
    )
    total = sum(len(group.outcomes) for group in bad)
    figures[f"{start}bad_runs"] = total
    taken = sum(group.count(rollouts.TAKEN_BACK) for group in bad)
    figures[f"{start}bad_taken_back_percent"] = round(100.0 * taken / total, 2)
    reached = [value for group in bad for value in group.reached()]
    figures[f"{start}bad_reached_percent_mean"] = round(sum(reached) / total, 3)


async def time_take_backs(seed: int) -> dict[str, float]:
    """Return the seconds from a verdict to the last call of the bad version."""
    base.progress("rollouts: take-backs on real sockets")
    return {
        "last_call_after_verdict_s": await time_take_back(seed, down=False),
        "last_call_after_verdict_platform_down_s": await time_take_back(
            seed, down=True
        ),
    }


async def time_take_back(seed: int, down: bool) -> float:
    """Take a bad version back in a small fleet.

    :param down: whether the platform is down from the start of the fault.
    """
    async with fleet.Fleet(seed) as running:
        for zone in ("zone-a", "zone-b"):
            for version in ("v1", "v2"):
                shape = upstreams.Shape(SERVICE, version, work=0.002)
                await running.add(f"{version}-{zone}", zone, shape, rollouts=TIMES)
        generation = await running.put_preset(fleet.make_preset("day", [SERVICE]))
        await running.wait_applied(generation)
        await running.wait_endpoints()
        watcher = Watcher(running)
        calling = asyncio.create_task(watcher.send())
        try:
            await start(running)
            await asyncio.sleep(TIMES.least_hold * 2)
            if down:
                running.platform.faults = platforms.Faults(down=True)
            for host in running.hosts.values():
                if host.upstream.shape.version == "v2":
                    host.upstream.faults.error_rate = 1.0
            await running.wait(lambda: watcher.found > 0.0, LIMIT)
            await asyncio.sleep(SETTLE)
        finally:
            calling.cancel()
            await asyncio.gather(calling, return_exceptions=True)
        return round(max(watcher.last - watcher.found, 0.0), 3)


async def start(running: fleet.Fleet) -> None:
    """Start a rollout that sends a fifth of the calls to the new version."""
    node = next(iter(running.hosts.values())).node
    operations = admin_rollouts.Rollouts(node.config, node.platform, node.state)
    asked = admin_rollouts.Start(old="v1", new="v2", deadline=600.0)
    made = operations.make(SERVICE, asked, "olga", None)
    made.plan[0] = msgspec.structs.replace(made.plan[0], share=0.2)
    await node.platform.put(rollouts.key_of(SERVICE), made, 0)


class Watcher:
    """Sends calls and notes the verdict and the bad version's last call.

    :param running: the fleet.
    """

    def __init__(self, running: fleet.Fleet):
        self.fleet = running
        self.found = 0.0
        self.last = 0.0
        self.runs = 0
        for host in running.hosts.values():
            host.node.state.table.listeners.append(self.see)

    def see(self, record: messages.Record) -> None:
        stage = isinstance(record, messages.Stage)
        if stage and record.state == rollouts.TAKEN_BACK and not self.found:
            self.found = time.monotonic()

    async def send(self) -> None:
        """Send calls through every node until cancelled."""
        hosts = list(self.fleet.hosts.values())
        async with aiohttp.ClientSession() as session:
            while True:
                for host in hosts:
                    url = f"{host.node.caller_url}/{SERVICE}/crest"
                    async with session.get(url) as response:
                        await response.read()
                    self.count()
                await asyncio.sleep(PACE)

    def count(self) -> None:
        runs = sum(
            len(host.upstream.runs)
            for host in self.fleet.hosts.values()
            if host.upstream.shape.version == "v2"
        )
        if runs > self.runs:
            self.runs = runs
            self.last = time.monotonic()
