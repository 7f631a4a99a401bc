"""Carries what is known of slow endpoints over to the scheduler of the next term.

A small record in the runs partition names them. It is written with a commit that is due
anyway, and losing it only costs the time to find them again.
"""

from __future__ import annotations

from primrosepitch.jobs.model import EndpointId
from primrosepitch.jobs.records import SlowEndpoint, SlowEndpoints, encode
from primrosepitch.scheduling.endpoint_speed import EVIDENCE_CAP, FORGET_S
from primrosepitch.scheduling.state import Endpoint, SchedulerState

__all__ = ["restore_slow_endpoints", "restore_speed", "slow_endpoints_record"]

MIN_INTERVAL_S = 2.0
"""Minimum time between two records."""

MAX_ENDPOINTS = 200
"""Maximum number of endpoints in a record, which then takes up to 10 KB."""


def slow_endpoints_record(state: SchedulerState) -> list[tuple[str, bytes]]:
    """Return the record of the slow endpoints if they have changed."""
    if state.now < state.next_speeds_at:
        return []
    slow = [endpoint for endpoint in state.endpoints.values() if endpoint.speed.slow]
    slow.sort(key=lambda e: e.speed.forget_at, reverse=True)
    rows = {
        endpoint.id: SlowEndpoint(
            endpoint.report.born,
            round(endpoint.speed.evidence * 100),
            state.wall_ms + round((endpoint.speed.forget_at - state.now) * 1000),
        )
        for endpoint in slow[:MAX_ENDPOINTS]
    }
    if rows.keys() == state.stored_slow.keys():
        return []
    state.stored_slow = rows
    state.next_speeds_at = state.now + MIN_INTERVAL_S
    return [encode(SlowEndpoints(rows))]


def restore_slow_endpoints(
    state: SchedulerState, stored: dict[EndpointId, SlowEndpoint] | None
) -> None:
    """Restore the newest record at the begin of a term."""
    state.stored_slow = dict(stored or {})
    state.next_speeds_at = state.now + MIN_INTERVAL_S


def restore_speed(state: SchedulerState, endpoint: Endpoint) -> None:
    """Restore what the earlier scheduler knew of an endpoint that has joined.

    An entry of another incarnation has no effect. The time of day of the earlier
    scheduler may be ahead, so evidence is kept for ``FORGET_S`` at the most.
    """
    row = state.stored_slow.get(endpoint.id)
    if row is None or row.born != endpoint.report.born:
        return
    left_s = min(FORGET_S, (row.forget_ms - state.wall_ms) / 1000)
    if left_s > 0:
        speed = endpoint.speed
        speed.slow = True
        speed.evidence = max(0.0, min(EVIDENCE_CAP, row.evidence / 100))
        speed.forget_at = state.now + left_s
