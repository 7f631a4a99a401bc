"""Attempts: from the queue to an endpoint, and what follows when they end."""

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
from primrosepitch.request.routing import ROUTED
from primrosepitch.request.state import Call, Conn, ConnStage, EntryState, Stage

__all__ = [
    "answer",
    "dispatch",
    "expire",
    "expire_due",
    "fail",
    "opened",
    "skipped",
    "stop_waiting",
    "withdraw",
]

RETRIED = event(
    2003, "request_retried", logging.INFO, "A failed request is sent once more."
)
IGNORED = event(
    2004,
    "answer_ignored",
    logging.WARNING,
    "An answer came for a request that no longer waits for it.",
)

SERVER_ERROR = 500
"""Statuses from here on count as failures of the endpoint."""


# From the queue to an endpoint


def dispatch(state: EntryState) -> None:
    """Start as many waiting requests as there are units for."""
    if not state.queues or not state.may_dispatch:
        return
    for queue in list(state.queues):
        while _start_next(state, queue):
            pass


def _start_next(state: EntryState, queue: QueueId) -> bool:
    """Start the request of a queue whose turn is next.

    :returns: whether another one may start
    """
    fleet = state.fleet
    members = routing.pool_members(state, queue)
    if not any(state.holdings.free(fleet, slots_key(i)) > 0 for i in members):
        return False
    if queue not in state.queues or listing.write_limit(state) is None:
        return False
    team = queueing.next_waiting(state, queue)
    if team is None:
        return False
    call = state.queues[queue][team].first()
    if queueing.too_late(state, call):
        expire(state, call)
        return True
    instance = routing.choose(state, call)
    return instance is not None and _start(state, call, instance)


def _start(state: EntryState, call: Call, instance: InstanceId) -> bool:
    """Start an attempt at an endpoint.

    :returns: whether it started; ``False`` while an idle connection makes room
    """
    reused = connections.idle_for(state, call, instance)
    conn = reused or connections.open_conn(state, instance, call.deadline)
    if conn is None:
        connections.evict(state, instance)
        return False
    state.log(
        ROUTED,
        call=call.call,
        request_id=call.request_id,
        queue=call.queue,
        team=call.team,
        instance=instance,
        conn=conn.conn,
        free=state.holdings.free(state.fleet, slots_key(instance)),
        policy=state.settings.routing,
        tries=call.tries,
    )
    queueing.remove(state, call)
    call.tries += 1
    call.stage = Stage.CONNECTING
    connections.use(state, conn, call)
    ejection.begin(state, instance, call.call)
    if reused is not None:
        connections.leave_idle(state, conn)
        _send(state, call, conn, reused=True)
    return True


def _send(state: EntryState, call: Call, conn: Conn, reused: bool) -> None:
    """Write the request, unless that has to wait until more is known."""
    limit = listing.write_limit(state)
    if not state.may_dispatch or limit is None or not state.usable(conn.instance):
        _back_to_queue(state, call, conn)
        return
    conn.stage = ConnStage.BUSY
    call.stage = Stage.SENDING
    call.sent_at = state.now
    ask = Reuse(state.settings.reuse) is Reuse.EXPECT
    state.emit(
        SendRequest(
            call=call.call,
            conn=conn.conn,
            request_id=call.request_id,
            team=call.team,
            not_after=min(call.deadline, limit, state.contact_until),
            deadline=call.deadline,
            expect=reused and ask and not call.idempotent,
        )
    )


def _back_to_queue(state: EntryState, call: Call, conn: Conn) -> None:
    """Let a request that was not written wait for another endpoint."""
    _leave(state, call, conn)
    queueing.enqueue(state, call, front=True)


def _leave(state: EntryState, call: Call, conn: Conn) -> None:
    """Close the connection of an attempt that was not written."""
    ejection.cancel(state, conn.instance, call.call)
    connections.free_attempt(state, conn)
    connections.close(state, conn)
    call.conn = None


def opened(state: EntryState, conn: Conn) -> None:
    """Use a connection that has opened."""
    call = state.calls.get(conn.call) if conn.call is not None else None
    if conn.stage is not ConnStage.OPENING or call is None:
        return
    if call.deadline <= state.now:
        expire(state, call)
    else:
        _send(state, call, conn, reused=False)


# Ends of attempts


