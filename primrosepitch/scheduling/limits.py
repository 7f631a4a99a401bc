"""Upper limits of workspaces over all pools."""

from __future__ import annotations

from primrosepitch.jobs.model import Resources, WorkspaceName
from primrosepitch.scheduling.state import SchedulerState

__all__ = ["within_limit"]


def within_limit(
    state: SchedulerState, workspace: WorkspaceName, asks: Resources
) -> bool:
    """Return whether a workspace may have that much more running.

    What waits for its placement to be durable, and what is being stopped, counts.
    """
    spec = state.cfg.workspaces.get(workspace)
    if spec is None:
        return True
    total = state.usage.get(workspace, Resources()).plus(asks)
    return all(
        limit <= 0 or amount <= limit
        for limit, amount in zip(spec.limit, total, strict=True)
    )
