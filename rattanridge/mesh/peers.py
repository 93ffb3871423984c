"""Client for calls and pages that this node requests from other nodes."""

import asyncio

from rattanridge.kernel import codes
from rattanridge.mesh import calls, connections, exchanges, hop_auth, hop_headers
from rattanridge.platform import headers
from rattanridge.web import headers as own_headers, memory

ANSWER_MARGIN = 0.14  # seconds past the deadline for the exit's own answer
PROBE_TIMEOUT = 0.5  # seconds to connect when no request waits
FETCH_TIMEOUT = 0.5  # seconds for the answer to a request that is not a call


class PeerClient:
    """Sends requests to other nodes.

    :param hop_auth: signs the requests.
    :param memory_budget: limits the bytes of bodies that the node holds in memory.
    """

    def __init__(self, hop_auth: hop_auth.HopAuth, memory_budget: memory.MemoryBudget):
        self.hop_auth = hop_auth
        self.pool = connections.Pool(memory_budget)

    async def run(self, address: str, call: calls.Call) -> calls.Answer:
        """Forward a call and return the answer; failures become answers."""
        try:
            return await self.forward(address, call)
        except codes.Failure as failure:
            return calls.refusal(
                failure, reached_upstream=failure.ran is not codes.Execution.NOT_RUN
            )

    async def probe(self, address: str) -> bool:
        """Return whether a node accepts a connection; keep the connection."""
        try:
            connection = await self.pool.connect(address, PROBE_TIMEOUT)
        except codes.Failure:
            return False
        self.pool.add_idle(address, connection)
        return True

    async def fetch(
        self, address: str, method: str, path: str, body: bytes = b""
    ) -> bytes | None:
        """Return a page of another node; None without a response of status 200."""
        request_headers = [("Host", address), *self.hop_auth.signature_headers]
        request = exchanges.write_request(method, path, request_headers, body)
        try:
            async with asyncio.timeout(FETCH_TIMEOUT):
                connection = await self.pool.acquire(address, FETCH_TIMEOUT)
                response = await connection.exchange(
                    request, True, None, exchanges.rest_of(body)
                )
        except (TimeoutError, codes.Failure):
            return None
        self.release(address, connection, response)
        return bytes(response.body) if response.status == 200 else None

    async def forward(self, address: str, call: calls.Call) -> calls.Answer:
        """Forward a call and return the answer.

        Raise ``peer-unreachable`` if nothing of the call was sent, ``deadline`` or
        ``peer-failed`` if it was sent and its outcome is unknown.
        """
        loop = asyncio.get_running_loop()
        try:
            connection = await self.pool.acquire(address, call.deadline - loop.time())
        except codes.Failure as failure:
            raise codes.Failure(codes.PEER_UNREACHABLE, failure.detail)
        time_left = call.deadline - loop.time()
        request_headers = [
            *call.headers,
            (headers.DEADLINE, headers.format_deadline(time_left)),
            (headers.CALLER, call.caller),
            (own_headers.CALL, hop_headers.encode_call(call)),
            *self.hop_auth.signature_headers,
        ]
        if call.announcement is not None:
            text = hop_headers.encode_announcement(call.announcement)
            request_headers.append((own_headers.ANNOUNCED, text))
        if call.zones:
            request_headers.append((own_headers.ZONES, str(call.zones)))
        data = exchanges.write_request(
            call.method, call.path, request_headers, call.body
        )
        sent_at = loop.time()
        try:
            async with asyncio.timeout_at(call.deadline + ANSWER_MARGIN):
                response = await connection.exchange(
                    data, call.method != "HEAD", None, exchanges.rest_of(call.body)
                )
        except TimeoutError:
            raise codes.Failure(codes.DEADLINE, ran=codes.Execution.UNKNOWN)
        except codes.Failure as failure:
            raise codes.Failure(
                codes.PEER_FAILED, failure.detail, ran=codes.Execution.UNKNOWN
            )
        self.release(address, connection, response)
        answer = self.read_response(response)
        # The exit answered no earlier than after the call's time there.
        answered_at = sent_at + answer.queued + answer.upstream_time
        known = response.headers.get(own_headers.KNOWN, "")
        answer.known_at = answered_at - hop_headers.decode_known(known)
        return answer

    def release(
        self,
        address: str,
        connection: connections.Connection,
        response: exchanges.Response,
    ) -> None:
        """Keep a connection, or close all idle ones to a node that is stopping.

        A request that is sent on an idle connection while the other node closes it
        may or may not have been read. A new connection is accepted or refused.
        """
        if response.closing:
            self.pool.close_idle(address)
        self.pool.release(address, connection, response)

    def read_response(self, response: exchanges.Response) -> calls.Answer:
        """Return the answer in a response of an exit; raise ``peer-failed`` if none."""
        answer = calls.Answer(response.status, [], response.body)
        if not hop_headers.decode_answer(
            answer, response.headers.get(own_headers.ANSWER, "")
        ):
            raise codes.Failure(
                codes.PEER_FAILED,
                f"missing or unreadable {own_headers.ANSWER} header in the response",
                ran=codes.Execution.UNKNOWN,
            )
        answer.refused_shares = hop_headers.decode_shares(
            response.headers.get(own_headers.REFUSED, "")
        )
        answer.announcement = hop_headers.decode_announcement(
            response.headers.get(own_headers.ANNOUNCED, "")
        )
        answer.room = hop_headers.decode_room(
            response.headers.get(own_headers.COLD, "")
        )
        answer.zones = hop_headers.decode_revision(
            response.headers.get(own_headers.ZONES, "")
        )
        answer.headers = calls.forwardable(response.headers)
        return answer
