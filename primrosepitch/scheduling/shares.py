"""Limits workspaces to their shares of jobs a second, by token buckets.

When one workspace submits many times its usual load, the jobs beyond its weight, in
jobs a second, run only when no other jobs wait for the capacity.
"""

from __future__ import annotations

from primrosepitch.jobs.model import JobSpec, WorkspaceName
from primrosepitch.scheduling.state import SchedulerState

__all__ = ["exceeds_share"]

BURST_S = 2.0
"""Depth of the token bucket, as the time in which the share's rate fills it."""


def exceeds_share(state: SchedulerState, spec: JobSpec) -> bool:
    """Return whether a job exceeds its workspace's share; if not, consume a token.

    Must be called once for each job, in the order of acceptance.
    """
    workspace = state.cfg.workspaces.get(spec.workspace)
    if workspace is None or workspace.weight <= 0 or spec.lasting:
        return False
    depth = max(1.0, workspace.weight * BURST_S)
    tokens, at_ms = state.share_tokens.get(spec.workspace, (depth, spec.accepted_ms))
    elapsed_s = max(0, spec.accepted_ms - at_ms) / 1000
    tokens = min(depth, tokens + elapsed_s * workspace.weight)
    exceeds = tokens < 1.0
    state.share_tokens[WorkspaceName(spec.workspace)] = (
        tokens if exceeds else tokens - 1.0,
        max(at_ms, spec.accepted_ms),
    )
    return exceeds
