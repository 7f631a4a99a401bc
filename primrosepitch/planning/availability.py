"""Availability of instances; one that is not proved available is unavailable."""

from __future__ import annotations

import logging

from primrosepitch.events import event
from primrosepitch.fleet import records as rec
from primrosepitch.fleet.state import Instance, Phase
from primrosepitch.ids import InstanceId, PoolId, RecordId
from primrosepitch.planning import lease
from primrosepitch.planning.effects import Effect, ListInstances, Probe
from primrosepitch.planning.events import ListedInstance, ListedState
from primrosepitch.planning.state import (
    PlannerState,
    ProbeStatus,
    append_once,
    log_line,
)

__all__ = [
    "MAX_CLOCK_SKEW_S",
    "down_records_pending",
    "list_is_fresh",
    "live_row_after",
    "on_tick",
    "probe_confirmed",
    "request_observations",
    "stoppable_count",
]

LIST_INTERVAL_S = 2.0
LIST_BYTES_PER_S = 2000.0
"""Traffic allowed for reads of the list while nothing waits for one.

A node has 3 KB/s.
"""

LIST_ROW_BYTES = 100
RETURN_WATCH_S = 600.0
"""Seconds after a stop during which the list is read at the short interval."""

LIST_MAX_AGE_S = 15.0
"""Maximum age of a usable list, in addition to twice the interval between reads."""

UNKNOWN_TIMEOUT_S = 60.0
"""Seconds without a list and an accepted probe until an instance is unavailable."""

PROBE_INTERVAL_S = 15.0
PROBE_RETRY_INTERVAL_S = 2.0
"""Interval after a failed probe.

The longer regular interval keeps the traffic of probes within its bound.
"""

FAILED_PROBES_UNTIL_SILENT = 3
"""Number of consecutive failed probes after which an instance counts as silent."""

DC_SILENT_S = 30.0
"""Seconds without a lease renewal after which a data centre is unavailable."""

MAX_CLOCK_SKEW_S = 1.0
"""Maximum difference between the platform's wall clock and the own one."""

UP = event(
    3201,
    "instance_up",
    logging.INFO,
    "An instance was proved available by the platform's list and a probe.",
)
DOWN = event(
    3202,
    "instance_down",
    logging.WARNING,
    "An instance failed, is silent, or is missing from the platform's list.",
    "check the instance if it does not return",
)


def list_is_fresh(state: PlannerState, now: float) -> bool:
    """Return whether the newest list is recent enough to act on."""
    return now - state.listing.requested_at <= LIST_MAX_AGE_S + 2 * _list_interval(
        state
    )


def _list_interval(state: PlannerState) -> float:
    """Return the seconds between reads of the list while nothing waits for one."""
    size = len(state.listing.rows) * LIST_ROW_BYTES
    return max(LIST_INTERVAL_S, size / LIST_BYTES_PER_S)


def live_row_after(
    state: PlannerState, now: float, name: InstanceId, wall: float
) -> ListedInstance | None:
    """Return an instance's row if it is live in a list made after ``wall``.

    :param wall: wall-clock seconds; the list lags, so an older one proves nothing
    """
    row = state.listing.rows.get(name)
    if row is None or row.state is not ListedState.LIVE:
        return None
    if not list_is_fresh(state, now) or state.listing.as_of <= wall + MAX_CLOCK_SKEW_S:
        return None
    return row


def probe_confirmed(state: PlannerState, name: InstanceId) -> bool:
    """Return whether the present incarnation accepted a probe after it was listed."""
    status = state.probes.get(name)
    since = state.listing.first_listed_at.get(name)
    return status is not None and since is not None and status.ok_at >= since


def down_records_pending(state: PlannerState) -> bool:
    """Return whether an observed loss has not been folded yet."""
    return any(key.startswith("InstanceDown/") for key in state.pending)


def stoppable_count(state: PlannerState, pool: PoolId) -> int:
    """Return how many more instances a pool can lose within its budgets."""
    services = state.fleet.config.services.values()
    needed = [s.min_available for s in services if s.pool == pool]
    return state.fleet.available_in(pool) - max(needed, default=0)


def on_tick(state: PlannerState, now: float) -> list[Effect]:
    """Append changes of the observed availability; losses are appended first."""
    effects: list[Effect] = []
    if lease.in_force(state, now):
        for name, inst in state.own_instances():
            cause = _unavailability_cause(state, now, name, inst) if inst.up else ""
            if cause:
                effects += _report_down(state, now, name, cause)
    if lease.is_leader(state, now):
        effects += _report_silent_dcs(state, now)
    if lease.in_force(state, now):
        for name, inst in state.own_instances():
            if not inst.up and inst.phase is not Phase.STOPPING:
                effects += _report_up_if_confirmed(state, now, name)
    return effects


