"""Client and server for requests, replies and notifications between processes."""

from __future__ import annotations

import asyncio
import contextlib
import weakref
from collections.abc import Callable, Iterator
from typing import Any

from primrosepitch import clock
from primrosepitch.errors import FrameError, PeerUnavailableError
from primrosepitch.events import PEER_FRAME_MALFORMED, emit
from primrosepitch.gen.primrose.ttypes import Envelope
from primrosepitch.net.client_account import ClientAccount
from primrosepitch.net.frames import (
    encode_frame,
    envelope_body,
    make_envelope,
    read_envelope,
)
from primrosepitch.net.listening import (
    BACKLOG,
    MAX_ACCEPTED_PER_ITERATION,
    create_listening_socket,
)

__all__ = ["PeerClient", "PeerRequest", "PeerServer"]

MAX_CONNECTIONS = 256
"""Maximum number of incoming connections; the target has about 60 processes."""

MAX_UNSENT_BYTES = 4 << 20
"""Size of the write buffer above which a peer is considered to have stopped reading."""

MAX_FRAMES_BYTES = 8 << 20
"""Maximum size of all large frames that are being received at a time. A frame may have
1 MB, but requests between nodes have a few records."""

SMALL_FRAME_BYTES = 16 * 1024
"""Size up to which a frame is received whatever others send."""

MAX_ALL_UNSENT_BYTES = 16 << 20
"""Size of all write buffers together above which the longest one is dropped with its
connection. 30 nodes that read 512 KB each through this one take 15 MB."""

MAX_REQUESTS_UNDER_WAY = 128
"""Requests of one connection above which it isn't read until some have ended."""

UNDER_WAY_POLL_S = 0.02

DRAIN_POLL_S = 0.01

MAX_MESSAGES_PER_ITERATION = 32
"""Messages of one connection handled in one iteration of the event loop."""

MAX_REPLY_S = 60.0
"""Maximum time for a reply of several messages; 8 MB take 13 s at 5 Mbit/s."""

CONNECT_TIMEOUT_S = 2.0
RETRY_INTERVAL_S = 0.5
"""Minimum time between connection attempts, to bound the cost of an absent peer."""

MAX_CONSECUTIVE_TIMEOUTS = 2
"""Consecutive timeouts after which a connection is replaced, since it may be
unresponsive while new connections work."""


class PeerRequest:
    """Message from a peer, which may expect a reply.

    :param call: number of the request; 0 if no reply is expected
    :param body: message of the IDL
    """

    def __init__(
        self,
        call: int,
        body: Any,
        writer: asyncio.StreamWriter,
        on_reply: Callable[[], None] = lambda: None,
    ) -> None:
        """Store the message and the stream for the reply."""
        self.body = body
        self._call = call
        self._writer = writer
        self._on_reply = on_reply

    def reply(self, body: Any) -> None:
        """Reply now or later; dropped if the peer has disconnected or expects none."""
        if self._call:
            _write(self._writer, make_envelope(self._call, body))
            self._on_reply()


