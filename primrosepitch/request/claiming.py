"""Claim rounds, which a non-idempotent request must win before it may run."""

from __future__ import annotations

from primrosepitch.errors import (
    OutcomeUnknownError,
    PrimroseError,
    RepeatRunningError,
    WitnessesMissingError,
)
from primrosepitch.ids import SessionId
from primrosepitch.request import answers, claims, queueing
from primrosepitch.request.effects import SendClaim
from primrosepitch.request.events import ClaimAnswered, ClaimVerdict
from primrosepitch.request.state import (
    Call,
    CallStage,
    Claim,
    ClaimRound,
    EntryState,
    Vote,
)

__all__ = ["give_up", "on_answer", "poll", "start"]

CLAIM_TIMEOUT_S = 2.0
"""Time after which a claim is no longer retried."""

CLAIM_RETRY_INTERVAL_S = 0.05
"""Minimum interval of retries to a peer at another epoch or without its table."""

_RECORDED = (ClaimVerdict.CLAIMED, ClaimVerdict.RUNNING)
_RETRIABLE = (ClaimVerdict.WRONG_EPOCH, ClaimVerdict.INCOMPLETE)


def start(state: EntryState, call: Call) -> None:
    """Claim the id of a request at the entries of its home data centre."""
    call.stage = CallStage.CLAIMING
    if call.request_id in state.claims.active_calls:
        answers.refuse(state, call, RepeatRunningError)
        return
    state.claims.active_calls[call.request_id] = call.call_id
    claim = claims.find(state, call.request_id)
    if claim is not None and claim.outcome in claims.TERMINAL:
        _answer_repeat(state, call, (claim.outcome, claim.holder))
        return
    if claim is None or claim.outcome is ClaimVerdict.CLAIMED:
        own_claim = Claim(state.session, ClaimVerdict.RUNNING, state.now)
        state.claims.by_id[call.request_id] = own_claim
    _start_round(state, call, state.now + CLAIM_TIMEOUT_S)


def _start_round(state: EntryState, call: Call, until: float) -> None:
    """Send claims to all entries of the home data centre at its current epoch."""
    home = claims.home_dc(state, call.request_id)
    previous = call.claim_round
    call.claim_round = ClaimRound(
        home_dc=home,
        epoch=claims.epoch_of(state, home),
        members=state.fleet.open_entries(home),
        retry_until=until,
        recorded=previous is not None and previous.recorded,
    )
    claim = claims.find(state, call.request_id)
    holder = claim.holder if claim is not None else state.session
    for session in call.claim_round.members:
        _send_claim(state, call, session)
    _send_claim(state, call, holder)
    _decide(state, call, call.claim_round)


def _send_claim(state: EntryState, call: Call, session: SessionId) -> None:
    """Send a claim to a session, unless it is the own one or was sent one before."""
    rnd = call.claim_round
    if rnd is None or session == state.session or session in rnd.sent_at:
        return
    rnd.sent_at[session] = state.now
    state.emit(
        SendClaim(
            to=session, call=call.call_id, request_id=call.request_id, epoch=rnd.epoch
        )
    )


def on_answer(state: EntryState, event: ClaimAnswered) -> None:
    """Record a peer's answer; one of another epoch is treated as ``WRONG_EPOCH``."""
    call = state.calls.get(event.call)
    if call is None or call.stage is not CallStage.CLAIMING or call.claim_round is None:
        return
    rnd = call.claim_round
    if event.verdict is None:
        rnd.answers.setdefault(event.session, None)
    elif event.verdict in _RECORDED and event.epoch != rnd.epoch:
        rnd.answers[event.session] = (ClaimVerdict.WRONG_EPOCH, SessionId(""))
    else:
        rnd.answers[event.session] = (event.verdict, event.holder)
    rnd.recorded = rnd.recorded or event.verdict in _RECORDED
    if event.verdict is ClaimVerdict.RUNNING and event.holder in state.fleet.sessions:
        _send_claim(state, call, event.holder)
    _decide(state, call, rnd)


def poll(state: EntryState) -> None:
    """Retry claims that a change of epoch or an incomplete table left undecided."""
    for call_id in list(state.claims.active_calls.values()):
        call = state.calls[call_id]
        rnd = call.claim_round
        if call.stage is not CallStage.CLAIMING or rnd is None:
            continue
        if rnd.epoch != claims.epoch_of(state, rnd.home_dc):
            _start_round(state, call, rnd.retry_until)
            continue
        for session, sent_at in list(rnd.sent_at.items()):
            answer = rnd.answers.get(session)
            retriable = answer is not None and answer[0] in _RETRIABLE
            if retriable and state.now - sent_at >= CLAIM_RETRY_INTERVAL_S:
                del rnd.sent_at[session]
                _send_claim(state, call, session)
        _decide(state, call, rnd)


