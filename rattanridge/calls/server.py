"""HTTP server side of the call path: coded answers and whole bodies."""

import asyncio
import collections.abc

import aiohttp
import aiohttp.hdrs
import aiohttp.http_exceptions
import aiohttp.web

from rattanridge.calls import headers, memory, types
from rattanridge.kernel import codes, log, metrics, settings

SERVER = "rattanridge"
BROKEN = (aiohttp.ClientError, aiohttp.web.RequestPayloadError, OSError)
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

Handler = collections.abc.Callable[
    [aiohttp.web.BaseRequest], collections.abc.Awaitable[aiohttp.web.StreamResponse]
]


class Connection(aiohttp.web.RequestHandler):
    """One caller's connection; answers what cannot be read with a code."""

    __slots__ = ()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        if self._manager.is_full():
            transport.abort()

    def handle_error(
        self,
        request: aiohttp.web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> aiohttp.web.Response:
        """Build the answer to a request that could not be read or handled."""
        if request.writer.output_size > 0:
            raise ConnectionError("the answer is cut")
        failure = self._manager.explain(status, exc)
        response = make_response(types.refuse(failure))
        response.force_close()
        return response


class Server(aiohttp.web.Server):
    """Serves one port of the node.

    :param handler: answers requests.
    :param config: the node's settings.
    :param counters: counts requests that cannot be read.
    """

    def __init__(
        self,
        handler: Handler,
        config: settings.NodeSettings,
        counters: metrics.Counters,
    ):
        limits = config.limits
        super().__init__(handler, handler_cancellation=True)
        self.limits = limits
        self.counters = counters
        self.log = log.Log("server", config.name)
        self.options = {
            "access_log": None,
            "max_line_size": limits.header_bytes,
            "max_field_size": limits.header_bytes,
            "auto_decompress": False,
        }

    def __call__(self) -> Connection:
        return Connection(self, loop=asyncio.get_running_loop(), **self.options)

    def is_full(self) -> bool:
        """Whether there are more connections than the settings allow."""
        if len(self._connections) <= self.limits.connections:
            return False
        self.counters.add("server.refused.connections")
        return True

    def explain(self, status: int, error: BaseException | None) -> codes.Failure:
        """Return the coded failure for an error; a handler's own is unknown."""
        if isinstance(error, aiohttp.http_exceptions.LineTooLong):
            failure = codes.Failure(codes.HEADERS_TOO_LARGE)
        elif status < 500:
            failure = codes.Failure(codes.BAD_REQUEST, type(error).__name__)
        else:
            detail = type(error).__name__
            failure = codes.Failure(codes.INTERNAL, detail, ran=codes.Ran.UNKNOWN)
            self.log.error("handler-failed", why=repr(error))
        self.counters.add(f"server.refused.{failure.code.name}")
        return failure


def make_response(answer: types.Answer) -> aiohttp.web.Response:
    """Return a whole answer as a response, with its code and outcome."""
    mark(answer)
    return aiohttp.web.Response(
        status=answer.status, headers=answer.headers, body=answer.body
    )


def mark(answer: types.Answer) -> None:
    """Set the headers that tell the code and the outcome."""
    marked = answer.headers
    marked[headers.RAN] = answer.ran.value
    marked.setdefault(aiohttp.hdrs.SERVER, SERVER)
    if answer.code is not None:
        marked[headers.CODE] = str(answer.code.number)


async def respond(
    request: aiohttp.web.BaseRequest, answer: types.Answer
) -> aiohttp.web.StreamResponse:
    """Return the response; a large answer is passed on in parts here.

    A large answer that is cut on its way breaks the caller's connection, so that
    it never looks whole; the coded failure is raised after that.
    """
    if answer.rest is None:
        return make_response(answer)
    mark(answer)
    try:
        response = aiohttp.web.StreamResponse(
            status=answer.status, headers=answer.headers
        )
        await response.prepare(request)
        part = answer.body
        while part:
            await response.write(part)
            part = await answer.rest.read()
        await response.write_eof()
        return response
    except codes.Failure:
        if request.transport is not None:
            request.transport.abort()
        raise
    finally:
        answer.rest.close()


async def read_body(
    request: aiohttp.web.BaseRequest, limit: int, held: memory.Held
) -> bytes:
    """Read a request's body whole; ``held.release`` it after use.

    :param limit: most bytes.
    :param held: counts the bytes.
    """
    length = request.content_length
    if (length or 0) > limit:
        raise codes.Failure(codes.BODY_TOO_LARGE)
    if length is None and not request.body_exists:
        return b""
    if aiohttp.hdrs.EXPECT in request.headers:
        await answer_expect(request)
    parts = []
    size = taken = 0
    try:
        async for part in request.content.iter_any():
            size += len(part)
            if size > limit:
                raise codes.Failure(codes.BODY_TOO_LARGE)
            if size > memory.SMALL:
                held.take(size - taken)
                taken = size
            parts.append(part)
    except BaseException as error:
        held.give(taken)
        if isinstance(error, BROKEN):
            raise codes.Failure(codes.BODY_CUT)
        raise
    return b"".join(parts)


async def answer_expect(request: aiohttp.web.BaseRequest) -> None:
    """Tell a caller that waits with its body to send it."""
    if request.headers[aiohttp.hdrs.EXPECT].lower() != "100-continue":
        raise codes.Failure(codes.BAD_REQUEST, "expectation")
    await request.writer.write(CONTINUE)
    request.writer.output_size = 0
