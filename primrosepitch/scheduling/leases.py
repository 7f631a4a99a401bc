"""Tracks endpoints: their reports, the leases of their runs, and the polls of both."""

from __future__ import annotations

from collections import Counter

import msgspec

from primrosepitch.events import (
    ENDPOINT_BACK,
    ENDPOINT_DRAINING,
    ENDPOINT_ENDS_CUT,
    ENDPOINT_GONE,
    ENDPOINT_JOINED,
    ENDPOINT_RESTARTED,
    ENDPOINT_SILENT,
    RUN_ORPHANED,
)
from primrosepitch.jobs.model import EndpointId, Resources, task_name
from primrosepitch.scheduling.crashes import (
    clear_survivor,
    refute_listed,
    suspect_crash,
)
from primrosepitch.scheduling.effects import (
    Effect,
    PollEndpoint,
    StartRun,
    StepDown,
    StopRun,
    ThrottleRun,
    WriteLog,
)
from primrosepitch.scheduling.endpoint_speed import EndpointSpeed
from primrosepitch.scheduling.evacuation import (
    EVACUATED,
    is_evacuated,
    withhold_start,
)
from primrosepitch.scheduling.events import (
    ActiveRun,
    EndpointPolled,
    EndpointRemoved,
    EndpointReport,
    EndpointReported,
    Outcome,
    PollFailed,
)
from primrosepitch.scheduling.expansion import find_task
from primrosepitch.scheduling.instance_orders import has_open_order, prior_order
from primrosepitch.scheduling.runs import (
    CAPACITY_SHRUNK,
    abandon_start,
    charge_duplicate,
    confirm_soundness,
    record_begun,
    release_duplicates,
    reserve_capacity,
    run_ended,
    run_lost,
    stop_order,
    stop_task,
)
from primrosepitch.scheduling.speed_record import restore_speed
from primrosepitch.scheduling.stalls import record_progress
from primrosepitch.scheduling.state import (
    Endpoint,
    LeaseBound,
    Limits,
    Phase,
    SchedulerState,
    Task,
)

__all__ = [
    "LEASE_GRANT_WINDOW_S",
    "attach_tasks",
    "unreachable_zones",
    "due_polls",
    "endpoint_removed",
    "endpoint_reported",
    "may_grant_leases",
    "endpoint_polled",
    "poll_failed",
    "takeover_wait_s",
    "renewed_order",
    "mark_in_doubt",
    "start_obstacle",
    "start_order",
    "exclusion",
    "expire_leases",
    "usable",
]

POLL_WAIT_MS = 300
"""Time for which an endpoint may delay its answer to a poll. When a poll is lost, run
ends aren't received until the poll times out; a shorter wait costs one more poll a
second."""

POLL_PAUSE_S = 0.03
"""Pause between two polls of an endpoint, so that one answer carries several ends."""

POLL_RETRY_PAUSE_S = 0.15
"""Pause after a failed poll, multiplied by the number of earlier failures, up to 4."""

IDLE_POLL_INTERVAL_S = 10.0
"""Interval between polls of an endpoint without tasks, which refresh the reading of its
clock: the clock may drift by 2 %."""

RELIST_GRACE_S = 2.0
"""Time for which an endpoint without a report is still used: after an outage of the
store, endpoints renew their expired reports within this time."""

ORDER_RETRY_PAUSE_S = 0.05
"""Pause before an unanswered order is repeated. Orders are idempotent: endpoints never
start a run twice."""

MAX_START_TRIES = 6
"""Unanswered start orders after which a run is stopped, to start it elsewhere, although
its endpoint answers polls."""

UNREACHABLE_AFTER_POLLS = 2
"""Unanswered polls in succession after which an endpoint counts as unreachable: a
single answer may be lost."""

DUPLICATE_AFTER_POLLS = 3
"""Failed polls in succession after which duplicates of tasks that allow them are
started on other endpoints."""

LEASE_GRANT_WINDOW_S = 2.0
"""Time after the newest durable append was sent in which leases are granted. Runs
survive an outage of the store for this time and one lease, 5.5 s at the least. A newer
term, which has read that append, waits as long before it restarts runs of endpoints
that it can't reach."""

OTHER_KIND = "its endpoint lacks the required label"
"""Reason for which a task whose start order was not sent or answered runs elsewhere."""

