"""Size of the buffers that connections read into."""

import asyncio
import typing

# asyncio reads up to 256 KiB at once. An allocation of 128 KiB or more makes malloc map
# and unmap pages for each read, which takes six times the CPU time of the read itself.
READ_BYTES = 65_536


def limit_reads(transport: asyncio.BaseTransport) -> None:
    """Make a connection of asyncio's selector loop read at most READ_BYTES at once."""
    selector_transport = typing.cast(typing.Any, transport)
    if hasattr(selector_transport, "max_size"):
        selector_transport.max_size = READ_BYTES
