"""Maintenance waves: selects, drains and maintains their instances."""

from __future__ import annotations

import math

from primrosepitch.events import EVACUATING, UPKEEP_ANSWERED, WAVE_COMPLETED, WAVE_SEEN
from primrosepitch.scheduling.availability import may_disrupt
from primrosepitch.scheduling.configuration import WaveSpec
from primrosepitch.scheduling.effects import (
    Effect,
    ReportWaveStatus,
    WriteLog,
)
from primrosepitch.scheduling.events import (
    InstancesListed,
    InstanceState,
    InstanceView,
    MaintenanceAnswered,
    Outcome,
)
from primrosepitch.scheduling.instance_orders import (
    MAINTENANCE_REASON,
    leaves_uncertain,
    list_instances,
    maintenance_order,
    may_order_instances,
    restore_wave,
)
from primrosepitch.scheduling.runs import stop_task
from primrosepitch.scheduling.state import (
    Endpoint,
    Phase,
    PlannedOrder,
    SchedulerState,
    Task,
    WaveRun,
)

__all__ = [
    "advance_waves",
    "evacuate",
    "instances_listed",
    "maintenance_answered",
    "wave_requested",
]

DOWN_SLACK_S = 1.0
"""Added to the duration of maintenance for a delayed start and for the answer."""

MIN_IDLE_S = 1.0
"""Time without tasks after which an endpoint counts as idle."""

DRAIN_DURATION_S = 6.0
"""Estimated time to drain an endpoint: the longest common tasks take 4 s, and often
only one task of a lasting step may be unavailable at a time."""

DEADLINE_MARGIN_S = 5.0
"""Time before its due time by which a wave should be complete."""

URGENCY_FACTOR = 2.0
"""Factor on the minimum duration of the rest of a wave, in the test whether it is
urgent: a takeover and the draining of busy instances take about as long again."""

MIN_ABSENT_LISTS = 2
"""Number of lists in succession that lack an instance which has left the platform."""

REFUSAL_PAUSE_S = 0.5
"""Pause after an instance has refused an order for its maintenance; it doubles with
each further refusal."""

MAX_REFUSAL_PAUSE_S = 4.0

LIST_INTERVAL_S = 1.5
"""Interval between listings of the instances during a wave."""


def wave_requested(state: SchedulerState, spec: WaveSpec) -> list[Effect]:
    """Add a wave that an operator requests, or replace what it requests."""
    wave = state.waves.get(spec.wave)
    if wave is not None and wave.spec.asks_same(spec):
        return []
    if wave is None:
        wave = state.waves[spec.wave] = WaveRun(spec)
        restore_wave(state, wave)
    else:
        wave.spec, wave.status = spec, ""
        wave.absent.clear()
        wave.selected.intersection_update(spec.instances)
        wave.dirty = True
    wave.requested_at = state.now
    known = {e.report.instance for e in state.endpoints.values()}
    wave.seen |= known.union(state.instances).intersection(spec.instances)
    state.next_list_at = 0.0
    fields = {
        "wave": spec.wave,
        "instances": len(spec.instances),
        "most_at_once": spec.most_at_once,
    }
    return [WriteLog(WAVE_SEEN, fields)]


def instances_listed(state: SchedulerState, event: InstancesListed) -> list[Effect]:
    """Store the platform's list of instances."""
    state.listing_pending = False
    if event.listing is None:
        state.next_list_at = event.now + LIST_INTERVAL_S
        return []
    views = {view.instance: view for view in event.listing.instances}
    for view in views.values():
        state.servability.add_instance(view.capacity, view.labels, view.instance)
    began_at = state.listing_began_at
    # The list may not show yet what an order has changed since it was requested.
    for instance, changed_at in list(state.instances_changed.items()):
        if changed_at < began_at:
            del state.instances_changed[instance]
        elif instance in views and instance in state.instances:
            views[instance] = state.instances[instance]
    state.listing_complete = event.listing.complete
    for wave in state.waves.values():
        _record_presence(state, wave, views)
    # An incomplete list does not show which instances have left the platform.
    state.instances = views if state.listing_complete else state.instances | views
    state.listed_at = event.now
    state.next_list_at = event.now + LIST_INTERVAL_S
    return []


