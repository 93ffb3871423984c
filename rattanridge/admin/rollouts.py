"""Operations on rollouts: start, list, show and cancel."""

import dataclasses

import msgspec

from rattanridge.admin import server, store_writes
from rattanridge.kernel import codes, settings, untrusted_json
from rattanridge.mesh import node as nodes, versions
from rattanridge.platform import orders, store_objects
from rattanridge.policies import ramp

CANCEL_ATTEMPTS = 5


class Start(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """An operator's request to start a rollout.

    :param old: version that traffic leaves; it must have an endpoint. Empty to skip
        this check.
    :param new: version that traffic goes to.
    :param deadline: seconds from now within which the rollout must complete.
    """

    old: str = ""
    new: settings.Name
    deadline: settings.Seconds


class Step(msgspec.Struct):
    """One step of the plan.

    :param share: fraction of the requests; at most that if ``one_endpoint`` is set.
    :param one_endpoint: whether the step sends one endpoint of the new version as
        many requests as load it fully.
    """

    share: float
    one_endpoint: bool


class Rollout(msgspec.Struct):
    """The newest rollout of a service.

    :param state: ``running``, ``completed`` or ``rolled_back``.
    :param deadline: seconds, from the start, within which it must complete.
    :param share: fraction of the requests that the new version gets.
    :param step: index of the step in force.
    :param holder: name of the node that coordinates it.
    :param reason: why it ended; empty while it runs.
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

    :param node: the node that serves the administration request.
    """

    def __init__(self, node: nodes.Node):
        self.node = node
        self.store = node.store

    async def start(self, service: str, requested: Start) -> Rollout:
        """Start a rollout.

        Raise ``rollout-running`` if one is running already, or if another operator
        starts one at the same time.
        """
        self.check_versions(service, requested)
        stored = await self.store.get(orders.KIND, service)
        current = decode_rollout(stored) if stored is not None else None
        if current is not None and current.state == orders.RUNNING:
            raise running_failure(current)
        order = orders.Order(service, requested.new, requested.deadline)
        try:
            written = await store_writes.replace(
                self.store,
                orders.KIND,
                service,
                orders.encode_order(order),
                stored.revision if stored is not None else 0,
            )
        except codes.Failure as failure:
            if failure.code is not codes.PLATFORM_CONFLICT:
                raise
            raise running_failure(decode_rollout(await self.get_stored(service)))
        return decode_rollout(written)

    def check_versions(self, service: str, requested: Start) -> None:
        """Raise ``rollout-versions`` if the versions are equal or lack an endpoint."""
        if requested.old == requested.new:
            raise codes.Failure(codes.ROLLOUT_VERSIONS, "both versions are the same")
        available = {
            item.version for item in self.node.directory.candidates_of(service)
        }
        for version in (requested.old, requested.new):
            if version and version not in available:
                detail = f"no endpoint of {service} {version} is ready"
                raise codes.Failure(codes.ROLLOUT_VERSIONS, detail)

    async def list(self) -> list[Rollout]:
        """Return the newest rollout of each service.

        Rollouts that cannot be decoded are logged and left out.
        """
        listing = await self.store.list(orders.KIND)
        rollouts = []
        for stored in listing.items:
            try:
                rollouts.append(decode_rollout(stored))
            except codes.Failure as failure:
                self.node.log.note(
                    "rollout-unreadable", name=stored.name, why=str(failure)
                )
        return rollouts

    async def show(self, service: str) -> Rollout:
        """Return the newest rollout of a service."""
        return decode_rollout(await self.get_stored(service))

    async def get_stored(self, service: str) -> store_objects.StoredObject:
        """Return the stored object of a service's newest rollout.

        Raise ``rollout-missing`` if there is none.
        """
        stored = await self.store.get(orders.KIND, service)
        if stored is None:
            raise codes.Failure(
                codes.ROLLOUT_MISSING, f"service {service} has no rollout"
            )
        return stored

    async def cancel(self, service: str, operator: str) -> Rollout:
        """Roll back a running rollout.

        Raise ``rollout-ended`` if it is not running. The coordinator may write the
        status at the same time, so the write is attempted up to ``CANCEL_ATTEMPTS``
        times; then raise ``conflict``.
        """
        for _ in range(CANCEL_ATTEMPTS):
            stored = await self.get_stored(service)
            current = decode_rollout(stored)
            if current.state != orders.RUNNING:
                detail = f"the rollout of {service} to {current.new} is {current.state}"
                raise codes.Failure(codes.ROLLOUT_ENDED, detail)
            status = cancelled_status(stored, operator)
            try:
                return decode_rollout(
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


def cancelled_status(
    stored: store_objects.StoredObject, operator: str
) -> orders.Status:
    """Return the status that rolls back an order on an operator's request."""
    status = status_of(orders.decode_order(stored.spec), stored)
    return dataclasses.replace(
        status,
        state=orders.ROLLED_BACK,
        share=0.0,
        one_endpoint=False,
        turn=status.turn + 1,
        reason=f"cancelled by {operator}",
    )


def status_of(order: orders.Order, stored: store_objects.StoredObject) -> orders.Status:
    """Return the status of a stored order.

    An order without a status of its own counts as running.
    """
    status = versions.current_status(order, orders.decode_status(stored.status))
    return status or orders.Status(orders.RUNNING, order.version)


def decode_rollout(stored: store_objects.StoredObject) -> Rollout:
    """Decode a stored order and its status into the form that operators get.

    Raise ``bad-field`` if the order is invalid.
    """
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


def running_failure(current: Rollout) -> codes.Failure:
    """Return the failure of a start while another rollout is running."""
    detail = f"the rollout of {current.service} to {current.new} is {current.state}"
    return codes.Failure(codes.ROLLOUT_RUNNING, detail)


@server.operation("PUT", "/rollouts/<service>", "operator")
async def start_rollout(served: server.Server, request: server.Request) -> object:
    """Start a rollout of a service."""
    try:
        requested = untrusted_json.decode(request.body, Start)
    except untrusted_json.ERRORS as error:
        raise codes.Failure(codes.ADMIN_BAD_REQUEST, str(error))
    return await Rollouts(served.node).start(request.arguments["service"], requested)


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
    """Roll back the running rollout of a service."""
    return await Rollouts(served.node).cancel(
        request.arguments["service"], request.operator
    )