EXPIRY_SLACK_S = 0.1
"""Added to the computed expiry of a lease for the delay of the endpoint's timers."""


def endpoint_reported(state: SchedulerState, event: EndpointReported) -> list[Effect]:
    """Handle an endpoint's report from the platform's store."""
    report = event.report
    endpoint = state.endpoints.get(report.endpoint)
    if endpoint is None:
        endpoint = Endpoint(report, idle_since=state.now)
        endpoint.evacuation_reason = prior_order(state, report.instance, report.service)
        state.add_endpoint(endpoint)
        fields = {"endpoint": report.endpoint, "service": report.service}
        attach_tasks(state, endpoint)
        restore_speed(state, endpoint)
        return [WriteLog(ENDPOINT_JOINED, fields)]
    effects: list[Effect] = []
    if not endpoint.listed:
        endpoint.listed = True
        state.replan = True
    if endpoint.contacted and report.born != endpoint.report.born:
        # Its own answers tell which incarnation there is: an entry may come from
        # another writer, and its time of day may have been set back at its restart.
        endpoint.next_poll_at = event.now
        endpoint.announced = report
        endpoint.in_doubt_since = event.now
        if any(not task.listed for task in endpoint.tasks.values()):
            # A call that was sent before may be carried out late, on another clock.
            endpoint.extend_expiry(_latest_expiry(state), LeaseBound.RESTART)
        return effects
    if report.born != endpoint.report.born:
        endpoint.speed = EndpointSpeed()
    if report.draining and not endpoint.report.draining:
        effects.append(WriteLog(ENDPOINT_DRAINING, {"endpoint": report.endpoint}))
        state.replan = True
    state.replace_report(endpoint, report)
    return effects


def attach_tasks(state: SchedulerState, endpoint: Endpoint) -> None:
    """Attach the tasks that the ledger places on an endpoint.

    The first poll shows whether their runs exist, even if the endpoint has restarted
    since they were placed: the start order may have reached the new incarnation.
    """
    tasks = state.unattached.pop(endpoint.id, [])
    lost = [task for task in tasks if task.born < endpoint.report.born]
    if lost:
        endpoint.lost_at = state.now
        suspect_crash(state, endpoint, lost)
    for task in tasks:
        if task.endpoint != endpoint.id or not task.placed:
            continue
        reserve_capacity(endpoint, task)
        endpoint.extend_expiry(state.prior_leases_until, LeaseBound.TAKEOVER)
        if task.born < endpoint.report.born:
            endpoint.extend_expiry(_latest_expiry(state), LeaseBound.RESTART)


def _endpoint_restarted(
    state: SchedulerState, endpoint: Endpoint, born: int
) -> list[Effect]:
    """Reset the state of an endpoint that has restarted and so lost its runs."""
    effects: list[Effect] = [
        WriteLog(ENDPOINT_RESTARTED, {"endpoint": endpoint.id, "born": born})
    ]
    earlier = [task for task in endpoint.tasks.values() if task.born != born]
    suspect_crash(state, endpoint, earlier)
    if endpoint.reachable:
        endpoint.lost_at = state.now
    # A successor may know the incarnation of a run before that of its endpoint.
    for task in earlier:
        if task.unanswered or task.order_pending or task.order_tries < 0:
            effects += _await_restarted(state, task, born)
        else:
            effects += run_lost(state, task, "endpoint restarted")
    # A call that was sent before may be carried out late, on another clock.
    endpoint.extend_expiry(_latest_expiry(state), LeaseBound.RESTART)
    endpoint.contacted = endpoint.reachable = False
    endpoint.processed_end = endpoint.acked_end = endpoint.discarded_end = 0
    endpoint.unstored_ends.clear()
    endpoint.clock_ms, endpoint.clock_read_at = 0, 0.0
    endpoint.lease_until_ms = 0
    endpoint.next_poll_at = 0.0
    for key in list(endpoint.stopping):
        endpoint.release_stopping(key)
    if not has_open_order(state, endpoint.report.instance):
        endpoint.evacuation_reason = ""
    endpoint.fault_score = endpoint.ejected_until = endpoint.cold_since = 0.0
    endpoint.speed = EndpointSpeed()
    for step in state.advice_requested:
        state.forget_advice(step, endpoint.id)
    state.committing_acks.pop(endpoint.id, None)
    return effects