def _record_presence(
    state: SchedulerState, wave: WaveRun, views: dict[str, InstanceView]
) -> None:
    """Record which instances of a wave a new list contains."""
    newer = state.listing_began_at > wave.requested_at
    for instance in wave.spec.instances:
        if instance in views:
            del wave.absent[instance]
            wave.gone.discard(instance)
            _mark_seen(wave, instance)
        elif newer and state.listing_complete:
            wave.absent[instance] += 1


def _mark_seen(wave: WaveRun, instance: str) -> None:
    if instance not in wave.seen:
        wave.seen.add(instance)
        wave.dirty = True


def advance_waves(state: SchedulerState) -> list[Effect]:
    """Advance every open wave, and end the evacuations that none needs any more."""
    _end_evacuations(state)
    effects: list[Effect] = []
    open_waves = [w for w in state.waves.values() if w.status != "completed"]
    if not open_waves or not may_order_instances(state, state.limits.instance_lease_s):
        return effects
    if state.now >= state.next_list_at:
        effects += list_instances(state)
    if state.listed_at < state.term_started_at:
        return effects
    for wave in sorted(open_waves, key=lambda w: w.spec.due):
        effects += _advance(state, wave)
    return effects


def _advance(state: SchedulerState, wave: WaveRun) -> list[Effect]:
    effects: list[Effect] = []
    not_begun = [i for i in wave.spec.instances if i not in wave.begun]
    if all(i in wave.gone or _is_gone(state, wave, i) for i in not_begun):
        # It may have been complete already, without a report by the last scheduler.
        wave.status = "completed"
        wave.gone.update(not_begun)
        wave.dirty = True
        wave.selected.clear()
        fields = {"wave": wave.spec.wave, "gone": len(not_begun)}
        effects.append(WriteLog(WAVE_COMPLETED, fields))
        return [*effects, ReportWaveStatus(wave.spec.wave, completed=True)]
    if not wave.status:
        wave.status = "running"
        effects.append(ReportWaveStatus(wave.spec.wave, completed=False))
    for instance in sorted(wave.repeat):
        effects.append(maintenance_order(state, instance, wave.spec.wave))
    wave.repeat.clear()
    # Others have left the platform, or are not on it yet.
    remaining = [i for i in not_begun if i in state.instances]
    wave.selected &= set(remaining)
    _maintain_drained(state, wave)
    effects += _select_next(state, wave, remaining)
    for instance in sorted(wave.selected - wave.ordered):
        endpoint = _endpoint_on(state, state.instances[instance])
        if endpoint is not None:
            endpoint.evacuation_reason = MAINTENANCE_REASON
            effects += evacuate(state, endpoint)
    return effects


def _is_gone(state: SchedulerState, wave: WaveRun, instance: str) -> bool:
    """Return whether an instance is certain to have left the platform.

    That a wave is complete is final. A list that was requested before the wave was read
    may predate the instance, and one may lack it by chance. An instance that was never
    seen may be about to come, so it is waited for until the wave has to end.
    """
    if instance in wave.ordered or wave.absent[instance] < MIN_ABSENT_LISTS:
        return False
    endpoint = state.endpoint_on(instance)
    if endpoint is not None and endpoint.listed:
        return False
    ends_soon = state.now >= wave.spec.due - DEADLINE_MARGIN_S
    return instance in wave.seen or ends_soon


def _down_count(state: SchedulerState, wave: WaveRun) -> int:
    """Return the number of instances that are or may be down for the wave."""
    down = {i for i, at in wave.down_until.items() if state.now < at}
    down |= {
        view.instance
        for view in state.instances.values()
        if view.state is InstanceState.MAINTENANCE
        and view.instance in wave.spec.instances
    }
    return len(down | wave.ordered)


