"""Endpoints: their reports, the leases of what they run, and what they list."""

from __future__ import annotations

from collections import Counter

import msgspec

from primrosepitch.events import (
    ENDPOINT_BACK,
    ENDPOINT_DRAINING,
    ENDPOINT_GONE,
    ENDPOINT_JOINED,
    ENDPOINT_REBORN,
    ENDPOINT_SILENT,
    RUN_ORPHANED,
)
from primrosepitch.jobs.model import task_name
from primrosepitch.scheduling.effects import (
    Effect,
    PollEndpoint,
    StartRun,
    StepDown,
    StopRun,
    WriteLog,
)
from primrosepitch.scheduling.events import (
    ActiveRun,
    EndpointPolled,
    EndpointRemoved,
    EndpointReported,
    Outcome,
    PollFailed,
)
from primrosepitch.scheduling.runs import (
    find_task,
    keep_charged,
    lose_run,
    release_copies,
    run_ended,
    stop_order,
    take_room,
)
from primrosepitch.scheduling.stalls import note_progress
from primrosepitch.scheduling.state import Endpoint, Limits, Phase, SchedulerState, Task

__all__ = [
    "GRANT_S",
    "dark_zones",
    "due_holds",
    "endpoint_gone",
    "endpoint_seen",
    "grants",
    "held",
    "hold_failed",
    "takeover_wait_s",
    "start_order",
    "sweep",
    "usable",
]

HOLD_WAIT_MS = 300
"""Time for which an endpoint may keep a hold open. While one is lost nothing is heard
of the endpoint's ends; shorter ones cost a look more a second."""

HOLD_GAP_S = 0.03
"""Pause between two holds of an endpoint, in which ends gather for one answer."""

RETRY_HOLD_S = 0.15
"""Pause after a failed hold."""

IDLE_LOOK_S = 10.0
"""Interval of looks at an endpoint that runs nothing; its clock may drift by 2 %."""

RELIST_S = 2.0
"""Time in which reports that expired with the store's outage are back."""

RETRY_ORDER_S = 0.05
"""Pause before an unanswered order is repeated; the same run is never started twice."""

SILENT_HOLDS = 2
"""Unanswered looks in a row after which an endpoint counts as silent; a single answer
may be lost."""

COPY_AFTER_HOLDS = 3
"""The same after which tasks that may have copies are started elsewhere."""

GRANT_S = 2.0
"""Time after the newest durable append was sent for which leases are extended. What
runs survives an outage of the store of this and a lease, 5.5 s at the least; a newer
term, which has seen that append, waits as long before it restarts what it can't
reach."""

LAPSE_SLACK_S = 0.1
"""Added to the computed lapse of a lease for the endpoint's own timers."""


def endpoint_seen(state: SchedulerState, event: EndpointReported) -> list[Effect]:
    """Take a report from the platform's store."""
    report = event.report
    endpoint = state.endpoints.get(report.endpoint)
    if endpoint is None:
        endpoint = Endpoint(report, idle_since=state.now)
        state.add_endpoint(endpoint)
        fields = {"endpoint": report.endpoint, "service": report.service}
        return [WriteLog(ENDPOINT_JOINED, fields), *_adopt(state, endpoint)]
    effects: list[Effect] = []
    if report.born < endpoint.report.born:
        return effects
    if report.born > endpoint.report.born:
        effects += _new_life(state, endpoint, report.born)
    if report.draining and not endpoint.report.draining:
        effects.append(WriteLog(ENDPOINT_DRAINING, {"endpoint": report.endpoint}))
        state.replan = True
    endpoint.report = report
    endpoint.listed = True
    return effects


def _adopt(state: SchedulerState, endpoint: Endpoint) -> list[Effect]:
    """Attach the tasks that the ledger places on an endpoint."""
    effects: list[Effect] = []
    for task in state.unseen.pop(endpoint.id, []):
        if task.endpoint != endpoint.id or not task.placed:
            continue
        if task.born < endpoint.report.born:
            effects += lose_run(state, task, "endpoint restarted")
        else:
            take_room(endpoint, task)
            endpoint.lapse_at = max(endpoint.lapse_at, state.prior_leases_until)
    return effects