def _latest_expiry(state: SchedulerState) -> float:
    """Return when a lease given now on the clock of an earlier incarnation expires.

    It ends late on the clock of the new one, which shortens it to the maximum.
    """
    span_s = state.limits.max_lease_s / (1 - state.limits.clock_error)
    return state.now + span_s + EXPIRY_SLACK_S


def _await_restarted(state: SchedulerState, task: Task, born: int) -> list[Effect]:
    """Keep a run whose start order may still be carried out by the new incarnation.

    An order that was not answered is precluded by a stop; it is not repeated, as the
    run may have crashed the endpoint. Whether that of an earlier term was sent is not
    known; its run exists if the next poll lists it.
    """
    task.born = born
    state.mark_dirty(task)
    if task.order_tries < 0:
        return []
    task.started_at = 0.0
    return stop_task(state, task, "endpoint restarted")


def mark_in_doubt(state: SchedulerState, endpoint_id: EndpointId) -> None:
    """Poll an endpoint that another incarnation than the known one has answered for."""
    endpoint = state.endpoints.get(endpoint_id)
    if endpoint is not None:
        endpoint.in_doubt_since = endpoint.next_poll_at = state.now
        state.replan = True


def endpoint_removed(state: SchedulerState, event: EndpointRemoved) -> list[Effect]:
    """Handle the removal of an endpoint's report."""
    endpoint = state.endpoints.get(event.endpoint)
    if endpoint is None or not endpoint.listed:
        return []
    endpoint.listed = False
    endpoint.unlisted_at = event.now
    state.replan = True
    return [WriteLog(ENDPOINT_GONE, {"endpoint": endpoint.id})]


def unreachable_zones(state: SchedulerState) -> set[str]:
    """Return the zones in which this node can't reach most endpoints."""
    count: Counter[str] = Counter()
    for endpoint in state.endpoints.values():
        if endpoint.listed and (endpoint.contacted or endpoint.failed_polls):
            count[endpoint.report.zone] += 1 if endpoint.reachable else -1
    return {zone for zone, balance in count.items() if balance < 0}


def exclusion(state: SchedulerState, endpoint: Endpoint) -> str:
    """Return why no tasks may be placed on an endpoint, or an empty string."""
    if is_evacuated(state, endpoint):
        return EVACUATED
    if not endpoint.listed and state.now - endpoint.unlisted_at >= RELIST_GRACE_S:
        return "not listed"
    if not endpoint.contacted:
        return "not contacted"
    if not endpoint.reachable:
        return "unreachable"
    if endpoint.in_doubt_since:
        return "incarnation in doubt"
    if endpoint.report.draining:
        return "draining"
    if endpoint.evacuation_reason:
        return f"evacuated for {endpoint.evacuation_reason}"
    return "ejected" if state.now < endpoint.ejected_until else ""


def usable(state: SchedulerState, endpoint: Endpoint) -> bool:
    """Return whether tasks may be placed on an endpoint."""
    return not exclusion(state, endpoint)


def may_grant_leases(state: SchedulerState) -> bool:
    """Return whether leases may be granted.

    A successor waits only for leases granted within ``LEASE_GRANT_WINDOW_S`` of the
    newest durable append.
    """
    return state.now - state.confirmed_at <= LEASE_GRANT_WINDOW_S


def grant_lease(state: SchedulerState, endpoint: Endpoint) -> int:
    """Return the end of a lease granted now, on the endpoint's clock.

    ``leases_expire_at`` is raised to the latest time by which the lease expires, given
    that the endpoint's clock may run slow. An endpoint that has not answered the last
    poll gets no later end: it may be down, and its tasks can start elsewhere only when
    every lease that it may have got has expired.
    """
    if endpoint.failed_polls and endpoint.lease_until_ms:
        return endpoint.lease_until_ms
    # A slow clock has advanced by less than the time since its reading. Counting the
    # least keeps each lease within what a successor waits for, however old the reading.
    rate = 1 - state.limits.clock_error
    advanced_s = (state.now - endpoint.clock_read_at) * rate
    until_ms = endpoint.clock_ms + int((advanced_s + state.limits.lease_s) * 1000)
    span_s = (until_ms - endpoint.clock_ms) / 1000 / rate
    expires_at = endpoint.clock_read_at + span_s + EXPIRY_SLACK_S
    endpoint.extend_expiry(expires_at, LeaseBound.GRANT)
    endpoint.granted_at = state.now
    endpoint.lease_until_ms = until_ms
    return until_ms


