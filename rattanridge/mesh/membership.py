"""What a node makes of the records of all nodes, and its own one."""

import asyncio
import collections.abc

from rattanridge.kernel import clock, codes
from rattanridge.mesh import (
    directory as directories,
    events,
    publisher as publishers,
    records,
    settings,
    suspects as suspecting,
    upstream as upstreams,
    watching,
)
from rattanridge.platform import store as stores
from rattanridge.policies import budget_nodes

SETTLED_WAIT = 0.3  # seconds that an acknowledgement waits for the store
STOPPING = "stopping"  # state of a node whose upstream goes on without it

Fetch = collections.abc.Callable[[str, str], collections.abc.Awaitable[bytes | None]]


class Membership:
    """Follows the records of all nodes and keeps the node's own one.

    :param fetch: asks another node for a page.
    """

    def __init__(
        self,
        config: settings.Settings,
        store: stores.Store,
        health: watching.Health,
        upstream: upstreams.Upstream,
        suspects: suspecting.Suspects,
        fetch: Fetch,
        log: events.Events,
    ):
        self.config = config
        self.store = store
        self.upstream = upstream
        self.suspects = suspects
        self.fetch = fetch
        self.log = log
        self.directory = directories.Directory(suspects, log)
        self.publisher = publishers.Publisher(config.name, store, health, log)
        span = config.repeats.budget_settings().span()
        self.sharers = budget_nodes.BudgetNodes(config.name, span)
        self.removals: set[asyncio.Task] = set()
        self.known = False
        self.stopping = False
        upstream.listeners.append(self.publish)
        suspects.listeners.append(self.publish)

    async def learn(self, address: str) -> None:
        """Take over another node's records, until the store can be asked.

        A node that starts while the store is away knows nobody. The nodes that
        forward calls to it know everybody.
        """
        if self.known:
            return
        data = await self.fetch(address, directories.PATH)
        if data is None or not self.directory.take_page(data):
            return
        self.known = True
        self.log.info("members-learnt", source=address)
        name = self.config.name
        if name in self.directory.records:
            self.restore(name)

    def take_all(self, items: list[stores.StoredObject]) -> None:
        """Take over the records of all nodes."""
        self.directory.take_all(items)
        self.sharers.apply_names(self.directory.records, clock.seconds_since_boot())
        self.known = True
        for item in items:
            self.remove_predecessor(item)
        own = [item for item in items if item.name == self.config.name]
        for item in own:
            self.restore(item.name)
            self.publisher.see(item)
        if not own:
            self.publisher.see(
                stores.StoredObject(
                    self.config.name, self.publisher.revision, deleted=True
                )
            )

    def take(self, item: stores.StoredObject) -> None:
        """Take over one node's record."""
        self.directory.take(item)
        self.sharers.apply_names(self.directory.records, clock.seconds_since_boot())
        self.publisher.see(item)

    def reload(self) -> None:
        """Take over changed settings."""
        self.sharers.set_span(self.config.repeats.budget_settings().span())

    def hear(self) -> None:
        """The store answered the watch of the records."""
        self.sharers.record_contact(clock.seconds_since_boot())

    def count_sharers(self) -> int:
        """Return among how many nodes to divide what all share; 0 if this one takes
        no part."""
        return self.sharers.count(clock.seconds_since_boot())

    def remove_predecessor(self, item: stores.StoredObject) -> None:
        """Remove the record of a node that had this node's address before."""
        record = self.directory.records.get(item.name)
        if record is None or item.name == self.config.name:
            return
        if record.hop == self.config.listen.hops:
            task = asyncio.create_task(self.remove(item))
            self.removals.add(task)
            task.add_done_callback(self.removals.discard)

    async def remove(self, item: stores.StoredObject) -> None:
        """Remove a record unless it was changed meanwhile."""
        try:
            await self.store.delete(records.KIND, item.name, item.revision)
            self.log.info("predecessor-removed", name=item.name)
        except codes.Failure as failure:
            self.log.info(
                "predecessor-not-removed", name=item.name, code=failure.code.number
            )

    def is_first(self) -> bool:
        """Whether this node is the first one by name among those that run."""
        return min(self.directory.running(), default="") == self.config.name

    def restore(self, name: str) -> None:
        """Take over what an earlier process knew of the upstream."""
        record = self.directory.records.get(name)
        if record is None or not record.endpoint or self.upstream.identity is not None:
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
        """Ask for the node's record to be as the upstream is."""
        upstream = self.upstream
        if upstream.identity is None:
            return
        if self.stopping and upstream.state is upstreams.State.GONE:
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
            STOPPING if self.stopping else upstream.state.value,
            self.suspects.own(),
        )
        self.publisher.publish(record)

    async def settled(self) -> None:
        """Wait a moment for the record to be in the store."""
        try:
            async with asyncio.timeout(SETTLED_WAIT):
                await self.publisher.written.wait()
        except TimeoutError:
            self.log.note("acknowledged-first", why="the store did not answer in time")
