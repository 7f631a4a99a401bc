"""Recognizes tasks that crash the endpoints that start them (poison pills).

An endpoint that crashes takes its list of ended runs with it, so no end counts against
the task that caused the crash. Without a count of its own, such a task is started on
every endpoint of its pool in turn. Each run that is lost on an endpoint that does not
answer is therefore recorded with its task, and counts as crashed once a later
incarnation of that endpoint, or of its instance, shows that the endpoint has ended.

Neighbours lose their runs in the same crash, so one count proves nothing. Suspected
tasks of different jobs start on different endpoints, and a task with two counts starts
alone. Its job fails if three endpoints have crashed before they listed the run, one of
them while it was alone there. A sound task meets that only by three crashes for other
reasons, each within half a second of its start. With slower crashes it takes five.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from primrosepitch.events import CRASH_COUNTED, CRASH_REFUTED, TASK_GIVEN_UP
from primrosepitch.jobs.model import EndpointId, JobId, ServiceName, task_name
from primrosepitch.jobs.records import RunCrash
from primrosepitch.scheduling.effects import Effect, WriteLog
from primrosepitch.scheduling.limits import within_limit
from primrosepitch.scheduling.state import (
    Endpoint,
    JobRun,
    Phase,
    SchedulerState,
    Task,
)

__all__ = [
    "IsolatedTrials",
    "clear_survivor",
    "in_trial",
    "is_held",
    "needs_isolation",
    "refute_listed",
    "resolve_crashes",
    "starts_with_job",
    "suspect_crash",
    "trial_cost",
]

TRIAL_S = 0.5
"""Time for which a run must be listed by its endpoint until other suspected tasks may
start there."""

SURVIVAL_S = 1.5
"""Time for which a run must be listed by its endpoint to clear its task of earlier
crashes; a crash after it is not put down to the task."""

ISOLATION_CRASHES = 2
"""Number of crashes after which a task starts only alone on an endpoint, or at first
with the lasting tasks of its own job."""

MAX_EARLY_CRASHES = 3
"""Number of crashes before the run was listed after which a task is given up, if it was
alone in a crash after the first ``ISOLATION_CRASHES``; otherwise it takes one more."""

MAX_CRASHES = 5
"""Number of crashes after which a task is given up in any case."""

MAX_LISTED_CRASHES = 2 * MAX_CRASHES
"""Number of supposed crashes of a task that are remembered."""

MAX_ISOLATION_WAIT_S = 2.0
"""Time after which an isolated task starts although its endpoint is not empty yet."""

TRIAL_FRACTION = 0.25
"""Fraction of a pool's endpoints that isolated tasks may occupy at a time; at least
one."""

OUTAGE_ENDPOINTS = 3
"""Minimum number of instances that are lost together in an outage. It takes more than
half of all instances as well. Crashes in an outage count for ``MAX_CRASHES`` only."""

OUTAGE = "outage"
"""Proof of a crash in an outage."""

OUTAGE_S = 1.5
"""Time within which the endpoints of an outage are lost; polls notice it one by one."""

TAKEOVER_SETTLE_S = 0.5
"""Time after a takeover in which no crash is counted: the endpoints' reports are read
one after the other, and an outage shows only in most of them."""


def in_trial(task: Task) -> bool:
    """Return whether a task's run has not been seen to survive its start yet."""
    return task.placed and not _listed_for(task, TRIAL_S)


def _listed_for(task: Task, seconds: float) -> bool:
    return task.started_at > 0 and task.reported_at - task.started_at >= seconds


def needs_isolation(task: Task) -> bool:
    """Return whether a task may only start alone on an endpoint."""
    counted = sum(crash.proof != OUTAGE for crash in task.crashes)
    return not task.spec.gang and counted >= ISOLATION_CRASHES


def starts_with_job(task: Task) -> bool:
    """Return whether an isolated task starts together with others of its job.

    Sound lasting tasks would wait too long for each other. If the endpoint crashes once
    more, each of them starts alone.
    """
    return task.spec.lasting and len(task.crashes) == ISOLATION_CRASHES


