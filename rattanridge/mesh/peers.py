"""Calls that are forwarded to the nodes beside other upstreams."""

import asyncio

from rattanridge.kernel import codes
from rattanridge.mesh import calls, connections, hop_auth, marks
from rattanridge.platform import headers
from rattanridge.web import headers as own_headers, memory

ANSWER_MARGIN = 0.14  # seconds past the deadline for the exit's own answer
PROBE_TIMEOUT = 0.5  # seconds for a connection that no request waits for
ASK_TIMEOUT = 0.5  # seconds for an answer to a node's own question


class PeerClient:
    """Sends calls to other nodes.

    :param access: marks what is sent.
    :param held: counts the bytes of bodies that the node holds.
    """

    def __init__(self, access: hop_auth.HopAuth, held: memory.MemoryBudget):
        self.access = access
        self.pool = connections.Pool(held)

    async def run(self, address: str, call: calls.Call) -> calls.Answer:
        """Forward a call and return the answer; never raises a failure."""
        try:
            return await self.forward(address, call)
        except codes.Failure as failure:
            return calls.refusal(
                failure, arrived=failure.ran is not codes.Execution.NOT_RUN
            )

    async def reach(self, address: str) -> bool:
        """Open a connection to a node, kept for later; return whether it took it."""
        try:
            connection = await self.pool.connect(address, PROBE_TIMEOUT)
        except codes.Failure:
            return False
        self.pool.add_idle(address, connection)
        return True

    async def fetch(self, address: str, method: str, path: str) -> bytes | None:
        """Ask another node something beside calls; None if it does not answer."""
        sent = [("Host", address), *self.access.marks]
        request = connections.write_request(method, path, sent, b"")
        try:
            async with asyncio.timeout(ASK_TIMEOUT):
                connection = await self.pool.acquire(address, ASK_TIMEOUT)
                response = await connection.exchange(request, True, None)
        except (TimeoutError, codes.Failure):
            return None
        self.release(address, connection, response)
        return response.body if response.status == 200 else None

    async def forward(self, address: str, call: calls.Call) -> calls.Answer:
        """Forward a call; ``peer-unreachable`` if nothing of it was sent."""
        loop = asyncio.get_running_loop()
        try:
            connection = await self.pool.acquire(address, call.deadline - loop.time())
        except codes.Failure as failure:
            raise codes.Failure(codes.PEER_UNREACHABLE, failure.detail)
        left = call.deadline - loop.time()
        sent = [
            *call.headers,
            (headers.DEADLINE, headers.format_deadline(left)),
            (headers.CALLER, call.caller),
            (own_headers.CALL, marks.write_call(call)),
            *self.access.marks,
        ]
        data = connections.write_request(call.method, call.path, sent, call.body)
        try:
            async with asyncio.timeout_at(call.deadline + ANSWER_MARGIN):
                response = await connection.exchange(data, call.method != "HEAD", None)
        except TimeoutError:
            raise codes.Failure(codes.DEADLINE, ran=codes.Execution.UNKNOWN)
        except codes.Failure as failure:
            raise codes.Failure(
                codes.PEER_FAILED, failure.detail, ran=codes.Execution.UNKNOWN
            )
        self.release(address, connection, response)
        return self.read(response)

    def release(
        self,
        address: str,
        connection: connections.Connection,
        response: connections.Response,
    ) -> None:
        """Keep a connection; close them all to a node that is about to stop.

        What is sent on a kept connection while the other node closes it may or may
        not have been read. A new connection is taken or refused.
        """
        if response.closing:
            self.pool.drop(address)
        self.pool.release(address, connection, response)

    def read(self, response: connections.Response) -> calls.Answer:
        """Read an exit's answer with its mark."""
        answer = calls.Answer(response.status, [], response.body)
        if not marks.read_answer(answer, response.headers.get(own_headers.ANSWER, "")):
            raise codes.Failure(
                codes.PEER_FAILED, "no mark on the answer", ran=codes.Execution.UNKNOWN
            )
        answer.headers = calls.forwardable(response.headers)
        return answer
