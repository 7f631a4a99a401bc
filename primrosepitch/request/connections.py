"""Connections to endpoints, and the units that they and their attempts use."""

from __future__ import annotations

import heapq
import logging

from primrosepitch.events import event
from primrosepitch.fleet.counts import conns_key, limit_key, slots_key
from primrosepitch.ids import InstanceId
from primrosepitch.request import ejection
from primrosepitch.request.effects import CloseConnection, OpenConnection, Reuse
from primrosepitch.request.state import (
    Call,
    Conn,
    ConnStage,
    EndpointHealth,
    EntryState,
)

__all__ = [
    "acquire_attempt_units",
    "available",
    "close",
    "close_idle",
    "evict_idle",
    "find_idle",
    "hold_units",
    "on_closed",
    "open_conn",
    "put_idle",
    "record_answer",
    "record_no_answer",
    "release_attempt_units",
    "release_held",
    "remove",
    "take_idle",
]

CONNECTIONS_SILENT = event(
    2303,
    "connections_silent",
    logging.WARNING,
    "Consecutive requests on connections of one age got no response; idle connections "
    "of that age or older were closed.",
    "check the network path between the entry and the endpoint if it repeats",
)

CONNECT_TIMEOUT_S = 1.0
"""Timeout for establishing a connection."""

IDLE_TIMEOUT_S = 15.0
"""Time after which an idle connection is closed."""

TRANSIT_ALLOWANCE_S = 0.2
"""Allowance for the transit of a request: the endpoint counts the remaining time from
when it reads the request, not from when it was written, so it may run this much
longer."""

UNANSWERED_THRESHOLD = 2


# Units


def acquire_attempt_units(state: EntryState, conn: Conn, call: Call) -> None:
    """Acquire a slot and a unit of the team's limit for an attempt."""
    state.holdings.acquire(slots_key(conn.instance))
    state.holdings.acquire(limit_key(call.team))
    running = state.running.setdefault(call.queue, {})
    running[call.team] = running.get(call.team, 0) + 1
    conn.call_id, conn.team, conn.queue = call.call_id, call.team, call.queue
    call.conn_id = conn.conn_id


def release_attempt_units(state: EntryState, conn: Conn) -> None:
    """Release the slot and the unit of the team's limit that an attempt uses."""
    if conn.team is None:
        return
    state.holdings.release(slots_key(conn.instance))
    state.holdings.release(limit_key(conn.team))
    running = state.running[conn.queue]
    running[conn.team] -= 1
    if not running[conn.team]:
        del running[conn.team]
    conn.team = None
    conn.call_id = None


def remove(state: EntryState, conn: Conn) -> None:
    """Remove a closed connection and release its units."""
    release_attempt_units(state, conn)
    state.holdings.release(conns_key(conn.instance))
    del state.conns[conn.conn_id]


# Opening and selection


def _may_reuse(state: EntryState, call: Call) -> bool:
    """Whether a request may be sent on a connection that was used before."""
    return call.idempotent or Reuse(state.settings.reuse) is not Reuse.FRESH


def find_idle(state: EntryState, call: Call, instance: InstanceId) -> Conn | None:
    """Return the most recently used idle connection, if the request may use it."""
    idle = state.idle_conns.get(instance)
    return state.conns[idle[-1]] if idle and _may_reuse(state, call) else None


def available(state: EntryState, call: Call, instance: InstanceId) -> bool:
    """Whether a request can get a connection now or after an idle one is closed."""
    if state.idle_conns.get(instance):
        return True
    return state.holdings.free(state.fleet, conns_key(instance)) > 0


def open_conn(state: EntryState, instance: InstanceId, deadline: float) -> Conn | None:
    """Open a connection if a unit is free for it."""
    key = conns_key(instance)
    if state.holdings.free(state.fleet, key) <= 0:
        return None
    state.holdings.acquire(key)
    conn = Conn(state.next_conn_id(), instance, state.now)
    state.conns[conn.conn_id] = conn
    spec = state.fleet.config.instances[instance]
    state.emit(
        OpenConnection(
            conn=conn.conn_id,
            instance=instance,
            address=spec.address,
            port=spec.port,
            deadline=min(deadline, state.now + CONNECT_TIMEOUT_S),
        )
    )
    return conn


def evict_idle(state: EntryState, instance: InstanceId) -> None:
    """Close the idle connection that was used least recently to free its unit.

    Nothing is done while another connection to the endpoint is closing.
    """
    closing = any(
        c.instance == instance and c.stage is ConnStage.CLOSING
        for c in state.conns.values()
    )
    idle = state.idle_conns.get(instance)
    if idle and not closing:
        close(state, state.conns[idle[0]])


