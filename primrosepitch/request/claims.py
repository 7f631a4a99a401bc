"""Table of claimed request ids at one entry, as claimer and as witness.

A claim is granted by a majority of the open entry sessions of a data centre at one
membership epoch. Two majorities of one membership share a witness. A session that
joins reads the claims of enough others before it grants any, and after a session
left, each of the others does the same, so that a witness of every earlier majority
is among those that each member knows of.
"""

from __future__ import annotations

import logging
from collections.abc import Iterator

from primrosepitch.events import event
from primrosepitch.fleet.state import SessionState
from primrosepitch.ids import DcId, RequestId, SessionId
from primrosepitch.request.effects import ReplySync, SendClaimEnd, SendSync
from primrosepitch.request.events import ClaimRow, ClaimsSynced, ClaimVerdict
from primrosepitch.request.state import Call, EntryState, Row

__all__ = [
    "end",
    "ended",
    "epoch_of",
    "find",
    "home_dc",
    "is_prefixed",
    "maintain",
    "members_changed",
    "reply_sync",
    "synced",
    "witness",
]

TABLE_SETTLED = event(
    2101,
    "claims_complete",
    logging.INFO,
    "The entry knows the claims of its data centre and may grant new ones.",
)
TABLE_UNSETTLED = event(
    2102,
    "claims_incomplete",
    logging.INFO,
    "Entries of the data centre changed; claims are read from peers before new ones "
    "are granted.",
    "check the links between the entries if it is not followed by 2101",
)

SYNC_INTERVAL_S = 0.5
PRUNE_INTERVAL_S = 10.0
TERMINAL = (ClaimVerdict.DONE, ClaimVerdict.LOST)

Found = tuple[ClaimVerdict, SessionId]
"""Verdict and the session that runs or ran the request."""


# Ids and rows


def _prefix(state: EntryState, request_id: RequestId) -> DcId | None:
    """Return the data centre that an id of the form ``DC~ID`` names."""
    name, mark, _ = request_id.partition("~")
    if not mark:
        return None
    specs = state.fleet.config.instances.values()
    return DcId(name) if any(s.dc == name for s in specs) else None


def is_prefixed(state: EntryState, request_id: RequestId) -> bool:
    """Whether an id names the data centre that has to know it."""
    return _prefix(state, request_id) is not None


def home_dc(state: EntryState, request_id: RequestId) -> DcId:
    """Return the data centre whose entries decide about an id."""
    return _prefix(state, request_id) or state.dc


def epoch_of(state: EntryState, dc: DcId) -> int:
    """Return the membership epoch of a data centre."""
    return state.fleet.epochs.get(dc, 0)


def find(state: EntryState, request_id: RequestId) -> Row | None:
    """Return the row of an id unless it has expired."""
    row = state.claims.rows.get(request_id)
    if row is None or _expired(state, request_id, row):
        return None
    if row.outcome is ClaimVerdict.RUNNING and not _open(state, row.holder):
        row.outcome = ClaimVerdict.LOST
    return row


def _expired(state: EntryState, request_id: RequestId, row: Row) -> bool:
    """Whether an id is no longer remembered."""
    if request_id in state.claims.active:
        return False
    return state.now - row.made > state.settings.claim_window_s


def _open(state: EntryState, session: SessionId) -> bool:
    """Whether a session is open."""
    found = state.fleet.sessions.get(session)
    return found is not None and found.state is SessionState.OPEN


# Witness


def witness(
    state: EntryState, session: SessionId, request_id: RequestId, epoch: int
) -> Found:
    """Answer a peer's claim and remember it.

    The holder of an id whose attempt was never sent passes the id on to the first
    peer that asks. Other witnesses go on naming the earlier holder, and the claimer
    follows the holders from one to the next.
    """
    home = home_dc(state, request_id)
    if epoch != epoch_of(state, home):
        return ClaimVerdict.WRONG_EPOCH, SessionId("")
    row = find(state, request_id)
    if row is not None and (row.outcome in TERMINAL or _own(state, row)):
        return row.outcome, row.holder
    unable = home == state.dc and not state.claims.complete
    if unable or (row is None and home != state.dc):
        return ClaimVerdict.INCOMPLETE, SessionId("")
    if row is None or row.outcome is ClaimVerdict.CLAIMED:
        made = Row(session, ClaimVerdict.RUNNING, state.now)
        state.claims.rows[request_id] = made
        return ClaimVerdict.CLAIMED, session
    # The claimer may get the id from the holder, so the row lasts from now on.
    row.made = state.now
    return row.outcome, row.holder


def _own(state: EntryState, row: Row) -> bool:
    """Whether the own session has an attempt that may still be sent or runs."""
    return row.holder == state.session and row.outcome is ClaimVerdict.RUNNING


def end(
    state: EntryState, session: SessionId, request_id: RequestId, outcome: ClaimVerdict
) -> None:
    """Note how a peer's request ended; this never changes again."""
    row = state.claims.rows.get(request_id)
    known = row is not None and row.outcome is ClaimVerdict.DONE
    if outcome in TERMINAL and not known:
        state.claims.rows[request_id] = Row(session, outcome, state.now)


