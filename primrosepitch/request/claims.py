"""Claims of request ids."""

from __future__ import annotations

from primrosepitch.request.events import ClaimVerdict
from primrosepitch.request.state import Call, EntryState

__all__ = ["ended"]


def ended(state: EntryState, call: Call, verdict: ClaimVerdict) -> None:
    """Note how a claimed request ended."""
