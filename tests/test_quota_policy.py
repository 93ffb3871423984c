"""The quota over all nodes: buckets, shares and the allocator's ledger."""

import hypothesis
import pytest
from hypothesis import strategies

from rattanridge.policies import quota, quota_account, quota_ledger
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


# Settings under which the allocator gives away all that it may. The bound must not
# depend on what it keeps back for other reasons.
GENEROUS = {
    "HEADROOM": 50.0,
    "LOW_RATE_RESERVE": 0.0,
    "RATE_RESERVE": 0.0,
    "DEPTH_RESERVE": 0.0,
    "DEPTH_SECONDS": 1e6,
    "STOCK_KEPT": 0.0,
    "STOCK_PART": 1.0,
}


class TestWindows:
    """No window has more than the buckets of an account hold together."""

    @hypothesis.settings(max_examples=150)
    @hypothesis.given(plans, strategies.booleans(), strategies.integers(0, 2**32))
    def test_whatever_goes_wrong(self, plan, generous, seed):
        with pytest.MonkeyPatch.context() as patch:
            for name, value in GENEROUS.items() if generous else ():
                patch.setattr(quota_account, name, value)
            model = quota_model.Model(plan, seed).run()
        assert model.largest_window() <= model.bound() + 1e-6


LIMIT = quota.Limit(10.0, 10.0)


def entry(demand=2.0, rate=0.0, depth=0.0, waiting=0):
    return quota.Entry("a", LIMIT, demand, rate, depth, 0.0, waiting)


def held_share(sent_at=0.0, now=0.01):
    """Return the shares of a node that has been granted half of a quota."""
    shares = quota.NodeShares(1)
    share = shares.share_of("a", LIMIT, sent_at)
    shares.report(sent_at)
    grant = quota.Grant("a", 0.5, 0.5, 5.0)
    assert shares.apply(1, 1, [grant], 4.0, now)
    return shares, share


class TestShares:
    def test_share_ends_with_its_lifetime_since_the_report(self):
        # Guards against a node that counts from an answer that was late.
        _, share = held_share(sent_at=0.0, now=0.5)
        share.expire(quota.SHARE_LIFETIME - 0.1)
        assert share.depth
        share.expire(quota.SHARE_LIFETIME)
        assert not share.depth
        assert not share.try_take(quota.SHARE_LIFETIME + 60.0)

    def test_late_tokens_are_lost(self):
        # Guards against tokens that the allocator no longer counts as on the way.
        assert held_share(now=0.01)[1].bucket.tokens == 5.0
        assert held_share(now=quota.TOKENS_LIFETIME)[1].bucket.tokens == 0.0

    def test_only_the_answer_to_the_last_report_is_applied(self):
        shares, share = held_share()
        shares.report(1.0)
        shares.report(2.0)
        whole = quota.Grant("a", 1.0, 1.0, 0.0)
        assert not shares.apply(2, 1, [whole], 4.0, 2.1)
        assert not shares.apply(3, 0, [whole], 4.0, 2.1)
        assert share.rate == 0.5

    def test_clock_that_goes_back_adds_nothing(self):
        _, share = held_share(sent_at=100.0, now=100.01)
        share.bucket.advance(50.0)
        assert share.bucket.tokens == 5.0


class TestLedger:
    def test_older_report_is_ignored(self):
        # Guards against a doubled or late report that hides what a node holds.
        ledger = quota_ledger.Ledger(float("-inf"))
        assert ledger.answer("n", 1, 2, [entry()], True, 0.0)
        assert ledger.answer("n", 1, 2, [entry()], True, 0.1) is None
        assert ledger.answer("n", 1, 1, [entry()], True, 0.1) is None
        assert ledger.answer("n", 0, 9, [entry()], True, 0.1) is None

    def test_unknown_node_must_report_in_full(self):
        # Guards against a share of a former term that is given away.
        ledger = quota_ledger.Ledger(20.0, {"n", "m"})
        assert ledger.answer("n", 1, 5, [], False, 0.0) is None
        assert not ledger.is_settled(0.0)
        assert "n" in ledger.unheard

    def test_new_incarnation_frees_the_share(self):
        ledger = quota_ledger.Ledger(float("-inf"))
        ledger.answer("n", 1, 1, [entry()], True, 0.0)
        assert ledger.holders(0.1) == {"n"}
        ledger.answer("n", 2, 1, [], True, 0.2)
        assert not ledger.holders(0.3)

    def test_bounds_free_what_unheard_nodes_cannot_hold(self):
        # Guards against: nodes that never come back keep the whole quota for 15 s.
        bounds = {"lost": {"a": 0.25}}
        ledger = quota_ledger.Ledger(20.0, {"n", "lost"}, bounds)
        limit = quota.Limit(100.0, 100.0)
        entry = quota.Entry("a", limit, 90.0, 0.0, 0.0, 0.0, 0)
        other = quota.Entry("b", limit, 90.0, 0.0, 0.0, 0.0, 0)
        grants = ledger.answer("n", 1, 1, [entry, other], True, 10.0)
        assert 0.5 < grants[0].rate <= 0.75
        assert 0.75 < grants[1].rate <= 1 - quota_ledger.DEFAULT_BOUND
        written = ledger.bounds()
        assert written["lost"] == {"a": 0.25}
        assert all(
            max(grant.rate, grant.depth) <= written["n"][grant.account]
            for grant in grants
        )
        assert not ledger.is_within("n", [entry], bounds)

    def test_unheard_nodes_settle_with_time(self):
        # Guards against a node that never comes back and blocks the quota for ever.
        ledger = quota_ledger.Ledger(20.0, {"n"})
        waiting = entry(waiting=1)
        assert ledger.answer("m", 1, 1, [waiting], True, 1.0)[0].settling
        assert not ledger.answer("m", 1, 2, [waiting], True, 21.0)[0].settling
