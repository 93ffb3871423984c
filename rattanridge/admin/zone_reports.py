"""What all nodes know of the evacuated zones, and what still runs there."""

import asyncio

import msgspec

from rattanridge.kernel import untrusted_json
from rattanridge.mesh import evacuation, node as nodes
from rattanridge.mesh.discovery import records

MAX_CONCURRENT_FETCHES = 64  # nodes whose page is fetched at the same time


class Zone(msgspec.Struct):
    """One availability zone.

    :param evacuated: whether it is, as the node that answers knows.
    :param nodes: nodes in the zone that have a record.
    :param agree: nodes of all zones that know the same of this one.
    :param differ: nodes of all zones that do not.
    :param silent: nodes of all zones that did not answer.
    :param running: requests at the endpoints of the zone; without silent nodes.
    :param bound: seconds from an order until it binds all nodes.
    """

    name: str
    evacuated: bool
    nodes: int
    agree: int = 0
    differ: int = 0
    silent: int = 0
    running: int = 0
    bound: float = 0.0


Pages = list[evacuation.Page | None]


def zones_of(node: nodes.Node) -> dict[str, int]:
    """Return the number of nodes by zone; evacuated zones may have none."""
    found = {node.config.zone: 0, **dict.fromkeys(node.evacuations.evacuated(), 0)}
    for record in node.directory.records.values():
        found[record.zone] = found.get(record.zone, 0) + 1
    return found


def usable_zones(node: nodes.Node) -> set[str]:
    """Return the zones in which an endpoint accepts requests."""
    known = node.directory.records.values()
    return {record.zone for record in known if record.state == records.READY}


async def fetch_pages(node: nodes.Node) -> Pages:
    """Return what each node knows; None for one that does not answer."""
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_FETCHES)

    async def fetch(address: str) -> evacuation.Page | None:
        async with semaphore:
            data = await node.fetch(address, evacuation.PATH)
        return untrusted_json.decode_or_none(data, evacuation.Page) if data else None

    addresses = {
        record.hop
        for name, record in node.directory.records.items()
        if name != node.config.name
    }
    pages = await asyncio.gather(*(fetch(address) for address in addresses))
    own = node.evacuations.encode_page()
    return [untrusted_json.decode_or_none(own, evacuation.Page), *pages]


async def collect(node: nodes.Node) -> list[Zone]:
    """Return all zones, by name."""
    pages = await fetch_pages(node)
    bound = (node.config.evacuation_ms or 0) / 1000
    return [
        report_zone(
            Zone(name, node.evacuations.is_evacuated(name), count, bound=bound), pages
        )
        for name, count in sorted(zones_of(node).items())
    ]


def report_zone(zone: Zone, pages: Pages) -> Zone:
    """Add what the nodes know to the report of a zone, and return it."""
    for page in pages:
        if page is None:
            zone.silent += 1
            continue
        known = page.zones.get(zone.name)
        evacuated = known is not None and known.evacuated
        zone.agree += evacuated == zone.evacuated
        zone.differ += evacuated != zone.evacuated
        if page.zone == zone.name:
            zone.running += page.running
    return zone
