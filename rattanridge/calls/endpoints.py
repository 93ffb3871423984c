"""The endpoints of each service, as one entry sees them."""

import asyncio
import random

from rattanridge.calls import versions
from rattanridge.control import messages, replica
from rattanridge.kernel import codes, presets, settings
from rattanridge.policies import balancers

DEFAULT = presets.Service()


class Endpoints:
    """Candidates by service, kept in step with the replica's records.

    :param config: the node's settings.
    :param state: the node's replica.
    """

    def __init__(
        self,
        config: settings.NodeSettings,
        state: replica.Replica,
        rng: random.Random | None = None,
    ):
        self.config = config
        self.state = state
        self.random = rng or random.Random()
        self.versions = versions.Versions(state, self.random)
        self.services: dict[str, dict[str, balancers.Candidate]] = {}
        self.lists: dict[str, list[balancers.Candidate]] = {}
        self.balancers: dict[str, tuple[presets.Service, balancers.Balancer]] = {}
        state.table.listeners.append(self.see)

    def see(self, record: messages.Record) -> None:
        """Take a new endpoint record."""
        if not isinstance(record, messages.Endpoint):
            return
        for name, group in self.services.items():
            if name != record.service and group.pop(record.name, None) is not None:
                self.lists.pop(name, None)
        self.lists.pop(record.service, None)
        group = self.services.setdefault(record.service, {})
        if record.state != "up":
            group.pop(record.name, None)
            return
        known = group.get(record.name)
        if known is not None and known.hop == record.hop:
            known.version = record.version
            known.slots = record.slots
            return
        group[record.name] = balancers.Candidate(
            record.name,
            record.zone,
            record.version,
            record.hop,
            record.slots,
            since=asyncio.get_running_loop().time(),
        )

    def choose(
        self,
        service: str,
        idempotent: bool,
        avoid: frozenset[str] = frozenset(),
        route: presets.Route | None = None,
    ) -> balancers.Candidate:
        """Choose an endpoint: first the version, then the least loaded of two."""
        found = self.candidates(service)
        found = self.versions.keep(service, found, idempotent, avoid, route)
        if not found:
            raise codes.Failure(codes.NO_ENDPOINT, service, retry_after=1.0)
        now = asyncio.get_running_loop().time()
        return self.balancer(service).choose(found, now)

    def candidates(self, service: str) -> list[balancers.Candidate]:
        """Return the service's candidates; the same list until one changes."""
        found = self.lists.get(service)
        if found is None:
            found = list(self.services.get(service, {}).values())
            self.lists[service] = found
        return found

    def service(self, name: str) -> presets.Service:
        """Return what the preset in force says of a service."""
        snapshot = self.state.snapshot
        known = snapshot.preset.services.get(name) if snapshot is not None else None
        return known or DEFAULT

    def balancer(self, service: str) -> balancers.Balancer:
        """Return the service's balancer; a changed preset makes a new one."""
        wanted = self.service(service)
        known = self.balancers.get(service)
        if known is None or (known[0] is not wanted and known[0] != wanted):
            kind = balancers.BALANCERS.get(wanted.balancer)
            made = kind(self.config.zone, wanted.warmup, self.random)
            known = (wanted, made)
            self.balancers[service] = known
        return known[1]
