"""The only code that knows the platform's object API (HTTP and JSON)."""

import asyncio
import typing
import urllib.parse
import uuid

import aiohttp
import msgspec

from rattanridge.kernel import codes, metrics
from rattanridge.objectapi import objects

T = typing.TypeVar("T")

CALL_TIMEOUT = 2.0  # seconds
WATCH_MARGIN = 5.0  # seconds beyond the wait asked for

# Failures after which a write may have taken effect.
DOUBTFUL = (codes.PLATFORM_DOWN, codes.PLATFORM_CONFLICT, codes.PLATFORM_REFUSED)

STATUS_CODES = {
    404: codes.PLATFORM_MISSING,
    409: codes.PLATFORM_CONFLICT,
    410: codes.WATCH_LOST,
    413: codes.TOO_LARGE,
    429: codes.PLATFORM_BUSY,
    503: codes.PLATFORM_DOWN,
}


class Client:
    """Calls the object API.

    :param urls: base URLs, tried in turn after a failure.
    :param counters: counts ``platform.<operation>`` and failures by code.
    :param timeout: seconds for one call.
    """

    def __init__(
        self,
        urls: list[str],
        counters: metrics.Counters | None = None,
        timeout: float = CALL_TIMEOUT,
    ):
        self.urls = list(urls)
        self.counters = counters or metrics.Counters()
        self.timeout = timeout
        self.session: aiohttp.ClientSession | None = None
        self.last_answer = 0.0

    async def close(self) -> None:
        if self.session is not None:
            await self.session.close()
            self.session = None

    async def get(self, key: str) -> objects.Stored:
        """Return an object; ``platform-missing`` if there is none."""
        data = await self.call("GET", f"/v1/objects/{quote(key)}")
        return decode(data, objects.Stored)

    async def find(self, key: str) -> objects.Stored | None:
        """Return an object, or ``None`` if there is none."""
        try:
            return await self.get(key)
        except codes.Failure as failure:
            if failure.code is codes.PLATFORM_MISSING:
                return None
            raise

    async def list(self, *prefixes: str) -> objects.Listing:
        """Return all objects whose keys begin with one of the prefixes."""
        query = urllib.parse.urlencode([("prefix", prefix) for prefix in prefixes])
        data = await self.call("GET", f"/v1/objects?{query}")
        return decode(data, objects.Listing)

    async def list_keys(self, *prefixes: str) -> objects.Listing:
        """Return all objects under the prefixes without their values."""
        pairs = [("prefix", prefix) for prefix in prefixes] + [("values", "0")]
        data = await self.call("GET", f"/v1/objects?{urllib.parse.urlencode(pairs)}")
        return decode(data, objects.Listing)

    async def watch(
        self, prefixes: typing.Sequence[str], after: int, wait: float
    ) -> objects.Listing:
        """Wait for changes after a revision; return them, or none after ``wait``.

        Raises ``watch-lost`` if the revision is too old; then list again.
        """
        pairs = [("prefix", prefix) for prefix in prefixes]
        pairs += [("after", str(after)), ("wait", f"{wait:g}")]
        query = urllib.parse.urlencode(pairs)
        timeout = wait + WATCH_MARGIN
        data = await self.call("GET", f"/v1/watch?{query}", timeout=timeout)
        return decode(data, objects.Listing)

    async def put(
        self, key: str, value: object, if_version: int, write_id: str = ""
    ) -> objects.Stored:
        """Write an object if its version is still the one given (0: create).

        After a lost answer the object is read back: the write id tells whether
        this write took effect. If that can't be learnt, ``platform-down`` is
        raised and the outcome is unknown.
        """
        write_id = write_id or uuid.uuid4().hex
        raw = msgspec.Raw(msgspec.json.encode(value))
        if len(raw) > objects.MAX_VALUE_BYTES:
            raise codes.Failure(codes.TOO_LARGE, f"{key}: {len(raw)} bytes")
        body = msgspec.json.encode(objects.Write(raw, if_version, write_id))
        try:
            data = await self.call("PUT", f"/v1/objects/{quote(key)}", body)
            return decode(data, objects.Stored)
        except codes.Failure as failure:
            if failure.code not in DOUBTFUL:
                raise
            return await self.read_back(key, write_id, failure)

    async def read_back(
        self, key: str, write_id: str, failure: codes.Failure
    ) -> objects.Stored:
        """Return the object if the write took effect, else raise the failure.

        A conflict after a retried lost write is this writer's own success.
        """
        self.counters.add("platform.read-back")
        stored = await self.find(key)
        if stored is not None and stored.write_id == write_id:
            return stored
        if failure.code is not codes.PLATFORM_DOWN:
            raise failure
        raise codes.Failure(
            codes.PLATFORM_DOWN, f"{key}: the write may still take effect"
        )

    async def delete(self, key: str, if_version: int) -> None:
        """Delete an object if its version is still the one given."""
        await self.call("DELETE", f"/v1/objects/{quote(key)}?if_version={if_version}")

    async def call(
        self, method: str, path: str, body: bytes = b"", timeout: float = 0.0
    ) -> bytes:
        """Make one call; raise a coded failure unless it answers 200."""
        operation = "watch" if path.startswith("/v1/watch") else method.lower()
        self.counters.add(f"platform.{operation}")
        if self.session is None:
            self.session = aiohttp.ClientSession(cookie_jar=aiohttp.DummyCookieJar())
        url = self.urls[0] + path
        limit = aiohttp.ClientTimeout(total=timeout or self.timeout)
        try:
            async with self.session.request(
                method, url, data=body or None, timeout=limit
            ) as response:
                data = await response.read()
                status = response.status
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            self.urls.append(self.urls.pop(0))
            self.fail(codes.PLATFORM_DOWN, type(error).__name__)
        self.last_answer = asyncio.get_running_loop().time()
        if status != 200:
            code = STATUS_CODES.get(status, codes.PLATFORM_REFUSED)
            self.fail(code, f"{method} {path.partition('?')[0]}: {status}")
        return data

    def fail(self, code: codes.Code, detail: str) -> typing.NoReturn:
        self.counters.add(f"platform.failed.{code.name}")
        raise codes.Failure(code, detail)


def decode(data: bytes, kind: type[T]) -> T:
    """Decode an answer of the platform."""
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise codes.Failure(codes.PLATFORM_REFUSED, f"unreadable answer: {error}")


def quote(key: str) -> str:
    """Return a key as part of a URL path."""
    return urllib.parse.quote(key, safe="/")


def value_of(stored: objects.Stored, kind: type[T]) -> T:
    """Decode an object's value."""
    try:
        return msgspec.json.decode(stored.value, type=kind)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise codes.Failure(codes.BAD_FIELD, str(error), where=stored.key)
