"""Performers of the effects of an entry's reducer."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from primrosepitch.errors import ERRORS, OutcomeUnknownError
from primrosepitch.events import EVENTS, emit
from primrosepitch.gen.primrose.ttypes import AskUnits, ClaimAnswer, ClaimDone
from primrosepitch.net.caller_headers import ENTRY_RESPONSE_HEADERS
from primrosepitch.net.claim_messages import encode_claims
from primrosepitch.net.http_messages import HttpResponse, header, without_hop_headers
from primrosepitch.net.http_server import error_response
from primrosepitch.request import effects as eff

if TYPE_CHECKING:
    from primrosepitch.bin.entry import Entry

__all__ = ["perform"]

Performer = Callable[["Entry", Any], None]
_PERFORMERS: dict[type, Performer] = {}


def performer_for(kind: type) -> Callable[[Performer], Performer]:
    """Register a function that performs effects of one class."""

    def register(performer: Performer) -> Performer:
        _PERFORMERS[kind] = performer
        return performer

    return register


def perform(entry: Entry, effect: eff.Effect) -> None:
    """Perform one effect."""
    _PERFORMERS[type(effect)](entry, effect)


@performer_for(eff.Refuse)
def _refuse(entry: Entry, effect: eff.Refuse) -> None:
    error = ERRORS[effect.code](effect.detail)
    outcome = effect.outcome.value
    entry.answer(effect.call, error_response(error, outcome), outcome)


@performer_for(eff.PassAnswer)
def _pass_answer(entry: Entry, effect: eff.PassAnswer) -> None:
    found = entry.calls.get(effect.call)
    if found is None or found.response is None:
        error = OutcomeUnknownError("the response is not stored")
        entry.answer(effect.call, error_response(error, "unknown"), "unknown")
        return
    kept = without_hop_headers(found.response.headers)
    if found.exchange.request.method == b"HEAD":
        length = header(found.response.headers, b"content-length")
        kept += [(b"content-length", length)] if length is not None else []
    headers = [(k, v) for k, v in kept if k not in ENTRY_RESPONSE_HEADERS]
    headers.append((b"primrose-outcome", b"answered"))
    response = HttpResponse(found.response.status, headers, found.response.body)
    if effect.keep:
        entry.answers.put(found.request_id, response)
    entry.answer(effect.call, response, "answered")


@performer_for(eff.RepeatAnswer)
def _repeat_answer(entry: Entry, effect: eff.RepeatAnswer) -> None:
    entry.spawn(entry.repeat_answer(effect))


@performer_for(eff.OpenConnection)
def _open_connection(entry: Entry, effect: eff.OpenConnection) -> None:
    entry.start_opening(effect)


@performer_for(eff.CloseConnection)
def _close_connection(entry: Entry, effect: eff.CloseConnection) -> None:
    entry.close_connection(effect.conn)


@performer_for(eff.SendRequest)
def _send_request(entry: Entry, effect: eff.SendRequest) -> None:
    entry.send_request(effect)


@performer_for(eff.Append)
def _append(entry: Entry, effect: eff.Append) -> None:
    entry.append(effect.record)


@performer_for(eff.ListInstances)
def _list_instances(entry: Entry, effect: eff.ListInstances) -> None:
    entry.spawn(entry.list_instances())


@performer_for(eff.AskUnits)
def _ask_units(entry: Entry, effect: eff.AskUnits) -> None:
    client = entry.peers.client(effect.to)
    if client is not None:
        client.notify(AskUnits(session=entry.session, units=dict(effect.units)))


@performer_for(eff.SendClaim)
def _send_claim(entry: Entry, effect: eff.SendClaim) -> None:
    entry.spawn(entry.claim(effect))


@performer_for(eff.SendClaimEnd)
def _send_claim_end(entry: Entry, effect: eff.SendClaimEnd) -> None:
    client = entry.peers.client(effect.to)
    if client is not None:
        client.notify(
            ClaimDone(
                session=entry.session,
                request_id=effect.request_id,
                outcome=effect.outcome.value,
            )
        )


@performer_for(eff.ReplyClaim)
def _reply_claim(entry: Entry, effect: eff.ReplyClaim) -> None:
    answer = ClaimAnswer(
        verdict=effect.verdict.value, epoch=effect.epoch, holder=effect.holder
    )
    entry.reply_to_peer(effect.token, answer)
    entry.discard_peer_request(effect.token)


@performer_for(eff.SendSync)
def _send_sync(entry: Entry, effect: eff.SendSync) -> None:
    entry.spawn(entry.sync_claims(effect))


@performer_for(eff.ReplySync)
def _reply_sync(entry: Entry, effect: eff.ReplySync) -> None:
    for part in encode_claims(effect):
        entry.reply_to_peer(effect.token, part)
    entry.discard_peer_request(effect.token)


@performer_for(eff.LogLine)
def _log_line(entry: Entry, effect: eff.LogLine) -> None:
    emit(EVENTS[effect.number], **effect.fields)


@performer_for(eff.Finished)
def _finished(entry: Entry, effect: eff.Finished) -> None:
    entry.finish()
