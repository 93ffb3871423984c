"""Finding a relay, and a vacant relay role on the way.

A node without a relay looks at its zone's leases in the platform, and tries
one that is vacant.
"""

import collections.abc
import random

from rattanridge.control import learning, peers, replica, source as sources
from rattanridge.kernel import clock, codes, settings
from rattanridge.objectapi import client, leases, objects

LOOK_INTERVAL = 1.0  # seconds between reads of the zone's leases, on average
CANDIDATE_SPREAD = 0.5  # seconds over which nodes try a vacant role
AVOID = 30.0  # seconds for which a relay that failed is the last choice


class Finder:
    """Chooses the relay that a node subscribes to.

    ``won`` is a relay lease that was won on the way, until it is taken.

    :param config: the node's settings.
    :param platform: the platform's client.
    :param state: the node's replica.
    :param relays: what is known of all relays.
    :param learner: reads the leases and the generation.
    :param own_address: returns this node's control address.
    """

    def __init__(
        self,
        config: settings.NodeSettings,
        platform: client.Client,
        state: replica.Replica,
        relays: peers.Peers,
        learner: learning.Learner,
        own_address: collections.abc.Callable[[], str],
        time: clock.Clock,
    ):
        self.config = config
        self.platform = platform
        self.state = state
        self.peers = relays
        self.learner = learner
        self.own_address = own_address
        self.time = time
        self.won: leases.Lease | None = None
        self.candidates: dict[str, leases.Lease] = {}
        self.failed: dict[str, float] = {}
        self.versions: dict[str, int] = {}
        self.renewed: set[str] = set()
        self.next_look = float("-inf")

    def take_won(self) -> leases.Lease | None:
        """Return the lease that was won, once."""
        lease, self.won = self.won, None
        return lease

    def note_failed(self, address: str) -> None:
        """Make a relay the last choice for a while."""
        now = self.time.monotonic()
        self.failed = {a: at for a, at in self.failed.items() if now - at <= AVOID}
        self.failed[address] = now

    async def find(self) -> str:
        """Return a relay's address, or none; a vacant lease is tried on the way.

        Relays of other zones come last: they serve while the own zone has none.
        While the platform is up, they are those that were seen to renew.
        """
        if self.state.floor is not None and (known := self.zone_relays()):
            return random.choice(known)
        try:
            await self.look_at_leases()
            others = self.sound([a for a in self.all_relays() if a in self.renewed])
        except codes.Failure:
            await self.learner.ask(self.all_relays())
            others = self.sound(self.all_relays()) or self.all_relays()
        if self.state.floor is None or self.won is not None:
            return ""
        return random.choice(self.zone_relays() or others or [""])

    def zone_relays(self) -> list[str]:
        """Return addresses of the zone's relays that did not fail lately."""
        return self.sound(self.zone_addresses())

    def zone_addresses(self) -> list[str]:
        names = peers.relay_roles(self.config.zone)
        return [r.address for r in self.peers.roles() if r.role in names]

    def all_relays(self) -> list[str]:
        return [record.address for record in self.peers.roles()]

    def sound(self, addresses: list[str]) -> list[str]:
        """Drop this node's own address and those that failed lately."""
        now = self.time.monotonic()
        return [
            address
            for address in addresses
            if address != self.own_address()
            and now - self.failed.get(address, float("-inf")) > AVOID
        ]

    async def look_at_leases(self) -> None:
        """Read the zone's relay leases now and then; try one that is vacant."""
        now = self.time.monotonic()
        if now < self.next_look:
            return
        self.next_look = now + LOOK_INTERVAL * random.uniform(0.5, 1.5)
        found = {stored.key: stored for stored in await self.learner.look()}
        self.note_renewals(found)
        if not self.config.relay:
            return
        for role in peers.relay_roles(self.config.zone):
            lease = self.candidate(role)
            if not lease.vacant():
                continue
            # The nodes of a zone see the vacancy at once; few shall try at once.
            await self.time.sleep(random.uniform(0, CANDIDATE_SPREAD))
            if await lease.step():
                self.won = lease
                return
            self.merge_role(lease)
            if not lease.vacant():
                return

    def note_renewals(self, found: dict[str, objects.Stored]) -> None:
        """Observe the leases; a relay that renews its own is tried again."""
        for role in peers.relay_roles(self.config.zone):
            lease = self.candidate(role)
            if lease.key in found:
                lease.observe(found[lease.key])
        for role in self.peers.roles():
            stored = found.get(f"leases/{role.role}")
            if stored is None:
                continue
            known = self.versions.get(role.role, stored.version)
            self.versions[role.role] = stored.version
            if stored.version > known:
                self.renewed.add(role.address)
                self.failed.pop(role.address, None)
            else:
                self.renewed.discard(role.address)

    def merge_role(self, lease: leases.Lease) -> None:
        if lease.seen is not None:
            record = sources.role_record(lease.role, lease.seen.value)
            self.state.table.merge(record)

    def candidate(self, role: str) -> leases.Lease:
        if role not in self.candidates:
            self.candidates[role] = leases.Lease(
                self.platform,
                role,
                self.config.name,
                self.own_address(),
                self.config.control.lease_term,
                self.time,
            )
        return self.candidates[role]