def _new_life(state: SchedulerState, endpoint: Endpoint, born: int) -> list[Effect]:
    """Start anew with an endpoint that has restarted: it runs nothing of before."""
    effects: list[Effect] = [
        WriteLog(ENDPOINT_REBORN, {"endpoint": endpoint.id, "born": born})
    ]
    for task in list(endpoint.tasks.values()):
        effects += lose_run(state, task, "endpoint restarted")
    endpoint.contacted = endpoint.reachable = False
    endpoint.processed = endpoint.acked_end = 0
    endpoint.clock_ms, endpoint.clock_at = 0, 0.0
    endpoint.hold_at = 0.0
    endpoint.evacuating = ""
    state.committing_acks.pop(endpoint.id, None)
    return effects


def endpoint_gone(state: SchedulerState, event: EndpointRemoved) -> list[Effect]:
    """Note that an endpoint's report was removed."""
    endpoint = state.endpoints.get(event.endpoint)
    if endpoint is None or not endpoint.listed:
        return []
    endpoint.listed = False
    endpoint.gone_at = event.now
    state.replan = True
    return [WriteLog(ENDPOINT_GONE, {"endpoint": endpoint.id})]


def dark_zones(state: SchedulerState) -> set[str]:
    """Return the zones that this node mostly can't reach."""
    count: Counter[str] = Counter()
    for endpoint in state.endpoints.values():
        if endpoint.listed and (endpoint.contacted or endpoint.failed_holds):
            count[endpoint.report.zone] += 1 if endpoint.reachable else -1
    return {zone for zone, balance in count.items() if balance < 0}


def usable(state: SchedulerState, endpoint: Endpoint) -> bool:
    """Return whether an endpoint may get new tasks."""
    listed = endpoint.listed or state.now - endpoint.gone_at < RELIST_S
    return (
        listed
        and endpoint.contacted
        and endpoint.reachable
        and not endpoint.report.draining
        and not endpoint.evacuating
        and state.now >= endpoint.eject_until
    )


def grants(state: SchedulerState) -> bool:
    """Return whether leases may be given: a successor waits for no later ones."""
    return state.now - state.confirmed_at <= GRANT_S


def until(state: SchedulerState, endpoint: Endpoint) -> int:
    """Return the end of a lease granted now, on the endpoint's clock.

    The bound by which it lapses is kept: the endpoint's clock may run slow.
    """
    elapsed_s = state.now - endpoint.clock_at
    until_ms = endpoint.clock_ms + int((elapsed_s + state.limits.lease_s) * 1000)
    span_s = (until_ms - endpoint.clock_ms) / 1000 / (1 - state.limits.clock_error)
    lapse = endpoint.clock_at + span_s + LAPSE_SLACK_S
    endpoint.lapse_at = max(endpoint.lapse_at, lapse)
    return until_ms


def due_holds(state: SchedulerState) -> list[Effect]:
    """Return the holds that are due."""
    return [
        _hold(state, endpoint)
        for endpoint in state.endpoints.values()
        if not endpoint.holding and state.now >= endpoint.hold_at
    ]


def _hold(state: SchedulerState, endpoint: Endpoint) -> PollEndpoint:
    endpoint.holding = True
    # A silent endpoint's leases are left to lapse, so that its tasks can run elsewhere.
    working = endpoint.contacted and endpoint.reachable and bool(endpoint.tasks)
    working = working and grants(state)
    waits = working and not endpoint.failed_holds
    return PollEndpoint(
        endpoint.id,
        endpoint.report.address,
        until(state, endpoint) if working else 0,
        endpoint.acked_end,
        HOLD_WAIT_MS if waits else 0,
        state.term,
    )


