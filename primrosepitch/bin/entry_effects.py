"""What an entry does for each effect of its reducer."""

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


def performs(kind: type) -> Callable[[Performer], Performer]:
    """Register what carries out a kind of effect."""

    def register(performer: Performer) -> Performer:
        _PERFORMERS[kind] = performer
        return performer

    return register


def perform(entry: Entry, effect: eff.Effect) -> None:
    """Carry out one effect."""
    _PERFORMERS[type(effect)](entry, effect)


@performs(eff.Refuse)
def _refuse(entry: Entry, effect: eff.Refuse) -> None:
    error = ERRORS[effect.code](effect.detail)
    outcome = effect.outcome.value
    entry.answer(effect.call, error_response(error, outcome), outcome)


@performs(eff.PassAnswer)
def _pass_answer(entry: Entry, effect: eff.PassAnswer) -> None:
    found = entry.calls.get(effect.call)
    if found is None or found.response is None:
        error = OutcomeUnknownError("the answer is not held")
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


@performs(eff.RepeatAnswer)
def _repeat(entry: Entry, effect: eff.RepeatAnswer) -> None:
    entry.spawn(entry.repeat_answer(effect))


@performs(eff.OpenConnection)
def _open(entry: Entry, effect: eff.OpenConnection) -> None:
    entry.start_opening(effect)


@performs(eff.CloseConnection)
def _close(entry: Entry, effect: eff.CloseConnection) -> None:
    entry.close_connection(effect.conn)


@performs(eff.SendRequest)
def _send(entry: Entry, effect: eff.SendRequest) -> None:
    entry.send_request(effect)


@performs(eff.Append)
def _append(entry: Entry, effect: eff.Append) -> None:
    entry.append(effect.record)


@performs(eff.ListInstances)
def _list(entry: Entry, effect: eff.ListInstances) -> None:
    entry.spawn(entry.list_instances())


@performs(eff.AskUnits)
def _ask_units(entry: Entry, effect: eff.AskUnits) -> None:
    client = entry.peers.client(effect.to)
    if client is not None:
        client.notify(AskUnits(session=entry.session, units=dict(effect.units)))


@performs(eff.SendClaim)
def _claim(entry: Entry, effect: eff.SendClaim) -> None:
    entry.spawn(entry.claim(effect))


@performs(eff.SendClaimEnd)
def _claim_end(entry: Entry, effect: eff.SendClaimEnd) -> None:
    client = entry.peers.client(effect.to)
    if client is not None:
        client.notify(
            ClaimDone(
                session=entry.session,
                request_id=effect.request_id,
                outcome=effect.outcome.value,
            )
        )


@performs(eff.ReplyClaim)
def _reply_claim(entry: Entry, effect: eff.ReplyClaim) -> None:
    answer = ClaimAnswer(
        verdict=effect.verdict.value, epoch=effect.epoch, holder=effect.holder
    )
    entry.answer_question(effect.token, answer)
    entry.forget_question(effect.token)


@performs(eff.SendSync)
def _sync(entry: Entry, effect: eff.SendSync) -> None:
    entry.spawn(entry.sync_claims(effect))


@performs(eff.ReplySync)
def _reply_sync(entry: Entry, effect: eff.ReplySync) -> None:
    for part in encode_claims(effect):
        entry.answer_question(effect.token, part)
    entry.forget_question(effect.token)


@performs(eff.LogLine)
def _log_line(entry: Entry, effect: eff.LogLine) -> None:
    emit(EVENTS[effect.number], **effect.fields)


@performs(eff.Finished)
def _finished(entry: Entry, effect: eff.Finished) -> None:
    entry.finish()
