"""The scheduler's reducer: applies events to its state and returns effects.

It is deterministic: it uses no clock, socket or random source. Events carry the time.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from primrosepitch.events import RUN_START_ANSWERED, TERM_TAKEN
from primrosepitch.jobs.model import task_name
from primrosepitch.jobs.records import JobEntry, RunsPart
from primrosepitch.scheduling import events as ev
from primrosepitch.scheduling.advisory import advisory
from primrosepitch.scheduling.availability import may_disrupt
from primrosepitch.scheduling.commits import (
    acknowledge_ends,
    commit_changes,
    fail_unstorable_jobs,
    forget_ended_job,
)
from primrosepitch.scheduling.crashes import resolve_crashes
from primrosepitch.scheduling.effects import Effect, WriteLog
from primrosepitch.scheduling.evacuation import evacuation_changed, log_evacuations
from primrosepitch.scheduling.expansion import find_task
from primrosepitch.scheduling.forecast import (
    queued_pools,
    record_arrival,
    restore_arrivals,
)
from primrosepitch.scheduling.instance_orders import (
    restore_moves,
    restore_wave,
    send_stored_orders,
)
from primrosepitch.scheduling.leases import (
    attach_tasks,
    due_polls,
    endpoint_polled,
    endpoint_removed,
    endpoint_reported,
    expire_leases,
    mark_in_doubt,
    may_grant_leases,
    poll_failed,
    start_obstacle,
    start_order,
)
from primrosepitch.scheduling.lending import lend_instances, move_answered
from primrosepitch.scheduling.maintenance import (
    advance_waves,
    instances_listed,
    maintenance_answered,
    wave_requested,
)
from primrosepitch.scheduling.ordering import begin_pass, rank_steps
from primrosepitch.scheduling.placement import leave_waiting, start_waiting
from primrosepitch.scheduling.runs import (
    add_job,
    cancel_job,
    restore_job,
    run_lost,
    settle_job,
    start_answered,
    stop_ending_jobs,
    stop_task,
)
from primrosepitch.scheduling.slow_endpoints import assess_endpoints
from primrosepitch.scheduling.speed_record import restore_slow_endpoints
from primrosepitch.scheduling.stalls import evict_stalled
from primrosepitch.scheduling.state import (
    SMALL_JOB_COUNT,
    Endpoint,
    Phase,
    PlanningPass,
    SchedulerState,
    Task,
    Ticket,
)
from primrosepitch.scheduling.throttling import throttle_best_effort
from primrosepitch.scheduling.waiting import log_waits
from primrosepitch.scheduling.yielding import yield_best_effort

__all__ = ["step"]

MIN_PLANNING_INTERVAL_S = 0.02
"""Minimum time between planning passes, and between the slices of one; the changes of
one pass share an append."""

PLANNING_INTERVAL_PER_JOB_S = 0.0005
"""Added to ``MIN_PLANNING_INTERVAL_S`` for each open job beyond ``SMALL_JOB_COUNT``: a
pass takes up to 0.1 ms for each on a small instance, and renewals must not be delayed
when a thousand jobs are open."""

MAX_PLANNING_INTERVAL_S = 0.25
"""Maximum time between planning passes, for changes that depend on time alone."""

MAX_SLOWED_INTERVAL_S = 0.5
"""Maximum time between planning passes of a scheduler whose ticks are late, or that has
many open jobs."""

REVIEW_INTERVAL_PER_TASK_S = 0.00001
"""Minimum time between two reviews of leases, orders and endpoints, for each placed
task; a review takes some microseconds for each."""

MAX_RESTORED = 2000
"""Number of jobs, steps and tasks that are restored at a time at the begin of a term;
the heartbeats of the term go on in between."""

Handler = Callable[[SchedulerState, Any], list[Effect]]
_HANDLERS: dict[type, Handler] = {}


def _handles(kind: type) -> Callable[[Handler], Handler]:
    def register(handler: Handler) -> Handler:
        _HANDLERS[kind] = handler
        return handler

    return register


_handles(ev.EndpointReported)(endpoint_reported)
_handles(ev.EndpointRemoved)(endpoint_removed)
_handles(ev.PollFailed)(poll_failed)
_handles(ev.InstancesListed)(instances_listed)
_handles(ev.MaintenanceAnswered)(maintenance_answered)
_handles(ev.MoveAnswered)(move_answered)
_handles(ev.EvacuationChanged)(evacuation_changed)


def step(state: SchedulerState, event: ev.Event) -> list[Effect]:
    """Apply one event to the state.

    :returns: effects to be carried out, in order
    """
    if not state.term and not isinstance(event, _WITHOUT_TERM):
        return []
    return _HANDLERS[type(event)](state, event)


_WITHOUT_TERM = (
    ev.TermTaken,
    ev.ConfigurationChanged,
    ev.WaveRequested,
    ev.EvacuationChanged,
)


@_handles(ev.TermTaken)
def _term_taken(state: SchedulerState, event: ev.TermTaken) -> list[Effect]:
    state.now = state.term_started_at = event.now
    # The claim is the first heartbeat that other nodes read.
    state.renewed_at = state.confirmed_at = event.claimed_at
    state.term = event.term
    state.prior_leases_until = event.prior_leases_until
    state.prior_orders_until = event.prior_orders_until
    state.stored_waves = event.waves
    restore_slow_endpoints(state, event.slow_endpoints)
    for wave in state.waves.values():
        restore_wave(state, wave)
    restore_moves(state, event.moves)
    state.unrestored = sorted(event.jobs.values(), key=_accepted_ms, reverse=True)
    state.stored_runs = event.runs
    effects: list[Effect] = []
    with advisory(effects, "arrivals of earlier terms"):
        restore_arrivals(state, event.jobs.values())
    effects += _restore_jobs(state)
    fields = {
        "term": event.term,
        "jobs": len(state.jobs),
        "unrestored": len(state.unrestored),
        "runs": len(event.runs),
        "leases_s": round(event.prior_leases_until - event.now, 3),
    }
    return [WriteLog(TERM_TAKEN, fields), *effects]


def _restore_jobs(state: SchedulerState) -> list[Effect]:
    """Restore the next jobs of the ledger; nothing is planned before all are."""
    effects: list[Effect] = []
    left = MAX_RESTORED
    while state.unrestored and left > 0:
        entry = state.unrestored.pop()
        spec = entry.spec
        runs = state.stored_runs.get(spec.job) if spec is not None else None
        job = restore_job(state, entry, runs)
        left -= 1
        if job is not None:
            left -= len(job.spec.steps) + (len(runs.tasks) if runs is not None else 0)
            if not job.ending:
                effects += settle_job(state, job)
    if not state.unrestored and state.stored_runs:
        state.ended_runs += [
            RunsPart(job_id, part)
            for job_id, runs in state.stored_runs.items()
            if job_id not in state.jobs
            for part in sorted(runs.parts)
        ]
        state.stored_runs = {}
    if not state.unrestored:
        for endpoint in state.endpoints.values():
            attach_tasks(state, endpoint)
    return effects


def _accepted_ms(entry: JobEntry) -> int:
    return entry.spec.accepted_ms if entry.spec is not None else 0


@_handles(ev.ConfigurationChanged)
def _configuration_changed(
    state: SchedulerState, event: ev.ConfigurationChanged
) -> list[Effect]:
    for name, workspace in state.cfg.workspaces.items():
        state.former_limits[name] = workspace.limit
    state.cfg = event.cfg
    state.servability.set_lending(event.cfg.spare_pool() is not None)
    # Upper limits of workspaces may have changed.
    state.servability.invalidate()
    state.turns.queued = queued_pools(state)
    state.replan = True
    return []


@_handles(ev.WaveRequested)
def _wave_requested(state: SchedulerState, event: ev.WaveRequested) -> list[Effect]:
    return wave_requested(state, event.wave)


@_handles(ev.JobAccepted)
def _job_accepted(state: SchedulerState, event: ev.JobAccepted) -> list[Effect]:
    effects: list[Effect] = []
    if event.spec.job not in state.jobs and event.spec.job not in state.finished:
        job = add_job(state, event.spec)
        with advisory(effects, "arrival rates"):
            record_arrival(state, job)
    return effects


@_handles(ev.CancelRequested)
def _cancel_requested(state: SchedulerState, event: ev.CancelRequested) -> list[Effect]:
    return cancel_job(state, event.job)


@_handles(ev.EndpointPolled)
def _endpoint_polled(state: SchedulerState, event: ev.EndpointPolled) -> list[Effect]:
    state.now = max(state.now, event.now)
    return [*endpoint_polled(state, event), *_advance(state)]


@_handles(ev.StartAnswered)
def _start_answered(state: SchedulerState, event: ev.StartAnswered) -> list[Effect]:
    task = find_task(state, event.task)
    endpoint = state.endpoints.get(event.endpoint)
    if event.outcome is ev.Outcome.OTHER_INCARNATION:
        state.now = max(state.now, event.now)
        mark_in_doubt(state, event.endpoint)
    if task is None or endpoint is None:
        return []
    if task.run != event.run or task.endpoint != event.endpoint:
        return []
    task.order_pending = False
    effects: list[Effect] = []
    if event.outcome is not ev.Outcome.DONE:
        fields = {
            "job": event.task.job,
            "task": task_name(event.task),
            "run": event.run,
            "endpoint": event.endpoint,
            "outcome": event.outcome.value,
        }
        effects.append(WriteLog(RUN_START_ANSWERED, fields))
        if event.outcome is not ev.Outcome.EXPIRED:
            task.order_tries = max(1, task.order_tries + 1)
        task.phase_since = state.now
    if event.outcome not in (ev.Outcome.EXPIRED, ev.Outcome.UNKNOWN):
        endpoint.window.record_answer(event.now)
        state.replan = state.replan or endpoint.starts_left <= 0
    state.now = max(state.now, event.now)
    effects += start_answered(state, task, endpoint, event.outcome)
    if (
        endpoint.next_poll_at > state.now
        and endpoint.processed_end <= endpoint.acked_end
    ):
        endpoint.next_poll_at = min(
            endpoint.next_poll_at, state.now + MAX_POLL_DELAY_AFTER_START_S
        )
    return effects


MAX_POLL_DELAY_AFTER_START_S = 0.2
"""Time after a start by which the endpoint is polled, which extends the leases of its
other runs."""


@_handles(ev.StopAnswered)
def _stop_answered(state: SchedulerState, event: ev.StopAnswered) -> list[Effect]:
    if event.outcome is ev.Outcome.OTHER_INCARNATION:
        state.now = max(state.now, event.now)
        mark_in_doubt(state, event.endpoint)
    task = find_task(state, event.task)
    if task is None or task.run != event.run or task.phase is not Phase.STOPPING:
        return []
    task.stop_pending = False
    if event.outcome is not ev.Outcome.DONE:
        return []
    if not task.started_at:
        # From now on, a poll that doesn't list the run proves that it has ended.
        task.started_at = event.now
    endpoint = state.endpoints.get(event.endpoint)
    if endpoint is not None and endpoint.processed_end <= endpoint.acked_end:
        endpoint.next_poll_at = min(endpoint.next_poll_at, event.now)
    return []


ADVICE_RETRY_PAUSE_S = 0.2
"""Pause after a request for advice that was not answered, or was rejected."""


@_handles(ev.AdviceReceived)
def _advice_received(state: SchedulerState, event: ev.AdviceReceived) -> list[Effect]:
    state.advice_pending.discard(event.step)
    job = state.jobs.get(event.step[0])
    steps = job.steps.get(event.step[1]) if job is not None else None
    if steps is None:
        return []
    if event.allowed is None:
        state.advice_failed.add(event.step)
        steps[event.step[2]].not_before = event.now + ADVICE_RETRY_PAUSE_S
        return []
    state.advice_failed.discard(event.step)
    state.advice_requested.setdefault(event.step, set()).update(event.requested)
    tickets = state.tickets.setdefault(event.step, {})
    for endpoint, text in event.allowed.items():
        tickets[endpoint] = Ticket(text, event.valid_until)
    state.replan = True
    return []


@_handles(ev.Tick)
def _tick(state: SchedulerState, event: ev.Tick) -> list[Effect]:
    state.tick_gap_s = event.now - state.ticked_at if state.ticked_at else 0.0
    state.ticked_at = event.now
    state.now = max(state.now, event.now)
    state.wall_ms = event.wall_ms
    return _advance(state)


def _advance(state: SchedulerState) -> list[Effect]:
    """Run a planning pass if one is due, then commit changes and send due polls.

    While the term is released, nothing new is planned or committed.
    """
    if state.closing:
        return due_polls(state)
    if state.unrestored:
        # Runs that are not known yet would be taken for orphans.
        return [*_restore_jobs(state), *commit_changes(state)]
    effects = stop_ending_jobs(state)
    if state.planning is not None:
        if state.now - state.sliced_at >= _slice_interval_s(state):
            effects += _plan_slice(state, state.planning)
    elif state.now - state.planned_at >= _planning_interval_s(state):
        state.planned_at = state.now
        state.planning = begin_pass(state)
        state.replan = False
        tasks = sum(len(endpoint.tasks) for endpoint in state.endpoints.values())
        if state.now - state.reviewed_at >= tasks * REVIEW_INTERVAL_PER_TASK_S:
            effects += _review(state)
        effects += _plan_slice(state, state.planning)
    if state.now - state.reviewed_at >= MAX_SLOWED_INTERVAL_S:
        effects += _review(state)
    effects += commit_changes(state)
    return [*effects, *due_polls(state)]


def _planning_interval_s(state: SchedulerState) -> float:
    """Return the time after the begin of a planning pass at which the next is due."""
    more_jobs = max(0, len(state.jobs) - SMALL_JOB_COUNT)
    interval_s = MIN_PLANNING_INTERVAL_S + more_jobs * PLANNING_INTERVAL_PER_JOB_S
    interval_s = min(interval_s, MAX_SLOWED_INTERVAL_S)
    if state.pass_cut_short or state.turns_left > 0:
        interval_s = MIN_PLANNING_INTERVAL_S
    elif not state.replan:
        interval_s = max(interval_s, MAX_PLANNING_INTERVAL_S)
    return max(interval_s, _slice_interval_s(state))


def _slice_interval_s(state: SchedulerState) -> float:
    """Return the time after a slice at which the next one is due.

    It leaves the loop time for orders and answers when it falls behind.
    """
    gap_s = min(state.tick_gap_s, MAX_SLOWED_INTERVAL_S)
    return max(MIN_PLANNING_INTERVAL_S, gap_s)


def _review(state: SchedulerState) -> list[Effect]:
    """Review leases, orders, crashes and the condition of endpoints."""
    state.reviewed_at = state.now
    effects = expire_leases(state)
    effects += resolve_crashes(state)
    effects += stop_ending_jobs(state)
    effects += _evict_from_draining(state)
    effects += evict_stalled(state)
    return effects + assess_endpoints(state)


def _plan_slice(state: SchedulerState, plan: PlanningPass) -> list[Effect]:
    """Advance a planning pass, and complete it if no steps are left to be placed."""
    state.sliced_at = state.now
    effects: list[Effect] = []
    if plan.order is None:
        effects += rank_steps(state, plan)
        if plan.order is None or plan.sliced:
            return effects
    effects += start_waiting(state, plan)
    if state.pass_cut_short and plan.sliced:
        return effects
    leave_waiting(plan)
    state.planning = None
    turns = plan.turns if plan.after_change else state.turns_left
    state.turns_left = max(0, turns - 1)
    effects += yield_best_effort(state, plan.waiting)
    with advisory(effects, "log of waits"):
        effects += log_waits(state, plan.waiting)
    with advisory(effects, "log of evacuations"):
        effects += log_evacuations(state)
    effects += advance_waves(state)
    effects += lend_instances(state, plan.waiting)
    return effects + throttle_best_effort(state)


def _evict_from_draining(state: SchedulerState) -> list[Effect]:
    """Stop tasks on draining endpoints, so that they continue elsewhere."""
    effects: list[Effect] = []
    for endpoint in state.endpoints.values():
        if not endpoint.report.draining:
            continue
        for task in list(endpoint.tasks.values()):
            if task.phase is Phase.RUNNING and _should_evict(state, endpoint, task):
                effects += stop_task(state, task, "endpoint draining")
    return effects


def _should_evict(state: SchedulerState, endpoint: Endpoint, task: Task) -> bool:
    """Return whether a task on a draining endpoint should be stopped now."""
    if task.spec.lasting:
        return task.spec.fills or may_disrupt(state, task)
    if not task.spec.checkpoints or task.spec.gang:
        return False
    left_s = task.spec.estimate_ms / 1000 * (1 - task.progress / 100)
    return state.now + left_s > endpoint.report.leaves_at


@_handles(ev.Committed)
def _committed(state: SchedulerState, event: ev.Committed) -> list[Effect]:
    if event.number != state.committing:
        return []
    state.now = max(state.now, event.now)
    state.committing = 0
    state.confirmed_at = state.renewed_at
    effects = fail_unstorable_jobs(state, event.rejected)
    effects += send_stored_orders(state)
    gang_obstacles = {
        task.key[:3]: obstacle
        for task, _ in state.committing_tasks
        if task.spec.gang
        and (
            obstacle := start_obstacle(state, task, state.endpoints.get(task.endpoint))
        )
    }
    for task, run in state.committing_tasks:
        endpoint = state.endpoints.get(task.endpoint)
        if task.run != run or endpoint is None:
            continue
        if task.phase is not Phase.COMMITTING:
            continue
        obstacle = start_obstacle(state, task, endpoint) or gang_obstacles.get(
            task.key[:3], ""
        )
        if obstacle:
            # No order was sent, so the task can start elsewhere.
            effects += run_lost(state, task, obstacle)
        else:
            task.phase = Phase.STARTING
            task.phase_since = state.now
            if may_grant_leases(state) and not endpoint.failed_polls:
                effects.append(start_order(state, task, endpoint))
            else:
                # The commit took too long to grant a lease, or the endpoint may have
                # restarted: the order is sent after the next commit or poll.
                task.order_tries = 1
    state.committing_tasks = []
    acknowledge_ends(state)
    for job_id in [j.spec.job for j in state.jobs.values() if j.state.final]:
        if job_id not in state.changed_jobs:
            forget_ended_job(state, state.jobs.pop(job_id))
    return [*effects, *_advance(state)]
