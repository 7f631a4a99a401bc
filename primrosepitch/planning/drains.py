"""Drains for moves and planned stops, advanced according to the folded state."""

from __future__ import annotations

import logging

from primrosepitch.events import event
from primrosepitch.fleet import records as rec
from primrosepitch.fleet.counts import conns_key, slots_key
from primrosepitch.fleet.fold import budget_violation
from primrosepitch.fleet.records import DrainReason
from primrosepitch.fleet.state import Instance, Phase
from primrosepitch.ids import InstanceId, PoolId, RecordId, WaveId
from primrosepitch.planning import availability, lease
from primrosepitch.planning.effects import Effect, RestartInstance
from primrosepitch.planning.state import PlannerState, Restart, append_once, log_line

__all__ = ["on_tick", "start_drain", "track_phases"]

RESTART_RETRY_INTERVAL_S = 10.0
"""Interval at which a restart request that was not accepted is sent again."""

REBOOT_TIMEOUT_S = 300.0
"""Seconds allowed for a reboot, after which it is requested again."""

LONG_DRAIN_S = 600.0
"""Duration of a drain after which the sessions that hold units are logged."""

DRAIN = event(
    3301,
    "drain_started",
    logging.INFO,
    "A drain has started; the instance gets no new work.",
)
DRAIN_CANCELLED = event(
    3302,
    "drain_cancelled",
    logging.WARNING,
    "A drain was cancelled, since its instance is needed after failures of others.",
    "drain the instance again when the pool has recovered",
)
STOP = event(
    3303,
    "stop_requested",
    logging.INFO,
    "A drained instance is about to be stopped or rebooted.",
)
RESTART = event(
    3304,
    "platform_restart_sent",
    logging.INFO,
    "A reboot or stop was requested from the platform.",
)
MOVED = event(
    3305, "move_finished", logging.INFO, "A drained instance has moved to another pool."
)
DRAIN_WAITS = event(
    3306,
    "drain_waits",
    logging.WARNING,
    "A drain waits for sessions that hold units of the instance.",
    "check the named sessions; fence those whose instance is powered off",
)


def start_drain(
    state: PlannerState,
    now: float,
    name: InstanceId,
    reason: DrainReason,
    to_pool: PoolId | None = None,
    wave: WaveId | None = None,
) -> list[Effect]:
    """Append the start of a drain under the own planner lease."""
    record = rec.DrainStarted(
        record_id=RecordId(""),
        by=state.session,
        instance=name,
        reason=reason,
        base_offset=state.fleet.offset,
        to_pool=to_pool,
        dc=state.dc,
        term=lease.current_term(state),
        wave=wave,
    )
    effects = append_once(state, now, record)
    line = log_line(
        DRAIN.number, instance=name, reason=reason.value, to_pool=to_pool, wave=wave
    )
    return [*effects, *[line] * len(effects)]


def track_phases(state: PlannerState, now: float) -> None:
    """Track the start and end of drains and stops in the folded state."""
    for name, inst in state.fleet.instances.items():
        if inst.phase is not Phase.STOPPING:
            state.restarts.pop(name, None)
        elif name not in state.restarts:
            state.restarts[name] = Restart(stopping_since=now)
        if inst.phase is not Phase.DRAINING:
            state.drain_since.pop(name, None)
        else:
            state.drain_since.setdefault(name, now)
    for name in [n for n in state.restarts if n not in state.fleet.instances]:
        del state.restarts[name]
    for name in [n for n in state.drain_since if n not in state.fleet.instances]:
        del state.drain_since[name]


def on_tick(state: PlannerState, now: float, occupied: set[InstanceId]) -> list[Effect]:
    """Advance all drains and stops of the own data centre by one step.

    :param occupied: instances on which tasks still run
    """
    if not lease.in_force(state, now):
        return []
    effects: list[Effect] = []
    for name in [*state.drain_since, *state.restarts]:
        inst = state.fleet.instances[name]
        if inst.dc != state.dc:
            continue
        if inst.phase is Phase.STOPPING:
            effects += _advance_stop(state, now, name, inst)
        elif _must_cancel(state, inst):
            effects += _cancel(state, now, name)
        elif not state.fleet.drained(name):
            effects += _log_long_drain(state, now, name)
        elif name not in occupied and not availability.down_records_pending(state):
            effects += _finish_drain(state, now, name, inst)
    return effects


def _must_cancel(state: PlannerState, inst: Instance) -> bool:
    """Return whether the instance's pool needs it, or its new pool was removed."""
    short = inst.up and budget_violation(state.fleet, inst.pool, losses=0)
    moving = inst.reason is DrainReason.MOVE
    return bool(short) or (moving and inst.to_pool not in state.fleet.config.pools)


def _cancel(state: PlannerState, now: float, name: InstanceId) -> list[Effect]:
    record = rec.DrainCancelled(
        record_id=RecordId(""), by=state.session, instance=name, cause="needed"
    )
    effects = append_once(state, now, record)
    return [*effects, *[log_line(DRAIN_CANCELLED.number, instance=name)] * len(effects)]


def _log_long_drain(state: PlannerState, now: float, name: InstanceId) -> list[Effect]:
    """Log the sessions that delay a long drain, once per drain."""
    if now - state.drain_since[name] < LONG_DRAIN_S:
        return []
    state.drain_since[name] = float("inf")
    keys = (slots_key(name), conns_key(name))
    holders = sorted({s for key in keys for s in state.fleet.counts[key].held})
    return [log_line(DRAIN_WAITS.number, instance=name, sessions=holders)]


def _finish_drain(
    state: PlannerState, now: float, name: InstanceId, inst: Instance
) -> list[Effect]:
    """Append the end of a move, or the stop, which is requested after it is folded."""
    if inst.reason is DrainReason.MOVE:
        moved = rec.MoveFinished(
            record_id=RecordId(""),
            by=state.session,
            instance=name,
            dc=state.dc,
            term=lease.current_term(state),
        )
        effects = append_once(state, now, moved)
        line = log_line(MOVED.number, instance=name, pool=inst.to_pool)
        return [*effects, *[line] * len(effects)]
    if not availability.list_is_fresh(state, now):
        return []
    row = state.listing.rows.get(name)
    known = row.incarnation if row else inst.incarnation
    if not known:
        return []
    stop = rec.StopRequested(
        record_id=RecordId(""),
        by=state.session,
        instance=name,
        dc=state.dc,
        term=lease.current_term(state),
        incarnation=known,
    )
    effects = append_once(state, now, stop)
    return [*effects, *[log_line(STOP.number, instance=name)] * len(effects)]


def _advance_stop(
    state: PlannerState, now: float, name: InstanceId, inst: Instance
) -> list[Effect]:
    """Request a recorded stop from the platform, or report the instance's return."""
    restart = state.restarts[name]
    if restart.accepted_wall is None:
        wait = RESTART_RETRY_INTERVAL_S
    else:
        row = availability.live_row_after(state, now, name, restart.accepted_wall)
        if row is not None and row.incarnation != inst.incarnation:
            returned = availability.probe_confirmed(state, name)
            return (
                availability.report_up(state, now, name, row.incarnation)
                if returned
                else []
            )
        wait = REBOOT_TIMEOUT_S if inst.reason is DrainReason.REBOOT else float("inf")
    if now - restart.requested_at < wait:
        return []
    restart.requested_at = now
    stop = inst.reason is DrainReason.STOP
    return [
        RestartInstance(instance=name, stop=stop, not_after=state.lease_valid_until),
        log_line(RESTART.number, instance=name, stop=stop),
    ]
