"""Division of a route's requests among its services by weight."""

import collections
import fractions
import random

import pytest

from rattanridge.kernel import routes
from rattanridge.policies import splitting

# The pages set no size for a weight; the sum of two may be too large for a float.
WEIGHTS = [
    (90, 10),
    (1, 1),
    (3, 0),
    (5, 3, 2),
    (0.75, 0.25),
    (1e308, 1e308),
    (1.5e308, 0.5e308, 0),
    (5e-324, 5e-324),
    (1e308, 5e-324),
]


def sum_of(weights):
    return sum(map(fractions.Fraction, weights))


def make(*shares):
    weighted = tuple(routes.Share(name, weight) for name, weight in shares)
    return routes.Route("r", "h", "/", True, 1.0, 1.0, 0, 1, weighted)


class TestSplitter:
    @pytest.mark.parametrize("weights", WEIGHTS)
    def test_shares_match_weights_after_few_requests(self, weights):
        route = make(*((f"s{i}", weight) for i, weight in enumerate(weights)))
        splitter = splitting.Splitter(random.Random(3))
        counts = collections.Counter(splitter.choose(route) for _ in range(60))
        for index, weight in enumerate(weights):
            expected = 60 * float(fractions.Fraction(weight) / sum_of(weights))
            assert abs(counts[f"s{index}"] - expected) <= 1.5

    def test_service_with_weight_zero_gets_no_requests(self):
        splitter = splitting.Splitter(random.Random(3))
        route = make(("a", 0), ("b", 1))
        assert {splitter.choose(route) for _ in range(100)} == {"b"}

    # Guards against a memory leak: each new configuration adds splits, and those of
    # earlier configurations are never used again.
    def test_splits_of_earlier_configurations_are_bounded(self):
        splitter = splitting.Splitter(random.Random(3))
        for weight in range(1, 2 * splitting.MAX_SPLITS):
            splitter.choose(make(("a", weight), ("b", 7)))
        assert len(splitter.splits) <= splitting.MAX_SPLITS
