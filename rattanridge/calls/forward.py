"""HTTP client sides of the call path: to upstreams and to other nodes."""

import asyncio

import aiohttp
import multidict
import yarl

from rattanridge.calls import headers, types
from rattanridge.kernel import codes

KEEP_ALIVE = 30.0  # seconds that an idle connection is kept


def make_session(connections: int) -> aiohttp.ClientSession:
    """Return a client session that keeps no cookies and changes no bodies."""
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=connections, keepalive_timeout=KEEP_ALIVE, ttl_dns_cache=None
        ),
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
        timeout=aiohttp.ClientTimeout(total=None),
        requote_redirect_url=False,
    )
    # The library would send GET, PUT and DELETE again by itself on a connection
    # that broke; whether a request may run twice is the preset's to say.
    session._retry_connection = False
    return session


async def read_whole(response: aiohttp.ClientResponse, limit: int) -> bytes:
    """Read an answer whole; raise a coded failure if it is cut or too long."""
    try:
        body = await response.read()
    except aiohttp.ClientPayloadError:
        raise codes.Failure(codes.ANSWER_CUT, ran=codes.Ran.UNKNOWN)
    if len(body) > limit:
        raise codes.Failure(codes.ANSWER_CUT, "over the limit", ran=codes.Ran.RAN)
    return body


async def send(
    session: aiohttp.ClientSession,
    url: str,
    call: types.Call,
    extra: dict[str, str],
    limit: int,
) -> tuple[aiohttp.ClientResponse, bytes]:
    """Send a call and return the response with its whole body.

    ``connect-failed`` is raised only if no byte was sent.
    """
    wanted = multidict.CIMultiDict(call.headers)
    wanted.update(extra)
    left = call.deadline - asyncio.get_running_loop().time()
    if left <= 0:
        raise codes.Failure(codes.TOO_LATE)
    try:
        async with asyncio.timeout(left):
            async with session.request(
                call.method,
                # Taken as it came: quoted anew, it would be another target.
                yarl.URL(url, encoded=True),
                headers=wanted,
                data=call.body or None,
                allow_redirects=False,
            ) as response:
                return response, await read_whole(response, limit)
    except aiohttp.ClientConnectorError as error:
        raise codes.Failure(codes.CONNECT_FAILED, type(error).__name__)
    except TimeoutError:
        raise codes.Failure(codes.DEADLINE, ran=codes.Ran.UNKNOWN)
    except (aiohttp.ClientError, OSError) as error:
        detail = type(error).__name__
        raise codes.Failure(codes.UPSTREAM_FAILED, detail, ran=codes.Ran.UNKNOWN)


def answer_of(response: aiohttp.ClientResponse, body: bytes) -> types.Answer:
    """Turn a whole response into an answer of the upstream."""
    kept = headers.forwardable(response.headers)
    return types.Answer(response.status, kept, body, codes.Ran.RAN)
