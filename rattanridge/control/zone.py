"""What a relay judges and writes for its zone: lost endpoints, roster, status."""

import typing

import msgspec

from rattanridge.control import messages, relay as relays, replica
from rattanridge.kernel import clock, codes, log, settings
from rattanridge.objectapi import client, leases

SETTLE = 0.2  # seconds for more changes to arrive before a write
WRITE_INTERVAL = 1.0  # seconds between writes of one object


class ZoneStatus(msgspec.Struct):
    """What one relay knows of the nodes that subscribed to it, and of itself.

    :param relay: the relay's name.
    :param nodes: what is known of each, lost ones included for a while.
    """

    relay: str
    nodes: dict[str, messages.NodeState]


class ObjectWriter:
    """Keeps one object of the platform equal to what this node knows.

    The version is read once; each write is conditional on the one before. A
    holder that was paused meets a newer version and reads it before it writes.

    :param key: the object's name.
    :param kind: type of its value.
    :param taken: called with a value that another node wrote.
    """

    def __init__(
        self,
        platform: client.Client,
        key: str,
        kind: typing.Any,
        taken: typing.Callable[[typing.Any], None],
        time: clock.Clock,
    ):
        self.platform = platform
        self.key = key
        self.kind = kind
        self.taken = taken
        self.time = time
        self.version: int | None = None
        self.data = b""
        self.wrote_at = float("-inf")
        self.log = log.Log("writer")

    async def sync(self, build: typing.Callable[[], object]) -> bool:
        """Write what ``build`` returns if it differs; return whether it is there."""
        if self.time.monotonic() - self.wrote_at < WRITE_INTERVAL:
            return False
        try:
            if self.version is None:
                await self.read()
            value = build()
            data = msgspec.json.encode(value)
            if data != self.data:
                await self.write(value, data)
        except codes.Failure as failure:
            self.version = None
            self.log.debug("write-failed", key=self.key, code=failure.code.number)
            return False
        return True

    async def read(self) -> None:
        """Read the version that is there, and take what others wrote."""
        stored = await self.platform.find(self.key)
        if stored is None:
            self.version = 0
            self.data = b""
            return
        try:
            self.taken(client.value_of(stored, self.kind))
        except codes.Failure as failure:
            self.log.warn("object-unreadable", key=self.key, why=failure.format())
        self.version = stored.version
        self.data = bytes(stored.value)

    async def write(self, value: object, data: bytes) -> None:
        self.wrote_at = self.time.monotonic()
        stored = await self.platform.put(self.key, value, self.version)
        self.version = stored.version
        self.data = data