def is_held(task: Task) -> bool:
    """Return whether a task must wait until it is known which endpoints crashed."""
    return not task.spec.gang and len(task.crashes) >= MAX_CRASHES


def suspect_crash(
    state: SchedulerState, endpoint: Endpoint | None, tasks: Iterable[Task]
) -> None:
    """Record that runs may have been lost in a crash of their endpoint.

    :param endpoint: their endpoint; ``None`` if it is not known
    :param tasks: all tasks that are still placed there
    """
    if endpoint is not None and (
        endpoint.report.draining or endpoint.evacuation_reason
    ):
        # It may have left as planned.
        return
    begun = [task for task in tasks if _may_have_begun(task)]
    instance = endpoint.report.instance if endpoint is not None else ""
    for task in begun:
        recorded = any(crash.run == task.run for crash in task.crashes)
        if recorded or _listed_for(task, SURVIVAL_S):
            continue
        crash = RunCrash(
            task.run,
            task.endpoint,
            task.born,
            instance,
            len(begun) - 1,
            listed=task.reported_at > 0,
        )
        task.crashes = (*task.crashes, crash)[-MAX_LISTED_CRASHES:]
        state.crashed_tasks[task.key] = task
        state.mark_dirty(task)


def _may_have_begun(task: Task) -> bool:
    """Return whether a start order may have reached the endpoint."""
    if task.phase is Phase.STARTING:
        # Orders that were all answered as not sent have certainly not.
        return task.order_tries <= 0 or task.unanswered
    return task.phase in (Phase.RUNNING, Phase.STOPPING)


def clear_survivor(state: SchedulerState, task: Task, ended: bool = False) -> None:
    """Clear a task of earlier crashes if its present run has survived.

    :param ended: whether the run has ended by itself, which its endpoint lists
    """
    if task.crashes and (ended or _listed_for(task, SURVIVAL_S)):
        task.crashes = ()
        state.crashed_tasks.pop(task.key, None)
        state.mark_dirty(task)


def refute_listed(state: SchedulerState, task: Task, run: int) -> list[Effect]:
    """Take back the crash of a run that an endpoint lists although it has restarted.

    The start order has reached the new incarnation, so the run began after the crash.
    """
    effects: list[Effect] = []
    for crash in task.crashes:
        if crash.run == run:
            effects += _refute(state, task, crash, "listed")
    return effects


def resolve_crashes(state: SchedulerState) -> list[Effect]:
    """Count the crashes that are proved by now, and give up tasks with too many."""
    if state.now - state.term_started_at < TAKEOVER_SETTLE_S:
        return []
    effects: list[Effect] = []
    for task in list(state.crashed_tasks.values()):
        job = state.jobs.get(task.key.job)
        done = task.phase is Phase.DONE
        if job is None or job.failing or job.cancelled or done:
            del state.crashed_tasks[task.key]
            continue
        for crash in task.crashes:
            if crash.proof:
                continue
            proof = _find_proof(state, crash)
            if proof:
                proof = OUTAGE if _in_outage(state, crash) else proof
                effects += _count(state, task, crash, proof)
            elif _refuted(state, crash):
                effects += _refute(state, task, crash, "alive")
        effects += _give_up(state, job, task)
        if not task.crashes:
            del state.crashed_tasks[task.key]
    return effects


def _find_proof(state: SchedulerState, crash: RunCrash) -> str:
    """Return what proves that a crash has ended its endpoint, or an empty string."""
    endpoint = state.endpoints.get(crash.endpoint)
    if endpoint is not None and endpoint.report.born != crash.born:
        return "endpoint restarted"
    newest = state.endpoint_on(crash.instance) if crash.instance else None
    if newest is not None and newest.report.born > crash.born:
        return "instance restarted"
    return ""


def _refuted(state: SchedulerState, crash: RunCrash) -> bool:
    """Return whether the endpoint of a supposed crash is alive or left as planned."""
    endpoint = state.endpoints.get(crash.endpoint)
    if endpoint is None or endpoint.report.born != crash.born:
        return False
    planned = endpoint.report.draining or bool(endpoint.evacuation_reason)
    return planned or (endpoint.reachable and not endpoint.failed_polls)


