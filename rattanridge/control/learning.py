"""How a restarted node learns which generation it may not fall below."""

import asyncio

from rattanridge.control import messages, replica, source as sources, transport
from rattanridge.kernel import codes, log, settings
from rattanridge.objectapi import client, objects

LEASES = "leases/relay-"
ASK_TIMEOUT = 1.0  # seconds


class Learner:
    """Asks the platform, and the relays while it is down.

    :param config: the node's settings.
    :param platform: the platform's client.
    :param state: the replica that holds configurations back until then.
    :param channels: connections to other nodes.
    """

    def __init__(
        self,
        config: settings.NodeSettings,
        platform: client.Client,
        state: replica.Replica,
        channels: transport.Channels,
    ):
        self.config = config
        self.platform = platform
        self.state = state
        self.channels = channels
        self.log = log.Log("learner", config.name)

    async def look(self) -> list[objects.Stored]:
        """Read the pointer and the leases of all relays in one call.

        Returns the leases; the roles are merged into the table.
        """
        listing = await self.platform.list(LEASES, sources.POINTER)
        found = []
        generation = 0
        for stored in listing.objects:
            if stored.key == sources.POINTER:
                generation = client.value_of(stored, objects.InForce).generation
            else:
                found.append(stored)
                merge_role(self.state, stored)
        if self.state.floor is None:
            self.state.learn(generation)
        return found

    async def ask(self, relays: list[str]) -> None:
        """Ask relays, and the peers of the settings, while the platform is down.

        The highest generation of all answers counts; one of them must be from a
        relay that is in contact with the platform or another relay. Otherwise
        ``no-relay`` is raised and the node keeps refusing.
        """
        addresses = list(dict.fromkeys([*relays, *self.config.peers]))
        answers = await self.ask_all(addresses)
        named = {
            role.address
            for answer in answers
            for role in answer.roles
            if role.role.startswith(f"relay-{self.config.zone}-") and role.address
        }
        answers += await self.ask_all(sorted(named - set(addresses)))
        for answer in answers:
            for role in answer.roles:
                self.state.table.merge(role)
        if self.state.floor is None and any(answer.in_contact for answer in answers):
            self.state.learn(max(answer.generation for answer in answers))

    async def ask_all(self, addresses: list[str]) -> list[messages.Known]:
        calls = [
            self.channels.call(address, "Ask", messages.Ask(), ASK_TIMEOUT)
            for address in addresses
        ]
        results = await asyncio.gather(*calls, return_exceptions=True)
        return [item for item in results if isinstance(item, messages.Known)]


def merge_role(state: replica.Replica, stored: objects.Stored) -> None:
    """Take the holder of a role from its lease."""
    try:
        value = client.value_of(stored, objects.LeaseValue)
    except codes.Failure:
        return
    state.table.merge(sources.role_record(stored.key.removeprefix("leases/"), value))
