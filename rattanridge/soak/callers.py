"""Callers of a soak.

They keep their connections until the process at the other end is gone, and record
the answer to each request.
"""

import asyncio
import dataclasses
import itertools
import random
import time

import aiohttp

from rattanridge.platform import headers
from rattanridge.soak import api_keys, processes
from rattanridge.standin import upstream as upstreams
from rattanridge.web import headers as web_headers

DEADLINE_MS = 1500
ANSWER_TIMEOUT = 4.0  # seconds after which a request counts as never answered
LONG = "long"  # begins the names of requests that take long
MAX_ATTEMPTS = 3  # of one request with an idempotency key


@dataclasses.dataclass(slots=True)
class Attempt:
    """One attempt to send a request, and its result.

    :param id: attempt id.
    :param key: idempotency key; empty if it has none.
    :param host: name of the host to which it was sent.
    :param at: when it was sent, in seconds of the event loop's clock.
    :param status: HTTP status of the answer; 0 if there was none.
    :param ran: what the answer says on whether the request ran; empty if nothing.
    :param code: code that a node gave in its answer; empty if there was none.
    :param limit: limit that the upstream named in the answer; empty if none.
    :param leaving: whether the upstream said in the answer that it leaves.
    :param answered_at: when the answer had come, in seconds since the epoch.
    :param error: class name of the exception that ended it; empty if there was none.
    :param api_key: key of a client account; empty if it has none.
    """

    id: str
    method: str
    path: str
    key: str
    host: str
    at: float
    status: int = 0
    ran: str = ""
    code: str = ""
    body: bytes = b""
    limit: str = ""
    leaving: bool = False
    answered_at: float = 0.0
    error: str = ""
    api_key: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class Load:
    """What the callers send.

    :param callers: number of concurrent callers.
    :param interval: seconds between requests of one caller.
    :param long_share: share of the requests that take long and must not be repeated.
    """

    callers: int = 8
    interval: float = 0.03
    long_share: float = 0.0


class Callers:
    """Sends requests of all kinds through all hosts.

    :param keys: chooses the keys of client accounts; None if none are sent.
    """

    def __init__(
        self,
        cluster: processes.Cluster,
        rng: random.Random,
        load: Load,
        keys: api_keys.KeyRing | None = None,
    ):
        self.cluster = cluster
        self.random = rng
        self.load = load
        self.keys = keys
        self.attempts: list[Attempt] = []
        self.numbers = itertools.count(1)
        self.stopping = False

    async def run(self) -> None:
        """Send requests until ``stopping`` is set."""
        await asyncio.gather(*(self.run_caller() for _ in range(self.load.callers)))

    async def run_caller(self) -> None:
        """Run one caller, which keeps its connections to the hosts open."""
        async with aiohttp.ClientSession() as session:
            while not self.stopping:
                await self.send_request(session)
                await asyncio.sleep(self.load.interval)

    async def send_request(self, session: aiohttp.ClientSession) -> None:
        """Send one random request.

        One with an idempotency key may be sent several times, through random hosts.
        """
        service = self.random.choice(processes.SERVICES)
        number = next(self.numbers)
        # All attempts of one request are of the same account.
        api_key = self.keys.choose() if self.keys is not None else ""
        if self.keys is not None and self.keys.is_public():
            path = f"/{service}/{api_keys.PUBLIC}/{number}"
            await self.send_attempt(session, "GET", path, api_key=api_key)
            return
        kind = self.random.random()
        if kind < self.load.long_share:
            path = f"/{service}/{LONG}-{number}"
            await self.send_attempt(session, "POST", path, api_key=api_key)
            return
        if kind < 0.5:
            path = f"/{service}/read-{number}"
            await self.send_attempt(session, "GET", path, api_key=api_key)
        elif kind < 0.8:
            path = f"/{service}/once-{number}"
            await self.send_attempt(session, "POST", path, api_key=api_key)
        else:
            for _ in range(self.random.randint(1, MAX_ATTEMPTS)):
                path = f"/{service}/keyed-{number}"
                await self.send_attempt(session, "POST", path, f"key-{number}", api_key)

    async def send_attempt(
        self,
        session: aiohttp.ClientSession,
        method: str,
        path: str,
        key: str = "",
        api_key: str = "",
        host: processes.Host | None = None,
    ) -> Attempt:
        """Send a request once and record the result.

        :param host: host to send it to; None for a random one.
        """
        host = host or self.random.choice(self.cluster.hosts)
        loop = asyncio.get_running_loop()
        attempt = f"{next(self.numbers):08x}"
        result = Attempt(attempt, method, path, key, host.name, loop.time())
        result.api_key = api_key
        self.attempts.append(result)
        request_headers = {headers.ATTEMPT: attempt, headers.DEADLINE: str(DEADLINE_MS)}
        if key:
            request_headers[upstreams.IDEMPOTENCY_KEY] = key
        if api_key:
            request_headers[headers.AUTHORIZATION] = f"{headers.KEY_SCHEME} {api_key}"
        url = f"http://{host.listen['callers']}{path}"
        timeout = aiohttp.ClientTimeout(total=ANSWER_TIMEOUT)
        try:
            async with session.request(
                method, url, headers=request_headers, timeout=timeout
            ) as response:
                result.body = await response.read()
                result.status = response.status
                result.ran = response.headers.get(web_headers.RAN, "")
                result.code = response.headers.get(web_headers.CODE, "")
                result.limit = response.headers.get(headers.LIMIT, "")
                result.leaving = headers.LEAVING in response.headers
                result.answered_at = time.time()
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            result.error = type(error).__name__
        return result
