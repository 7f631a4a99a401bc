"""Reducer of an entry: applies one event to the state and returns effects.

It does no I/O; the shell supplies the events and carries out the effects.
"""

from __future__ import annotations

import heapq
import logging
from collections.abc import Callable
from typing import Any, TypeVar

import msgspec

from primrosepitch.errors import (
    DeadlinePassedError,
    LogUnavailableError,
    QueueFullError,
    StateNotLoadedError,
    StoppingError,
)
from primrosepitch.events import event as register_event
from primrosepitch.fleet.fold import fold
from primrosepitch.fleet.records import (
    KeyWithdrawn,
    PlannerLease,
    SessionRenewed,
    SliceGive,
    SliceTake,
)
from primrosepitch.fleet.state import FleetState
from primrosepitch.ids import CountKey, RecordId, SessionId
from primrosepitch.request import (
    answers,
    claiming,
    claims,
    connections,
    events,
    listing,
    queueing,
    retries,
    sending,
)
from primrosepitch.request.effects import Append, AskUnits, Effect, Finished, ReplyClaim
from primrosepitch.request.state import Call, CallStage, ConnStage, EntryState
from primrosepitch.teams.keys import admit

__all__ = ["on", "step"]

ENTRY_STOPPING = register_event(
    2401,
    "entry_stopping",
    logging.INFO,
    "A graceful stop has begun; the entry accepts no new requests.",
)
SESSION_ENDED_BY_LOG = register_event(
    2402,
    "session_ended_by_log",
    logging.ERROR,
    "A record in the log ended the session; the entry starts no more requests.",
    "find out who fenced the session or why its renewals failed",
)

_FREQUENT_RECORDS = (SliceTake, SliceGive, SessionRenewed, PlannerLease)
"""Frequent record types; they change no pool and open or end no session."""

PLAN_INTERVAL_S = 0.01
"""Minimum time between two plans of holdings outside of ticks."""

E = TypeVar("E", bound=events.Event)
Handler = Callable[[EntryState, E], None]
_HANDLERS: dict[type, Callable[[EntryState, Any], None]] = {}


def on(kind: type[E]) -> Callable[[Handler[E]], Handler[E]]:
    """Register the handler of an event class."""

    def register(handler: Handler[E]) -> Handler[E]:
        _HANDLERS[kind] = handler
        return handler

    return register


def step(state: EntryState, event: events.Event) -> list[Effect]:
    """Apply one event.

    :param state: state of the entry, changed in place
    :returns: effects for the shell, in order
    """
    state.begin_step(event.now, getattr(event, "seed", 0))
    _HANDLERS[type(event)](state, event)
    sending.dispatch(state)
    _finish_stop(state)
    return state.effects


def _finish_stop(state: EntryState) -> None:
    """Emit ``Finished`` once a stopping entry has no calls or connections left."""
    if not state.stopping or state.finished or state.calls:
        return
    connections.close_idle(state)
    if not state.conns:
        state.finished = True
        state.emit(Finished())


# Callers


@on(events.RequestArrived)
def _request_arrived(state: EntryState, event: events.RequestArrived) -> None:
    if state.stopping:
        answers.refuse_unadmitted(state, event, StoppingError.code)
        return
    if not state.session_open:
        answers.refuse_unadmitted(state, event, StateNotLoadedError.code)
        return
    if not state.may_dispatch:
        answers.refuse_unadmitted(state, event, LogUnavailableError.code)
        return
    admission = admit(
        state.fleet,
        event.queue,
        event.key_id,
        event.key_valid,
        state.pending_withdrawn,
        state.now - state.last_log_contact,
    )
    if admission.team is None:
        answers.refuse_unadmitted(state, event, admission.code)
        return
    cfg = state.settings
    timeout_s = min(event.timeout_s or cfg.default_request_s, cfg.max_request_s)
    timeout_s -= event.unread_s
    if timeout_s <= 0:
        answers.refuse_unadmitted(state, event, DeadlinePassedError.code)
        return
    wait_s = queueing.expected_wait_s(state, event.queue, admission.team)
    if wait_s:
        wait_s += queueing.service_time_s(state, event.queue)
    if queueing.is_full(state, event.queue, admission.team) or wait_s > timeout_s:
        answers.refuse_unadmitted(state, event, QueueFullError.code)
        return
    retries.deposit(state)
    call = Call(
        call_id=event.call,
        queue=event.queue,
        team=admission.team,
        request_id=event.request_id,
        id_from_caller=event.caller_id,
        idempotent=event.idempotent,
        urgent=event.urgent,
        repeat=event.repeat,
        arrived_at=state.now,
        deadline=state.now + timeout_s,
    )
    state.calls[call.call_id] = call
    heapq.heappush(state.deadlines, (call.deadline, call.call_id))
    if call.needs_claim:
        claiming.start(state, call)
    else:
        queueing.enqueue(state, call)
    sending.dispatch(state)
    if call.stage is CallStage.QUEUED and state.now >= state.plan_due:
        _plan(state)


