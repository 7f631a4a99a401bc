"""Refresh of the platform's list of instances, which names leaving endpoints."""

from __future__ import annotations

from primrosepitch.request.effects import ListInstances
from primrosepitch.request.events import InstancesListed
from primrosepitch.request.state import EntryState, InstanceList

__all__ = ["on_listed", "on_resumed", "refresh", "write_deadline"]

LIST_TIMEOUT_S = 1.0
"""Timeout of a read of the list; after it the folded state alone is used."""


def write_deadline(state: EntryState) -> float | None:
    """Return the time until which a request may be written, given the last list.

    A list that is too old is read again first. If the platform does not answer, the
    folded state decides alone: no planned stop can happen then, since a stop needs the
    log.

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
    """Read the list before it expires, so that requests need not wait for it.

    A read that has timed out is given up. Called on each tick.
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
    """Start a read of the list unless one is in progress."""
    if state.instance_list.pending_since is None:
        state.instance_list.pending_since = state.now
        state.emit(ListInstances())


def on_listed(state: EntryState, event: InstancesListed) -> None:
    """Store the list that was read, unless the stored one is more recent."""
    if event.asked >= state.instance_list.requested_at:
        leaving = frozenset(event.leaving)
        state.instance_list = InstanceList(requested_at=event.asked, leaving=leaving)


def on_resumed(state: EntryState) -> None:
    """Discard a read from before the process was suspended, as its age is unknown."""
    state.instance_list.pending_since = None
    state.instance_list.failed = False
