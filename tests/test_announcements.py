"""What upstreams announce in their answers: limits on their rate, and leaving."""

import asyncio
import collections

import pytest

from rattanridge.mesh import hop_headers, shutdown, upstream as upstreams
from rattanridge.mesh.discovery import announcements, directory, records
from rattanridge.platform import store_objects
from tests import silent_log

IDENTITY = upstreams.Identity("i-1", 7)
LIMIT = 10.0  # requests per second
LOAD = 60.0  # requests per second of the callers
SECONDS = 2.0  # of the load


def most_allowed(limit, seconds):
    """Return the most requests that an upstream with a limit may get."""
    return 1.5 * limit * seconds + 5


def set_limit(upstream, limit):
    upstream.faults.limit = str(limit)


async def send_load(world, nodes):
    """Send a steady load through some nodes in turn; return the answers by status."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    tasks = []
    for number in range(int(LOAD * SECONDS)):
        node = nodes[number % len(nodes)]
        tasks.append(
            asyncio.create_task(world.call("/lookup/1", node=node, deadline=1000))
        )
        await asyncio.sleep(max(began + (number + 1) / LOAD - loop.time(), 0.0))
    answers = await asyncio.gather(*tasks)
    return collections.Counter(status for status, _, _ in answers), answers


async def learn_limits(world):
    """Let each node send a request, so that it has seen the limits."""
    for node in range(len(world.nodes)):
        await world.call("/lookup/1", node=node)


def known_limit(world, node=0):
    """Return the limit to which the exit of a node keeps."""
    return world.nodes[node].exit.queue.rate_limit.limit


class TestHeader:
    @pytest.mark.parametrize(
        ("limit", "leaving", "text"),
        [
            (12.5, False, "i-1,7,12.5,0"),
            (0.0, False, "i-1,7,0.0,0"),
            (None, True, "i-1,7,,1"),
        ],
    )
    def test_round_trip(self, limit, leaving, text):
        announcement = announcements.Announcement(IDENTITY, limit, leaving)
        assert hop_headers.encode_announcement(announcement) == text
        assert hop_headers.decode_announcement(text) == announcement

    @pytest.mark.parametrize("text", ["", "i-1", "i-1,x,3,0", "i-1,7,3"])
    def test_unreadable(self, text):
        assert hop_headers.decode_announcement(text) is None


class TestLimitInForce:
    async def start(self, world):
        """Start a mesh in which one upstream is known to limit its rate."""
        await world.start("registry", "workshop")
        set_limit(world.upstreams[0], LIMIT)
        await learn_limits(world)
        assert known_limit(world) == LIMIT

    @pytest.mark.parametrize(
        ("named", "limit"),
        [("20", 20.0), ("", None), ("nan", LIMIT), ("-3", LIMIT), ("7, 30", 7.0)],
    )
    async def test_follows_the_answers(self, world, named, limit):
        await self.start(world)
        world.upstreams[0].faults.limit = named
        await world.call("/lookup/1")
        assert known_limit(world) == limit
        assert world.nodes[0].directory.candidates["node-0"].limit == limit

    async def test_an_answer_without_a_signature_ends_no_limit(self, world):
        await self.start(world)
        world.upstreams[0].faults.limit = ""
        world.upstreams[0].faults.unproved = True
        await world.call("/lookup/1")
        assert known_limit(world) == LIMIT

    async def test_belongs_to_one_incarnation(self, world):
        await self.start(world)
        upstream = world.upstreams[0]
        upstream.incarnation += 1
        upstream.sequence = 0
        await upstream.send_heartbeat()
        assert known_limit(world) is None

    # Guards against: an exit that was restarted sends requests beyond the limit until
    # the first answer, though entries know it.
    async def test_a_restarted_exit_learns_it_from_an_entry(self, world):
        await self.start(world)
        exit_announcements = world.nodes[0].exit.announcements
        exit_announcements.answered = False
        exit_announcements.set_limit(None, "test")
        world.upstreams[0].faults.silent = True
        call = asyncio.create_task(world.call("/lookup/1", node=1, deadline=300))
        await world.wait(lambda: world.upstreams[0].running)
        assert known_limit(world) == LIMIT
        await call


class TestKnownAnnouncement:
    # Guards against: an entry forgets a limit as a restarted exit, which does not know
    # it yet, refuses a request.
    async def test_outlasts_a_refusal(self, world):
        await world.start("registry", "workshop")
        set_limit(world.upstreams[0], LIMIT)
        await learn_limits(world)
        exit_node = world.nodes[0]
        exit_node.exit.announcements.set_limit(None, "test")
        exit_node.upstream.confirmed = False
        assert (await world.call("/lookup/1", node=1))[0] == 503
        assert world.nodes[1].directory.announcements["node-0"].limit == LIMIT

    # Guards against: an entry tells a restarted exit a limit that may have ended long
    # ago.
    def test_is_told_for_a_short_time_only(self):
        known = directory.Directory(suspects=None, log=silent_log.SilentLog())
        announcement = announcements.Announcement(IDENTITY, LIMIT)
        known.record_announcement("node-0", announcement, 5.0)
        latest = 5.0 + directory.ANNOUNCEMENT_TTL
        assert known.announcement_of("node-0", latest) == announcement
        assert known.announcement_of("node-0", latest + 0.1) is None
        known.record_announcement("node-0", None, latest)
        assert known.announcement_of("node-0", latest) is None

    def test_leaving_is_remembered_for_good(self):
        known = directory.Directory(suspects=None, log=silent_log.SilentLog())
        leaving = announcements.Announcement(IDENTITY, leaving=True)
        known.record_announcement("node-0", leaving, 5.0)
        known.record_announcement("node-0", None, 6.0)
        assert IDENTITY in known.leaving


class TestLimitedUpstream:
    # Guards against: an upstream gets what callers send, whatever limit it names.
    async def test_gets_no_more_than_it_takes_from_all_nodes_together(self, world):
        await world.start("registry", "workshop", "workshop", zones=("a",), slots=12)
        limited = world.upstreams[0]
        set_limit(limited, LIMIT)
        await learn_limits(world)
        before = len(limited.runs)
        statuses, answers = await send_load(world, [0, 1, 2])
        assert len(limited.runs) - before <= most_allowed(LIMIT, SECONDS)
        assert statuses[200] >= 0.8 * LIMIT * SECONDS
        refused = [fields for status, fields, _ in answers if status == 503]
        assert refused
        assert all(fields["Rattanridge-Ran"] == "not-run" for fields in refused)
        assert all(float(fields["Retry-After"]) > 0 for fields in refused)

    # Guards against: callers beside a limited upstream are refused while an upstream
    # in another availability zone has room.
    async def test_nobody_is_refused_while_another_upstream_has_room(self, world):
        await world.start("registry", "registry", "workshop", slots=12)
        limited, other = world.upstreams[:2]
        set_limit(limited, LIMIT)
        await learn_limits(world)
        before = len(limited.runs)
        statuses, _ = await send_load(world, [0, 1, 2])
        assert statuses == {200: LOAD * SECONDS}
        assert len(limited.runs) - before <= most_allowed(LIMIT, SECONDS)
        assert other.runs


async def runs_after(world, upstream, count=12):
    """Send requests through all nodes; return how many the upstream ran."""
    before = len(upstream.runs)
    for number in range(count):
        status, _, _ = await world.call("/lookup/1", node=number % len(world.nodes))
        assert status == 200
    return len(upstream.runs) - before


def apply_record(known, name, record):
    """Apply a record that is newer than all others to a directory."""
    revision = max(known.revisions.values()) + 1000
    data = records.encode(record)
    known.apply(store_objects.StoredObject(name, revision, data))


class TestLeavingUpstream:
    # Guards against: an upstream that says in its answers that it leaves gets requests
    # until its heartbeat says so, too.
    async def test_gets_nothing_after_an_answer_that_says_so(self, world):
        await world.start("registry", "registry")
        leaving = world.upstreams[0]
        leaving.faults.leaving = True
        await world.call("/lookup/1")
        assert leaving.runs
        assert not await runs_after(world, leaving)
        assert world.nodes[0].upstream.state == "draining"

    # Guards against: the exit has forgotten in a restart that its upstream leaves, a
    # late heartbeat says that it is ready, and an entry that was told sends to it.
    async def test_an_entry_that_was_told_remembers_it(self, world):
        await world.start("registry", "registry", "workshop")
        leaving = world.upstreams[0]
        ready = world.nodes[2].directory.records["node-0"]
        leaving.faults.leaving = True
        while not leaving.runs:
            await world.call("/lookup/1", node=2)
        world.nodes[0].upstream.identity = None
        await leaving.send_heartbeat()
        assert world.nodes[0].upstream.state == "ready"
        apply_record(world.nodes[2].directory, "node-0", ready)
        before = len(leaving.runs)
        for _ in range(12):
            await world.call("/lookup/1", node=2)
        assert len(leaving.runs) == before

    async def test_a_late_heartbeat_does_not_bring_it_back(self, world):
        await world.start("registry", "registry")
        leaving = world.upstreams[0]
        leaving.faults.leaving = True
        await world.call("/lookup/1")
        await leaving.send_heartbeat()
        assert world.nodes[0].upstream.state == "draining"

    # Guards against: an upstream that starts again under its id gets no request.
    async def test_its_next_incarnation_is_used(self, world):
        await world.start("registry", "registry")
        leaving = world.upstreams[0]
        leaving.faults.leaving = True
        await world.call("/lookup/1")
        leaving.faults.leaving = False
        leaving.incarnation += 1
        leaving.sequence = 0
        await leaving.send_heartbeat()
        await world.wait(
            lambda: all("node-0" in node.directory.candidates for node in world.nodes)
        )
        assert await runs_after(world, leaving)

    # Guards against: a node that stops hides from its next process that the upstream
    # leaves, and a late heartbeat makes it ready there.
    async def test_a_stopping_node_publishes_it(self, world):
        await world.start("registry", "registry")
        leaving = world.upstreams[0]
        leaving.faults.leaving = True
        await world.call("/lookup/1")
        membership = world.nodes[0].membership
        membership.shutdown.advance(shutdown.Phase.DRAINING)
        membership.publish()
        await membership.wait_written()
        assert membership.publisher.stored.state == "draining"

    async def test_a_health_check_tells_it(self, world):
        await world.start("registry", "registry")
        leaving = world.upstreams[0]
        leaving.faults.leaving = True
        upstream = world.nodes[0].upstream
        upstream.confirmed = False
        world.nodes[0].confirmation.start()
        await world.wait(lambda: upstream.state == "draining")
        assert not leaving.runs
