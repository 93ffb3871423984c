"""Status reports, and the wait until all nodes apply a generation."""

import msgspec
import pytest

from rattanridge.admin import status
from rattanridge.cli import preset, status as commands
from rattanridge.kernel import codes
from rattanridge.mesh import configs
from rattanridge.standin import fleet, upstream as upstreams

REASON = "revision 9: error 1004 missing-service"


def make_report(states):
    report = status.Report(platform="up", node="one", node_generation=2)
    status.add_node_states(report, states)
    return report


class TestReport:
    def test_lagging_nodes_are_listed_with_reasons(self):
        report = make_report(
            {
                "good": configs.State(2),
                "late": configs.State(1),
                "refuses": configs.State(1, REASON),
                "dead": None,
            }
        )
        assert (report.nodes, report.generation) == (4, 2)
        assert report.applied == {"1": 2, "2": 1}
        lagging = {item.node: item.code for item in report.behind}
        assert lagging == {"late": 0, "refuses": 0, "dead": codes.NODE_LOST.number}
        lines = commands.format_report(msgspec.to_builtins(report))
        assert any("1 of 4 apply generation 2" in line for line in lines)
        assert any(f"by 1 nodes: {REASON}" in line for line in lines)
        assert any(line.startswith("behind     dead") for line in lines)

    def test_many_lagging_nodes_are_counted(self):
        states = {f"n{number}": configs.State(1) for number in range(30)}
        states["first"] = configs.State(2)
        lines = commands.format_report(msgspec.to_builtins(make_report(states)))
        assert any("and 20 more nodes" in line for line in lines)


class TestFleet:
    async def test_report_has_preset_nodes_and_endpoints(self):
        async with fleet.Fleet() as running:
            for name in ("one", "two"):
                await running.add(name, "a", upstreams.Shape("workshop"))
            generation = await running.put_preset(fleet.make_preset("d", ["workshop"]))
            await running.wait_applied(generation)
            await running.wait_endpoints()
            node = running.hosts["one"].node
            report = await status.StatusCollector(node).collect()
            assert report.applied == {"1": 2}
            assert (report.preset, report.revision, report.operator) == ("d", 1, "olga")
            assert report.endpoints == {"workshop v1 ready": 2}
            assert not report.behind

    async def test_lost_node_and_unavailable_store(self):
        async with fleet.Fleet() as running:
            for name in ("one", "two"):
                await running.add(name, "a", upstreams.Shape("workshop"))
            await running.wait_endpoints()
            await running.remove("two")
            running.store.faults.down = True
            report = await status.StatusCollector(running.hosts["one"].node).collect()
            assert str(codes.PLATFORM_BUSY.number) in report.platform
            assert [item.node for item in report.behind] == ["two"]


class FakeClient:
    """Stand-in of ``remote.AdminClient`` that returns the given reports in turn."""

    def __init__(self, *reports):
        self.reports = list(reports)

    def call(self, method, path):
        return msgspec.to_builtins(self.reports.pop(0))


class TestWait:
    def test_waits_until_every_node_applies_it(self, monkeypatch):
        monkeypatch.setattr(preset, "POLL_INTERVAL", 0.0)
        early = make_report({"a": configs.State(1), "b": configs.State(2)})
        late = make_report({"a": configs.State(2), "b": configs.State(3)})
        client = FakeClient(early, late)
        end = float("inf")
        assert preset.wait_until_applied(client, 2, end) == 2
        assert not client.reports

    @pytest.mark.parametrize(
        "states", [{"a": None}, {"a": configs.State(1, REASON), "b": configs.State(2)}]
    )
    def test_failure_gives_the_reason(self, states):
        client = FakeClient(make_report(states))
        with pytest.raises(codes.Failure) as caught:
            preset.wait_until_applied(client, 2, 0.0)
        assert caught.value.code is codes.NOT_IN_FORCE
        assert "a (" in caught.value.detail or REASON in caught.value.detail
