"""Maintenance waves: stops rack by rack, pauses on correlated failures, dry runs."""

from __future__ import annotations

import enum
import logging
from typing import NamedTuple

from primrosepitch.events import event
from primrosepitch.fleet import records as rec
from primrosepitch.fleet.fold import Outcome, budget_violation
from primrosepitch.fleet.records import DrainReason
from primrosepitch.fleet.state import FleetState, Instance, Phase, Wave, WaveState
from primrosepitch.ids import DcId, InstanceId, PoolId, RecordId, WaveId
from primrosepitch.planning import availability, drains, lease
from primrosepitch.planning.effects import Effect
from primrosepitch.planning.state import (
    InstanceFailure,
    PlannerState,
    WaveTracking,
    append_once,
    log_line,
)

__all__ = [
    "Step",
    "StepKind",
    "correlation_cause",
    "dry_run",
    "next_steps",
    "on_record",
    "on_tick",
]

RETURN_TIMEOUT_S = 900.0
"""Seconds after which an instance that has not returned pauses its wave.

They count from the stop, or from a later start or resume of the wave.
"""

PAUSED = event(
    3401,
    "wave_paused",
    logging.ERROR,
    "A wave was paused: failures correlate with it or an instance did not return.",
    "find the cause, then resume or cancel the wave",
)
STEP = event(
    3402, "wave_step", logging.INFO, "A wave starts the drain and stop of an instance."
)
WAITS = event(
    3403, "wave_waits", logging.INFO, "A wave cannot stop any instance at present."
)


class StepKind(enum.Enum):
    """State of an instance in a wave, or the next action on it."""

    DONE = "done"
    IN_PROGRESS = "in work"
    STOP = "would be stopped now"
    WAIT = "would wait"


class Step(NamedTuple):
    """The next step of a wave for one instance.

    :param reason: phase of an instance in progress, or why it waits; else empty
    """

    instance: InstanceId
    kind: StepKind
    reason: str = ""


class PriorState(NamedTuple):
    """State of an instance before a record about it is folded.

    :param up: whether it was up
    :param stopping: whether it was being stopped
    :param wave: wave that it was drained for
    """

    up: bool = False
    stopping: bool = False
    wave: WaveId | None = None


class Rack(NamedTuple):
    """Rack of a data centre, the failure domain of its instances."""

    dc: DcId
    rack: str


def prior_state(fleet: FleetState, record: rec.Record) -> PriorState:
    """Return the state of a record's instance before the record is folded."""
    name = getattr(record, "instance", None)
    inst = fleet.instances.get(name) if name is not None else None
    if inst is None:
        return PriorState()
    return PriorState(inst.up, inst.phase is Phase.STOPPING, inst.wave)


def rack_of(inst: Instance) -> Rack:
    """Return the rack of an instance."""
    return Rack(inst.dc, inst.rack)


def next_steps(
    fleet: FleetState,
    wave: Wave,
    name: WaveId,
    silent: frozenset[DcId] = frozenset(),
) -> list[Step]:
    """Return the next step for each instance of a wave.

    :param silent: data centres without a live planner, whose instances wait
    :returns: steps in the order of the wave
    """
    working = [
        n
        for n in wave.instances
        if (i := fleet.instances[n]).wave == name and i.phase is not Phase.ACTIVE
    ]
    rack = rack_of(fleet.instances[working[0]]) if working else None
    free_slots = wave.max_parallel - len(working)
    planned_losses: dict[PoolId, int] = {}
    steps: list[Step] = []
    for n in wave.instances:
        inst = fleet.instances[n]
        if n in wave.done:
            steps.append(Step(n, StepKind.DONE))
        elif n in working:
            steps.append(Step(n, StepKind.IN_PROGRESS, inst.phase.value))
        else:
            reason = _blocking_reason(
                fleet, wave, inst, rack, free_slots, planned_losses, silent
            )
            steps.append(Step(n, StepKind.WAIT if reason else StepKind.STOP, reason))
            if not reason:
                rack = rack_of(inst)
                free_slots -= 1
                planned_losses[inst.pool] = (
                    planned_losses.get(inst.pool, 0) + inst.available
                )
    return steps


def _blocking_reason(
    fleet: FleetState,
    wave: Wave,
    inst: Instance,
    rack: Rack | None,
    free_slots: int,
    planned_losses: dict[PoolId, int],
    silent: frozenset[DcId],
) -> str:
    """Return why an instance cannot be stopped now; empty if it can be."""
    if wave.state is not WaveState.RUNNING:
        return f"the wave is {wave.state.value}"
    if inst.phase is not Phase.ACTIVE:
        return f"the instance is {inst.phase.value} for another reason"
    if rack is not None and rack != rack_of(inst):
        return f"rack {rack.dc}/{rack.rack} is in work"
    if free_slots <= 0:
        return f"{wave.max_parallel} instances are in work"
    if inst.dc in silent:
        return f"no planner of data centre {inst.dc} answers"
    if not inst.available:
        return ""
    return budget_violation(fleet, inst.pool, planned_losses.get(inst.pool, 0) + 1)


