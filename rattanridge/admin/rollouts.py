"""Operations on rollouts: start, list, show and cancel."""

import time

import msgspec

from rattanridge.admin import server
from rattanridge.control import messages, replica, rollouts
from rattanridge.kernel import codes, settings
from rattanridge.objectapi import client, objects
from rattanridge.policies import schedules

BAKE_FRACTION = 0.1  # of the time to the deadline, unless the operator says
BAKE_LIMIT = 600.0  # seconds
CANCEL_TRIES = 5
SCHEDULE = "staged"


class Start(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """What an operator asks for.

    :param deadline: seconds from now by which the new version has taken over
        and the bake has ended.
    :param bake: seconds after 100% in which the old version is the fallback;
        0 takes a tenth of the time.
    """

    old: settings.Name
    new: settings.Name
    deadline: settings.Seconds
    bake: float = 0.0


class Rollouts:
    """Starts, shows and cancels rollouts in the platform.

    :param config: the node's settings.
    :param platform: the platform's client.
    :param state: the node's replica, for the endpoints.
    """

    def __init__(
        self,
        config: settings.NodeSettings,
        platform: client.Client,
        state: replica.Replica,
    ):
        self.config = config
        self.platform = platform
        self.state = state

    async def start(
        self, service: str, asked: Start, operator: str
    ) -> rollouts.Rollout:
        """Start a rollout; of racing operators one succeeds."""
        key = rollouts.key_of(service)
        stored = await self.platform.find(key)
        known = rollouts.read(stored) if stored is not None else None
        if known is not None and known.running:
            raise running(known)
        made = self.make(service, asked, operator, known)
        try:
            await self.platform.put(key, made, stored.version if stored else 0)
        except codes.Failure as failure:
            if failure.code is not codes.PLATFORM_CONFLICT:
                raise
            raise running(rollouts.read(await self.platform.get(key)))
        return made

    def make(
        self,
        service: str,
        asked: Start,
        operator: str,
        known: rollouts.Rollout | None,
    ) -> rollouts.Rollout:
        """Check the versions and the deadline; return the new object."""
        endpoints = self.count_endpoints(service, asked.new)
        if asked.old == asked.new:
            raise codes.Failure(codes.ROLLOUT_VERSIONS, "both versions are the same")
        for version in (asked.old, asked.new):
            if not self.count_endpoints(service, version):
                detail = f"no endpoint of {service} {version} is up"
                raise codes.Failure(codes.ROLLOUT_VERSIONS, detail)
        least = self.config.rollouts.least_hold
        bake = asked.bake or min(asked.deadline * BAKE_FRACTION, BAKE_LIMIT)
        bake = max(bake, least)
        window = schedules.Window(asked.deadline, bake, least, endpoints)
        plan = schedules.SCHEDULES.get(SCHEDULE)().plan(window)
        now = time.time()
        return rollouts.Rollout(
            service=service,
            number=known.number + 1 if known else 1,
            old=asked.old,
            new=asked.new,
            plan=plan,
            deadline=now + asked.deadline,
            left=asked.deadline,
            bake=bake,
            least_hold=least,
            operator=operator,
            schedule=SCHEDULE,
            started=now,
        )

    def count_endpoints(self, service: str, version: str) -> int:
        return sum(
            record.state == "up"
            for record in self.state.table.all(messages.Endpoint)
            if record.service == service and record.version == version
        )

    async def list(self) -> list[rollouts.Rollout]:
        """Return the newest rollout of each service."""
        listing = await self.platform.list(rollouts.PREFIX)
        return [rollouts.read(stored) for stored in listing.objects]

    async def show(self, service: str) -> rollouts.Rollout:
        return rollouts.read(await self.find(service))

    async def find(self, service: str) -> objects.Stored:
        stored = await self.platform.find(rollouts.key_of(service))
        if stored is None:
            raise codes.Failure(codes.ROLLOUT_MISSING, service)
        return stored

    async def cancel(self, service: str, operator: str) -> rollouts.Rollout:
        """Take a running rollout back; the coordinator may write meanwhile."""
        for _ in range(CANCEL_TRIES):
            stored = await self.find(service)
            known = rollouts.read(stored)
            if not known.running:
                detail = f"rollout {known.number} of {service} is {known.state}"
                raise codes.Failure(codes.ROLLOUT_ENDED, detail)
            ended = rollouts.take_back(known, f"cancelled by {operator}")
            ended.ended = time.time()
            try:
                await self.platform.put(stored.key, ended, stored.version)
                return ended
            except codes.Failure as failure:
                if failure.code is not codes.PLATFORM_CONFLICT:
                    raise
        raise codes.Failure(codes.CONFLICT, f"{service} changes all the time")


def running(known: rollouts.Rollout) -> codes.Failure:
    """Return the failure that names the rollout in the way."""
    detail = (
        f"rollout {known.number} of {known.service} from {known.old} to {known.new}, "
        f"started by {known.operator}, is {known.state}"
    )
    return codes.Failure(codes.ROLLOUT_RUNNING, detail)


def of(served: server.Server) -> Rollouts:
    """Return the rollouts of a server."""
    return Rollouts(served.config, served.platform, served.state)


@server.operation("PUT", "/rollouts/<service>", "operator")
async def start_rollout(served: server.Server, request: server.Request) -> object:
    """Start a rollout."""
    try:
        asked = msgspec.json.decode(request.body, type=Start)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise codes.Failure(codes.ADMIN_BAD_REQUEST, str(error))
    service = request.arguments["service"]
    return await of(served).start(service, asked, request.operator)


@server.operation("GET", "/rollouts", "viewer")
async def list_rollouts(served: server.Server, request: server.Request) -> object:
    """Return the newest rollout of each service."""
    return await of(served).list()


@server.operation("GET", "/rollouts/<service>", "viewer")
async def show_rollout(served: server.Server, request: server.Request) -> object:
    """Return the newest rollout of a service."""
    return await of(served).show(request.arguments["service"])


@server.operation("POST", "/rollouts/<service>/cancel", "operator")
async def cancel_rollout(served: server.Server, request: server.Request) -> object:
    """Take a running rollout back."""
    return await of(served).cancel(request.arguments["service"], request.operator)
