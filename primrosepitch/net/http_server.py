"""HTTP/1.1 server with timeouts and bounded memory."""

from __future__ import annotations

import asyncio
import enum
from collections import Counter
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import h11
import msgspec

from primrosepitch import clock
from primrosepitch.errors import (
    MalformedMessageError,
    MessageTooLargeError,
    OverloadedError,
    PrimroseError,
    StoppingError,
)
from primrosepitch.events import REQUEST_UNANSWERED, REQUEST_WHILE_STOPPING, emit
from primrosepitch.net.client_account import (
    CONNECTION_BYTES,
    EXCHANGE_BYTES,
    READ_BYTES,
    ClientAccount,
    CutOff,
)
from primrosepitch.net.http_messages import (
    MAX_BODY_BYTES,
    MAX_HEADER_BYTES,
    Headers,
    HttpRequest,
    HttpResponse,
    header_bytes,
    logged_target,
)
from primrosepitch.net.listening import (
    BACKLOG,
    MAX_ACCEPTED_PER_ITERATION,
    create_listening_socket,
)

__all__ = [
    "ConnectionUse",
    "Exchange",
    "HttpServer",
    "RequestStage",
    "ServerLimits",
    "error_response",
]

DRAIN_POLL_S = 0.01

MAX_PIPELINED_BYTES = 16 * 1024
"""Input of a connection above which it isn't read while an earlier request is under
way. A caller that sends its requests one by one has none."""

FEED_BYTES = 4 * 1024
"""Input that the parser gets at a time. It copies its buffer after each request."""

MAX_EVENTS_PER_TURN = 64
"""Maximum number of parser events of a connection in one iteration of the event loop; a
body in chunks of one byte has an event for each."""

BODY_FACTOR = 8
"""Charge of each byte of a body while its request is under way: as received, decoded,
and in the record for the store. A submission with a long specification takes 4, one of
many short steps up to 20; the rest of the process's memory covers the difference."""

LINGER_S = 0.5
"""Time for a caller to read its last answer before its connection is closed at the end
of the process. A close with unread input would reset it and discard the answer."""

MAX_DISCARDED_BYTES = 2 << 20
"""Maximum number of bytes that are discarded after an error response; twice the longest
body, so that a caller can send all of it before it reads the response."""

MIN_WAIT_S = 1.0
"""Time that a connection has for its request, also when others wait for its place."""

RETRY_AFTER = (b"retry-after", b"1")

_REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}


class ConnectionUse(enum.Enum):
    """How a connection came to carry a request."""

    NEW = "new"
    KEPT_ALIVE = "kept alive"
    SENT_AHEAD = "sent ahead"


class RequestStage(enum.Enum):
    """How far a request has come that has not been answered completely."""

    RECEIVING = "receiving"
    HANDLED = "handled"
    ANSWER_UNSENT = "answer unsent"


class ServerLimits(msgspec.Struct, frozen=True):
    """Limits of a server.

    :param connections: maximum number of open connections; a further one takes the
        place of one that waits for a request or pipelines, or is refused immediately
    :param buffered_bytes: maximum size of buffered request bodies on all connections
    :param unsent_bytes: maximum size of responses that callers have not read; above it
        the connection that has been stalled for longest is closed
    :param message_s: timeout from the first byte of a request to its last
    :param idle_s: keep-alive timeout
    :param write_s: timeout for the caller to read a response
    """

    connections: int = 500
    buffered_bytes: int = 2 << 20
    unsent_bytes: int = 2 << 20
    message_s: float = 10.0
    idle_s: float = 75.0
    write_s: float = 10.0


def error_response(error: PrimroseError, outcome: str = "not-run") -> HttpResponse:
    """Return the response for an error, with its code and outcome in the headers."""
    headers = [
        (b"content-type", b"text/plain; charset=utf-8"),
        (b"primrose-outcome", outcome.encode()),
        (b"primrose-code", error.code.encode()),
    ]
    if isinstance(error, OverloadedError | StoppingError):
        headers.append(RETRY_AFTER)
    return HttpResponse(error.status, headers, f"{error.message()}\n".encode())