# Release and closing


def put_idle(state: EntryState, conn: Conn) -> None:
    """Make an open connection available for another request."""
    conn.stage = ConnStage.IDLE
    conn.idle_since = state.now
    state.idle_conns.setdefault(conn.instance, []).append(conn.conn_id)


def take_idle(state: EntryState, conn: Conn) -> None:
    """Remove a connection from the idle ones and mark it busy."""
    conn.stage = ConnStage.BUSY
    idle = state.idle_conns[conn.instance]
    idle.remove(conn.conn_id)
    if not idle:
        del state.idle_conns[conn.instance]


def close(state: EntryState, conn: Conn) -> None:
    """Close a connection; its unit is released when the shell confirms the close."""
    if conn.stage is ConnStage.IDLE:
        take_idle(state, conn)
    conn.stage = ConnStage.CLOSING
    if conn.closed:
        remove(state, conn)
    else:
        state.emit(CloseConnection(conn=conn.conn_id))


def on_closed(state: EntryState, conn: Conn) -> None:
    """Handle the report of the shell that a connection is closed."""
    conn.closed = True
    if conn.stage is ConnStage.IDLE:
        take_idle(state, conn)
        remove(state, conn)
    elif conn.stage is ConnStage.CLOSING:
        remove(state, conn)


def hold_units(state: EntryState, conn: Conn, deadline: float) -> None:
    """Hold the units of an unanswered attempt until its deadline has passed.

    The endpoint may still run the request, so the connection is never used again, and
    no other work uses the units of its slot, its connection and the team's limit.
    """
    conn.stage = ConnStage.UNANSWERED
    conn.hold_until = deadline + TRANSIT_ALLOWANCE_S
    if not conn.closed:
        state.emit(CloseConnection(conn=conn.conn_id))
    heapq.heappush(state.held_conns, (conn.hold_until, conn.conn_id))


def release_held(state: EntryState) -> None:
    """Release the units of unanswered attempts whose deadline has passed."""
    due = state.held_conns
    while due and due[0][0] < state.now:
        conn = state.conns.get(heapq.heappop(due)[1])
        if conn is None or conn.stage is not ConnStage.UNANSWERED:
            continue
        release_attempt_units(state, conn)
        conn.stage = ConnStage.CLOSING
        if conn.closed:
            remove(state, conn)


def close_idle(state: EntryState) -> None:
    """Close connections that were idle too long or whose endpoint is leaving.

    A stopping entry closes all idle connections.
    """
    idle_cutoff = state.now - IDLE_TIMEOUT_S
    for instance in list(state.idle_conns):
        leaving = state.stopping or not state.usable(instance)
        for conn_id in list(state.idle_conns[instance]):
            conn = state.conns[conn_id]
            if leaving or conn.idle_since < idle_cutoff:
                close(state, conn)


# Unanswered requests


def record_answer(state: EntryState, conn: Conn) -> None:
    """Record that a request on a connection got a response."""
    health = ejection.health_of(state, conn.instance)
    health.answered_opened_at = conn.opened_at
    if conn.opened_at <= health.unanswered_opened_at:
        _reset_unanswered(health)


def record_no_answer(state: EntryState, conn: Conn) -> None:
    """Record that a request on a connection got no response before its deadline.

    If a middlebox lost its connection state, all connections from before the loss time
    out while newer ones work. After the second consecutive unanswered request, the idle
    connections of the same age or older are closed, and those older than a connection
    that has carried a response since. Two connections are of one age if no connection
    that carried a response was opened between them.
    """
    health = ejection.health_of(state, conn.instance)
    if health.unanswered_opened_at < health.answered_opened_at < conn.opened_at:
        _reset_unanswered(health)
    health.unanswered += 1
    health.unanswered_opened_at = max(health.unanswered_opened_at, conn.opened_at)
    if health.unanswered < UNANSWERED_THRESHOLD:
        return
    newest_opened_at = max(
        health.unanswered_opened_at, _just_before(health.answered_opened_at)
    )
    stale = [state.conns[c] for c in state.idle_conns.get(conn.instance, [])]
    stale = [c for c in stale if c.opened_at <= newest_opened_at]
    for other in stale:
        close(state, other)
    state.log(
        CONNECTIONS_SILENT,
        instance=conn.instance,
        closed=len(stale),
        row=health.unanswered,
    )
    _reset_unanswered(health)


def _reset_unanswered(health: EndpointHealth) -> None:
    """Reset the count of unanswered requests."""
    health.unanswered = 0
    health.unanswered_opened_at = float("-inf")


def _just_before(opened_at: float) -> float:
    """Return a time just before a connection was opened."""
    return opened_at - 1e-9