def _in_outage(state: SchedulerState, crash: RunCrash) -> bool:
    """Return whether most instances were lost at about the time of a crash."""
    crashed = state.endpoints.get(crash.endpoint)
    if crashed is None:
        return False
    known: set[str] = set()
    lost: set[str] = set()
    for endpoint in state.endpoints.values():
        instance = endpoint.report.instance or endpoint.id
        if endpoint.contacted or endpoint.lost_at > 0:
            known.add(instance)
        if abs(endpoint.lost_at - crashed.lost_at) <= OUTAGE_S:
            lost.add(instance)
    return len(lost) >= OUTAGE_ENDPOINTS and 2 * len(lost) > len(known)


def _refute(
    state: SchedulerState, task: Task, crash: RunCrash, reason: str
) -> list[Effect]:
    task.crashes = tuple(other for other in task.crashes if other is not crash)
    state.mark_dirty(task)
    return [WriteLog(CRASH_REFUTED, {**_fields(task, crash), "why": reason})]


def _count(
    state: SchedulerState, task: Task, crash: RunCrash, proof: str
) -> list[Effect]:
    counted = crash._replace(proof=proof)
    task.crashes = tuple(counted if c is crash else c for c in task.crashes)
    state.mark_dirty(task)
    if proof == OUTAGE:
        return [WriteLog(CRASH_REFUTED, {**_fields(task, crash), "why": proof})]
    count = sum(bool(c.proof) for c in task.crashes)
    fields = {
        "proof": proof,
        "listed": crash.listed,
        "count": count,
        "suspected": len(task.crashes) - count,
    }
    return [WriteLog(CRASH_COUNTED, {**_fields(task, crash), **fields})]


def _fields(task: Task, crash: RunCrash) -> dict[str, object]:
    return {
        "job": task.key.job,
        "task": task_name(task.key),
        "run": crash.run,
        "endpoint": crash.endpoint,
        "others": crash.others,
    }


def _give_up(state: SchedulerState, job: JobRun, task: Task) -> list[Effect]:
    """Mark a task's job as failing if it has crashed too many endpoints."""
    proved = [crash for crash in task.crashes if crash.proof not in ("", OUTAGE)]
    early = sum(not crash.listed for crash in proved)
    alone = any(not crash.others for crash in proved[ISOLATION_CRASHES:])
    given_up = (
        (early >= MAX_EARLY_CRASHES and alone)
        or early > MAX_EARLY_CRASHES
        or (
            len(task.crashes) >= MAX_CRASHES
            and (len(proved) >= ISOLATION_CRASHES or all(c.proof for c in task.crashes))
        )
    )
    if not given_up:
        return []
    job.failing = True
    job.to_stop = dict(job.placed)
    state.ending_jobs[job.spec.job] = job
    fields = {
        "job": task.key.job,
        "task": task_name(task.key),
        "crashes": len(task.crashes),
        "endpoints": sorted({crash.endpoint for crash in task.crashes}),
    }
    return [WriteLog(TASK_GIVEN_UP, fields)]


def trial_cost(task: Task, endpoint: Endpoint) -> tuple[int, ...]:
    """Return the cost of starting a suspected task on an endpoint.

    The tasks of a job are often alike, so they are tried together. Suspected tasks of
    other jobs start elsewhere, so that the next crash tells the jobs apart.
    """
    trials = [t for t in endpoint.tasks.values() if t.crashes and in_trial(t)]
    same_job = sum(t.key.job == task.key.job for t in trials)
    crashed = _crashed_on(task, endpoint)
    return (int(crashed), len(trials) - same_job, int(not same_job))


