"""Quarantine of requests that crash upstreams."""

import aiohttp
import multidict
import pytest

from rattanridge.calls import headers, poison, types
from rattanridge.control import messages, replica
from rattanridge.kernel import clock, codes, metrics, settings
from rattanridge.measure import fleet
from rattanridge.policies import balancers
from rattanridge.standin import upstream as upstreams


def make_call(path="/a", idempotent=True):
    sent = multidict.CIMultiDict()
    return types.Call("GET", path, sent, b"", "s", idempotent, "normal", 0.0)


def crash():
    failure = codes.Failure(codes.UPSTREAM_FAILED, ran=codes.Ran.UNKNOWN)
    return types.refuse(failure)


def good():
    return types.Answer(200, multidict.CIMultiDict(), b"", codes.Ran.RAN)


class Site:
    """One node's quarantine and table."""

    def __init__(self, time):
        config = settings.NodeSettings(
            name="n", zone="a", platform=["http://fake"], key="0123456789"
        )
        self.state = replica.Replica(config, metrics.Counters())
        self.poison = poison.Poison(self.state, metrics.Counters(), "n", time)

    def observe(self, call, endpoint, answer):
        candidate = balancers.Candidate(endpoint, "a", "v1", "", 1)
        self.poison.observe(call, candidate, answer, 0.1)
        return answer

    def refuses(self, call):
        try:
            self.poison.gate(call)
        except codes.Failure as failure:
            assert failure.code is codes.QUARANTINED
            return failure.ran
        return None


@pytest.fixture
def time():
    return clock.ManualClock()


@pytest.fixture
def site(time):
    return Site(time)


class TestPoison:
    def test_two_endpoints(self, site):
        site.observe(make_call(), "e1", crash())
        assert site.refuses(make_call()) is None
        last = site.observe(make_call(), "e2", crash())
        # The entry's retries stop at this code.
        assert last.code is codes.QUARANTINED
        assert last.ran is codes.Ran.UNKNOWN
        assert site.refuses(make_call()) is codes.Ran.NOT_RUN
        assert site.refuses(make_call("/b")) is None

    def test_work_that_may_have_run_is_not_called_not_run(self, site):
        call = make_call(idempotent=False)
        site.observe(call, "e1", crash())
        site.observe(call, "e2", crash())
        assert site.refuses(call) is codes.Ran.UNKNOWN

    def test_same_endpoint_twice(self, site):
        site.observe(make_call(), "e1", crash())
        site.observe(make_call(), "e1", crash())
        assert site.refuses(make_call()) is None

    def test_an_answer_clears(self, site):
        site.observe(make_call(), "e1", crash())
        site.observe(make_call(), "e3", good())
        site.observe(make_call(), "e2", crash())
        assert site.refuses(make_call()) is None

    def test_refusals_are_no_evidence(self, site):
        shed = types.refuse(codes.Failure(codes.SHEDDING))
        site.observe(make_call(), "e1", shed)
        site.observe(make_call(), "e2", shed)
        assert not site.poison.known

    def test_it_ends(self, site, time):
        site.observe(make_call(), "e1", crash())
        site.observe(make_call(), "e2", crash())
        time.now += poison.EXPIRY + 1
        assert site.refuses(make_call()) is None
        assert not site.poison.known

    def test_evidence_of_two_nodes_joins(self, site, time):
        other = Site(time)
        site.observe(make_call(), "e1", crash())
        other.observe(make_call(), "e2", crash())
        first = site.state.table.all(messages.Quarantine)
        second = other.state.table.all(messages.Quarantine)
        for record in first:
            other.state.table.merge(record)
        for record in [*second, *other.state.table.all(messages.Quarantine)]:
            site.state.table.merge(record)
        assert site.refuses(make_call()) is codes.Ran.NOT_RUN

    def test_bounded_in_number(self, site, time):
        for n in range(poison.RECORDS_MOST + 100):
            time.now += 0.01
            site.observe(make_call(f"/{n}"), "e1", crash())
        assert len(site.poison.known) == poison.RECORDS_MOST
        assert len(site.state.table.records) == poison.RECORDS_MOST


class TestFleet:
    async def test_no_third_upstream_through_any_node(self):
        async with fleet.Fleet() as made, aiohttp.ClientSession() as session:
            shape = upstreams.Shape("archives", work=0.0)
            for name in ("a", "b", "c"):
                await made.add(name, "zone-a", shape)
            generation = await made.put_preset(fleet.make_preset("day", ["archives"]))
            await made.wait_applied(generation)
            await made.wait_endpoints()
            stands = [host.upstream for host in made.hosts.values()]
            for stand in stands:
                stand.faults.crash_on = "cracked"
            for host in made.hosts.values():
                url = f"{host.node.caller_url}/archives/cracked"
                async with session.get(url) as response:
                    assert response.status >= 500
                await made.wait(lambda: all_know(made, stands))
            assert sum(stand.counts["crashes"] for stand in stands) <= 2
            url = f"{made.hosts['c'].node.caller_url}/archives/whole"
            # It may meet an upstream that is known to be dead a bit later only.
            async with session.get(url) as response:
                code = response.headers.get(headers.CODE)
                assert code != str(codes.QUARANTINED.number)
            async with session.get(url.replace("whole", "cracked")) as response:
                assert response.headers[headers.CODE] == str(codes.QUARANTINED.number)


def all_know(made, stands):
    """Whether the evidence of all crashes reached every node."""
    crashes = sum(stand.counts["crashes"] for stand in stands)
    return all(
        any(
            len(record.crashes) >= crashes for record in host.node.poison.known.values()
        )
        for host in made.hosts.values()
    )
