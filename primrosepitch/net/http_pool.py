"""Calls to other services over kept connections, each with a deadline."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections import defaultdict
from typing import Any

import h11

from primrosepitch import clock
from primrosepitch.net.http_messages import Headers, HttpRequest, HttpResponse

__all__ = ["NoResponseError", "NotSentError", "PooledHttpClient"]

CONNECT_S = 1.0
"""Time for opening a connection; a packet lost on the way is sent again after 1 s."""

USER_TIMEOUT_MS = 3000
"""Time for which written bytes may stay unacknowledged before the kernel gives up."""

ARRIVING_S = 0.5
"""Time without a byte after which a response that has begun counts as silent: packets
that are lost are sent again within 0.3 s."""

MAX_ARRIVING_S = 8.0
"""Longest time for a response that has begun; 1 MB takes 1.6 s at 5 Mbit/s."""

IDLE_CONNECTIONS = 8
"""Most idle connections kept for one address."""

IDLE_S = 20.0
"""Time after which an idle connection is not used again."""


class NotSentError(Exception):
    """The call was not sent, so it has had no effect."""


class NoResponseError(Exception):
    """The call may have had its effect, or may still have it."""


class PooledHttpClient:
    """Client that sends one call at a time on each connection.

    :param user_timeout_ms: bound for unacknowledged bytes
    """

    def __init__(self, user_timeout_ms: int = USER_TIMEOUT_MS) -> None:
        """Open no connection yet."""
        self._idle: dict[str, list[_Connection]] = defaultdict(list)
        self._user_timeout_ms = user_timeout_ms

    async def call(
        self, address: str, request: HttpRequest, deadline: float
    ) -> HttpResponse:
        """Send a request and wait for its whole response.

        A connection that was closed while idle is replaced once, since nothing of the
        request can have been read on it.

        :param address: ``IP:PORT``
        :param deadline: boot-time clock after which an answer is not awaited whose
            bytes don't come; one that arrives over a slow link is read to its end
        :raises NotSentError: if nothing was sent
        :raises NoResponseError: if the outcome is unknown
        """
        conn = self._take(address)
        if conn is None:
            conn = await self._open(address, deadline)
        try:
            async with asyncio.timeout(max(0.0, deadline - clock.monotonic())) as limit:
                response = await conn.exchange(request, address, limit)
        except TimeoutError as exc:
            conn.abort()
            # What silenced this connection may have silenced the idle ones too.
            self.forget(address)
            raise NoResponseError(f"no answer from {address} in time") from exc
        except BaseException:
            conn.abort()
            raise
        if conn.reusable and len(self._idle[address]) < IDLE_CONNECTIONS:
            conn.idle_until = clock.monotonic() + IDLE_S
            self._idle[address].append(conn)
        else:
            conn.abort()
        return response

    def forget(self, address: str) -> None:
        """Close the idle connections to an address that may have gone silent."""
        for conn in self._idle.pop(address, []):
            conn.abort()

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.forget(address)

    def _take(self, address: str) -> _Connection | None:
        idle = self._idle.get(address)
        while idle:
            conn = idle.pop()
            if conn.open and clock.monotonic() < conn.idle_until:
                return conn
            conn.abort()
        return None

    async def _open(self, address: str, deadline: float) -> _Connection:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        limit = min(CONNECT_S, max(0.0, deadline - clock.monotonic()))
        try:
            async with asyncio.timeout(limit):
                _, conn = await loop.create_connection(_Connection, host, int(port))
        except (OSError, TimeoutError) as exc:
            raise NotSentError(f"no connection to {address}") from exc
        conn.set_user_timeout(self._user_timeout_ms)
        return conn


class _Connection(asyncio.Protocol):
    """Connection that carries one exchange at a time."""

    def __init__(self) -> None:
        self.open = False
        self.reusable = False
        self.idle_until = 0.0
        self._h11 = h11.Connection(h11.CLIENT)
        self._transport: asyncio.Transport | None = None
        self._fut: asyncio.Future[HttpResponse] | None = None
        self._head: h11.Response | None = None
        self._body: list[bytes] = []
        self._limit: asyncio.Timeout | None = None
        self._begun_at = 0.0

    def connection_made(self, transport: Any) -> None:
        self._transport = transport
        self.open = True

    def set_user_timeout(self, timeout_ms: int) -> None:
        if self._transport is None:
            return
        sock = self._transport.get_extra_info("socket")
        # A simulated network may lack the option; deadlines of calls remain.
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)

    async def exchange(
        self, request: HttpRequest, host: str, limit: asyncio.Timeout
    ) -> HttpResponse:
        self._limit = limit
        self._begun_at = 0.0
        headers: Headers = [
            (b"host", host.encode()),
            *request.headers,
            (b"content-length", str(len(request.body)).encode()),
        ]
        if self._transport is None or self._transport.is_closing():
            raise NotSentError("the connection is closed")
        fut = self._fut = asyncio.get_running_loop().create_future()
        self.reusable = False
        head = h11.Request(
            method=request.method, target=request.target, headers=headers
        )
        data = self._h11.send(head) or b""
        if request.body:
            data += self._h11.send(h11.Data(data=request.body)) or b""
        data += self._h11.send(h11.EndOfMessage()) or b""
        self._transport.write(data)
        response: HttpResponse = await fut
        return response

    def data_received(self, data: bytes) -> None:
        self._extend()
        try:
            self._h11.receive_data(data)
            self._pump()
        except h11.RemoteProtocolError as exc:
            self._fail(f"unreadable response: {exc}")
            self.abort()

    def _extend(self) -> None:
        """Wait longer for a response that arrives."""
        now = asyncio.get_running_loop().time()
        self._begun_at = self._begun_at or now
        when = self._limit.when() if self._limit is not None else None
        if self._limit is None or when is None or self._limit.expired():
            return
        until = min(now + ARRIVING_S, self._begun_at + MAX_ARRIVING_S)
        if self._fut is not None and until > when:
            self._limit.reschedule(until)

    def _pump(self) -> None:
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
        self._limit = None
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
        self._fail("the connection closed before the response")

    def _fail(self, reason: str) -> None:
        fut, self._fut = self._fut, None
        if fut is not None and not fut.done():
            fut.set_exception(NoResponseError(reason))

    def abort(self) -> None:
        self.open = self.reusable = False
        if self._transport is not None:
            self._transport.abort()
