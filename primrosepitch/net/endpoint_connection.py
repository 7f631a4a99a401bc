"""Connections to endpoints, each with one request in flight at a time."""

from __future__ import annotations

import asyncio
import enum
from typing import Any, Protocol

import h11
import msgspec

from primrosepitch import clock
from primrosepitch.ids import CallId, ConnId, RequestId
from primrosepitch.net.http_messages import (
    MAX_BODY_BYTES,
    MAX_HEADER_BYTES,
    Headers,
    HttpRequest,
    HttpResponse,
    header,
    header_bytes,
)
from primrosepitch.request.events import Failure

__all__ = [
    "EndpointConnection",
    "EndpointListener",
    "OutgoingRequest",
    "ResponseBudget",
    "connect",
]

REQUEST_ID_HEADER = b"primrose-request-id"
EXPECTATION_FAILED = 417

CLOSE_TIMEOUT_S = 1.0
"""Time for an endpoint to close its side of an idle connection."""

FINAL_STATUSES = range(200, 600)

INCOMPLETE_RESPONSE_BYTES = 2 << 20
"""Maximum size of all incomplete responses together; the process has 32 MB."""


class OutgoingRequest(msgspec.Struct, frozen=True):
    """A request to send to an endpoint.

    :param request: request with all headers, including the request id
    :param not_after: boot-time clock after which no part of it may be written
    :param expect: whether to send the body only after ``100 Continue``
    """

    call: CallId
    request: HttpRequest
    request_id: RequestId
    not_after: float
    expect: bool = False


class EndpointListener(Protocol):
    """Interface for the events of connections to endpoints."""

    def connection_opened(self, conn: ConnId) -> None:
        """Handle a connection that is open and idle."""

    def connection_failed(self, conn: ConnId) -> None:
        """Handle a connection that could not be opened."""

    def connection_closed(self, conn: ConnId) -> None:
        """Handle the end of an idle connection or of one closed with ``close``."""

    def send_skipped(self, call: CallId, conn: ConnId) -> None:
        """Handle a request that was not written because ``not_after`` had passed."""

    def send_failed(self, call: CallId, conn: ConnId, failure: Failure) -> None:
        """Handle a failed request; the connection is closed."""

    def response_received(
        self, call: CallId, conn: ConnId, response: HttpResponse, reusable: bool
    ) -> None:
        """Handle a complete response that carries the id of its request."""


class ResponseBudget:
    """Limit for the bytes of incomplete responses on all connections together.

    Above the limit, connections pause reading until other responses are complete. The
    connection whose response started first always continues, which guarantees progress.

    :param limit_bytes: limit for all connections together
    """

    def __init__(self, limit_bytes: int = INCOMPLETE_RESPONSE_BYTES) -> None:
        """Start with no bytes in use."""
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self._bytes_by_conn: dict[EndpointConnection, int] = {}
        self._paused_conns: list[EndpointConnection] = []

    def add(self, conn: EndpointConnection, size: int) -> None:
        """Add bytes of a response; pause its connection above the limit."""
        self.used_bytes += size
        self._bytes_by_conn[conn] = self._bytes_by_conn.get(conn, 0) + size
        if (
            self.used_bytes > self.limit_bytes
            and next(iter(self._bytes_by_conn)) is not conn
        ):
            self._paused_conns.append(conn)
            conn.pause_reading()

    def release(self, conn: EndpointConnection) -> None:
        """Release the bytes of a response and resume paused connections."""
        size = self._bytes_by_conn.pop(conn, None)
        if size is None:
            return
        self.used_bytes -= size
        paused, self._paused_conns = self._paused_conns, []
        for other in paused:
            if (
                self.used_bytes <= self.limit_bytes
                or next(iter(self._bytes_by_conn)) is other
            ):
                other.resume_reading()
            elif other in self._bytes_by_conn:
                self._paused_conns.append(other)


class ConnectionState(enum.Enum):
    """State of a connection to an endpoint.

    ``EXPECTING``: the body waits for ``100 Continue``; ``AWAITING``: the request was
    written and its response is awaited.
    """

    IDLE = enum.auto()
    EXPECTING = enum.auto()
    AWAITING = enum.auto()
    CLOSING = enum.auto()
    CLOSED = enum.auto()


