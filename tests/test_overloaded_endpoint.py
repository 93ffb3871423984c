"""Urgent requests beside a burst of long ones, and accounts that send too much."""

import asyncio

import pytest

from rattanridge.measure import base, depot_model, fairness, virtual_time
from rattanridge.policies import demand, fair_shares, queueing, tickets

BURST = depot_model.Burst(2.5, 4.0, 10.0, route="delivery-history")
BEFORE = {"order": "timely-first", "bound": "all-slots"}
NOW = {"order": "rank-first", "bound": "urgent-slots"}


def run_model(policies, **options):
    scenario = depot_model.Scenario(**policies, **options)
    return virtual_time.run(depot_model.Model(scenario).run())


class TestBurstOfLongRequests:
    """The load of ``depot``: tank-level is more urgent than delivery-history."""

    # Guards against: an urgent request that has become late, as on a slow endpoint,
    # goes behind all less urgent ones, and is refused when its deadline has come.
    def test_load_of_this_model_needs_the_order(self):
        routes = run_model(BEFORE, bursts=(BURST,)).routes
        tank, history = routes["tank-level"], routes["delivery-history"]
        assert tank.served_share() < history.served_share() - 0.2
        assert sum(held > 1.0 for held in tank.refusals) > 100

    @pytest.mark.parametrize("seed", [1, 2])
    def test_urgent_requests_are_served_as_often_as_others(self, seed):
        routes = run_model(NOW, bursts=(BURST,), seed=seed).routes
        tank, history = routes["tank-level"], routes["delivery-history"]
        assert tank.served_share() >= history.served_share()
        # Two of 14 endpoints are too slow to serve any in time.
        assert tank.timely_share() >= 12 / 14
        assert history.served_share() >= 0.25

    # Guards against: requests are held for seconds before they are refused.
    def test_refusals_are_immediate(self):
        routes = run_model(NOW, bursts=(BURST,)).routes
        refusals = [held for tally in routes.values() for held in tally.refusals]
        assert len(refusals) > 100
        assert sum(held > 0.2 for held in refusals) <= 0.1 * len(refusals)


class TestOneRank:
    # Guards against: a fleet without accounts, and with one rank per service, is
    # served in another order than before.
    @pytest.mark.parametrize(
        "kinds",
        [
            (depot_model.HISTORY,),
            (depot_model.HISTORY, depot_model.TRUCK_STOCK),
        ],
    )
    def test_nothing_changes(self, kinds):
        before, now = (
            run_model(policies, bursts=(BURST,), kinds=kinds).routes
            for policies in (BEFORE, NOW)
        )
        assert before == now
        assert any(tally.refusals for tally in before.values())


class TestFairShares:
    def serve(self, offered, seconds=20.0):
        """Return the work that accounts get at one slot, whose requests always wait.

        :param offered: work of one request and its number per second, by account.
        """

        async def scenario():
            queue = queueing.Queue(1)
            loop = asyncio.get_running_loop()
            served = dict.fromkeys(offered, 0.0)
            for name, (work, _) in offered.items():
                queue.times.record(name, work)

            async def call(account, work):
                now = loop.time()
                ticket = tickets.Ticket(account, 1, False, now + 60, now + 60, account)
                await queue.acquire(ticket)
                await asyncio.sleep(work)
                served[account] += work
                queue.release(ticket)

            async def send(account, work, rate):
                while loop.time() < seconds:
                    tasks.append(asyncio.create_task(call(account, work)))
                    await asyncio.sleep(1 / rate)

            tasks = []
            senders = [send(name, *item) for name, item in offered.items()]
            await asyncio.gather(*senders)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            return served

        return virtual_time.run(scenario())

    # Guards against: an account gets more because its requests are longer.
    def test_accounts_get_equal_work(self):
        served = self.serve({"long": (0.2, 10), "short": (0.02, 100)})
        assert served["short"] == pytest.approx(served["long"], rel=0.1)

    # Guards against: an account that sends ten times its share takes that of others.
    def test_small_accounts_are_served(self):
        offered = {f"small-{n}": (0.05, 1) for n in range(5)}
        served = self.serve({**offered, "large": (0.05, 60)})
        for name in offered:
            assert served[name] >= 0.9 * 20 * 0.05

    # Guards against: equal shares starve an account whose usual load is large.
    def test_weight_follows_usual_work(self):
        shares = fair_shares.FairShares()
        for now in range(60):
            for name, cost in (("large", 0.8), ("a", 0.1), ("b", 0.1)):
                ticket = tickets.Ticket(name, 1, False, 0.0, 0.0, name, cost=cost)
                shares.assign_tag(ticket, now)
                shares.record_start(ticket, now)
        assert shares.weight("large", 60) == pytest.approx(2.4, rel=0.1)
        assert shares.weight("a", 60) == 1.0

    def test_flows_are_bounded(self):
        shares = fair_shares.FairShares()
        for number in range(2 * fair_shares.MAX_FLOWS):
            ticket = tickets.Ticket("r", 1, False, 0.0, 0.0, f"a{number}")
            shares.assign_tag(ticket, 0.0)
            shares.record_removal(ticket)
        assert len(shares.flows) <= fair_shares.MAX_FLOWS


