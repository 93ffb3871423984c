"""Hedging: when an idempotent call is sent to a second endpoint as well."""

import abc

from rattanridge.kernel import presets, registry

HEDGES: registry.Registry[type["Hedge"]] = registry.Registry("hedge policy")
presets.PLUGINS.register("hedging")(HEDGES)

LATENCY_FACTOR = 3.0


class Hedge(abc.ABC):
    """Decides how long a call waits for its first endpoint alone."""

    @abc.abstractmethod
    def pause(self, least: float, latency: float) -> float:
        """Return the seconds to wait.

        :param least: the route's ``hedge`` seconds.
        :param latency: seconds that the endpoint usually takes, 0 if unknown.
        """


@HEDGES.register("fixed")
class Fixed(Hedge):
    """After the route's seconds."""

    def pause(self, least, latency):
        return least


@HEDGES.register("latency")
class Latency(Hedge):
    """After a multiple of the endpoint's usual latency, if that is longer."""

    def pause(self, least, latency):
        return max(least, LATENCY_FACTOR * latency)
