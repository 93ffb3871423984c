"""The quota over all nodes: buckets, shares and the allocator's ledger."""

import hypothesis
from hypothesis import strategies

from tests import quota_model

plans = strategies.builds(
    quota_model.Plan,
    nodes=strategies.integers(1, 12),
    rate=strategies.sampled_from((2.0, 20.0, 60.0)),
    burst=strategies.sampled_from((0.0, 5.0, 80.0)),
    lost=strategies.sampled_from((0.0, 0.05, 0.4)),
    late=strategies.sampled_from((0.0, 0.1, 0.5)),
    doubled=strategies.sampled_from((0.0, 0.3)),
    deaths=strategies.sampled_from((0.0, 0.05, 0.3)),
    cuts=strategies.sampled_from((0.0, 0.05, 0.2)),
    stops=strategies.sampled_from((0.0, 0.05, 0.2)),
    handovers=strategies.sampled_from((0.0, 0.05, 0.3)),
    floods=strategies.sampled_from((0.05, 0.2)),
    load=strategies.sampled_from((0.6, 1.5, 6.0)),
)


class TestWindows:
    """No window has more than the buckets of an account hold together."""

    @hypothesis.settings(max_examples=150)
    @hypothesis.given(plans, strategies.integers(0, 2**32))
    def test_whatever_goes_wrong(self, plan, seed):
        model = quota_model.Model(plan, seed).run()
        assert model.largest_window() <= model.bound() + 1e-6
