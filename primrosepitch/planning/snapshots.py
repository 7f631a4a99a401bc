"""Schedule of the snapshots of the folded state, which the leader appends."""

from __future__ import annotations

from primrosepitch.fleet import records as rec
from primrosepitch.fleet.fold import Outcome
from primrosepitch.planning import lease
from primrosepitch.planning.effects import Effect, TakeSnapshot
from primrosepitch.planning.state import PlannerState

__all__ = ["on_record", "on_tick", "snapshot_due"]

RECORDS_PER_SNAPSHOT = 500
"""Records between snapshots; with more, a new process takes too long to start."""

SNAPSHOT_RETRY_INTERVAL_S = 30.0
"""Interval at which a snapshot that was not read back is requested again."""


def on_record(state: PlannerState, outcome: Outcome) -> None:
    """Store the offset of a snapshot when its last part is read."""
    record = outcome.record
    if isinstance(record, rec.Snapshot) and record.part == record.parts - 1:
        state.snapshot_offset = outcome.offset
        state.snapshot_requested_at = float("-inf")


def snapshot_due(state: PlannerState) -> bool:
    """Return whether the newest snapshot is old or close to the log's lowest offset."""
    distance = state.snapshot_offset - state.log_low
    retained = state.log_high - state.log_low
    records = state.fleet.offset - state.snapshot_offset
    near = state.log_low > 0 and distance < retained / 2 and records > 1
    return records >= RECORDS_PER_SNAPSHOT or near


def on_tick(state: PlannerState, now: float) -> list[Effect]:
    """Request a snapshot if one is due and this planner is the leader."""
    if not lease.is_leader(state, now) or not snapshot_due(state):
        return []
    if now - state.snapshot_requested_at < SNAPSHOT_RETRY_INTERVAL_S:
        return []
    state.snapshot_requested_at = now
    return [TakeSnapshot()]
