"""Random counts of requests, for tests of rollouts."""

from rattanridge.policies import evidence

ROUTE = "lookup"


def draw_counts(rng, calls, error_share=0.0, factor=1.0, slow_share=1.0):
    """Return counts of random requests, some of them slower by a factor."""
    version_counts = evidence.Counts()
    for _ in range(calls):
        seconds = 0.09 * rng.lognormvariate(0.0, 0.5)
        if rng.random() < slow_share:
            seconds *= factor
        version_counts.record_call(rng.random() < error_share, seconds)
    return version_counts
