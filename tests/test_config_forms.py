"""A configuration in every form in which the pages let an operator write it."""

import json

import pytest

from rattanridge.kernel import codes, routes
from rattanridge.platform import configs
from tests import mesh_world


def split_between(first, second):
    """Return a route that is split between two services by these weights."""
    weights = {"registry": first, "workshop": second}
    parts = [configs.WireShare(name, weight) for name, weight in weights.items()]
    return configs.WireRoute("split", "/split/", "safe", split=parts)


def read(*paths):
    """Return the only host's routes of a decoded configuration, by name."""
    found = configs.decode(mesh_world.configuration(2, *paths))
    return {route.name: route for route in found.routes[mesh_world.HOST]}


class TestWeights:
    # Guards against a version with weights that are no whole numbers: every node
    # refused it whole and went on with the one before.
    @pytest.mark.parametrize(
        "weights", [(0.75, 0.25), (75.0, 25), (1e-3, 2e300), (1e308, 1e308)]
    )
    def test_any_number_is_a_weight(self, weights):
        shares = read(split_between(*weights))["split"].shares
        assert tuple(share.weight for share in shares) == weights

    async def test_version_with_fractions_is_in_force(self, world):
        await world.start("registry", "workshop")
        await world.apply(2, split_between(0.75, 0.25))
        served = [await world.call(f"/split/{number}") for number in range(8)]
        assert [status for status, _, _ in served] == [200] * 8
        runs = [len(upstream.runs) for upstream in world.upstreams]
        assert runs == [6, 2]
        assert (await world.call("/lookup/1"))[0] == 404

    # Guards against a rolling upgrade in which the nodes of the version before refuse
    # what this one writes: they read whole weights only.
    def test_whole_weights_are_written_without_fractions(self):
        found = read(split_between(75.0, 0.25))["split"]
        written = json.loads(configs.encode(configuration_of(found)))
        parts = written["VirtualHosts"][0]["Paths"][0]["TrafficSplit"]
        assert [repr(part["Weight"]) for part in parts] == ["75", "0.25"]


class TestRouteWithoutService:
    # Guards against a version refused whole because one of its routes has no service
    # to go to: every node went on with the version before, on all routes.
    @pytest.mark.parametrize(
        "more",
        [
            {},
            {"split": []},
            {"split": [configs.WireShare("registry", 0)]},
            {"split": [configs.WireShare("gone", 0)]},
        ],
    )
    async def test_only_its_own_requests_are_refused(self, world, more):
        await world.start("registry")
        kept = mesh_world.route("kept", "/kept/", "registry")
        wide = mesh_world.route("wide", "/", "registry")
        without = configs.WireRoute("without", "/without/", "safe", **more)
        await world.apply(2, kept, wide, without)
        assert (await world.call("/kept/1"))[0] == 200
        status, found, _ = await world.call("/without/1")
        assert (status, found["Rattanridge-Ran"]) == (503, "not-run")
        assert found["Rattanridge-Code"] == str(codes.NO_SERVICE.number)
        assert float(found["Retry-After"]) >= 0.8


def configuration_of(route):
    services = {share.service: routes.Service(share.service) for share in route.shares}
    return routes.Configuration(1, routes.group_by_host([route]), services)
