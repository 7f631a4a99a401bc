"""Placement policies: how much a task reserves and which worker runs it."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import NamedTuple, Protocol

from primrosepitch.ids import DcId, InstanceId
from primrosepitch.planning.events import Size
from primrosepitch.planning.state import Task

__all__ = ["PEAK_HEADROOM_FACTOR", "POLICIES", "Policy", "Worker", "policy"]

PEAK_HEADROOM_FACTOR = 1.2
"""Factor on the observed peak usage of a task, since the peaks of tasks grow.

Declared sizes are far from the actual usage.
"""


class Worker(NamedTuple):
    """A worker that has room for a task.

    :param spare: whether it is in a spare pool
    :param room: free resources
    :param team_tasks: tasks of the same team in its rack
    :param rack_tasks: tasks in its rack
    """

    instance: InstanceId
    dc: DcId
    rack: str
    spare: bool
    room: Size
    team_tasks: int
    rack_tasks: int


class Policy(Protocol):
    """Interface of a placement policy."""

    def size(self, task: Task) -> Size:
        """Return the resources to reserve for a task."""

    def choose(self, workers: Sequence[Worker]) -> Worker:
        """Return one of the given workers, all of which have room; never empty."""


POLICIES: dict[str, Policy] = {}
"""Registered policies by name."""


def policy(name: str) -> Callable[[type[Policy]], type[Policy]]:
    """Register a policy class under a name."""

    def register(kind: type[Policy]) -> type[Policy]:
        POLICIES[name] = kind()
        return kind

    return register


@policy("declared")
class DeclaredFirstFit:
    """Baseline policy: declared sizes, first worker with room."""

    def size(self, task: Task) -> Size:
        """Return the declared size."""
        return task.spec.size

    def choose(self, workers: Sequence[Worker]) -> Worker:
        """Return the first worker."""
        return workers[0]


@policy("observed")
class ObservedSpread:
    """Policy that reserves observed sizes, prefers spares and spreads over racks."""

    def size(self, task: Task) -> Size:
        """Return the observed peak with headroom, or else the declared size."""
        if not task.peaks:
            return task.spec.size
        peak = Size()
        for _, usage in task.peaks:
            peak = peak.componentwise_max(usage)
        return peak.scale(PEAK_HEADROOM_FACTOR)

    def choose(self, workers: Sequence[Worker]) -> Worker:
        """Return the best worker: spare, few tasks of the team and in all in its rack.

        Among equals, the one with the most free cores wins.
        """
        return min(
            workers,
            key=lambda w: (
                not w.spare,
                w.team_tasks,
                w.rack_tasks,
                -w.room.cores,
                w.instance,
            ),
        )
