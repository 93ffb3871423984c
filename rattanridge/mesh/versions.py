"""Which version of a service a request goes to, by the operator's orders."""

import collections.abc
import dataclasses
import random

from rattanridge.kernel import codes
from rattanridge.mesh import events
from rattanridge.platform import orders, store as stores
from rattanridge.policies import majority, placement

Found = list[placement.Candidate]


@dataclasses.dataclass(slots=True)
class Rollout:
    """An order with its status, as the store holds them.

    :param seen_at: monotonic seconds when the order was first seen here.
    :param changed_at: monotonic seconds when its status last changed here.
    """

    order: orders.Order
    status: orders.Status | None
    revision: int
    seen_at: float
    changed_at: float

    def answer(self) -> orders.Status | None:
        """Return the status if it answers this order, not an earlier one."""
        return current_status(self.order, self.status)

    def state(self) -> str:
        """Return the state; an order without an answer to it is running."""
        answer = self.answer()
        return answer.state if answer is not None else orders.RUNNING

    def share(self) -> float:
        """Return the part of the requests that the new version gets."""
        answer = self.answer()
        return answer.share if answer is not None else 0.0


def current_status(
    order: orders.Order, status: orders.Status | None
) -> orders.Status | None:
    """Return a status if it answers an order, not an earlier one."""
    if status is None or status.version != order.version:
        return None
    return status


class Versions:
    """Follows the orders and divides the candidates by version.

    :param now: returns the monotonic seconds.
    """

    def __init__(
        self,
        log: events.Events,
        meters: events.Meters,
        now: collections.abc.Callable[[], float],
    ):
        self.log = log
        self.meters = meters
        self.now = now
        self.random = random.Random()
        self.rollouts: dict[str, Rollout] = {}

    def take_all(self, items: list[stores.StoredObject]) -> None:
        """Take over a whole list."""
        names = {item.name for item in items}
        for name in [name for name in self.rollouts if name not in names]:
            del self.rollouts[name]
        for item in items:
            self.take(item)

    def take(self, item: stores.StoredObject) -> None:
        """Take over one order or its status; an unreadable one is left out."""
        if item.deleted:
            self.rollouts.pop(item.name, None)
            return
        known = self.rollouts.get(item.name)
        if known is not None and known.revision >= item.revision:
            return
        try:
            order = orders.decode_order(item.spec)
        except codes.Failure as failure:
            self.log.note("rollout-unreadable", name=item.name, why=str(failure))
            return
        now = self.now()
        status = orders.decode_status(item.status)
        same = known is not None and known.order == order
        seen_at = known.seen_at if same else now
        fresh = Rollout(order, status, item.revision, seen_at, now)
        self.rollouts[order.service] = fresh
        self.meters.share.labels(order.service).set(fresh.share())
        self.log.info(
            "rollout-seen",
            service=order.service,
            version=order.version,
            state=fresh.state(),
            share=fresh.share(),
            revision=item.revision,
        )

    def keep(self, service: str, found: Found, again: bool = False) -> Found:
        """Keep the candidates of the version that a request goes to.

        :param again: whether the request was sent somewhere already; then the
            old version is the safer one.
        """
        rollout = self.rollouts.get(service)
        if rollout is None:
            return majority.keep_majority_version(found)
        target = rollout.order.version
        new = [item for item in found if item.version == target]
        old = [item for item in found if item.version != target]
        state = rollout.state()
        if state == orders.ROLLED_BACK:
            return old
        if state == orders.COMPLETED:
            return new or old
        share = rollout.share()
        if not old:
            return new
        if not new or self.random.random() >= share or (again and share < 1.0):
            return old
        if rollout.status.one_endpoint:
            return [min(new, key=lambda item: item.endpoint)]
        return new
