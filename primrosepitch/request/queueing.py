"""Queueing of waiting requests, separately for each queue and team."""

from __future__ import annotations

from primrosepitch.fleet.counts import conns_key, limit_key, slots_key
from primrosepitch.ids import CountKey, QueueId, TeamId
from primrosepitch.request import routing
from primrosepitch.request.state import Call, CallStage, EntryState, TeamQueue, Usage
from primrosepitch.teams.fairness import next_team

__all__ = [
    "enqueue",
    "expected_wait_s",
    "is_full",
    "is_too_late",
    "next_waiting",
    "record_service_time",
    "record_usage",
    "refresh_estimate",
    "remove",
    "service_time_s",
    "wanted_units",
]

LONGER_SERVICE_TIME_WEIGHT = 0.05
"""Weight (0 to 1) of the latest request in the exponential moving average of service
times if it took longer than the estimate."""

SHORTER_SERVICE_TIME_WEIGHT = 0.2
"""Weight (0 to 1) of the latest request if it took at most the estimated time."""

USAGE_REPORT_INTERVAL_S = 1.0
"""Interval of usage reports; the own usage is added to the estimate as often."""

USAGE_MAX_AGE_S = 10.0
"""Age at which a usage report of a peer is discarded."""


def enqueue(state: EntryState, call: Call, front: bool = False) -> None:
    """Add a request to its queue.

    :param front: whether to add it at the head, as for a request dispatched before
    """
    call.stage = CallStage.QUEUED
    call.conn_id = None
    teams = state.queues.setdefault(call.queue, {})
    subqueue = teams.setdefault(call.team, TeamQueue()).subqueue(call)
    subqueue[call.call_id] = call
    if front:
        subqueue.move_to_end(call.call_id, last=False)


def remove(state: EntryState, call: Call) -> None:
    """Remove a request from its queue."""
    teams = state.queues[call.queue]
    queue = teams[call.team]
    del queue.subqueue(call)[call.call_id]
    if not queue:
        del teams[call.team]
    if not teams:
        del state.queues[call.queue]


def is_full(state: EntryState, queue: QueueId, team: TeamId) -> bool:
    """Whether the team has reached the limit of waiting requests of the queue."""
    waiting = state.queues.get(queue, {}).get(team)
    limit = state.fleet.config.services[queue].queue_limit
    return waiting is not None and len(waiting) >= limit


def expected_wait_s(state: EntryState, queue: QueueId, team: TeamId) -> float:
    """Estimate how long a new request waits behind the waiting ones of its team.

    The estimate assumes that the team gets its share of the slots among the waiting
    teams, so that a long queue of one team does not get other teams refused.

    :returns: seconds; 0 while none of the team's requests waits
    """
    teams = state.queues.get(queue, {})
    if team not in teams:
        return 0.0
    pool = routing.pool_members(state, queue)
    slots = sum(state.fleet.held_by(slots_key(i), state.session) for i in pool)
    if not slots:
        return 0.0
    specs = state.fleet.config.teams
    weights = {t: specs[t].share if t in specs else 1.0 for t in teams}
    own_slots = slots * weights[team] / sum(weights.values())
    return len(teams[team]) * service_time_s(state, queue) / own_slots


def service_time_s(state: EntryState, queue: QueueId) -> float:
    """Return a low estimate of the service time of a request of the queue.

    :returns: seconds; 0 before the first response
    """
    return state.service_times_s.get(queue, 0.0)


def is_too_late(state: EntryState, call: Call) -> bool:
    """Whether a waiting request can no longer be answered before its deadline.

    A request that did not have to wait is always sent. If it were refused, an estimate
    that is too high could never be corrected.
    """
    waited = call.arrived_at < state.now
    estimate_s = service_time_s(state, call.queue) if waited else 0.0
    return call.deadline - estimate_s <= state.now


def record_service_time(state: EntryState, call: Call) -> None:
    """Record how long an answered request took at its endpoint.

    The estimate follows shorter times faster than longer ones. It is used to refuse
    requests, and a request that could have been answered must not be refused.
    """
    elapsed_s = state.now - call.sent_at
    estimate_s = state.service_times_s.get(call.queue, elapsed_s)
    weight = (
        LONGER_SERVICE_TIME_WEIGHT
        if elapsed_s > estimate_s
        else SHORTER_SERVICE_TIME_WEIGHT
    )
    state.service_times_s[call.queue] = estimate_s + weight * (elapsed_s - estimate_s)


def next_waiting(state: EntryState, queue: QueueId) -> TeamId | None:
    """Return the waiting team that gets the next free slot.

    The limit is checked only for the chosen team, since many teams can wait.

    :returns: ``None`` if no waiting team has a free unit of its limit
    """
    specs = state.fleet.config.teams
    running = state.running.get(queue, {})
    teams = {
        team: state.usage_estimate.running(queue, team, running.get(team, 0))
        for team in state.queues.get(queue, {})
    }
    weights = {t: specs[t].share for t in teams if t in specs}
    while teams:
        team = next_team(teams, weights)
        if state.holdings.free(state.fleet, limit_key(team)) > 0:
            return team
        del teams[team]
    return None


# Usage reports


def record_usage(state: EntryState, origin: str, running: Usage) -> None:
    """Record a usage report of a peer."""
    state.usage_estimate.report(origin, running)
    state.usage_reported_at[origin] = state.now


def refresh_estimate(state: EntryState) -> None:
    """Add the own usage to the estimate once a second and expire reports of peers."""
    if state.now < state.estimate_due:
        return
    state.estimate_due = state.now + USAGE_REPORT_INTERVAL_S
    state.usage_estimate.report(state.session, state.running)
    for origin, reported_at in list(state.usage_reported_at.items()):
        if reported_at < state.now - USAGE_MAX_AGE_S:
            state.usage_estimate.forget(origin)
            del state.usage_reported_at[origin]


def wanted_units(state: EntryState) -> dict[CountKey, int]:
    """Return the units that the waiting requests need, by count."""
    units: dict[CountKey, int] = {}
    for queue, teams in state.queues.items():
        total = 0
        for team, waiting in teams.items():
            key = limit_key(team)
            units[key] = units.get(key, 0) + len(waiting)
            total += len(waiting)
        usable = [i for i in routing.pool_members(state, queue) if state.usable(i)]
        for name in usable:
            per_endpoint = -(-total // len(usable))
            for key in (slots_key(name), conns_key(name)):
                units[key] = units.get(key, 0) + per_endpoint
    return units
