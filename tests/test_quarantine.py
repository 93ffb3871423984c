"""Requests of which upstreams die are held back; innocent ones are not."""

import aiohttp

from rattanridge.kernel import codes
from rattanridge.policies import quarantine
from rattanridge.standin import fleet, upstream as upstreams
from rattanridge.web import headers

NOW = 1_000_000.0


class Node:
    """One node's evidence, which another one hears of."""

    def __init__(self, name, quarantined):
        self.name = name
        self.evidence = quarantine.CrashEvidence()
        self.quarantined = quarantined

    def crash(self, request, at=0.0, ran_for=0.01, seen_after=0.1):
        self.evidence.record_broken_request(request, ran_for, at)
        self.evidence.record_crash(at + seen_after, NOW + at)
        told = tuple(self.evidence.suspects.values())
        self.quarantined.apply(self.name, told)


class TestPoison:
    """A request that breaks each upstream which begins to run it."""

    def test_two_ends_hold_it_back(self):
        known = quarantine.Quarantine()
        first, second = Node("a", known), Node("b", known)
        first.crash("poison")
        assert not known.is_quarantined("poison", NOW)
        second.crash("poison")
        assert known.is_quarantined("poison", NOW)
        assert not known.is_quarantined("other", NOW)

    def test_of_one_upstream_twice(self):
        known = quarantine.Quarantine()
        node = Node("a", known)
        node.crash("poison")
        node.crash("poison", at=5.0)
        assert known.is_quarantined("poison", NOW)

    def test_it_ends(self):
        known = quarantine.Quarantine()
        for name in ("a", "b"):
            Node(name, known).crash("poison")
        assert not known.is_quarantined("poison", NOW + quarantine.EVIDENCE_TTL + 1)

    def test_a_node_that_is_gone_tells_nothing(self):
        known = quarantine.Quarantine()
        for name in ("a", "b"):
            Node(name, known).crash("poison")
        known.apply("b", ())
        assert not known.is_quarantined("poison", NOW)


class TestInnocent:
    """Upstreams that die for other reasons, under load."""

    def test_a_reset_connection_is_no_end(self):
        known = quarantine.Quarantine()
        evidence = quarantine.CrashEvidence()
        for at in range(10):
            evidence.record_broken_request("r", 0.01, at)
        assert not evidence.record_crash(60.0, NOW)
        assert not known.reported

    def test_requests_that_ran_for_long_are_not_suspected(self):
        known = quarantine.Quarantine()
        for name in ("a", "b"):
            Node(name, known).crash("r", ran_for=quarantine.BEGUN_WITHIN * 2)
        assert not known.is_quarantined("r", NOW)

    def test_an_answer_clears(self):
        known = quarantine.Quarantine()
        for name in ("a", "b"):
            Node(name, known).crash("r")
        known.clear("r", NOW)
        assert not known.is_quarantined("r", NOW)

    def test_full_endpoints_that_die_one_after_the_other(self):
        """Each takes the requests of its slots with it; each request is new."""
        known = quarantine.Quarantine()
        for number in range(8):
            node = Node(f"n{number}", known)
            for slot in range(12):
                node.evidence.record_broken_request(f"r{number}-{slot}", 0.02, 0.0)
            node.crash(f"r{number}")
        assert not any(
            known.is_quarantined(f"r{number}-{slot}", NOW)
            for number in range(8)
            for slot in range(12)
        )

    def test_bounded_in_number(self):
        evidence = quarantine.CrashEvidence()
        for number in range(quarantine.SUSPECTS_MOST * 2):
            evidence.record_broken_request(f"r{number}", 0.01, 0.0)
            evidence.record_crash(0.1, NOW)
        assert len(evidence.suspects) == quarantine.SUSPECTS_MOST

    def test_old_evidence_is_dropped(self):
        evidence = quarantine.CrashEvidence()
        evidence.record_broken_request("r", 0.01, 0.0)
        evidence.record_crash(0.1, NOW)
        assert not evidence.expire(NOW)
        assert evidence.expire(NOW + quarantine.EVIDENCE_TTL)
        assert not evidence.suspects


async def send(session, host, path):
    url = f"http://{host.node.config.listen.callers}{path}"
    async with session.get(url, headers={"Deadline-Ms": "2000"}) as response:
        await response.read()
        return response


def count_crashes(hosts):
    return sum(host.upstream.counts["crashes"] for host in hosts)


def all_know(hosts):
    """Whether the evidence of all crashes reached every node."""
    crashes = count_crashes(hosts)
    return all(len(host.node.suspects.quarantine.reported) == crashes for host in hosts)


class TestFleet:
    async def test_no_third_upstream_through_any_node(self):
        async with fleet.Fleet() as made, aiohttp.ClientSession() as session:
            shape = upstreams.Shape("archives", work=0.0)
            hosts = [await made.add(name, "zone-a", shape) for name in "abcd"]
            generation = await made.put_preset(fleet.make_preset("day", ["archives"]))
            await made.wait_applied(generation)
            await made.wait_endpoints()
            for host in hosts:
                host.upstream.faults.crash_on = "cracked"
            for host in hosts:
                await send(session, host, "/archives/cracked")
                await made.wait(lambda: all_know(hosts))
            assert count_crashes(hosts) == quarantine.CRASHES
            for host in hosts:
                response = await send(session, host, "/archives/cracked")
                assert response.headers[headers.CODE] == str(codes.QUARANTINED.number)
                assert response.headers[headers.RAN] == codes.Execution.NOT_RUN
                assert (await send(session, host, "/archives/whole")).status == 200
