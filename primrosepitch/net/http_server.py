"""HTTP/1.1 server with timeouts and bounded memory."""

from __future__ import annotations

import asyncio
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
)
from primrosepitch.net.http_messages import (
    MAX_BODY_BYTES,
    MAX_HEADER_BYTES,
    Headers,
    HttpRequest,
    HttpResponse,
    header_bytes,
)

__all__ = ["Exchange", "HttpServer", "ServerLimits", "error_response"]

DRAIN_POLL_S = 0.01

_REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}


class ServerLimits(msgspec.Struct, frozen=True):
    """Limits of a server.

    :param connections: maximum number of open connections; further ones are refused
        immediately
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
    return HttpResponse(error.status, headers, f"{error.message()}\n".encode())


class Exchange:
    """A request and the method to respond to it.

    ``on_disconnect`` is called if the caller disconnects before the response.

    :param request: the complete request
    """

    def __init__(self, request: HttpRequest, conn: _Connection) -> None:
        """Create the exchange of a connection."""
        self.request = request
        self.answered = False
        self.on_disconnect: Callable[[], None] | None = None
        self._conn = conn

    def respond(self, response: HttpResponse) -> None:
        """Send the response, once; it is dropped if the caller has disconnected."""
        if not self.answered:
            self.answered = True
            self._conn.respond(response)


Handler = Callable[[Exchange], None]


class HttpServer:
    """Server that passes complete requests to a handler.

    :param handler: called with each exchange; may respond immediately or later
    """

    def __init__(self, handler: Handler, limits: ServerLimits | None = None) -> None:
        """Create a server that is not listening."""
        self.limits = limits or ServerLimits()
        self.handler = handler
        self.connections: set[_Connection] = set()
        self.buffered_bytes = 0
        self.unsent_bytes: dict[_Connection, int] = {}
        self.stopping = False
        self._server: asyncio.Server | None = None

    async def listen(self, address: str, port: int) -> int:
        """Start listening.

        :returns: the port, chosen by the system if ``port`` is 0
        :raises OSError: if the address is in use
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self), address, port, backlog=512
        )
        bound_port: int = self._server.sockets[0].getsockname()[1]
        return bound_port

    def stop_listening(self) -> None:
        """Stop accepting connections and close idle ones; requests continue."""
        self.stopping = True
        if self._server is not None:
            self._server.close()
        for conn in list(self.connections):
            conn.close_if_idle()

    async def drain(self, timeout_s: float) -> None:
        """Stop listening, wait for open connections, then close the remaining ones."""
        self.stop_listening()
        deadline = clock.monotonic() + timeout_s
        while self.connections and clock.monotonic() < deadline:
            await asyncio.sleep(DRAIN_POLL_S)
        self.abort()

    def abort(self) -> None:
        """Stop listening and close all connections immediately."""
        self.stop_listening()
        for conn in list(self.connections):
            conn.abort()

    def record_unsent(self, conn: _Connection, size: int) -> None:
        """Record unsent bytes; above the limit, close the longest stalled connections.

        :param size: bytes in the write buffer; 0 if all were sent
        """
        self.unsent_bytes.pop(conn, None)
        if size:
            self.unsent_bytes[conn] = size
        while sum(self.unsent_bytes.values()) > self.limits.unsent_bytes:
            next(iter(self.unsent_bytes)).abort()


