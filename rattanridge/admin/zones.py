"""Operations on availability zones: evacuate, restore and list.

Each order is one write of one object, conditional on what the store held before.
"""

from rattanridge.admin import server, store_writes, zone_reports
from rattanridge.kernel import codes
from rattanridge.mesh import node as nodes
from rattanridge.platform import evacuations, store_objects


class Zones:
    """Evacuates, restores and lists zones.

    Raise ``zones-not-followed`` if the settings do not ask for evacuations.

    :param node: the node that serves the administration request.
    """

    def __init__(self, node: nodes.Node):
        self.node = node
        self.store = node.store
        self.evacuations = node.evacuations
        if not self.evacuations.enabled:
            raise codes.Failure(codes.ZONES_NOT_FOLLOWED)

    async def list(self) -> list[zone_reports.Zone]:
        """Return all zones, by name."""
        return await zone_reports.collect(self.node)

    async def show(self, name: str) -> zone_reports.Zone:
        """Return one zone; raise ``zone-unknown`` if there is none of the name."""
        for zone in await self.list():
            if zone.name == name:
                return zone
        raise unknown_failure(name)

    async def evacuate(self, name: str) -> zone_reports.Zone:
        """Order that the endpoints of a zone get no requests.

        Raise ``zone-unknown``, ``zone-already-evacuated``, or ``zone-last`` if no
        endpoint of another zone would be left.
        """
        if name not in zone_reports.zones_of(self.node):
            raise unknown_failure(name)
        stored = await self.stored_orders()
        if name in stored and name not in self.evacuations.revived:
            raise codes.Failure(codes.ZONE_ALREADY_EVACUATED, name)
        if not self.zones_left({*stored, name}):
            raise codes.Failure(codes.ZONE_LAST, name)
        before = stored.get(name)
        written = await store_writes.replace(
            self.store,
            evacuations.KIND,
            name,
            evacuations.SPEC,
            before.revision if before is not None else 0,
        )
        await self.check_others(written)
        self.evacuations.apply(written)
        return await self.show(name)

    async def stored_orders(self) -> dict[str, store_objects.StoredObject]:
        """Return the objects of evacuations in the store, by zone."""
        listing = await self.store.list(evacuations.KIND)
        return {item.name: item for item in listing.items if not item.deleted}

    def zones_left(self, evacuated: set[str]) -> set[str]:
        """Return the zones with usable endpoints beside the evacuated ones."""
        not_in_force = self.evacuations.revived.keys() - evacuated
        return zone_reports.usable_zones(self.node) - (evacuated - not_in_force)

    async def check_others(self, written: store_objects.StoredObject) -> None:
        """Take an order back if another one at the same time left no zone in use.

        The later one is taken back. Raise ``zone-last`` then.
        """
        stored = await self.stored_orders()
        if self.zones_left({*stored, written.name}):
            return
        if any(item.revision > written.revision for item in stored.values()):
            return
        await store_writes.delete(
            self.store, evacuations.KIND, written.name, written.revision
        )
        raise codes.Failure(
            codes.ZONE_LAST, f"{written.name}: another one was evacuated just now"
        )

    async def restore(self, name: str) -> zone_reports.Zone:
        """End the evacuation of a zone.

        Raise ``zone-unknown`` or ``zone-not-evacuated``.
        """
        known = name in zone_reports.zones_of(self.node)
        stored = await self.store.get(evacuations.KIND, name)
        if stored is None and name in self.evacuations.lost:
            # Nodes honour what the store has lost, until they see it deleted.
            stored = await store_writes.create(
                self.store, evacuations.KIND, name, evacuations.SPEC
            )
        if stored is None or stored.deleted:
            if not known:
                raise unknown_failure(name)
            raise codes.Failure(codes.ZONE_NOT_EVACUATED, name)
        await store_writes.delete(self.store, evacuations.KIND, name, stored.revision)
        self.evacuations.end(name, stored.revision)
        return await self.show(name)


def unknown_failure(name: str) -> codes.Failure:
    """Return the failure for a zone in which no node is."""
    return codes.Failure(codes.ZONE_UNKNOWN, name)


@server.operation("GET", "/zones", "viewer")
async def list_zones(served: server.Server, request: server.Request) -> object:
    """Return all zones, and what still runs there."""
    return await Zones(served.node).list()


@server.operation("PUT", "/zones/<zone>/evacuation", "operator")
async def evacuate_zone(served: server.Server, request: server.Request) -> object:
    """Evacuate a zone."""
    return await Zones(served.node).evacuate(request.arguments["zone"])


@server.operation("DELETE", "/zones/<zone>/evacuation", "operator")
async def restore_zone(served: server.Server, request: server.Request) -> object:
    """End the evacuation of a zone."""
    return await Zones(served.node).restore(request.arguments["zone"])
