"""Rounds that claim a request id before a non-idempotent request may run."""

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
from primrosepitch.request.state import Call, ClaimRound, EntryState, Reply, Row, Stage

__all__ = ["answered", "begin", "give_up", "poll"]

CLAIM_S = 2.0
"""Longest time for which a claim is tried."""

ASK_AGAIN_S = 0.05
"""Time after which a peer at another epoch or without its table is asked again."""

_RECORDED = (ClaimVerdict.CLAIMED, ClaimVerdict.RUNNING)
_AGAIN = (ClaimVerdict.WRONG_EPOCH, ClaimVerdict.INCOMPLETE)


def begin(state: EntryState, call: Call) -> None:
    """Claim the id of a request at the entries of its data centre."""
    call.stage = Stage.CLAIMING
    if call.request_id in state.claims.active:
        answers.refuse(state, call, RepeatRunningError)
        return
    state.claims.active[call.request_id] = call.call
    row = claims.find(state, call.request_id)
    if row is not None and row.outcome in claims.TERMINAL:
        _repeat(state, call, (row.outcome, row.holder))
        return
    if row is None or row.outcome is ClaimVerdict.CLAIMED:
        own = Row(state.session, ClaimVerdict.RUNNING, state.now)
        state.claims.rows[call.request_id] = own
    _start_round(state, call, state.now + CLAIM_S)


def _start_round(state: EntryState, call: Call, until: float) -> None:
    """Ask all entries of the data centre at its current epoch."""
    home = claims.home_dc(state, call.request_id)
    earlier = call.round
    call.round = ClaimRound(
        home=home,
        epoch=claims.epoch_of(state, home),
        members=state.fleet.open_entries(home),
        until=until,
        reached=earlier is not None and earlier.reached,
    )
    row = claims.find(state, call.request_id)
    holder = row.holder if row is not None else state.session
    for session in call.round.members:
        _ask(state, call, session)
    _ask(state, call, holder)
    _decide(state, call, call.round)


def _ask(state: EntryState, call: Call, session: SessionId) -> None:
    """Ask a session unless it was asked or is the own one."""
    rnd = call.round
    if rnd is None or session == state.session or session in rnd.asked:
        return
    rnd.asked[session] = state.now
    state.emit(
        SendClaim(
            to=session, call=call.call, request_id=call.request_id, epoch=rnd.epoch
        )
    )


def answered(state: EntryState, event: ClaimAnswered) -> None:
    """Take a peer's answer; one of another epoch counts as none."""
    call = state.calls.get(event.call)
    if call is None or call.stage is not Stage.CLAIMING or call.round is None:
        return
    rnd = call.round
    if event.verdict is None:
        rnd.answers.setdefault(event.session, None)
    elif event.verdict in _RECORDED and event.epoch != rnd.epoch:
        rnd.answers[event.session] = (ClaimVerdict.WRONG_EPOCH, SessionId(""))
    else:
        rnd.answers[event.session] = (event.verdict, event.holder)
    rnd.reached = rnd.reached or event.verdict in _RECORDED
    if event.verdict is ClaimVerdict.RUNNING and event.holder in state.fleet.sessions:
        _ask(state, call, event.holder)
    _decide(state, call, rnd)


def poll(state: EntryState) -> None:
    """Repeat questions that another epoch or an incomplete table left open."""
    for number in list(state.claims.active.values()):
        call = state.calls[number]
        rnd = call.round
        if call.stage is not Stage.CLAIMING or rnd is None:
            continue
        if rnd.epoch != claims.epoch_of(state, rnd.home):
            _start_round(state, call, rnd.until)
            continue
        for session, at in list(rnd.asked.items()):
            answer = rnd.answers.get(session)
            again = answer is not None and answer[0] in _AGAIN
            if again and state.now - at >= ASK_AGAIN_S:
                del rnd.asked[session]
                _ask(state, call, session)
        _decide(state, call, rnd)


