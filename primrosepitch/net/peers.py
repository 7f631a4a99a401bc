"""Messages between Primrosepitch processes, with questions and answers."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any

from primrosepitch.errors import FrameError, PeerUnavailableError
from primrosepitch.events import PEER_FRAME_BAD, emit
from primrosepitch.gen.primrose.ttypes import Envelope
from primrosepitch.net.frames import (
    encode_frame,
    envelope_body,
    make_envelope,
    read_envelope,
)

__all__ = ["PeerClient", "PeerRequest", "PeerServer"]

MAX_PEERS = 256
"""Most connections from peers; the target has about 60 processes."""

MAX_UNSENT_BYTES = 4 << 20
"""A peer that takes no more bytes than this has stopped reading."""

MAX_ANSWER_S = 60.0
"""Longest time for an answer of several messages; 8 MB take 13 s at 5 Mbit/s."""

CONNECT_S = 2.0
RETRY_S = 0.5
"""Time between attempts to connect, so an absent peer costs nothing."""

SILENT_QUESTIONS = 2
"""Unanswered questions in a row after which a connection is replaced; it may have
gone silent while new ones work."""


class PeerRequest:
    """A message from a peer.

    :param body: message of the IDL
    """

    def __init__(self, call: int, body: Any, writer: asyncio.StreamWriter) -> None:
        """Keep the way back."""
        self.body = body
        self._call = call
        self._writer = writer

    def reply(self, body: Any) -> None:
        """Answer now or later; a peer that is gone gets nothing."""
        if self._call:
            _write(self._writer, make_envelope(self._call, body))


class PeerServer:
    """Server that hands each message to a handler.

    :param handler: is called in order for the messages of one connection; it must not
        block
    """

    def __init__(self, handler: Callable[[PeerRequest], None]) -> None:
        """Do not listen yet."""
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self, address: str, port: int) -> int:
        """Start to listen.

        :returns: the port, chosen by the system when ``port`` is 0
        :raises OSError: if the address is in use
        """
        self._server = await asyncio.start_server(self._serve, address, port)
        chosen: int = self._server.sockets[0].getsockname()[1]
        return chosen

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if len(self._writers) >= MAX_PEERS:
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            while (env := await read_envelope(reader)) is not None:
                self._handler(PeerRequest(env.call, envelope_body(env), writer))
        except FrameError as exc:
            peer = writer.get_extra_info("peername")
            emit(PEER_FRAME_BAD, peer=str(peer), cause=exc.detail)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


class _Answers:
    """Messages that answer one question.

    :param timeout_s: time without a message after which no more is awaited
    """

    def __init__(self, more: Callable[[Any], bool], timeout_s: float) -> None:
        self._loop = asyncio.get_running_loop()
        self.whole: asyncio.Future[list[Any]] = self._loop.create_future()
        self.limit: asyncio.Timeout | None = None
        self._more = more
        self._timeout_s = timeout_s
        self._last_at = self._loop.time() + MAX_ANSWER_S
        self._parts: list[Any] = []

    def add(self, part: Any) -> None:
        self._parts.append(part)
        if self.whole.done():
            return
        if not self._more(part):
            self.whole.set_result(self._parts)
        elif self.limit is not None and not self.limit.expired():
            until = min(self._loop.time() + self._timeout_s, self._last_at)
            self.limit.reschedule(until)


class PeerClient:
    """Connection to one peer, opened when needed and opened again after a failure.

    :param address: ``IP:port`` of the peer
    """

    def __init__(self, address: str) -> None:
        """Do not connect yet."""
        host, _, port = address.rpartition(":")
        self.address = address
        self._host = host
        self._port = int(port)
        self._writer: asyncio.StreamWriter | None = None
        self._opening: asyncio.Task[None] | None = None
        self._reading: asyncio.Task[None] | None = None
        self._waiting: dict[int, _Answers] = {}
        self._last_call = 0
        self._unanswered = 0
        self._retry_at = 0.0
        self.connections_opened = 0

    def ready(self) -> bool:
        """Whether a connection is open; if not, one is being opened."""
        if self._writer is None and self._opening is None and self._may_retry():
            self._opening = asyncio.ensure_future(self._connect_quietly())
        return self._writer is not None

    async def request(self, body: Any, timeout_s: float) -> Any:
        """Send a question and wait for its answer.

        :returns: message of the IDL
        :raises PeerUnavailableError: if there was no answer in time
        """
        return (await self.request_parts(body, timeout_s, lambda part: False))[-1]

    async def request_parts(
        self, body: Any, timeout_s: float, more: Callable[[Any], bool]
    ) -> list[Any]:
        """Send a question and wait for an answer of several messages.

        A long answer takes its time on a slow link; each message of it extends the
        wait, so that what has come is not thrown away and asked for again.

        :param timeout_s: time without a message after which the answer counts as lost
        :param more: whether another message follows a message
        :raises PeerUnavailableError: if the last one did not come in time
        """
        self._last_call = self._last_call % 0x7FFFFFFF + 1
        call = self._last_call
        answers = _Answers(more, timeout_s)
        self._waiting[call] = answers
        try:
            async with asyncio.timeout(timeout_s) as answers.limit:
                await self._open()
                self._send(make_envelope(call, body))
                return await answers.whole
        except TimeoutError as exc:
            self._note_silence()
            raise PeerUnavailableError(f"{self.address}: no answer in time") from exc
        finally:
            del self._waiting[call]

    def notify(self, body: Any) -> None:
        """Send a message without an answer; it is dropped while not connected."""
        if self.ready():
            with contextlib.suppress(PeerUnavailableError):
                self._send(make_envelope(0, body))

    def close(self) -> None:
        """Close the connection."""
        for task in (self._opening, self._reading):
            if task is not None:
                task.cancel()
        self._drop()

    async def _connect_quietly(self) -> None:
        with contextlib.suppress(PeerUnavailableError):
            await self._connect()

    async def _open(self) -> None:
        """Connect, sharing one attempt between all who wait.

        :raises PeerUnavailableError: if the peer does not accept the connection
        """
        if self._writer is not None:
            return
        if self._opening is None:
            if not self._may_retry():
                raise PeerUnavailableError(f"{self.address}: not connected")
            self._opening = asyncio.ensure_future(self._connect())
            # Whoever waited for it may have given up.
            self._opening.add_done_callback(_retrieve_error)
        await asyncio.shield(self._opening)

    def _may_retry(self) -> bool:
        return asyncio.get_running_loop().time() >= self._retry_at

    async def _connect(self) -> None:
        try:
            async with asyncio.timeout(CONNECT_S):
                reader, self._writer = await asyncio.open_connection(
                    self._host, self._port
                )
            self._unanswered = 0
            self.connections_opened += 1
            self._reading = asyncio.ensure_future(self._read(reader, self._writer))
        except (OSError, TimeoutError) as exc:
            self._retry_at = asyncio.get_running_loop().time() + RETRY_S
            raise PeerUnavailableError(f"{self.address}: {exc}") from exc
        finally:
            self._opening = None

    def _send(self, env: Envelope) -> None:
        try:
            sent = self._writer is not None and _write(self._writer, env)
        except FrameError as exc:
            raise PeerUnavailableError(f"{self.address}: {exc.detail}") from exc
        if not sent:
            self._drop()
            raise PeerUnavailableError(f"{self.address}: the connection is closed")

    async def _read(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Hand answers to those who wait for them, until the connection ends."""
        try:
            while (env := await read_envelope(reader)) is not None:
                self._unanswered = 0
                answers = self._waiting.get(env.call)
                if answers is not None:
                    answers.add(envelope_body(env))
        except FrameError as exc:
            emit(PEER_FRAME_BAD, peer=self.address, cause=exc.detail)
        except OSError:
            pass
        finally:
            if self._writer is writer:
                self._drop()
            else:
                writer.transport.abort()

    def _note_silence(self) -> None:
        self._unanswered += 1
        if self._unanswered >= SILENT_QUESTIONS:
            self._drop()

    def _drop(self) -> None:
        """Close the connection and fail all who wait."""
        writer, self._writer = self._writer, None
        if writer is not None:
            writer.transport.abort()
        for answers in self._waiting.values():
            if not answers.whole.done():
                error = PeerUnavailableError(f"{self.address}: the connection broke")
                answers.whole.set_exception(error)
                # Whoever asked may have learned of the failure while sending.
                answers.whole.exception()


def _retrieve_error(task: asyncio.Task[None]) -> None:
    if not task.cancelled():
        task.exception()


def _write(writer: asyncio.StreamWriter, env: Envelope) -> bool:
    """Write a frame without waiting.

    :returns: whether the connection is open and the peer reads
    """
    transport = writer.transport
    if transport.is_closing():
        return False
    if transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
        transport.abort()
        return False
    writer.write(encode_frame(env))
    return True