def due_polls(state: SchedulerState) -> list[Effect]:
    """Return the polls that are due."""
    return [
        _poll_order(state, endpoint)
        for endpoint in state.endpoints.values()
        if not endpoint.polling and state.now >= endpoint.next_poll_at
    ]


def _poll_order(state: SchedulerState, endpoint: Endpoint) -> PollEndpoint:
    endpoint.polling = True
    # Leases on unreachable endpoints may expire, so that the tasks can run elsewhere.
    extend_leases = endpoint.contacted and endpoint.reachable and bool(endpoint.tasks)
    extend_leases = (
        extend_leases and may_grant_leases(state) and not endpoint.failed_polls
    )
    # Another incarnation would count the lease from its own clock, and discard its own
    # ends up to that number.
    extend_leases = extend_leases and endpoint.poll_connection > 0
    acked_end = endpoint.acked_end if endpoint.poll_connection else 0
    return PollEndpoint(
        endpoint.id,
        _poll_address(endpoint),
        grant_lease(state, endpoint) if extend_leases else 0,
        acked_end if acked_end > endpoint.discarded_end else 0,
        endpoint.poll_connection,
        POLL_WAIT_MS if extend_leases else 0,
        state.term,
    )


def _poll_address(endpoint: Endpoint) -> str:
    """Return the address to poll; every other failed poll tries the announced one.

    A new incarnation may listen at another address.
    """
    if endpoint.announced is not None and endpoint.failed_polls % 2:
        return endpoint.announced.address
    return endpoint.report.address


def poll_failed(state: SchedulerState, event: PollFailed) -> list[Effect]:
    """Handle a failed poll.

    The tasks of an unreachable endpoint are lost only when their leases have expired.
    """
    endpoint = state.endpoints.get(event.endpoint)
    if endpoint is None:
        return []
    endpoint.polling = False
    endpoint.poll_connection = 0
    endpoint.next_poll_at = event.now + POLL_RETRY_PAUSE_S * min(
        4, endpoint.failed_polls
    )
    if event.outcome is Outcome.FENCED:
        return [StepDown(f"{endpoint.id} has a higher fencing token")]
    endpoint.failed_polls += 1
    answer_may_be_lost = (
        event.outcome is Outcome.UNKNOWN
        and endpoint.failed_polls < UNREACHABLE_AFTER_POLLS
    )
    if not endpoint.reachable or answer_may_be_lost:
        return []
    endpoint.reachable = False
    endpoint.lost_at = event.now
    state.replan = True
    for other in state.endpoints.values():
        if other.report.zone == endpoint.report.zone and not other.tasks:
            # Other endpoints of the zone may be cut off by the same fault, so they are
            # polled at once.
            other.next_poll_at = min(other.next_poll_at, event.now)
    fields = {
        "endpoint": endpoint.id,
        "outcome": event.outcome.value,
        "tasks": len(endpoint.tasks),
        "lapse_in_s": round(endpoint.leases_expire_at - event.now, 2),
    }
    return [WriteLog(ENDPOINT_SILENT, fields)]


def endpoint_polled(state: SchedulerState, event: EndpointPolled) -> list[Effect]:
    """Handle an endpoint's answer to a poll."""
    endpoint = state.endpoints.get(event.endpoint)
    if endpoint is None:
        return []
    endpoint.polling = False
    effects: list[Effect] = []
    if event.born != endpoint.report.born:
        if event.born < endpoint.report.born and event.sent_at < endpoint.clock_read_at:
            # A later incarnation has answered meanwhile.
            endpoint.next_poll_at = event.now + POLL_PAUSE_S
            return effects
        # The time of day may have been set back, so its start may seem earlier.
        effects += _endpoint_restarted(state, endpoint, event.born)
        report = _report_of_incarnation(state, endpoint, event.born)
        state.replace_report(endpoint, report)
    if not endpoint.reachable:
        if endpoint.failed_polls:
            effects.append(WriteLog(ENDPOINT_BACK, {"endpoint": endpoint.id}))
        state.replan = True
    first_contact = not endpoint.reachable
    endpoint.contacted = endpoint.reachable = True
    endpoint.failed_polls = 0
    if event.sent_at >= endpoint.in_doubt_since:
        endpoint.in_doubt_since = 0.0
    endpoint.clock_ms, endpoint.clock_read_at = event.clock_ms, event.now
    endpoint.discarded_end = max(endpoint.discarded_end, event.acked_end)
    endpoint.poll_connection = event.connection
    already_processed = endpoint.processed_end
    for ended in event.ended:
        if ended.number > endpoint.processed_end:
            endpoint.processed_end = ended.number
            effects += run_ended(state, endpoint, ended)
    if not event.lists_all_ends and endpoint.processed_end > already_processed:
        fields = {
            "endpoint": endpoint.id,
            "listed": len(event.ended),
            "up_to": endpoint.processed_end,
            "tasks": len(endpoint.tasks),
        }
        effects.append(WriteLog(ENDPOINT_ENDS_CUT, fields))
    effects += _reconcile(state, endpoint, event)
    endpoint.next_poll_at = _next_poll_at(state, endpoint, first_contact)
    return effects


