"""Which version of a service a call goes to, by the rollout's stage."""

import collections.abc
import functools
import hashlib
import random

from rattanridge.control import messages, replica
from rattanridge.kernel import presets
from rattanridge.policies import balancers, majority

Found = list[balancers.Candidate]


class Versions:
    """Draws the version for each call.

    While a rollout runs and one version has no endpoints left, calls go to the
    other one; only those that must not run twice keep to the share of the new
    version and are refused beyond it.

    :param state: the node's replica; its table carries the stages.
    :param rng: draws by the share.
    """

    def __init__(self, state: replica.Replica, rng: random.Random):
        self.state = state
        self.random = rng
        self.braked: collections.abc.Callable[[str], bool] = lambda service: False

    def keep(
        self,
        service: str,
        found: Found,
        idempotent: bool,
        avoid: frozenset[str] = frozenset(),
        route: presets.Route | None = None,
    ) -> Found:
        """Keep the endpoints of the version that this call goes to.

        :param found: all usable endpoints of the service.
        :param avoid: names of endpoints that the call was sent to already; a
            call that failed on the new version goes to the old one next.
        """
        stage = self.state.table.records.get(("stage", service))
        if stage is None:
            return without(majority.keep_major(found), avoid)
        new = [item for item in found if item.version == stage.new]
        if stage.state == "done":
            return without(new or found, avoid)
        old = [item for item in found if item.version == stage.old]
        share = self.share(stage, idempotent, route)
        if new and share >= 1.0:
            return without(self.spread(stage, new), avoid)
        if new and not old and idempotent and share > 0.0:
            return without(new, avoid)
        tried = any(item.name in avoid for item in new)
        if new and not tried and self.random.random() < share:
            return self.spread(stage, new)
        return without(old, avoid)

    def share(
        self, stage: messages.Stage, idempotent: bool, route: presets.Route | None
    ) -> float:
        """Return the fraction of such calls that may go to the new version."""
        if stage.state == "taken-back" or self.braked(stage.service):
            return 0.0
        name = route.label() if route is not None and stage.boosts else ""
        return stage.share_for(idempotent, name)

    def spread(self, stage: messages.Stage, new: Found) -> Found:
        """Keep the few endpoints that the stage uses; the same at every node."""
        if not stage.spread or stage.spread >= len(new):
            return new
        return sorted(new, key=lambda item: rank(item.name))[: stage.spread]


@functools.lru_cache(maxsize=4096)
def rank(name: str) -> bytes:
    """Return an endpoint's fixed place in a random order."""
    return hashlib.blake2b(name.encode(), digest_size=8).digest()


def without(found: Found, avoid: frozenset[str]) -> Found:
    """Return the candidates whose names are not to be avoided."""
    if not avoid:
        return found
    return [item for item in found if item.name not in avoid]
