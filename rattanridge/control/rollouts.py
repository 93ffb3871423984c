"""Rollouts as the platform keeps them, and the changes that are allowed.

``turn`` grows with each change of the stage, by exactly one writer, for every
write is conditional on the object's version. ``held`` counts the seconds that
coordinators measured on their monotonic clocks while they held the lease, so
neither a new coordinator nor a stepped wall clock can skip a hold.
"""

import collections.abc

import msgspec

from rattanridge.control import messages
from rattanridge.kernel import codes
from rattanridge.objectapi import client, objects
from rattanridge.policies import schedules

PREFIX = "rollouts/"
RUNNING = "running"
DONE = "done"
TAKEN_BACK = "taken-back"
TRIAL_SHARE = 0.5  # share while a suspicion during the bake is tried


class Rollout(msgspec.Struct, kw_only=True):
    """Content of ``rollouts/<service>``: the service's newest rollout.

    :param number: the rollout's id; a later one has a higher one.
    :param turn: number of changes of the stage.
    :param old: version that traffic leaves.
    :param new: version that traffic goes to.
    :param state: ``running``, ``done`` or ``taken-back``.
    :param step: index of the plan's step in force.
    :param trial: whether part of the calls returned to the old version to
        compare both during the bake.
    :param plan: the steps, as the schedule made them at the start.
    :param boosts: shares of rare routes in the step in force.
    :param held: seconds for which the step in force was held.
    :param left: seconds to the deadline, as the last writer saw them.
    :param deadline: seconds since the epoch.
    :param bake: seconds after 100% until the rollout is done.
    :param least_hold: seconds below which no step is held.
    :param epoch: epoch of the coordinator's lease at the last write.
    :param late: whether the deadline can no longer be met.
    :param reason: why it was taken back.
    :param operator: who started it.
    """

    service: str
    number: int
    old: str
    new: str
    plan: list[schedules.Step]
    deadline: float
    left: float
    bake: float
    least_hold: float
    turn: int = 0
    state: str = RUNNING
    step: int = 0
    trial: bool = False
    boosts: list[schedules.RouteShare] = []
    held: float = 0.0
    epoch: int = 0
    late: bool = False
    reason: str = ""
    operator: str = ""
    schedule: str = "staged"
    started: float = 0.0
    ended: float = 0.0

    @property
    def running(self) -> bool:
        return self.state == RUNNING

    @property
    def baking(self) -> bool:
        return self.running and self.step == len(self.plan) - 1

    def shares(self) -> tuple[float, float]:
        """Return the shares of idempotent and of other calls."""
        if self.state == TAKEN_BACK:
            return (0.0, 0.0)
        if self.state == DONE:
            return (1.0, 1.0)
        if self.trial:
            return (TRIAL_SHARE, TRIAL_SHARE)
        step = self.plan[self.step]
        return (step.share, step.once_share)

    def window(self, endpoints: int = 1) -> schedules.Window:
        seconds = self.deadline - self.started
        return schedules.Window(seconds, self.bake, self.least_hold, endpoints)


def key_of(service: str) -> str:
    """Return the key of a service's rollout."""
    return f"{PREFIX}{service}"


def read(stored: objects.Stored) -> Rollout:
    """Decode a stored rollout; a broken one is a coded failure."""
    rollout = client.value_of(stored, Rollout)
    if not rollout.plan or not 0 <= rollout.step < len(rollout.plan):
        raise codes.Failure(codes.BAD_FIELD, "plan", where=stored.key)
    return rollout


def stage_of(rollout: Rollout) -> messages.Stage:
    """Return the stage that nodes follow."""
    share, once_share = rollout.shares()
    spread = 0
    if rollout.running and not rollout.trial:
        spread = rollout.plan[rollout.step].spread
    return messages.Stage(
        rollout.service,
        rollout.number,
        rollout.turn,
        rollout.old,
        rollout.new,
        share,
        once_share,
        spread,
        rollout.state,
        rollout.reason,
        tuple(rollout.boosts) if rollout.running and not rollout.trial else (),
    )


def advance(
    rollout: Rollout, routes: collections.abc.Sequence[schedules.Route] = ()
) -> Rollout:
    """Return the rollout after its step: the next step, or done.

    :param routes: calls seen in the step that ends, to find rare routes.
    """
    if rollout.baking:
        return change(rollout, state=DONE)
    step = rollout.step + 1
    schedule = schedules.SCHEDULES.get(rollout.schedule)()
    boosts = schedule.boosts(rollout.plan[step], routes)
    return change(rollout, step=step, boosts=boosts, held=0.0)


def take_back(rollout: Rollout, reason: str) -> Rollout:
    """Return a rollout that was taken back, with the reason."""
    return change(rollout, state=TAKEN_BACK, trial=False, reason=reason)


def begin_trial(rollout: Rollout) -> Rollout:
    """Return a rollout whose old version is tried again."""
    return change(rollout, trial=True)


def end_trial(rollout: Rollout) -> Rollout:
    """Return a rollout whose trial of the old version is over."""
    return change(rollout, trial=False)


def change(rollout: Rollout, **fields: object) -> Rollout:
    """Return a rollout with other fields, one turn further."""
    return msgspec.structs.replace(rollout, turn=rollout.turn + 1, **fields)


def recall(stage: messages.Stage, reason: str) -> messages.Stage:
    """Return the stage that takes a version back, also without the platform."""
    return msgspec.structs.replace(
        stage,
        share=0.0,
        once_share=0.0,
        spread=0,
        boosts=(),
        state=TAKEN_BACK,
        reason=reason,
    )


def cut(stage: messages.Stage) -> messages.Stage:
    """Return the stage that returns part of the calls to the old version."""
    return msgspec.structs.replace(
        stage,
        share=min(stage.share, TRIAL_SHARE),
        once_share=min(stage.once_share, TRIAL_SHARE),
        boosts=(),
        cut=True,
    )