class _Connection(asyncio.Protocol):
    """Connection from a caller, with one exchange at a time."""

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._limits = server.limits
        self._h11 = _new_h11_connection()
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._head: h11.Request | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._exchange: Exchange | None = None
        self._deadline = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._write_paused = False
        self._pipelined_bytes = 0
        self._closing = False

    # asyncio.Protocol

    def connection_made(self, transport: Any) -> None:
        self._transport = transport
        self._server.connections.add(self)
        transport.set_write_buffer_limits(high=0)
        if len(self._server.connections) > self._limits.connections:
            self._fail(OverloadedError("too many connections"))
            return
        self._set_deadline(self._limits.message_s)

    def data_received(self, data: bytes) -> None:
        if self._closing:
            # Discard the data: closing with unread bytes would reset the connection
            # before the caller has read the error response.
            return
        if self._exchange is not None or self._write_paused:
            # h11 buffers pipelined requests; pause reading to bound that buffer.
            self._pipelined_bytes += len(data)
            if self._pipelined_bytes > MAX_HEADER_BYTES and self._transport:
                self._transport.pause_reading()
        elif self._head is None and not self._h11.trailing_data[0]:
            self._set_deadline(self._limits.message_s)
        self._receive(data)

    def eof_received(self) -> bool:
        """Treat a half-closed connection as closed: nobody may read the response."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.connections.discard(self)
        self._server.unsent_bytes.pop(self, None)
        self._release_body()
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
        self._server.record_unsent(self, 0)
        if self._exchange is not None:
            self._deadline = 0.0
        elif not self._closing:
            self._next_request()

    # Reading

    def _receive(self, data: bytes) -> None:
        try:
            self._h11.receive_data(data)
            self._process_events()
        except h11.RemoteProtocolError as exc:
            too_large = exc.error_status_hint in (413, 431)
            kind = MessageTooLargeError if too_large else MalformedMessageError
            self._fail(kind(str(exc)))

    def _process_events(self) -> None:
        """Process pending h11 events, up to the end of one request."""
        while self._exchange is None and not self._write_paused and not self._closing:
            event = self._h11.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                if self._h11.they_are_waiting_for_100_continue:
                    self._send_continue()
                return
            if isinstance(event, h11.Request):
                self._start_request(event)
            elif isinstance(event, h11.Data):
                self._add_body(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._finish_request()
            elif isinstance(event, h11.ConnectionClosed):
                return

    def _send_continue(self) -> None:
        info = h11.InformationalResponse(status_code=100, headers=[])
        self._write(self._h11.send(info))

    def _start_request(self, head: h11.Request) -> None:
        self._head = head
        size = len(head.target) + header_bytes(list(head.headers))
        if size > MAX_HEADER_BYTES:
            self._fail(
                MessageTooLargeError(f"request target and headers have {size} bytes")
            )
            return
        for name, value in head.headers:
            if name == b"content-length" and int(value) > MAX_BODY_BYTES:
                self._fail(MessageTooLargeError(f"request body has {int(value)} bytes"))
                return

    def _add_body(self, data: bytes) -> None:
        self._body_bytes += len(data)
        self._server.buffered_bytes += len(data)
        if self._body_bytes > MAX_BODY_BYTES:
            self._fail(
                MessageTooLargeError(f"request body exceeds {MAX_BODY_BYTES} bytes")
            )
        elif self._server.buffered_bytes > self._limits.buffered_bytes:
            self._fail(OverloadedError("too many bytes of request bodies are buffered"))
        else:
            self._body.append(data)

    def _finish_request(self) -> None:
        head = self._head
        if head is None:
            return
        request = HttpRequest(
            head.method, head.target, list(head.headers), b"".join(self._body)
        )
        self._body = []
        exchange = self._exchange = Exchange(request, self)
        self._deadline = 0.0
        self._server.handler(exchange)

    def _release_body(self) -> None:
        """Release the buffered bytes of the request body."""
        self._server.buffered_bytes -= self._body_bytes
        self._body_bytes = 0
        self._body = []

    # Writing

    def respond(self, response: HttpResponse) -> None:
        """Send the response of the exchange, then continue with the next request."""
        if self._transport is None or self._exchange is None:
            return
        self._exchange = None
        self._release_body()
        self._send(response, close=self._server.stopping)
        self._head = None
        if self._h11.our_state is not h11.DONE or self._closing:
            self._close()
            return
        self._h11.start_next_cycle()
        if not self._write_paused:
            self._next_request()

    def _next_request(self) -> None:
        """Wait for the next request, or schedule a pipelined one on the event loop."""
        if self._transport is not None:
            self._pipelined_bytes = 0
            self._transport.resume_reading()
        if self._h11.trailing_data[0]:
            self._set_deadline(self._limits.message_s)
            self._loop.call_soon(self._process_pipelined)
        else:
            self._set_deadline(self._limits.idle_s)

    def _process_pipelined(self) -> None:
        if self._transport is not None and not self._closing:
            try:
                self._process_events()
            except h11.RemoteProtocolError as exc:
                self._fail(MalformedMessageError(str(exc)))

    def _fail(self, error: PrimroseError) -> None:
        """Respond with an error and close; the rest of the request cannot be read."""
        self._release_body()
        if self._h11.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self._send(error_response(error), close=True)
        self._lingering_close()

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
            if left:
                self._server.record_unsent(self, left)

    # Closing

    def close_if_idle(self) -> None:
        """Close unless a request is being read or handled."""
        if self._exchange is None and self._head is None:
            self._close()

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

    def _lingering_close(self) -> None:
        """Shut down the sending side; discard received data until the caller closes."""
        if self._transport is None or self._closing:
            return
        self._closing = True
        self._set_deadline(self._limits.write_s)
        if self._transport.can_write_eof():
            self._transport.write_eof()

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
        else:
            self._transport.abort()


def _new_h11_connection() -> h11.Connection:
    return h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEADER_BYTES)