@on(events.CallerGone)
def _caller_gone(state: EntryState, event: events.CallerGone) -> None:
    call = state.calls.get(event.call)
    if call is not None and call.stage is not CallStage.SENDING:
        sending.refuse_unsent(state, call, DeadlinePassedError)


# Time


@on(events.Tick)
def _tick(state: EntryState, event: events.Tick) -> None:
    sending.expire_due(state)
    connections.release_held(state)
    connections.close_idle(state)
    listing.refresh(state)
    queueing.refresh_estimate(state)
    claims.maintain(state)
    claiming.poll(state)
    _plan(state)


@on(events.Resumed)
def _resumed(state: EntryState, event: events.Resumed) -> None:
    listing.on_resumed(state)
    sending.expire_due(state)
    connections.release_held(state)


def _plan(state: EntryState) -> None:
    """Take units from reserves, return idle ones and request units from peers."""
    if state.stopping and not state.queues:
        return
    state.plan_due = state.now + PLAN_INTERVAL_S
    plan = state.holdings.plan(state.now, state.fleet, queueing.wanted_units(state))
    by, unset_id = state.session, RecordId("")
    if plan.take:
        take = SliceTake(record_id=unset_id, by=by, units=_sorted(plan.take))
        state.emit(Append(record=take))
    if plan.give:
        give = SliceGive(record_id=unset_id, by=by, units=_sorted(plan.give))
        state.emit(Append(record=give))
    for peer, asked in plan.requests.items():
        state.emit(AskUnits(to=peer, units=_sorted(asked)))


def _sorted(units: dict[CountKey, int]) -> dict[CountKey, int]:
    """Sort units by count key, because a replay must yield the same effects."""
    return dict(sorted(units.items()))


# Connections


@on(events.ConnectionOpened)
def _connection_opened(state: EntryState, event: events.ConnectionOpened) -> None:
    conn = state.conns.get(event.conn)
    if conn is not None:
        sending.on_opened(state, conn)


@on(events.ConnectionFailed)
def _connection_failed(state: EntryState, event: events.ConnectionFailed) -> None:
    conn = state.conns.get(event.conn)
    if conn is not None:
        sending.on_failure(state, conn, events.Failure.NOT_SENT)


@on(events.ConnectionClosed)
def _connection_closed(state: EntryState, event: events.ConnectionClosed) -> None:
    conn = state.conns.get(event.conn)
    if conn is None:
        return
    if conn.stage is ConnStage.OPENING:
        sending.on_failure(state, conn, events.Failure.NOT_SENT)
    else:
        connections.on_closed(state, conn)


@on(events.SendSkipped)
def _send_skipped(state: EntryState, event: events.SendSkipped) -> None:
    conn = state.conns.get(event.conn)
    if conn is not None and conn.call_id == event.call:
        sending.on_skipped(state, conn)


@on(events.SendFailed)
def _send_failed(state: EntryState, event: events.SendFailed) -> None:
    conn = state.conns.get(event.conn)
    if conn is not None:
        sending.on_failure(state, conn, event.failure)


@on(events.AnswerReceived)
def _answer_received(state: EntryState, event: events.AnswerReceived) -> None:
    sending.on_answer(state, event)


# Log, platform and peers