def ended(state: EntryState, call: Call, verdict: ClaimVerdict) -> None:
    """Note how an own claimed request ended and tell the peers.

    :param verdict: ``CLAIMED`` if no attempt was sent, so that the id is free again
    """
    table = state.claims
    if table.active.get(call.request_id) != call.call:
        return
    del table.active[call.request_id]
    row = table.rows.get(call.request_id)
    if row is None or not _own(state, row):
        return
    row.outcome, row.made = verdict, state.now
    if verdict not in TERMINAL:
        return
    home = home_dc(state, call.request_id)
    for peer in state.fleet.open_entries(home):
        if peer != state.session:
            effect = SendClaimEnd(to=peer, request_id=call.request_id, outcome=verdict)
            state.emit(effect)


# Membership


def members_changed(state: EntryState, before: list[SessionId]) -> None:
    """React to a change of the open entry sessions of the own data centre.

    :param before: open entry sessions before the change
    """
    after = state.fleet.open_entries(state.dc)
    if after == before or state.session not in after:
        return
    table = state.claims
    if state.session not in before:
        others = [s for s in after if s != state.session]
        table.history = [others, after]
        if not others and epoch_of(state, state.dc) == 1:
            _settle(state, after)
            return
    else:
        table.history.append(after)
        if set(before) <= set(after):
            return
    table.complete = False
    table.min_epoch = epoch_of(state, state.dc)
    table.unsettled_since = state.now
    table.synced = []
    state.log(TABLE_UNSETTLED, epoch=table.min_epoch, members=after)
    _try_settle(state)
    _ask_peers(state)


def _settle(state: EntryState, members: list[SessionId]) -> None:
    """Note that no claim of an earlier membership is missing."""
    table = state.claims
    table.complete = True
    table.fresh = False
    table.history = [members]
    table.synced = []
    state.log(TABLE_SETTLED, epoch=epoch_of(state, state.dc), rows=len(table.rows))


def _try_settle(state: EntryState) -> None:
    """Settle once a witness of every earlier majority has been read.

    Claims of a membership that nobody knows any more expire with the claim window.
    """
    table = state.claims
    if table.complete or not table.history:
        return
    known = {state.session, *table.synced}
    earlier = table.history[:-1]
    met = all(m and len(known.intersection(m)) >= _enough(len(m)) for m in earlier)
    window_s = state.settings.claim_window_s
    if met or state.now - table.unsettled_since > window_s:
        _settle(state, table.history[-1])


def _enough(members: int) -> int:
    """Return how many members share at least one with every majority."""
    majority = members // 2 + 1
    return members - majority + 1


def _ask_peers(state: EntryState) -> None:
    """Ask the peers that are still missing for their claims."""
    table = state.claims
    if table.complete or not table.history:
        return
    table.sync_due = state.now + SYNC_INTERVAL_S
    for peer in table.history[-1]:
        if peer != state.session and peer not in table.synced:
            state.emit(SendSync(to=peer, min_epoch=table.min_epoch))


def maintain(state: EntryState) -> None:
    """Ask again for missing claims and forget expired ones; called on each tick."""
    table = state.claims
    _try_settle(state)
    if state.now >= table.sync_due:
        _ask_peers(state)
    if state.now >= table.prune_due:
        table.prune_due = state.now + PRUNE_INTERVAL_S
        old = [i for i, row in table.rows.items() if _expired(state, i, row)]
        for request_id in old:
            del table.rows[request_id]


# Synchronisation


def reply_sync(state: EntryState, token: int) -> None:
    """Send all claims to a peer; one that needs a later epoch asks again."""
    state.emit(
        ReplySync(
            token=token,
            epoch=epoch_of(state, state.dc),
            complete=state.claims.complete,
            claims=list(_shared_rows(state)),
        )
    )


def _shared_rows(state: EntryState) -> Iterator[ClaimRow]:
    """Return the rows that a peer has to know."""
    for request_id, row in state.claims.rows.items():
        if row.outcome is ClaimVerdict.CLAIMED or _expired(state, request_id, row):
            continue
        age_s = state.now - row.made
        yield ClaimRow(request_id, row.holder, row.outcome, age_s)


def synced(state: EntryState, event: ClaimsSynced) -> None:
    """Take over a peer's claims."""
    table = state.claims
    if event.epoch < table.min_epoch:
        return
    for claim in event.claims:
        _merge(state, claim)
    if table.complete or (table.fresh and not event.complete):
        return
    if event.session not in table.synced:
        table.synced.append(event.session)
    _try_settle(state)


def _merge(state: EntryState, claim: ClaimRow) -> None:
    """Take over one claim unless more is known here."""
    if claim.holder == state.session:
        return
    rows = state.claims.rows
    row = rows.get(claim.request_id)
    made = state.now - claim.age_s
    if row is None or (row.outcome not in TERMINAL and claim.outcome in TERMINAL):
        rows[claim.request_id] = Row(claim.holder, claim.outcome, made)
    elif row.outcome is not ClaimVerdict.CLAIMED:
        row.made = max(row.made, made)
