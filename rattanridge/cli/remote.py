"""Client of the administration API, for commands."""

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

# Seconds; longer than a node needs to learn the outcome of a lost write.
TIMEOUT = 30.0


class Remote:
    """Calls one node's administration API.

    :param url: base URL.
    :param token: bearer token.
    """

    def __init__(self, url: str, token: str):
        self.url = url.rstrip("/")
        self.token = token

    @staticmethod
    def quote(name: str) -> str:
        """Return a name as one part of a path."""
        return urllib.parse.quote(name, safe="")

    def call(self, method: str, path: str, body: bytes = b"") -> typing.Any:
        """Make one call; return the decoded answer or raise its coded failure."""
        return asyncio.run(self.request(method, path, body))

    async def request(self, method: str, path: str, body: bytes) -> typing.Any:
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
            detail = f"{self.url}: {type(error).__name__}"
            raise codes.Failure(codes.ADMIN_UNREACHABLE, detail)
        if status != 200:
            raise as_failure(data)
        try:
            return msgspec.json.decode(data)
        except msgspec.MsgspecError:
            detail = f"{self.url}: the answer is not that of a node"
            raise codes.Failure(codes.ADMIN_UNREACHABLE, detail)


def as_failure(data: bytes) -> codes.Failure:
    """Return the failure that a refused call tells."""
    try:
        error = msgspec.json.decode(data, type=server.Error)
    except msgspec.MsgspecError:
        return codes.Failure(
            codes.ADMIN_BAD_REQUEST, data[:200].decode(errors="replace")
        )
    code = codes.TABLE.get(error.code, codes.ADMIN_BAD_REQUEST)
    return codes.Failure(code, error.detail, where=error.where)


def options(command: collections.abc.Callable) -> collections.abc.Callable:
    """Add the options that tell which node to call, and pass a ``Remote``."""

    @click.option(
        "--admin",
        envvar="RATTANRIDGE_ADMIN",
        default="http://127.0.0.1:7404",
        show_default=True,
        help="Administration URL of a node; or set RATTANRIDGE_ADMIN.",
    )
    @click.option(
        "--token",
        envvar="RATTANRIDGE_TOKEN",
        required=True,
        help="Bearer token; or set RATTANRIDGE_TOKEN.",
    )
    @functools.wraps(command)
    def wrapper(*args: object, admin: str, token: str, **more: object) -> object:
        return command(*args, remote=Remote(admin, token), **more)

    return wrapper
