"""Placement that sends few requests to a new endpoint at first. Needs no network.

Handles an endpoint that appears while the others are busy: it looks idle, so all
entries would send to it at once.
"""

from rattanridge.policies import placement

NAME = "slow-start"


@placement.PLACERS.register(NAME)
class SlowStart(placement.Placer):
    """Chooses like the default, but a new endpoint gets its requests gradually."""

    def considered(
        self, usable: list[placement.Candidate], now: float
    ) -> list[placement.Candidate]:
        """Return the candidates without most of the new ones, if any is left."""
        return self.skip_new(usable, now) or usable

    def skip_new(
        self, candidates: list[placement.Candidate], now: float
    ) -> list[placement.Candidate]:
        """Return the candidates without most of those that became known lately.

        At first, each is kept with the probability of an equal share. If the entry
        knows none of them yet, all are kept: it has just started.
        """
        if all(item.known_since is None for item in candidates):
            for item in candidates:
                item.known_since = now - placement.SLOW_START
        least = 1 / max(len(candidates), 1)
        return [
            item
            for item in candidates
            if (share := item.slow_start_share(now)) >= 1.0
            or self.random.random() < max(share, least)
        ]
