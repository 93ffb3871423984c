"""Versions: where calls go while a rollout runs, and after it."""

import random

import hypothesis
import msgspec
import pytest
from hypothesis import strategies

from rattanridge.calls import versions
from rattanridge.control import messages, replica, rollouts
from rattanridge.kernel import metrics, presets, settings
from rattanridge.policies import balancers, schedules

CONFIG = settings.NodeSettings(
    name="one", zone="a", platform=["http://127.0.0.1:1"], key="test-secret"
)
SERVICE = "workshop"
ROUTE = presets.Route(prefix="/workshop", service=SERVICE, methods=["GET"])


def make_stage(**fields) -> messages.Stage:
    known = {
        "service": SERVICE,
        "number": 1,
        "version": 1,
        "old": "v1",
        "new": "v2",
        "share": 0.1,
    }
    return messages.Stage(**(known | fields))


def make_versions(*stages: messages.Stage) -> versions.Versions:
    state = replica.Replica(CONFIG, metrics.Counters())
    for stage in stages:
        state.table.merge(stage)
    return versions.Versions(state, random.Random(1))


def make_endpoints(**counts: int) -> list[balancers.Candidate]:
    return [
        balancers.Candidate(f"{version}-{index}", "a", version, "", 12)
        for version, count in counts.items()
        for index in range(count)
    ]


def draw(made: versions.Versions, found, idempotent=True, avoid=frozenset(), **more):
    """Return the fraction of draws that go to each version."""
    kept = [made.keep(SERVICE, found, idempotent, avoid, **more) for _ in range(2000)]
    names = [items[0].version if items else "none" for items in kept]
    return {name: names.count(name) / len(names) for name in set(names)}


class TestStage:
    @pytest.mark.parametrize(
        ("fields", "idempotent", "share"),
        [
            ({"share": 0.25}, True, 0.25),
            ({"share": 0.25}, False, 0.0),
            ({"share": 0.25, "once_share": 0.1}, False, 0.1),
            ({"share": 1.0, "once_share": 1.0}, False, 1.0),
            ({"share": 1.0, "state": "taken-back"}, True, 0.0),
            ({"share": 1.0, "once_share": 1.0, "state": "done"}, False, 1.0),
        ],
    )
    def test_share(self, fields, idempotent, share):
        drawn = draw(
            make_versions(make_stage(**fields)),
            make_endpoints(v1=4, v2=4),
            idempotent,
        )
        assert drawn.get("v2", 0.0) == pytest.approx(share, abs=0.05)

    def test_rare_route_has_its_own_share(self):
        boosts = (schedules.RouteShare(ROUTE.label(), 0.5),)
        made = make_versions(make_stage(share=0.01, boosts=boosts))
        drawn = draw(made, make_endpoints(v1=4, v2=4), route=ROUTE)
        assert drawn["v2"] == pytest.approx(0.5, abs=0.05)

    def test_braked_node_sends_nothing(self):
        made = make_versions(make_stage(share=0.5))
        made.braked = lambda service: True
        assert draw(made, make_endpoints(v1=4, v2=4)) == {"v1": 1.0}

    def test_spread_is_the_same_everywhere(self):
        stage = make_stage(share=1.0, spread=1)
        found = make_endpoints(v2=8)
        ways = [
            make_versions(stage).keep(SERVICE, found[::step], True) for step in (1, -1)
        ]
        assert [item.name for item in ways[0]] == [item.name for item in ways[1]]
        assert len(ways[0]) == 1


class TestLeaving:
    """One of the versions has no endpoints left."""

    @pytest.mark.parametrize("state", ["running", "done"])
    def test_new_version_gone(self, state):
        stage = make_stage(share=1.0, once_share=1.0, state=state)
        assert draw(make_versions(stage), make_endpoints(v1=2)) == {"v1": 1.0}

    def test_old_version_gone(self):
        made = make_versions(make_stage(share=0.01))
        assert draw(made, make_endpoints(v2=2)) == {"v2": 1.0}
        assert draw(made, make_endpoints(v2=2), idempotent=False) == {"none": 1.0}

    def test_taken_back_without_old_refuses(self):
        made = make_versions(make_stage(state="taken-back"))
        assert draw(made, make_endpoints(v2=2)) == {"none": 1.0}


