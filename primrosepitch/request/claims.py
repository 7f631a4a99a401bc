"""Table of claimed request ids at one entry, as claimer and as witness.

A claim is granted by a quorum: a majority of the open entry sessions of a data centre
at one membership epoch. Two majorities of one membership intersect, so at least one
witness has recorded both claims. Before it grants any claim, a session that joins
reads the claims of as many others as are needed to intersect every earlier majority.
After a session has left, each remaining one does the same.
"""

from __future__ import annotations

import logging
from collections.abc import Iterator

from primrosepitch.events import event
from primrosepitch.fleet.state import SessionState
from primrosepitch.ids import DcId, RequestId, SessionId
from primrosepitch.request.effects import ReplySync, SendClaimEnd, SendSync
from primrosepitch.request.events import ClaimRow, ClaimsSynced, ClaimVerdict
from primrosepitch.request.state import Call, Claim, EntryState

__all__ = [
    "answer_claim",
    "epoch_of",
    "find",
    "finish_own",
    "home_dc",
    "maintain",
    "names_dc",
    "on_members_changed",
    "on_synced",
    "record_outcome",
    "reply_sync",
]

CLAIMS_COMPLETE = event(
    2101,
    "claims_complete",
    logging.INFO,
    "The claim table is complete; the entry may grant new claims.",
)
CLAIMS_INCOMPLETE = event(
    2102,
    "claims_incomplete",
    logging.INFO,
    "The entry sessions of the data centre changed; the entry reads the claims of its "
    "peers before it grants new ones.",
    "check the connections between the entries if event 2101 does not follow",
)

SYNC_INTERVAL_S = 0.5
PRUNE_INTERVAL_S = 10.0
TERMINAL = (ClaimVerdict.DONE, ClaimVerdict.LOST)

ClaimAnswer = tuple[ClaimVerdict, SessionId]
"""Verdict and the session that runs or ran the request."""


# Request ids and claims


def _named_dc(state: EntryState, request_id: RequestId) -> DcId | None:
    """Return the data centre named by an id of the form ``DC~ID``."""
    name, separator, _ = request_id.partition("~")
    if not separator:
        return None
    specs = state.fleet.config.instances.values()
    return DcId(name) if any(s.dc == name for s in specs) else None


def names_dc(state: EntryState, request_id: RequestId) -> bool:
    """Whether an id names its home data centre."""
    return _named_dc(state, request_id) is not None


def home_dc(state: EntryState, request_id: RequestId) -> DcId:
    """Return the data centre whose entries decide about claims of an id."""
    return _named_dc(state, request_id) or state.dc


def epoch_of(state: EntryState, dc: DcId) -> int:
    """Return the membership epoch of a data centre."""
    return state.fleet.epochs.get(dc, 0)


def find(state: EntryState, request_id: RequestId) -> Claim | None:
    """Return the claim of an id unless it has expired.

    A running claim becomes ``LOST`` if the session of its holder is not open.
    """
    claim = state.claims.by_id.get(request_id)
    if claim is None or _expired(state, request_id, claim):
        return None
    if claim.outcome is ClaimVerdict.RUNNING and not _session_open(state, claim.holder):
        claim.outcome = ClaimVerdict.LOST
    return claim


def _expired(state: EntryState, request_id: RequestId, claim: Claim) -> bool:
    """Whether a claim is past the claim window; that of an active call never is."""
    if request_id in state.claims.active_calls:
        return False
    return state.now - claim.updated_at > state.settings.claim_window_s


def _session_open(state: EntryState, session: SessionId) -> bool:
    """Whether a session is open."""
    found = state.fleet.sessions.get(session)
    return found is not None and found.state is SessionState.OPEN


# Witness


def answer_claim(
    state: EntryState, session: SessionId, request_id: RequestId, epoch: int
) -> ClaimAnswer:
    """Return the verdict on a peer's claim, and record the claim if it is granted.

    The holder of an id whose attempt was never sent transfers the id to the first
    peer that claims it. Other witnesses keep naming the earlier holder, and the
    claimer follows the chain of holders.
    """
    home = home_dc(state, request_id)
    if epoch != epoch_of(state, home):
        return ClaimVerdict.WRONG_EPOCH, SessionId("")
    claim = find(state, request_id)
    if claim is not None and (claim.outcome in TERMINAL or _own_running(state, claim)):
        return claim.outcome, claim.holder
    incomplete = home == state.dc and not state.claims.complete
    if incomplete or (claim is None and home != state.dc):
        return ClaimVerdict.INCOMPLETE, SessionId("")
    if claim is None or claim.outcome is ClaimVerdict.CLAIMED:
        granted = Claim(session, ClaimVerdict.RUNNING, state.now)
        state.claims.by_id[request_id] = granted
        return ClaimVerdict.CLAIMED, session
    # The holder may transfer the id to the claimer, so the claim window restarts.
    claim.updated_at = state.now
    return claim.outcome, claim.holder


def _own_running(state: EntryState, claim: Claim) -> bool:
    """Whether the own session has an attempt that runs or may still be sent."""
    return claim.holder == state.session and claim.outcome is ClaimVerdict.RUNNING


def record_outcome(
    state: EntryState, session: SessionId, request_id: RequestId, outcome: ClaimVerdict
) -> None:
    """Record how a peer's request ended; ``DONE`` is final."""
    claim = state.claims.by_id.get(request_id)
    done = claim is not None and claim.outcome is ClaimVerdict.DONE
    if outcome in TERMINAL and not done:
        state.claims.by_id[request_id] = Claim(session, outcome, state.now)


