"""HTTP client with a pool of idle connections and a deadline for each call."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import socket
import struct
from collections import defaultdict
from math import inf
from typing import Any

import h11

from primrosepitch import clock
from primrosepitch.net.http_messages import Headers, HttpRequest, HttpResponse

__all__ = ["NoResponseError", "NotSentError", "PooledHttpClient"]

CONNECT_TIMEOUT_S = 1.0
"""Connect timeout; a lost SYN packet is retransmitted after 1 s."""

USER_TIMEOUT_MS = 3000
"""``TCP_USER_TIMEOUT``: how long sent data may stay unacknowledged before the kernel
closes the connection."""

READ_TIMEOUT_S = 0.5
"""Read timeout between two parts of a response; lost packets are retransmitted within
0.3 s."""

MAX_RESPONSE_S = 8.0
"""Maximum time from the first byte of a response; 1 MB takes 1.6 s at 5 Mbit/s."""

MAX_IDLE_CONNECTIONS = 8
"""Maximum number of idle connections per address."""

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""``SO_LINGER`` with a timeout of 0."""

IDLE_TIMEOUT_S = 20.0
"""Time after which an idle connection is not reused."""


class NotSentError(Exception):
    """The request was not sent, so it had no effect."""


class NoResponseError(Exception):
    """There was no complete response; the request may have, or may yet take, effect."""


