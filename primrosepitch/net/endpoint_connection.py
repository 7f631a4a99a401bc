"""Connections to endpoints that carry one request at a time."""

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

REQUEST_ID = b"primrose-request-id"
EXPECTATION_FAILED = 417

CLOSE_S = 1.0
"""Time for which an endpoint may take to close its side of an idle connection."""
STATUSES = range(200, 600)

ANSWER_BYTES = 2 << 20
"""Bytes of unfinished answers held for all endpoints; the process has 32 MB."""


class OutgoingRequest(msgspec.Struct, frozen=True):
    """One request on its way to an endpoint.

    :param request: request with all headers, of which the request id is one
    :param not_after: boot-time clock after which it must not be written any more
    :param expect: whether to send the body only after ``100 Continue``
    """

    call: CallId
    request: HttpRequest
    request_id: RequestId
    not_after: float
    expect: bool = False


class EndpointListener(Protocol):
    """Receiver of what happens on connections to endpoints."""

    def connection_opened(self, conn: ConnId) -> None:
        """Note that the connection is open and idle."""

    def connection_failed(self, conn: ConnId) -> None:
        """Note that the connection could not be opened."""

    def connection_closed(self, conn: ConnId) -> None:
        """Note that an idle connection, or one that was told to close, has closed."""

    def send_skipped(self, call: CallId, conn: ConnId) -> None:
        """Note that nothing was written since ``not_after`` had passed."""

    def send_failed(self, call: CallId, conn: ConnId, failure: Failure) -> None:
        """Note that an exchange failed; the connection is closed."""

    def response_received(
        self, call: CallId, conn: ConnId, response: HttpResponse, reusable: bool
    ) -> None:
        """Take a whole response with the id of its request."""


class ResponseBudget:
    """Bound of the bytes of unfinished answers on all connections together.

    Beyond it, connections stop reading until others have finished. The one that began
    first goes on, so that there is always progress.

    :param limit_bytes: bound of all connections together
    """

    def __init__(self, limit_bytes: int = ANSWER_BYTES) -> None:
        """Start with nothing held."""
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self._held: dict[EndpointConnection, int] = {}
        self._paused: list[EndpointConnection] = []

    def take(self, conn: EndpointConnection, size: int) -> None:
        """Count bytes of an answer, and pause its connection beyond the bound."""
        self.used_bytes += size
        self._held[conn] = self._held.get(conn, 0) + size
        if self.used_bytes > self.limit_bytes and next(iter(self._held)) is not conn:
            self._paused.append(conn)
            conn.pause_reading()

    def release(self, conn: EndpointConnection) -> None:
        """Forget the bytes of an answer that has ended."""
        size = self._held.pop(conn, None)
        if size is None:
            return
        self.used_bytes -= size
        paused, self._paused = self._paused, []
        for other in paused:
            if self.used_bytes <= self.limit_bytes or next(iter(self._held)) is other:
                other.resume_reading()
            elif other in self._held:
                self._paused.append(other)


