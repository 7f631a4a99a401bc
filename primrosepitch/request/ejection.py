"""Ejection of failing endpoints, and their readmission after one probe request."""

from __future__ import annotations

import logging

from primrosepitch.events import event
from primrosepitch.ids import CallId, InstanceId
from primrosepitch.request.state import EndpointHealth, EntryState

__all__ = ["admits", "cancel_probe", "health_of", "record_result", "start_request"]

EJECTED = event(
    2301,
    "endpoint_ejected",
    logging.WARNING,
    "An endpoint failed repeatedly; it gets no requests for the given seconds.",
    "check the endpoint if this event repeats",
)
READMITTED = event(
    2302,
    "endpoint_readmitted",
    logging.INFO,
    "An ejected endpoint answered a probe request.",
)

MAX_CONSECUTIVE_FAILURES = 5
MAX_ERROR_RATE = 0.5
INITIAL_EJECTION_S = 5.0
MAX_EJECTION_S = 60.0


def health_of(state: EntryState, instance: InstanceId) -> EndpointHealth:
    """Return the health of an endpoint, creating it if missing."""
    health = state.health.get(instance)
    if health is None:
        health = state.health[instance] = EndpointHealth()
    return health


def admits(state: EntryState, instance: InstanceId) -> bool:
    """Whether an endpoint may get a request, be it as a probe."""
    health = state.health.get(instance)
    if health is None or not health.ejection_s:
        return True
    return state.now >= health.ejected_until and health.probe_call is None


def start_request(state: EntryState, instance: InstanceId, call_id: CallId) -> None:
    """Register a request to an endpoint; at an ejected one it is the only probe."""
    health = state.health.get(instance)
    if health is not None and health.ejection_s:
        health.probe_call = call_id


def cancel_probe(state: EntryState, instance: InstanceId, call_id: CallId) -> None:
    """Cancel a probe whose request ended without a result for its endpoint."""
    health = state.health.get(instance)
    if health is not None and health.probe_call == call_id:
        health.probe_call = None


def record_result(
    state: EntryState, instance: InstanceId, call_id: CallId, success: bool
) -> None:
    """Record the result of a request; eject or readmit its endpoint accordingly."""
    health = health_of(state, instance)
    if health.ejection_s:
        if health.probe_call == call_id:
            _on_probe_result(state, instance, health, success)
        return
    health.recent_results.append(success)
    health.consecutive_failures = 0 if success else health.consecutive_failures + 1
    if not success and _failing(health) and _may_eject(state, instance):
        _eject(state, instance, health)


def _on_probe_result(
    state: EntryState, instance: InstanceId, health: EndpointHealth, success: bool
) -> None:
    """Readmit an endpoint, or eject it again for twice as long."""
    health.probe_call = None
    if not success:
        _eject(state, instance, health)
        return
    health.ejection_s = 0.0
    state.log(READMITTED, instance=instance)


def _failing(health: EndpointHealth) -> bool:
    """Whether the most recent results justify an ejection."""
    recent = health.recent_results
    if health.consecutive_failures >= MAX_CONSECUTIVE_FAILURES:
        return True
    errors = recent.count(False)
    return len(recent) == recent.maxlen and errors > MAX_ERROR_RATE * len(recent)


def _may_eject(state: EntryState, instance: InstanceId) -> bool:
    """Whether at most half of the pool, rounded down, would be ejected.

    The pool is counted in the data centre of the endpoint.
    """
    inst = state.fleet.instances.get(instance)
    if inst is None:
        return False
    peers = [
        name
        for name, other in state.fleet.instances.items()
        if other.pool == inst.pool and other.dc == inst.dc
    ]
    ejected = sum(1 for n in peers if n in state.health and state.health[n].ejection_s)
    return ejected + 1 <= len(peers) // 2


def _eject(state: EntryState, instance: InstanceId, health: EndpointHealth) -> None:
    """Eject an endpoint; the time doubles with each consecutive ejection."""
    doubled_s = min(health.ejection_s * 2, MAX_EJECTION_S)
    health.ejection_s = doubled_s or INITIAL_EJECTION_S
    health.ejected_until = state.now + health.ejection_s
    health.recent_results.clear()
    health.consecutive_failures = 0
    state.log(EJECTED, instance=instance, seconds=health.ejection_s)
