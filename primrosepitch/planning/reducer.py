"""Reducer of a planner: events in, effects out, nothing else."""

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
from primrosepitch.planning.state import ListView, PlannerState, ProbeView, log, subject

__all__ = ["step"]

E = TypeVar("E", bound=events.Event)
Handler = Callable[[PlannerState, E], list[Effect]]
_HANDLERS: dict[type, Callable[[PlannerState, Any], list[Effect]]] = {}


def on(kind: type[E]) -> Callable[[Handler[E]], Handler[E]]:
    """Register the handler of an event kind."""

    def register(handler: Handler[E]) -> Handler[E]:
        _HANDLERS[kind] = handler
        return handler

    return register


def step(state: PlannerState, event: events.Event) -> list[Effect]:
    """Handle one event.

    :param state: state of the planner, changed in place
    :param event: what has happened
    :returns: effects in the order in which they are to be carried out
    """
    if state.finished:
        # The program follows the log until its own closing record is read back. A
        # record that is not folded would be read again and again until then.
        if isinstance(event, events.RecordRead | events.StateLoaded):
            _HANDLERS[type(event)](state, event)
        return []
    return _HANDLERS[type(event)](state, event)


@on(events.Tick)
def _tick(state: PlannerState, event: events.Tick) -> list[Effect]:
    """Take one turn; losses of instances come before any stop of the same turn."""
    now = event.now
    state.wall = event.wall
    state.wall_read = now
    if state.stopping:
        state.finished = True
        # Tasks that still run keep the units of the session until they have ended.
        return [Finished(close=not placement.busy(state))]
    drains.observe(state, now)
    effects = lease.turn(state, now)
    effects += sessions.turn(state, now)
    effects += availability.turn(state, now)
    if placement.seen(state, now):
        effects += drains.turn(state, now, placement.busy(state))
    effects += waves.turn(state, now)
    effects += moves.turn(state, now)
    effects += placement.turn(state, now)
    effects += snapshots.turn(state, now)
    effects += availability.look(state, now)
    return effects


@on(events.Resumed)
def _resumed(state: PlannerState, event: events.Resumed) -> list[Effect]:
    """Nothing to do: every deadline is compared with the clock where it is used."""
    return []


@on(events.RecordRead)
def _record(state: PlannerState, event: events.RecordRead) -> list[Effect]:
    record = event.record
    prior = waves.prior_state(state.fleet, record)
    outcome = fold(state.fleet, event.offset, record)
    if outcome.void is Void.OLDER:
        return []
    effects: list[Effect] = []
    if record.by == state.session:
        state.pending.pop(subject(record), None)
        if isinstance(record, rec.SliceGive):
            state.giving = {}
        if outcome.void not in (None, Void.REPEATED):
            effects.append(_void_line(record, outcome.void, outcome.detail))
    effects += lease.on_record(state, event.now, outcome)
    if isinstance(record, rec.InstanceDown) and outcome.void is None:
        state.downs[record.instance] = state.wall_at(event.now)
    waves.on_record(state, event.now, outcome, prior)
    snapshots.on_record(state, outcome)
    sessions.observe(state, event.now)
    return effects


def _void_line(record: rec.Record, void: Void | None, detail: str) -> Effect:
    reason = void.value if void else ""
    kind = type(record).__name__
    return log(RECORD_VOID.number, record=kind, reason=reason, detail=detail)


@on(events.StateLoaded)
def _state_loaded(state: PlannerState, event: events.StateLoaded) -> list[Effect]:
    loaded = msgspec.msgpack.decode(event.data, type=FleetState)
    held = (state.fleet.generation, state.fleet.offset)
    if (loaded.generation, loaded.offset) <= held:
        return []
    state.fleet = loaded
    state.pending.clear()
    state.sent = None
    state.snapshot_offset = loaded.offset
    lease.on_state_loaded(state, event.now)
    sessions.observe(state, event.now)
    return []


@on(events.LogContact)
def _log_contact(state: PlannerState, event: events.LogContact) -> list[Effect]:
    state.log_up = event.up
    return []


@on(events.LogRange)
def _log_range(state: PlannerState, event: events.LogRange) -> list[Effect]:
    state.log_low = event.low
    state.log_high = event.high
    return []


@on(events.InstancesListed)
def _listed(state: PlannerState, event: events.InstancesListed) -> list[Effect]:
    """Take a list unless it is older than the one in use."""
    if event.as_of < state.listing.as_of:
        return []
    rows = {row.instance: row for row in event.instances}
    since: dict[Any, float] = {}
    for name, row in rows.items():
        known = state.listing.rows.get(name)
        same = known is not None and known.incarnation == row.incarnation
        since[name] = state.listing.since[name] if same else event.now
    state.listing = ListView(
        asked=event.asked, as_of=event.as_of, rows=rows, since=since
    )
    state.seen_instances |= rows.keys()
    return []


@on(events.ProbeAnswered)
def _probe(state: PlannerState, event: events.ProbeAnswered) -> list[Effect]:
    view = state.probes.setdefault(event.target, ProbeView())
    view.waiting = False
    if event.ok:
        view.ok_at = max(view.ok_at, event.asked)
        view.failures = 0
        return []
    if not view.failures:
        view.failing_since = event.asked
    view.failures += 1
    # What has been silent for long is probed seldom, unless its return is awaited.
    awaited = event.target in state.restarts
    if awaited or view.failures < availability.SILENT_PROBES:
        view.due = min(view.due, event.now + availability.PROBE_AGAIN_S)
    return []


@on(events.RestartAnswered)
def _restart(state: PlannerState, event: events.RestartAnswered) -> list[Effect]:
    restart = state.restarts.get(event.instance)
    if restart is not None and event.ok:
        restart.accepted_wall = state.wall_at(event.now)
    return []


@on(events.TasksSubmitted)
def _submitted(state: PlannerState, event: events.TasksSubmitted) -> list[Effect]:
    tasks.submit(state, event.now, event.tasks)
    return []


@on(events.TasksCancelled)
def _cancelled(state: PlannerState, event: events.TasksCancelled) -> list[Effect]:
    tasks.cancel(state, event.now, event.tasks)
    return []


@on(events.TasksListed)
def _tasks_listed(state: PlannerState, event: events.TasksListed) -> list[Effect]:
    return tasks.listed(state, event.now, event.asked, event.tasks)


@on(events.TaskAnswered)
def _task_answered(state: PlannerState, event: events.TaskAnswered) -> list[Effect]:
    return tasks.answered(state, event.now, event.task, event.action, event.ok)


@on(events.StopAsked)
def _stop(state: PlannerState, event: events.StopAsked) -> list[Effect]:
    state.stopping = True
    return []