class State(enum.Enum):
    """Life of a connection to an endpoint."""

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
    """Open a connection and tell the listener how it went.

    :param timeout_s: time allowed for opening it
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

    :param conn: number given by the reducer
    """

    def __init__(
        self, conn: ConnId, listener: EndpointListener, budget: ResponseBudget
    ) -> None:
        """Wait for the transport."""
        self._budget = budget
        self.conn = conn
        self.state = State.IDLE
        self._listener = listener
        self._transport: asyncio.Transport | None = None
        self._h11 = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEADER_BYTES
        )
        self._sending: OutgoingRequest | None = None
        self._head: h11.Response | None = None
        self._body: list[bytes] = []
        self._size = 0

    # Commands

    def send(self, sending: OutgoingRequest) -> None:
        """Write a request, unless its time has passed or the connection is busy."""
        if self.state is not State.IDLE or self._transport is None:
            failure = Failure.NOT_SENT
            self._listener.send_failed(sending.call, self.conn, failure)
            return
        expect = sending.expect and bool(sending.request.body)
        data = self._head_bytes(sending.request, expect)
        if not expect:
            data += self._body_bytes(sending.request)
        if self._transport.is_closing():
            self._closed_before_send(sending)
            return
        if clock.monotonic() > sending.not_after:
            # The encoder has already taken the request, so the connection is spent.
            self._drop()
            self._listener.send_skipped(sending.call, self.conn)
            self._listener.connection_closed(self.conn)
            return
        self._sending = sending
        self.state = State.EXPECTING if expect else State.AWAITING
        self._transport.write(data)

    def close(self) -> None:
        """Close; an unanswered request is not reported any more.

        An idle connection counts as closed once the endpoint has closed it as well.
        Were its unit given back before, a new connection could reach the endpoint
        first, which would then see more than its connections.
        """
        if self.state is State.IDLE and self._transport is not None:
            self.state = State.CLOSING
            self._transport.write_eof()
            asyncio.get_running_loop().call_later(CLOSE_S, self._closed)
        elif self.state not in (State.CLOSING, State.CLOSED):
            self._drop()
            self._listener.connection_closed(self.conn)

    def _closed(self) -> None:
        """Report once that a connection that was told to close has closed."""
        if self.state is State.CLOSING:
            self._drop()
            self._listener.connection_closed(self.conn)

    def abort(self) -> None:
        """Close at once and report nothing, at the end of the process."""
        self._drop()

    def pause_reading(self) -> None:
        """Leave further bytes to the kernel."""
        if self._transport is not None:
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Read again."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    # asyncio.Protocol

    def connection_made(self, transport: Any) -> None:
        """Keep the transport."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Read a part of a response; bytes on an idle connection close it."""
        if self.state is State.IDLE:
            self.close()
            return
        if self.state in (State.CLOSING, State.CLOSED):
            return
        self._h11.receive_data(data)
        self._pump()

    def eof_received(self) -> bool:
        """Let the transport close, which ends any exchange."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End the exchange that was under way."""
        if self.state is State.IDLE:
            self.state = State.CLOSING
        if self.state is State.CLOSING:
            self._closed()
        elif self.state is not State.CLOSED:
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

    def _closed_before_send(self, sending: OutgoingRequest) -> None:
        self._drop()
        self._listener.send_failed(sending.call, self.conn, Failure.NOT_SENT)

    # Reading

    def _pump(self) -> None:
        try:
            while self.state in (State.EXPECTING, State.AWAITING):
                event = self._h11.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                self._handle(event)
        except h11.RemoteProtocolError:
            self._fail(Failure.MALFORMED)

    def _handle(self, event: Any) -> None:
        if isinstance(event, h11.InformationalResponse):
            if event.status_code == 100 and self.state is State.EXPECTING:
                self._send_body()
        elif isinstance(event, h11.Response):
            self._begin(event)
        elif isinstance(event, h11.Data):
            self._size += len(event.data)
            self._body.append(bytes(event.data))
            if self._size > MAX_BODY_BYTES:
                self._fail(Failure.TOO_LARGE)
            else:
                self._budget.take(self, len(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._finish()
        elif isinstance(event, h11.ConnectionClosed):
            self._fail(Failure.CLOSED)

    def _send_body(self) -> None:
        """Write the body that the endpoint has asked for."""
        sending, transport = self._sending, self._transport
        if sending is None or transport is None:
            return
        if clock.monotonic() > sending.not_after:
            # The endpoint has the head only and waits for a body that never comes.
            self._fail(Failure.CLOSED)
            return
        self.state = State.AWAITING
        transport.write(self._body_bytes(sending.request))

    def _begin(self, head: h11.Response) -> None:
        """Check the head of a response before its body is read."""
        sending = self._sending
        if sending is None:
            return
        if self.state is State.EXPECTING and head.status_code == EXPECTATION_FAILED:
            self._fail(Failure.NOT_SENT)
            return
        headers: Headers = list(head.headers)
        if head.status_code not in STATUSES:
            self._fail(Failure.MALFORMED)
        elif header(headers, REQUEST_ID) != sending.request_id.encode():
            self._fail(Failure.CROSSED)
        elif not _delimited(sending.request.method, head):
            # Without a length, a truncated body looks like a whole one.
            self._fail(Failure.MALFORMED)
        elif (
            header_bytes(headers) > MAX_HEADER_BYTES
            or int(header(headers, b"content-length") or 0) > MAX_BODY_BYTES
        ):
            self._fail(Failure.TOO_LARGE)
        else:
            self._head = head

    def _finish(self) -> None:
        head, sending = self._head, self._sending
        if head is None or sending is None:
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
        self._reset()
        if reusable:
            self._h11.start_next_cycle()
            self.state = State.IDLE
        else:
            self._drop()
        self._listener.response_received(sending.call, self.conn, response, reusable)

    # Ends

    def _fail(self, failure: Failure) -> None:
        sending = self._sending
        self._drop()
        if sending is not None:
            self._listener.send_failed(sending.call, self.conn, failure)

    def _drop(self) -> None:
        """Close the socket and forget the exchange."""
        self.state = State.CLOSED
        self._reset()
        if self._transport is not None:
            self._transport.abort()

    def _reset(self) -> None:
        self._budget.release(self)
        self._sending = None
        self._head = None
        self._body = []
        self._size = 0


def _delimited(method: bytes, head: h11.Response) -> bool:
    """Whether the end of a response can be told from a broken connection."""
    if method == b"HEAD" or head.status_code in (204, 304):
        return True
    names = {name for name, _ in head.headers}
    return b"content-length" in names or b"transfer-encoding" in names
