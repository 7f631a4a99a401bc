"""Planner lease of a data centre: renewal, takeover and responsibility."""

from __future__ import annotations

import logging

from primrosepitch.events import event
from primrosepitch.fleet import records as rec
from primrosepitch.fleet.fold import Outcome, Void
from primrosepitch.fleet.state import SessionState
from primrosepitch.ids import DcId, Offset, RecordId
from primrosepitch.planning.effects import Append, Effect
from primrosepitch.planning.state import FirstRead, PlannerState, log_line

__all__ = [
    "holds",
    "in_force",
    "is_leader",
    "is_live",
    "is_responsible",
    "on_record",
    "on_tick",
]

RENEWAL_INTERVAL_S = 3.0
"""Interval between renewals of the lease."""

TAKEOVER_S = 10.0
"""Seconds without a renewal, on the own clock, after which another planner takes over.

A holder acts only for this long after *sending* a renewal that it has read back. Every
other planner reads that renewal later than it was sent, so two planners never act at
the same time.
"""

LEASE_TAKEN = event(
    3001,
    "planner_lease_taken",
    logging.INFO,
    "This planner has acquired the planner lease of its data centre.",
)
LEASE_LOST = event(
    3002,
    "planner_lease_lost",
    logging.WARNING,
    "Another planner has taken over the planner lease; this one starts no work.",
)


def holds(state: PlannerState) -> bool:
    """Return whether this planner holds its data centre's lease in the folded state."""
    lease = state.fleet.leases.get(state.dc)
    return (
        lease is not None
        and lease.session == state.session
        and state.own_session() is not None
    )


def in_force(state: PlannerState, now: float) -> bool:
    """Return whether this planner holds the lease and none can have taken it over."""
    return holds(state) and now < state.lease_valid_until


def current_term(state: PlannerState) -> int:
    """Return the term of the own data centre's lease; 0 if it was never taken."""
    lease = state.fleet.leases.get(state.dc)
    return lease.term if lease else 0


def is_live(state: PlannerState, dc: DcId, now: float, silent_s: float) -> bool:
    """Return whether a data centre's lease was renewed within the last ``silent_s``."""
    seen = state.lease_renewals.get(dc)
    lease = state.fleet.leases.get(dc)
    if seen is None or lease is None:
        return False
    holder = state.fleet.sessions.get(lease.session)
    open_ = holder is not None and holder.state is SessionState.OPEN
    return open_ and now - seen.read_at <= silent_s


def is_leader(state: PlannerState, now: float) -> bool:
    """Return whether this planner acts as leader for all data centres.

    The leader holds the lease of the live data centre whose name sorts first.
    """
    if not in_force(state, now):
        return False
    lower = (dc for dc in state.fleet.leases if dc < state.dc)
    return not any(is_live(state, dc, now, TAKEOVER_S) for dc in lower)


def is_responsible(state: PlannerState, dc: DcId, now: float, silent_s: float) -> bool:
    """Return whether this planner acts for a data centre.

    A planner acts for its own data centre, and the leader also for silent ones.

    :param silent_s: seconds without a lease renewal after which one is silent
    """
    if dc == state.dc:
        return in_force(state, now)
    return is_leader(state, now) and not is_live(state, dc, now, silent_s)


def on_record(state: PlannerState, now: float, outcome: Outcome) -> list[Effect]:
    """Update the lease times after a lease record was read."""
    record = outcome.record
    if not isinstance(record, rec.PlannerLease):
        return []
    own = record.by == state.session and outcome.void is not Void.REPEATED
    sent_at = state.lease_pending_since if own else None
    if own:
        state.lease_pending_since = None
    if outcome.void is not None:
        return []
    previous = state.lease_renewals.get(record.dc)
    state.lease_renewals[record.dc] = FirstRead(offset=outcome.offset, read_at=now)
    if record.dc != state.dc:
        return []
    if own and sent_at is not None:
        taken = state.lease_valid_until < now or previous is None
        state.lease_valid_until = sent_at + TAKEOVER_S
        return [log_line(LEASE_TAKEN.number, dc=state.dc, term=record.term)] * taken
    lost = state.lease_valid_until > float("-inf")
    state.lease_valid_until = float("-inf")
    return [log_line(LEASE_LOST.number, dc=state.dc, term=record.term)] * lost


def on_state_loaded(state: PlannerState, now: float) -> None:
    """Treat leases of a loaded state as renewed now, since their age is unknown."""
    for dc, lease in state.fleet.leases.items():
        seen = state.lease_renewals.get(dc)
        if seen is None or seen.offset != lease.renewed:
            state.lease_renewals[dc] = FirstRead(
                offset=Offset(lease.renewed), read_at=now
            )


def on_tick(state: PlannerState, now: float) -> list[Effect]:
    """Renew the lease, or take it over if its holder is silent or has ended."""
    if (
        state.own_session() is None
        or state.lease_pending_since is not None
        or state.stopping
    ):
        return []
    term = current_term(state)
    seen = state.lease_renewals.get(state.dc)
    if holds(state):
        if now - state.lease_last_sent_at < RENEWAL_INTERVAL_S:
            return []
    elif is_live(state, state.dc, now, TAKEOVER_S):
        return []
    else:
        term += 1
    state.lease_pending_since = now
    state.lease_last_sent_at = now
    record = rec.PlannerLease(
        record_id=RecordId(""),
        by=state.session,
        dc=state.dc,
        session=state.session,
        term=term,
        renewed_offset=seen.offset if seen else Offset(-1),
    )
    return [Append(record=record)]
