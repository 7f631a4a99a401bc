"""HTTP/1.1 server with deadlines and bounded memory."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import h11
import msgspec

from primrosepitch import clock
from primrosepitch.errors import (
    MessageError,
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

_REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}


class ServerLimits(msgspec.Struct, frozen=True):
    """Bounds of a server.

    :param connections: most open connections; more are refused at once
    :param buffered_bytes: most bytes of request bodies held for all connections
    :param unsent_bytes: most bytes of responses that callers have not taken; beyond
        it the caller that has stalled for longest is closed
    :param message_s: time from the first byte of a request to its last
    :param idle_s: time that a connection may wait for its next request
    :param write_s: time in which the caller must take a response
    """

    connections: int = 500
    buffered_bytes: int = 2 << 20
    unsent_bytes: int = 2 << 20
    message_s: float = 10.0
    idle_s: float = 75.0
    write_s: float = 10.0


def error_response(error: PrimroseError, outcome: str = "not-run") -> HttpResponse:
    """Return the response that tells a caller of an error."""
    headers = [
        (b"content-type", b"text/plain; charset=utf-8"),
        (b"primrose-outcome", outcome.encode()),
        (b"primrose-code", error.code.encode()),
    ]
    return HttpResponse(error.status, headers, f"{error.message()}\n".encode())


class Exchange:
    """One request and the means to answer it.

    :param request: the whole request
    """

    def __init__(self, request: HttpRequest, conn: _Connection) -> None:
        """Belong to a connection."""
        self.request = request
        self.answered = False
        self.on_disconnect: Callable[[], None] | None = None
        self._conn = conn

    def respond(self, response: HttpResponse) -> None:
        """Send the response; nothing happens when the caller is gone."""
        if not self.answered:
            self.answered = True
            self._conn.respond(response)


Handler = Callable[[Exchange], None]


class HttpServer:
    """Server that hands whole requests to a handler.

    :param handler: is called with each exchange and answers it now or later
    """

    def __init__(self, handler: Handler, limits: ServerLimits | None = None) -> None:
        """Do not listen yet."""
        self.limits = limits or ServerLimits()
        self.handler = handler
        self.connections: set[_Connection] = set()
        self.buffered_bytes = 0
        self.unsent_bytes: dict[_Connection, int] = {}
        self.stopping = False
        self._server: asyncio.Server | None = None

    async def listen(self, address: str, port: int) -> int:
        """Start to listen.

        :returns: the port, chosen by the system when ``port`` is 0
        :raises OSError: if the address is in use
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self), address, port, backlog=512
        )
        chosen: int = self._server.sockets[0].getsockname()[1]
        return chosen

    def stop_listening(self) -> None:
        """Take no new connections and close idle ones; requests go on."""
        self.stopping = True
        if self._server is not None:
            self._server.close()
        for conn in list(self.connections):
            conn.close_if_idle()

    async def drain(self, timeout_s: float) -> None:
        """Stop listening, let callers take their responses, then close everything."""
        self.stop_listening()
        deadline = clock.monotonic() + timeout_s
        while self.connections and clock.monotonic() < deadline:
            await asyncio.sleep(DRAIN_POLL_S)
        self.abort()

    def abort(self) -> None:
        """Stop listening and close everything at once."""
        self.stop_listening()
        for conn in list(self.connections):
            conn.abort()

    def note_unsent(self, conn: _Connection, size: int) -> None:
        """Note bytes that a caller has not taken, and close the slowest beyond a bound.

        :param size: bytes that wait; 0 when the caller has taken all
        """
        self.unsent_bytes.pop(conn, None)
        if size:
            self.unsent_bytes[conn] = size
        while sum(self.unsent_bytes.values()) > self.limits.unsent_bytes:
            next(iter(self.unsent_bytes)).abort()


