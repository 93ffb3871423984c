"""Requests that crash upstreams are quarantined; harmless ones are not."""

import aiohttp
import pytest

from rattanridge.kernel import codes
from rattanridge.policies import quarantine
from rattanridge.standin import fleet, upstream as upstreams
from rattanridge.web import headers

NOW = 1_000_000.0


class Node:
    """A node that publishes its evidence to a quarantine."""

    def __init__(self, name, quarantined):
        self.name = name
        self.evidence = quarantine.CrashEvidence()
        self.quarantined = quarantined

    def crash(self, request, at=0.0, ran_for=0.01, confirmed_after=0.1):
        """Let the upstream crash under a request, and publish the evidence."""
        self.evidence.record_broken_request(request, ran_for, at)
        self.evidence.record_crash(at + confirmed_after, NOW + at)
        self.publish()

    def publish(self):
        suspects = tuple(self.evidence.suspects.values())
        self.quarantined.apply(self.name, suspects)


class TestCrashingRequest:
    """A request that crashes each upstream that starts to run it."""

    def test_is_quarantined_after_two_crashes(self):
        quarantined = quarantine.Quarantine()
        first, second = Node("a", quarantined), Node("b", quarantined)
        first.crash("poison")
        assert not quarantined.is_quarantined("poison", NOW)
        second.crash("poison")
        assert quarantined.is_quarantined("poison", NOW)
        assert not quarantined.is_quarantined("other", NOW)

    def test_is_quarantined_after_two_crashes_of_one_upstream(self):
        quarantined = quarantine.Quarantine()
        node = Node("a", quarantined)
        node.crash("poison")
        node.crash("poison", at=5.0)
        assert quarantined.is_quarantined("poison", NOW)

    def test_quarantine_expires(self):
        quarantined = quarantine.Quarantine()
        for name in ("a", "b"):
            Node(name, quarantined).crash("poison")
        assert not quarantined.is_quarantined(
            "poison", NOW + quarantine.EVIDENCE_TTL + 1
        )

    # Guards against: with each record that was removed, or written anew by a process
    # that knew nothing, all nodes let the request through again.
    @pytest.mark.parametrize("rest", [(), (quarantine.Suspect("r", 1, int(NOW) + 9),)])
    def test_evidence_outlives_what_its_node_publishes_until_its_time_is_up(self, rest):
        quarantined = quarantine.Quarantine()
        for name in ("a", "b"):
            Node(name, quarantined).crash("poison")
        quarantined.apply("b", rest)
        quarantined.expire(NOW + quarantine.EVIDENCE_TTL - 1)
        assert quarantined.is_quarantined("poison", NOW + quarantine.EVIDENCE_TTL - 1)
        quarantined.expire(NOW + quarantine.EVIDENCE_TTL)
        assert not quarantined.reported

    # Guards against: a process that has seen one crash, and not yet read of two before
    # it, takes evidence back by stating less.
    def test_lesser_statement_takes_nothing_back(self):
        quarantined = quarantine.Quarantine()
        node = Node("a", quarantined)
        node.crash("poison")
        node.crash("poison", at=5.0)
        Node("a", quarantined).crash("poison", at=9.0)
        assert quarantined.is_quarantined("poison", NOW + 9.0)

    def test_number_of_kept_requests_is_bounded(self):
        quarantined = quarantine.Quarantine()
        node = Node("a", quarantined)
        node.crash("poison")
        node.crash("poison", at=1.0)
        for number in range(quarantine.MAX_KEPT * 2):
            Node("a", quarantined).crash(f"r{number}", at=2.0)
        assert len(quarantined.reported["a"]) == quarantine.MAX_KEPT
        assert quarantined.is_quarantined("poison", NOW)


class TestHarmlessRequest:
    """Upstreams that crash for other reasons while they run requests."""

    def test_reset_connections_are_no_crash(self):
        quarantined = quarantine.Quarantine()
        evidence = quarantine.CrashEvidence()
        for at in range(10):
            evidence.record_broken_request("r", 0.01, at)
        assert not evidence.record_crash(60.0, NOW)
        assert not quarantined.reported

    def test_long_running_requests_are_not_suspected(self):
        quarantined = quarantine.Quarantine()
        for name in ("a", "b"):
            Node(name, quarantined).crash(
                "r", ran_for=quarantine.MAX_SUSPECT_RUN_TIME * 2
            )
        assert not quarantined.is_quarantined("r", NOW)

    def test_answer_clears_a_request(self):
        quarantined = quarantine.Quarantine()
        for name in ("a", "b"):
            Node(name, quarantined).crash("r")
        quarantined.clear("r", NOW)
        assert not quarantined.is_quarantined("r", NOW)

    # Guards against: evidence that is kept holds a request back that its node has
    # cleared, as an upstream answered it.
    def test_answer_at_its_node_clears_a_request_for_all(self):
        quarantined = quarantine.Quarantine()
        node = Node("a", quarantined)
        node.crash("r")
        node.crash("r", at=5.0)
        assert node.evidence.clear("r", NOW + 6.0)
        node.publish()
        assert not quarantined.is_quarantined("r", NOW + 6.0)
        node.crash("r", at=7.0)
        assert not quarantined.is_quarantined("r", NOW + 7.0)
        node.crash("r", at=8.0)
        assert quarantined.is_quarantined("r", NOW + 8.0)

    def test_cleared_request_stays_cleared_for_the_next_process(self):
        node = Node("a", quarantine.Quarantine())
        node.crash("r")
        earlier = tuple(node.evidence.suspects.values())
        node.evidence.clear("r", NOW + 1.0)
        assert not node.evidence.restore(earlier, NOW + 2.0)
        later = quarantine.CrashEvidence()
        later.restore(tuple(node.evidence.suspects.values()), NOW + 2.0)
        assert later.suspects["r"].crashes == quarantine.CLEARED

    def test_consecutive_crashes_of_busy_upstreams(self):
        """Each crash breaks the requests of all slots; no request is sent twice."""
        quarantined = quarantine.Quarantine()
        for number in range(8):
            node = Node(f"n{number}", quarantined)
            for slot in range(12):
                node.evidence.record_broken_request(f"r{number}-{slot}", 0.02, 0.0)
            node.crash(f"r{number}")
        assert not any(
            quarantined.is_quarantined(f"r{number}-{slot}", NOW)
            for number in range(8)
            for slot in range(12)
        )

    def test_number_of_suspects_is_bounded(self):
        evidence = quarantine.CrashEvidence()
        for number in range(quarantine.MAX_SUSPECTS * 2):
            evidence.record_broken_request(f"r{number}", 0.01, 0.0)
            evidence.record_crash(0.1, NOW)
        assert len(evidence.suspects) == quarantine.MAX_SUSPECTS

    def test_old_evidence_expires(self):
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


def all_received(hosts):
    """Return whether the evidence of all crashes has reached every node."""
    crashes = count_crashes(hosts)
    return all(len(host.node.suspects.quarantine.reported) == crashes for host in hosts)


class TestFleet:
    async def test_request_crashes_at_most_two_upstreams_through_any_node(self):
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
                await made.wait(lambda: all_received(hosts))
            assert count_crashes(hosts) == quarantine.CRASH_THRESHOLD
            for host in hosts:
                response = await send(session, host, "/archives/cracked")
                assert response.headers[headers.CODE] == str(codes.QUARANTINED.number)
                assert response.headers[headers.RAN] == codes.Execution.NOT_RUN
                assert (await send(session, host, "/archives/whole")).status == 200