def finish_own(state: EntryState, call: Call, verdict: ClaimVerdict) -> None:
    """Record how an own claimed request ended, and notify the peers.

    :param verdict: ``CLAIMED`` if no attempt was sent, which makes the id available
    """
    table = state.claims
    if table.active_calls.get(call.request_id) != call.call_id:
        return
    del table.active_calls[call.request_id]
    claim = table.by_id.get(call.request_id)
    if claim is None or not _own_running(state, claim):
        return
    claim.outcome, claim.updated_at = verdict, state.now
    if verdict not in TERMINAL:
        return
    home = home_dc(state, call.request_id)
    for peer in state.fleet.open_entries(home):
        if peer != state.session:
            effect = SendClaimEnd(to=peer, request_id=call.request_id, outcome=verdict)
            state.emit(effect)


# Membership


def on_members_changed(state: EntryState, before: list[SessionId]) -> None:
    """Handle a change of the open entry sessions of the own data centre.

    :param before: open entry sessions before the change
    """
    after = state.fleet.open_entries(state.dc)
    if after == before or state.session not in after:
        return
    table = state.claims
    if state.session not in before:
        others = [s for s in after if s != state.session]
        table.memberships = [others, after]
        if not others and epoch_of(state, state.dc) == 1:
            _mark_complete(state, after)
            return
    else:
        table.memberships.append(after)
        if set(before) <= set(after):
            return
    table.complete = False
    table.min_epoch = epoch_of(state, state.dc)
    table.incomplete_since = state.now
    table.synced_peers = []
    state.log(CLAIMS_INCOMPLETE, epoch=table.min_epoch, members=after)
    _check_complete(state)
    _request_sync(state)


def _mark_complete(state: EntryState, members: list[SessionId]) -> None:
    """Mark the table complete: no claim of an earlier membership is missing."""
    table = state.claims
    table.complete = True
    table.lacks_history = False
    table.memberships = [members]
    table.synced_peers = []
    state.log(CLAIMS_COMPLETE, epoch=epoch_of(state, state.dc), rows=len(table.by_id))


def _check_complete(state: EntryState) -> None:
    """Complete the table once a witness of every earlier majority has been read.

    If too few sessions of an earlier membership are left, the table is complete after
    the claim window, when the claims of that membership have expired.
    """
    table = state.claims
    if table.complete or not table.memberships:
        return
    known = {state.session, *table.synced_peers}
    earlier = table.memberships[:-1]
    covered = all(
        m and len(known.intersection(m)) >= _members_to_read(len(m)) for m in earlier
    )
    window_s = state.settings.claim_window_s
    if covered or state.now - table.incomplete_since > window_s:
        _mark_complete(state, table.memberships[-1])


def _members_to_read(members: int) -> int:
    """Return the number of members that intersects every majority."""
    majority = members // 2 + 1
    return members - majority + 1


def _request_sync(state: EntryState) -> None:
    """Request the claims of peers that have not sent them yet."""
    table = state.claims
    if table.complete or not table.memberships:
        return
    table.sync_due = state.now + SYNC_INTERVAL_S
    for peer in table.memberships[-1]:
        if peer != state.session and peer not in table.synced_peers:
            state.emit(SendSync(to=peer, min_epoch=table.min_epoch))


def maintain(state: EntryState) -> None:
    """Retry missing synchronisations and delete expired claims; called on each tick."""
    table = state.claims
    _check_complete(state)
    if state.now >= table.sync_due:
        _request_sync(state)
    if state.now >= table.prune_due:
        table.prune_due = state.now + PRUNE_INTERVAL_S
        expired = [i for i, claim in table.by_id.items() if _expired(state, i, claim)]
        for request_id in expired:
            del table.by_id[request_id]


# Synchronisation


def reply_sync(state: EntryState, token: int) -> None:
    """Send all claims to a peer; a peer that needs a later epoch retries."""
    state.emit(
        ReplySync(
            token=token,
            epoch=epoch_of(state, state.dc),
            complete=state.claims.complete,
            claims=list(_claims_to_send(state)),
        )
    )


def _claims_to_send(state: EntryState) -> Iterator[ClaimRow]:
    """Return the claims that a peer has to record."""
    for request_id, claim in state.claims.by_id.items():
        if claim.outcome is ClaimVerdict.CLAIMED or _expired(state, request_id, claim):
            continue
        age_s = state.now - claim.updated_at
        yield ClaimRow(request_id, claim.holder, claim.outcome, age_s)


def on_synced(state: EntryState, event: ClaimsSynced) -> None:
    """Merge the claims that a peer sent."""
    table = state.claims
    if event.epoch < table.min_epoch:
        return
    for received in event.claims:
        _merge(state, received)
    if table.complete or (table.lacks_history and not event.complete):
        return
    if event.session not in table.synced_peers:
        table.synced_peers.append(event.session)
    _check_complete(state)


def _merge(state: EntryState, received: ClaimRow) -> None:
    """Merge one claim; own claims and outcomes known here are not replaced."""
    if received.holder == state.session:
        return
    by_id = state.claims.by_id
    claim = by_id.get(received.request_id)
    updated_at = state.now - received.age_s
    if claim is None or (
        claim.outcome not in TERMINAL and received.outcome in TERMINAL
    ):
        by_id[received.request_id] = Claim(
            received.holder, received.outcome, updated_at
        )
    elif claim.outcome is not ClaimVerdict.CLAIMED:
        claim.updated_at = max(claim.updated_at, updated_at)
