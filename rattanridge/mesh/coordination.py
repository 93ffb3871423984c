"""Starts the coordinator of rollouts once there is an order.

Most nodes never coordinate a rollout, so its modules are not part of a node's start.
"""

import functools
import typing

from rattanridge.mesh import versions as versioning

if typing.TYPE_CHECKING:
    from rattanridge.mesh import coordinator as coordinators


class CoordinatorRunner:
    """Runs the coordinator from the first known order of a rollout on.

    :param versions: the known orders.
    :param arguments: arguments of ``coordinator.Coordinator``.
    """

    def __init__(self, versions: versioning.Versions, **arguments: typing.Any):
        self.versions = versions
        self.arguments = arguments

    @functools.cached_property
    def coordinator(self) -> "coordinators.Coordinator":
        """The coordinator; its modules are imported on first use."""
        from rattanridge.mesh import coordinator as coordinators

        return coordinators.Coordinator(versions=self.versions, **self.arguments)

    async def run(self) -> None:
        """Coordinate rollouts until cancelled."""
        await self.versions.any_order.wait()
        await self.coordinator.run()