class PeerServer:
    """Server that passes each message to a handler.

    :param handler: called in order for the messages of one connection; must not block
    :param account: account of the process, which frames count in
    :param connections: maximum number of incoming connections
    """

    def __init__(
        self,
        handler: Callable[[PeerRequest], None],
        account: ClientAccount | None = None,
        connections: int = MAX_CONNECTIONS,
    ) -> None:
        """Create a server that is not listening."""
        self._handler = handler
        self._account = account or ClientAccount()
        self._max_connections = connections
        self._frame_bytes = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self, address: str, port: int) -> int:
        """Start listening.

        :returns: the port, chosen by the system if ``port`` is 0
        :raises OSError: if the address is in use
        """
        sock = create_listening_socket(address, port)
        self._server = await asyncio.start_server(
            self._serve, sock=sock, backlog=MAX_ACCEPTED_PER_ITERATION
        )
        sock.listen(BACKLOG)
        bound_port: int = sock.getsockname()[1]
        return bound_port

    def close(self) -> None:
        """Stop listening and close all connections."""
        self._stop_listening()
        for writer in list(self._writers):
            writer.transport.abort()

    async def drain(self, deadline: float) -> None:
        """Stop listening, and close all connections when their replies are sent.

        :param deadline: boot-time clock
        """
        self._stop_listening()
        for writer in list(self._writers):
            writer.close()
        while self._writers and clock.monotonic() < deadline:
            await asyncio.sleep(DRAIN_POLL_S)
        self.close()

    def _stop_listening(self) -> None:
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if len(self._writers) >= self._max_connections:
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            await self._read_requests(reader, writer)
        except FrameError as exc:
            peer = writer.get_extra_info("peername")
            emit(PEER_FRAME_MALFORMED, peer=str(peer), cause=exc.detail)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _read_requests(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Handle the requests of a connection, a bounded number at a time.

        :raises FrameError: if a frame can't be read, or requests don't end
        """
        under_way: weakref.WeakSet[PeerRequest] = weakref.WeakSet()
        number = 0
        while (env := await read_envelope(reader, self._hold)) is not None:
            body = envelope_body(env)
            request = PeerRequest(env.call, body, writer, self._limit_unsent)
            if env.call:
                under_way.add(request)
            self._handler(request)
            del request
            number += 1
            if number % MAX_MESSAGES_PER_ITERATION == 0:
                await asyncio.sleep(0)
            if len(under_way) >= MAX_REQUESTS_UNDER_WAY:
                await self._wait_for_ends(under_way)

    async def _wait_for_ends(self, under_way: weakref.WeakSet[PeerRequest]) -> None:
        try:
            async with asyncio.timeout(MAX_REPLY_S):
                while len(under_way) >= MAX_REQUESTS_UNDER_WAY:
                    await asyncio.sleep(UNDER_WAY_POLL_S)
        except TimeoutError as exc:
            raise FrameError(f"{len(under_way)} requests are under way") from exc

    @contextlib.contextmanager
    def _hold(self, size: int) -> Iterator[None]:
        """Charge a frame while it is received.

        :raises FrameError: if too many are being received
        """
        counted = size if size > SMALL_FRAME_BYTES else 0
        if counted and self._frame_bytes + counted > MAX_FRAMES_BYTES:
            raise FrameError(f"{self._frame_bytes} bytes of frames are being received")
        self._frame_bytes += counted
        self._account.hold(size)
        try:
            yield
        finally:
            self._frame_bytes -= counted
            self._account.release(size)

    def _limit_unsent(self) -> None:
        """Close the connection with the most unsent bytes if all have too many."""
        sizes = {w: w.transport.get_write_buffer_size() for w in self._writers}
        if sum(sizes.values()) > MAX_ALL_UNSENT_BYTES:
            max(sizes, key=lambda writer: sizes[writer]).transport.abort()


class _PendingReply:
    """Messages received in reply to one request.

    :param more: whether another message follows a message
    :param timeout_s: time without a message after which the reply times out
    """

    def __init__(self, more: Callable[[Any], bool], timeout_s: float) -> None:
        self._loop = asyncio.get_running_loop()
        self.complete: asyncio.Future[list[Any]] = self._loop.create_future()
        self.timeout: asyncio.Timeout | None = None
        self._more = more
        self._timeout_s = timeout_s
        self._final_deadline = self._loop.time() + MAX_REPLY_S
        self._parts: list[Any] = []

    def add(self, part: Any) -> None:
        self._parts.append(part)
        if self.complete.done():
            return
        if not self._more(part):
            self.complete.set_result(self._parts)
        elif self.timeout is not None and not self.timeout.expired():
            until = min(self._loop.time() + self._timeout_s, self._final_deadline)
            self.timeout.reschedule(until)


class PeerClient:
    """Connection to one peer, opened on demand and reopened after a failure.

    ``connections_opened`` is the number of connections opened so far.

    :param address: ``IP:port`` of the peer
    """

    def __init__(self, address: str) -> None:
        """Store the address without connecting."""
        host, _, port = address.rpartition(":")
        self.address = address
        self._host = host
        self._port = int(port)
        self._writer: asyncio.StreamWriter | None = None
        self._connecting: asyncio.Task[None] | None = None
        self._read_task: asyncio.Task[None] | None = None
        self._pending: dict[int, _PendingReply] = {}
        self._last_call = 0
        self._timeouts = 0
        self._retry_at = 0.0
        self.connections_opened = 0

    def ready(self) -> bool:
        """Whether a connection is open; if not, start to open one."""
        if self._writer is None and self._connecting is None and self._may_connect():
            self._connecting = asyncio.ensure_future(self._connect_in_background())
        return self._writer is not None

    async def request(self, body: Any, timeout_s: float) -> Any:
        """Send a request and wait for its reply.

        :returns: message of the IDL
        :raises PeerUnavailableError: if there was no reply within the timeout
        """
        return (await self.request_parts(body, timeout_s, lambda part: False))[-1]

    async def request_parts(
        self, body: Any, timeout_s: float, more: Callable[[Any], bool]
    ) -> list[Any]:
        """Send a request and wait for a reply of several messages.

        Each message extends the timeout, so that a long reply over a slow link is not
        discarded and requested again.

        :param timeout_s: time without a message after which the request times out
        :param more: whether another message follows a message
        :raises PeerUnavailableError: if the reply was not complete in time
        """
        self._last_call = self._last_call % 0x7FFFFFFF + 1
        call = self._last_call
        reply = _PendingReply(more, timeout_s)
        self._pending[call] = reply
        try:
            async with asyncio.timeout(timeout_s) as reply.timeout:
                await self._ensure_connected()
                self._send(make_envelope(call, body))
                return await reply.complete
        except TimeoutError as exc:
            self._record_timeout()
            raise PeerUnavailableError(f"{self.address}: request timed out") from exc
        finally:
            del self._pending[call]

    def notify(self, body: Any) -> None:
        """Send a message without a reply; dropped unless a connection is open."""
        if self.ready():
            with contextlib.suppress(PeerUnavailableError):
                self._send(make_envelope(0, body))

    def close(self) -> None:
        """Close the connection."""
        for task in (self._connecting, self._read_task):
            if task is not None:
                task.cancel()
        self._disconnect()

    async def _connect_in_background(self) -> None:
        with contextlib.suppress(PeerUnavailableError):
            await self._connect()

    async def _ensure_connected(self) -> None:
        """Connect unless connected; concurrent callers share one attempt.

        :raises PeerUnavailableError: if the peer does not accept the connection
        """
        if self._writer is not None:
            return
        if self._connecting is None:
            if not self._may_connect():
                raise PeerUnavailableError(
                    f"{self.address}: not connected, last attempt failed"
                )
            self._connecting = asyncio.ensure_future(self._connect())
            # All callers may have timed out, so nobody else retrieves the exception.
            self._connecting.add_done_callback(_retrieve_exception)
        await asyncio.shield(self._connecting)

    def _may_connect(self) -> bool:
        return asyncio.get_running_loop().time() >= self._retry_at

    async def _connect(self) -> None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, self._writer = await asyncio.open_connection(
                    self._host, self._port
                )
            self._timeouts = 0
            self.connections_opened += 1
            self._read_task = asyncio.ensure_future(self._read(reader, self._writer))
        except (OSError, TimeoutError) as exc:
            self._retry_at = asyncio.get_running_loop().time() + RETRY_INTERVAL_S
            raise PeerUnavailableError(f"{self.address}: {exc}") from exc
        finally:
            self._connecting = None

    def _send(self, env: Envelope) -> None:
        try:
            sent = self._writer is not None and _write(self._writer, env)
        except FrameError as exc:
            raise PeerUnavailableError(f"{self.address}: {exc.detail}") from exc
        if not sent:
            self._disconnect()
            raise PeerUnavailableError(f"{self.address}: connection is closed")

    async def _read(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Dispatch replies to pending requests until the connection ends."""
        try:
            while (env := await read_envelope(reader)) is not None:
                self._timeouts = 0
                reply = self._pending.get(env.call)
                if reply is not None:
                    reply.add(envelope_body(env))
        except FrameError as exc:
            emit(PEER_FRAME_MALFORMED, peer=self.address, cause=exc.detail)
        except OSError:
            pass
        finally:
            if self._writer is writer:
                self._disconnect()
            else:
                writer.transport.abort()

    def _record_timeout(self) -> None:
        self._timeouts += 1
        if self._timeouts >= MAX_CONSECUTIVE_TIMEOUTS:
            self._disconnect()

    def _disconnect(self) -> None:
        """Close the connection and fail all pending requests."""
        writer, self._writer = self._writer, None
        if writer is not None:
            writer.transport.abort()
        for reply in self._pending.values():
            if not reply.complete.done():
                error = PeerUnavailableError(f"{self.address}: connection lost")
                reply.complete.set_exception(error)
                # The request may have failed while sending and not await this future.
                reply.complete.exception()


def _retrieve_exception(task: asyncio.Task[None]) -> None:
    if not task.cancelled():
        task.exception()


def _write(writer: asyncio.StreamWriter, env: Envelope) -> bool:
    """Write a frame without waiting.

    :returns: whether the connection is open and the peer is reading
    """
    transport = writer.transport
    if transport.is_closing():
        return False
    if transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
        transport.abort()
        return False
    writer.write(encode_frame(env))
    return True
