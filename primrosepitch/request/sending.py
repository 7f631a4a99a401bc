"""Attempts: dispatch from the queue to an endpoint, completion and retries."""

from __future__ import annotations

import heapq
import logging

from primrosepitch.errors import (
    DeadlinePassedError,
    EndpointFailedError,
    EndpointUnavailableError,
    OutcomeUnknownError,
    PrimroseError,
    StoppingError,
    TeamLimitError,
)
from primrosepitch.events import event
from primrosepitch.fleet.counts import limit_key, slots_key
from primrosepitch.ids import InstanceId, QueueId
from primrosepitch.request import (
    answers,
    claiming,
    connections,
    ejection,
    listing,
    queueing,
    retries,
    routing,
)
from primrosepitch.request.effects import Reuse, SendRequest
from primrosepitch.request.events import AnswerReceived, Failure
from primrosepitch.request.routing import REQUEST_ROUTED
from primrosepitch.request.state import Call, CallStage, Conn, ConnStage, EntryState

__all__ = [
    "dispatch",
    "expire",
    "expire_due",
    "on_answer",
    "on_failure",
    "on_opened",
    "on_skipped",
    "refuse_all_unsent",
    "refuse_unsent",
]

REQUEST_RETRIED = event(
    2003, "request_retried", logging.INFO, "A failed request is retried."
)
ANSWER_IGNORED = event(
    2004,
    "answer_ignored",
    logging.WARNING,
    "A response came for a request that has ended or has been retried; it was dropped.",
)

MIN_SERVER_ERROR_STATUS = 500
"""Lowest HTTP status that counts as a failure of the endpoint."""


# From the queue to an endpoint


def dispatch(state: EntryState) -> None:
    """Start waiting requests while units are free."""
    if not state.queues or not state.may_dispatch:
        return
    for queue in list(state.queues):
        while _start_next(state, queue):
            pass


def _start_next(state: EntryState, queue: QueueId) -> bool:
    """Start the next request of a queue.

    :returns: whether to try the following request, too
    """
    fleet = state.fleet
    members = routing.pool_members(state, queue)
    if not any(state.holdings.free(fleet, slots_key(i)) > 0 for i in members):
        return False
    if queue not in state.queues or listing.write_deadline(state) is None:
        return False
    team = queueing.next_waiting(state, queue)
    if team is None:
        return False
    call = state.queues[queue][team].peek()
    if queueing.is_too_late(state, call):
        expire(state, call)
        return True
    instance = routing.choose(state, call)
    return instance is not None and _start(state, call, instance)


def _start(state: EntryState, call: Call, instance: InstanceId) -> bool:
    """Start an attempt at an endpoint.

    :returns: whether it started; ``False`` if an idle connection has to close first
    """
    reused = connections.find_idle(state, call, instance)
    conn = reused or connections.open_conn(state, instance, call.deadline)
    if conn is None:
        connections.evict_idle(state, instance)
        return False
    state.log(
        REQUEST_ROUTED,
        call=call.call_id,
        request_id=call.request_id,
        queue=call.queue,
        team=call.team,
        instance=instance,
        conn=conn.conn_id,
        free=state.holdings.free(state.fleet, slots_key(instance)),
        policy=state.settings.routing,
        tries=call.attempts,
    )
    queueing.remove(state, call)
    call.attempts += 1
    call.stage = CallStage.CONNECTING
    connections.acquire_attempt_units(state, conn, call)
    ejection.start_request(state, instance, call.call_id)
    if reused is not None:
        connections.take_idle(state, conn)
        _send(state, call, conn, reused=True)
    return True


def _send(state: EntryState, call: Call, conn: Conn, reused: bool) -> None:
    """Write the request, or requeue it if its endpoint may not get it now.

    :param reused: whether the connection was used before
    """
    write_deadline = listing.write_deadline(state)
    if (
        not state.may_dispatch
        or write_deadline is None
        or not state.usable(conn.instance)
    ):
        _requeue(state, call, conn)
        return
    conn.stage = ConnStage.BUSY
    call.stage = CallStage.SENDING
    call.sent_at = state.now
    expect = Reuse(state.settings.reuse) is Reuse.EXPECT
    state.emit(
        SendRequest(
            call=call.call_id,
            conn=conn.conn_id,
            request_id=call.request_id,
            team=call.team,
            not_after=min(call.deadline, write_deadline, state.contact_until),
            deadline=call.deadline,
            expect=reused and expect and not call.idempotent,
        )
    )


def _requeue(state: EntryState, call: Call, conn: Conn) -> None:
    """Return a request that was not written to the head of its queue."""
    _abandon_connection(state, call, conn)
    queueing.enqueue(state, call, front=True)


def _abandon_connection(state: EntryState, call: Call, conn: Conn) -> None:
    """Close the connection of an attempt that was not written and release its units."""
    ejection.cancel_probe(state, conn.instance, call.call_id)
    connections.release_attempt_units(state, conn)
    connections.close(state, conn)
    call.conn_id = None


def on_opened(state: EntryState, conn: Conn) -> None:
    """Send the pending request on a connection that was established."""
    call = state.calls.get(conn.call_id) if conn.call_id is not None else None
    if conn.stage is not ConnStage.OPENING or call is None:
        return
    if call.deadline <= state.now:
        expire(state, call)
    else:
        _send(state, call, conn, reused=False)


