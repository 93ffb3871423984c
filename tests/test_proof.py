"""What a new version must show before it gets all requests."""

import pytest

from rattanridge.policies import evidence, evidence_history, proof

ROUTE = "lookup"
FAST = 0.09  # seconds
SLOW = 0.7  # seconds


def make_history(old, new):
    history = evidence_history.History()
    history.record(1.0, {ROUTE: old}, {ROUTE: new})
    return history


def answered(calls, errors=0, slow=0, late=0):
    """Return counts of answered requests; the slow ones are among the late ones."""
    counts = evidence.Counts()
    for number in range(calls):
        seconds = SLOW if number >= calls - slow else FAST
        counts.record_call(number < errors, seconds, number >= calls - late)
    return counts


class TestDoubt:
    @pytest.mark.parametrize(
        ("old", "new", "is_doubtful"),
        [
            (answered(300), answered(8), False),
            (answered(300), answered(100, errors=5), False),
            (answered(300), answered(100, errors=28), True),
            (answered(300), answered(100, slow=28), True),
            (answered(300, errors=186), answered(100), False),
            (answered(300, errors=186), answered(100, errors=60), False),
            (answered(300, errors=186), answered(12, errors=8), True),
            (answered(300, errors=300), answered(100, errors=100), True),
            (answered(300, errors=300), answered(100), False),
        ],
    )
    def test_version_is_proven_if_a_bad_one_would_have_shown(
        self, old, new, is_doubtful
    ):
        assert bool(proof.find_doubt(make_history(old, new))) is is_doubtful

    # Guards against: nothing speaks against a slow version if the old one answers
    # nothing, and it takes over (review/1).
    @pytest.mark.parametrize(("late", "is_doubtful"), [(0, False), (6, True)])
    def test_without_the_old_version_answers_must_be_timely(self, late, is_doubtful):
        history = make_history(evidence.Counts(), answered(12, slow=late, late=late))
        assert bool(proof.find_doubt(history)) is is_doubtful

    # Guards against: requests that end without an answer speak neither for a version
    # nor against it, and it takes over.
    def test_version_that_answers_nothing_is_in_doubt(self):
        new = evidence.Counts()
        for _ in range(40):
            new.record_unanswered(0.05)
        assert proof.find_doubt(make_history(answered(300), new))

    def test_route_without_requests_is_not_judged(self):
        assert not proof.find_doubt(make_history(answered(300), answered(3, errors=3)))


class TestBadAnswers:
    def test_good_version_is_excused(self):
        found = proof.BadAnswers()
        history = make_history(answered(900, errors=450), answered(300, errors=150))
        assert not found.find_fault(history)
        assert found.excused == 150

    # Guards against: nothing is decided for as long as nothing can be told apart.
    def test_version_in_doubt_is_rolled_back_in_time(self):
        found = proof.BadAnswers()
        history = make_history(answered(900, errors=900), answered(60, errors=60))
        assert not found.find_fault(history)
        history.at += proof.DECISION_TIME
        assert "not proven" in found.find_fault(history)

    # Guards against: a coordinator that takes over gives a bad version the time again.
    def test_time_is_not_given_again(self):
        found = proof.BadAnswers(excused=10)
        found.record_earlier({ROUTE: answered(80, errors=proof.MAX_BAD_ANSWERS + 10)})
        history = make_history(evidence.Counts(), evidence.Counts())
        assert "not proven" in found.find_fault(history)
