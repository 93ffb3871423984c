"""Callers of a soak: they keep connections until the process at the other end is
gone, and note what they were told."""

import asyncio
import dataclasses
import itertools
import random

import aiohttp

from rattanridge.platform import headers
from rattanridge.soak import parts
from rattanridge.standin import upstream as upstreams
from rattanridge.web import headers as own_headers

DEADLINE_MS = 1500
LIMIT = 4.0  # seconds after which an answer counts as never coming
PACE = 0.03  # seconds between requests of one caller
SENDINGS = 3  # of one request with a key


@dataclasses.dataclass(slots=True)
class Sent:
    """One sending of a request.

    :param key: idempotency key; empty if it has none.
    :param ran: what the answer said; empty if there was none.
    :param cut: how the connection ended, if it did.
    """

    attempt: str
    method: str
    path: str
    key: str
    host: str
    at: float
    status: int = 0
    ran: str = ""
    code: str = ""
    body: bytes = b""
    cut: str = ""


class Callers:
    """Sends requests of all kinds through all hosts.

    :param count: callers at once.
    """

    def __init__(self, world: parts.World, rng: random.Random, count: int = 8):
        self.world = world
        self.random = rng
        self.count = count
        self.sent: list[Sent] = []
        self.numbers = itertools.count(1)
        self.ending = False

    async def run(self) -> None:
        """Send until told to end."""
        await asyncio.gather(*(self.call_on() for _ in range(self.count)))

    async def call_on(self) -> None:
        """Be one caller: a connection to each host, kept."""
        async with aiohttp.ClientSession() as session:
            while not self.ending:
                await self.send_one(session)
                await asyncio.sleep(PACE)

    async def send_one(self, session: aiohttp.ClientSession) -> None:
        """Send one request; one with a key several times through any hosts."""
        service = self.random.choice(parts.SERVICES)
        number = next(self.numbers)
        kind = self.random.random()
        if kind < 0.5:
            await self.send(session, "GET", f"/{service}/read-{number}")
        elif kind < 0.8:
            await self.send(session, "POST", f"/{service}/once-{number}")
        else:
            for _ in range(self.random.randint(1, SENDINGS)):
                path = f"/{service}/keyed-{number}"
                await self.send(session, "POST", path, f"key-{number}")

    async def send(
        self, session: aiohttp.ClientSession, method: str, path: str, key: str = ""
    ) -> Sent:
        """Send a request once and note what became of it."""
        host = self.random.choice(self.world.hosts)
        loop = asyncio.get_running_loop()
        attempt = f"{next(self.numbers):08x}"
        sent = Sent(attempt, method, path, key, host.name, loop.time())
        self.sent.append(sent)
        marks = {headers.ATTEMPT: attempt, headers.DEADLINE: str(DEADLINE_MS)}
        if key:
            marks[upstreams.KEY] = key
        url = f"http://{host.listen['callers']}{path}"
        limit = aiohttp.ClientTimeout(total=LIMIT)
        try:
            async with session.request(
                method, url, headers=marks, timeout=limit
            ) as response:
                sent.body = await response.read()
                sent.status = response.status
                sent.ran = response.headers.get(own_headers.RAN, "")
                sent.code = response.headers.get(own_headers.CODE, "")
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            sent.cut = type(error).__name__
        return sent
