"""Queues of waiting requests: one for each queue and team."""

from __future__ import annotations

from primrosepitch.fleet.counts import conns_key, limit_key, slots_key
from primrosepitch.ids import CountKey, QueueId, TeamId
from primrosepitch.request import routing
from primrosepitch.request.state import Call, EntryState, Stage, TeamQueue

__all__ = [
    "candidates",
    "enqueue",
    "expected_wait_s",
    "full",
    "observe",
    "remove",
    "wanted",
]

SMOOTHING = 0.1
"""Weight of the newest request in the mean time that a request takes."""

USAGE_MAX_AGE_S = 10.0
"""Age at which a peer's report of its usage no longer counts."""


def enqueue(state: EntryState, call: Call, front: bool = False) -> None:
    """Let a request wait for its turn.

    :param front: whether it goes before the others, since it had its turn already
    """
    call.stage = Stage.QUEUED
    call.conn = None
    teams = state.queues.setdefault(call.queue, {})
    part = teams.setdefault(call.team, TeamQueue()).part(call)
    part[call.call] = call
    if front:
        part.move_to_end(call.call, last=False)


def remove(state: EntryState, call: Call) -> None:
    """Take a request out of its queue."""
    teams = state.queues[call.queue]
    queue = teams[call.team]
    del queue.part(call)[call.call]
    if not queue:
        del teams[call.team]
    if not teams:
        del state.queues[call.queue]


def full(state: EntryState, queue: QueueId, team: TeamId) -> bool:
    """Whether the team has as many requests waiting as the queue allows."""
    waiting = state.queues.get(queue, {}).get(team)
    limit = state.fleet.config.services[queue].queue_limit
    return waiting is not None and len(waiting) >= limit


def expected_wait_s(state: EntryState, queue: QueueId) -> float:
    """Estimate the wait of a new request from those before it and their mean time.

    :returns: seconds; 0 while too little is known
    """
    waiting = sum(len(q) for q in state.queues.get(queue, {}).values())
    pool = routing.pool_members(state, queue)
    slots = sum(state.fleet.holding(slots_key(i), state.session) for i in pool)
    if not waiting or not slots:
        return 0.0
    return waiting * state.service_s.get(queue, 0.0) / slots


def observe(state: EntryState, call: Call) -> None:
    """Note how long an answered request took at its endpoint."""
    took = state.now - call.sent_at
    mean = state.service_s.get(call.queue, took)
    state.service_s[call.queue] = mean + SMOOTHING * (took - mean)


def candidates(state: EntryState, queue: QueueId) -> dict[TeamId, int]:
    """Return the waiting teams with a free unit, with what each runs in the fleet."""
    found = {}
    for team in state.queues.get(queue, {}):
        if state.holdings.free(state.fleet, limit_key(team)) > 0:
            found[team] = _running_in_fleet(state, queue, team)
    return found


def _running_in_fleet(state: EntryState, queue: QueueId, team: TeamId) -> int:
    """Return the own running requests plus those that peers reported."""
    running = state.running.get(queue, {}).get(team, 0)
    oldest = state.now - USAGE_MAX_AGE_S
    for at, usage in state.usage.values():
        if at >= oldest:
            running += usage.get(queue, {}).get(team, 0)
    return running


def wanted(state: EntryState) -> dict[CountKey, int]:
    """Return the units that waiting requests need, by count."""
    units: dict[CountKey, int] = {}
    for queue, teams in state.queues.items():
        total = 0
        for team, waiting in teams.items():
            key = limit_key(team)
            units[key] = units.get(key, 0) + len(waiting)
            total += len(waiting)
        names = [i for i in routing.pool_members(state, queue) if state.usable(i)]
        for name in names:
            part = -(-total // len(names))
            for key in (slots_key(name), conns_key(name)):
                units[key] = units.get(key, 0) + part
    return units
