"""When a snapshot of the folded state is appended, and by whom."""

from __future__ import annotations

from primrosepitch.fleet import records as rec
from primrosepitch.fleet.fold import Outcome
from primrosepitch.planning import lease
from primrosepitch.planning.effects import Effect, TakeSnapshot
from primrosepitch.planning.state import PlannerState

__all__ = ["due", "on_record", "turn"]

SNAPSHOT_RECORDS = 500
"""Records after which a fresh process would read for too long."""

ASK_AGAIN_S = 30.0
"""Time after which a snapshot that was not read back is made again."""


def on_record(state: PlannerState, outcome: Outcome) -> None:
    """Note the last part of a snapshot."""
    record = outcome.record
    if isinstance(record, rec.Snapshot) and record.part == record.parts - 1:
        state.snapshot_offset = outcome.offset
        state.snapshot_asked = float("-inf")


def due(state: PlannerState) -> bool:
    """Whether the newest snapshot is old or close to the low end of the log."""
    distance = state.snapshot_offset - state.log_low
    retained = state.log_high - state.log_low
    records = state.fleet.offset - state.snapshot_offset
    near = state.log_low > 0 and distance < retained / 2 and records > 1
    return records >= SNAPSHOT_RECORDS or near


def turn(state: PlannerState, now: float) -> list[Effect]:
    """Ask for a snapshot if this planner is the one to make it."""
    if not lease.leader(state, now) or not due(state):
        return []
    if now - state.snapshot_asked < ASK_AGAIN_S:
        return []
    state.snapshot_asked = now
    return [TakeSnapshot()]