@on(events.RecordRead)
def _record_read(state: EntryState, event: events.RecordRead) -> None:
    if isinstance(event.record, _FREQUENT_RECORDS):
        state.holdings.on_record(fold(state.fleet, event.offset, event.record))
        return
    entries_before = state.fleet.open_entries(state.dc)
    state.holdings.on_record(fold(state.fleet, event.offset, event.record))
    if isinstance(event.record, KeyWithdrawn):
        state.pending_withdrawn.pop(event.record.key_id, None)
    _fleet_changed(state, entries_before)


@on(events.StateLoaded)
def _state_loaded(state: EntryState, event: events.StateLoaded) -> None:
    loaded = msgspec.msgpack.decode(event.data, type=FleetState)
    current = (state.fleet.generation, state.fleet.offset)
    if (loaded.generation, loaded.offset) <= current:
        return
    entries_before = state.fleet.open_entries(state.dc)
    state.fleet = loaded
    state.holdings.on_state_loaded()
    for key in [k for k in state.pending_withdrawn if k in loaded.withdrawn]:
        del state.pending_withdrawn[key]
    _fleet_changed(state, entries_before)


def _fleet_changed(state: EntryState, entries_before: list[SessionId]) -> None:
    """Handle a change of the folded state beyond slices, renewals and leases."""
    state.pool_instances = None
    _update_session(state)
    claims.on_members_changed(state, entries_before)
    claiming.poll(state)
    connections.close_idle(state)


def _update_session(state: EntryState) -> None:
    """Handle the opening or the end of the own session in the folded state."""
    if state.session_open and not state.session_was_open:
        state.session_was_open = True
        state.renewal_sent_at = state.now
    if state.session_lost and not state.stopping:
        state.stopping = True
        state.log(SESSION_ENDED_BY_LOG, session=state.session)
        sending.refuse_all_unsent(state)


@on(events.ClaimAsked)
def _claim_asked(state: EntryState, event: events.ClaimAsked) -> None:
    verdict, holder = claims.answer_claim(
        state, event.session, event.request_id, event.epoch
    )
    home = claims.home_dc(state, event.request_id)
    state.emit(
        ReplyClaim(
            token=event.token,
            verdict=verdict,
            epoch=claims.epoch_of(state, home),
            holder=holder,
        )
    )


@on(events.ClaimAnswered)
def _claim_answered(state: EntryState, event: events.ClaimAnswered) -> None:
    claiming.on_answer(state, event)


@on(events.ClaimEnded)
def _claim_ended(state: EntryState, event: events.ClaimEnded) -> None:
    claims.record_outcome(state, event.session, event.request_id, event.outcome)


@on(events.SyncAsked)
def _sync_asked(state: EntryState, event: events.SyncAsked) -> None:
    claims.reply_sync(state, event.token)


@on(events.ClaimsSynced)
def _claims_synced(state: EntryState, event: events.ClaimsSynced) -> None:
    claims.on_synced(state, event)
    claiming.poll(state)


@on(events.LogContact)
def _log_contact(state: EntryState, event: events.LogContact) -> None:
    state.log_up = event.up
    if event.up:
        state.last_log_contact = state.now


@on(events.RenewalConfirmed)
def _renewal_confirmed(state: EntryState, event: events.RenewalConfirmed) -> None:
    state.renewal_sent_at = max(state.renewal_sent_at or event.sent, event.sent)


@on(events.WithdrawalsPending)
def _withdrawals_pending(state: EntryState, event: events.WithdrawalsPending) -> None:
    for key in event.keys:
        state.pending_withdrawn[key] = None


@on(events.InstancesListed)
def _instances_listed(state: EntryState, event: events.InstancesListed) -> None:
    listing.on_listed(state, event)
    connections.close_idle(state)


@on(events.UsageReported)
def _usage_reported(state: EntryState, event: events.UsageReported) -> None:
    if event.origin not in (state.session, state.dc):
        queueing.record_usage(state, event.origin, event.running)


@on(events.UnitsAsked)
def _units_asked(state: EntryState, event: events.UnitsAsked) -> None:
    give = state.holdings.on_units_asked(
        state.now, state.fleet, event.session, event.units
    )
    if give is not None:
        state.emit(Append(record=give))


@on(events.StopAsked)
def _stop_asked(state: EntryState, event: events.StopAsked) -> None:
    if not state.stopping:
        state.stopping = True
        state.log(ENTRY_STOPPING, calls=len(state.calls))
        connections.close_idle(state)
