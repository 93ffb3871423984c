"""The node's local port: announcements of the upstream, and its own calls."""

import asyncio
import ipaddress
import typing

import aiohttp.web
import msgspec

from rattanridge.calls import bodies, entry as entries, exit as exits, responses
from rattanridge.control import roster
from rattanridge.kernel import codes, log, settings

ANNOUNCE_PATH = "/announce"
ANNOUNCEMENT_TERM = 5.0  # seconds that an announcement holds without renewal
PORT_MOST = 65535
ANNOUNCEMENT_BYTES = 4096


class Announcement(settings.Struct):
    """What an upstream says of itself, renewed every second.

    :param address: ``127.0.0.1:port`` or another address of this host.
    :param state: ``up``, ``draining`` or ``gone``.
    """

    service: settings.Name
    version: settings.Name
    address: typing.Annotated[str, msgspec.Meta(pattern=r"^[0-9a-fA-F.:\[\]]+:\d+$")]
    slots: typing.Annotated[int, msgspec.Meta(ge=1, le=10_000)]
    connections: typing.Annotated[int, msgspec.Meta(ge=1, le=10_000)] = 110
    state: typing.Literal["up", "draining", "gone"] = "up"


class Local:
    """Serves the upstream beside the node.

    :param config: the node's settings.
    :param entry: answers the upstream's own calls.
    :param exit: takes the announced upstream.
    :param announcer: publishes the endpoint.
    """

    def __init__(
        self,
        config: settings.NodeSettings,
        entry: entries.Entry,
        exit: exits.Exit,
        announcer: roster.Announcer,
    ):
        self.config = config
        self.entry = entry
        self.exit = exit
        self.announcer = announcer
        self.log = log.Log("local", config.name)
        self.hop = ""
        self.renewed = 0.0
        self.task: asyncio.Task | None = None

    async def start(self, hop: str) -> None:
        """Begin to watch the announcement's lease; ``hop`` is published."""
        self.hop = hop
        self.task = asyncio.create_task(self.expire())

    async def stop(self) -> None:
        if self.task is not None:
            self.task.cancel()

    async def serve(
        self, request: aiohttp.web.BaseRequest
    ) -> aiohttp.web.StreamResponse:
        """Answer an announcement, or a call of the upstream."""
        if request.path != ANNOUNCE_PATH or request.method != "PUT":
            return await self.entry.serve_upstream(request)
        try:
            body = await bodies.read_body(request, ANNOUNCEMENT_BYTES)
            await self.announce(body)
        except codes.Failure as failure:
            return responses.refuse(failure)
        return aiohttp.web.Response(body=b"{}", content_type="application/json")

    async def announce(self, body: bytes) -> None:
        """Check an announcement, attach the upstream and publish its endpoint."""
        try:
            said = msgspec.json.decode(body, type=Announcement)
        except (msgspec.MsgspecError, RecursionError) as error:
            raise codes.Failure(codes.BAD_FIELD, str(error), where="announcement")
        check_address(said.address)
        if self.entry.stopping and said.state == "up":
            raise codes.Failure(codes.STOPPING)
        self.renewed = asyncio.get_running_loop().time()
        upstream = exits.Upstream(
            said.service,
            said.version,
            said.address,
            said.slots,
            said.connections,
            said.state,
        )
        await self.exit.attach(upstream, self.entry.service(said.service))
        self.announcer.announce(
            said.service,
            said.version,
            self.hop,
            said.slots,
            said.connections,
            said.state,
        )

    async def expire(self) -> None:
        """Withdraw the endpoint when its announcement is not renewed."""
        while True:
            await asyncio.sleep(ANNOUNCEMENT_TERM / 4)
            age = asyncio.get_running_loop().time() - self.renewed
            if self.renewed and age > ANNOUNCEMENT_TERM:
                self.announcer.change("gone")


def check_address(address: str) -> None:
    """Refuse what is not an IP number with a port."""
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        valid = 0 < int(port) <= PORT_MOST
    except ValueError:
        valid = False
    if not valid:
        detail = f"address {address!r}"
        raise codes.Failure(codes.BAD_FIELD, detail, where="announcement")
