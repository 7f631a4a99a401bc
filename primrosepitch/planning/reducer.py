"""Reducer of the planner: handles events and returns effects, without any I/O."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

import msgspec

from primrosepitch.events import RECORD_VOID
from primrosepitch.fleet import records as rec
from primrosepitch.fleet.fold import Void, fold
from primrosepitch.fleet.state import FleetState
from primrosepitch.planning import (
    availability,
    drains,
    events,
    lease,
    moves,
    placement,
    sessions,
    snapshots,
    tasks,
    waves,
)
from primrosepitch.planning.effects import Effect, Finished
from primrosepitch.planning.state import (
    InstanceListing,
    PlannerState,
    ProbeStatus,
    log_line,
    record_subject,
)

__all__ = ["step"]

E = TypeVar("E", bound=events.Event)
Handler = Callable[[PlannerState, E], list[Effect]]
_HANDLERS: dict[type, Callable[[PlannerState, Any], list[Effect]]] = {}


def handles(kind: type[E]) -> Callable[[Handler[E]], Handler[E]]:
    """Register the handler of an event type."""

    def register(handler: Handler[E]) -> Handler[E]:
        _HANDLERS[kind] = handler
        return handler

    return register


def step(state: PlannerState, event: events.Event) -> list[Effect]:
    """Handle one event.

    :param state: state of the planner, changed in place
    :param event: event to handle
    :returns: effects, to be carried out in this order
    """
    if state.finished:
        # The process reads the log until its own SessionClosed record is read back.
        # Records must still be folded, or they would be read again and again.
        if isinstance(event, events.RecordRead | events.StateLoaded):
            _HANDLERS[type(event)](state, event)
        return []
    return _HANDLERS[type(event)](state, event)


@handles(events.Tick)
def _tick(state: PlannerState, event: events.Tick) -> list[Effect]:
    """Run the periodic work; losses are recorded before any stop of the same tick."""
    now = event.now
    state.wall = event.wall
    state.wall_read_at = now
    if state.stopping:
        state.finished = True
        # The session keeps its units while any of its tasks runs.
        return [Finished(close=not placement.occupied_instances(state))]
    drains.track_phases(state, now)
    effects = lease.on_tick(state, now)
    effects += sessions.on_tick(state, now)
    effects += availability.on_tick(state, now)
    if placement.task_report_fresh(state, now):
        effects += drains.on_tick(state, now, placement.occupied_instances(state))
    effects += waves.on_tick(state, now)
    effects += moves.on_tick(state, now)
    effects += placement.on_tick(state, now)
    effects += snapshots.on_tick(state, now)
    effects += availability.request_observations(state, now)
    return effects


@handles(events.Resumed)
def _resumed(state: PlannerState, event: events.Resumed) -> list[Effect]:
    """Do nothing, since each deadline is compared with the clock at its use."""
    return []


@handles(events.RecordRead)
def _record_read(state: PlannerState, event: events.RecordRead) -> list[Effect]:
    record = event.record
    prior = waves.prior_state(state.fleet, record)
    outcome = fold(state.fleet, event.offset, record)
    if outcome.void is Void.OLDER:
        return []
    effects: list[Effect] = []
    if record.by == state.session:
        state.pending.pop(record_subject(record), None)
        if isinstance(record, rec.SliceGive):
            state.returning_units = {}
        if outcome.void not in (None, Void.REPEATED):
            effects.append(_void_line(record, outcome.void, outcome.detail))
    effects += lease.on_record(state, event.now, outcome)
    if isinstance(record, rec.InstanceDown) and outcome.void is None:
        state.down_wall[record.instance] = state.wall_at(event.now)
    waves.on_record(state, event.now, outcome, prior)
    snapshots.on_record(state, outcome)
    sessions.track_sessions(state, event.now)
    return effects


def _void_line(record: rec.Record, void: Void | None, detail: str) -> Effect:
    reason = void.value if void else ""
    kind = type(record).__name__
    return log_line(RECORD_VOID.number, record=kind, reason=reason, detail=detail)


@handles(events.StateLoaded)
def _state_loaded(state: PlannerState, event: events.StateLoaded) -> list[Effect]:
    loaded = msgspec.msgpack.decode(event.data, type=FleetState)
    held = (state.fleet.generation, state.fleet.offset)
    if (loaded.generation, loaded.offset) <= held:
        return []
    state.fleet = loaded
    state.pending.clear()
    state.lease_pending_since = None
    state.snapshot_offset = loaded.offset
    lease.on_state_loaded(state, event.now)
    sessions.track_sessions(state, event.now)
    return []


@handles(events.LogContact)
def _log_contact(state: PlannerState, event: events.LogContact) -> list[Effect]:
    state.log_up = event.up
    return []


@handles(events.LogRange)
def _log_range(state: PlannerState, event: events.LogRange) -> list[Effect]:
    state.log_low = event.low
    state.log_high = event.high
    return []


@handles(events.InstancesListed)
def _instances_listed(
    state: PlannerState, event: events.InstancesListed
) -> list[Effect]:
    """Store a list unless it is older than the one in use."""
    if event.as_of < state.listing.as_of:
        return []
    rows = {row.instance: row for row in event.instances}
    since: dict[Any, float] = {}
    for name, row in rows.items():
        known = state.listing.rows.get(name)
        same = known is not None and known.incarnation == row.incarnation
        since[name] = state.listing.first_listed_at[name] if same else event.now
    state.listing = InstanceListing(
        requested_at=event.asked, as_of=event.as_of, rows=rows, first_listed_at=since
    )
    state.ever_listed |= rows.keys()
    return []


@handles(events.ProbeAnswered)
def _probe_answered(state: PlannerState, event: events.ProbeAnswered) -> list[Effect]:
    status = state.probes.setdefault(event.target, ProbeStatus())
    status.in_flight = False
    if event.ok:
        status.ok_at = max(status.ok_at, event.asked)
        status.failures = 0
        return []
    if not status.failures:
        status.failing_since = event.asked
    status.failures += 1
    # A target that stays silent is probed at the long interval unless it restarts.
    awaited = event.target in state.restarts
    if awaited or status.failures < availability.FAILED_PROBES_UNTIL_SILENT:
        status.next_due = min(
            status.next_due, event.now + availability.PROBE_RETRY_INTERVAL_S
        )
    return []


@handles(events.RestartAnswered)
def _restart_answered(
    state: PlannerState, event: events.RestartAnswered
) -> list[Effect]:
    restart = state.restarts.get(event.instance)
    if restart is not None and event.ok:
        restart.accepted_wall = state.wall_at(event.now)
    return []


@handles(events.TasksSubmitted)
def _tasks_submitted(state: PlannerState, event: events.TasksSubmitted) -> list[Effect]:
    tasks.submit(state, event.now, event.tasks)
    return []


@handles(events.TasksCancelled)
def _tasks_cancelled(state: PlannerState, event: events.TasksCancelled) -> list[Effect]:
    tasks.cancel(state, event.now, event.tasks)
    return []


@handles(events.TasksListed)
def _tasks_listed(state: PlannerState, event: events.TasksListed) -> list[Effect]:
    return tasks.on_task_report(state, event.now, event.asked, event.tasks)


@handles(events.TaskAnswered)
def _task_answered(state: PlannerState, event: events.TaskAnswered) -> list[Effect]:
    return tasks.on_command_answer(state, event.now, event.task, event.action, event.ok)


@handles(events.StopAsked)
def _stop_asked(state: PlannerState, event: events.StopAsked) -> list[Effect]:
    state.stopping = True
    return []