def hold_failed(state: SchedulerState, event: PollFailed) -> list[Effect]:
    """Note that an endpoint did not answer; its tasks go when their leases lapse."""
    endpoint = state.endpoints.get(event.endpoint)
    if endpoint is None:
        return []
    endpoint.holding = False
    endpoint.hold_at = event.now + RETRY_HOLD_S * min(4, endpoint.failed_holds)
    if event.outcome is Outcome.FENCED:
        return [StepDown(f"{endpoint.id} has a higher fencing token")]
    endpoint.failed_holds += 1
    lost = event.outcome is Outcome.UNKNOWN and endpoint.failed_holds < SILENT_HOLDS
    if not endpoint.reachable or lost:
        return []
    endpoint.reachable = False
    state.replan = True
    for other in state.endpoints.values():
        if other.report.zone == endpoint.report.zone and not other.tasks:
            # What cut this one off may concern its neighbours.
            other.hold_at = min(other.hold_at, event.now)
    fields = {
        "endpoint": endpoint.id,
        "outcome": event.outcome.value,
        "tasks": len(endpoint.tasks),
        "lapse_in_s": round(endpoint.lapse_at - event.now, 2),
    }
    return [WriteLog(ENDPOINT_SILENT, fields)]


def held(state: SchedulerState, event: EndpointPolled) -> list[Effect]:
    """Take an endpoint's lists."""
    endpoint = state.endpoints.get(event.endpoint)
    if endpoint is None:
        return []
    endpoint.holding = False
    effects: list[Effect] = []
    if event.born < endpoint.report.born:
        return effects
    if event.born > endpoint.report.born:
        # The report of the new life is still on its way.
        effects += _new_life(state, endpoint, event.born)
        endpoint.report = msgspec.structs.replace(endpoint.report, born=event.born)
    if not endpoint.reachable:
        if endpoint.failed_holds:
            effects.append(WriteLog(ENDPOINT_BACK, {"endpoint": endpoint.id}))
        state.replan = True
    first = not endpoint.reachable
    endpoint.contacted = endpoint.reachable = True
    endpoint.failed_holds = 0
    endpoint.clock_ms, endpoint.clock_at = event.clock_ms, event.now
    for ended in event.ended:
        if ended.number > endpoint.processed:
            endpoint.processed = ended.number
            effects += run_ended(state, endpoint, ended)
    effects += _compare(state, endpoint, event)
    endpoint.hold_at = _next_hold(state, endpoint, first)
    return effects


def _next_hold(state: SchedulerState, endpoint: Endpoint, first: bool) -> float:
    if endpoint.processed > endpoint.acked_end:
        # The next hold confirms the ends; it follows when they are durable.
        return state.now + 1.0
    if not endpoint.tasks:
        return state.now + IDLE_LOOK_S
    return state.now if first else state.now + HOLD_GAP_S


def _compare(
    state: SchedulerState, endpoint: Endpoint, event: EndpointPolled
) -> list[Effect]:
    """Compare what runs with what should."""
    effects: list[Effect] = []
    listed = {row.task: row for row in event.running}
    for task in list(endpoint.tasks.values()):
        row = listed.pop(task.key, None)
        if row is not None and row.run == task.run:
            _seen_running(state, task, row)
        elif _absent(task, event.sent):
            effects += lose_run(state, task, "not listed by its endpoint")
    for row in listed.values():
        effects += _orphan(state, endpoint, row)
    return effects


def _absent(task: Task, sent: float) -> bool:
    """Return whether a run that is not listed can't be there or come later."""
    if task.phase is Phase.RUNNING:
        return task.started < sent
    if task.phase is Phase.STARTING:
        return task.tries < 0
    if task.phase is Phase.STOPPING:
        return 0 < task.started < sent or task.tries < 0
    return False


def _seen_running(state: SchedulerState, task: Task, row: ActiveRun) -> None:
    if task.phase is Phase.STARTING:
        task.phase = Phase.RUNNING
        task.started = task.since = state.now
        task.tries = 0
    if row.checkpoint:
        task.checkpoint = row.checkpoint
    note_progress(state, task, row.percent)
    task.load = row.load
    working = row.percent >= 100
    if working and not task.working:
        task.away_at = 0.0
    task.working = working


