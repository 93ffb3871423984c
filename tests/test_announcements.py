"""What upstreams announce in their answers: limits on their rate, and leaving."""

import asyncio
import collections

from rattanridge.mesh import records
from rattanridge.platform import store

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


def apply_record(directory, name, record):
    """Apply a record that is newer than all others."""
    revision = max(directory.revisions.values()) + 1000
    data = records.encode(record)
    directory.apply(store.StoredObject(name, revision, data))


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
