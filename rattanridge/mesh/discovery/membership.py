"""The node's view of the records of all nodes, and its own record."""

import asyncio
import collections.abc
import random

from rattanridge.kernel import clock, codes
from rattanridge.mesh import (
    events,
    settings,
    shutdown as shutdowns,
    suspects as suspecting,
    upstream as upstreams,
)
from rattanridge.mesh.discovery import (
    directory as directories,
    publisher as publishers,
    records,
    store_health,
)
from rattanridge.platform import store as stores, store_objects
from rattanridge.policies import budget_nodes

ACKNOWLEDGE_TIMEOUT = 0.3  # seconds that an acknowledgement waits for the store
STOPPING = "stopping"  # state of a node that stops while its upstream keeps running

Fetch = collections.abc.Callable[[str, str], collections.abc.Awaitable[bytes | None]]


class Membership:
    """Follows the records of all nodes and maintains the node's own record.

    :param shutdown: tells whether the node stops.
    :param fetch: fetches a page from another node.
    """

    def __init__(
        self,
        config: settings.Settings,
        store: stores.Store,
        health: store_health.StoreHealth,
        upstream: upstreams.Upstream,
        suspects: suspecting.Suspects,
        shutdown: shutdowns.Shutdown,
        fetch: Fetch,
        log: events.Events,
    ):
        self.config = config
        self.store = store
        self.health = health
        self.upstream = upstream
        self.suspects = suspects
        self.shutdown = shutdown
        self.fetch = fetch
        self.log = log
        self.directory = directories.Directory(suspects, log)
        self.publisher = publishers.Publisher(
            config.name, store, health, log, self.restore_evidence
        )
        span = config.repeats.budget_settings().span()
        self.budget_nodes = budget_nodes.BudgetNodes(config.name, span)
        self.removals: set[asyncio.Task] = set()
        self.has_records = False
        upstream.listeners.append(self.publish)
        suspects.listeners.append(self.publish)

    async def fetch_records(self, address: str) -> None:
        """Fetch the records of all nodes from another node.

        A node that starts while the store is unreachable has no records, but the
        nodes that forward calls to it have them all. Does nothing once the records
        are available.
        """
        if self.has_records:
            return
        data = await self.fetch(address, directories.PATH)
        if data is None or not self.directory.apply_page(data):
            return
        self.has_records = True
        self.log.info("members-learnt", source=address)
        name = self.config.name
        if name in self.directory.records:
            self.restore(name)

    def draw_other_address(self) -> str:
        """Return the address of another node, at random; empty if none is known."""
        addresses = {record.hop for record in self.directory.records.values()}
        addresses.discard(self.config.listen.hops)
        return random.choice(list(addresses)) if addresses else ""

    def apply_all(self, items: list[store_objects.StoredObject]) -> None:
        """Apply a complete list of the records."""
        self.directory.apply_all(items)
        self.record_names()
        self.has_records = True
        for item in items:
            self.remove_predecessor(item)
        own = [item for item in items if item.name == self.config.name]
        for item in own:
            self.restore(item.name)
            self.publisher.apply(item)
        if not own:
            self.publisher.apply(
                store_objects.StoredObject(
                    self.config.name, self.publisher.revision, deleted=True
                )
            )
        self.publish()

    def apply(self, item: store_objects.StoredObject) -> None:
        """Apply one changed or deleted record."""
        self.directory.apply(item)
        self.record_names()
        self.publisher.apply(item)

    def record_names(self) -> None:
        """Record which nodes are known, and how many."""
        names = self.directory.records
        self.budget_nodes.apply_names(names, clock.seconds_since_boot())
        self.health.nodes = max(len(names), 1)

    def reload(self) -> None:
        """Apply changed settings."""
        self.budget_nodes.set_span(self.config.repeats.budget_settings().span())

    def record_answer(self) -> None:
        """Record that the store has answered the watch of the records."""
        self.budget_nodes.record_contact(clock.seconds_since_boot())

    def count_budget_nodes(self) -> int:
        """Return the number of nodes that share the retry budget's fixed allowance.

        0 means that this node has no share of it at present.
        """
        return self.budget_nodes.count(clock.seconds_since_boot())

    def remove_predecessor(self, item: store_objects.StoredObject) -> None:
        """Start to remove the record of a node that had this node's address before."""
        record = self.directory.records.get(item.name)
        if record is None or item.name == self.config.name:
            return
        if record.hop == self.config.listen.hops:
            task = asyncio.create_task(self.remove_record(item))
            self.removals.add(task)
            task.add_done_callback(self.removals.discard)

    async def remove_record(self, item: store_objects.StoredObject) -> None:
        """Remove a record from the store unless it has changed meanwhile."""
        try:
            await self.store.delete(records.KIND, item.name, item.revision)
            self.log.info("predecessor-removed", name=item.name)
        except codes.Failure as failure:
            self.log.info(
                "predecessor-not-removed", name=item.name, code=failure.code.number
            )

    def is_first(self) -> bool:
        """Return whether this node's name sorts first among the running nodes."""
        return min(self.directory.running_nodes(), default="") == self.config.name

    def restore_evidence(self, record: records.Record) -> None:
        """Take over what the node's record says of requests that crash upstreams.

        That lasts for its time, whatever has become of the upstream that crashed.
        """
        self.suspects.restore(record.suspects)

    def restore(self, name: str) -> None:
        """Restore the upstream's state from the record of an earlier process.

        Does nothing if the record is for another service.
        """
        record = self.directory.records.get(name)
        if record is None:
            return
        self.restore_evidence(record)
        if not record.endpoint:
            return
        if record.service != self.config.service:
            return
        self.upstream.restore(
            upstreams.Identity(record.endpoint, record.incarnation),
            record.state,
            record.version,
            record.slots,
        )

    def publish(self) -> None:
        """Request that the node's record be updated to the upstream's state.

        A stopping node whose upstream has left removes its record. What an earlier
        process published is not replaced by an upstream that may have left.
        """
        upstream = self.upstream
        if upstream.identity is None:
            return
        if upstream.awaits_confirmation() and self.may_have_predecessor():
            return
        if self.shutdown.begun and upstream.state is upstreams.State.GONE:
            self.publisher.publish(None)
            return
        record = records.Record(
            self.config.listen.hops,
            self.config.zone,
            upstream.service,
            upstream.identity.endpoint,
            upstream.identity.incarnation,
            upstream.version,
            upstream.slots,
            self.published_state(),
            self.suspects.own_evidence(),
        )
        self.publisher.publish(record)

    def may_have_predecessor(self) -> bool:
        """Return whether an earlier process of this node may have left a record."""
        return not self.has_records or self.config.name in self.directory.records

    def published_state(self) -> str:
        """Return the state for the record.

        That the upstream leaves is told even if the node stops, as the next process of
        the node must know it.
        """
        state = self.upstream.state
        if self.shutdown.begun and state is not upstreams.State.DRAINING:
            return STOPPING
        return state.value

    async def wait_written(self) -> None:
        """Wait until the record is in the store, at most ACKNOWLEDGE_TIMEOUT seconds.

        A heartbeat or farewell is acknowledged after that even if the store has not
        answered.
        """
        try:
            async with asyncio.timeout(ACKNOWLEDGE_TIMEOUT):
                await self.publisher.written.wait()
        except TimeoutError:
            self.log.note(
                "acknowledged-first",
                why=f"the record was not stored within {ACKNOWLEDGE_TIMEOUT} s",
            )
