"""Upper limits of workspaces over all pools."""

from __future__ import annotations

from primrosepitch.jobs.model import Resources, WorkspaceName
from primrosepitch.scheduling.state import ReadyStep, SchedulerState

__all__ = ["LimitedDemand", "count_startable", "within_limit"]


def within_limit(
    state: SchedulerState, workspace: WorkspaceName, extra: Resources
) -> bool:
    """Return whether a workspace stays within its upper limit if ``extra`` is added.

    Runs count from their placement, even before it is durable, until they have stopped.
    """
    total = state.usage.get(workspace, Resources()).add(extra)
    return all(
        limit <= 0 or amount <= limit
        for limit, amount in zip(state.limit_of(workspace), total, strict=True)
    )


class LimitedDemand:
    """Waiting tasks that the upper limits of their workspaces admit.

    Steps of a workspace share what is left of its limit: those that are counted first
    leave less to the others.
    """

    def __init__(self, state: SchedulerState) -> None:
        """Begin with what the workspaces use; no waiting task is counted yet."""
        self._state = state
        self._counted: dict[WorkspaceName, Resources] = {}

    def admitted(self, ready: ReadyStep, waiting: int) -> int:
        """Return how many tasks of a step the limit admits beside those counted.

        :param waiting: number of its tasks that wait for capacity alone
        :returns: ``waiting`` at most; 0 for a gang that the limit does not admit whole
        """
        workspace = ready.job.spec.workspace
        limits = self._state.limit_of(workspace)
        counted = self._counted.get(workspace, Resources())
        used = self._state.usage.get(workspace, Resources()).add(counted)
        each = ready.step.spec.quota_request
        if any(0 < limit < amount for limit, amount in zip(limits, used, strict=True)):
            return 0
        counts = [
            (limit - amount) // need
            for limit, amount, need in zip(limits, used, each, strict=True)
            if limit > 0 and need > 0
        ]
        most = min([waiting, *counts])
        return 0 if ready.step.spec.gang and most < waiting else most

    def count(self, ready: ReadyStep, tasks: int) -> None:
        """Count tasks of a step against the limit of its workspace."""
        workspace = ready.job.spec.workspace
        counted = self._counted.get(workspace, Resources())
        each = ready.step.spec.quota_request
        total = Resources(*(amount * tasks for amount in each))
        self._counted[workspace] = counted.add(total)


def count_startable(
    state: SchedulerState, steps: list[ReadyStep]
) -> list[tuple[ReadyStep, int]]:
    """Return how many tasks of each step its workspace's upper limit admits.

    :param steps: waiting steps in the order of their ranks
    :returns: the steps of which it admits any
    """
    demand = LimitedDemand(state)
    found = []
    for ready in steps:
        admitted = demand.admitted(ready, ready.task_count)
        demand.count(ready, admitted)
        if admitted:
            found.append((ready, admitted))
    return found
