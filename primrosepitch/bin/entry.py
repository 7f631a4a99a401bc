"""Program ``primrose-entry``: forwards callers' requests to endpoints."""

from __future__ import annotations

import asyncio
import random
import sys
import uuid
from collections.abc import Sequence
from typing import Any

import msgspec

from primrosepitch import clock
from primrosepitch.bin.daemon import DRAIN_TIMEOUT_S, Daemon, run_program
from primrosepitch.bin.entry_effects import perform
from primrosepitch.bin.operators import OperatorsApi
from primrosepitch.errors import (
    LogUnavailableError,
    MalformedMessageError,
    OutcomeUnknownError,
    PeerUnavailableError,
    PrimroseError,
    QueueUnknownError,
    StateNotLoadedError,
)
from primrosepitch.events import CONFIG_IN_FORCE, emit
from primrosepitch.fleet.counts import limit_key
from primrosepitch.fleet.fold import Outcome as FoldOutcome
from primrosepitch.fleet.records import (
    AnyRecord,
    ConfigPublished,
    KeyWithdrawn,
    Record,
    Role,
)
from primrosepitch.fleet.state import FleetState
from primrosepitch.gen.primrose.ttypes import (
    AskUnits,
    Claim,
    ClaimAnswer,
    ClaimDone,
    FetchAnswer,
    Status,
    SyncClaims,
)
from primrosepitch.ids import (
    CallId,
    ConnId,
    CountKey,
    InstanceId,
    KeyId,
    Offset,
    RecordId,
    RequestId,
    SessionId,
)
from primrosepitch.metrics import Metrics
from primrosepitch.net.caller_headers import (
    PRIVATE_HEADERS,
    REQUEST_ID_PATTERN,
    header_flag,
    header_text,
    header_timeout_s,
    is_idempotent,
    queue_from_target,
)
from primrosepitch.net.claim_messages import (
    decode_cached_response,
    decode_claim,
    decode_verdict,
    encode_cached_response,
    more_claims_follow,
)
from primrosepitch.net.client_account import CutOff
from primrosepitch.net.endpoint_connection import (
    EndpointConnection,
    OutgoingRequest,
    ResponseBudget,
    connect,
)
from primrosepitch.net.http_messages import (
    Headers,
    HttpRequest,
    HttpResponse,
    without_hop_headers,
)
from primrosepitch.net.http_server import Exchange, HttpServer, error_response
from primrosepitch.net.membership import PeerReport
from primrosepitch.net.peers import PeerRequest
from primrosepitch.net.response_cache import ResponseCache
from primrosepitch.net.usage import column_by_queue, sum_tables, usage_table
from primrosepitch.net.usage_reports import UsageReports
from primrosepitch.request import effects as eff
from primrosepitch.request import events
from primrosepitch.request.reducer import step
from primrosepitch.request.state import EntryState
from primrosepitch.settings import Settings
from primrosepitch.teams.keys import split_key, verify
from primrosepitch.teams.withdrawals import PendingWithdrawals
from primrosepitch.trace import Recorder

__all__ = ["Entry", "main"]

CLAIM_TIMEOUT_S = 0.5
SYNC_TIMEOUT_S = 3.0
FETCH_ANSWER_TIMEOUT_S = 2.0

LAME_DUCK_S = 1.0
"""Time for which a stopping entry still responds that it is stopping, so that the
balancer sends callers elsewhere before the listening socket closes."""


class CallRecord(msgspec.Struct):
    """Data of a request that is stored until it is answered.

    :param response: response of the endpoint once it is complete
    :param sent: boot-time clock of the last write to an endpoint
    """

    exchange: Exchange
    request_id: RequestId
    started: float
    response: HttpResponse | None = None
    sent: float = 0.0


