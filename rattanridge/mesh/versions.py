"""Selects the version of a service that a request goes to, by the operator's orders."""

import asyncio
import collections.abc
import dataclasses
import random

import msgspec

from rattanridge.kernel import codes, untrusted_json
from rattanridge.mesh import events
from rattanridge.platform import orders, store_objects
from rattanridge.policies import majority, placement

PATH = "/rollouts"
Candidates = list[placement.Candidate]


class Page(msgspec.Struct):
    """The rollouts, as one node sends them to another.

    :param rollouts: name, revision, order and status of each, as the store has them.
    """

    rollouts: list[tuple[str, int, msgspec.Raw, msgspec.Raw]]


class RunningOrder(msgspec.Struct):
    """A running order, as one node tells it to the node that coordinates it.

    :param age: seconds since the order, as far as the node knows.
    """

    version: str
    age: float


@dataclasses.dataclass(slots=True)
class Rollout:
    """An order with its status, as the store holds them.

    :param item: the object in the store.
    :param began_at: monotonic seconds of the order, as far as this node knows: when it
        saw it first, or earlier by the time that a status tells.
    :param changed_at: monotonic seconds when the object last changed here.
    :param unsaved: whether the store has lost the status, and must get it again.
    """

    order: orders.Order
    status: orders.Status | None
    item: store_objects.StoredObject
    began_at: float
    changed_at: float
    unsaved: bool = False

    def __post_init__(self) -> None:
        status = self.current_status()
        if status is not None:
            self.began_at = min(self.began_at, self.changed_at - status.elapsed)

    @property
    def revision(self) -> int:
        """The store's revision at the last change."""
        return self.item.revision

    def continue_from(self, known: "Rollout") -> None:
        """Take over what was known of the order, also an outcome that is lost."""
        self.began_at = min(self.began_at, known.began_at)
        lost = is_newer_era(self.item, known.item) and self.state() != known.state()
        if lost and known.state() != orders.RUNNING:
            self.status = known.status
            self.unsaved = True

    def current_status(self) -> orders.Status | None:
        """Return the status; None if it belongs to an earlier order."""
        return current_status(self.order, self.status)

    def state(self) -> str:
        """Return the state; an order without a status of its own is running."""
        status = self.current_status()
        return status.state if status is not None else orders.RUNNING

    def uses_one_endpoint(self) -> bool:
        """Return whether only one endpoint of the new version gets requests."""
        status = self.current_status()
        return status is not None and status.one_endpoint

    def share(self) -> float:
        """Return the share of the requests, 0 to 1, that the new version gets."""
        status = self.current_status()
        return status.share if status is not None else 0.0


def current_status(
    order: orders.Order, status: orders.Status | None
) -> orders.Status | None:
    """Return the status if it belongs to the order, None if to an earlier one."""
    if status is None or status.version != order.version:
        return None
    return status


def is_newer_era(
    item: store_objects.StoredObject, known: store_objects.StoredObject
) -> bool:
    """Return whether the store has returned from an older copy between two objects."""
    return store_objects.era_of(item.revision) > store_objects.era_of(known.revision)