def _report_of_incarnation(
    state: SchedulerState, endpoint: Endpoint, born: int
) -> EndpointReport:
    """Return the report of an incarnation that an answer to a poll has shown.

    An endpoint may restart as another kind. Until its report is read, it has no kind,
    and no capacity if it would start whatever it is told to.
    """
    if endpoint.announced is not None and endpoint.announced.born == born:
        return endpoint.announced
    earlier = endpoint.report
    # The rack stays with the instance.
    labels = ("", *earlier.labels[1:])
    report = msgspec.structs.replace(earlier, born=born, labels=labels)
    if _checks_admission(state, endpoint):
        return report
    return msgspec.structs.replace(report, capacity=Resources())


def _checks_admission(state: SchedulerState, endpoint: Endpoint) -> bool:
    """Return whether an endpoint certainly refuses tasks that exceed its capacity.

    That of a service that the configuration does not contain may not.
    """
    service = state.cfg.services.get(endpoint.report.service)
    return service is not None and service.admission_check


def _next_poll_at(
    state: SchedulerState, endpoint: Endpoint, first_contact: bool
) -> float:
    if endpoint.in_doubt_since:
        return state.now
    if endpoint.processed_end > endpoint.acked_end:
        # The next poll acknowledges the ends; it follows when they are durable.
        return state.now + 1.0
    if endpoint.acked_end > endpoint.discarded_end:
        return state.now + POLL_PAUSE_S
    if not endpoint.tasks and not endpoint.stopping:
        return state.now + IDLE_POLL_INTERVAL_S
    return state.now if first_contact else state.now + POLL_PAUSE_S


def _reconcile(
    state: SchedulerState, endpoint: Endpoint, event: EndpointPolled
) -> list[Effect]:
    """Reconcile the runs that an endpoint lists with those placed on it."""
    effects: list[Effect] = []
    listed = {row.task: row for row in event.running}
    for key, (_, since) in list(endpoint.stopping.items()):
        if key not in listed and event.sent_at > since:
            endpoint.release_stopping(key)
            state.replan = True
    for task in list(endpoint.tasks.values()):
        row = listed.pop(task.key, None)
        if row is not None and row.run == task.run:
            _update_run(state, task, row)
            effects += refute_listed(state, task, row.run)
            confirm_soundness(state, endpoint, task)
        elif _confirmed_absent(task, event):
            effects += run_lost(state, task, "not listed by its endpoint")
        elif _refused_and_unlisted(task, event):
            # The unanswered order may still arrive: a stop order precludes it.
            reason = "start refused after an unanswered order"
            effects += stop_task(state, task, reason)
    for row in listed.values():
        record_begun(state, row.task.job)
        effects += _stop_orphan(state, endpoint, row)
    return effects


def _confirmed_absent(task: Task, event: EndpointPolled) -> bool:
    """Return whether an unlisted run has no end to come and can't start later."""
    if not event.lists_all_ends:
        return False
    if task.phase is Phase.RUNNING:
        return task.started_at < event.sent_at
    if task.phase is Phase.STARTING:
        return task.order_tries < 0
    if task.phase is Phase.STOPPING:
        return 0 < task.started_at < event.sent_at or task.order_tries < 0
    return False


def _refused_and_unlisted(task: Task, event: EndpointPolled) -> bool:
    """Return whether an unanswered start was refused, and has not been carried out."""
    refused = task.phase is Phase.STARTING and 0 < task.refused_at < event.sent_at
    return refused and event.lists_all_ends


