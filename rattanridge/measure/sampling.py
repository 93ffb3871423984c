"""Random numbers of calls and of latencies, drawn fast for many calls at once."""

import bisect
import collections.abc
import itertools
import math
import random

from rattanridge.policies import samples

SIGMA = 0.5  # of the logarithm of latencies


def latency_shape(median: float) -> tuple[tuple[int, ...], tuple[float, ...]]:
    """Return buckets and the cumulative probabilities of log-normal latencies."""
    buckets = []
    sums = []
    low = 0.0
    for bucket, bound in enumerate([*samples.BOUNDS, math.inf]):
        spread = (math.log(bound) - math.log(median)) / SIGMA
        high = 0.5 * math.erfc(-spread / math.sqrt(2))
        if high - low > 1e-6:
            buckets.append(bucket)
            sums.append(high)
        low = high
    sums[-1] = 1.0
    return tuple(buckets), tuple(sums)


def spread_over(
    rng: random.Random,
    calls: int,
    shape: tuple[collections.abc.Sequence[int], collections.abc.Sequence[float]],
) -> dict[int, int]:
    """Draw the number of calls in each latency bucket."""
    buckets, sums = shape
    found: dict[int, int] = {}
    if calls <= 20:
        for _ in range(calls):
            bucket = buckets[bisect.bisect_left(sums, rng.random())]
            found[bucket] = found.get(bucket, 0) + 1
        return found
    left, passed = calls, 0.0
    for bucket, high in zip(buckets, sums, strict=True):
        count = binomial(rng, left, min((high - passed) / (1.0 - passed), 1.0))
        if count:
            found[bucket] = count
        left -= count
        passed = high
        if not left:
            break
    return found


def binomial(rng: random.Random, calls: int, rate: float) -> int:
    """Draw a binomial number; a normal approximation for large ones."""
    if rate <= 0.0 or not calls:
        return 0
    if rate >= 1.0:
        return calls
    mean = calls * rate
    if calls <= 20:
        return sum(rng.random() < rate for _ in range(calls))
    if mean < 20:
        return min(poisson(rng, mean), calls)
    drawn = round(rng.gauss(mean, math.sqrt(mean * (1.0 - rate))))
    return min(max(drawn, 0), calls)


def poisson(rng: random.Random, mean: float) -> int:
    """Draw a Poisson number; a normal approximation for large means."""
    if mean <= 0.0:
        return 0
    if mean > 50.0:
        return max(round(rng.gauss(mean, math.sqrt(mean))), 0)
    limit = math.exp(-mean)
    product = rng.random()
    for count in itertools.count():
        if product <= limit:
            return count
        product *= rng.random()
    raise AssertionError("unreachable")