def dry_run(
    fleet: FleetState, instances: list[InstanceId], max_parallel: int
) -> list[Step]:
    """Return the first steps of a wave over instances, without starting it.

    :returns: steps in the given order; unknown instances wait with a reason
    """
    known = [n for n in dict.fromkeys(instances) if n in fleet.instances]
    wave = Wave(instances=known, max_parallel=max_parallel, done=[])
    steps = {s.instance: s for s in next_steps(fleet, wave, WaveId(""))}
    missing = "no such instance"
    return [
        steps.get(n, Step(n, StepKind.WAIT, missing)) for n in dict.fromkeys(instances)
    ]


def on_record(
    state: PlannerState, now: float, outcome: Outcome, prior: PriorState
) -> None:
    """Record failures and the stops and returns of wave instances as they are read."""
    record = outcome.record
    if outcome.void is not None:
        return
    if isinstance(record, rec.WaveStarted | rec.WaveResumed):
        tracking = state.waves.setdefault(record.wave, WaveTracking(running_since=now))
        tracking.running_since = now
    elif isinstance(record, rec.InstanceDown) and prior.up:
        inst = state.fleet.instances[record.instance]
        spec = state.fleet.config.instances.get(record.instance)
        image = spec.image if spec else ""
        state.failures.append(
            InstanceFailure(now, record.instance, inst.dc, inst.rack, image)
        )
    elif isinstance(record, rec.StopRequested | rec.InstanceUp):
        returned = isinstance(record, rec.InstanceUp) and prior.stopping
        stopped = isinstance(record, rec.StopRequested)
        if prior.wave is not None and (stopped or returned):
            tracking = state.waves.setdefault(
                prior.wave, WaveTracking(running_since=now)
            )
            tracking.handled[record.instance] = now


def correlation_cause(state: PlannerState, now: float, name: WaveId) -> str:
    """Return why recent failures correlate with a wave; empty if they do not.

    A handled instance is one that the wave has stopped or that has returned. Failures
    of two handled instances within the window correlate. So does any failure in the
    rack, or with the image, of an instance handled within the window.
    """
    tracking = state.waves.get(name)
    if tracking is None:
        return ""
    window = state.fleet.config.fleet.correlation_window_s
    since = max(now - window, tracking.running_since)
    failures = [f for f in state.failures if f.at >= since]
    own = sorted({f.instance for f in failures if f.instance in tracking.handled})
    if len(own) >= 2:
        return f"handled instances {', '.join(own)} failed"
    recent = [n for n, at in tracking.handled.items() if now - at <= window]
    specs = state.fleet.config.instances
    racks = {(specs[n].dc, specs[n].rack) for n in recent if n in specs}
    images = {specs[n].image for n in recent if n in specs} - {""}
    for failure in failures:
        if (failure.dc, failure.rack) in racks:
            return f"{failure.instance} failed in rack {failure.dc}/{failure.rack}"
        if failure.image in images:
            return f"{failure.instance} failed with image {failure.image}"
    return ""


def on_tick(state: PlannerState, now: float) -> list[Effect]:
    """Pause waves with correlated failures and start the next stops of the others."""
    if not lease.in_force(state, now):
        return []
    window = state.fleet.config.fleet.correlation_window_s
    state.failures = [f for f in state.failures if now - f.at <= window]
    for name in [n for n in state.waves if n not in state.fleet.waves]:
        del state.waves[name]
    effects: list[Effect] = []
    for name, wave in state.fleet.waves.items():
        if wave.state is not WaveState.RUNNING:
            continue
        cause = correlation_cause(state, now, name) or _overdue_instance(
            state, now, name
        )
        if cause:
            effects += _pause(state, now, name, cause)
        elif not availability.down_records_pending(
            state
        ) and availability.list_is_fresh(state, now):
            effects += _advance(state, now, name, wave)
    return effects


def _overdue_instance(state: PlannerState, now: float, name: WaveId) -> str:
    """Return which instance of a wave is overdue from its stop; empty if none is."""
    for instance, restart in state.restarts.items():
        late = (
            now - max(restart.stopping_since, _running_since(state, name))
            > RETURN_TIMEOUT_S
        )
        if late and state.fleet.instances[instance].wave == name:
            return f"{instance} did not return"
    return ""


def _running_since(state: PlannerState, name: WaveId) -> float:
    tracking = state.waves.get(name)
    return tracking.running_since if tracking else float("-inf")


def _pause(state: PlannerState, now: float, name: WaveId, cause: str) -> list[Effect]:
    record = rec.WavePaused(
        record_id=RecordId(""), by=state.session, wave=name, cause=cause
    )
    effects = append_once(state, now, record)
    return [*effects, *[log_line(PAUSED.number, wave=name, cause=cause)] * len(effects)]


def _advance(state: PlannerState, now: float, name: WaveId, wave: Wave) -> list[Effect]:
    """Start the stops in the own data centre; other planners start those in theirs."""
    dcs = {state.fleet.instances[n].dc for n in wave.instances} - {state.dc}
    silent = frozenset(
        dc for dc in dcs if not lease.is_live(state, dc, now, availability.DC_SILENT_S)
    )
    effects: list[Effect] = []
    for step in next_steps(state.fleet, wave, name, silent):
        own = state.fleet.instances[step.instance].dc == state.dc
        if step.kind is StepKind.STOP and own:
            started = drains.start_drain(
                state, now, step.instance, DrainReason.REBOOT, wave=name
            )
            line = log_line(STEP.number, wave=name, instance=step.instance)
            effects += [*started, *[line] * bool(started)]
    return effects
