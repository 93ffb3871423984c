"""Whether the local upstream's version may get requests while it is on trial.

The node that coordinates a rollout permits the exits of the new version some requests,
for a short time. Without a permit they refuse, and the requests go to the old version:
also if their node was restarted, does not hear from the store, or if nobody coordinates
the rollout any more.
"""

import asyncio
import collections.abc

import msgspec

from rattanridge.kernel import codes, untrusted_json
from rattanridge.mesh import events, monitoring, upstream as upstreams
from rattanridge.platform import orders

BRAKE_PATH = "/brake"
BRAKE_DURATION = 30.0  # seconds for which a brake goes before all permits
PERMIT_DURATION = 1.5  # seconds after which the exits of an abandoned rollout refuse
# Seconds for which an accepted version is served before the exit must know it itself.
ACCEPTED_DURATION = 30.0
RETRY_AFTER = 1.0  # seconds; by then the next permits have come
UNLIMITED = 2**53  # requests

StateOf = collections.abc.Callable[[str, str], str]


class Permit(msgspec.Struct):
    """Permits an exit to send requests to an upstream whose version is on trial.

    :param requests: that the exit may have sent in all, by its own count.
    :param seconds: for which the permit holds.
    :param accepted: whether the version has replaced the old one.
    """

    version: str
    requests: int
    seconds: float = PERMIT_DURATION
    accepted: bool = False


class Trial:
    """Applies permits and brakes to the local upstream's version.

    :param state_of: returns the state of the rollout to a version of a service; empty
        if none is known.
    """

    def __init__(
        self,
        upstream: upstreams.Upstream,
        monitor: monitoring.Monitor,
        state_of: StateOf,
        log: events.Events,
    ):
        self.upstream = upstream
        self.monitor = monitor
        self.state_of = state_of
        self.log = log
        self.permit: Permit | None = None
        self.permitted_until = 0.0
        self.braked_version = ""
        self.braked_until = 0.0

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def apply_permit(self, permit: Permit) -> None:
        """Apply a permit, in place of the one before."""
        self.permit = permit
        self.permitted_until = self.now() + permit.seconds

    def brake(self, version: str) -> None:
        """Refuse requests to a bad version for BRAKE_DURATION seconds.

        Does nothing if the upstream has another version.
        """
        if version != self.upstream.version:
            return
        if not self.is_braked():
            self.log.info("version-braked", version=version)
        self.braked_version = version
        self.braked_until = self.now() + BRAKE_DURATION

    def is_braked(self) -> bool:
        """Return whether the upstream's version is braked."""
        braked = self.braked_version == self.upstream.version
        return braked and self.now() < self.braked_until

    def current_permit(self) -> Permit | None:
        """Return the last permit for the upstream's version; None if there was none."""
        if self.permit is None or self.permit.version != self.upstream.version:
            return None
        return self.permit

    def refusal(self) -> codes.Failure | None:
        """Return why the upstream's version may get no request now; None if it may."""
        upstream = self.upstream
        state = self.state_of(upstream.service, upstream.version)
        if state == orders.COMPLETED:
            return None
        if state == orders.ROLLED_BACK or self.is_braked():
            return codes.Failure(codes.DRAINING, "the version is being rolled back")
        permit = self.current_permit()
        if state != orders.RUNNING and (permit is None or permit.accepted):
            return None
        if permit is None or self.now() >= self.permitted_until:
            return on_trial("no permit from a coordinator")
        if self.monitor.sent >= permit.requests:
            return on_trial("all permitted requests were sent")
        return None


def on_trial(why: str) -> codes.Failure:
    """Return the refusal of a request that only the old version may get now."""
    return codes.Failure(codes.ON_TRIAL, why, retry_after=RETRY_AFTER)


def decode_permit(data: bytes) -> Permit | None:
    """Decode a permit; None if it is unreadable."""
    return untrusted_json.decode_or_none(data, Permit)