def _orphan(state: SchedulerState, endpoint: Endpoint, row: ActiveRun) -> list[Effect]:
    task = find_task(state, row.task)
    placed_here = task is not None and task.endpoint == endpoint.id and task.placed
    if task is not None and placed_here and task.run == row.run:
        return []
    fields = {
        "job": row.task.job,
        "task": task_name(row.task),
        "run": row.run,
        "endpoint": endpoint.id,
    }
    address = endpoint.report.address
    order = StopRun(endpoint.id, address, row.task, row.run, state.term)
    return [WriteLog(RUN_ORPHANED, fields), order]


def start_order(state: SchedulerState, task: Task, endpoint: Endpoint) -> StartRun:
    """Return the order that starts a task's run."""
    tickets = state.tickets.get(task.key[:3], {})
    ticket = tickets.get(endpoint.id)
    return StartRun(
        endpoint.id,
        endpoint.report.address,
        task.key,
        task.run,
        state.jobs[task.key.job].spec.payload,
        until(state, endpoint),
        task.checkpoint,
        ticket.text if ticket is not None else "",
        state.term,
    )


def sweep(state: SchedulerState) -> list[Effect]:
    """Give up runs whose leases have lapsed, and repeat orders without an answer."""
    effects: list[Effect] = []
    release_copies(state)
    for endpoint in list(state.endpoints.values()):
        if endpoint.tasks and not endpoint.reachable:
            if state.now > endpoint.lapse_at and (
                endpoint.contacted or state.now > state.prior_leases_until
            ):
                for task in list(endpoint.tasks.values()):
                    effects += lose_run(state, task, "lease lapsed")
            elif endpoint.contacted and endpoint.failed_holds >= COPY_AFTER_HOLDS:
                effects += _run_copies(state, endpoint)
        elif endpoint.tasks:
            effects += _repeat_orders(state, endpoint)
        unused = not (endpoint.listed or endpoint.tasks or endpoint.holding)
        if unused and state.now - endpoint.gone_at > RELIST_S:
            state.drop_endpoint(endpoint)
    if state.now > state.prior_leases_until:
        for endpoint_id in list(state.unseen):
            for task in state.unseen.pop(endpoint_id):
                if task.endpoint == endpoint_id and task.placed:
                    effects += lose_run(state, task, "its endpoint has not come back")
    return effects


def _run_copies(state: SchedulerState, endpoint: Endpoint) -> list[Effect]:
    """Let tasks that may have copies run elsewhere before their leases lapse."""
    effects: list[Effect] = []
    service = state.cfg.services.get(endpoint.report.service)
    if service is not None and not service.admission_check:
        # A copy that has to be stopped would still take room that is given away.
        return effects
    for task in list(endpoint.tasks.values()):
        if task.spec.duplicates and task.phase in (Phase.STARTING, Phase.RUNNING):
            keep_charged(state, task, endpoint.lapse_at)
            effects += lose_run(state, task, "its endpoint is silent; copies may run")
    return effects


def _repeat_orders(state: SchedulerState, endpoint: Endpoint) -> list[Effect]:
    effects: list[Effect] = []
    for task in endpoint.tasks.values():
        if task.tries < 0 or state.now - task.since < RETRY_ORDER_S:
            continue
        if task.phase is Phase.STARTING and task.tries and grants(state):
            task.since = state.now
            effects.append(start_order(state, task, endpoint))
        elif task.phase is Phase.STOPPING:
            task.since = state.now
            effects.append(stop_order(state, task, endpoint))
    return effects


def takeover_wait_s(limits: Limits, ended: bool = False) -> float:
    """Return how long an earlier term's runs may outlast its last append unseen.

    :param ended: whether its scheduler surely extends no lease any more
    """
    lapse_s = limits.lease_s / (1 - limits.clock_error) + LAPSE_SLACK_S
    return lapse_s if ended else GRANT_S + lapse_s
