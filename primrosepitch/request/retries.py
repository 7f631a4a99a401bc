"""Retry policy: which requests may be retried, and the budget of retries."""

from __future__ import annotations

from primrosepitch.request.events import Failure
from primrosepitch.request.state import MAX_RETRY_TOKENS, Call, EntryState

__all__ = ["deposit", "may_retry", "withdraw"]

RETRY_TOKENS_PER_REQUEST = 0.1
"""Tokens that each new request adds to the budget; a retry costs one token."""


def deposit(state: EntryState) -> None:
    """Add the tokens of a new request to the budget."""
    state.retry_budget.tokens = min(
        MAX_RETRY_TOKENS, state.retry_budget.tokens + RETRY_TOKENS_PER_REQUEST
    )


def may_retry(state: EntryState, call: Call, failure: Failure) -> bool:
    """Whether a failed request may be sent again, to the same or another endpoint.

    A request that may have been sent is retried only if it is idempotent, since it
    could otherwise run twice.
    """
    if call.maybe_sent and not call.idempotent:
        return False
    if failure is Failure.TOO_LARGE or not state.may_dispatch:
        return False
    return state.now < call.deadline and state.retry_budget.tokens >= 1.0


def withdraw(state: EntryState) -> None:
    """Spend one token for a retry."""
    state.retry_budget.tokens -= 1.0