async def connect(
    conn: ConnId,
    address: str,
    port: int,
    timeout_s: float,
    listener: EndpointListener,
    budget: ResponseBudget,
) -> EndpointConnection | None:
    """Open a connection; a failure is reported to the listener.

    :param timeout_s: connect timeout
    :returns: the connection, or ``None`` when it could not be opened
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, protocol = await loop.create_connection(
                lambda: EndpointConnection(conn, listener, budget), address, port
            )
    except (OSError, TimeoutError):
        listener.connection_failed(conn)
        return None
    return protocol


class EndpointConnection(asyncio.Protocol):
    """Connection to an endpoint.

    :param conn: connection id assigned by the reducer
    """

    def __init__(
        self, conn: ConnId, listener: EndpointListener, budget: ResponseBudget
    ) -> None:
        """Create an idle connection without a transport."""
        self._budget = budget
        self.conn = conn
        self.state = ConnectionState.IDLE
        self._listener = listener
        self._transport: asyncio.Transport | None = None
        self._h11 = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEADER_BYTES
        )
        self._request: OutgoingRequest | None = None
        self._head: h11.Response | None = None
        self._body: list[bytes] = []
        self._body_size = 0

    # Commands

    def send(self, outgoing: OutgoingRequest) -> None:
        """Write a request unless ``not_after`` has passed or a request is in flight."""
        if self.state is not ConnectionState.IDLE or self._transport is None:
            failure = Failure.NOT_SENT
            self._listener.send_failed(outgoing.call, self.conn, failure)
            return
        expect = outgoing.expect and bool(outgoing.request.body)
        data = self._head_bytes(outgoing.request, expect)
        if not expect:
            data += self._body_bytes(outgoing.request)
        if self._transport.is_closing():
            self._fail_unsent(outgoing)
            return
        if clock.monotonic() > outgoing.not_after:
            # h11 has already encoded the request, so the connection cannot be reused.
            self._abort()
            self._listener.send_skipped(outgoing.call, self.conn)
            self._listener.connection_closed(self.conn)
            return
        self._request = outgoing
        self.state = ConnectionState.EXPECTING if expect else ConnectionState.AWAITING
        self._transport.write(data)

    def close(self) -> None:
        """Close the connection; a request in flight is not reported.

        An idle connection is reported as closed only after the endpoint has closed its
        side too. If its unit were released earlier, a new connection could reach the
        endpoint first and exceed the endpoint's connection limit.
        """
        if self.state is ConnectionState.IDLE and self._transport is not None:
            self.state = ConnectionState.CLOSING
            self._transport.write_eof()
            asyncio.get_running_loop().call_later(CLOSE_TIMEOUT_S, self._finish_closing)
        elif self.state not in (ConnectionState.CLOSING, ConnectionState.CLOSED):
            self._abort()
            self._listener.connection_closed(self.conn)

    def _finish_closing(self) -> None:
        """Report the end of a closing connection, once."""
        if self.state is ConnectionState.CLOSING:
            self._abort()
            self._listener.connection_closed(self.conn)

    def abort(self) -> None:
        """Close immediately without reporting, when the process exits."""
        self._abort()

    def pause_reading(self) -> None:
        """Stop reading; further bytes stay in the kernel's buffer."""
        if self._transport is not None:
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Continue reading after ``pause_reading``."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    # asyncio.Protocol

    def connection_made(self, transport: Any) -> None:
        """Store the transport."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; unsolicited bytes close an idle connection."""
        if self.state is ConnectionState.IDLE:
            self.close()
            return
        if self.state in (ConnectionState.CLOSING, ConnectionState.CLOSED):
            return
        self._h11.receive_data(data)
        self._process_events()

    def eof_received(self) -> bool:
        """Let the transport close, which fails a request in flight."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection or the failure of the request in flight."""
        if self.state is ConnectionState.IDLE:
            self.state = ConnectionState.CLOSING
        if self.state is ConnectionState.CLOSING:
            self._finish_closing()
        elif self.state is not ConnectionState.CLOSED:
            self._fail(Failure.TRUNCATED if self._head else Failure.CLOSED)
        self._transport = None

    # Writing

    def _head_bytes(self, request: HttpRequest, expect: bool) -> bytes:
        headers: Headers = [*request.headers]
        headers.append((b"content-length", str(len(request.body)).encode()))
        if expect:
            headers.append((b"expect", b"100-continue"))
        head = h11.Request(
            method=request.method, target=request.target, headers=headers
        )
        return self._h11.send(head) or b""

    def _body_bytes(self, request: HttpRequest) -> bytes:
        data = b""
        if request.body:
            data = self._h11.send(h11.Data(data=request.body)) or b""
        return data + (self._h11.send(h11.EndOfMessage()) or b"")

    def _fail_unsent(self, outgoing: OutgoingRequest) -> None:
        self._abort()
        self._listener.send_failed(outgoing.call, self.conn, Failure.NOT_SENT)

    # Reading

    def _process_events(self) -> None:
        try:
            while self.state in (ConnectionState.EXPECTING, ConnectionState.AWAITING):
                event = self._h11.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                self._handle_event(event)
        except h11.RemoteProtocolError:
            self._fail(Failure.MALFORMED)

    def _handle_event(self, event: Any) -> None:
        if isinstance(event, h11.InformationalResponse):
            if event.status_code == 100 and self.state is ConnectionState.EXPECTING:
                self._send_body()
        elif isinstance(event, h11.Response):
            self._start_response(event)
        elif isinstance(event, h11.Data):
            self._body_size += len(event.data)
            self._body.append(bytes(event.data))
            if self._body_size > MAX_BODY_BYTES:
                self._fail(Failure.TOO_LARGE)
            else:
                self._budget.add(self, len(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._finish_response()
        elif isinstance(event, h11.ConnectionClosed):
            self._fail(Failure.CLOSED)

    def _send_body(self) -> None:
        """Write the body after ``100 Continue``, unless ``not_after`` has passed."""
        outgoing, transport = self._request, self._transport
        if outgoing is None or transport is None:
            return
        if clock.monotonic() > outgoing.not_after:
            # The endpoint has received the head only and is still waiting for the body.
            self._fail(Failure.CLOSED)
            return
        self.state = ConnectionState.AWAITING
        transport.write(self._body_bytes(outgoing.request))

    def _start_response(self, head: h11.Response) -> None:
        """Validate the head of a response before reading its body."""
        outgoing = self._request
        if outgoing is None:
            return
        if (
            self.state is ConnectionState.EXPECTING
            and head.status_code == EXPECTATION_FAILED
        ):
            self._fail(Failure.NOT_SENT)
            return
        headers: Headers = list(head.headers)
        if head.status_code not in FINAL_STATUSES:
            self._fail(Failure.MALFORMED)
        elif header(headers, REQUEST_ID_HEADER) != outgoing.request_id.encode():
            self._fail(Failure.CROSSED)
        elif not _has_explicit_end(outgoing.request.method, head):
            # Without explicit framing, a truncated body looks like a complete one.
            self._fail(Failure.MALFORMED)
        elif (
            header_bytes(headers) > MAX_HEADER_BYTES
            or int(header(headers, b"content-length") or 0) > MAX_BODY_BYTES
        ):
            self._fail(Failure.TOO_LARGE)
        else:
            self._head = head

    def _finish_response(self) -> None:
        head, outgoing = self._head, self._request
        if head is None or outgoing is None:
            return
        response = HttpResponse(
            head.status_code, list(head.headers), b"".join(self._body)
        )
        reusable = (
            self._h11.our_state is h11.DONE
            and self._h11.their_state is h11.DONE
            and not self._h11.trailing_data[0]
            and self._transport is not None
            and not self._transport.is_closing()
        )
        self._clear_request()
        if reusable:
            self._h11.start_next_cycle()
            self.state = ConnectionState.IDLE
        else:
            self._abort()
        self._listener.response_received(outgoing.call, self.conn, response, reusable)

    # Closing

    def _fail(self, failure: Failure) -> None:
        outgoing = self._request
        self._abort()
        if outgoing is not None:
            self._listener.send_failed(outgoing.call, self.conn, failure)

    def _abort(self) -> None:
        """Close the socket and discard the request in flight."""
        self.state = ConnectionState.CLOSED
        self._clear_request()
        if self._transport is not None:
            self._transport.abort()

    def _clear_request(self) -> None:
        self._budget.release(self)
        self._request = None
        self._head = None
        self._body = []
        self._body_size = 0


def _has_explicit_end(method: bytes, head: h11.Response) -> bool:
    """Whether a complete response can be distinguished from a truncated one."""
    if method == b"HEAD" or head.status_code in (204, 304):
        return True
    names = {name for name, _ in head.headers}
    return b"content-length" in names or b"transfer-encoding" in names
