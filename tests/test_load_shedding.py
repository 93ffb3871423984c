"""Urgent requests against the calls of less urgent ones, under overload."""

import asyncio

import pytest

from rattanridge.kernel import codes
from rattanridge.mesh import hop_headers
from rattanridge.policies import load_shedding
from tests import mesh_world, overload, virtual_time


def run_model(slots, load, with_shedding=True):
    model = overload.Model(slots, load, with_shedding)
    virtual_time.run(model.run())
    return model


class TestOverload:
    """Browsing is less urgent than orders, and calls the service that takes them."""

    # Guards against: calls of browsing took the slots of a service that had lost half
    # its endpoints, and half of the more urgent orders were refused.
    @pytest.mark.parametrize(("slots", "load"), [(20, 0.8), (20, 1.3), (39, 1.6)])
    def test_urgent_requests_are_served_as_often_as_others(self, slots, load):
        model = run_model(slots, load)
        assert model.served_share("order") >= model.served_share("browse") - 0.05

    @pytest.mark.parametrize(("slots", "load"), [(20, 0.8), (20, 1.3), (39, 1.6)])
    def test_less_urgent_requests_are_not_starved(self, slots, load):
        model = run_model(slots, load)
        assert model.served_share("browse") >= 0.25

    def test_no_started_work_is_lost(self):
        model = run_model(20, 1.0)
        assert model.wasted <= 0.01 * model.offered["browse"]

    def test_nothing_is_refused_without_overload(self):
        model = run_model(39, 0.8)
        assert model.served == model.offered

    def test_the_load_of_this_model_needs_the_policy(self):
        model = run_model(20, 0.8, with_shedding=False)
        assert model.served_share("order") < model.served_share("browse") - 0.2


class TestRefusedShares:
    def test_counts_requests_of_a_rank_and_more_urgent_ones(self):
        shares = load_shedding.RefusedShares()
        for _ in range(10):
            shares.record(1, True, 0.0)
            shares.record(2, False, 0.0)
        assert shares.shares(0.0) == {1: 1.0, 2: 0.5}

    # Guards against: parents are started whose nested calls are all refused, and
    # refusals of nested calls hide that urgent requests are served.
    def test_nested_calls_count_apart(self):
        shares = load_shedding.RefusedShares()
        for _ in range(10):
            shares.record(load_shedding.NESTED, True, 0.0)
            shares.record(0, False, 0.0)
        assert shares.shares(0.0) == {load_shedding.NESTED: 1.0}
        dependencies = load_shedding.Dependencies()
        dependencies.record_call("browse", "orders")
        dependencies.record_shares("orders", shares.shares(0.0), 0.0)
        assert dependencies.refused_share("browse", 0, 0.0) > 0.0

    def test_old_decisions_are_forgotten(self):
        shares = load_shedding.RefusedShares()
        for _ in range(10):
            shares.record(1, True, 0.0)
        assert shares.shares(5.0) == {}


class TestDependencies:
    def make(self, share=0.5):
        dependencies = load_shedding.Dependencies()
        dependencies.record_call("browse", "orders")
        for _ in range(50):
            dependencies.record_shares("orders", {1: share}, 0.0)
        return dependencies

    @pytest.mark.parametrize(
        ("route", "rank", "expected"),
        [("browse", 2, 0.5), ("browse", 1, 0.0), ("other", 2, 0.0)],
    )
    def test_only_less_urgent_requests_of_calling_routes(self, route, rank, expected):
        found = self.make().refused_share(route, rank, 0.0)
        assert found == pytest.approx(expected, abs=0.01)

    def test_fades_without_reports(self):
        assert self.make().refused_share("browse", 2, 10.0) == 0.0

    def test_some_requests_always_go_on(self):
        share = self.make(1.0).refused_share("browse", 2, 0.0)
        assert share == load_shedding.MAX_SHARE

    def test_routes_are_bounded(self):
        dependencies = load_shedding.Dependencies()
        for number in range(2 * load_shedding.MAX_ROUTES):
            dependencies.record_call(f"r{number}", "orders")
        assert len(dependencies.services) <= load_shedding.MAX_ROUTES


class TestNode:
    @pytest.mark.parametrize("shares", [{}, {0: 0.12, 2: 0.4}, {-1: 0.3}])
    def test_shares_travel_in_a_header(self, shares):
        text = hop_headers.encode_shares(shares)
        assert hop_headers.decode_shares(text) == shares

    @pytest.mark.parametrize("text", ["", "x", "1", "1=", "1=2=3", "=5"])
    def test_unreadable_shares_are_ignored(self, text):
        assert hop_headers.decode_shares(text) == {}

    async def test_refusal_is_final_and_says_that_nothing_ran(self, world):
        """No other endpoint is tried: each would refuse as many."""
        paths = (mesh_world.route("lookup", "/lookup/", "registry", priority=2),)
        await world.start("registry", "registry", paths=paths)
        now = asyncio.get_running_loop().time()
        for node in world.nodes:
            node.exit.dependencies.random.random = lambda: 0.0
            node.exit.dependencies.record_call("lookup", "workshop")
            node.exit.dependencies.record_shares("workshop", {0: 1.0}, now)
        status, answer_headers, _ = await world.call("/lookup/1")
        assert (status, answer_headers["Rattanridge-Ran"]) == (503, "not-run")
        assert answer_headers["Rattanridge-Code"] == str(codes.CALLS_OVERLOADED.number)
        refused = sum(
            node.meters.refusals.labels("calls-overloaded")._value.get()
            for node in world.nodes
        )
        assert refused == 1

    async def test_a_full_queue_is_reported_with_answers(self, world):
        await world.start("workshop", "registry")
        now = asyncio.get_running_loop().time()
        for _ in range(20):
            world.nodes[1].exit.refused_shares.record(0, True, now)
        assert (await world.call("/lookup/1"))[0] == 200
        reports = world.nodes[0].exit.dependencies.reports["registry"]
        assert reports[0].share > 0