class Zone:
    """The relay's judgement of endpoints, and its two objects in the platform.

    :param config: the node's settings.
    :param platform: the platform's client.
    :param state: the node's replica.
    :param relay: the relay's subscribers.
    """

    def __init__(
        self,
        config: settings.NodeSettings,
        platform: client.Client,
        state: replica.Replica,
        relay: relays.Relay,
        time: clock.Clock | None = None,
    ):
        self.config = config
        self.platform = platform
        self.state = state
        self.relay = relay
        self.time = time or clock.Clock()
        self.log = log.Log("zone", config.name)
        self.presences: typing.Callable[[], list[messages.Presence]] = list
        self.missing: dict[str, float] = {}
        self.former_left = False
        self.is_writer: typing.Callable[[], bool] = lambda: True
        self.zone_alive: typing.Callable[[str], bool] = lambda zone: True

    async def run(self, lease: leases.Lease) -> None:
        """Judge, tell other relays, and write while the lease is held."""
        self.missing.clear()
        self.former_left = lease.given_back
        slot = lease.role.rpartition("-")[2]
        status = self.writer(f"status/{self.config.zone}/{slot}", ZoneStatus)
        roster = self.writer(f"roster/{self.config.zone}", list[messages.Endpoint])
        status.taken = self.take_status
        await self.load()
        while True:
            self.judge()
            self.relay.tell_presence()
            self.relay.changed.clear()
            if lease.held():
                await status.sync(self.status)
            if lease.held() and self.is_writer():
                await roster.sync(self.endpoints)
            await self.wait()

    def writer(self, key: str, kind: typing.Any) -> ObjectWriter:
        return ObjectWriter(self.platform, key, kind, self.take_endpoints, self.time)

    async def wait(self) -> None:
        """Wait for a change, a bit longer for more, at most a report interval."""
        await clock.wait_event(
            self.time, self.relay.changed, self.config.control.report_interval
        )
        await self.time.sleep(SETTLE)

    async def load(self) -> None:
        """Merge the endpoints of all zones that the platform holds."""
        try:
            listing = await self.platform.list("roster/")
            for stored in listing.objects:
                self.take_endpoints(client.value_of(stored, list[messages.Endpoint]))
        except codes.Failure as failure:
            self.log.info("roster-not-loaded", code=failure.code.number)

    def take_endpoints(self, records: list[messages.Endpoint]) -> None:
        for record in records:
            self.state.table.merge(record)

    def take_status(self, former: ZoneStatus) -> None:
        """Count the nodes of the slot's former holder as lost until they show up.

        Not the former holder itself, if it stopped as planned.
        """
        now = self.time.monotonic()
        known = {self.config.name, *self.relay.nodes}
        if self.former_left:
            known.add(former.relay)
        for name, node in former.nodes.items():
            if name in known:
                continue
            lost_at = node.lost_at or self.time.wall()
            self.relay.nodes[name] = msgspec.structs.replace(node, lost_at=lost_at)
            self.relay.lost_at[name] = now

    def endpoints(self) -> list[messages.Endpoint]:
        """Return the zone's live endpoints, the roster's content."""
        found = [
            record
            for record in self.state.table.all(messages.Endpoint)
            if record.zone == self.config.zone and not record.dead
        ]
        return sorted(found, key=lambda record: record.name)

    def status(self) -> ZoneStatus:
        own = messages.NodeState(self.state.generation, self.state.rejection)
        nodes = {**self.relay.nodes, self.config.name: own}
        return ZoneStatus(self.config.name, dict(sorted(nodes.items())))

    def attached(self) -> set[str]:
        """Return the names of all nodes that some relay hears."""
        names = {self.config.name, *self.relay.members}
        for presence in self.presences():
            names.add(presence.relay)
            names.update(n for n, node in presence.nodes.items() if not node.lost_at)
        return names

    def judge(self) -> None:
        """Mark endpoints lost that no relay hears, and forget old losses."""
        now = self.time.monotonic()
        attached = self.attached()
        judged = self.judged_zones()
        for record in self.state.table.all(messages.Endpoint):
            if record.dead or record.name in attached:
                self.missing.pop(record.name, None)
            elif record.zone in judged:
                self.judge_missing(record, now)
        for name, since in list(self.relay.lost_at.items()):
            if name in attached or now - since >= self.config.control.forget_after:
                self.relay.forget(name)

    def judged_zones(self) -> set[str]:
        """Return the own zone, and those that have no relay any more."""
        zones = {r.zone for r in self.state.table.all(messages.Endpoint)}
        judged = {zone for zone in zones if not self.zone_alive(zone)}
        return judged | {self.config.zone}

    def judge_missing(self, record: messages.Endpoint, now: float) -> None:
        since = self.missing.setdefault(record.name, now)
        limit = self.config.control.orphan_after
        broken = self.relay.lost_at.get(record.name)
        if broken is not None and record.zone == self.config.zone:
            since, limit = broken, self.config.control.lost_after
        if now - since < limit:
            return
        self.missing.pop(record.name, None)
        self.log.info("endpoint-lost", endpoint=record.name)
        self.state.table.merge(msgspec.structs.replace(record, state="lost"))
