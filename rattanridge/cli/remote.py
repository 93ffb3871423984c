"""Client of the administration API for the commands."""

import asyncio
import collections.abc
import functools
import typing
import urllib.parse

import aiohttp
import click
import msgspec

from rattanridge.admin import server
from rattanridge.kernel import codes

# Seconds; longer than a node needs to find out whether a write whose response was
# lost took effect.
TIMEOUT = 30.0


class AdminClient:
    """Calls the administration API of one node.

    :param url: base URL.
    :param token: bearer token.
    """

    def __init__(self, url: str, token: str):
        self.url = url.rstrip("/")
        self.token = token

    @staticmethod
    def quote(name: str) -> str:
        """Return a name encoded as one part of a URL path."""
        return urllib.parse.quote(name, safe="")

    def call(self, method: str, path: str, body: bytes = b"") -> typing.Any:
        """Make one call; return the decoded response.

        Raise the coded failure that the node answers with, or ``admin-unreachable``
        if it does not answer.
        """
        return asyncio.run(self.request(method, path, body))

    async def request(self, method: str, path: str, body: bytes) -> typing.Any:
        """Make one call; see ``call``."""
        headers = {"Authorization": f"Bearer {self.token}"}
        timeout = aiohttp.ClientTimeout(total=TIMEOUT)
        try:
            async with aiohttp.ClientSession(timeout=timeout) as session:
                async with session.request(
                    method, self.url + path, data=body or None, headers=headers
                ) as response:
                    data = await response.read()
                    status = response.status
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as error:
            detail = f"the request to {self.url} failed: {type(error).__name__}"
            raise codes.Failure(codes.ADMIN_UNREACHABLE, detail)
        if status != 200:
            raise decode_failure(data)
        try:
            return msgspec.json.decode(data)
        except msgspec.MsgspecError:
            detail = f"the response from {self.url} is not JSON"
            raise codes.Failure(codes.ADMIN_UNREACHABLE, detail)


def decode_failure(data: bytes) -> codes.Failure:
    """Decode the body of a refused call into a failure.

    A body that is not a coded error becomes ``admin-bad-request`` with its first 200
    bytes as detail.
    """
    try:
        error = msgspec.json.decode(data, type=server.Error)
    except msgspec.MsgspecError:
        return codes.Failure(
            codes.ADMIN_BAD_REQUEST, data[:200].decode(errors="replace")
        )
    code = codes.TABLE.get(error.code, codes.ADMIN_BAD_REQUEST)
    return codes.Failure(code, error.detail, where=error.where)


def options(command: collections.abc.Callable) -> collections.abc.Callable:
    """Add the options ``--admin`` and ``--token`` to a command.

    The command gets an ``AdminClient`` for them as its parameter ``client``.
    """

    @click.option(
        "--admin",
        envvar="RATTANRIDGE_ADMIN",
        default="http://127.0.0.1:7404",
        show_default=True,
        help="URL of a node's administration API; or set RATTANRIDGE_ADMIN.",
    )
    @click.option(
        "--token",
        envvar="RATTANRIDGE_TOKEN",
        required=True,
        help="Bearer token for the API; or set RATTANRIDGE_TOKEN.",
    )
    @functools.wraps(command)
    def wrapper(*args: object, admin: str, token: str, **more: object) -> object:
        return command(*args, client=AdminClient(admin, token), **more)

    return wrapper
