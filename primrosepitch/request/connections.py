"""Connections to endpoints and the units that they and their requests use."""

from __future__ import annotations

import heapq
import logging

from primrosepitch.events import event
from primrosepitch.fleet.counts import conns_key, limit_key, slots_key
from primrosepitch.ids import InstanceId
from primrosepitch.request import ejection
from primrosepitch.request.effects import CloseConnection, OpenConnection, Reuse
from primrosepitch.request.state import Call, Conn, ConnStage, EntryState, Health

__all__ = [
    "answered",
    "close",
    "close_idle",
    "drop",
    "evict",
    "free_attempt",
    "gone",
    "hold",
    "idle_for",
    "leave_idle",
    "obtainable",
    "open_conn",
    "settle",
    "silent",
    "to_idle",
    "use",
]

SILENT = event(
    2303,
    "connections_silent",
    logging.WARNING,
    "Requests on connections of one age stay unanswered; idle ones were closed.",
    "check the path between the entry and the endpoint if it repeats",
)

CONNECT_S = 1.0
"""Longest time for which a connection may be opening."""

IDLE_CLOSE_S = 15.0
"""Time after which an idle connection is closed."""

TRANSIT_S = 0.2
"""The endpoint counts the time left from when it reads the request, not from when it
was written, so it may run this much longer."""

SILENT_IN_A_ROW = 2


# Units


def use(state: EntryState, conn: Conn, call: Call) -> None:
    """Take a slot and a unit of the team's limit for an attempt."""
    state.holdings.acquire(slots_key(conn.instance))
    state.holdings.acquire(limit_key(call.team))
    running = state.running.setdefault(call.queue, {})
    running[call.team] = running.get(call.team, 0) + 1
    conn.call, conn.team, conn.queue = call.call, call.team, call.queue
    call.conn = conn.conn


def free_attempt(state: EntryState, conn: Conn) -> None:
    """Return the slot and the unit of the team's limit of an attempt."""
    if conn.team is None:
        return
    state.holdings.release(slots_key(conn.instance))
    state.holdings.release(limit_key(conn.team))
    running = state.running[conn.queue]
    running[conn.team] -= 1
    if not running[conn.team]:
        del running[conn.team]
    conn.team = None
    conn.call = None


def drop(state: EntryState, conn: Conn) -> None:
    """Forget a closed connection and return its unit."""
    free_attempt(state, conn)
    state.holdings.release(conns_key(conn.instance))
    del state.conns[conn.conn]


# Opening and choosing


def _pooled(state: EntryState, call: Call) -> bool:
    """Whether a request may use a connection that was used before."""
    return call.idempotent or Reuse(state.settings.reuse) is not Reuse.FRESH


def idle_for(state: EntryState, call: Call, instance: InstanceId) -> Conn | None:
    """Return the idle connection that was used last, if the request may use it."""
    idle = state.idle.get(instance)
    return state.conns[idle[-1]] if idle and _pooled(state, call) else None


def obtainable(state: EntryState, call: Call, instance: InstanceId) -> bool:
    """Whether a request can get a connection now or once an idle one is closed."""
    if state.idle.get(instance):
        return True
    return state.holdings.free(state.fleet, conns_key(instance)) > 0


def open_conn(state: EntryState, instance: InstanceId, deadline: float) -> Conn | None:
    """Open a connection if there is a unit for it."""
    key = conns_key(instance)
    if state.holdings.free(state.fleet, key) <= 0:
        return None
    state.holdings.acquire(key)
    conn = Conn(state.next_conn(), instance, state.now)
    state.conns[conn.conn] = conn
    spec = state.fleet.config.instances[instance]
    state.emit(
        OpenConnection(
            conn=conn.conn,
            instance=instance,
            address=spec.address,
            port=spec.port,
            deadline=min(deadline, state.now + CONNECT_S),
        )
    )
    return conn


def evict(state: EntryState, instance: InstanceId) -> None:
    """Close the oldest idle connection to make room, unless one is closing already."""
    closing = any(
        c.instance == instance and c.stage is ConnStage.CLOSING
        for c in state.conns.values()
    )
    idle = state.idle.get(instance)
    if idle and not closing:
        close(state, state.conns[idle[0]])


