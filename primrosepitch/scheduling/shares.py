"""Which jobs lie beyond their workspace's share.

The pattern it answers: one workspace sends many times its usual. What it sends beyond
its weight, in jobs a second, runs only when nothing else waits for the room.
"""

from __future__ import annotations

from primrosepitch.jobs.model import JobSpec, WorkspaceName
from primrosepitch.scheduling.state import SchedulerState

__all__ = ["exceeds_share"]

BURST_S = 2.0
"""Time over which a workspace may gather its share before jobs count as beyond it."""


def exceeds_share(state: SchedulerState, spec: JobSpec) -> bool:
    """Return whether a job exceeds its workspace's share; counts it otherwise.

    Jobs are asked about once each, in the order of their acceptance.
    """
    workspace = state.cfg.workspaces.get(spec.workspace)
    if workspace is None or workspace.weight <= 0 or spec.lasting:
        return False
    most = max(1.0, workspace.weight * BURST_S)
    tokens, at_ms = state.share_tokens.get(spec.workspace, (most, spec.accepted_ms))
    passed_s = max(0, spec.accepted_ms - at_ms) / 1000
    tokens = min(most, tokens + passed_s * workspace.weight)
    beyond = tokens < 1.0
    state.share_tokens[WorkspaceName(spec.workspace)] = (
        tokens if beyond else tokens - 1.0,
        max(at_ms, spec.accepted_ms),
    )
    return beyond
