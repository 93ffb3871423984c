"""Status: who applies what, who does not, and why; and waiting for all."""

import msgspec
import pytest

from rattanridge.admin import status
from rattanridge.cli import preset, status as commands
from rattanridge.control import messages, source, zone as zones
from rattanridge.kernel import clock, codes
from rattanridge.objectapi import objects
from rattanridge.standin import store as stores
from tests import fakes

WHY = messages.Rejection(2, 1004, "presets/day/00000002: error 1004 missing-service")


@pytest.fixture
def platform():
    return fakes.Platform(stores.Store(), clock.ManualClock())


async def collect(platform, *zone_statuses):
    await platform.put(source.POINTER, objects.InForce(2, "day", 2, "olga"), 0)
    for number, nodes in enumerate(zone_statuses):
        told = zones.ZoneStatus(f"r{number}", nodes)
        await platform.put(f"status/a/{number}", told, 0)
    state = fakes.make_replica()
    return await status.Status(state.config, platform, state).collect()


class TestReport:
    async def test_those_behind_are_named_with_the_reason(self, platform):
        nodes = {
            "good": messages.NodeState(2),
            "late": messages.NodeState(1),
            "refuses": messages.NodeState(1, WHY),
            "dead": messages.NodeState(1, lost_at=5.0),
        }
        report = await collect(platform, nodes)
        assert report.nodes == 5
        assert report.applied == {"0": 1, "1": 3, "2": 1}
        told = {item.node: item.code for item in report.behind}
        lost = codes.NODE_LOST.number
        assert told == {"one": 0, "late": 0, "refuses": 1004, "dead": lost}
        lines = commands.format_report(msgspec.to_builtins(report))
        assert any("1 of 5 apply generation 2" in line for line in lines)
        assert any("generation 2 by 1 nodes: presets/day" in line for line in lines)
        assert any(line.startswith("behind     dead") for line in lines)

    async def test_node_that_moved_counts_once(self, platform):
        """The relay that it left may have died with an old object."""
        before = {"moved": messages.NodeState(1), "left": messages.NodeState(2)}
        before["left"] = messages.NodeState(2, lost_at=9.0)
        after = {"moved": messages.NodeState(2), "left": messages.NodeState(2)}
        report = await collect(platform, before, after)
        assert report.applied == {"0": 1, "2": 2}

    async def test_platform_down_is_said(self, platform):
        platform.plan = ["down"]
        state = fakes.make_replica()
        report = await status.Status(state.config, platform, state).collect()
        assert "2001" in report.platform


class Remote:
    """Answers with one report after the other."""

    def __init__(self, *reports):
        self.reports = list(reports)

    def call(self, method, path):
        return msgspec.to_builtins(self.reports.pop(0))


def make_report(applied, behind=(), rejected=None):
    return status.Report(
        platform="up",
        node="one",
        node_generation=2,
        preset="day",
        revision=1,
        nodes=sum(applied.values()),
        applied=applied,
        behind=list(behind),
        rejected=rejected or {},
    )


class TestWait:
    END = float("inf")

    def test_returns_when_all_apply(self):
        remote = Remote(make_report({"1": 2, "2": 1}), make_report({"2": 3}))
        assert preset.wait_until_applied(remote, 2, self.END) == 3

    def test_former_rejection_does_not_end_the_wait(self):
        old = {"two": messages.Rejection(1, 1004, "old")}
        remote = Remote(make_report({"1": 1}, rejected=old), make_report({"2": 1}))
        assert preset.wait_until_applied(remote, 2, self.END) == 1

    @pytest.mark.parametrize(
        ("rejected", "end"), [({"two": WHY}, float("inf")), ({}, float("-inf"))]
    )
    def test_names_who_lacks_it(self, rejected, end):
        behind = [status.Behind("two", 1, 1004, "no service")]
        remote = Remote(make_report({"1": 1, "2": 1}, behind, rejected))
        with pytest.raises(codes.Failure) as caught:
            preset.wait_until_applied(remote, 2, end)
        assert caught.value.code is codes.NOT_IN_FORCE
        assert "1 of 2 nodes: two (1004 no service)" in caught.value.detail