class IsolatedTrials:
    """Endpoints of a planning pass on which isolated tasks run or may start.

    They get no other tasks. While isolated tasks wait, some endpoints are reserved and
    so become empty.
    """

    def __init__(
        self, state: SchedulerState, pools: dict[ServiceName, list[Endpoint]]
    ) -> None:
        """Remove the endpoints from ``pools``."""
        self._state = state
        self._jobs: set[JobId] = set()
        self._reserved: dict[ServiceName, list[Endpoint]] = {}
        reserved_since, state.reserved_since = state.reserved_since, {}
        if not state.crashed_tasks:
            return
        for endpoint in state.endpoints.values():
            self._jobs |= {t.key.job for t in endpoint.tasks.values() if _isolated(t)}
        for service, pool in pools.items():
            occupied = {e.id for e in pool if any(map(_isolated, e.tasks.values()))}
            free = [e for e in pool if e.id not in occupied]
            left = max(1, int(len(pool) * TRIAL_FRACTION)) - len(occupied)
            for task in self._waiting(service):
                suitable = [e for e in free if self._suitable(task, e)]
                if left <= 0 or not suitable:
                    continue
                left -= 1
                chosen = min(suitable, key=_reservation_cost(task, reserved_since))
                free.remove(chosen)
                self._reserved.setdefault(service, []).append(chosen)
                since = reserved_since.get(chosen.id, state.now)
                state.reserved_since[chosen.id] = since
            pools[service] = free

    def reserved(self, service: ServiceName) -> list[Endpoint]:
        """Return the reserved endpoints of a pool."""
        return self._reserved.get(service, [])

    def may_start(self, task: Task, endpoint: Endpoint) -> bool:
        """Return whether a task may start on a reserved endpoint now."""
        since = self._state.reserved_since[endpoint.id]
        waited = self._state.now - since > MAX_ISOLATION_WAIT_S
        empty_or_waited = not endpoint.tasks or waited
        if starts_with_job(task) and any(
            other.key.job == task.key.job and starts_with_job(other) and in_trial(other)
            for other in endpoint.tasks.values()
        ):
            return True
        return task.key.job not in self._jobs and empty_or_waited

    def record_start(self, task: Task, endpoint: Endpoint) -> None:
        """Record that a task was placed on a reserved endpoint."""
        self._jobs.add(task.key.job)
        if starts_with_job(task):
            return
        for endpoints in self._reserved.values():
            if endpoint in endpoints:
                endpoints.remove(endpoint)

    def _waiting(self, service: ServiceName) -> list[Task]:
        """Return one isolated task of each job that has none on trial."""
        found: dict[JobId, Task] = {}
        for task in self._state.crashed_tasks.values():
            job = self._state.jobs.get(task.key.job)
            if (
                job is not None
                and job.spec.service == service
                and not (job.failing or job.cancelled)
                and task.key.job not in self._jobs
                and task.phase is Phase.WAITING
                and needs_isolation(task)
                and not is_held(task)
                and within_limit(self._state, task.workspace, task.spec.quota_request)
            ):
                found.setdefault(task.key.job, task)
        return list(found.values())

    def _suitable(self, task: Task, endpoint: Endpoint) -> bool:
        """Return whether an endpoint could run a task, now or once it is empty."""
        label, step = task.spec.label, task.key[:3]
        most = task.spec.most_per_endpoint
        siblings = sum(other.key[:3] == step for other in endpoint.tasks.values())
        requested = self._state.advice_requested.get(step, set())
        refused = endpoint.id in requested and endpoint.id not in (
            self._state.tickets.get(step, {})
        )
        return (
            not refused
            and not 0 < most <= siblings
            and (not label or label in endpoint.report.labels)
            and task.spec.needs.fits(endpoint.report.capacity)
            and (not endpoint.has_lasting or endpoint.has_room(task.spec.needs))
        )


def _reservation_cost(
    task: Task, reserved_since: dict[EndpointId, float]
) -> Callable[[Endpoint], tuple[bool, bool, bool, bool, int]]:
    def cost(endpoint: Endpoint) -> tuple[bool, bool, bool, bool, int]:
        return (
            endpoint.has_lasting,
            bool(endpoint.tasks),
            _crashed_on(task, endpoint),
            endpoint.id not in reserved_since,
            len(endpoint.tasks),
        )

    return cost


def _isolated(task: Task) -> bool:
    """Return whether a task runs alone as long as it may crash its endpoint."""
    return needs_isolation(task) and in_trial(task)


def _crashed_on(task: Task, endpoint: Endpoint) -> bool:
    return any(
        crash.endpoint == endpoint.id
        or (crash.instance and crash.instance == endpoint.report.instance)
        for crash in task.crashes
    )
