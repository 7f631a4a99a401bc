"""Age of the platform's list, which names endpoints that leave."""

from __future__ import annotations

from primrosepitch.request.effects import ListInstances
from primrosepitch.request.events import InstancesListed
from primrosepitch.request.state import EntryState, ListState

__all__ = ["refresh", "resumed", "take", "write_limit"]

LIST_WAIT_S = 1.0
"""Time after which a read of the list is given up and the fold alone is used."""


def write_limit(state: EntryState) -> float | None:
    """Return the time until which a request may be written by what is known now.

    A list that is too old is read again first. Without the platform the fold decides
    alone; no planned stop can happen then, since a stop needs the log.

    :returns: ``None`` while the list is being read
    """
    listed = state.listed
    max_age_s = state.settings.leaving_deadline_s
    if state.now - listed.asked <= max_age_s:
        return listed.asked + max_age_s
    if listed.failed:
        return state.now + max_age_s
    _read(state)
    return None


def refresh(state: EntryState) -> None:
    """Read the list in time, so that requests need not wait for it; give up old reads.

    Called on each tick.
    """
    listed = state.listed
    if listed.pending is not None and state.now - listed.pending > LIST_WAIT_S:
        listed.failed = True
        listed.pending = None
    if state.now - listed.asked > state.settings.leaving_deadline_s / 2:
        _read(state)


def _read(state: EntryState) -> None:
    """Start a read unless one is under way."""
    if state.listed.pending is None:
        state.listed.pending = state.now
        state.emit(ListInstances())


def take(state: EntryState, event: InstancesListed) -> None:
    """Take note of the list, unless it is older than the one known."""
    if event.asked >= state.listed.asked:
        leaving = frozenset(event.leaving)
        state.listed = ListState(asked=event.asked, leaving=leaving)


def resumed(state: EntryState) -> None:
    """Forget reads from before a pause, since nothing is known about their age."""
    state.listed.pending = None
    state.listed.failed = False