def _decide(state: EntryState, call: Call, rnd: ClaimRound) -> None:
    """Run, refuse or repeat the answer as soon as the answers allow it."""
    ended = _terminal(state, call, rnd)
    if ended is not None:
        _repeat(state, call, ended)
        return
    own = _reply(state, call, rnd, state.session, [])
    votes = [_reply(state, call, rnd, s, []) for s in rnd.members]
    need = len(votes) // 2 + 1
    granted = votes.count(Reply.YES)
    waiting = votes.count(Reply.WAITING)
    if own is Reply.YES and granted >= need:
        _granted(state, call)
        return
    if own in (Reply.YES, Reply.WAITING) and granted + waiting >= need:
        return
    possible = granted + waiting + votes.count(Reply.RETRY)
    if own is not Reply.NO and possible >= need and state.now < rnd.until:
        return
    give_up(state, call)


def _terminal(
    state: EntryState, call: Call, rnd: ClaimRound
) -> tuple[ClaimVerdict, SessionId] | None:
    """Return how an earlier request with the id ended, if anyone knows."""
    row = claims.find(state, call.request_id)
    known = [a for a in rnd.answers.values() if a is not None]
    if row is not None:
        known.append((row.outcome, row.holder))
    for verdict in claims.TERMINAL:
        for answer in known:
            if answer[0] is verdict:
                return answer
    return None


def _reply(
    state: EntryState,
    call: Call,
    rnd: ClaimRound,
    session: SessionId,
    seen: list[SessionId],
) -> Reply:
    """Return where the claim stands at a session, following the holders it names."""
    if session in seen:
        return Reply.NO
    if session == state.session:
        return _own_reply(state, call, rnd, seen)
    if session not in rnd.asked:
        return Reply.NO
    if session not in rnd.answers:
        return Reply.WAITING
    answer = rnd.answers[session]
    if answer is None:
        return Reply.NO
    verdict, holder = answer
    if verdict is ClaimVerdict.CLAIMED:
        return Reply.YES
    if verdict is ClaimVerdict.RUNNING:
        return _reply(state, call, rnd, holder, [*seen, session])
    return Reply.RETRY if verdict in _AGAIN else Reply.NO


def _own_reply(
    state: EntryState, call: Call, rnd: ClaimRound, seen: list[SessionId]
) -> Reply:
    """Return where the claim stands in the own table."""
    if rnd.home == state.dc and not state.claims.complete:
        return Reply.RETRY
    row = claims.find(state, call.request_id)
    if row is None or row.holder == state.session:
        return Reply.YES
    return _reply(state, call, rnd, row.holder, [*seen, state.session])


def _granted(state: EntryState, call: Call) -> None:
    """Let a claimed request wait for its turn."""
    own = Row(state.session, ClaimVerdict.RUNNING, state.now)
    state.claims.rows[call.request_id] = own
    if call.repeat and not claims.is_prefixed(state, call.request_id):
        # The first attempt may have run in another data centre.
        answers.refuse(state, call, OutcomeUnknownError, "repeat of an unknown id")
        return
    queueing.enqueue(state, call)


def _repeat(
    state: EntryState, call: Call, ended: tuple[ClaimVerdict, SessionId]
) -> None:
    """Answer the repeat of a request that has ended."""
    verdict, holder = ended
    claims.end(state, holder, call.request_id, verdict)
    if verdict is ClaimVerdict.DONE:
        answers.repeat_answer(state, call, holder)
    else:
        answers.refuse(state, call, OutcomeUnknownError, "repeat of an unknown run")


def give_up(state: EntryState, call: Call) -> None:
    """Refuse a request whose id could not be claimed."""
    rnd = call.round
    if rnd is None:
        return
    own = _reply(state, call, rnd, state.session, [])
    if own is Reply.YES:
        # An earlier holder may have passed the id on to this session.
        mine = Row(state.session, ClaimVerdict.RUNNING, state.now)
        state.claims.rows[call.request_id] = mine
    answers.refuse(state, call, _error(state, call, rnd, own))


def _error(
    state: EntryState, call: Call, rnd: ClaimRound, own: Reply
) -> type[PrimroseError]:
    """Return the error that says no more than is known about earlier attempts."""
    running = any(a and a[0] is ClaimVerdict.RUNNING for a in rnd.answers.values())
    if running or own is Reply.NO:
        return RepeatRunningError
    foreign = rnd.home != state.dc and rnd.asked
    if call.repeat or rnd.reached or foreign:
        return OutcomeUnknownError
    return WitnessesMissingError
