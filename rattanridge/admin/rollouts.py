"""Operations on rollouts: start, list, show and cancel."""

import dataclasses

import msgspec

from rattanridge.admin import server, store_writes
from rattanridge.kernel import codes, settings
from rattanridge.mesh import node as nodes, versions
from rattanridge.platform import orders, store as stores
from rattanridge.policies import ramp

CANCEL_TRIES = 5


class Start(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """What an operator asks for.

    :param old: version that traffic leaves, if it is to be checked.
    :param new: version that it goes to.
    :param deadline: seconds from now by which the new version has taken over.
    """

    old: str = ""
    new: settings.Name
    deadline: settings.Seconds


class Step(msgspec.Struct):
    """One step of the plan.

    :param share: part of the requests; 0: as many as load one endpoint fully.
    """

    share: float
    one_endpoint: bool


class Rollout(msgspec.Struct):
    """The newest rollout of a service.

    :param state: ``running``, ``completed`` or ``rolled_back``.
    :param share: part of the requests that the new version gets.
    :param step: index of the step in force.
    :param holder: node that coordinates it.
    :param reason: why it ended.
    """

    service: str
    new: str
    deadline: float
    state: str
    share: float
    step: int
    holder: str
    reason: str
    plan: list[Step]


class Rollouts:
    """Starts, shows and cancels rollouts in the store.

    :param node: the node that serves the operator.
    """

    def __init__(self, node: nodes.Node):
        self.node = node
        self.store = node.store

    async def start(self, service: str, asked: Start) -> Rollout:
        """Start a rollout; of racing operators one succeeds."""
        self.check(service, asked)
        stored = await self.store.get(orders.KIND, service)
        known = read(stored) if stored is not None else None
        if known is not None and known.state == orders.RUNNING:
            raise running(known)
        order = orders.Order(service, asked.new, asked.deadline)
        try:
            made = await store_writes.replace(
                self.store,
                orders.KIND,
                service,
                orders.encode_order(order),
                stored.revision if stored is not None else 0,
            )
        except codes.Failure as failure:
            if failure.code is not codes.PLATFORM_CONFLICT:
                raise
            raise running(read(await self.find(service)))
        return read(made)

    def check(self, service: str, asked: Start) -> None:
        """Refuse versions that are the same or have no endpoint."""
        if asked.old == asked.new:
            raise codes.Failure(codes.ROLLOUT_VERSIONS, "both versions are the same")
        known = {item.version for item in self.node.directory.candidates_of(service)}
        for version in (asked.old, asked.new):
            if version and version not in known:
                detail = f"no endpoint of {service} {version} is ready"
                raise codes.Failure(codes.ROLLOUT_VERSIONS, detail)

    async def list(self) -> list[Rollout]:
        """Return the newest rollout of each service."""
        listing = await self.store.list(orders.KIND)
        found = []
        for stored in listing.items:
            try:
                found.append(read(stored))
            except codes.Failure as failure:
                self.node.log.note(
                    "rollout-unreadable", name=stored.name, why=str(failure)
                )
        return found

    async def show(self, service: str) -> Rollout:
        """Return the newest rollout of a service."""
        return read(await self.find(service))

    async def find(self, service: str) -> stores.StoredObject:
        """Return the object of a service's newest rollout."""
        stored = await self.store.get(orders.KIND, service)
        if stored is None:
            raise codes.Failure(codes.ROLLOUT_MISSING, service)
        return stored

    async def cancel(self, service: str, operator: str) -> Rollout:
        """Take a running rollout back; the coordinator may write meanwhile."""
        for _ in range(CANCEL_TRIES):
            stored = await self.find(service)
            known = read(stored)
            if known.state != orders.RUNNING:
                detail = f"the rollout of {service} to {known.new} is {known.state}"
                raise codes.Failure(codes.ROLLOUT_ENDED, detail)
            status = cancelled(stored, operator)
            try:
                return read(
                    await self.store.replace_status(
                        orders.KIND,
                        service,
                        orders.encode_status(status),
                        stored.revision,
                    )
                )
            except codes.Failure as failure:
                if failure.code is not codes.PLATFORM_CONFLICT:
                    raise
        raise codes.Failure(codes.CONFLICT, f"{service} changes all the time")


def cancelled(stored: stores.StoredObject, operator: str) -> orders.Status:
    """Return the status that takes an order back for an operator."""
    status = status_of(orders.decode_order(stored.spec), stored)
    return dataclasses.replace(
        status,
        state=orders.ROLLED_BACK,
        share=0.0,
        one_endpoint=False,
        turn=status.turn + 1,
        reason=f"cancelled by {operator}",
    )


def status_of(order: orders.Order, stored: stores.StoredObject) -> orders.Status:
    """Return the status of a stored order; one without an answer is running."""
    found = versions.current_status(order, orders.decode_status(stored.status))
    return found or orders.Status(orders.RUNNING, order.version)


def read(stored: stores.StoredObject) -> Rollout:
    """Return an order with its status as operators see it."""
    order = orders.decode_order(stored.spec)
    status = status_of(order, stored)
    return Rollout(
        order.service,
        order.version,
        order.duration,
        status.state,
        status.share,
        status.step,
        status.holder,
        status.reason,
        [Step(item.share, item.one_endpoint) for item in ramp.STEPS],
    )


def running(known: Rollout) -> codes.Failure:
    """Return the failure that names the rollout in the way."""
    detail = f"the rollout of {known.service} to {known.new} is {known.state}"
    return codes.Failure(codes.ROLLOUT_RUNNING, detail)


@server.operation("PUT", "/rollouts/<service>", "operator")
async def start_rollout(served: server.Server, request: server.Request) -> object:
    """Start a rollout."""
    try:
        asked = msgspec.json.decode(request.body, type=Start)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        raise codes.Failure(codes.ADMIN_BAD_REQUEST, str(error))
    return await Rollouts(served.node).start(request.arguments["service"], asked)


@server.operation("GET", "/rollouts", "viewer")
async def list_rollouts(served: server.Server, request: server.Request) -> object:
    """Return the newest rollout of each service."""
    return await Rollouts(served.node).list()


@server.operation("GET", "/rollouts/<service>", "viewer")
async def show_rollout(served: server.Server, request: server.Request) -> object:
    """Return the newest rollout of a service."""
    return await Rollouts(served.node).show(request.arguments["service"])


@server.operation("POST", "/rollouts/<service>/cancel", "operator")
async def cancel_rollout(served: server.Server, request: server.Request) -> object:
    """Take a running rollout back."""
    return await Rollouts(served.node).cancel(
        request.arguments["service"], request.operator
    )
