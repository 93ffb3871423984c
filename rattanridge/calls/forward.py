"""HTTP client side of the call path: to upstreams and to other nodes.

It uses the library's request and connector directly, without its session: a
session does not tell whether a request was sent, and sends some requests again
by itself.
"""

import asyncio
import select
import weakref

import aiohttp
import aiohttp.hdrs
import multidict
import yarl

from rattanridge.calls import headers, memory, types
from rattanridge.kernel import codes, settings

WHOLE_BYTES = 262_144  # a larger answer is passed on in parts where allowed
READ_BYTES = 65_536  # buffered from one connection before reading pauses
SKIPPED = multidict.CIMultiDict({"Content-Type": None})
WITHOUT_BODY = frozenset((204, 304))
NO_TIMEOUT = aiohttp.ClientTimeout(total=None, connect=None, sock_connect=None)


def make_url(address: str, path: str) -> yarl.URL:
    """Return the URL of a checked path at ``host:port``, byte for byte."""
    return yarl.URL(f"http://{address}{path}", encoded=True)


class Request(aiohttp.ClientRequest):
    """A request whose headers are sent as they are given."""

    def update_headers(self, headers: multidict.CIMultiDict) -> None:
        self.headers = headers
        if aiohttp.hdrs.HOST not in headers:
            headers[aiohttp.hdrs.HOST] = self.url.host_port_subcomponent

    def update_auto_headers(self, skip_auto_headers: object) -> None:
        self._skip_auto_headers = SKIPPED


class Client:
    """Keep-alive connections to upstreams or nodes.

    :param config: the node's settings.
    :param held: counts the bytes of answers that are held whole.
    :param connections: most connections in all; 0 is no limit.
    :param per_address: most connections to one address; 0 is no limit.
    :param idle: seconds that an unused connection is kept.
    """

    def __init__(
        self,
        config: settings.NodeSettings,
        held: memory.Held,
        connections: int = 0,
        per_address: int = 0,
        idle: float = 30.0,
    ):
        self.limits = config.limits
        self.held = held
        self.loop = asyncio.get_running_loop()
        self.connector = aiohttp.TCPConnector(
            limit=connections,
            limit_per_host=per_address,
            keepalive_timeout=idle,
            ttl_dns_cache=None,
        )
        self.used: weakref.WeakSet = weakref.WeakSet()
        self.active = 0
        self.retired = False

    async def close(self) -> None:
        """Break all connections."""
        await self.connector.close()

    async def retire(self) -> None:
        """Close as soon as no request is in progress."""
        self.retired = True
        if not self.active:
            await self.close()

    async def send(
        self,
        address: str,
        call: types.Call,
        extra: dict[str, str],
        end: float,
    ) -> types.Answer:
        """Send a call and return its answer, whole or as far as it may stream.

        A failure says ``not-run`` only if no byte was sent.

        :param end: monotonic seconds at which to give up waiting for the answer;
            until the call's deadline it must be sent.
        """
        if self.loop.time() >= call.deadline:
            raise codes.Failure(codes.TOO_LATE)
        request = self.make_request(address, call, extra)
        sent = False
        self.active += 1
        try:
            async with asyncio.timeout_at(call.deadline) as timeout:
                connection = await self.connect(request)
                sent = True
                if end != call.deadline:
                    timeout.reschedule(end)
                response = await exchange(request, connection)
                return await self.read(response, call, end)
        except TimeoutError:
            if not sent:
                raise codes.Failure(codes.TOO_LATE, "no connection")
            raise codes.Failure(codes.DEADLINE, ran=codes.Ran.UNKNOWN)
        except (aiohttp.ClientError, OSError) as error:
            detail = type(error).__name__
            if not sent:
                raise codes.Failure(codes.CONNECT_FAILED, detail)
            raise codes.Failure(codes.UPSTREAM_FAILED, detail, ran=codes.Ran.UNKNOWN)
        finally:
            self.active -= 1
            if self.retired and not self.active:
                await self.close()

    def make_request(
        self, address: str, call: types.Call, extra: dict[str, str]
    ) -> aiohttp.ClientRequest:
        """Build the request; the call's own headers stay as they are."""
        wanted = multidict.CIMultiDict(call.headers)
        wanted.update(extra)
        return Request(
            call.method,
            make_url(address, call.path),
            headers=wanted,
            data=call.body or None,
            loop=self.loop,
        )

    async def connect(
        self, request: aiohttp.ClientRequest
    ) -> aiohttp.connector.Connection:
        """Return a connection that is open and has nothing unread."""
        while True:
            connection = await self.connector.connect(request, [], NO_TIMEOUT)
            protocol = connection.protocol
            if is_fresh(connection):
                self.prepare(request, connection)
                self.used.add(protocol)
                return connection
            connection.close()
            if protocol not in self.used:
                raise codes.Failure(codes.CONNECT_FAILED, "closed before use")

    def prepare(
        self, request: aiohttp.ClientRequest, connection: aiohttp.connector.Connection
    ) -> None:
        """Set up the parser of the connection's next answer."""
        connection.protocol.set_response_params(
            skip_payload=request.method == aiohttp.hdrs.METH_HEAD,
            read_until_eof=True,
            auto_decompress=False,
            read_bufsize=READ_BYTES,
            max_line_size=self.limits.header_bytes,
            max_field_size=self.limits.header_bytes,
        )

    async def read(
        self, response: aiohttp.ClientResponse, call: types.Call, end: float
    ) -> types.Answer:
        """Read the answer whole, or its beginning if it is large and may stream."""
        kept = headers.forwardable(response.headers)
        answer = types.Answer(response.status, kept, b"", codes.Ran.RAN)
        answer.marks = response.headers
        length = response.headers.get(aiohttp.hdrs.CONTENT_LENGTH)
        if call.method == aiohttp.hdrs.METH_HEAD or response.status in WITHOUT_BODY:
            if length is not None:
                kept[aiohttp.hdrs.CONTENT_LENGTH] = length
            response.release()
            return answer
        rest = ResponseRest(response, end, self)
        try:
            check_framing(response)
            await self.read_body(answer, rest, call.stream)
        except BaseException:
            rest.close()
            raise
        if answer.rest is not None and length is not None:
            kept[aiohttp.hdrs.CONTENT_LENGTH] = length
        return answer

    async def read_body(
        self, answer: types.Answer, rest: "ResponseRest", stream: bool
    ) -> None:
        """Read up to the limit; leave the rest of a large body to be streamed."""
        parts = []
        size = 0
        while part := await rest.read():
            parts.append(part)
            size += len(part)
            if size <= WHOLE_BYTES:
                continue
            if stream:
                answer.rest = rest
                break
            if size > self.limits.answer_bytes:
                detail = "over the limit"
                raise codes.Failure(codes.ANSWER_TOO_LARGE, detail, ran=codes.Ran.RAN)
            rest.hold(len(part))
        answer.body = b"".join(parts)
        if answer.rest is None:
            rest.close()


