"""Rules and budget of retries."""

from __future__ import annotations

from primrosepitch.request.events import Failure
from primrosepitch.request.state import RETRY_BURST, Call, EntryState

__all__ = ["deposit", "may_retry", "withdraw"]

RETRY_RATIO = 0.1
"""Retries allowed for each request."""


def deposit(state: EntryState) -> None:
    """Count a new request towards the budget."""
    state.retry_budget.tokens = min(
        RETRY_BURST, state.retry_budget.tokens + RETRY_RATIO
    )


def may_retry(state: EntryState, call: Call, failure: Failure) -> bool:
    """Whether a failed request may be sent again, to whichever endpoint.

    A second run is possible unless the request is idempotent or no attempt was sent.
    """
    if call.maybe_sent and not call.idempotent:
        return False
    if failure is Failure.TOO_LARGE or not state.may_dispatch:
        return False
    return state.now < call.deadline and state.retry_budget.tokens >= 1.0


def withdraw(state: EntryState) -> None:
    """Take one retry from the budget."""
    state.retry_budget.tokens -= 1.0
