"""Calls that are forwarded to the nodes beside other upstreams."""

import asyncio

from rattanridge.kernel import codes
from rattanridge.mesh import calls, connections, marks
from rattanridge.platform import headers

ANSWER_MARGIN = 0.14  # seconds past the deadline for the exit's own answer


class Peers:
    """Sends calls to other nodes."""

    def __init__(self) -> None:
        self.pool = connections.Pool()

    async def run(self, address: str, call: calls.Call) -> calls.Answer:
        """Forward a call and return the answer; never raises a failure."""
        try:
            return await self.forward(address, call)
        except codes.Failure as failure:
            return calls.refuse(failure, arrived=failure.ran is not codes.Ran.NOT_RUN)

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
            (marks.CALL, marks.write_call(call)),
        ]
        data = connections.write_request(call.method, call.path, sent, call.body)
        try:
            async with asyncio.timeout_at(call.deadline + ANSWER_MARGIN):
                response = await connection.exchange(data, call.method != "HEAD", None)
        except TimeoutError:
            raise codes.Failure(codes.DEADLINE, ran=codes.Ran.UNKNOWN)
        except codes.Failure as failure:
            raise codes.Failure(
                codes.PEER_FAILED, failure.detail, ran=codes.Ran.UNKNOWN
            )
        self.pool.release(address, connection, response)
        return self.read(response)

    def read(self, response: connections.Response) -> calls.Answer:
        """Read an exit's answer with its mark."""
        answer = calls.Answer(response.status, [], response.body)
        if not marks.read_answer(answer, response.headers.get(marks.ANSWER, "")):
            raise codes.Failure(
                codes.PEER_FAILED, "no mark on the answer", ran=codes.Ran.UNKNOWN
            )
        answer.headers = calls.forwardable(response.headers)
        return answer
