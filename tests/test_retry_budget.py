"""Repeats of requests on their way through nodes, and what nodes count of them."""

import msgspec

from rattanridge.kernel import codes
from rattanridge.mesh import settings
from rattanridge.platform import headers
from tests import mesh_world


class TestRepeats:
    async def test_calls_of_a_repeat_count_as_repeats(self, world):
        """The exit that runs a repeat tells its node's entry."""
        await world.start("workshop", "registry", "registry")
        world.age()
        for upstream in world.upstreams[1:]:
            mesh_world.inject_fault(upstream, "fail")
        seen = []
        for node in world.nodes[1:]:
            note = node.exit.monitor.record_request

            def observe(call, status, spent, note=note):
                seen.append(call.repeated)
                note(call, status, spent)

            node.exit.monitor.record_request = observe
        assert (await world.call("/lookup/1"))[0] == 500
        assert seen == [False, True]

    async def test_calls_of_repeats_keep_to_the_budget(self, world):
        """All endpoints of a service shed: requests to another service fail for it and
        are sent again; their calls alone would exceed the budget."""
        await world.start("registry")
        world.age()
        node = world.nodes[0]
        node.exit.parents.running["77"] = True
        mesh_world.use_up(world)
        url = f"http://{node.config.listen.callers}/lookup/1"
        for attempt, expected in (("77.1", 503), ("78.1", 200)):
            sent = {"Host": mesh_world.HOST, headers.ATTEMPT: attempt}
            async with world.session.get(url, headers=sent) as answer:
                assert answer.status == expected
                if expected == 503:
                    assert answer.headers["Rattanridge-Ran"] == "not-run"
                    assert answer.headers["Rattanridge-Code"] == "5014"
        assert len(world.upstreams[0].runs) == 1

    async def test_a_nested_call_of_a_repeat_is_owed(self, world):
        await world.start("registry")
        world.age()
        node = world.nodes[0]
        node.exit.parents.running["77"] = True
        sent = {"Host": mesh_world.HOST, headers.ATTEMPT: "77.1"}
        url = f"http://{node.config.listen.callers}/lookup/1"
        async with world.session.get(url, headers=sent) as answer:
            assert answer.status == 200
        budget = node.dispatcher.budget("registry")
        assert [amount for _, amount in budget.allowance_spent] == [1.0]


class TestRetryBudget:
    """What a node counts against the budget that all nodes share."""

    # Guards against: each process that starts takes a part of the fixed rest anew.
    async def test_a_node_that_has_just_started_has_no_part_of_the_fixed_rest(
        self, world
    ):
        await world.start("registry")
        assert not world.nodes[0].dispatcher.may_spend(mesh_world.made_call(world))

    # Guards against: calls of a repeat that was given up are taken for new requests.
    async def test_a_call_of_a_repeat_that_was_given_up_is_a_repeat(self, world):
        await world.start("registry")
        node = world.nodes[0]
        world.upstreams[0].faults.silent = world.upstreams[0].faults.deaf = True
        late = mesh_world.made_call(world, attempt="77", repeated=True, seconds=0.2)
        assert (await node.exit.run(late)).code is codes.DEADLINE
        world.upstreams[0].faults.silent = False
        world.age()
        mesh_world.use_up(world)
        assert await world.code_of("77.1") == "5014"

    # Guards against: after a restart the calls of repeats are taken for new requests.
    async def test_a_call_of_an_unknown_request_is_a_repeat_after_a_start(self, world):
        await world.start("registry")
        mesh_world.use_up(world)
        assert await world.code_of("77.1") == "5014"

    # Guards against: what repeats of one service call earns repeats at another one.
    async def test_only_requests_of_callers_earn(self, world):
        await world.start("registry")
        node = world.nodes[0]
        node.exit.parents.running["77"] = False
        mesh_world.use_up(world)
        for number in range(40):
            assert await world.code_of(f"77.{number}") is None
        assert not node.dispatcher.may_spend(mesh_world.made_call(world))
        for number in range(40):
            assert await world.code_of(f"{number:04x}") is None
        assert node.dispatcher.may_spend(mesh_world.made_call(world))

    # Guards against: a budget keeps to the settings that were in force at its start.
    async def test_a_reload_changes_budgets(self, world, tmp_path):
        await world.start("registry")
        node = world.nodes[0]
        budget = node.dispatcher.budget("registry")
        before = node.membership.sharers.retention
        changed = settings.Repeats(ratio=0.1, least=3.0, window=20.0)
        fresh = msgspec.structs.replace(node.config, repeats=changed)
        path = tmp_path / "node.yaml"
        path.write_bytes(msgspec.yaml.encode(fresh))
        node.settings_file = settings.SettingsFile(str(path))
        node.reload()
        assert budget.settings == changed.budget_settings()
        assert node.membership.sharers.retention == before + 13.0
