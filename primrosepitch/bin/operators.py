"""HTTP API of an entry for operators."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import msgspec

from primrosepitch import clock
from primrosepitch.config.model import Document
from primrosepitch.errors import (
    AppendUnconfirmedError,
    LogUnavailableError,
    MalformedMessageError,
    PrimroseError,
    QueueUnknownError,
    StateNotLoadedError,
    VoidCommandError,
)
from primrosepitch.fleet.counts import limit_key
from primrosepitch.fleet.fold import Outcome
from primrosepitch.fleet.records import (
    AnyRecord,
    ConfigPublished,
    DrainCancelled,
    DrainStarted,
    KeyGiven,
    KeyWithdrawn,
    Proof,
    Record,
    SessionEnded,
    WaveCancelled,
    WavePaused,
    WaveResumed,
    WaveStarted,
)
from primrosepitch.fleet.state import FleetState
from primrosepitch.ids import KeyId, Offset, RecordId, SessionId
from primrosepitch.net.http_messages import HttpRequest, HttpResponse
from primrosepitch.net.http_server import Exchange, error_response
from primrosepitch.net.membership import PeerReport
from primrosepitch.operators.messages import fleet_view

__all__ = ["OperatorsApi", "Publication"]

COMMANDS = (
    DrainCancelled,
    DrainStarted,
    KeyGiven,
    KeyWithdrawn,
    SessionEnded,
    WaveCancelled,
    WavePaused,
    WaveResumed,
    WaveStarted,
)
"""Records that operators may append. The others are reserved to processes: a slice
returned, or a session closed, without its running process would overdraw a count."""

CONFIRM_TIMEOUT_S = 5.0
"""Timeout for a command to be read back from the log; a roll-out may take 7 s."""


class Publication(msgspec.Struct, frozen=True):
    """Body of ``POST /-/config``."""

    base_offset: Offset
    documents: dict[str, Document] = {}
    removed: list[str] = []
    operator: str = ""


class Process(Protocol):
    """Interface of the process that serves the API."""

    def fleet(self) -> FleetState:
        """Return the folded fleet state."""

    def ready(self) -> bool:
        """Return whether a state has been loaded."""

    def takes_work(self) -> bool:
        """Return whether the balancer may send callers to this process."""

    def overview(self) -> dict[str, Any]:
        """Return the fields of the status that concern this process."""

    def reports(self) -> dict[SessionId, PeerReport]:
        """Return the reports of other processes."""

    def log_up(self) -> bool:
        """Return whether the last read of the log succeeded."""

    def withdraw_pending(self, key_id: KeyId) -> None:
        """Withdraw a key while the log is unavailable."""

    def metrics_json(self) -> bytes:
        """Return the metrics as JSON."""

    async def confirm(self, record: Record, timeout_s: float) -> Outcome:
        """Append a record and return its outcome."""


Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


class OperatorsApi:
    """Handler of requests for paths below ``/-/``."""

    def __init__(self, process: Process) -> None:
        """Create the API of one process."""
        self._process = process
        self._routes: dict[tuple[bytes, bytes], Handler] = {
            (b"GET", b"/-/status"): self._status,
            (b"GET", b"/-/config"): self._config,
            (b"GET", b"/-/fleet"): self._fleet,
            (b"GET", b"/-/metrics"): self._metrics,
            (b"GET", b"/-/health"): self._health,
            (b"POST", b"/-/config"): self._publish,
            (b"POST", b"/-/records"): self._record,
        }

    async def answer(self, exchange: Exchange) -> None:
        """Handle one request and send its response."""
        request = exchange.request
        path = request.target.partition(b"?")[0]
        handler = self._routes.get((request.method, path))
        if handler is None:
            exchange.respond(error_response(QueueUnknownError("no such path")))
            return
        try:
            response = await handler(request)
        except PrimroseError as exc:
            response = _json({"code": exc.code, "error": exc.message()}, exc.status)
        exchange.respond(response)

    # Reading

    async def _status(self, request: HttpRequest) -> HttpResponse:
        fleet = self._process.fleet()
        now = clock.monotonic()
        reports = self._process.reports()
        processes = {
            sid: {
                "role": s.role.value,
                "dc": s.dc,
                "peer_address": s.peer_address,
                "http_address": s.http_address,
                "state": s.state.value,
                **_report_fields(reports.get(sid), now),
            }
            for sid, s in fleet.sessions.items()
        }
        found = self._process.overview()
        found.update(
            generation=fleet.generation,
            offset=fleet.offset,
            config_offset=fleet.config_offset,
            processes=processes,
        )
        return _json(found)

    async def _config(self, request: HttpRequest) -> HttpResponse:
        self._check_ready()
        fleet = self._process.fleet()
        return _json({"offset": fleet.config_offset, "documents": fleet.documents})

    async def _fleet(self, request: HttpRequest) -> HttpResponse:
        self._check_ready()
        fleet = self._process.fleet()
        instances = {
            name: {
                "pool": i.pool,
                "dc": i.dc,
                "rack": i.rack,
                "phase": i.phase,
                "up": i.up,
                "reason": i.reason,
                "to_pool": i.to_pool,
                "wave": i.wave,
                "changed": i.changed,
                "incarnation": i.incarnation,
                "maintained": i.maintained,
            }
            for name, i in fleet.instances.items()
        }
        return _json(
            {
                "generation": fleet.generation,
                "offset": fleet.offset,
                "instances": instances,
                "waves": fleet.waves,
                "leases": fleet.leases,
                "sessions": fleet.sessions,
                "withdrawn": sorted(fleet.withdrawn),
                "keys": fleet_view(fleet).keys,
                "limits": {
                    team: fleet.counts.get(limit_key(team))
                    for team in fleet.config.teams
                },
            }
        )

    async def _metrics(self, request: HttpRequest) -> HttpResponse:
        return _response(200, self._process.metrics_json())

    async def _health(self, request: HttpRequest) -> HttpResponse:
        takes_work = self._process.takes_work()
        return _json({"takes_work": takes_work}, 200 if takes_work else 503)

    # Commands

    async def _publish(self, request: HttpRequest) -> HttpResponse:
        body = _decode(request.body, Publication)
        record = ConfigPublished(
            record_id=RecordId(""),
            by=SessionId(""),
            base_offset=body.base_offset,
            documents=body.documents,
            removed=body.removed,
            operator=body.operator,
        )
        return await self._append_command(record)

    async def _record(self, request: HttpRequest) -> HttpResponse:
        record = _decode_record(request.body)
        if isinstance(record, KeyWithdrawn) and not self._process.log_up():
            return self._withdraw_pending(record)
        try:
            return await self._append_command(record)
        except AppendUnconfirmedError:
            if isinstance(record, KeyWithdrawn):
                return self._withdraw_pending(record)
            raise

    def _withdraw_pending(self, record: KeyWithdrawn) -> HttpResponse:
        """Withdraw a key without the log; entries notify their peers of it."""
        self._process.withdraw_pending(record.key_id)
        return _json({"pending": True}, 202)

    async def _append_command(self, record: Record) -> HttpResponse:
        self._check_ready()
        if not self._process.log_up():
            raise LogUnavailableError("the record was not sent")
        outcome = await self._process.confirm(record, CONFIRM_TIMEOUT_S)
        if outcome.void is not None:
            cause = outcome.void.value
            raise VoidCommandError(
                f"{cause}: {outcome.detail}" if outcome.detail else cause
            )
        return _json({"offset": outcome.offset})

    def _check_ready(self) -> None:
        if not self._process.ready():
            raise StateNotLoadedError


def _decode(data: bytes, kind: type[Publication]) -> Publication:
    try:
        return msgspec.json.decode(data, type=kind)
    except msgspec.MsgspecError as exc:
        raise MalformedMessageError(str(exc)) from exc


def _decode_record(data: bytes) -> AnyRecord:
    """Decode a record from JSON; the appender sets its id, session and time."""
    try:
        raw = json.loads(data)
        if not isinstance(raw, dict):
            raise MalformedMessageError("the body has to be a JSON object")
        raw.update(record_id="", by="", at=0.0)
        found: AnyRecord = msgspec.convert(raw, AnyRecord)
    except (ValueError, RecursionError) as exc:
        raise MalformedMessageError(str(exc)) from exc
    if not isinstance(found, COMMANDS):
        raise MalformedMessageError(
            f"{type(found).__name__} is not an operator's command"
        )
    if isinstance(found, SessionEnded) and found.proof is not Proof.FENCED:
        raise MalformedMessageError(
            "operators may end a session only with the proof 'fenced'"
        )
    if isinstance(found, DrainStarted) and found.term is not None:
        raise MalformedMessageError("only planners may set the lease term of a drain")
    return found


def _report_fields(report: PeerReport | None, now: float) -> dict[str, Any]:
    """Return the fields of a process's last report, with the age of the report."""
    if report is None:
        return {"offset": None, "generation": None, "age_s": None}
    return {
        "offset": report.offset,
        "generation": report.generation,
        "age_s": round(now - report.observed_at, 3),
        "log_contact": report.log_contact,
    }


def _json(value: Any, status: int = 200) -> HttpResponse:
    return _response(status, msgspec.json.encode(value) + b"\n")


def _response(status: int, body: bytes) -> HttpResponse:
    return HttpResponse(status, [(b"content-type", b"application/json")], body)