class TestUrgentSlots:
    def make(self, ranks):
        """Return a demand of two slots of each rank, whose slack is 0.3 s."""
        found = demand.Demand()
        for step in range(100):
            for rank in ranks:
                ticket = tickets.Ticket("r", rank, False, step / 10 + 0.5, 99.0)
                ticket.cost = 0.2
                found.record(ticket, step / 10)
        return found

    @pytest.mark.parametrize(
        ("ranks", "rank", "work", "now", "expected"),
        [
            ((0, 2), 2, 1.0, 10.0, 6),
            ((0, 2), 0, 1.0, 10.0, 9),
            ((2,), 2, 1.0, 10.0, 9),
            # A slot becomes free soon enough anyway.
            ((0, 2), 2, 0.1, 10.0, 9),
            # No urgent request has arrived for a while.
            ((0, 2), 2, 1.0, 20.0, 9),
        ],
    )
    def test_bound(self, ranks, rank, work, now, expected):
        found = self.make(ranks)
        assert demand.leave_urgent_slots(found, rank, 9, work, now) == expected

    # Guards against: an urgent request waits for a slot that could have been kept free.
    async def test_urgent_request_finds_a_free_slot(self):
        queue = queueing.Queue(4)
        now = asyncio.get_running_loop().time()
        queue.times.record("long", 5.0)
        queue.times.record("short", 0.1)

        def make(route, rank):
            return tickets.Ticket(route, rank, False, now + 0.3, now + 60.0)

        first = make("short", 0)
        await queue.acquire(first)
        queue.release(first)
        long = [asyncio.create_task(queue.acquire(make("long", 2))) for _ in range(6)]
        await asyncio.sleep(0)
        assert queue.running < 4
        await queue.acquire(make("short", 0))
        for task in long:
            task.cancel()
        await asyncio.gather(*long, return_exceptions=True)


class TestExperiment:
    # Guards against: the experiment compares the policies on different loads.
    def test_reports_both_policies_by_route_and_account(self):
        result = fairness.measure(base.Parameters(seed=1, size=6, seconds=8.0))
        for load in ("burst", "account"):
            off, on = (
                result.figures[f"{load}_{policy}_tank-level_served"]
                for policy in ("off", "on")
            )
            assert off < on
            assert result.figures[f"{load}_on_least_account"] >= 0.25
        assert set(result.target) <= set(result.figures)

    async def test_wait_until_the_turn_of_an_account(self):
        """An account that has used its share waits until others have had theirs."""
        shares = fair_shares.FairShares()
        for step in range(50):
            ticket = tickets.Ticket("r", 1, False, 0.0, 0.0, "a", cost=0.1)
            shares.assign_tag(ticket, step / 10)
            shares.record_start(ticket, step / 10)
        later = tickets.Ticket("r", 1, False, 0.0, 0.0, "a", cost=0.1)
        shares.assign_tag(later, 5.0)
        assert shares.time_to_turn(later) == pytest.approx(0.1, rel=0.3)
