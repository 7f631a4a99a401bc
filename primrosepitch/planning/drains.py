"""Moves and planned stops: every step follows from what the fold has proved."""

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
from primrosepitch.planning.state import PlannerState, Restart, append, log

__all__ = ["drain", "observe", "turn"]

ASK_AGAIN_S = 10.0
"""Interval of requests to the platform that were not answered."""

RETURN_S = 300.0
"""Time for a reboot, after which the platform is asked for it again."""

WAIT_LOGGED_S = 600.0
"""Time of a drain after which the log names the sessions that hold units."""

DRAIN = event(3301, "drain_started", logging.INFO, "An instance gets no new work.")
DRAIN_CANCELLED = event(
    3302,
    "drain_cancelled",
    logging.WARNING,
    "A drain was given up, since failures have made the instance needed.",
    "order it again when the pool has recovered",
)
STOP = event(3303, "stop_requested", logging.INFO, "A drained instance is stopped.")
RESTART = event(
    3304, "platform_restart_sent", logging.INFO, "The platform is asked for a restart."
)
MOVED = event(3305, "move_finished", logging.INFO, "An instance has changed its pool.")
DRAIN_WAITS = event(
    3306,
    "drain_waits",
    logging.WARNING,
    "A drain waits for sessions that hold units of the instance.",
    "check the named sessions; fence those whose instance is powered off",
)


def drain(
    state: PlannerState,
    now: float,
    name: InstanceId,
    reason: DrainReason,
    to_pool: PoolId | None = None,
    wave: WaveId | None = None,
) -> list[Effect]:
    """Start a drain under the own lease."""
    record = rec.DrainStarted(
        record_id=RecordId(""),
        by=state.session,
        instance=name,
        reason=reason,
        base_offset=state.fleet.offset,
        to_pool=to_pool,
        dc=state.dc,
        term=lease.term(state),
        wave=wave,
    )
    effects = append(state, now, record)
    line = log(
        DRAIN.number, instance=name, reason=reason.value, to_pool=to_pool, wave=wave
    )
    return [*effects, *[line] * len(effects)]


def observe(state: PlannerState, now: float) -> None:
    """Note which drains and stops have begun and ended in the fold."""
    for name, inst in state.fleet.instances.items():
        if inst.phase is not Phase.STOPPING:
            state.restarts.pop(name, None)
        elif name not in state.restarts:
            state.restarts[name] = Restart(since=now)
        if inst.phase is not Phase.DRAINING:
            state.drains.pop(name, None)
        else:
            state.drains.setdefault(name, now)
    for name in [n for n in state.restarts if n not in state.fleet.instances]:
        del state.restarts[name]
    for name in [n for n in state.drains if n not in state.fleet.instances]:
        del state.drains[name]


def turn(state: PlannerState, now: float, busy: set[InstanceId]) -> list[Effect]:
    """Carry every drain and stop of the data centre one step further.

    :param busy: instances on which tasks still run
    """
    if not lease.in_force(state, now):
        return []
    effects: list[Effect] = []
    for name in [*state.drains, *state.restarts]:
        inst = state.fleet.instances[name]
        if inst.dc != state.dc:
            continue
        if inst.phase is Phase.STOPPING:
            effects += _stopping(state, now, name, inst)
        elif _needed(state, inst):
            effects += _cancel(state, now, name)
        elif not state.fleet.drained(name):
            effects += _report_wait(state, now, name)
        elif name not in busy and not availability.downs_pending(state):
            effects += _drained(state, now, name, inst)
    return effects


def _needed(state: PlannerState, inst: Instance) -> bool:
    """Whether an instance must stay, or its new pool has gone."""
    short = inst.up and budget_violation(state.fleet, inst.pool, losses=0)
    moving = inst.reason is DrainReason.MOVE
    return bool(short) or (moving and inst.to_pool not in state.fleet.config.pools)


def _cancel(state: PlannerState, now: float, name: InstanceId) -> list[Effect]:
    record = rec.DrainCancelled(
        record_id=RecordId(""), by=state.session, instance=name, cause="needed"
    )
    effects = append(state, now, record)
    return [*effects, *[log(DRAIN_CANCELLED.number, instance=name)] * len(effects)]


def _report_wait(state: PlannerState, now: float, name: InstanceId) -> list[Effect]:
    """Log once who holds up a long drain."""
    if now - state.drains[name] < WAIT_LOGGED_S:
        return []
    state.drains[name] = float("inf")
    keys = (slots_key(name), conns_key(name))
    holders = sorted({s for key in keys for s in state.fleet.counts[key].held})
    return [log(DRAIN_WAITS.number, instance=name, sessions=holders)]


def _drained(
    state: PlannerState, now: float, name: InstanceId, inst: Instance
) -> list[Effect]:
    """Finish the move, or declare the stop before it is asked for."""
    if inst.reason is DrainReason.MOVE:
        moved = rec.MoveFinished(
            record_id=RecordId(""),
            by=state.session,
            instance=name,
            dc=state.dc,
            term=lease.term(state),
        )
        effects = append(state, now, moved)
        line = log(MOVED.number, instance=name, pool=inst.to_pool)
        return [*effects, *[line] * len(effects)]
    if not availability.list_fresh(state, now):
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
        term=lease.term(state),
        incarnation=known,
    )
    effects = append(state, now, stop)
    return [*effects, *[log(STOP.number, instance=name)] * len(effects)]


def _stopping(
    state: PlannerState, now: float, name: InstanceId, inst: Instance
) -> list[Effect]:
    """Ask the platform for the stop that the fold shows, and watch for the return."""
    restart = state.restarts[name]
    if restart.accepted_wall is None:
        wait = ASK_AGAIN_S
    else:
        row = availability.listed_after(state, now, name, restart.accepted_wall)
        if row is not None and row.incarnation != inst.incarnation:
            returned = availability.proved(state, name)
            return (
                availability.up(state, now, name, row.incarnation) if returned else []
            )
        wait = RETURN_S if inst.reason is DrainReason.REBOOT else float("inf")
    if now - restart.asked < wait:
        return []
    restart.asked = now
    stop = inst.reason is DrainReason.STOP
    return [
        RestartInstance(instance=name, stop=stop, not_after=state.lease_valid_until),
        log(RESTART.number, instance=name, stop=stop),
    ]
