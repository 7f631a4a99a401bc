"""When a snapshot of the folded state is appended, and by whom."""

from __future__ import annotations

from primrosepitch.fleet import records as rec
from primrosepitch.fleet.fold import Outcome
from primrosepitch.planning import lease
from primrosepitch.planning.effects import Effect, TakeSnapshot
from primrosepitch.planning.state import PlannerState

__all__ = ["on_record", "on_tick", "snapshot_due"]

RECORDS_PER_SNAPSHOT = 500
"""Records after which a fresh process would read for too long."""

SNAPSHOT_RETRY_S = 30.0
"""Time after which a snapshot that was not read back is made again."""


def on_record(state: PlannerState, outcome: Outcome) -> None:
    """Note the last part of a snapshot."""
    record = outcome.record
    if isinstance(record, rec.Snapshot) and record.part == record.parts - 1:
        state.snapshot_offset = outcome.offset
        state.snapshot_requested_at = float("-inf")


def snapshot_due(state: PlannerState) -> bool:
    """Whether the newest snapshot is old or close to the low end of the log."""
    distance = state.snapshot_offset - state.log_low
    retained = state.log_high - state.log_low
    records = state.fleet.offset - state.snapshot_offset
    near = state.log_low > 0 and distance < retained / 2 and records > 1
    return records >= RECORDS_PER_SNAPSHOT or near


def on_tick(state: PlannerState, now: float) -> list[Effect]:
    """Ask for a snapshot if this planner is the one to make it."""
    if not lease.is_leader(state, now) or not snapshot_due(state):
        return []
    if now - state.snapshot_requested_at < SNAPSHOT_RETRY_S:
        return []
    state.snapshot_requested_at = now
    return [TakeSnapshot()]