class Exchange:
    """A request and the method to respond to it.

    ``on_disconnect`` is called if the caller disconnects before the response.

    :param request: the complete request
    :param account: account that ``reserved`` bytes are returned to when the handler
        responds, or drops the exchange after a disconnection
    """

    def __init__(
        self,
        request: HttpRequest,
        conn: _Connection,
        account: ClientAccount | None = None,
        reserved: int = 0,
    ) -> None:
        """Create the exchange of a connection."""
        self.request = request
        self.answered = False
        self.on_disconnect: Callable[[], None] | None = None
        self._conn = conn
        self._account = account
        self._reserved = reserved

    def __del__(self) -> None:
        """Return the reserved bytes of an exchange without a response."""
        self._release()

    def _release(self) -> None:
        if self._account is not None:
            self._account.release(self._reserved)
            self._account = None

    def respond(self, response: HttpResponse) -> None:
        """Send the response, once; it is dropped if the caller has disconnected."""
        self._release()
        if not self.answered:
            self.answered = True
            self._conn.respond(response)


Handler = Callable[[Exchange], None]


class HttpServer:
    """Server that passes complete requests to a handler.

    :param handler: called with each exchange; may respond immediately or later
    :param account: shared by all servers of a process; an own one if absent
    """

    def __init__(
        self,
        handler: Handler,
        limits: ServerLimits | None = None,
        account: ClientAccount | None = None,
    ) -> None:
        """Create a server that is not listening."""
        self.limits = limits or ServerLimits()
        self.account = account or ClientAccount()
        self.handler = handler
        self.connections: set[_Connection] = set()
        self.waiting: dict[_Connection, float] = {}
        self.buffered_bytes = 0
        self.unsent_bytes: dict[_Connection, int] = {}
        self.stop_began_at = 0.0
        self.refusing = False
        self.listening = False
        self.received_while_stopping: Counter[ConnectionUse] = Counter()
        self.unanswered = 0
        self._server: asyncio.Server | None = None

    async def listen(self, address: str, port: int) -> int:
        """Start listening.

        :returns: the port, chosen by the system if ``port`` is 0
        :raises OSError: if the address is in use
        """
        loop = asyncio.get_running_loop()
        sock = create_listening_socket(address, port)
        try:
            self._server = await loop.create_server(
                lambda: _Connection(self), sock=sock, backlog=MAX_ACCEPTED_PER_ITERATION
            )
        except BaseException:
            sock.close()
            raise
        sock.listen(BACKLOG)
        self.listening = True
        bound_port: int = sock.getsockname()[1]
        return bound_port

    @property
    def stopping(self) -> bool:
        """Return whether connections end with the answer to their last request."""
        return self.stop_began_at > 0

    @property
    def busy(self) -> bool:
        """Return whether a request is received, handled, or not answered completely."""
        return any(conn.stage is not None for conn in self.connections)

    def begin_stop(self) -> None:
        """Let each connection end with the answer to its last request.

        New connections are accepted until :meth:`stop_listening`. What arrives is
        logged and counted.
        """
        self.stop_began_at = self.stop_began_at or clock.monotonic()

    def refuse_requests(self) -> None:
        """Refuse, as not run, what is being received and what arrives from now on."""
        self.begin_stop()
        self.refusing = True
        for conn in list(self.connections):
            conn.refuse_incomplete()

    def record_request(self, target: bytes, use: ConnectionUse) -> None:
        """Log and count a complete request, if the process is stopping."""
        if not self.stopping:
            return
        self.received_while_stopping[use] += 1
        emit(
            REQUEST_WHILE_STOPPING,
            target=logged_target(target),
            connection=use.value,
            after_s=round(clock.monotonic() - self.stop_began_at, 3),
        )

    def stop_listening(self) -> None:
        """Stop accepting connections and close idle ones; requests continue."""
        self.begin_stop()
        self.listening = False
        if self._server is not None:
            self._server.close()
        for conn in list(self.connections):
            conn.close_if_idle()

    async def drain(self, deadline: float) -> None:
        """Stop listening, wait for open connections, then close the remaining ones.

        :param deadline: boot-time clock
        """
        self.stop_listening()
        while self.connections and clock.monotonic() < deadline:
            await asyncio.sleep(DRAIN_POLL_S)
        self.abort()

    def abort(self) -> None:
        """Stop listening and close all connections immediately."""
        self.stop_listening()
        for conn in list(self.connections):
            self._record_unanswered(conn)
            conn.abort()

    def _record_unanswered(self, conn: _Connection) -> None:
        """Log and count the request of a connection that is about to be closed."""
        stage = conn.stage
        if stage is None:
            return
        self.unanswered += 1
        now = clock.monotonic()
        emit(
            REQUEST_UNANSWERED,
            target=logged_target(conn.target),
            stage=stage.value,
            age_s=round(now - conn.stage_since, 3),
            after_s=round(now - self.stop_began_at, 3),
        )

    def make_room(self) -> bool:
        """Return whether there is room for another connection.

        If need be, the connection is closed that has waited for longest for a request,
        or the one with the most pipelined requests and unsent answers.
        """
        if len(self.connections) < self.limits.connections:
            return True
        for conn, since in self.waiting.items():
            if clock.monotonic() - since < MIN_WAIT_S:
                break
            conn.close_at_once(CutOff.CONNECTIONS)
            return True
        greediest = max(self.connections, key=lambda conn: conn.surplus_bytes)
        if not greediest.surplus_bytes:
            return False
        greediest.close_at_once(CutOff.CONNECTIONS)
        return True

    def record_unsent(self, conn: _Connection, size: int) -> None:
        """Record unsent bytes; above the limit, close the longest stalled connections.

        :param size: bytes in the write buffer; 0 if all were sent
        """
        self.unsent_bytes.pop(conn, None)
        if size:
            self.unsent_bytes[conn] = size
        while sum(self.unsent_bytes.values()) > self.limits.unsent_bytes:
            next(iter(self.unsent_bytes)).close_at_once(CutOff.SLOW_READER)


