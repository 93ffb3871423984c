"""Endpoints: the node's own announcement, and the zone's batched object."""

import asyncio

import msgspec

from rattanridge.control import messages, relay as relays, replica
from rattanridge.kernel import clock, codes, log, settings
from rattanridge.platform import client, leases


class ZoneStatus(msgspec.Struct):
    """What one relay knows of its subscribers.

    :param applied: number of nodes by generation.
    :param rejected: reason by node.
    """

    relay: str
    applied: dict[str, int]
    rejected: dict[str, messages.Rejection]


class Announcer:
    """Keeps the record of the endpoint beside this node.

    :param config: the node's settings.
    :param state: the node's replica.
    :param incarnation: the node's start, in milliseconds since the epoch.
    """

    def __init__(
        self, config: settings.NodeSettings, state: replica.Replica, incarnation: int
    ):
        self.config = config
        self.state = state
        self.incarnation = incarnation
        self.sequence = 0
        self.log = log.Log("announcer", config.name)
        state.table.listeners.append(self.refute)

    def announce(
        self,
        service: str,
        version: str,
        hop: str,
        slots: int,
        connections: int,
        state: str,
    ) -> None:
        """Publish the endpoint if anything about it changed."""
        current = self.current()
        record = messages.Endpoint(
            name=self.config.name,
            zone=self.config.zone,
            service=service,
            version=version,
            hop=hop,
            slots=slots,
            connections=connections,
            state=state,
            incarnation=self.incarnation,
            sequence=self.sequence,
        )
        if current == record:
            return
        self.publish(record)
        self.log.info(
            "endpoint-announced", service=service, version=version, state=state
        )

    def current(self) -> messages.Endpoint | None:
        return self.state.table.records.get(("endpoint", self.config.name))

    def change(self, state: str) -> None:
        """Publish the endpoint's new state, if there is an endpoint."""
        current = self.current()
        if current is not None and current.state != state:
            self.publish(msgspec.structs.replace(current, state=state))

    def publish(self, record: messages.Endpoint) -> None:
        self.sequence += 1
        self.state.table.merge(
            msgspec.structs.replace(
                record, sequence=self.sequence, incarnation=self.incarnation
            )
        )

    def refute(self, record: messages.Record) -> None:
        """Answer a claim that this endpoint is lost while it is not."""
        if record.key != ("endpoint", self.config.name) or record.state != "lost":
            return
        self.publish(msgspec.structs.replace(record, state="up"))


class Roster:
    """The relay's batched writes: endpoints of the zone, and its status.

    At most one write of each object a second, and only after a change.

    :param config: the node's settings.
    :param platform: the platform's client.
    :param state: the node's replica.
    :param relay: the relay's subscribers and reports.
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
        self.log = log.Log("roster", config.name)
        self.written: dict[str, bytes] = {}

    async def run(self, lease: leases.Lease) -> None:
        """Load the zone's endpoints once, then mark losses and write changes."""
        await self.load()
        while True:
            self.mark_lost()
            if lease.held():
                slot = lease.role.rpartition("-")[2]
                await self.write(f"roster/{self.config.zone}", self.endpoints())
                await self.write(f"status/{self.config.zone}/{slot}", self.status())
            await self.time.sleep(self.config.control.report_interval)

    async def load(self) -> None:
        try:
            listing = await self.platform.list("roster/")
        except codes.Failure:
            return
        for stored in listing.objects:
            for record in client.value_of(stored, list[messages.Endpoint]):
                self.state.table.merge(record)

    def endpoints(self) -> list[messages.Endpoint]:
        found = [
            record
            for record in self.state.table.all(messages.Endpoint)
            if record.zone == self.config.zone and record.state != "gone"
        ]
        return sorted(found, key=lambda record: record.name)

    def status(self) -> ZoneStatus:
        applied: dict[str, int] = {str(self.state.generation): 1}
        rejected = {}
        for name, member in self.relay.members.items():
            if member.hello.relay:
                continue
            generation = str(member.report.generation)
            applied[generation] = applied.get(generation, 0) + 1
            if member.report.rejection is not None:
                rejected[name] = member.report.rejection
        if self.state.rejection is not None:
            rejected[self.config.name] = self.state.rejection
        return ZoneStatus(self.config.name, applied, rejected)

    async def write(self, key: str, value: object) -> None:
        """Write an object if its content differs from what is there."""
        data = msgspec.json.encode(value)
        if self.written.get(key) == data:
            return
        try:
            stored = await self.platform.find(key)
            version = stored.version if stored is not None else 0
            await self.platform.put(key, value, version)
            self.written[key] = data
        except codes.Failure as failure:
            self.log.debug("write-failed", key=key, code=failure.code.number)

    def mark_lost(self) -> None:
        """Mark endpoints whose stream to this relay broke and did not return."""
        now = self.time.monotonic()
        for name, since in list(self.relay.lost_at.items()):
            if now - since < self.config.control.lost_after:
                continue
            del self.relay.lost_at[name]
            record = self.state.table.records.get(("endpoint", name))
            if record is not None and record.state in ("up", "draining"):
                self.log.info("endpoint-lost", endpoint=name)
                lost = msgspec.structs.replace(record, state="lost")
                self.state.table.merge(lost)


async def wait_for_state(state: replica.Replica, name: str, wanted: str) -> None:
    """Wait until an endpoint's record is in a state."""
    while True:
        record = state.table.records.get(("endpoint", name))
        if record is not None and record.state == wanted:
            return
        await asyncio.sleep(0.01)