class TestRetry:
    def test_failed_on_new_goes_to_old(self):
        made = make_versions(make_stage(share=0.9))
        avoid = frozenset(["v2-0"])
        assert draw(made, make_endpoints(v1=2, v2=2), avoid=avoid) == {"v1": 1.0}

    @pytest.mark.parametrize("state", ["running", "done"])
    def test_at_full_share_never_to_old(self, state):
        made = make_versions(make_stage(share=1.0, once_share=1.0, state=state))
        found = make_endpoints(v1=4, v2=2)
        avoid = frozenset(["v2-0", "v2-1"])
        assert draw(made, found, avoid=avoid) == {"none": 1.0}


class TestWithoutRollout:
    def test_new_version_waits_for_its_rollout(self):
        assert draw(make_versions(), make_endpoints(v2=2, v1=4)) == {"v1": 1.0}
        assert draw(make_versions(), make_endpoints(v2=2, v1=2)) == {"v1": 1.0}


PLAN = schedules.SCHEDULES.get("staged")().plan(
    schedules.Window(600.0, 60.0, 10.0, endpoints=4)
)


def make_rollout(number: int) -> rollouts.Rollout:
    return rollouts.Rollout(
        service=SERVICE,
        number=number,
        old="v1",
        new="v2",
        plan=PLAN,
        deadline=600.0,
        left=600.0,
        bake=60.0,
        least_hold=10.0,
    )


class TestOrder:
    """Stages of one rollout in every order of arrival, at any node."""

    steps = strategies.lists(
        strategies.sampled_from(["write", "cut", "recall", "trial"]), max_size=14
    )

    def stages(self, steps: list[str]) -> list[messages.Stage]:
        """Return stages as the platform and relays make them, in order."""
        rollout = make_rollout(1)
        made = [rollouts.stage_of(rollout)]
        for step in steps:
            if step == "recall":
                made.append(rollouts.recall(made[-1], "errors"))
            elif step == "cut":
                made.append(rollouts.cut(rollouts.stage_of(rollout)))
            elif rollout.running:
                change = (
                    rollouts.end_trial(rollout)
                    if rollout.trial
                    else rollouts.begin_trial(rollout)
                    if step == "trial" and rollout.baking
                    else rollouts.advance(rollout)
                )
                rollout = change
                made.append(rollouts.stage_of(rollout))
        return made

    @hypothesis.given(steps, strategies.randoms(use_true_random=False))
    def test_share_grows_only_by_a_platform_write(self, steps, rng):
        made = self.stages(steps)
        crossed = made * 2
        rng.shuffle(crossed)
        state = replica.Replica(CONFIG, metrics.Counters())
        before = None
        for stage in crossed:
            state.table.merge(stage)
            now = state.table.records["stage", SERVICE]
            if before is not None:
                for once in (True, False):
                    grown = now.share_for(once, "") > before.share_for(once, "")
                    assert not grown or now.version > before.version
            before = now

    @hypothesis.given(steps, strategies.randoms(use_true_random=False))
    def test_taken_back_is_final_for_its_number(self, steps, rng):
        made = [*self.stages(steps), rollouts.recall(self.stages([])[0], "errors")]
        rng.shuffle(made)
        chosen = make_versions(*made)
        assert draw(chosen, make_endpoints(v1=1, v2=1)) == {"v1": 1.0}
        later = msgspec.structs.replace(made[0], number=2, state="running", share=1.0)
        chosen.state.table.merge(later)
        assert draw(chosen, make_endpoints(v1=1, v2=1)) == {"v2": 1.0}

    @hypothesis.given(
        strategies.integers(1, 4),
        strategies.integers(0, 4),
        strategies.booleans(),
        strategies.sets(strategies.integers(0, 3)),
        strategies.sampled_from(["running", "done"]),
    )
    def test_full_share_never_calls_old_beside_new(
        self, new, old, idempotent, tried, state
    ):
        made = make_versions(make_stage(share=1.0, once_share=1.0, state=state))
        found = make_endpoints(v1=old, v2=new)
        avoid = frozenset(f"v2-{index}" for index in tried)
        kept = made.keep(SERVICE, found, idempotent, avoid)
        assert all(item.version == "v2" for item in kept)