def _update_run(state: SchedulerState, task: Task, row: ActiveRun) -> None:
    task.listed = True
    record_begun(state, task.key.job)
    if task.phase is Phase.STARTING:
        task.phase = Phase.RUNNING
        task.started_at = task.phase_since = state.now
        task.order_tries = 0
    if row.checkpoint:
        task.checkpoint = row.checkpoint
    record_progress(state, task, row.percent)
    clear_survivor(state, task)
    task.load = row.load
    at_full_rate = row.percent >= 100
    if at_full_rate and not task.at_full_rate:
        task.unavailable_since = 0.0
    task.at_full_rate = at_full_rate


def _stop_orphan(
    state: SchedulerState, endpoint: Endpoint, row: ActiveRun
) -> list[Effect]:
    task = find_task(state, row.task)
    placed_here = task is not None and task.endpoint == endpoint.id and task.placed
    if task is not None and placed_here and task.run == row.run:
        return []
    fields: dict[str, object] = {
        "job": row.task.job,
        "task": task_name(row.task),
        "run": row.run,
        "endpoint": endpoint.id,
    }
    if task is not None and row.run == task.lost_run and not task.spec.duplicates:
        fields["outlived_s"] = round(state.now - task.lost_at, 3)
        state.outlived_runs += 1
    report = endpoint.report
    order = StopRun(
        endpoint.id, report.address, report.born, row.task, row.run, state.term
    )
    return [WriteLog(RUN_ORPHANED, fields), order]


def start_order(state: SchedulerState, task: Task, endpoint: Endpoint) -> StartRun:
    """Return the order that starts a task's run, with a lease granted now."""
    tickets = state.tickets.get(task.key[:3], {})
    ticket = tickets.get(endpoint.id)
    task.order_pending = True
    return StartRun(
        endpoint.id,
        endpoint.report.address,
        endpoint.report.born,
        task.key,
        task.run,
        state.jobs[task.key.job].spec.payload,
        grant_lease(state, endpoint),
        task.checkpoint,
        ticket.text if ticket is not None else "",
        state.term,
    )


def start_obstacle(state: SchedulerState, task: Task, endpoint: Endpoint | None) -> str:
    """Return why no start order of a task may be sent, or an empty string."""
    if endpoint is None:
        return ""
    if is_evacuated(state, endpoint):
        return EVACUATED
    if endpoint.report.draining:
        return "endpoint draining"
    if _lacks_label(task, endpoint):
        return OTHER_KIND
    if not endpoint.reachable:
        return "endpoint silent"
    if endpoint.in_doubt_since:
        return "endpoint may have restarted"
    return CAPACITY_SHRUNK if endpoint.overcommitted else ""


def renewed_order(
    state: SchedulerState, order: StartRun | StopRun | ThrottleRun, now: float
) -> StartRun | StopRun | ThrottleRun | None:
    """Return an order that has waited for its turn as it would be given now.

    :param now: boot-time clock
    :returns: ``None`` if it would not be given
    """
    state.now = max(state.now, now)
    if not may_grant_leases(state):
        return None
    if not isinstance(order, StartRun):
        return order
    task, endpoint = find_task(state, order.task), state.endpoints.get(order.endpoint)
    if task is None or endpoint is None or start_obstacle(state, task, endpoint):
        return None
    starting = task.phase in (Phase.STARTING, Phase.RUNNING)
    if not starting or task.run != order.run or endpoint.failed_polls:
        return None
    return start_order(state, task, endpoint)


def expire_leases(state: SchedulerState) -> list[Effect]:
    """Mark runs as lost whose leases have expired, and repeat unanswered orders."""
    effects: list[Effect] = []
    release_duplicates(state)
    for endpoint in list(state.endpoints.values()):
        if endpoint.tasks and not endpoint.reachable:
            if state.now > endpoint.leases_expire_at and (
                endpoint.contacted or state.now > state.prior_leases_until
            ):
                suspect_crash(state, endpoint, endpoint.tasks.values())
                inputs = _expiry_inputs(state, endpoint)
                for task in list(endpoint.tasks.values()):
                    effects += run_lost(state, task, "lease expired", inputs)
            elif endpoint.contacted and endpoint.failed_polls >= DUPLICATE_AFTER_POLLS:
                effects += _start_duplicates(state, endpoint)
        elif endpoint.tasks:
            effects += _retry_orders(state, endpoint)
        unused = not (endpoint.listed or endpoint.tasks or endpoint.polling)
        if unused and state.now - endpoint.unlisted_at > RELIST_GRACE_S:
            state.drop_endpoint(endpoint)
    if state.now > state.prior_leases_until:
        for endpoint_id in list(state.unattached):
            tasks = state.unattached.pop(endpoint_id)
            suspect_crash(state, None, tasks)
            for task in tasks:
                if task.endpoint == endpoint_id and task.placed:
                    effects += run_lost(
                        state, task, "its endpoint sent no report after the takeover"
                    )
    return effects