# Ending


def to_idle(state: EntryState, conn: Conn) -> None:
    """Keep an open connection for another request."""
    conn.stage = ConnStage.IDLE
    conn.idle_since = state.now
    state.idle.setdefault(conn.instance, []).append(conn.conn)


def leave_idle(state: EntryState, conn: Conn) -> None:
    """Take a connection out of the idle ones."""
    conn.stage = ConnStage.BUSY
    idle = state.idle[conn.instance]
    idle.remove(conn.conn)
    if not idle:
        del state.idle[conn.instance]


def close(state: EntryState, conn: Conn) -> None:
    """Close a connection; its unit returns when the shell confirms it."""
    if conn.stage is ConnStage.IDLE:
        leave_idle(state, conn)
    conn.stage = ConnStage.CLOSING
    if conn.gone:
        drop(state, conn)
    else:
        state.emit(CloseConnection(conn=conn.conn))


def gone(state: EntryState, conn: Conn) -> None:
    """Note that the shell has closed a connection or found it closed."""
    conn.gone = True
    if conn.stage is ConnStage.IDLE:
        leave_idle(state, conn)
        drop(state, conn)
    elif conn.stage is ConnStage.CLOSING:
        drop(state, conn)


def hold(state: EntryState, conn: Conn, deadline: float) -> None:
    """Keep the units of an unanswered attempt until its deadline has passed.

    The endpoint may still run the request, so the connection is never used again and
    no other work starts against its slot, its connection or the team's limit.
    """
    conn.stage = ConnStage.SPENT
    conn.hold_until = deadline + TRANSIT_S
    if not conn.gone:
        state.emit(CloseConnection(conn=conn.conn))
    heapq.heappush(state.settle_due, (conn.hold_until, conn.conn))


def settle(state: EntryState) -> None:
    """Return the units of unanswered attempts whose deadline has passed."""
    due = state.settle_due
    while due and due[0][0] < state.now:
        conn = state.conns.get(heapq.heappop(due)[1])
        if conn is None or conn.stage is not ConnStage.SPENT:
            continue
        free_attempt(state, conn)
        conn.stage = ConnStage.CLOSING
        if conn.gone:
            drop(state, conn)


def close_idle(state: EntryState) -> None:
    """Close connections that idle too long or lead to a leaving endpoint."""
    oldest = state.now - IDLE_CLOSE_S
    for instance in list(state.idle):
        leaving = state.stopping or not state.usable(instance)
        for number in list(state.idle[instance]):
            conn = state.conns[number]
            if leaving or conn.idle_since < oldest:
                close(state, conn)


# Silent connections


def answered(state: EntryState, conn: Conn) -> None:
    """Note that a connection carried an answer."""
    found = ejection.health(state, conn.instance)
    found.answered_opened = conn.opened
    if conn.opened <= found.silent_newest:
        _forget_silent(found)


def silent(state: EntryState, conn: Conn) -> None:
    """Note that a request on a connection was not answered.

    A middlebox that lost its state silences all connections from before the loss
    while newer ones work, so the second one in a row condemns the idle ones that are
    as old, and those older than one that has answered since. Connections are of one
    age if none that answered was opened between them.
    """
    found = ejection.health(state, conn.instance)
    if found.silent_newest < found.answered_opened < conn.opened:
        _forget_silent(found)
    found.silent += 1
    found.silent_newest = max(found.silent_newest, conn.opened)
    if found.silent < SILENT_IN_A_ROW:
        return
    newest = max(found.silent_newest, _before(found.answered_opened))
    old = [state.conns[c] for c in state.idle.get(conn.instance, [])]
    old = [c for c in old if c.opened <= newest]
    for other in old:
        close(state, other)
    state.log(SILENT, instance=conn.instance, closed=len(old), row=found.silent)
    _forget_silent(found)


def _forget_silent(found: Health) -> None:
    """Start to count unanswered requests anew."""
    found.silent = 0
    found.silent_newest = float("-inf")


def _before(opened: float) -> float:
    """Return a time just before a connection was opened."""
    return opened - 1e-9
