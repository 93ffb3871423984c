"""Client accounts: validation, conversions, and what travels between nodes."""

import msgspec
import pytest

from rattanridge.kernel import accounts, codes, presets, routes
from rattanridge.mesh import claim, hop_headers, upstream_messages
from rattanridge.platform import configs, headers
from rattanridge.web import headers as own_headers
from tests import mesh_world

KEY = "kR7-secret"
ACCOUNT = accounts.Account("fuel co, é", (KEY, "k2"), 0, 2.5, 8.0)
PRESET = """\
name: p
services: {s: {}}
routes:
  - {service: s}
  - {service: s, prefix: /open, public: true}
accounts:
  - {name: large, keys: [k1, k2], priority: high, rate: 10, burst: 5.5}
  - {name: small, priority: 7}
  - {name: plain, keys: [k3]}
"""


def account(name="a", keys=(KEY,), **more):
    return accounts.Account(name, keys, **more)


class TestValidation:
    # Guards against a version that would let one account act for another, or that
    # breaks the header in which the name is sent.
    @pytest.mark.parametrize(
        "second",
        [
            account("b"),
            account("a", ("k2",)),
            account("", ("k2",)),
            account(" ", ("k2",)),
            account("b\r\nX: 1", ("k2",)),
            account("b\ud800", ("k2",)),
            account("b", ("",)),
            account("b", ("k2",), rate=-1.0),
            account("b", ("k2",), burst=-0.5),
            account("b", ("k2",), rate=float("nan")),
            account("b", ("k2",), burst=float("inf")),
        ],
    )
    def test_invalid_accounts_are_refused_without_their_keys(self, second):
        with pytest.raises(codes.Failure) as caught:
            accounts.by_name([account(), second], "here")
        assert caught.value.code is codes.BAD_ACCOUNT
        assert KEY not in str(caught.value)

    def test_accounts_without_keys_or_with_a_repeated_key_are_valid(self):
        found = accounts.by_name([account(keys=(KEY, KEY)), account("b", ())], "here")
        assert list(found) == ["a", "b"]

    def test_keys_are_not_in_the_representation(self):
        configuration = routes.Configuration(1, {}, {}, accounts={"a": account()})
        assert KEY not in repr(configuration)
        assert configuration.account_of(KEY).name == "a"
        assert configuration.account_of("other") is None

    @pytest.mark.parametrize(
        ("priority", "route_priority", "rank"),
        [(0, 3, 3), (None, 0, 16), (2, 15, 47), (2, 99, 47), (1, -1, 16)],
    )
    def test_rank(self, priority, route_priority, rank):
        assert accounts.rank(account(priority=priority), route_priority) == rank
        if priority is None:
            assert accounts.rank(None, route_priority) == rank


class TestConversions:
    def test_preset_to_wire_and_back(self):
        made = presets.make_configuration(presets.parse(PRESET), 4)
        found = configs.decode(configs.encode(made))
        assert found == made
        assert found.account_of("k2") == accounts.Account(
            "large", ("k1", "k2"), 0, 10.0, 5.5
        )
        assert found.accounts["small"].priority == 7
        assert found.accounts["plain"].priority is None
        assert [item.public for item in found.routes["*"]] == [True, False]

    def test_wire_names(self):
        text = configs.encode(routes.Configuration(1, {}, {}, accounts={"": ACCOUNT}))
        assert msgspec.json.decode(text)["Tenants"] == [
            {
                "Name": "fuel co, é",
                "ApiKeys": [KEY, "k2"],
                "Priority": 0,
                "RatePerS": 2.5,
                "Burst": 8.0,
            }
        ]

    def test_nothing_is_written_without_accounts(self):
        text = configs.encode(routes.Configuration(1, {}, {}))
        assert b"Tenants" not in text

    # Guards against a list that another program's encoder writes as null.
    @pytest.mark.parametrize("items", ["null", '[{"Name":"a","ApiKeys":null}]'])
    def test_null_lists(self, items):
        text = f'{{"Version":"1","VirtualHosts":[],"Services":[],"Tenants":{items}}}'
        assert len(configs.decode(text.encode()).accounts) == items.count("Name")

    def test_the_line_of_a_preset_s_invalid_account(self):
        with pytest.raises(codes.Failure) as caught:
            presets.parse(PRESET.replace("[k3]", "[k1]"), "p.yaml")
        assert caught.value.code is codes.BAD_ACCOUNT
        assert caught.value.where.startswith("p.yaml:9:")


class TestCalls:
    async def test_account_travels_to_the_exit(self):
        call = mesh_world.make_call(None, "7")
        received = {headers.DEADLINE: "1000", own_headers.CALL: ""}
        for name in ("", "fuel co, é"):
            call.account = name
            received[own_headers.CALL] = hop_headers.encode_call(call)
            fields = received[own_headers.CALL].count(",") + 1
            assert fields == hop_headers.CALL_FIELDS + bool(name)
            found = hop_headers.decode_call("7", "GET", "/", received, b"")
            assert found.account == name

    async def test_only_a_caller_s_request_names_its_account(self):
        call = mesh_world.make_call(None, "7")
        call.account = "a"
        assert b"\r\nTenant-Id: a\r\n" in upstream_messages.encode_request(call, "e", 1)
        call.nested = True
        assert b"Tenant-Id" not in upstream_messages.encode_request(call, "e", 1)

    async def test_accounts_with_the_same_idempotency_key_have_their_own_claims(self):
        """Guards against one account getting the recorded answer of another."""
        call = mesh_world.make_call(None, "7")
        names = {claim.claim_name(call, "key")}
        for name in ("a", "b"):
            call.account = name
            names.add(claim.claim_name(call, "key"))
        assert len(names) == 3
