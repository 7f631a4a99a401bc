"""Completion of calls: each call gets exactly one response."""

from __future__ import annotations

import logging

from primrosepitch.errors import (
    EndpointFailedError,
    OutcomeUnknownError,
    PrimroseError,
    RepeatRunningError,
)
from primrosepitch.events import event
from primrosepitch.ids import SessionId
from primrosepitch.request import claims, queueing
from primrosepitch.request.effects import Outcome, PassAnswer, Refuse, RepeatAnswer
from primrosepitch.request.events import ClaimVerdict, RequestArrived
from primrosepitch.request.state import Call, CallStage, EntryState

__all__ = ["pass_answer", "refuse", "refuse_unadmitted", "repeat_answer"]

REQUEST_REFUSED = event(
    2002,
    "request_refused",
    logging.INFO,
    "A request was refused; the caller gets an error.",
)

KEPT_ANSWER_BYTES = 64 * 1024
"""Size limit for responses that are stored for repeats of their request id."""

_OUTCOMES: dict[type[PrimroseError], Outcome] = {
    OutcomeUnknownError: Outcome.UNKNOWN,
    RepeatRunningError: Outcome.UNKNOWN,
    EndpointFailedError: Outcome.ENDPOINT_FAILED,
}
"""Outcomes of errors; an error that is not listed means "not run"."""


def refuse_unadmitted(state: EntryState, request: RequestArrived, code: str) -> None:
    """Refuse a request that was not admitted.

    A repeat of a non-idempotent request is refused as "unknown", since the first
    attempt may have run.
    """
    outcome, detail = Outcome.NOT_RUN, ""
    if request.repeat and request.caller_id and not request.idempotent:
        outcome, detail, code = Outcome.UNKNOWN, code, OutcomeUnknownError.code
    call_id = request.call
    state.emit(Refuse(call=call_id, outcome=outcome, code=code, detail=detail))
    state.log(
        REQUEST_REFUSED, call=call_id, code=code, outcome=outcome.value, detail=detail
    )


def refuse(
    state: EntryState, call: Call, error: type[PrimroseError], detail: str = ""
) -> None:
    """Refuse a request.

    A request that may have run is never refused as "not run": any error with that
    outcome is replaced by ``OutcomeUnknownError``.
    """
    outcome = _OUTCOMES.get(error, Outcome.NOT_RUN)
    if outcome is Outcome.NOT_RUN and _may_have_run(call):
        error, outcome = OutcomeUnknownError, Outcome.UNKNOWN
    _remove_call(state, call)
    claims.finish_own(state, call, _claim_verdict(call, outcome))
    state.emit(
        Refuse(call=call.call_id, outcome=outcome, code=error.code, detail=detail)
    )
    state.log(
        REQUEST_REFUSED,
        call=call.call_id,
        request_id=call.request_id,
        queue=call.queue,
        team=call.team,
        code=error.code,
        outcome=outcome.value,
        tries=call.attempts,
        detail=detail,
    )


def _may_have_run(call: Call) -> bool:
    """Whether this request, or the one that it repeats, may have run."""
    if call.maybe_sent or call.stage is CallStage.SENDING:
        return True
    return call.repeat and call.stage is CallStage.CLAIMING


def _claim_verdict(call: Call, outcome: Outcome) -> ClaimVerdict:
    """Return the verdict that repeats of a refused request get."""
    if outcome is Outcome.NOT_RUN or not call.maybe_sent:
        return ClaimVerdict.CLAIMED
    return ClaimVerdict.LOST


def pass_answer(state: EntryState, call: Call, size: int) -> None:
    """Forward the endpoint's response to the caller."""
    keep = call.needs_claim and size <= KEPT_ANSWER_BYTES
    _remove_call(state, call)
    claims.finish_own(state, call, ClaimVerdict.DONE if keep else ClaimVerdict.LOST)
    state.emit(PassAnswer(call=call.call_id, keep=keep))


def repeat_answer(state: EntryState, call: Call, holder: SessionId) -> None:
    """Send the caller the stored response of its request id."""
    _remove_call(state, call)
    claims.finish_own(state, call, ClaimVerdict.CLAIMED)
    state.emit(
        RepeatAnswer(call=call.call_id, request_id=call.request_id, holder=holder)
    )


def _remove_call(state: EntryState, call: Call) -> None:
    """Remove a call that is about to get its response."""
    if call.stage is CallStage.SENDING:
        call.maybe_sent = True
    if call.stage is CallStage.QUEUED:
        queueing.remove(state, call)
    call.stage = CallStage.DONE
    del state.calls[call.call_id]
