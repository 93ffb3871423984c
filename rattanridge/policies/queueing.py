"""Admits requests to an exit's queue and orders them. Needs no network.

Handles bursts beyond the endpoint's slots, an endpoint that limits the rate of its
requests, callers that retry immediately, and calls made by requests in progress.
Refusing one of those calls wastes the work of its parent, which holds a slot elsewhere
while it waits. Also handles bursts of long requests beside short urgent ones, and
accounts that send more than their share: ``tickets``, ``fair_shares`` and ``demand``
decide which request runs next. Those rules apply only while new requests have several
ranks or an account.
"""

import asyncio
import dataclasses
import math

from rattanridge.kernel import codes
from rattanridge.policies import (
    admissions,
    demand as demands,
    fair_shares,
    processing_times,
    rate_limit,
    slot_rules,
    tickets,
)

MIN_RETRY_AFTER = 0.05  # seconds
MAX_RETRY_AFTER = 5.0  # seconds
# Multiple of the mean processing time. With less time left before its deadline, a
# waiting request is refused, as it could not be finished.
MIN_RUN_SHARE = 0.8
# Multiple of the estimated wait in which a request has to get its slot to be timely:
# nine of ten get it by then. Without a margin, many become late in the queue and are
# refused after seconds (model of ``measure fairness``).
WAIT_MARGIN = 2.0
RECHECK_INTERVAL = 0.1  # seconds between two checks of the end of a mixed queue
TIMER_MARGIN = 0.0001  # seconds, so that a timer does not fire just before its time
# Refusals for want of room; which one tells what the endpoint is short of.
FULL_CODES = (codes.QUEUE_FULL, codes.RATE_LIMITED)


