"""Lines about availability zones, for several commands."""

import typing


def format_zone(zone: dict[str, typing.Any]) -> str:
    """Return one line that describes a zone."""
    state = "evacuated" if zone["evacuated"] else "in use"
    line = (
        f"zone       {zone['name']} {state} nodes {zone['nodes']} "
        f"requests {zone['running']} agreed by {zone['agree']} nodes"
    )
    if zone["differ"]:
        line += f", not by {zone['differ']}"
    if zone["silent"]:
        line += f", {zone['silent']} silent"
    return line
