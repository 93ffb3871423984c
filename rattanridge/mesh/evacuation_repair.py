"""Writes to a store that returned from an older copy which evacuations hold.

Each node knows what the store has lost. They write it in the order of their names, one
each RANK_DELAY, so that the others have heard of the write before their turn.
"""

import asyncio

from rattanridge.kernel import codes
from rattanridge.mesh import evacuation, events
from rattanridge.mesh.discovery import directory as directories, membership
from rattanridge.platform import evacuations, store as stores

FIRST_DELAY = 0.3  # seconds
RANK_DELAY = 1.0  # seconds for each node before this one
MAX_RANK = 10
ASKED_NODES = 2  # that may have heard of a later change in the new era


class Repair:
    """Creates lost objects of evacuations again, and deletes revived ones."""

    def __init__(
        self,
        name: str,
        evacuations: evacuation.Evacuations,
        membership: membership.Membership,
        store: stores.Store,
        log: events.Events,
    ):
        self.name = name
        self.evacuations = evacuations
        self.membership = membership
        self.store = store
        self.log = log
        self.task: asyncio.Task | None = None

    def start_if_needed(self) -> None:
        """Start to write what the store lacks or has too much, if there is any."""
        if self.task is None and (self.evacuations.lost or self.evacuations.revived):
            self.task = asyncio.create_task(self.run())

    def stop(self) -> None:
        """Stop writing."""
        if self.task is not None:
            self.task.cancel()

    async def run(self) -> None:
        """Wait for the node's turn, ask other nodes, and write what is still needed."""
        try:
            directory = self.membership.directory
            await asyncio.sleep(FIRST_DELAY + RANK_DELAY * rank(self.name, directory))
            for _ in range(ASKED_NODES):
                address = self.membership.draw_other_address()
                if address:
                    await self.evacuations.learn(address)
            for zone in list(self.evacuations.lost):
                await self.create(zone)
            for zone, revision in list(self.evacuations.revived.items()):
                await self.delete(zone, revision)
        finally:
            self.task = None

    async def create(self, zone: str) -> None:
        """Create the object of a zone again; it stays lost if that fails."""
        try:
            written = await self.store.create(evacuations.KIND, zone, evacuations.SPEC)
        except codes.Failure as failure:
            self.log_failure(zone, failure)
            return
        self.evacuations.apply(written)
        self.log.info("evacuation-saved-again", zone=zone, evacuated=True)

    async def delete(self, zone: str, revision: int) -> None:
        """Delete the object of a zone that was deleted before; it may be gone."""
        try:
            await self.store.delete(evacuations.KIND, zone, revision)
        except codes.Failure as failure:
            self.log_failure(zone, failure)
            return
        self.evacuations.revived.pop(zone, None)
        self.log.info("evacuation-saved-again", zone=zone, evacuated=False)

    def log_failure(self, zone: str, failure: codes.Failure) -> None:
        self.log.note("evacuation-not-saved", zone=zone, code=failure.code.number)


def rank(name: str, directory: directories.Directory) -> int:
    """Return a node's place among the running nodes, at most MAX_RANK."""
    before = sum(other < name for other in directory.running_nodes())
    return min(before, MAX_RANK)