class Versions:
    """Follows the rollout orders, and filters candidates by version.

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
        # Set once an order was seen.
        self.any_order = asyncio.Event()
        # Whether the orders are known, from the store or from another node.
        self.known = False
        # Outcomes of ended orders, by service and version; they hold when the next
        # order names another version.
        self.outcomes: dict[tuple[str, str], str] = {}
        # Rollouts that the store has lost; their orders may come again.
        self.lost: dict[str, Rollout] = {}

    def encode_rollouts(self) -> bytes:
        """Return all rollouts as JSON, for another node; empty if they are unknown."""
        if not self.known:
            return b""
        items = [rollout.item for rollout in self.rollouts.values()]
        rollouts = [
            (item.name, item.revision, msgspec.Raw(item.spec), msgspec.Raw(item.status))
            for item in items
        ]
        return msgspec.json.encode(Page(rollouts))

    def apply_page(self, data: bytes, source: str) -> None:
        """Apply the rollouts that another node sent, unless they are known already.

        :param source: address of that node, for the log.
        """
        page = untrusted_json.decode_or_none(data, Page)
        if self.known or page is None:
            return
        for name, revision, spec, status in page.rollouts:
            self.apply(
                store_objects.StoredObject(name, revision, bytes(spec), bytes(status))
            )
        self.known = True
        self.log.info("rollouts-learnt", source=source)

    def apply_all(self, items: list[store_objects.StoredObject]) -> None:
        """Apply a complete list; a rollout that is not in it is dropped."""
        self.known = True
        names = {item.name for item in items}
        for name in [name for name in self.rollouts if name not in names]:
            self.lost[name] = self.rollouts.pop(name)
        for item in items:
            self.apply(item)

    def apply(self, item: store_objects.StoredObject) -> None:
        """Apply a changed order or status; ignore an unreadable one."""
        if item.deleted:
            self.rollouts.pop(item.name, None)
            return
        known = self.rollouts.get(item.name) or self.find_lost(item)
        if known is not None and known.revision >= item.revision:
            return
        try:
            order = orders.decode_order(item.spec)
        except codes.Failure as failure:
            self.log.note("rollout-unreadable", name=item.name, why=str(failure))
            return
        now = self.now()
        status = orders.decode_status(item.status)
        fresh = Rollout(order, status, item, now, now)
        if known is not None and known.order == order:
            fresh.continue_from(known)
        self.rollouts[order.service] = fresh
        self.any_order.set()
        self.record_outcome(fresh)
        self.meters.rollout_share.labels(order.service).set(fresh.share())
        self.log.info(
            "rollout-seen",
            service=order.service,
            version=order.version,
            state=fresh.state(),
            share=fresh.share(),
            revision=item.revision,
        )

    def record_outcome(self, rollout: Rollout) -> None:
        """Record how the order ended that a status tells of, perhaps an earlier one."""
        status = rollout.status
        if status is not None and status.state != orders.RUNNING:
            key = (rollout.order.service, status.version)
            self.outcomes[key] = status.state

    def find_lost(self, item: store_objects.StoredObject) -> Rollout | None:
        """Return the rollout that the store had lost and that is written again.

        None if there is none; an order that an operator has deleted was not lost.
        """
        lost = self.lost.pop(item.name, None)
        return lost if lost is not None and is_newer_era(item, lost.item) else None

    def state_of(self, service: str, version: str) -> str:
        """Return the state of the last rollout to a version; empty if none is known."""
        rollout = self.rollouts.get(service)
        if rollout is None or rollout.order.version != version:
            return self.outcomes.get((service, version), "")
        return rollout.state()

    def running_order(self, service: str) -> RunningOrder | None:
        """Return the running order for a service; None if there is none."""
        rollout = self.rollouts.get(service)
        if rollout is None or rollout.state() != orders.RUNNING:
            return None
        return RunningOrder(rollout.order.version, self.now() - rollout.began_at)

    def filter_candidates(
        self, service: str, candidates: Candidates, retry: bool = False
    ) -> Candidates:
        """Return the candidates of the version that a request goes to.

        Without a rollout this is the version with the most endpoints. During one it
        is drawn at random, by the share of the new version. If no old endpoint is
        usable, the exits of the new one let through what they are permitted, and
        refuse the rest at once.

        :param retry: whether the request was already sent to an endpoint. It then goes
            to the old version, which is safer and needs no permit.
        """
        rollout = self.rollouts.get(service)
        if rollout is None:
            kept = majority.keep_majority_version(candidates)
            if len(kept) < len(candidates):
                self.count_choice(service, "no-order")
            return kept
        target = rollout.order.version
        new = [item for item in candidates if item.version == target]
        old = [
            item
            for item in candidates
            if item.version != target and not self.was_rolled_back(item)
        ]
        state = rollout.state()
        if state == orders.ROLLED_BACK:
            return old
        if state == orders.COMPLETED:
            return new or old
        share = rollout.share()
        if not old:
            self.count_choice(service, "no-old-endpoint")
            return new
        if not new or retry or self.random.random() >= share:
            return old
        if rollout.uses_one_endpoint():
            return [min(new, key=lambda item: (item.lost, item.endpoint))]
        return new

    def was_rolled_back(self, candidate: placement.Candidate) -> bool:
        """Return whether an earlier order to an endpoint's version was rolled back."""
        state = self.outcomes.get((candidate.service, candidate.version))
        return state == orders.ROLLED_BACK

    def count_choice(self, service: str, reason: str) -> None:
        """Count a choice of a version that no share decided."""
        self.meters.version_choices.labels(service, reason).inc()
        self.log.note("version-chosen", service=service, reason=reason)
