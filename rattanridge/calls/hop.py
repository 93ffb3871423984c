"""The node's hop port: calls that other nodes forward to the exit here."""

import asyncio
import hmac

import aiohttp.web

from rattanridge.calls import entry as entries, exit as exits, headers, types
from rattanridge.control import transport
from rattanridge.kernel import codes, metrics, presets, settings

DEADLINE_MOST = 3600.0  # seconds


class Hop:
    """Serves calls from other nodes.

    :param config: the node's settings.
    :param entry: reads request bodies within the limits.
    :param exit: runs the calls.
    :param counters: counts refused peers.
    """

    def __init__(
        self,
        config: settings.NodeSettings,
        entry: entries.Entry,
        exit: exits.Exit,
        counters: metrics.Counters,
    ):
        self.config = config
        self.entry = entry
        self.exit = exit
        self.counters = counters
        self.tokens: dict[str, str] = {}

    async def serve(self, request: aiohttp.web.BaseRequest) -> aiohttp.web.Response:
        """Run one forwarded call."""
        try:
            self.authenticate(request)
            answer = await self.exit.run(await self.read(request))
        except codes.Failure as failure:
            self.counters.add(f"hop.refused.{failure.code.name}")
            answer = types.refuse(failure)
        return self.respond(answer)

    def authenticate(self, request: aiohttp.web.BaseRequest) -> None:
        """Refuse a peer that does not prove the shared key."""
        node = request.headers.get(headers.NODE, "")
        token = request.headers.get(headers.TOKEN, "")
        wanted = self.tokens.get(node) or transport.sign(self.config.key, "hop", node)
        sent = token.encode(errors="surrogateescape")
        if not hmac.compare_digest(sent, wanted.encode()):
            raise codes.Failure(codes.HOP_REFUSED)
        self.tokens[node] = wanted

    async def read(self, request: aiohttp.web.BaseRequest) -> types.Call:
        """Read a forwarded call with the marks that the entry set."""
        marks = request.headers
        priority = marks.get(headers.PRIORITY, "normal")
        if priority not in presets.PRIORITIES:
            raise codes.Failure(codes.BAD_REQUEST, "priority")
        left = parse_deadline(marks.get(headers.DEADLINE, ""))
        now = asyncio.get_running_loop().time()
        return types.Call(
            method=request.method,
            path=request.raw_path,
            headers=headers.forwardable(marks),
            body=await self.entry.read_body(request),
            service=marks.get(headers.TARGET, ""),
            idempotent=headers.ONCE not in marks,
            priority=priority,
            deadline=now + left,
            retried=headers.RETRY in marks,
        )

    def respond(self, answer: types.Answer) -> aiohttp.web.Response:
        """Build the response with the marks that the entry reads."""
        answer.headers[headers.RAN] = answer.ran.value
        answer.headers[headers.LOAD] = f"{answer.load[0]}/{answer.load[1]}"
        if answer.code is not None:
            answer.headers[headers.CODE] = str(answer.code.number)
        return aiohttp.web.Response(
            status=answer.status, headers=answer.headers, body=answer.body
        )


def parse_deadline(text: str) -> float:
    """Return the seconds left that a mark in milliseconds tells."""
    if not text.isdigit() or len(text) > 9:
        raise codes.Failure(codes.BAD_REQUEST, "deadline")
    return min(int(text) / 1000, DEADLINE_MOST)