# Completion of attempts


def on_answer(state: EntryState, event: AnswerReceived) -> None:
    """Forward the response of an attempt to the caller."""
    conn, call = state.conns.get(event.conn), state.calls.get(event.call)
    if not _is_current(call, conn) or call is None or conn is None:
        state.log(ANSWER_IGNORED, call=event.call, conn=event.conn)
        return
    success = event.status < MIN_SERVER_ERROR_STATUS
    ejection.record_result(state, conn.instance, call.call_id, success)
    connections.record_answer(state, conn)
    connections.release_attempt_units(state, conn)
    if event.reusable and not state.stopping and state.usable(conn.instance):
        connections.put_idle(state, conn)
    else:
        connections.close(state, conn)
    queueing.record_service_time(state, call)
    answers.pass_answer(state, call, event.size)


def _is_current(call: Call | None, conn: Conn | None) -> bool:
    """Whether a connection carries the current attempt of a call."""
    if call is None or conn is None:
        return False
    return call.conn_id == conn.conn_id and conn.call_id == call.call_id


def on_failure(state: EntryState, conn: Conn, failure: Failure) -> None:
    """Handle a failed attempt, whose connection is closed.

    Only ``NOT_SENT`` proves that nothing ran, so only then its units are released at
    once.
    """
    call = state.calls.get(conn.call_id) if conn.call_id is not None else None
    conn.closed = True
    if not _is_current(call, conn) or call is None:
        connections.on_closed(state, conn)
        return
    connecting = conn.stage is ConnStage.OPENING
    if connecting or failure is not Failure.NOT_SENT:
        ejection.record_result(state, conn.instance, call.call_id, success=False)
    ejection.cancel_probe(state, conn.instance, call.call_id)
    if failure is Failure.NOT_SENT:
        call.stage = CallStage.CONNECTING
        connections.remove(state, conn)
    else:
        call.maybe_sent = True
        connections.hold_units(state, conn, call.deadline)
    call.failed_instances.append(conn.instance)
    _retry_or_refuse(state, call, conn.instance, failure)


def _retry_or_refuse(
    state: EntryState, call: Call, instance: InstanceId, failure: Failure
) -> None:
    """Retry a request where that is safe, or refuse it."""
    detail = f"{failure.value} at {instance}"
    if not retries.may_retry(state, call, failure):
        answers.refuse(state, call, _failure_error(call, failure), detail)
        return
    retries.withdraw(state)
    state.log(
        REQUEST_RETRIED, call=call.call_id, instance=instance, failure=failure.value
    )
    queueing.enqueue(state, call, front=True)


def _failure_error(call: Call, failure: Failure) -> type[PrimroseError]:
    """Return the error for a request whose last attempt failed."""
    if failure in (Failure.TRUNCATED, Failure.TOO_LARGE):
        return EndpointFailedError
    return OutcomeUnknownError if call.maybe_sent else EndpointUnavailableError


def on_skipped(state: EntryState, conn: Conn) -> None:
    """Requeue a request that the shell did not write because it was too late."""
    call = state.calls.get(conn.call_id) if conn.call_id is not None else None
    if not _is_current(call, conn) or call is None:
        return
    call.stage = CallStage.CONNECTING
    _requeue(state, call, conn)
    if call.deadline <= state.now:
        expire(state, call)


def refuse_unsent(state: EntryState, call: Call, error: type[PrimroseError]) -> None:
    """Refuse a request that is not being sent."""
    if call.stage is CallStage.CONNECTING and call.conn_id is not None:
        _abandon_connection(state, call, state.conns[call.conn_id])
    answers.refuse(state, call, error)


def refuse_all_unsent(state: EntryState) -> None:
    """Refuse all requests that are not being sent."""
    for call in list(state.calls.values()):
        if call.stage is not CallStage.SENDING:
            refuse_unsent(state, call, StoppingError)


# Deadlines


def expire_due(state: EntryState) -> None:
    """Expire the calls whose deadline has passed."""
    due = state.deadlines
    while due and due[0][0] <= state.now:
        call = state.calls.get(heapq.heappop(due)[1])
        if call is not None:
            expire(state, call)


def expire(state: EntryState, call: Call) -> None:
    """Refuse a call whose deadline has passed; hold the units of a sent attempt."""
    if call.stage is CallStage.CLAIMING:
        claiming.give_up(state, call)
        return
    if call.stage is not CallStage.SENDING or call.conn_id is None:
        refuse_unsent(state, call, _expiry_error(state, call))
        return
    conn = state.conns[call.conn_id]
    ejection.record_result(state, conn.instance, call.call_id, success=False)
    connections.record_no_answer(state, conn)
    connections.hold_units(state, conn, call.deadline)
    answers.refuse(state, call, OutcomeUnknownError, f"no answer of {conn.instance}")


def _expiry_error(state: EntryState, call: Call) -> type[PrimroseError]:
    """Return the error for a request that was not sent before its deadline."""
    if call.stage is CallStage.QUEUED:
        if state.holdings.free(state.fleet, limit_key(call.team)) <= 0:
            return TeamLimitError
        if not routing.has_usable_endpoint(state, call.queue):
            return EndpointUnavailableError
    return DeadlinePassedError