def _maintain_drained(state: SchedulerState, wave: WaveRun) -> None:
    """Plan the maintenance of selected instances that have no tasks."""
    for instance in sorted(wave.selected - wave.ordered):
        if _down_count(state, wave) >= wave.spec.most_at_once:
            break
        view = state.instances[instance]
        endpoint = _endpoint_on(state, view)
        if view.state is not InstanceState.UP:
            continue
        if endpoint is not None and (endpoint.tasks or not endpoint.contacted):
            continue
        wave.ordered.add(instance)
        wave.dirty = True
        state.planned_orders.append(PlannedOrder(instance, wave.spec.wave))


def _select_next(
    state: SchedulerState, wave: WaveRun, remaining: list[str]
) -> list[Effect]:
    """Select the instances to maintain next.

    Idle instances come first, up to the number that may be down. Busy ones are drained
    only as many at a time as are needed to complete the wave in time.
    """
    candidates = [
        i
        for i in remaining
        if i not in wave.selected and state.now >= wave.not_before.get(i, 0.0)
    ]
    candidates.sort(key=lambda i: _disruption_cost(state, state.instances[i]))
    idle = [i for i in candidates if _is_idle(state, state.instances[i])]
    max_idle = wave.spec.most_at_once - len(wave.selected)
    if not _urgent(state, wave, len(remaining)):
        # Idle instances beyond that number stay unselected, so they can still be lent.
        max_idle -= _down_count(state, wave)
    busy = [i for i in candidates if i not in idle]
    draining = [i for i in wave.selected if not _is_idle(state, state.instances[i])]
    max_busy = _concurrent_drains(state, wave, len(busy) + len(draining)) - len(
        draining
    )
    effects: list[Effect] = []
    for instance in idle[: max(0, max_idle)] + busy[: max(0, max_busy)]:
        wave.selected.add(instance)
        fields = {"instance": instance, "wave": wave.spec.wave}
        effects.append(WriteLog(EVACUATING, fields))
    return effects


def _urgent(state: SchedulerState, wave: WaveRun, remaining_count: int) -> bool:
    """Return whether a wave needs every idle instance to complete in time."""
    batches = math.ceil(remaining_count / wave.spec.most_at_once)
    needs_s = batches * (state.limits.maintenance_s + DOWN_SLACK_S)
    return state.now + URGENCY_FACTOR * needs_s > wave.spec.due - DEADLINE_MARGIN_S


def _concurrent_drains(state: SchedulerState, wave: WaveRun, busy_count: int) -> int:
    """Return how many busy instances must be drained at a time to finish in time."""
    time_s = max(0.1, wave.spec.due - DEADLINE_MARGIN_S - state.now)
    each_s = DRAIN_DURATION_S + state.limits.maintenance_s
    return min(math.ceil(busy_count * each_s / time_s), 2 * wave.spec.most_at_once)


def _is_idle(state: SchedulerState, view: InstanceView) -> bool:
    """Return whether an instance is switched off or has been idle for ``MIN_IDLE_S``.

    An instance that has just joined a pool does not count, since work is about to start
    on it.
    """
    endpoint = _endpoint_on(state, view)
    if endpoint is None:
        return True
    return not endpoint.tasks and state.now - endpoint.idle_since > MIN_IDLE_S


def _disruption_cost(state: SchedulerState, view: InstanceView) -> tuple[float, ...]:
    endpoint = _endpoint_on(state, view)
    if endpoint is None:
        return (0.0, 0.0, 0.0)
    lasting = sum(task.spec.lasting for task in endpoint.tasks.values())
    return (1.0, float(lasting), float(endpoint.used.cpu))


def _endpoint_on(state: SchedulerState, view: InstanceView) -> Endpoint | None:
    """Return the endpoint on an instance.

    Reports take precedence over the listing, which may predate the newest endpoint.
    """
    return state.endpoint_on(view.instance) or state.endpoints.get(view.endpoint)


def evacuate(state: SchedulerState, endpoint: Endpoint) -> list[Effect]:
    """Stop an endpoint's movable tasks as far as availability budgets allow.

    Tasks that are neither lasting nor save checkpoints run to their end.
    """
    effects: list[Effect] = []
    for task in list(endpoint.tasks.values()):
        if task.phase is Phase.RUNNING and _movable(state, task):
            effects += stop_task(state, task, endpoint.evacuation_reason)
    return effects