class _Connection(asyncio.BufferedProtocol):
    """Connection from a caller, with one exchange at a time."""

    def __init__(self, server: HttpServer) -> None:
        self.held_bytes = 0
        self._server = server
        self._account = server.account
        self._limits = server.limits
        self._h11 = _new_h11_connection()
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._head: h11.Request | None = None
        self._input = bytearray()
        self._incomplete_bytes = 0
        self._body = bytearray()
        self._body_bytes = 0
        self._unsent_bytes = 0
        self._exchange: Exchange | None = None
        self._deadline = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._write_paused = False
        self._turn_scheduled = False
        self._reading_paused = False
        self._closing = False
        self._discarded_bytes = 0
        self._use = ConnectionUse.NEW
        self.target = b""
        self.stage_since = 0.0

    # asyncio.BufferedProtocol

    def connection_made(self, transport: Any) -> None:
        self._transport = transport
        transport.set_write_buffer_limits(high=0)
        if not self._server.make_room():
            self._record_cut_off(CutOff.CONNECTIONS)
            self._closing = True
            self._send(error_response(OverloadedError("too many connections")), True)
            transport.close()
            return
        self._server.connections.add(self)
        self._server.waiting[self] = clock.monotonic()
        # A connection that was accepted at last may have sent its request already.
        listening = self._server.listening
        self._set_deadline(self._limits.message_s if listening else LINGER_S)
        self._update_charge()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer that all connections share, for the next read."""
        size = READ_BYTES
        if self._is_occupied():
            size = max(1, MAX_PIPELINED_BYTES - len(self._input))
        return self._account.read_buffer[:size]

    def buffer_updated(self, nbytes: int) -> None:
        if self._closing:
            # Discard the data: closing with unread bytes would reset the connection
            # before the caller has read the error response.
            self._discarded_bytes += nbytes
            if self._discarded_bytes > MAX_DISCARDED_BYTES:
                self.abort()
            return
        if self._head is None and not self._has_input() and not self._is_occupied():
            self._set_deadline(self._limits.message_s)
            self.stage_since = clock.monotonic()
        self._input += self._account.read_buffer[:nbytes]
        if self._is_occupied():
            if len(self._input) >= MAX_PIPELINED_BYTES and self._transport:
                self._pause_reading()
        else:
            self._process_events()
        self._update_charge()

    def eof_received(self) -> bool:
        """Treat a half-closed connection as closed: nobody may read the response."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._forget()
        if self._timer is not None:
            self._timer.cancel()
        self._transport = None
        exchange, self._exchange = self._exchange, None
        if exchange is not None and not exchange.answered:
            exchange.answered = True
            if exchange.on_disconnect is not None:
                exchange.on_disconnect()

    def pause_writing(self) -> None:
        self._write_paused = True
        self._set_deadline(self._limits.write_s)

    def resume_writing(self) -> None:
        self._write_paused = False
        self._unsent_bytes = 0
        self._server.record_unsent(self, 0)
        if self._exchange is not None:
            self._deadline = 0.0
        elif self._closing:
            self._limit_linger()
        elif self._head is not None:
            self._set_deadline(self._limits.message_s)
            self._schedule_turn()
        else:
            self._next_request()
        self._update_charge()

    @property
    def stage(self) -> RequestStage | None:
        """Return how far the oldest request has come that is not answered, if any."""
        if self._exchange is not None:
            return RequestStage.HANDLED
        if self._write_paused:
            return RequestStage.ANSWER_UNSENT
        received = self._head is not None or self._has_input() or self._turn_scheduled
        return RequestStage.RECEIVING if received and not self._closing else None

    # Account

    @property
    def surplus_bytes(self) -> int:
        """Return the size of pipelined requests and unsent answers."""
        return self._unsent_bytes + (len(self._input) if self._is_occupied() else 0)

    def _is_occupied(self) -> bool:
        """Return whether further input has to wait."""
        return self._exchange is not None or self._write_paused or self._turn_scheduled

    def _update_charge(self) -> None:
        if self not in self._server.connections:
            return
        size = CONNECTION_BYTES + len(self._input) + self._incomplete_bytes
        size += len(self._body) + self._unsent_bytes
        if size != self.held_bytes:
            self._account.charge(self, size)

    def cut_off(self, reason: CutOff) -> None:
        """Refuse the request that is being received, or close the connection.

        A request that has been handed over may be stored, so it gets no refusal.
        """
        handed_over = self._exchange is not None
        if handed_over or self._write_paused or self._closing or not self._head:
            self.close_at_once(reason)
        else:
            self._fail(OverloadedError(f"limit of the process: {reason.value}"), reason)

    def close_at_once(self, reason: CutOff) -> None:
        """Close the connection and release all that it holds."""
        self._record_cut_off(reason)
        self._closing = True
        self._forget()
        self.abort()

    def _record_cut_off(self, reason: CutOff) -> None:
        peer = self._transport.get_extra_info("peername") if self._transport else None
        self._account.record_cut_off(reason, str(peer))

    def _forget(self) -> None:
        """Remove the connection from the server and the account."""
        self._server.connections.discard(self)
        self._server.waiting.pop(self, None)
        self._server.unsent_bytes.pop(self, None)
        self._unsent_bytes = 0
        self._release_input()
        self._account.charge(self, 0)

    def _release_input(self) -> None:
        """Drop the input, and release the buffered bytes of the request body."""
        self._input = bytearray()
        self._incomplete_bytes = 0
        self._release_body()

    # Reading

    def _has_input(self) -> bool:
        """Return whether a part of a request has been received."""
        return bool(self._input or self._incomplete_bytes)

    def _schedule_turn(self) -> None:
        self._turn_scheduled = True
        self._account.schedule(self)

    def take_turn(self) -> None:
        """Process at most one pipelined request."""
        self._turn_scheduled = False
        if self._transport is not None:
            self._process_events()
            self._update_charge()

    def _process_events(self) -> None:
        """Process a bounded number of h11 events, up to the end of one request."""
        try:
            for _ in range(MAX_EVENTS_PER_TURN):
                if self._is_occupied() or self._closing:
                    return
                event = self._h11.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    if not self._input:
                        self._wait_for_data()
                        return
                    self._feed_parser()
                    continue
                self._incomplete_bytes = 0
                if isinstance(event, h11.Request):
                    self._start_request(event)
                elif isinstance(event, h11.Data):
                    self._add_body(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    self._finish_request()
                    return
                elif isinstance(event, h11.ConnectionClosed):
                    return
        except h11.RemoteProtocolError as exc:
            too_large = exc.error_status_hint in (413, 431)
            kind = MessageTooLargeError if too_large else MalformedMessageError
            self._fail(kind(str(exc)))
            return
        self._schedule_turn()

    def _feed_parser(self) -> None:
        chunk = bytes(self._input[:FEED_BYTES])
        del self._input[:FEED_BYTES]
        self._incomplete_bytes += len(chunk)
        self._h11.receive_data(chunk)

    def _wait_for_data(self) -> None:
        if self._server.refusing:
            self.refuse_incomplete()
            return
        if self._h11.they_are_waiting_for_100_continue:
            self._send_continue()
        self._resume_reading()

    def _pause_reading(self) -> None:
        self._reading_paused = True
        if self._transport is not None:
            self._transport.pause_reading()

    def _resume_reading(self) -> None:
        self._reading_paused = False
        if self._transport is not None:
            self._transport.resume_reading()

    def _send_continue(self) -> None:
        info = h11.InformationalResponse(status_code=100, headers=[])
        self._write(self._h11.send(info))

    def _start_request(self, head: h11.Request) -> None:
        self._head = head
        self.target = head.target
        size = _head_bytes(head)
        if size > MAX_HEADER_BYTES:
            self._fail(
                MessageTooLargeError(f"request target and headers have {size} bytes")
            )
            return
        for name, value in head.headers:
            if name == b"content-length" and int(value) > MAX_BODY_BYTES:
                self._fail(MessageTooLargeError(f"request body has {int(value)} bytes"))
                return

    def _add_body(self, data: bytes | bytearray) -> None:
        self._body_bytes += len(data)
        self._server.buffered_bytes += len(data)
        if self._body_bytes > MAX_BODY_BYTES:
            self._fail(
                MessageTooLargeError(f"request body exceeds {MAX_BODY_BYTES} bytes")
            )
        elif self._server.buffered_bytes > self._limits.buffered_bytes:
            self._fail(
                OverloadedError("too many bytes of request bodies are buffered"),
                CutOff.MEMORY,
            )
        else:
            self._body += data

    def _finish_request(self) -> None:
        head = self._head
        if head is None:
            return
        body = bytes(self._body)
        self._body = bytearray()
        reserved = EXCHANGE_BYTES + _head_bytes(head) + BODY_FACTOR * len(body)
        self._update_charge()
        if not self._account.reserve(reserved):
            error = OverloadedError("too many requests are under way")
            self._fail(error, CutOff.REQUESTS)
            return
        request = HttpRequest(head.method, head.target, list(head.headers), body)
        exchange = Exchange(request, self, self._account, reserved)
        self._exchange = exchange
        self._deadline = 0.0
        self.stage_since = clock.monotonic()
        self._server.waiting.pop(self, None)
        self._server.record_request(head.target, self._use)
        if self._server.refusing:
            exchange.respond(error_response(StoppingError()))
        else:
            self._server.handler(exchange)

    def _release_body(self) -> None:
        """Release the buffered bytes of the request body."""
        self._server.buffered_bytes -= self._body_bytes
        self._body_bytes = 0
        self._body = bytearray()

    # Writing

    def respond(self, response: HttpResponse) -> None:
        """Send the response of the exchange, then continue with the next request."""
        if self._transport is None or self._exchange is None:
            return
        self._exchange = None
        self._release_body()
        last = self._server.stopping and not self._has_further_requests()
        self._send(response, close=last)
        self._head = None
        if last:
            self._lingering_close(read_on=False)
            return
        if self._h11.our_state is not h11.DONE or self._closing:
            self._close()
            return
        self._h11.start_next_cycle()
        if not self._write_paused:
            self._next_request()
        self._update_charge()

    def _has_further_requests(self) -> bool:
        """Return whether input beyond the request under way has arrived.

        While reading is paused, more may wait in the kernel.
        """
        return bool(self._input or self._h11.trailing_data[0] or self._reading_paused)

    def _next_request(self) -> None:
        """Wait for the next request, or schedule a pipelined one on the event loop."""
        if self not in self._server.connections:
            return
        self._server.waiting.pop(self, None)
        self._server.waiting[self] = self.stage_since = clock.monotonic()
        self._use = ConnectionUse.KEPT_ALIVE
        if self._input or self._h11.trailing_data[0]:
            self._use = ConnectionUse.SENT_AHEAD
            self._set_deadline(self._limits.message_s)
            self._schedule_turn()
            return
        self._set_deadline(self._limits.idle_s)
        self._resume_reading()

    def _fail(self, error: PrimroseError, reason: CutOff | None = None) -> None:
        """Respond with an error and close; the rest of the request cannot be read.

        :param reason: why the client is cut off, if the request itself has no fault
        """
        self._release_input()
        if reason is not None:
            self._record_cut_off(reason)
        if self._h11.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self._send(error_response(error), close=True)
        self._lingering_close(read_on=True)
        self._update_charge()

    def _send(self, response: HttpResponse, close: bool) -> None:
        head = bytes(self._head.method) if self._head is not None else b""
        headers: Headers = [*response.headers]
        has_length = any(name == b"content-length" for name, _ in headers)
        if not has_length and response.status != 204:
            headers.append((b"content-length", str(len(response.body)).encode()))
        if close:
            headers.append((b"connection", b"close"))
        start = h11.Response(
            status_code=response.status,
            headers=headers,
            reason=_REASON_PHRASES.get(response.status, b""),
        )
        data = self._h11.send(start) or b""
        if response.body and head != b"HEAD" and response.status not in (204, 304):
            data += self._h11.send(h11.Data(data=response.body)) or b""
        data += self._h11.send(h11.EndOfMessage()) or b""
        self._write(data)

    def _write(self, data: bytes | None) -> None:
        if data and self._transport is not None:
            self._transport.write(data)
            left = self._transport.get_write_buffer_size()
            self._unsent_bytes = left
            if left:
                self._server.record_unsent(self, left)

    # Closing

    def close_if_idle(self) -> None:
        """Close unless a request is received, handled or not answered completely."""
        if self._closing:
            self._limit_linger()
        elif self.stage is None:
            self._close()

    def refuse_incomplete(self) -> None:
        """Refuse the request that is being received, if any."""
        if self.stage is RequestStage.RECEIVING and not self._turn_scheduled:
            self._fail(StoppingError())

    def abort(self) -> None:
        """Close immediately."""
        if self._transport is not None:
            self._transport.abort()

    def _close(self) -> None:
        """Close when the write buffer is sent or the write timeout has expired."""
        if self._transport is None or self._closing:
            return
        self._closing = True
        self._set_deadline(self._limits.write_s)
        self._transport.close()

    def _lingering_close(self, read_on: bool) -> None:
        """Shut down the sending side, and close when the caller has read the response.

        :param read_on: discard what the caller sends until it closes; otherwise that
            stays unread, so that no request is taken, for ``LINGER_S``
        """
        if self._transport is None or self._closing:
            return
        self._closing = True
        self._set_deadline(self._limits.write_s)
        if read_on:
            self._resume_reading()
        else:
            self._pause_reading()
            self._limit_linger()
        if self._transport.can_write_eof():
            self._transport.write_eof()

    def _limit_linger(self) -> None:
        """Limit the time for which a closing connection holds up the process's end."""
        if self._server.stopping and not self._write_paused:
            self._set_deadline(LINGER_S)

    def _set_deadline(self, seconds: float) -> None:
        self._deadline = clock.monotonic() + seconds
        if self._timer is None or self._timer.when() > self._loop.time() + seconds:
            if self._timer is not None:
                self._timer.cancel()
            self._timer = self._loop.call_later(seconds, self._check_deadline)

    def _check_deadline(self) -> None:
        """Close if the deadline has passed; restart the timer if it was extended."""
        self._timer = None
        if self._deadline == 0.0 or self._transport is None:
            return
        left = self._deadline - clock.monotonic()
        if left > 0:
            self._timer = self._loop.call_later(left, self._check_deadline)
            return
        if self._write_paused:
            self._record_cut_off(CutOff.SLOW_READER)
        elif not self._closing and (self._head is not None or self._has_input()):
            self._record_cut_off(CutOff.SLOW_SENDER)
        self._transport.abort()


def _head_bytes(head: h11.Request) -> int:
    return len(head.target) + header_bytes(list(head.headers))


def _new_h11_connection() -> h11.Connection:
    return h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEADER_BYTES)
