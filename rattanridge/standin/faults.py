"""How the faults of a stand-in are read and set over HTTP."""

import typing

import aiohttp.web
import msgspec

T = typing.TypeVar("T", bound=msgspec.Struct)


async def exchange(
    request: aiohttp.web.BaseRequest, current: T
) -> tuple[T, aiohttp.web.Response]:
    """Return the faults in force and the answer; a PUT takes others over."""
    if request.method != "PUT":
        return current, tell(current)
    try:
        fresh = msgspec.json.decode(await request.read(), type=type(current))
    except msgspec.MsgspecError as error:
        return current, aiohttp.web.Response(text=str(error), status=400)
    return fresh, tell(fresh)


def tell(current: msgspec.Struct) -> aiohttp.web.Response:
    """Return the answer that tells the faults in force."""
    return aiohttp.web.Response(
        body=msgspec.json.encode(current), content_type="application/json"
    )
