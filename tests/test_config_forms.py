"""A configuration in every form in which the pages let an operator write it."""

import copy
import dataclasses
import json
import logging

import pytest

from rattanridge.kernel import codes, routes
from rattanridge.platform import config_wire, configs
from tests import mesh_world


def split_between(first, second):
    """Return a route that is split between two services by these weights."""
    weights = {"registry": first, "workshop": second}
    parts = [config_wire.WireShare(name, weight) for name, weight in weights.items()]
    return config_wire.WireRoute("split", "/split/", "safe", split=parts)


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


def configuration_of(route):
    services = {share.service: routes.Service(share.service) for share in route.shares}
    return routes.Configuration(1, routes.group_by_host([route]), services)


FULL = {
    "Version": "0000000c",
    "VirtualHosts": [
        {
            "Host": "h",
            "Paths": [
                {
                    "Name": "r",
                    "PathPrefix": "/a/",
                    "Kind": "safe",
                    "Priority": 1,
                    "TimeoutMs": 1000,
                    "TargetLatencyMs": 300,
                    "MaxAttempts": 2,
                    "Service": "s",
                    "Public": True,
                },
                {
                    "Name": "split",
                    "PathPrefix": "/b/",
                    "Kind": "unsafe",
                    "TrafficSplit": [
                        {"Service": "s", "Weight": 3},
                        {"Service": "t", "Weight": 1},
                    ],
                },
            ],
        }
    ],
    "Services": [
        {
            "Name": "s",
            "HealthPath": "/h",
            "MaxConnections": 110,
            "ColdStartS": 3,
            "ColdPerS": 2,
        },
        {"Name": "t"},
    ],
    "Limits": {
        "MaxHeaderBytes": 20_000,
        "MaxBodyBytes": 1_000_000,
        "HeaderTimeoutMs": 3_500,
        "IdleTimeoutMs": 9_000,
    },
    "Tenants": [
        {"Name": "a", "ApiKeys": ["k"], "Priority": 1, "RatePerS": 5, "Burst": 2}
    ],
}
# Fields without which a version means nothing, or something else.
NEEDED = {
    "Version",
    "VirtualHosts",
    "VirtualHosts.Host",
    "VirtualHosts.Paths",
    "VirtualHosts.Paths.PathPrefix",
    "VirtualHosts.Paths.TrafficSplit.Service",
    "Services",
    "Services.Name",
    "Tenants.Name",
}
ODD = [["odd"]]  # of no type that any field has


def places(document, place=()):
    """Yield the place of each field of a document, as a path of keys and indices."""
    items = document.items() if isinstance(document, dict) else enumerate(document)
    for key, value in items:
        if isinstance(document, dict):
            yield (*place, key)
        if isinstance(value, dict | list):
            yield from places(value, (*place, key))


def name_of(place):
    """Return the names of the fields that lead to a place."""
    return ".".join(part for part in place if isinstance(part, str))


def changed(place, change):
    """Return the full document after a change to the object that holds a place."""
    document = copy.deepcopy(FULL)
    holder = document
    for part in place[:-1]:
        holder = holder[part]
    change(holder, place[-1])
    return json.dumps(document).encode()


def decode_with(place, value):
    return configs.decode(
        changed(place, lambda holder, key: holder.update({key: value}))
    )


def decode_without(place):
    return configs.decode(changed(place, lambda holder, key: holder.pop(key)))


OPTIONAL = {name_of(place): place for place in places(FULL)}
OPTIONAL = {name: place for name, place in OPTIONAL.items() if name not in NEEDED}
# Optional fields that must be readable if they are there.
EXACT = {name for name in OPTIONAL if name.startswith("Tenants")}