def _movable(state: SchedulerState, task: Task) -> bool:
    if task.spec.lasting:
        return task.spec.fills or may_disrupt(state, task)
    return task.spec.checkpoints and not task.spec.gang


def maintenance_answered(
    state: SchedulerState, event: MaintenanceAnswered
) -> list[Effect]:
    """Handle the answer to a maintenance order."""
    wave = state.waves.get(event.wave)
    if wave is None:
        return []
    fields = {
        "instance": event.instance,
        "wave": event.wave,
        "outcome": event.outcome.value,
    }
    effects: list[Effect] = [WriteLog(UPKEEP_ANSWERED, fields)]
    down_s = state.limits.maintenance_s + DOWN_SLACK_S
    known_until = wave.down_until.get(event.instance, 0.0)
    wave.down_until[event.instance] = event.now + down_s
    was_uncertain = event.instance in wave.uncertain
    if leaves_uncertain(event.outcome, was_uncertain):
        wave.uncertain.add(event.instance)
        wave.repeat.add(event.instance)
        return effects
    wave.ordered.discard(event.instance)
    wave.uncertain.discard(event.instance)
    wave.dirty = True
    if event.outcome is Outcome.DONE:
        state.set_instance_state(event.instance, InstanceState.MAINTENANCE)
        wave.begun.add(event.instance)
        wave.selected.discard(event.instance)
        del wave.refusals[event.instance]
    else:
        if event.outcome in (Outcome.REFUSED, Outcome.BUSY):
            _delay_order(state, wave, event.instance)
        if not (was_uncertain and event.outcome is Outcome.BUSY):
            # A busy one may be down for the order that was not answered.
            wave.down_until[event.instance] = known_until
        wave.selected.discard(event.instance)
        _cancel_evacuation(state, event.instance)
    return effects


def _delay_order(state: SchedulerState, wave: WaveRun, instance: str) -> None:
    """Let an instance wait that has refused an order; that proves no maintenance."""
    pause_s = REFUSAL_PAUSE_S * 2 ** min(wave.refusals[instance], 10)
    wave.refusals[instance] += 1
    wave.not_before[instance] = state.now + min(pause_s, MAX_REFUSAL_PAUSE_S)


def _end_evacuations(state: SchedulerState) -> None:
    """Allow tasks on endpoints that run on after their instance's maintenance.

    An order is also answered with success if an earlier one, perhaps of another node,
    had been carried out: the endpoint that was evacuated is then the one that has
    started after it. One that is about to end gives no more answers to polls.
    """
    for endpoint in state.endpoints.values():
        if endpoint.evacuation_reason != MAINTENANCE_REASON:
            continue
        instance = endpoint.report.instance
        waves = [w for w in state.waves.values() if instance in w.spec.instances]
        down_until = max((w.down_until.get(instance, 0.0) for w in waves), default=0.0)
        if state.now <= down_until or any(_holds(wave, instance) for wave in waves):
            continue
        if not endpoint.reachable:
            continue
        if endpoint.clock_read_at > down_until:
            endpoint.evacuation_reason = ""
            state.replan = True
        else:
            endpoint.next_poll_at = min(endpoint.next_poll_at, state.now)


def _holds(wave: WaveRun, instance: str) -> bool:
    """Return whether a wave drains an instance or waits for the answer to its order."""
    if wave.status == "completed":
        return instance in wave.ordered - wave.uncertain
    return instance in wave.selected or instance in wave.ordered


def _cancel_evacuation(state: SchedulerState, instance: str) -> None:
    """Allow tasks on an endpoint again, since its maintenance was not carried out."""
    view = state.instances.get(instance)
    endpoint = _endpoint_on(state, view) if view is not None else None
    if endpoint is not None and endpoint.evacuation_reason == MAINTENANCE_REASON:
        endpoint.evacuation_reason = ""
        state.replan = True
