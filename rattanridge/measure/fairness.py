"""Experiment ``fairness``: who is served under overload, by route and account."""

import dataclasses
import itertools

from rattanridge.measure import base, depot_model, virtual_time

DEFAULT_SECONDS = 16.0
DEFAULT_ENDPOINTS = 14
START, END = 4.0, 10.0  # seconds of the overload
ROUTE_FACTOR = 2.5  # of the rate of delivery-history in a burst
QUOTA_FACTOR = 1.6  # an account's quota, as a multiple of its usual rate
ACCOUNT_FACTOR = 6.0  # of its quota that the account sends
ACCOUNTS = 86
MIN_OFFERED = 20  # requests of an account; fewer say nothing about its share
LARGE = "large-0"
HELD = 0.2  # seconds; a request that is refused later than that was held
MIN_RELATIVE_SHARE = 0.25  # of the share of all requests, for each account
MAX_HELD_SHARE = 0.1  # of the refusals
# Without and with the rules for several ranks and accounts.
POLICIES = {
    "off": depot_model.Scenario("timely-first", bound="all-slots", tagged=False),
    "on": depot_model.Scenario("rank-first", bound="urgent-slots"),
}
LOADS = {
    "burst": depot_model.Burst(ROUTE_FACTOR, START, END, route="delivery-history"),
    "account": depot_model.Burst(
        QUOTA_FACTOR * ACCOUNT_FACTOR, START, END, account=LARGE
    ),
}


def account_shares() -> dict[str, float]:
    """Return the usual share of the requests by account; a few accounts are large."""
    weights = {f"large-{number}": 8.0 for number in range(4)}
    weights |= {f"small-{number}": 1.0 for number in range(ACCOUNTS - 4)}
    total = sum(weights.values())
    return {name: weight / total for name, weight in weights.items()}


@base.EXPERIMENTS.register("fairness")
def measure(parameters: base.Parameters) -> base.Result:
    """Measure who is served under a burst and under an account over its quota.

    The load is that of service ``depot`` in virtual time, with the rules for several
    ranks and accounts off and on. ``returned_served`` is the share of the requests sent
    again after Retry-After that are served then.
    """
    figures: dict[str, float] = {}
    for load, policy in itertools.product(LOADS, POLICIES):
        base.print_progress(f"fairness: {load}, {policy}")
        found = figures_of(run(parameters, load, policy))
        figures |= {f"{load}_{policy}_{name}": value for name, value in found.items()}
    target: dict[str, float] = {}
    for load in LOADS:
        target[f"{load}_on_least_account"] = MIN_RELATIVE_SHARE
        target[f"{load}_on_held"] = MAX_HELD_SHARE
        served = figures[f"{load}_on_delivery-history_served"]
        target[f"{load}_on_tank-level_served"] = served
    ok = all(
        figures[name] <= limit if name.endswith("_held") else figures[name] >= limit
        for name, limit in target.items()
    )
    return base.Result("fairness", parameters.seed, 1, figures, target, ok)


def run(parameters: base.Parameters, load: str, policy: str) -> depot_model.Model:
    """Run one load with one set of policies."""
    scenario = dataclasses.replace(
        POLICIES[policy],
        seed=parameters.seed,
        seconds=parameters.seconds or DEFAULT_SECONDS,
        endpoints=parameters.size or DEFAULT_ENDPOINTS,
        bursts=(LOADS[load],),
        accounts=account_shares(),
    )
    return virtual_time.run(depot_model.Model(scenario).run())


def figures_of(model: depot_model.Model) -> dict[str, float]:
    """Return shares and percentiles by route, and shares of accounts."""
    figures: dict[str, float] = {}
    for kind in depot_model.KINDS:
        tally = model.routes[kind.route]
        figures[f"{kind.route}_served"] = tally.served_share()
        figures[f"{kind.route}_timely"] = tally.timely_share()
        figures[f"{kind.route}_p99_s"] = base.percentile(tally.latencies, 0.99)
    routes = model.routes.values()
    refusals = [held for tally in routes for held in tally.refusals]
    figures["held"] = share(sum(held > HELD for held in refusals), len(refusals))
    figures["returned_served"] = share(
        sum(tally.returned_served for tally in routes),
        sum(tally.returned for tally in routes),
    )
    figures |= account_figures(model)
    figures["value"] = model.value
    return {name: round(value, 3) for name, value in figures.items()}


def account_figures(model: depot_model.Model) -> dict[str, float]:
    """Return the served shares of accounts, relative to that of all requests."""
    accounts = model.accounts
    served = sum(len(tally.latencies) for tally in accounts.values())
    overall = share(served, sum(tally.offered for tally in accounts.values()))
    relative = {
        name: tally.served_share() / overall
        for name, tally in accounts.items()
        if tally.offered >= MIN_OFFERED
    }
    others = [value for name, value in relative.items() if name != LARGE]
    return {
        "least_account": min(relative.values()),
        "least_other_account": min(others),
        "large_account": relative[LARGE],
    }


def share(part: float, whole: float) -> float:
    """Return the part as a fraction of the whole; 0 if that is nothing."""
    return part / whole if whole else 0.0