def _unavailability_cause(
    state: PlannerState, now: float, name: InstanceId, inst: Instance
) -> str:
    """Return why an instance that is up in the folded state is unavailable.

    :returns: cause; empty if it is available or nothing proves otherwise
    """
    status = state.probes.get(name, ProbeStatus())
    if status.failures >= FAILED_PROBES_UNTIL_SILENT:
        return "silent"
    if not list_is_fresh(state, now):
        observed_at = max(status.ok_at, state.listing.requested_at)
        since = (
            state.lease_renewals[state.dc].read_at
            if state.dc in state.lease_renewals
            else now
        )
        unknown = (
            observed_at > float("-inf")
            and now - max(observed_at, since) > UNKNOWN_TIMEOUT_S
        )
        return "unknown" if unknown else ""
    row = state.listing.rows.get(name)
    if row is None:
        return "not listed"
    if row.state is ListedState.LEAVING:
        return "leaving"
    if inst.incarnation and row.incarnation != inst.incarnation:
        # A list that lags still shows the older incarnation after a reboot.
        wall = state.down_wall.get(name, float("-inf"))
        newer = state.listing.as_of > wall + MAX_CLOCK_SKEW_S
        return "restarted" if newer else ""
    return ""


def _report_down(
    state: PlannerState, now: float, name: InstanceId, cause: str
) -> list[Effect]:
    state.down_wall[name] = state.wall_at(now)
    record = rec.InstanceDown(
        record_id=RecordId(""),
        by=state.session,
        instance=name,
        dc=state.dc,
        term=lease.current_term(state),
        cause=cause,
    )
    effects = append_once(state, now, record)
    return [
        *effects,
        *[log_line(DOWN.number, instance=name, cause=cause)] * len(effects),
    ]


def _report_silent_dcs(state: PlannerState, now: float) -> list[Effect]:
    """Report the instances of data centres without a live planner as unavailable."""
    effects: list[Effect] = []
    for dc in {i.dc for i in state.fleet.instances.values()} - {state.dc}:
        if lease.is_live(state, dc, now, DC_SILENT_S):
            continue
        for name, inst in state.fleet.instances.items():
            if inst.dc == dc and inst.up:
                effects += _report_down(state, now, name, "data centre silent")
    return effects


def _report_up_if_confirmed(
    state: PlannerState, now: float, name: InstanceId
) -> list[Effect]:
    """Report an instance as available if the list and a probe prove it."""
    wall = state.down_wall.get(name, float("-inf"))
    row = live_row_after(state, now, name, wall)
    if row is None or not probe_confirmed(state, name) or state.probes[name].failures:
        return []
    return report_up(state, now, name, row.incarnation)


def report_up(
    state: PlannerState, now: float, name: InstanceId, incarnation: str
) -> list[Effect]:
    """Append a record that an instance is available."""
    record = rec.InstanceUp(
        record_id=RecordId(""),
        by=state.session,
        instance=name,
        dc=state.dc,
        term=lease.current_term(state),
        incarnation=incarnation,
    )
    effects = append_once(state, now, record)
    line = log_line(UP.number, instance=name, incarnation=incarnation)
    return [*effects, *[line] * len(effects)]


def request_observations(state: PlannerState, now: float) -> list[Effect]:
    """Request the list and probes of the own data centre's instances when due."""
    if not lease.holds(state):
        return []
    effects: list[Effect] = []
    interval = LIST_INTERVAL_S if _list_awaited(state, now) else _list_interval(state)
    if now - state.list_requested_at >= interval:
        state.list_requested_at = now
        effects.append(ListInstances())
    for name, inst in state.own_instances():
        spec = state.fleet.config.instances.get(name)
        if spec is None or not _probe_due(state, now, name, inst):
            continue
        status = state.probes[name]
        status.in_flight = True
        status.next_due = now + PROBE_INTERVAL_S
        effects.append(Probe(target=name, address=f"{spec.address}:{spec.port}"))
    return effects


def _list_awaited(state: PlannerState, now: float) -> bool:
    """Return whether the return of an instance depends on the next list."""
    for name, inst in state.own_instances():
        if inst.up:
            continue
        restart = state.restarts.get(name)
        if restart is None and probe_confirmed(state, name):
            return True
        if restart is not None and now - restart.stopping_since <= RETURN_WATCH_S:
            return True
    return False


def _probe_due(
    state: PlannerState, now: float, name: InstanceId, inst: Instance
) -> bool:
    """Return whether to probe now.

    A listed instance that lacks only an accepted probe is probed at once.
    """
    status = state.probes.setdefault(name, ProbeStatus())
    if status.in_flight:
        return False
    listed = name in state.listing.rows
    awaiting_proof = not inst.up and listed and not probe_confirmed(state, name)
    return now >= status.next_due or (awaiting_proof and not status.failures)
