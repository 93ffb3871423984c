"""HTTP interface that reads and sets the faults of a stand-in."""

import asyncio
import typing

import aiohttp.web
import msgspec

T = typing.TypeVar("T", bound=msgspec.Struct)


async def handle_faults(
    request: aiohttp.web.BaseRequest, current: T
) -> tuple[T, aiohttp.web.Response]:
    """Return the faults in force and the response that lists them.

    A PUT replaces the faults; a body that cannot be decoded is answered 400 and
    changes nothing.
    """
    if request.method != "PUT":
        return current, make_response(current)
    try:
        updated = msgspec.json.decode(await request.read(), type=type(current))
    except msgspec.MsgspecError as error:
        return current, aiohttp.web.Response(text=str(error), status=400)
    return updated, make_response(updated)


def transport_of(request: aiohttp.web.BaseRequest) -> asyncio.Transport:
    """Return the connection of a request; raise ``ConnectionError`` if it is gone."""
    if request.transport is None:
        raise ConnectionError("the caller has closed the connection")
    return request.transport


def make_response(current: msgspec.Struct) -> aiohttp.web.Response:
    """Return a JSON response with the faults in force."""
    return aiohttp.web.Response(
        body=msgspec.json.encode(current), content_type="application/json"
    )
