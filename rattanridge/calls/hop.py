"""The node's hop port: calls that other nodes forward to the exit here."""

import asyncio
import hmac

import aiohttp.web

from rattanridge.calls import (
    background,
    bodies,
    exit as exits,
    headers,
    memory,
    responses,
    types,
)
from rattanridge.control import transport
from rattanridge.kernel import codes, metrics, presets, settings

DEADLINE_MOST = 3600.0  # seconds


class Hop:
    """Serves calls from other nodes.

    :param config: the node's settings.
    :param exit: runs the calls.
    :param counters: counts refused peers.
    :param held: counts the bytes of bodies that are held whole.
    """

    def __init__(
        self,
        config: settings.NodeSettings,
        exit: exits.Exit,
        counters: metrics.Counters,
        held: memory.Held,
    ):
        self.config = config
        self.exit = exit
        self.counters = counters
        self.held = held
        self.background = background.Background(config.name)
        self.tokens: dict[str, str] = {}
        self.active = 0

    async def serve(
        self, request: aiohttp.web.BaseRequest
    ) -> aiohttp.web.StreamResponse:
        """Run one forwarded call."""
        self.active += 1
        try:
            return await self.respond(request, await self.answer(request))
        finally:
            self.active -= 1

    async def answer(self, request: aiohttp.web.BaseRequest) -> types.Answer:
        """Run a call; one that must not repeat goes on if the entry goes away."""
        try:
            self.authenticate(request)
            call = await self.read(request)
        except codes.Failure as failure:
            self.counters.add(f"hop.refused.{failure.code.name}")
            return types.refuse(failure)
        if call.idempotent:
            return await self.run(call)
        return await self.background.run(self.run(call))

    async def run(self, call: types.Call) -> types.Answer:
        try:
            return await self.exit.run(call)
        finally:
            self.held.release(call.body)

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
        deadline = asyncio.get_running_loop().time() + left
        limit = self.config.limits.body_bytes
        body = await bodies.read_body(request, limit, self.held)
        idempotent = headers.ONCE not in marks
        return types.Call(
            method=request.method,
            path=request.raw_path,
            headers=headers.forwardable(marks),
            body=body,
            service=marks.get(headers.TARGET, ""),
            idempotent=idempotent,
            priority=priority,
            deadline=deadline,
            retried=headers.RETRY in marks,
            stream=idempotent,
        )

    async def respond(
        self, request: aiohttp.web.BaseRequest, answer: types.Answer
    ) -> aiohttp.web.StreamResponse:
        """Answer with the marks that the entry reads."""
        answer.headers[headers.LOAD] = f"{answer.load[0]}/{answer.load[1]}"
        answer.headers[headers.SPENT] = f"{answer.spent * 1e6:.0f}"
        try:
            return await responses.respond(request, answer)
        except codes.Failure as failure:
            self.counters.add(f"hop.cut.{failure.code.name}")
            raise


def parse_deadline(text: str) -> float:
    """Return the seconds left that a mark in milliseconds tells."""
    if not text.isdigit() or len(text) > 9:
        raise codes.Failure(codes.BAD_REQUEST, "deadline")
    return min(int(text) / 1000, DEADLINE_MOST)