class _Connection(asyncio.Protocol):
    """Connection of a caller."""

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._limits = server.limits
        self._h11 = _new_h11()
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._head: h11.Request | None = None
        self._body: list[bytes] = []
        self._counted = 0
        self._exchange: Exchange | None = None
        self._deadline = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._writing = False
        self._waiting_bytes = 0
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
            # Read and dropped: closing with unread bytes would reset the connection
            # and destroy the error before the caller has read it.
            return
        if self._exchange is not None or self._writing:
            # A pipelined request waits in h11; the caller must not send without end.
            self._waiting_bytes += len(data)
            if self._waiting_bytes > MAX_HEADER_BYTES and self._transport:
                self._transport.pause_reading()
        elif self._head is None and not self._h11.trailing_data[0]:
            self._set_deadline(self._limits.message_s)
        self._receive(data)

    def eof_received(self) -> bool:
        """Treat a half-closed connection as closed: nobody may read the answer."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.connections.discard(self)
        self._server.unsent_bytes.pop(self, None)
        self._release()
        if self._timer is not None:
            self._timer.cancel()
        self._transport = None
        exchange, self._exchange = self._exchange, None
        if exchange is not None and not exchange.answered:
            exchange.answered = True
            if exchange.on_disconnect is not None:
                exchange.on_disconnect()

    def pause_writing(self) -> None:
        self._writing = True
        self._set_deadline(self._limits.write_s)

    def resume_writing(self) -> None:
        self._writing = False
        self._server.note_unsent(self, 0)
        if self._exchange is not None:
            self._deadline = 0.0
        elif not self._closing:
            self._next_request()

    # Reading

    def _receive(self, data: bytes) -> None:
        try:
            self._h11.receive_data(data)
            self._pump()
        except h11.RemoteProtocolError as exc:
            too_large = exc.error_status_hint in (413, 431)
            kind = MessageTooLargeError if too_large else MessageError
            self._fail(kind(str(exc)))

    def _pump(self) -> None:
        """Handle the events that h11 has, up to the end of one request."""
        while self._exchange is None and not self._writing and not self._closing:
            event = self._h11.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                if self._h11.they_are_waiting_for_100_continue:
                    self._continue()
                return
            if isinstance(event, h11.Request):
                self._begin(event)
            elif isinstance(event, h11.Data):
                self._add(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._finish()
            elif isinstance(event, h11.ConnectionClosed):
                return

    def _continue(self) -> None:
        info = h11.InformationalResponse(status_code=100, headers=[])
        self._write(self._h11.send(info))

    def _begin(self, head: h11.Request) -> None:
        self._head = head
        size = len(head.target) + header_bytes(list(head.headers))
        if size > MAX_HEADER_BYTES:
            self._fail(MessageTooLargeError(f"headers of {size} bytes"))
            return
        for name, value in head.headers:
            if name == b"content-length" and int(value) > MAX_BODY_BYTES:
                self._fail(MessageTooLargeError(f"body of {int(value)} bytes"))
                return

    def _add(self, data: bytes) -> None:
        self._counted += len(data)
        self._server.buffered_bytes += len(data)
        if self._counted > MAX_BODY_BYTES:
            self._fail(MessageTooLargeError(f"body above {MAX_BODY_BYTES} bytes"))
        elif self._server.buffered_bytes > self._limits.buffered_bytes:
            self._fail(OverloadedError("too many bytes of requests are held"))
        else:
            self._body.append(data)

    def _finish(self) -> None:
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

    def _release(self) -> None:
        """Forget the bytes of the request's body."""
        self._server.buffered_bytes -= self._counted
        self._counted = 0
        self._body = []

    # Writing

    def respond(self, response: HttpResponse) -> None:
        """Send the response of the exchange, then go on with the next request."""
        if self._transport is None or self._exchange is None:
            return
        self._exchange = None
        self._release()
        self._send(response, close=self._server.stopping)
        self._head = None
        if self._h11.our_state is not h11.DONE or self._closing:
            self._close()
            return
        self._h11.start_next_cycle()
        if not self._writing:
            self._next_request()

    def _next_request(self) -> None:
        """Wait for the next request, or handle a pipelined one in the next turn."""
        if self._transport is not None:
            self._waiting_bytes = 0
            self._transport.resume_reading()
        if self._h11.trailing_data[0]:
            self._set_deadline(self._limits.message_s)
            self._loop.call_soon(self._resume)
        else:
            self._set_deadline(self._limits.idle_s)

    def _resume(self) -> None:
        if self._transport is not None and not self._closing:
            try:
                self._pump()
            except h11.RemoteProtocolError as exc:
                self._fail(MessageError(str(exc)))

    def _fail(self, error: PrimroseError) -> None:
        """Answer with an error and close, since the message cannot be read on."""
        self._release()
        if self._h11.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self._send(error_response(error), close=True)
        self._linger()

    def _send(self, response: HttpResponse, close: bool) -> None:
        head = bytes(self._head.method) if self._head is not None else b""
        headers: Headers = [*response.headers]
        told = any(name == b"content-length" for name, _ in headers)
        if not told and response.status != 204:
            headers.append((b"content-length", str(len(response.body)).encode()))
        if close:
            headers.append((b"connection", b"close"))
        start = h11.Response(
            status_code=response.status,
            headers=headers,
            reason=_REASONS.get(response.status, b""),
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
                self._server.note_unsent(self, left)

    # Closing

    def close_if_idle(self) -> None:
        """Close when no request is being read or answered."""
        if self._exchange is None and self._head is None:
            self._close()

    def abort(self) -> None:
        """Close at once."""
        if self._transport is not None:
            self._transport.abort()

    def _close(self) -> None:
        """Close once what was written has been taken, at the write deadline latest."""
        if self._transport is None or self._closing:
            return
        self._closing = True
        self._set_deadline(self._limits.write_s)
        self._transport.close()

    def _linger(self) -> None:
        """End the sending side and drop what comes, until the caller closes."""
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
        """Close when the deadline has passed; a moved one starts the timer again."""
        self._timer = None
        if self._deadline == 0.0 or self._transport is None:
            return
        left = self._deadline - clock.monotonic()
        if left > 0:
            self._timer = self._loop.call_later(left, self._check_deadline)
        else:
            self._transport.abort()


def _new_h11() -> h11.Connection:
    return h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEADER_BYTES)
