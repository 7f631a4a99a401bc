"""Upper limits of workspaces over all pools."""

from __future__ import annotations

from primrosepitch.jobs.model import Resources, WorkspaceName
from primrosepitch.scheduling.state import SchedulerState

__all__ = ["count_within_limit", "within_limit"]


def within_limit(
    state: SchedulerState, workspace: WorkspaceName, extra: Resources
) -> bool:
    """Return whether a workspace stays within its upper limit if ``extra`` is added.

    Runs count from their placement, even before it is durable, until they have stopped.
    """
    spec = state.cfg.workspaces.get(workspace)
    if spec is None:
        return True
    total = state.usage.get(workspace, Resources()).add(extra)
    return all(
        limit <= 0 or amount <= limit
        for limit, amount in zip(spec.limit, total, strict=True)
    )


def count_within_limit(
    state: SchedulerState, workspace: WorkspaceName, each: Resources, most: int
) -> int:
    """Return how many of ``most`` tasks that use ``each`` the upper limit admits."""
    spec = state.cfg.workspaces.get(workspace)
    if spec is None:
        return most
    used = state.usage.get(workspace, Resources())
    counts = [
        max(0, limit - amount) // need
        for limit, amount, need in zip(spec.limit, used, each, strict=True)
        if limit > 0 and need > 0
    ]
    return min([most, *counts])
