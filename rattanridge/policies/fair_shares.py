"""Divides an endpoint's work between client accounts. Needs no network.

Handles an account that sends several times its usual load, and accounts whose requests
differ in work, while the endpoint cannot serve all of them.

This is start-time fair queueing per rank. An account's weight is what it has been
served lately, but at least the mean over all accounts. So an account with enough
requests gets at least half of an equal share of the work, and at least half of the
share that it usually has: neither small nor large accounts are starved, and a sudden
increase is served only from what the others leave.
"""

import dataclasses
import math

from rattanridge.policies import tickets

# Seconds in which the weight of served work halves: an increase of 5 to 8 s hardly
# changes an account's weight.
USAGE_HALF_LIFE = 30.0
# Seconds of work that each account counts as served in addition, so that the first
# requests after a start hardly change the weights.
PRIOR_USAGE = 1.0
MAX_FLOWS = 2000  # accounts and ranks that are remembered
PROGRESS_HALF_LIFE = 2.0  # seconds in which the weight of progress halves
MIN_PROGRESS = 0.01  # seconds of an equal share per second; less is not known well
MIN_CHARGE = 0.0001  # seconds; a request without a charge has no tag
MIN_USAGE = 0.001  # seconds of served work; less is forgotten


@dataclasses.dataclass(slots=True)
class Flow:
    """Requests of one account and rank.

    :param next_tag: tag of its next request, in seconds of an equal share.
    :param waiting: requests in the queue.
    """

    next_tag: float = 0.0
    waiting: int = 0


@dataclasses.dataclass(slots=True)
class Usage:
    """Work that an account was served; earlier work loses its weight.

    :param seconds: work, as of ``at``.
    :param at: monotonic seconds.
    """

    seconds: float = 0.0
    at: float = 0.0

    def value(self, now: float) -> float:
        """Return the weighted seconds of work."""
        return self.seconds * 0.5 ** ((now - self.at) / USAGE_HALF_LIFE)

    def add(self, seconds: float, now: float) -> None:
        """Add work."""
        self.seconds = self.value(now) + seconds
        self.at = now


@dataclasses.dataclass(slots=True)
class Turn:
    """Whose turn it is among the accounts of one rank.

    :param tag: highest tag of a request that got a slot.
    :param progress: by how much it grew; earlier growth loses its weight.
    :param at: monotonic seconds of the last growth.
    """

    tag: float = 0.0
    progress: float = 0.0
    at: float = 0.0

    def advance(self, tag: float, now: float) -> None:
        """Record the tag of a request that gets a slot."""
        self.progress *= 0.5 ** ((now - self.at) / PROGRESS_HALF_LIFE)
        self.progress += max(tag - self.tag, 0.0)
        self.tag = max(tag, self.tag)
        self.at = now

    def time_to(self, tag: float) -> float:
        """Return the seconds until a tag has its turn at the recent progress."""
        rate = self.progress * math.log(2) / PROGRESS_HALF_LIFE
        return max(tag - self.tag, 0.0) / rate if rate > MIN_PROGRESS else 0.0


Key = tuple[bool, int]  # whether nested, and rank
FlowKey = tuple[bool, int, str]


class FairShares:
    """Assigns tags to requests, by which an order takes accounts in turn."""

    def __init__(self) -> None:
        self.flows: dict[FlowKey, Flow] = {}
        self.usages: dict[str, Usage] = {}
        self.total = Usage()
        self.turns: dict[Key, Turn] = {}

    def weight(self, account: str, now: float) -> float:
        """Return an account's weight, as a multiple of the mean; at least 1."""
        usage = self.usages.get(account)
        if usage is None:
            return 1.0
        mean = self.total.value(now) / len(self.usages)
        return max((usage.value(now) + PRIOR_USAGE) / (mean + PRIOR_USAGE), 1.0)

    def assign_tag(self, ticket: tickets.Ticket, now: float) -> None:
        """Set the tag of a request that arrives."""
        flow = self.flows.get((ticket.nested, ticket.rank, ticket.account))
        if flow is None:
            flow = self.add_flow(ticket, now)
        turn = self.turns.get((ticket.nested, ticket.rank))
        ticket.tag = max(flow.next_tag, turn.tag if turn is not None else 0.0)
        ticket.charge = max(ticket.cost, MIN_CHARGE) / self.weight(ticket.account, now)
        flow.next_tag = ticket.tag + ticket.charge
        flow.waiting += 1

    def add_flow(self, ticket: tickets.Ticket, now: float) -> Flow:
        """Return a new flow; forget idle ones if there are too many."""
        if len(self.flows) >= MAX_FLOWS:
            self.forget_idle(now)
        flow = self.flows[(ticket.nested, ticket.rank, ticket.account)] = Flow()
        return flow

    def forget_idle(self, now: float) -> None:
        """Forget flows without requests, and accounts without served work."""
        self.flows = {key: flow for key, flow in self.flows.items() if flow.waiting}
        self.usages = {
            account: usage
            for account, usage in self.usages.items()
            if usage.value(now) >= MIN_USAGE
        }

    def record_start(self, ticket: tickets.Ticket, now: float) -> None:
        """Record that a request gets a slot."""
        if not ticket.charge:
            return
        turn = self.turns.get((ticket.nested, ticket.rank))
        if turn is None:
            turn = self.turns[(ticket.nested, ticket.rank)] = Turn(at=now)
        turn.advance(ticket.tag, now)
        self.flows[(ticket.nested, ticket.rank, ticket.account)].waiting -= 1
        usage = self.usages.setdefault(ticket.account, Usage(at=now))
        usage.add(ticket.cost, now)
        self.total.add(ticket.cost, now)

    def time_to_turn(self, ticket: tickets.Ticket) -> float:
        """Return the seconds until the turn of a request's account comes.

        Until then, requests of other accounts that arrive later go first.
        """
        turn = self.turns.get((ticket.nested, ticket.rank))
        return turn.time_to(ticket.tag) if turn is not None else 0.0

    def record_removal(self, ticket: tickets.Ticket) -> None:
        """Record that a request leaves without a slot; its account is not charged.

        Requests of the account that arrived after it keep their tags.
        """
        if not ticket.charge:
            return
        flow = self.flows[(ticket.nested, ticket.rank, ticket.account)]
        flow.waiting -= 1
        if flow.next_tag == ticket.tag + ticket.charge:
            flow.next_tag = ticket.tag
