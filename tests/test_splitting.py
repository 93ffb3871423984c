"""Division of a route's requests by weight."""

import collections
import random

import pytest

from rattanridge.kernel import routes
from rattanridge.policies import splitting


def make(*shares):
    parts = tuple(routes.Share(name, weight) for name, weight in shares)
    return routes.Route("r", "h", "/", True, 1.0, 1.0, 0, 1, parts)


class TestSplitter:
    @pytest.mark.parametrize("weights", [(90, 10), (1, 1), (3, 0), (5, 3, 2)])
    def test_parts_hold_after_few_requests(self, weights):
        route = make(*((f"s{i}", weight) for i, weight in enumerate(weights)))
        splitter = splitting.Splitter(random.Random(3))
        counts = collections.Counter(splitter.choose(route) for _ in range(60))
        for index, weight in enumerate(weights):
            wanted = 60 * weight / sum(weights)
            assert abs(counts[f"s{index}"] - wanted) <= 1.5

    def test_a_weight_of_zero_gets_nothing(self):
        splitter = splitting.Splitter(random.Random(3))
        route = make(("a", 0), ("b", 1))
        assert {splitter.choose(route) for _ in range(100)} == {"b"}

    # Guards against: credits of all configurations that ever were stay in memory.
    def test_credits_of_older_configurations_are_bounded(self):
        splitter = splitting.Splitter(random.Random(3))
        for weight in range(1, 2 * splitting.KEPT):
            splitter.choose(make(("a", weight), ("b", 7)))
        assert len(splitter.credits) <= splitting.KEPT