class Queue:
    """Assigns an endpoint's slots to requests, within the limit on their rate.

    :param slots: requests that the endpoint runs at once.
    :param order: returns the sort key of a request.
    :param admission: decides whether a request may wait.
    :param bound: returns how many slots less urgent requests may hold.
    """

    def __init__(
        self,
        slots: int,
        order: tickets.Order = tickets.rank_first,
        admission: admissions.Admission = admissions.admit_timely,
        bound: demands.Bound = demands.leave_urgent_slots,
    ):
        self.slots = slots
        self.order = order
        self.admission = admission
        self.running = 0
        self.waiting: list[tickets.Ticket] = []
        self.times = processing_times.ProcessingTimes()
        self.shares = fair_shares.FairShares()
        self.rules = slot_rules.SlotRules(bound)
        self.rate_limit = rate_limit.RateLimit()
        self.timer: asyncio.TimerHandle | None = None
        self.last_number = 0
        self.has_accounts = False  # tags are assigned from the first account on
        self.recheck_at = 0.0  # monotonic seconds

    async def acquire(self, ticket: tickets.Ticket) -> None:
        """Wait for a slot.

        Raise ``queue-full`` if none is free in time, ``rate-limited`` if the limit on
        the rate leaves no room in time.
        """
        now = asyncio.get_running_loop().time()
        self.record_arrival(ticket, now)
        free = self.running < self.slots and not self.rate_limit.delay(now)
        if free and not self.waiting and self.may_hold_slot(ticket, now):
            self.start_request(ticket, now)
            return
        self.admit(ticket, now)
        ticket.left_slot = free and not ticket.ready.done()
        try:
            await ticket.ready
        except asyncio.CancelledError:
            self.abandon(ticket)
            raise

    def record_arrival(self, ticket: tickets.Ticket, now: float) -> None:
        """Set the place of a request that arrives."""
        self.last_number += 1
        ticket.number = self.last_number
        ticket.cost = self.times.mean_of(ticket.route)
        self.rules.demand.record(ticket, now)
        self.has_accounts = self.has_accounts or bool(ticket.account)
        if self.has_accounts:
            self.shares.assign_tag(ticket, now)

    def is_mixed(self, now: float) -> bool:
        """Return whether the rules for several ranks or accounts apply."""
        return self.order is tickets.rank_first and self.rules.demand.is_mixed(now)

    def may_hold_slot(self, ticket: tickets.Ticket, now: float) -> bool:
        """Return whether a request may get a slot that more urgent ones may need."""
        if ticket.nested or not self.is_mixed(now):
            return True
        return self.rules.may_hold_slot(ticket.rank, self.slots, now)

    def start_request(self, ticket: tickets.Ticket, now: float) -> None:
        """Assign a slot."""
        self.running += 1
        self.rules.occupancy.record_start(ticket)
        self.shares.record_start(ticket, now)
        self.rate_limit.record_start(now)

    def admit(self, ticket: tickets.Ticket, now: float) -> None:
        """Queue a request, or raise one of ``FULL_CODES`` if it is not admitted."""
        if not self.admission(self, ticket, now):
            self.shares.record_removal(ticket)
            raise codes.Failure(
                self.full_code(now), retry_after=self.retry_after(ticket)
            )
        ticket.ready = asyncio.get_running_loop().create_future()
        self.waiting.append(ticket)
        self.schedule_expiry(ticket, now)
        if self.is_mixed(now):
            self.refuse_overtaken(now)
            self.grant()
        else:
            self.schedule_grant(now)

    def refuse_overtaken(self, now: float) -> None:
        """Refuse requests at the end of the queue that can't meet their deadline now.

        They were overtaken, and would be held until their deadline otherwise.
        """
        if now < self.recheck_at:
            return
        self.recheck_at = now + RECHECK_INTERVAL
        while len(self.waiting) > 1:
            last = max(self.waiting, key=lambda item: self.place_of(item, now))
            wait = self.wait_in_place(last, self.is_late(last, now), now)
            if now + wait + last.cost <= last.deadline:
                return
            self.remove(last)
            self.refuse(last, self.full_code(now), "more urgent requests arrived")

    def remove(self, ticket: tickets.Ticket) -> None:
        """Remove a waiting request that gets no slot."""
        self.waiting.remove(ticket)
        self.shares.record_removal(ticket)

    def full_code(self, now: float) -> codes.Code:
        """Return the code of a refusal, by what a request would wait for longest."""
        limited = self.rate_limit.delay(now, len(self.waiting)) > self.wait_for_slot()
        return codes.RATE_LIMITED if limited else codes.QUEUE_FULL

    def expected_wait_of(self, ticket: tickets.Ticket) -> float:
        """Return the seconds until a request would get a slot in its order."""
        now = asyncio.get_running_loop().time()
        if self.is_mixed(now):
            return self.mixed_wait_of(ticket, now)
        place = self.order(ticket, False)
        ahead = [item for item in self.waiting if self.order(item, False) < place]
        work = sum(self.times.mean_of(item.route) for item in ahead)
        for_slot = (work + self.running * self.times.mean() / 2) / self.slots
        return max(for_slot, self.rate_limit.delay(now, len(ahead)))

    def mixed_wait_of(self, ticket: tickets.Ticket, now: float) -> float:
        """Return the seconds until a request would get a slot among several ranks.

        More urgent requests that arrive meanwhile get their slots first. If it would
        be late, so do timely ones of its own rank.
        """
        wait = self.wait_in_place(ticket, False, now)
        latest = now + WAIT_MARGIN * wait + ticket.cost
        if ticket.nested or latest <= ticket.timely_until:
            return wait
        return self.wait_in_place(ticket, True, now, ticket.rank + 1)

    def wait_in_place(
        self, ticket: tickets.Ticket, late: bool, now: float, rank: int | None = None
    ) -> float:
        """Return the seconds until a request would get a slot.

        :param late: whether it is late then.
        :param rank: requests of more urgent ranks than this that arrive meanwhile go
            first; None for the request's own rank.
        """
        place = self.order(ticket, late)
        work, count = 0.0, 0
        for item in self.waiting:
            if self.place_of(item, now) < place:
                work += item.cost
                count += 1
        wait = self.rules.occupancy.time_to_free_slot()
        if self.running < self.slots and self.may_hold_slot(ticket, now):
            wait = 0.0
        limited = self.rate_limit.delay(now, count)
        if ticket.nested:
            return max(wait + work / self.slots, limited)
        rank = ticket.rank if rank is None else rank
        if work:
            wait += work / self.rules.slots_left_to(rank, self.slots, now)
            if ticket.account:
                wait = max(wait, self.shares.time_to_turn(ticket))
        if limited:
            limited /= self.rules.rate_left_to(rank, self.rate_limit.rate(), now)
        return max(wait, limited)

    def usable_slots(self) -> float:
        """Return how many slots the limit on the rate allows to use on average."""
        return min(self.slots, self.rate_limit.rate() * self.times.mean())

    def expected_wait(self) -> float:
        """Return the seconds that a request at the end of the queue would wait."""
        now = asyncio.get_running_loop().time()
        limited = self.rate_limit.delay(now, len(self.waiting))
        return max(self.wait_for_slot(), limited)

    def expected_wait_behind(self, ticket: tickets.Ticket) -> float:
        """Return the seconds that a further request like one would wait.

        Among several ranks, only what goes before its rank's last request counts.
        """
        now = asyncio.get_running_loop().time()
        if not (self.is_mixed(now) and self.rules.demand.has_several_ranks(now)):
            return self.expected_wait()
        further = dataclasses.replace(ticket, tag=math.inf, account="")
        return self.wait_in_place(further, False, now)

    def wait_for_slot(self) -> float:
        """Return the seconds until a slot is free at the end of the queue."""
        if self.running < self.slots:
            return 0.0
        ahead = sum(self.times.mean_of(item.route) for item in self.waiting)
        return (ahead + self.times.mean()) / self.slots

    def retry_after(self, ticket: tickets.Ticket | None = None) -> float:
        """Return the seconds until a refused request would be served, within limits.

        That is when the current queue has drained. Among several ranks, it is when so
        much of the work ahead of the request is done that it would be timely.

        :param ticket: the request; None if only the whole queue counts.
        """
        now = asyncio.get_running_loop().time()
        if ticket is None or not self.is_mixed(now):
            wait = self.expected_wait()
        else:
            spare = ticket.timely_until - now - ticket.cost
            wait = self.mixed_wait_of(ticket, now) - max(spare, 0.0)
        return min(max(wait, MIN_RETRY_AFTER), MAX_RETRY_AFTER)

    def schedule_expiry(self, ticket: tickets.Ticket, now: float) -> None:
        """Refuse a waiting request as soon as it can't meet its deadline any more."""
        latest = ticket.deadline - MIN_RUN_SHARE * self.times.mean_of(ticket.route)
        loop = asyncio.get_running_loop()
        handle = loop.call_at(max(latest, now), self.expire, ticket)
        ticket.ready.add_done_callback(lambda done: handle.cancel())

    def expire(self, ticket: tickets.Ticket) -> None:
        """Refuse a request that got no slot in time."""
        if ticket in self.waiting:
            self.remove(ticket)
            now = asyncio.get_running_loop().time()
            self.refuse(
                ticket, self.full_code(now), "got no slot in time for its deadline"
            )

    def refuse(self, ticket: tickets.Ticket, code: codes.Code, detail: str) -> None:
        """Fail a waiting request with a code."""
        if not ticket.ready.done():
            failure = codes.Failure(code, detail, retry_after=self.retry_after(ticket))
            ticket.ready.set_exception(failure)

    def refuse_all(self, code: codes.Code, detail: str) -> None:
        """Fail all waiting requests with a code."""
        waiting, self.waiting = self.waiting, []
        for ticket in waiting:
            self.shares.record_removal(ticket)
            self.refuse(ticket, code, detail)

    def abandon(self, ticket: tickets.Ticket) -> None:
        """Remove a request whose caller has gone, or release its slot."""
        if ticket in self.waiting:
            self.remove(ticket)
        elif not ticket.ready.cancelled() and ticket.ready.exception() is None:
            self.release(ticket)

    def release(self, ticket: tickets.Ticket) -> None:
        """Release the slot of a request."""
        self.running -= 1
        self.rules.occupancy.record_end(ticket)
        self.grant()

    def resize(self, slots: int) -> None:
        """Change the number of slots."""
        self.slots = slots
        self.grant()

    def set_limit(self, limit: float | None) -> None:
        """Change the limit on the rate.

        :param limit: requests per second that may start; None if there is no limit.
        """
        self.rate_limit.apply(limit, asyncio.get_running_loop().time())
        self.grant()

    def grant(self) -> None:
        """Assign free slots to the next requests, as far as the rate allows."""
        now = asyncio.get_running_loop().time()
        while self.waiting and self.running < self.slots:
            if self.rate_limit.delay(now):
                self.schedule_grant(now)
                return
            ticket = self.select_next(now)
            if ticket is None:
                return
            if ticket.ready.done():
                self.remove(ticket)
                continue
            self.waiting.remove(ticket)
            self.start_request(ticket, now)
            ticket.ready.set_result(None)

    def schedule_grant(self, now: float) -> None:
        """Assign slots again as soon as the rate allows it."""
        delay = self.rate_limit.delay(now)
        if not delay:
            return
        if self.timer is not None:
            self.timer.cancel()
        loop = asyncio.get_running_loop()
        self.timer = loop.call_at(now + delay + TIMER_MARGIN, self.grant)

    def is_late(self, ticket: tickets.Ticket, now: float) -> bool:
        """Return whether a request that starts now would miss its target latency.

        A nested call never counts as late: its parent may still be timely, and the
        parent's work would be lost with it.
        """
        finish = now + self.times.mean_of(ticket.route)
        return not ticket.nested and finish > ticket.timely_until

    def place_of(self, ticket: tickets.Ticket, now: float) -> tuple:
        """Return the sort key of a request among several ranks."""
        late = not ticket.nested and now + ticket.cost > ticket.timely_until
        return self.order(ticket, late)

    def select_next(self, now: float) -> tickets.Ticket | None:
        """Return the waiting request that is first by the queue's order.

        Return None if all that wait have to leave the free slots to urgent ones.
        """
        if not self.is_mixed(now):
            return min(
                self.waiting, key=lambda item: self.order(item, self.is_late(item, now))
            )
        ranks = {item.rank: item for item in self.waiting if not item.nested}
        blocked = {
            rank for rank, item in ranks.items() if not self.may_hold_slot(item, now)
        }
        allowed = (
            item for item in self.waiting if item.nested or item.rank not in blocked
        )
        return min(allowed, key=lambda item: self.place_of(item, now), default=None)
