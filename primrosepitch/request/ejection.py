"""Ejection of endpoints that fail, and their return by one probing request."""

from __future__ import annotations

import logging

from primrosepitch.events import event
from primrosepitch.ids import CallId, InstanceId
from primrosepitch.request.state import EntryState, Health

__all__ = ["admits", "begin", "cancel", "health", "note"]

EJECTED = event(
    2301,
    "endpoint_ejected",
    logging.WARNING,
    "An endpoint failed repeatedly and gets no requests for a while.",
    "check the endpoint if it repeats",
)
READMITTED = event(
    2302, "endpoint_readmitted", logging.INFO, "An ejected endpoint answered a probe."
)

FAILURES_IN_A_ROW = 5
ERROR_RATE = 0.5
FIRST_EJECTION_S = 5.0
LONGEST_EJECTION_S = 60.0


def health(state: EntryState, instance: InstanceId) -> Health:
    """Return what is known about an endpoint."""
    found = state.health.get(instance)
    if found is None:
        found = state.health[instance] = Health()
    return found


def admits(state: EntryState, instance: InstanceId) -> bool:
    """Whether an endpoint may get a request, if only as a probe."""
    found = state.health.get(instance)
    if found is None or not found.ejected_s:
        return True
    return state.now >= found.ejected_until and found.probe is None


def begin(state: EntryState, instance: InstanceId, call: CallId) -> None:
    """Note that a request goes to an endpoint; an ejected one gets only this one."""
    found = state.health.get(instance)
    if found is not None and found.ejected_s:
        found.probe = call


def cancel(state: EntryState, instance: InstanceId, call: CallId) -> None:
    """Note that a request ended without telling anything about its endpoint."""
    found = state.health.get(instance)
    if found is not None and found.probe == call:
        found.probe = None


def note(state: EntryState, instance: InstanceId, call: CallId, ok: bool) -> None:
    """Note the result of a request."""
    found = health(state, instance)
    if found.ejected_s:
        if found.probe == call:
            _probed(state, instance, found, ok)
        return
    found.recent.append(ok)
    found.row = 0 if ok else found.row + 1
    if not ok and _failing(found) and _may_eject(state, instance):
        _eject(state, instance, found)


def _probed(state: EntryState, instance: InstanceId, found: Health, ok: bool) -> None:
    """Readmit an endpoint or eject it for twice as long."""
    found.probe = None
    if not ok:
        _eject(state, instance, found)
        return
    found.ejected_s = 0.0
    state.log(READMITTED, instance=instance)


def _failing(found: Health) -> bool:
    """Whether the newest results justify an ejection."""
    recent = found.recent
    if found.row >= FAILURES_IN_A_ROW:
        return True
    errors = recent.count(False)
    return len(recent) == recent.maxlen and errors > ERROR_RATE * len(recent)


def _may_eject(state: EntryState, instance: InstanceId) -> bool:
    """Whether at most half of the pool would be ejected, rounded down."""
    inst = state.fleet.instances.get(instance)
    if inst is None:
        return False
    peers = [
        name
        for name, other in state.fleet.instances.items()
        if other.pool == inst.pool and other.dc == inst.dc
    ]
    ejected = sum(1 for n in peers if n in state.health and state.health[n].ejected_s)
    return ejected + 1 <= len(peers) // 2


def _eject(state: EntryState, instance: InstanceId, found: Health) -> None:
    """Give an endpoint no requests for a while, doubling each time."""
    longer = min(found.ejected_s * 2, LONGEST_EJECTION_S)
    found.ejected_s = longer or FIRST_EJECTION_S
    found.ejected_until = state.now + found.ejected_s
    found.recent.clear()
    found.row = 0
    state.log(EJECTED, instance=instance, seconds=found.ejected_s)