class TestFieldsThatMayBeLeftOut:
    # Guards against a version refused whole because an optional field is null: every
    # node went on with the one before.
    @pytest.mark.parametrize("name", OPTIONAL)
    def test_null_is_the_same_as_left_out(self, name):
        place = OPTIONAL[name]
        found = decode_with(place, None)
        assert found == decode_without(place)
        assert not found.unused

    # Guards against a version refused whole because a value that it can do without
    # cannot be used.
    @pytest.mark.parametrize("name", sorted(OPTIONAL.keys() - EXACT))
    @pytest.mark.parametrize("value", [ODD, "1e400"])
    def test_value_that_cannot_be_used_counts_as_left_out(self, name, value):
        place = OPTIONAL[name]
        text = changed(place, lambda holder, key: holder.update({key: ODD}))
        if value is not ODD:
            text = text.replace(json.dumps(ODD).encode(), value.encode())
        found = configs.decode(text)
        assert dataclasses.replace(found, unused=()) == decode_without(place)
        assert len(found.unused) == 1
        assert place[-1] in found.unused[0]

    @pytest.mark.parametrize("name", sorted(EXACT))
    def test_account_that_cannot_be_read_lets_nobody_in(self, name):
        with pytest.raises(codes.Failure) as caught:
            decode_with(OPTIONAL[name], ODD)
        assert caught.value.code is codes.BAD_FIELD

    @pytest.mark.parametrize(
        "place", [(), ("Limits",), ("VirtualHosts", 0, "Paths", 0)]
    )
    def test_unknown_fields_are_ignored(self, place):
        found = decode_with((*place, "Odd"), ODD)
        assert found == configs.decode(json.dumps(FULL).encode())

    async def test_unused_values_are_shown(self, world, caplog):
        caplog.set_level(logging.WARNING)
        await world.start("registry")
        await world.apply(2, mesh_world.route("r", "/r/", "registry", priority="high"))
        assert (await world.call("/r/1"))[0] == 200
        page = world.nodes[0].meters.render().decode()
        assert "rattanridge_configuration_unused_values 1.0" in page


ROUTE = ("VirtualHosts", 0, "Paths", 0)
SPLIT = ("VirtualHosts", 0, "Paths", 1)


class TestNumbersOutOfRange:
    # Guards against a version refused whole for a number that one field can do without.
    @pytest.mark.parametrize(
        "place",
        [
            (*ROUTE, "TimeoutMs"),
            (*ROUTE, "TargetLatencyMs"),
            (*ROUTE, "MaxAttempts"),
            ("Services", 0, "ColdStartS"),
            ("Services", 0, "ColdPerS"),
        ],
    )
    @pytest.mark.parametrize("value", [0, -1, -0.5])
    def test_number_that_is_not_above_zero_counts_as_left_out(self, place, value):
        found = decode_with(place, value)
        assert dataclasses.replace(found, unused=()) == decode_without(place)
        assert len(found.unused) == (value < 0)

    # Guards against a limit on bodies below zero, which refuses all of them.
    @pytest.mark.parametrize(
        "place",
        [
            ("Services", 0, "MaxConnections"),
            *(("Limits", name) for name in FULL["Limits"]),
        ],
    )
    def test_limit_below_zero_counts_as_left_out(self, place):
        found = decode_with(place, -1)
        assert dataclasses.replace(found, unused=()) == decode_without(place)
        assert len(found.unused) == 1

    def test_fraction_of_a_count_is_not_used(self):
        assert decode_with((*ROUTE, "MaxAttempts"), 2.9).routes["h"][0].attempts == 2

    def test_weight_below_zero_gets_nothing(self):
        found = decode_with((*SPLIT, "TrafficSplit", 1, "Weight"), -1)
        assert [share.weight for share in found.routes["h"][1].shares] == [3, 0]
        assert len(found.unused) == 1

    # Guards against a version refused whole for a service that gets no requests.
    def test_undefined_service_with_the_weight_zero(self):
        parts = [{"Service": "s", "Weight": 1}, {"Service": "gone", "Weight": 0}]
        found = decode_with((*SPLIT, "TrafficSplit"), parts)
        assert [share.service for share in found.routes["h"][1].shares] == ["s", "gone"]

    def test_undefined_service_with_a_weight_is_refused(self):
        with pytest.raises(codes.Failure) as caught:
            decode_with((*SPLIT, "TrafficSplit", 0, "Service"), "gone")
        assert caught.value.code is codes.MISSING_SERVICE


class TestRouteWithoutService:
    # Guards against a version refused whole because one of its routes has no service
    # to go to: every node went on with the version before, on all routes.
    @pytest.mark.parametrize(
        "more",
        [
            {},
            {"split": []},
            {"split": [config_wire.WireShare("registry", 0)]},
            {"split": [config_wire.WireShare("registry", -1)]},
            {"split": 5},
            {"split": [config_wire.WireShare(None, 1)]},
        ],
    )
    async def test_only_its_own_requests_are_refused(self, world, more):
        await world.start("registry")
        kept = mesh_world.route("kept", "/kept/", "registry")
        wide = mesh_world.route("wide", "/", "registry")
        without = config_wire.WireRoute("without", "/without/", "safe", **more)
        await world.apply(2, kept, wide, without)
        assert (await world.call("/kept/1"))[0] == 200
        status, found, _ = await world.call("/without/1")
        assert (status, found["Rattanridge-Ran"]) == (503, "not-run")
        assert found["Rattanridge-Code"] == str(codes.NO_SERVICE.number)
        assert float(found["Retry-After"]) >= 0.8
