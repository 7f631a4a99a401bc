"""Age of the platform's list, which names endpoints that leave."""

from __future__ import annotations

from primrosepitch.request.effects import ListInstances
from primrosepitch.request.events import InstancesListed
from primrosepitch.request.state import EntryState, InstanceList

__all__ = ["on_listed", "on_resumed", "refresh", "write_deadline"]

LIST_TIMEOUT_S = 1.0
"""Time after which a read of the list is given up and the fold alone is used."""


def write_deadline(state: EntryState) -> float | None:
    """Return the time until which a request may be written by what is known now.

    A list that is too old is read again first. Without the platform the fold decides
    alone; no planned stop can happen then, since a stop needs the log.

    :returns: ``None`` while the list is being read
    """
    listed = state.instance_list
    max_age_s = state.settings.leaving_deadline_s
    if state.now - listed.requested_at <= max_age_s:
        return listed.requested_at + max_age_s
    if listed.failed:
        return state.now + max_age_s
    _start_read(state)
    return None


def refresh(state: EntryState) -> None:
    """Read the list in time, so that requests need not wait for it; give up old reads.

    Called on each tick.
    """
    listed = state.instance_list
    if (
        listed.pending_since is not None
        and state.now - listed.pending_since > LIST_TIMEOUT_S
    ):
        listed.failed = True
        listed.pending_since = None
    if state.now - listed.requested_at > state.settings.leaving_deadline_s / 2:
        _start_read(state)


def _start_read(state: EntryState) -> None:
    """Start a read unless one is under way."""
    if state.instance_list.pending_since is None:
        state.instance_list.pending_since = state.now
        state.emit(ListInstances())


def on_listed(state: EntryState, event: InstancesListed) -> None:
    """Take note of the list, unless it is older than the one known."""
    if event.asked >= state.instance_list.requested_at:
        leaving = frozenset(event.leaving)
        state.instance_list = InstanceList(requested_at=event.asked, leaving=leaving)


def on_resumed(state: EntryState) -> None:
    """Forget reads from before a pause, since nothing is known about their age."""
    state.instance_list.pending_since = None
    state.instance_list.failed = False