def _expiry_inputs(state: SchedulerState, endpoint: Endpoint) -> dict[str, object]:
    """Return what the expiry of an endpoint's leases was computed from, for the log."""
    inputs: dict[str, object] = {
        "bound": endpoint.lease_bound.value,
        "born": endpoint.report.born,
        "expired_s": round(state.now - endpoint.leases_expire_at, 3),
    }
    if endpoint.granted_at:
        inputs["granted_s"] = round(state.now - endpoint.granted_at, 3)
    if endpoint.clock_read_at:
        inputs["clock_read_s"] = round(state.now - endpoint.clock_read_at, 3)
    return inputs


def _start_duplicates(state: SchedulerState, endpoint: Endpoint) -> list[Effect]:
    """Let tasks that allow duplicates run elsewhere before their leases expire."""
    effects: list[Effect] = []
    if not _checks_admission(state, endpoint):
        # Such endpoints don't refuse excess tasks, and a duplicate that is being
        # stopped still uses capacity that has already been assigned to another task.
        return effects
    suspect_crash(state, endpoint, endpoint.tasks.values())
    for task in list(endpoint.tasks.values()):
        if len(task.crashes) > 1:
            # Nothing is gained by a duplicate that crashes its endpoint as well.
            continue
        if task.spec.duplicates and task.phase in (Phase.STARTING, Phase.RUNNING):
            charge_duplicate(state, task, endpoint.leases_expire_at)
            effects += run_lost(
                state,
                task,
                "its endpoint does not answer; a duplicate may run elsewhere",
            )
    return effects


def _retry_orders(state: SchedulerState, endpoint: Endpoint) -> list[Effect]:
    effects: list[Effect] = []
    for task in list(endpoint.tasks.values()):
        if task.phase is Phase.STARTING and is_evacuated(state, endpoint):
            effects += withhold_start(state, task)
            continue
        if task.phase is Phase.STARTING and task.order_tries >= MAX_START_TRIES:
            effects += abandon_start(state, task, endpoint)
            continue
        if state.now - task.phase_since < ORDER_RETRY_PAUSE_S:
            continue
        if task.phase is Phase.STARTING and (task.order_tries < 0 or task.refused_at):
            # The next poll shows whether the run exists.
            continue
        if (
            task.phase is Phase.STARTING
            and task.order_tries
            and _must_not_start(task, endpoint)
        ):
            effects += stop_task(state, task, start_obstacle(state, task, endpoint))
        elif (
            task.phase is Phase.STARTING
            and task.order_tries
            and not task.order_pending
            and may_grant_leases(state)
            and not (endpoint.failed_polls or endpoint.in_doubt_since)
        ):
            task.phase_since = state.now
            effects.append(start_order(state, task, endpoint))
        elif task.phase is Phase.STOPPING and not task.stop_pending:
            task.phase_since = state.now
            effects.append(stop_order(state, task, endpoint))
    return effects


def _must_not_start(task: Task, endpoint: Endpoint) -> bool:
    """Return whether an endpoint that answers must not get a task's start order."""
    return (
        endpoint.report.draining
        or endpoint.overcommitted
        or _lacks_label(task, endpoint)
    )


def _lacks_label(task: Task, endpoint: Endpoint) -> bool:
    """Return whether an endpoint lacks the label that a task requires."""
    label = task.spec.label
    return bool(label) and label not in endpoint.report.labels


def takeover_wait_s(limits: Limits, ended: bool = False) -> float:
    """Return how long runs of an earlier term may continue after its last append.

    :param ended: whether its scheduler certainly grants no more leases
    """
    lease_s = limits.lease_s / (1 - limits.clock_error) + EXPIRY_SLACK_S
    return lease_s if ended else LEASE_GRANT_WINDOW_S + lease_s
