"""Placement policies: which size a task has and which worker takes it."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import NamedTuple, Protocol

from primrosepitch.ids import DcId, InstanceId
from primrosepitch.planning.events import Size
from primrosepitch.planning.state import Task

__all__ = ["HEADROOM", "POLICIES", "Policy", "Worker", "policy"]

HEADROOM = 1.2
"""Factor on the observed peak; declared sizes are far off, peaks of tasks grow."""


class Worker(NamedTuple):
    """A worker that may take a task.

    :param spare: whether it is in a spare pool
    :param room: resources that are not in use
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
    """Decides sizes and workers."""

    def size(self, task: Task) -> Size:
        """Return the resources to keep for a task."""

    def choose(self, workers: Sequence[Worker]) -> Worker:
        """Return one of the workers with room, of which there is at least one."""


POLICIES: dict[str, Policy] = {}
"""Policies by name."""


def policy(name: str) -> Callable[[type[Policy]], type[Policy]]:
    """Register a policy."""

    def register(kind: type[Policy]) -> type[Policy]:
        POLICIES[name] = kind()
        return kind

    return register


@policy("declared")
class DeclaredFirstFit:
    """Baseline: declared sizes, first worker with room."""

    def size(self, task: Task) -> Size:
        """Return the declared size."""
        return task.spec.size

    def choose(self, workers: Sequence[Worker]) -> Worker:
        """Return the first worker."""
        return workers[0]


@policy("observed")
class ObservedSpread:
    """Observed sizes; spare instances first, then spread over racks."""

    def size(self, task: Task) -> Size:
        """Return the observed peak with headroom, or the declared size before."""
        if not task.peaks:
            return task.spec.size
        peak = Size()
        for _, usage in task.peaks:
            peak = peak.componentwise_max(usage)
        return peak.times(HEADROOM)

    def choose(self, workers: Sequence[Worker]) -> Worker:
        """Return the worker whose rack has least of the team, with the most room."""
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
