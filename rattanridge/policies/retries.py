"""Retry policies: whether a service may spend another attempt."""

import abc

from rattanridge.kernel import presets, registry

RETRIES: registry.Registry[type["Retry"]] = registry.Registry("retry policy")
presets.PLUGINS.register("retries")(RETRIES)

TOKENS_MOST = 10.0
TOKENS_FIRST = 3.0


class Retry(abc.ABC):
    """Limits the extra attempts of one service: retries and hedges."""

    @abc.abstractmethod
    def earn(self, fraction: float) -> None:
        """Note a success that pays for a fraction of an extra attempt."""

    @abc.abstractmethod
    def spend(self, cost: float = 1.0) -> bool:
        """Take one extra attempt; return whether there was one.

        :param cost: what it costs; less than 1 for one that follows a refusal.
        """


@RETRIES.register("budget")
class Budget(Retry):
    """A token bucket that successes fill, so that retries stay a fraction of
    the load however many calls fail."""

    def __init__(self):
        self.tokens = TOKENS_FIRST

    def earn(self, fraction):
        self.tokens = min(self.tokens + fraction, TOKENS_MOST)

    def spend(self, cost=1.0):
        if self.tokens < cost:
            return False
        self.tokens -= cost
        return True


@RETRIES.register("never")
class Never(Retry):
    """No extra attempts at all."""

    def earn(self, fraction):
        pass

    def spend(self, cost=1.0):
        return False