def answer(state: EntryState, event: AnswerReceived) -> None:
    """Pass the answer of an attempt to the caller."""
    conn, call = state.conns.get(event.conn), state.calls.get(event.call)
    if not _current(call, conn) or call is None or conn is None:
        state.log(IGNORED, call=event.call, conn=event.conn)
        return
    ok = event.status < SERVER_ERROR
    ejection.note(state, conn.instance, call.call, ok)
    connections.answered(state, conn)
    connections.free_attempt(state, conn)
    if event.reusable and not state.stopping and state.usable(conn.instance):
        connections.to_idle(state, conn)
    else:
        connections.close(state, conn)
    queueing.observe(state, call)
    answers.pass_answer(state, call, event.size)


def _current(call: Call | None, conn: Conn | None) -> bool:
    """Whether a connection carries the current attempt of a call."""
    if call is None or conn is None:
        return False
    return call.conn == conn.conn and conn.call == call.call


def fail(state: EntryState, conn: Conn, failure: Failure) -> None:
    """End an attempt that failed; the connection is closed.

    Only ``NOT_SENT`` proves that nothing ran, so only then its units return at once.
    """
    call = state.calls.get(conn.call) if conn.call is not None else None
    conn.gone = True
    if not _current(call, conn) or call is None:
        connections.gone(state, conn)
        return
    connecting = conn.stage is ConnStage.OPENING
    if connecting or failure is not Failure.NOT_SENT:
        ejection.note(state, conn.instance, call.call, ok=False)
    ejection.cancel(state, conn.instance, call.call)
    if failure is Failure.NOT_SENT:
        call.stage = Stage.CONNECTING
        connections.drop(state, conn)
    else:
        call.sent = True
        connections.hold(state, conn, call.deadline)
    call.tried.append(conn.instance)
    _retry_or_refuse(state, call, conn.instance, failure)


def _retry_or_refuse(
    state: EntryState, call: Call, instance: InstanceId, failure: Failure
) -> None:
    """Send a request once more where that is safe, or refuse it."""
    detail = f"{failure.value} at {instance}"
    if not retries.may_retry(state, call, failure):
        answers.refuse(state, call, _error(call, failure), detail)
        return
    retries.withdraw(state)
    state.log(RETRIED, call=call.call, instance=instance, failure=failure.value)
    queueing.enqueue(state, call, front=True)


def _error(call: Call, failure: Failure) -> type[PrimroseError]:
    """Return the error of a request whose last attempt failed."""
    if failure in (Failure.TRUNCATED, Failure.TOO_LARGE):
        return EndpointFailedError
    return OutcomeUnknownError if call.sent else EndpointUnavailableError


def skipped(state: EntryState, conn: Conn) -> None:
    """End an attempt that the shell did not write since it was too late."""
    call = state.calls.get(conn.call) if conn.call is not None else None
    if not _current(call, conn) or call is None:
        return
    call.stage = Stage.CONNECTING
    _back_to_queue(state, call, conn)
    if call.deadline <= state.now:
        expire(state, call)


def withdraw(state: EntryState, call: Call, kind: type[PrimroseError]) -> None:
    """Refuse a request that no endpoint has been sent yet."""
    if call.stage is Stage.CONNECTING and call.conn is not None:
        _leave(state, call, state.conns[call.conn])
    answers.refuse(state, call, kind)


def stop_waiting(state: EntryState) -> None:
    """Refuse everything that has not been sent."""
    for call in list(state.calls.values()):
        if call.stage is not Stage.SENDING:
            withdraw(state, call, StoppingError)


# Deadlines


def expire_due(state: EntryState) -> None:
    """End the calls whose deadline has passed."""
    due = state.deadlines
    while due and due[0][0] <= state.now:
        call = state.calls.get(heapq.heappop(due)[1])
        if call is not None:
            expire(state, call)


def expire(state: EntryState, call: Call) -> None:
    """End a call whose deadline has passed."""
    if call.stage is Stage.CLAIMING:
        claiming.give_up(state, call)
        return
    if call.stage is not Stage.SENDING or call.conn is None:
        withdraw(state, call, _reason(state, call))
        return
    conn = state.conns[call.conn]
    ejection.note(state, conn.instance, call.call, ok=False)
    connections.silent(state, conn)
    connections.hold(state, conn, call.deadline)
    answers.refuse(state, call, OutcomeUnknownError, f"no answer of {conn.instance}")


def _reason(state: EntryState, call: Call) -> type[PrimroseError]:
    """Return why a request could not be sent before its deadline."""
    if call.stage is Stage.QUEUED:
        if state.holdings.free(state.fleet, limit_key(call.team)) <= 0:
            return TeamLimitError
        if not routing.reachable(state, call.queue):
            return EndpointUnavailableError
    return DeadlinePassedError
