"""Sessions of lost processes: proof that they ended, and release of their units."""

from __future__ import annotations

import logging

from primrosepitch.events import event
from primrosepitch.fleet import records as rec
from primrosepitch.fleet.state import Session, SessionState
from primrosepitch.ids import RecordId, SessionId
from primrosepitch.planning import availability, lease
from primrosepitch.planning.effects import Effect, Probe
from primrosepitch.planning.state import (
    FirstRead,
    PlannerState,
    ProbeStatus,
    append_once,
    log_line,
)

__all__ = ["TASK_LEASE_S", "on_tick", "track_sessions"]

TASK_LEASE_S = 20.0
"""Seconds of a task's lease; the tasks of a lost planner end within this time."""

SETTLE_MARGIN_S = 5.0
"""Seconds added to the task lease for the transit of the last renewal."""

REQUEST_MARGIN_S = 1.0
"""Seconds added to the longest request, since an endpoint starts to count the
remaining time when it reads the request."""

CLOCK_RATIO = 1.01
"""Maximum ratio of the own clock's rate to that of the lost process."""

REMOVED_AFTER_S = 30.0
"""Seconds off the list and unreachable after which an instance counts as removed."""

PROBE_INTERVAL_S = 5.0

ENDED = event(
    3101,
    "session_ended",
    logging.WARNING,
    "A session is recorded as ended; its units are quarantined.",
    "none, or restart the process at the same address",
)
SETTLED = event(
    3102,
    "session_settled",
    logging.INFO,
    "No work of an ended session can still run; its units return to the reserve.",
)


def track_sessions(state: PlannerState, now: float) -> None:
    """Record when renewals and ends of sessions were first read, on the own clock."""
    limit = state.fleet.config.fleet.max_request_s
    state.longest_request_s = max(state.longest_request_s, limit)
    sessions = state.fleet.sessions
    for name, found in sessions.items():
        if found.state is SessionState.ENDED:
            state.session_renewals.pop(name, None)
            if name not in state.session_ends:
                state.session_ends[name] = FirstRead(offset=found.ended, read_at=now)
            continue
        seen = state.session_renewals.get(name)
        if seen is None or seen.offset != found.renewed:
            state.session_renewals[name] = FirstRead(offset=found.renewed, read_at=now)
    for table in (state.session_renewals, state.session_ends, state.unreachable_since):
        for name in [n for n in table if n not in sessions]:
            del table[name]


def on_tick(state: PlannerState, now: float) -> list[Effect]:
    """End sessions that are proved lost and settle those that ended long ago."""
    effects: list[Effect] = []
    for name, found in list(state.fleet.sessions.items()):
        if not lease.is_responsible(state, found.dc, now, lease.TAKEOVER_S):
            continue
        if found.state is SessionState.ENDED:
            effects += _settle(state, now, name)
        else:
            effects += _end_if_proved(state, now, name, found)
    return effects


def _settle(state: PlannerState, now: float, name: SessionId) -> list[Effect]:
    seen = state.session_ends.get(name)
    requests_s = state.longest_request_s + REQUEST_MARGIN_S
    wait = max(requests_s, TASK_LEASE_S + SETTLE_MARGIN_S) * CLOCK_RATIO
    if seen is None or now - seen.read_at < wait:
        return []
    record = rec.SessionSettled(record_id=RecordId(""), by=state.session, session=name)
    effects = append_once(state, now, record)
    return [*effects, *[log_line(SETTLED.number, session=name)] * len(effects)]


def _end_if_proved(
    state: PlannerState, now: float, name: SessionId, found: Session
) -> list[Effect]:
    """Append the end of an open session if isolation or removal proves it."""
    seen = state.session_renewals.get(name)
    window = state.fleet.config.fleet.isolation_window_s
    if seen is not None and now - seen.read_at > window * CLOCK_RATIO:
        return _end(state, now, name, seen, rec.Proof.ISOLATED)
    if not state.removal_is_final or seen is None:
        return []
    effects = _track_removal(state, now, name, found)
    if now - state.unreachable_since.get(name, now) >= REMOVED_AFTER_S:
        effects += _end(state, now, name, seen, rec.Proof.REMOVED)
    return effects


def _end(
    state: PlannerState, now: float, name: SessionId, seen: FirstRead, proof: rec.Proof
) -> list[Effect]:
    record = rec.SessionEnded(
        record_id=RecordId(""),
        by=state.session,
        session=name,
        proof=proof,
        renewed_offset=seen.offset,
    )
    effects = append_once(state, now, record)
    line = log_line(ENDED.number, session=name, proof=proof.value)
    return [*effects, *[line] * len(effects)]


def _track_removal(
    state: PlannerState, now: float, name: SessionId, found: Session
) -> list[Effect]:
    """Track since when an instance, once listed, is both off the list and silent."""
    target = f"session/{name}"
    removed = (
        found.instance in state.ever_listed
        and found.instance not in state.listing.rows
        and availability.list_is_fresh(state, now)
    )
    if not removed:
        state.unreachable_since.pop(name, None)
        state.probes.pop(target, None)
        return []
    status = state.probes.setdefault(target, ProbeStatus())
    if status.failures and not status.ok_at > status.failing_since:
        state.unreachable_since.setdefault(name, status.failing_since)
    else:
        state.unreachable_since.pop(name, None)
    if status.in_flight or now < status.next_due:
        return []
    status.in_flight = True
    status.next_due = now + PROBE_INTERVAL_S
    return [Probe(target=target, address=found.peer_address)]