def _decide(state: EntryState, call: Call, rnd: ClaimRound) -> None:
    """Enqueue, refuse or answer a request as soon as the votes decide it."""
    ended = _terminal_answer(state, call, rnd)
    if ended is not None:
        _answer_repeat(state, call, ended)
        return
    own_vote = _vote(state, call, rnd, state.session, [])
    votes = [_vote(state, call, rnd, s, []) for s in rnd.members]
    majority = len(votes) // 2 + 1
    granted = votes.count(Vote.GRANTED)
    pending = votes.count(Vote.PENDING)
    if own_vote is Vote.GRANTED and granted >= majority:
        _on_granted(state, call)
        return
    if own_vote in (Vote.GRANTED, Vote.PENDING) and granted + pending >= majority:
        return
    possible = granted + pending + votes.count(Vote.RETRY)
    if (
        own_vote is not Vote.REFUSED
        and possible >= majority
        and state.now < rnd.retry_until
    ):
        return
    give_up(state, call)


def _terminal_answer(
    state: EntryState, call: Call, rnd: ClaimRound
) -> tuple[ClaimVerdict, SessionId] | None:
    """Return how an earlier request with the id ended, if any session recorded it."""
    claim = claims.find(state, call.request_id)
    verdicts = [a for a in rnd.answers.values() if a is not None]
    if claim is not None:
        verdicts.append((claim.outcome, claim.holder))
    for verdict in claims.TERMINAL:
        for answer in verdicts:
            if answer[0] is verdict:
                return answer
    return None


def _vote(
    state: EntryState,
    call: Call,
    rnd: ClaimRound,
    session: SessionId,
    visited: list[SessionId],
) -> Vote:
    """Return the vote of a session, following the holders that it names."""
    if session in visited:
        return Vote.REFUSED
    if session == state.session:
        return _own_vote(state, call, rnd, visited)
    if session not in rnd.sent_at:
        return Vote.REFUSED
    if session not in rnd.answers:
        return Vote.PENDING
    answer = rnd.answers[session]
    if answer is None:
        return Vote.REFUSED
    verdict, holder = answer
    if verdict is ClaimVerdict.CLAIMED:
        return Vote.GRANTED
    if verdict is ClaimVerdict.RUNNING:
        return _vote(state, call, rnd, holder, [*visited, session])
    return Vote.RETRY if verdict in _RETRIABLE else Vote.REFUSED


def _own_vote(
    state: EntryState, call: Call, rnd: ClaimRound, visited: list[SessionId]
) -> Vote:
    """Return the vote of this entry, from its own table of claims."""
    if rnd.home_dc == state.dc and not state.claims.complete:
        return Vote.RETRY
    claim = claims.find(state, call.request_id)
    if claim is None or claim.holder == state.session:
        return Vote.GRANTED
    return _vote(state, call, rnd, claim.holder, [*visited, state.session])


def _on_granted(state: EntryState, call: Call) -> None:
    """Enqueue a request whose claim was granted."""
    own_claim = Claim(state.session, ClaimVerdict.RUNNING, state.now)
    state.claims.by_id[call.request_id] = own_claim
    if call.repeat and not claims.names_dc(state, call.request_id):
        # Another data centre may have run the first attempt and hold its claim.
        answers.refuse(state, call, OutcomeUnknownError, "repeat of an unknown id")
        return
    queueing.enqueue(state, call)


def _answer_repeat(
    state: EntryState, call: Call, ended: tuple[ClaimVerdict, SessionId]
) -> None:
    """Respond to the repeat of a request that has ended."""
    verdict, holder = ended
    claims.record_outcome(state, holder, call.request_id, verdict)
    if verdict is ClaimVerdict.DONE:
        answers.repeat_answer(state, call, holder)
    else:
        answers.refuse(state, call, OutcomeUnknownError, "repeat of an unknown run")


def give_up(state: EntryState, call: Call) -> None:
    """Refuse a request whose id could not be claimed."""
    rnd = call.claim_round
    if rnd is None:
        return
    own_vote = _vote(state, call, rnd, state.session, [])
    if own_vote is Vote.GRANTED:
        # An earlier holder may have transferred the id to this session.
        own_claim = Claim(state.session, ClaimVerdict.RUNNING, state.now)
        state.claims.by_id[call.request_id] = own_claim
    answers.refuse(state, call, _refusal_error(state, call, rnd, own_vote))


def _refusal_error(
    state: EntryState, call: Call, rnd: ClaimRound, own_vote: Vote
) -> type[PrimroseError]:
    """Return the most specific error that earlier attempts cannot contradict."""
    running = any(a and a[0] is ClaimVerdict.RUNNING for a in rnd.answers.values())
    if running or own_vote is Vote.REFUSED:
        return RepeatRunningError
    sent_elsewhere = rnd.home_dc != state.dc and rnd.sent_at
    if call.repeat or rnd.recorded or sent_elsewhere:
        return OutcomeUnknownError
    return WitnessesMissingError
