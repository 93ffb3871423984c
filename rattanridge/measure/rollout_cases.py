"""Deployments and scenarios of rollouts in virtual time."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Route:
    """Traffic of one route.

    :param rate: calls a second.
    :param median: seconds.
    """

    name: str
    rate: float
    once: bool = False
    median: float = 0.02


@dataclasses.dataclass(slots=True, frozen=True)
class Deployment:
    """One service of a deployment, with as many endpoints of either version.

    :param window: seconds from the start to the deadline.
    :param tick: seconds of one step of virtual time, and between reports.
    """

    name: str
    endpoints: int
    routes: tuple[Route, ...]
    window: float
    tick: float = 4.0
    error_rate: float = 0.001


DEPLOYMENTS = (
    Deployment(
        "consortium",
        4,
        (
            Route("GET lineage", 6.0),
            Route("GET dies", 2.0),
            Route("POST commissions", 1.5, once=True, median=0.06),
            Route("POST plates", 0.3, once=True, median=0.06),
        ),
        3600.0,
    ),
    Deployment(
        "cooperative",
        4,
        (
            Route("GET templates", 4.0, median=0.01),
            Route("GET batches", 1.0),
            Route("POST runs", 0.8, once=True, median=0.08),
            Route("POST series", 0.2, once=True),
        ),
        3600.0,
    ),
    Deployment(
        "letter",
        31,
        (
            Route("GET pages", 1400.0),
            Route("GET records", 600.0, median=0.01),
            Route("POST payments", 140.0, once=True, median=0.06),
            Route("GET rare", 0.5),
        ),
        900.0,
        tick=1.0,
    ),
)


@dataclasses.dataclass(slots=True, frozen=True)
class Scenario:
    """What goes wrong, with the new version or with both.

    Rates are fractions of calls, times are seconds or, where the name says so,
    parts of the window.

    :param errors: errors of the new version.
    :param slow: factor on its latency.
    :param from_part: when its fault begins.
    :param loaded_only: its fault shows only near full load of an endpoint.
    :param rare_only: its fault shows only on the rarest route.
    :param crashes: requests that crash its endpoint.
    :param cold: seconds in which a new endpoint answers three times slower.
    :param overload: errors of both versions, while both are thrice slower.
    :param noise: part of the seconds in which an endpoint of either version
        pauses.
    :param traffic: factor on the rates.
    :param outage_part: when the platform goes down for the rest.
    :param delay: seconds by which reports are late.
    """

    name: str
    bad: bool = False
    errors: float = 0.0
    slow: float = 1.0
    from_part: float = 0.0
    loaded_only: bool = False
    rare_only: bool = False
    crashes: float = 0.0
    cold: float = 0.0
    overload: float = 0.0
    noise: float = 0.0
    traffic: float = 1.0
    outage_part: float = 2.0
    delay: int = 0


SCENARIOS = (
    Scenario("plain"),
    Scenario("cold_starts", cold=20.0),
    Scenario("shared_overload", overload=0.15),
    Scenario("noisy_latency", noise=0.05),
    Scenario("low_traffic", traffic=0.25),
    Scenario("errors_at_once", bad=True, errors=0.3),
    Scenario("slow_at_once", bad=True, slow=2.5),
    Scenario("errors_later", bad=True, errors=0.3, from_part=0.5),
    Scenario("slow_in_bake", bad=True, slow=2.5, from_part=0.82),
    Scenario("under_load", bad=True, errors=0.5, loaded_only=True),
    Scenario("rare_route", bad=True, errors=0.5, rare_only=True),
    Scenario("one_percent", bad=True, errors=0.01),
    Scenario("crashes", bad=True, crashes=0.02),
    Scenario("platform_down", bad=True, errors=0.3, from_part=0.3, outage_part=0.25),
    Scenario("late_reports", bad=True, errors=0.3, delay=10),
)