class Entry(Daemon):
    """One entry process."""

    role = Role.ENTRY
    events = events

    def __init__(self, settings: Settings, trace: Recorder) -> None:
        """Create the components without opening a socket."""
        super().__init__(settings, trace)
        self.state = EntryState(self.session, settings.dc)
        self.http_port = settings.http_port
        self.metrics = Metrics()
        self.server = HttpServer(self._on_exchange, account=self.client_account)
        self.answers = ResponseCache()
        self._budget = ResponseBudget()
        self.withdrawals = PendingWithdrawals()
        self._operators = OperatorsApi(self)
        self.calls: dict[CallId, CallRecord] = {}
        self._conns: dict[ConnId, EndpointConnection] = {}
        self._connecting: dict[ConnId, asyncio.Task[None]] = {}
        self._peer_requests: dict[int, PeerRequest] = {}
        self._last_call = 0
        self._last_token = 0
        self._listen_until = 0.0
        self._usage = UsageReports(self.session, settings.dc, self.peers)
        self._register_gauges()

    def _register_gauges(self) -> None:
        """Register the gauges of this entry."""
        gauge = self.metrics.add_gauge
        gauge("http.server.active_requests", "{request}", lambda: len(self.calls))
        gauge(
            "http.server.open_connections",
            "{connection}",
            lambda: len(self.server.connections),
        )
        gauge("http.client.open_connections", "{connection}", lambda: len(self._conns))
        gauge("primrose.clients.held", "By", lambda: self.client_account.held_bytes)
        gauge("primrose.log.offset", "{record}", lambda: self.fleet().offset)

    # Hooks of the base class

    def client_cut_off(self, reason: CutOff) -> None:
        """Count a client that was cut off."""
        self.metrics.count("primrose.clients.cut_off", reason=reason.value)

    def fleet(self) -> FleetState:
        """Return the folded fleet state."""
        return self.state.fleet

    def step(self, event: Any) -> Sequence[Any]:
        """Apply one event to the reducer and return its effects."""
        return step(self.state, event)

    def perform(self, effect: Any) -> None:
        """Perform one effect."""
        perform(self, effect)

    def is_busy(self) -> bool:
        """Return whether requests are waiting or running in this entry."""
        return bool(self.calls)

    async def open(self) -> None:
        """Listen for callers and operators."""
        address = self.settings.address
        self.http_port = await self.server.listen(address, self.http_port)

    async def drain(self) -> None:
        """Let the balancer choose other entries and callers read their responses."""
        await asyncio.sleep(self._listen_until - clock.monotonic())
        await self.server.drain(clock.monotonic() + DRAIN_TIMEOUT_S)

    def close(self) -> None:
        """Close all connections."""
        self.server.abort()
        for task in self._connecting.values():
            task.cancel()
        for conn in list(self._conns.values()):
            conn.abort()

    def stop(self) -> None:
        """Begin a graceful stop; new requests are refused from now on."""
        self.server.begin_stop()
        self._listen_until = clock.monotonic() + LAME_DUCK_S
        super().stop()

    def http_address(self) -> str:
        """Return the address for callers and operators."""
        return f"{self.settings.address}:{self.http_port}"

    def record_folded(self, offset: Offset, record: AnyRecord) -> None:
        """Log a configuration in force and drop withdrawals that are now in the log."""
        fleet = self.fleet()
        if isinstance(record, ConfigPublished) and fleet.config_offset == offset:
            emit(CONFIG_IN_FORCE, offset=offset, operator=record.operator)
        elif isinstance(record, KeyWithdrawn):
            self.withdrawals.prune(fleet.withdrawn)

    # Callers

    def _on_exchange(self, exchange: Exchange) -> None:
        target = exchange.request.target
        if target.startswith(b"/q/"):
            try:
                self._start_request(exchange)
            except PrimroseError as exc:
                self._respond_error(exchange, exc)
        elif target.startswith(b"/-/"):
            self.spawn(self._operators.answer(exchange))
        else:
            self._respond_error(
                exchange, QueueUnknownError("the path has to begin with /q/")
            )

    def _respond_error(self, exchange: Exchange, error: PrimroseError) -> None:
        method = exchange.request.method.decode("ascii", "replace")
        self.metrics.server_request(method, error.status, "not-run", 0.0)
        exchange.respond(error_response(error))

    def _start_request(self, exchange: Exchange) -> None:
        """Pass a caller's request to the reducer.

        :raises PrimroseError: if the request is refused before it reaches the reducer
        """
        if not self.tail.ready.is_set():
            raise StateNotLoadedError
        now = clock.monotonic()
        request = exchange.request
        raw_key = header_text(request.headers, b"primrose-key")
        given_id = header_text(request.headers, b"primrose-request-id")
        if given_id and not REQUEST_ID_PATTERN.fullmatch(given_id):
            raise MalformedMessageError(
                "Primrose-Request-Id has to be 1 to 128 visible characters"
            )
        self._last_call += 1
        call = CallId(self._last_call)
        request_id = RequestId(given_id or uuid.uuid4().hex)
        event = events.RequestArrived(
            now=now,
            seed=random.getrandbits(31),
            call=call,
            queue=queue_from_target(request.target),
            key_id=split_key(raw_key)[0],
            key_valid=bool(raw_key) and verify(self.fleet(), raw_key),
            request_id=request_id,
            caller_id=bool(given_id),
            idempotent=is_idempotent(request),
            urgent=header_flag(request.headers, b"primrose-urgent"),
            repeat=header_flag(request.headers, b"primrose-repeat"),
            timeout_s=header_timeout_s(request.headers),
            unread_s=self.unread_s(),
            size=len(request.body),
        )
        self.calls[call] = CallRecord(exchange, request_id, now)
        exchange.on_disconnect = lambda: self._caller_gone(call)
        self.handle(event)

    def _caller_gone(self, call: CallId) -> None:
        if call in self.calls:
            self.handle(events.CallerGone(now=clock.monotonic(), call=call))

    def answer(self, call: CallId, response: HttpResponse, outcome: str) -> None:
        """Send the response to a caller and remove the call."""
        found = self.calls.pop(call, None)
        if found is None:
            return
        exchange = found.exchange
        self.metrics.server_request(
            exchange.request.method.decode("ascii", "replace"),
            response.status,
            outcome,
            clock.monotonic() - found.started,
        )
        exchange.respond(response)

    # Listener of endpoint connections

    def connection_opened(self, conn: ConnId) -> None:
        """Report an opened connection to the reducer."""
        self.handle(events.ConnectionOpened(now=clock.monotonic(), conn=conn))

    def connection_failed(self, conn: ConnId) -> None:
        """Report a failed connection attempt to the reducer."""
        self._connecting.pop(conn, None)
        self.handle(events.ConnectionFailed(now=clock.monotonic(), conn=conn))

    def connection_closed(self, conn: ConnId) -> None:
        """Report a closed connection to the reducer."""
        self._conns.pop(conn, None)
        self.handle(events.ConnectionClosed(now=clock.monotonic(), conn=conn))

    def send_skipped(self, call: CallId, conn: ConnId) -> None:
        """Report to the reducer that no byte of a request was written."""
        self.handle(events.SendSkipped(now=clock.monotonic(), call=call, conn=conn))

    def send_failed(self, call: CallId, conn: ConnId, failure: events.Failure) -> None:
        """Report a failed exchange to the reducer."""
        self._conns.pop(conn, None)
        self._record_exchange(call, failure.value)
        self.handle(
            events.SendFailed(
                now=clock.monotonic(), call=call, conn=conn, failure=failure
            )
        )

    def response_received(
        self, call: CallId, conn: ConnId, response: HttpResponse, reusable: bool
    ) -> None:
        """Store the response and report it to the reducer."""
        if not reusable:
            self._conns.pop(conn, None)
        found = self.calls.get(call)
        if found is not None:
            found.response = response
        self._record_exchange(call, "answered")
        self.handle(
            events.AnswerReceived(
                now=clock.monotonic(),
                call=call,
                conn=conn,
                status=response.status,
                size=len(response.body),
                reusable=reusable,
            )
        )

    def _record_exchange(self, call: CallId, result: str) -> None:
        found = self.calls.get(call)
        if found is not None and found.sent:
            self.metrics.client_request(result, clock.monotonic() - found.sent)

    async def open_connection(self, effect: eff.OpenConnection) -> None:
        """Open a connection to an endpoint before the effect's deadline."""
        left = effect.deadline - clock.monotonic()
        opened = await connect(
            effect.conn, effect.address, effect.port, left, self, self._budget
        )
        self._connecting.pop(effect.conn, None)
        if opened is not None:
            self._conns[effect.conn] = opened
            self.connection_opened(effect.conn)

    def start_opening(self, effect: eff.OpenConnection) -> None:
        """Open a connection in a background task."""
        self._connecting[effect.conn] = self.spawn(self.open_connection(effect))

    def close_connection(self, conn: ConnId) -> None:
        """Close a connection; report it as closed if it no longer exists."""
        opening = self._connecting.pop(conn, None)
        if opening is not None:
            opening.cancel()
        found = self._conns.get(conn)
        if found is not None:
            found.close()
        else:
            self.connection_closed(conn)

    def send_request(self, effect: eff.SendRequest) -> None:
        """Write a request to its connection."""
        call, conn = self.calls.get(effect.call), self._conns.get(effect.conn)
        if call is None or conn is None:
            self.send_failed(effect.call, effect.conn, events.Failure.NOT_SENT)
            return
        now = clock.monotonic()
        call.sent = now
        request = call.exchange.request
        left_ms = max(1, int((effect.deadline - now) * 1000))
        kept = without_hop_headers(request.headers)
        headers: Headers = [(k, v) for k, v in kept if k not in PRIVATE_HEADERS]
        headers += [
            (b"primrose-team", effect.team.encode()),
            (b"primrose-request-id", effect.request_id.encode()),
            (b"primrose-timeout-ms", str(left_ms).encode()),
        ]
        sending = OutgoingRequest(
            call=effect.call,
            request=HttpRequest(request.method, request.target, headers, request.body),
            request_id=effect.request_id,
            not_after=effect.not_after,
            expect=effect.expect,
        )
        conn.send(sending)

    async def list_instances(self) -> None:
        """Read the platform's list of instances for the reducer."""
        asked = clock.monotonic()
        try:
            found = await self.platform.instances()
        except LogUnavailableError:
            # The reducer has a timeout for a read without a result.
            return
        leaving = [i.instance for i in found.instances if i.state == "leaving"]
        self.handle(
            events.InstancesListed(
                now=clock.monotonic(),
                asked=asked,
                leaving=[InstanceId(name) for name in leaving],
            )
        )

    # Peers

    def peer_message(self, peer_request: PeerRequest) -> None:
        """Handle a message from another entry."""
        body = peer_request.body
        now = clock.monotonic()
        if isinstance(body, Status):
            self._handle_status(body)
        elif isinstance(body, AskUnits):
            units = {CountKey(k): n for k, n in body.units.items()}
            session = SessionId(body.session)
            self.handle(events.UnitsAsked(now=now, session=session, units=units))
        elif isinstance(body, Claim):
            self.handle(
                events.ClaimAsked(
                    now=now,
                    token=self._issue_token(peer_request),
                    session=SessionId(body.session),
                    request_id=RequestId(body.request_id),
                    epoch=body.epoch,
                )
            )
        elif isinstance(body, ClaimDone):
            self._handle_claim_end(body)
        elif isinstance(body, SyncClaims):
            self.handle(
                events.SyncAsked(
                    now=now,
                    token=self._issue_token(peer_request),
                    session=SessionId(body.session),
                    min_epoch=body.min_epoch,
                )
            )
        elif isinstance(body, FetchAnswer):
            peer_request.reply(
                encode_cached_response(self.answers.get(RequestId(body.request_id)))
            )

    def _issue_token(self, peer_request: PeerRequest) -> int:
        self._last_token += 1
        self._peer_requests[self._last_token] = peer_request
        return self._last_token

    def reply_to_peer(self, token: int, body: Any) -> None:
        """Send one message of the reply to a peer's request."""
        peer_request = self._peer_requests.get(token)
        if peer_request is not None:
            peer_request.reply(body)

    def discard_peer_request(self, token: int) -> None:
        """Remove a peer's request that was answered completely."""
        self._peer_requests.pop(token, None)

    def _handle_claim_end(self, body: ClaimDone) -> None:
        outcome = decode_verdict(body.outcome)
        if outcome is not None:
            self.handle(
                events.ClaimEnded(
                    now=clock.monotonic(),
                    session=SessionId(body.session),
                    request_id=RequestId(body.request_id),
                    outcome=outcome,
                )
            )

    async def claim(self, effect: eff.SendClaim) -> None:
        """Claim a request id at a peer and report its verdict to the reducer."""
        message = Claim(
            session=self.session, request_id=effect.request_id, epoch=effect.epoch
        )
        verdict, epoch, holder = None, 0, SessionId("")
        try:
            found = await self.peers.request(effect.to, message, CLAIM_TIMEOUT_S)
            if isinstance(found, ClaimAnswer):
                verdict = decode_verdict(found.verdict)
                epoch, holder = found.epoch, SessionId(found.holder)
        except PeerUnavailableError:
            pass
        self.handle(
            events.ClaimAnswered(
                now=clock.monotonic(),
                call=effect.call,
                session=effect.to,
                verdict=verdict,
                epoch=epoch,
                holder=holder,
            )
        )

    async def sync_claims(self, effect: eff.SendSync) -> None:
        """Read all claims of a peer; without an answer the reducer retries."""
        message = SyncClaims(session=self.session, min_epoch=effect.min_epoch)
        client = self.peers.client(effect.to)
        if client is None:
            return
        try:
            parts = await client.request_parts(
                message, SYNC_TIMEOUT_S, more_claims_follow
            )
        except PeerUnavailableError:
            return
        rows = [decode_claim(row) for part in parts for row in part.claims]
        self.handle(
            events.ClaimsSynced(
                now=clock.monotonic(),
                session=effect.to,
                epoch=parts[-1].epoch,
                complete=parts[-1].complete,
                claims=[row for row in rows if row is not None],
            )
        )

    async def repeat_answer(self, effect: eff.RepeatAnswer) -> None:
        """Repeat the stored response to a request id, from a peer if necessary."""
        found = self.answers.get(effect.request_id)
        if found is None and effect.holder != self.session:
            message = FetchAnswer(request_id=effect.request_id)
            try:
                reply = await self.peers.request(
                    effect.holder, message, FETCH_ANSWER_TIMEOUT_S
                )
                found = decode_cached_response(reply)
            except PeerUnavailableError:
                found = None
        if found is None:
            error = OutcomeUnknownError("the first response is no longer stored")
            self.answer(effect.call, error_response(error, "unknown"), "unknown")
        else:
            self.answer(effect.call, found, "answered")

    # Usage and withdrawals

    def _handle_status(self, status: Status) -> None:
        now = clock.monotonic()
        for usage in status.usage:
            table = self._usage.receive(usage, now)
            if table is None:
                continue
            self.handle(
                events.UsageReported(
                    now=now,
                    origin=usage.origin,
                    running=column_by_queue(table, 0),
                    waiting=column_by_queue(table, 1),
                )
            )
        keys = [KeyId(k.decode("ascii", "replace")) for k in status.pending_withdrawals]
        self._add_withdrawals(keys)

    def withdraw_pending(self, key_id: KeyId) -> None:
        """Withdraw a key while the log is unavailable."""
        self._add_withdrawals([key_id])

    def _add_withdrawals(self, keys: list[KeyId]) -> None:
        """Add pending withdrawals, which each of their holders appends to the log."""
        added = self.withdrawals.merge(keys, self.fleet().withdrawn)
        if not added:
            return
        self.handle(
            events.WithdrawalsPending(
                now=clock.monotonic(), keys=list(self.withdrawals)
            )
        )
        for key_id in added:
            self.append(
                KeyWithdrawn(record_id=RecordId(""), by=self.session, key_id=key_id)
            )

    def each_second(self) -> None:
        """Update the usage figures and report them to other data centres."""
        own = usage_table(self.state.running, self.state.waiting())
        self._usage.update(own, self.fleet())
        for client, usage in self._usage.reports_for_other_dcs():
            client.notify(
                self.status(usage, self._usage.positions_to_relay(own_dc=True))
            )

    def status_for(self, session: SessionId, connection: int) -> Status:
        """Return the report for a peer of this entry's data centre."""
        usage = self._usage.reports_for_peer(session, connection)
        return self.status(usage, self._usage.positions_to_relay(own_dc=False))

    def pending_withdrawals(self) -> list[bytes]:
        """Return the withdrawals that are not yet in the log."""
        return [key_id.encode() for key_id in self.withdrawals]

    # Operators

    def ready(self) -> bool:
        """Return whether a state has been loaded."""
        return self.tail.ready.is_set()

    def takes_work(self) -> bool:
        """Return whether the balancer may send callers to this entry."""
        return self.ready() and self.state.may_dispatch and not self.stopping

    def log_up(self) -> bool:
        """Return whether the last read of the log succeeded."""
        return self.tail.up

    def reports(self) -> dict[SessionId, PeerReport]:
        """Return the reports of other processes and this one's own position."""
        fleet = self.fleet()
        own = PeerReport(
            fleet.generation, fleet.offset, clock.monotonic(), self.tail.up
        )
        return {**self.peers.reports, self.session: own}

    def metrics_json(self) -> bytes:
        """Return the metrics as JSON."""
        return self.metrics.as_json()

    async def confirm(self, record: Record, timeout_s: float) -> FoldOutcome:
        """Append an operator's record and return its outcome."""
        return await self.appender.append_and_confirm(record, timeout_s)

    def overview(self) -> dict[str, Any]:
        """Return the fields of the status that concern this entry."""
        state, fleet = self.state, self.fleet()
        running = sum_tables([usage_table(state.running, state.waiting())])
        teams = {
            team: {
                "running": sum(r for (_, t), (r, _) in running.items() if t == team),
                "waiting": sum(w for (_, t), (_, w) in running.items() if t == team),
                "held": fleet.held_by(limit_key(team), self.session),
                "limit": spec.limit,
            }
            for team, spec in fleet.config.teams.items()
        }
        endpoints = {
            name: {
                "pool": inst.pool,
                "up": inst.up,
                "phase": inst.phase.value,
                "held_slots": fleet.held_by(CountKey(f"slots/{name}"), self.session),
                "connections": sum(
                    1 for c in state.conns.values() if c.instance == name
                ),
            }
            for name, inst in fleet.instances.items()
        }
        return {
            "session": self.session,
            "name": self.settings.name,
            "dc": self.settings.dc,
            "log_contact": self.tail.up,
            "takes_work": self.takes_work(),
            "stopping": self.stopping,
            "endpoints": endpoints,
            "teams": teams,
            "pending_withdrawals": list(self.withdrawals),
        }


def main() -> None:
    """Run ``primrose-entry`` and exit."""
    sys.exit(run_program("primrose-entry", Entry))


if __name__ == "__main__":
    main()