class PooledHttpClient:
    """Client that sends one request at a time on each pooled connection.

    :param user_timeout_ms: maximum time for which sent data may stay unacknowledged
    """

    def __init__(self, user_timeout_ms: int = USER_TIMEOUT_MS) -> None:
        """Create an empty pool."""
        self._idle: dict[str, list[_Connection]] = defaultdict(list)
        self._user_timeout_ms = user_timeout_ms
        self._numbers = itertools.count(1)

    async def call(
        self,
        address: str,
        request: HttpRequest,
        deadline: float,
        send_by: float = inf,
        connection: int = 0,
        process: int = 0,
    ) -> HttpResponse:
        """Send a request and wait for its complete response.

        An idle connection that the server has closed is replaced before anything is
        sent, so the server cannot have read any part of the request on it.

        :param address: ``IP:PORT``
        :param deadline: boot-time clock at which the call times out; a response that is
            still arriving, for instance over a slow link, is read to its end
        :param send_by: boot-time clock after which the request must not be sent
        :param connection: number of the idle connection to use, and no other; 0 for any
        :param process: use only an idle connection that is labelled as one to this
            server process; 0 for any
        :raises NotSentError: if nothing was sent
        :raises NoResponseError: if the outcome is unknown
        """
        conn = self._take_idle(address, connection, process)
        if conn is None:
            if connection:
                raise NotSentError(f"connection {connection} is not idle any more")
            if process:
                raise NotSentError(f"no idle connection to process {process}")
            conn = await self._open(address, deadline)
        try:
            async with asyncio.timeout(
                max(0.0, deadline - clock.monotonic())
            ) as timeout:
                response = await conn.exchange(request, address, timeout, send_by)
        except TimeoutError as exc:
            conn.abort()
            # The cause of the timeout may affect the idle connections too.
            self.close_idle(address)
            raise NoResponseError(
                f"no response from {address} before the deadline"
            ) from exc
        except BaseException:
            conn.abort()
            raise
        if conn.reusable and len(self._idle[address]) < MAX_IDLE_CONNECTIONS:
            conn.idle_until = clock.monotonic() + IDLE_TIMEOUT_S
            self._idle[address].append(conn)
            response.connection = conn.number
        else:
            conn.abort()
        return response

    def label_connection(self, address: str, connection: int, process: int) -> None:
        """Record which server process an idle connection leads to.

        A connection ends with the process that accepted it, so what is sent over it
        later can't reach another process at the same address.

        :param process: number of the process, not 0
        """
        for conn in self._idle.get(address, []):
            if conn.number == connection:
                conn.process = process

    def is_connected(self, address: str, process: int) -> bool:
        """Return whether an idle connection to a server process is open."""
        now = clock.monotonic()
        return any(
            conn.process == process and conn.open and now < conn.idle_until
            for conn in self._idle.get(address, [])
        )

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address that may be unresponsive."""
        for conn in self._idle.pop(address, []):
            conn.abort()

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.close_idle(address)

    def _take_idle(self, address: str, number: int, process: int) -> _Connection | None:
        """Return an idle connection, that of a number or process unless these are 0."""
        idle = self._idle.get(address, [])
        for conn in reversed(idle):
            if conn.open and clock.monotonic() < conn.idle_until:
                if number in (0, conn.number) and process in (0, conn.process):
                    idle.remove(conn)
                    return conn
            else:
                idle.remove(conn)
                conn.abort()
        return None

    async def _open(self, address: str, deadline: float) -> _Connection:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        timeout_s = min(CONNECT_TIMEOUT_S, max(0.0, deadline - clock.monotonic()))
        try:
            async with asyncio.timeout(timeout_s):
                _, conn = await loop.create_connection(_Connection, host, int(port))
        except (OSError, TimeoutError, ValueError, OverflowError) as exc:
            # The address may come from a record of another process: its port may be
            # out of range, and its host no valid name.
            raise NotSentError(f"cannot connect to {address}: {exc!r}") from exc
        conn.set_socket_options(self._user_timeout_ms)
        conn.number = next(self._numbers)
        return conn


class _Connection(asyncio.Protocol):
    """Connection that carries one request and its response at a time."""

    def __init__(self) -> None:
        self.number = 0
        self.process = 0
        self.open = False
        self.reusable = False
        self.idle_until = 0.0
        self._h11 = h11.Connection(h11.CLIENT)
        self._transport: asyncio.Transport | None = None
        self._fut: asyncio.Future[HttpResponse] | None = None
        self._head: h11.Response | None = None
        self._body: list[bytes] = []
        self._timeout: asyncio.Timeout | None = None
        self._response_started_at = 0.0

    def connection_made(self, transport: Any) -> None:
        self._transport = transport
        self.open = True

    def set_socket_options(self, user_timeout_ms: int) -> None:
        if self._transport is None:
            return
        sock = self._transport.get_extra_info("socket")
        # A simulated network may lack the options; the deadlines of calls still apply.
        with contextlib.suppress(OSError):
            # Resets the connection on close, also when the process is killed. Otherwise
            # the kernel would go on sending a request that has been given up, which
            # could arrive after newer ones.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms
            )

    async def exchange(
        self,
        request: HttpRequest,
        host: str,
        timeout: asyncio.Timeout,
        send_by: float,
    ) -> HttpResponse:
        self._timeout = timeout
        self._response_started_at = 0.0
        headers: Headers = [
            (b"host", host.encode()),
            *request.headers,
            (b"content-length", str(len(request.body)).encode()),
        ]
        if self._transport is None or self._transport.is_closing():
            raise NotSentError("connection is closed")
        self.reusable = False
        try:
            head = h11.Request(
                method=request.method, target=request.target, headers=headers
            )
        except h11.LocalProtocolError as exc:
            raise NotSentError(f"not a valid request: {exc}") from exc
        data = self._h11.send(head) or b""
        if request.body:
            data += self._h11.send(h11.Data(data=request.body)) or b""
        data += self._h11.send(h11.EndOfMessage()) or b""
        if clock.monotonic() > send_by:
            raise NotSentError("the request is too old to be sent")
        fut = self._fut = asyncio.get_running_loop().create_future()
        self._transport.write(data)
        response: HttpResponse = await fut
        return response

    def data_received(self, data: bytes) -> None:
        self._extend_timeout()
        try:
            self._h11.receive_data(data)
            self._process_events()
        except h11.RemoteProtocolError as exc:
            self._fail(f"malformed response: {exc}")
            self.abort()

    def _extend_timeout(self) -> None:
        """Extend the timeout while a response is arriving."""
        now = asyncio.get_running_loop().time()
        self._response_started_at = self._response_started_at or now
        expires_at = self._timeout.when() if self._timeout is not None else None
        if self._timeout is None or expires_at is None or self._timeout.expired():
            return
        until = min(now + READ_TIMEOUT_S, self._response_started_at + MAX_RESPONSE_S)
        if self._fut is not None and until > expires_at:
            self._timeout.reschedule(until)

    def _process_events(self) -> None:
        while True:
            event = self._h11.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Response):
                self._head = event
            elif isinstance(event, h11.Data):
                self._body.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._finish()
                return
            elif isinstance(event, h11.ConnectionClosed):
                return

    def _finish(self) -> None:
        self._timeout = None
        head, fut = self._head, self._fut
        body = b"".join(self._body)
        self._head, self._fut, self._body = None, None, []
        if self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE:
            self._h11.start_next_cycle()
            self.reusable = True
        if head is not None and fut is not None and not fut.done():
            response = HttpResponse(head.status_code, list(head.headers), body)
            fut.set_result(response)

    def connection_lost(self, exc: Exception | None) -> None:
        self.open = self.reusable = False
        self._transport = None
        self._fail("connection closed before the end of the response")

    def _fail(self, reason: str) -> None:
        fut, self._fut = self._fut, None
        if fut is not None and not fut.done():
            fut.set_exception(NoResponseError(reason))

    def abort(self) -> None:
        self.open = self.reusable = False
        if self._transport is not None:
            self._transport.abort()