class ResponseRest(types.Rest):
    """What is unread of a response on a connection.

    :param end: monotonic seconds at which to give up.
    :param client: keeps open until the response is read.
    """

    def __init__(self, response: aiohttp.ClientResponse, end: float, client: Client):
        self.response = response
        self.end = end
        self.client = client
        self.held = 0
        self.open = True
        client.active += 1

    def hold(self, size: int) -> None:
        """Count bytes that are held whole; raise if the node holds too many."""
        self.client.held.take(size, codes.Ran.RAN)
        self.held += size

    async def read(self) -> bytes:
        try:
            part = self.response.content.read_nowait(-1)
            if part or self.response.content.at_eof():
                return part
            async with asyncio.timeout_at(self.end):
                return await self.response.content.readany()
        except TimeoutError:
            raise codes.Failure(codes.DEADLINE, ran=codes.Ran.UNKNOWN)
        except (aiohttp.ClientError, OSError) as error:
            detail = type(error).__name__
            raise codes.Failure(codes.ANSWER_CUT, detail, ran=codes.Ran.UNKNOWN)

    def close(self) -> None:
        if not self.open:
            return
        self.open = False
        self.client.held.give(self.held)
        if self.response.content.at_eof():
            self.response.release()
        else:
            self.response.close()
        self.client.active -= 1
        if self.client.retired and not self.client.active:
            self.client.loop.create_task(self.client.close())


async def exchange(
    request: aiohttp.ClientRequest, connection: aiohttp.connector.Connection
) -> aiohttp.ClientResponse:
    """Send a request and read the head of its answer; any failure on the way
    closes the connection, so that it is never used again."""
    response = None
    try:
        response = await request.send(connection)
        return await response.start(connection)
    except BaseException:
        if response is not None:
            response.close()
        connection.close()
        raise


def is_fresh(connection: aiohttp.connector.Connection) -> bool:
    """Whether nothing came on a connection since its last answer.

    What comes between two requests is the end of the connection, or an answer
    that belongs to no request.
    """
    protocol = connection.protocol
    if protocol is None or protocol.should_close or not protocol.is_connected():
        return False
    socket = protocol.transport.get_extra_info("socket")
    # A plain select refuses file numbers above 1023.
    poll = select.poll()
    poll.register(socket, select.POLLIN)
    return not poll.poll(0)


def check_framing(response: aiohttp.ClientResponse) -> None:
    """Refuse an answer whose end only the closing of the connection would tell:
    whether it was cut short cannot be known."""
    if aiohttp.hdrs.CONTENT_LENGTH in response.headers:
        return
    coding = response.headers.get(aiohttp.hdrs.TRANSFER_ENCODING, "")
    if "chunked" not in coding.lower():
        raise codes.Failure(codes.ANSWER_UNFRAMED, ran=codes.Ran.UNKNOWN)
