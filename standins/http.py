"""Minimal HTTP/1.1 server and client for the stand-ins, built on h11 and asyncio."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any
from urllib.parse import parse_qsl, urlsplit

import h11
import msgspec

__all__ = [
    "Client",
    "Close",
    "ConnectionLostError",
    "Hang",
    "Peer",
    "Request",
    "Response",
    "Server",
    "call",
    "json_response",
    "split_address",
]

READ_BYTES = 65536


class ConnectionLostError(Exception):
    """A connection closed before a complete message was read."""


class Request(msgspec.Struct, frozen=True):
    """A complete HTTP request.

    :param path: path without the query
    :param headers: values by lower-case name
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes = b""

    def json(self) -> dict[str, Any]:
        """Return the body as a JSON object; an empty body is an empty object.

        :raises ValueError: if it is not a JSON object
        """
        value = json.loads(self.body or b"{}")
        if not isinstance(value, dict):
            raise ValueError("request body is not a JSON object")
        return value


class Response(msgspec.Struct, frozen=True):
    """A complete HTTP response.

    :param truncated: whether the connection closes after half of the body
    :param close: whether the connection closes after the response
    """

    status: int = 200
    body: bytes = b""
    headers: dict[str, str] = {}
    truncated: bool = False
    close: bool = False

    def json(self) -> Any:
        """Return the body decoded from JSON."""
        return json.loads(self.body)


class Close(msgspec.Struct, frozen=True):
    """Handler result that closes the connection without a response."""


class Hang(msgspec.Struct, frozen=True):
    """Handler result that keeps the connection open and never responds."""


HandlerResult = Response | Close | Hang


class Peer(msgspec.Struct, eq=False):
    """One accepted connection.

    :param requests: number of requests whose head was read
    :param busy: whether a request is being handled
    :param counted: whether it counts towards the connection limit
    :param silent: whether it no longer gets responses
    :param dc: data centre from the client's request header
    """

    writer: asyncio.StreamWriter
    requests: int = 0
    busy: bool = False
    counted: bool = True
    silent: bool = False
    dc: str = ""


Handler = Callable[[Request, Peer], Awaitable[HandlerResult]]
HeadHandler = Callable[[Request, Peer], HandlerResult | None]


def json_response(value: object, status: int = 200) -> Response:
    """Return a response with a JSON body."""
    headers = {"Content-Type": "application/json"}
    return Response(status, json.dumps(value).encode(), headers)


def split_address(text: str) -> tuple[str, int]:
    """Return IP and port of ``IP:port``."""
    host, _, port = text.rpartition(":")
    return host, int(port)


class Server:
    """Accepts connections and calls a handler for each request.

    :param handler: returns the result for a complete request
    :param on_head: may return a result once the request head has been read
    """

    def __init__(self, handler: Handler, on_head: HeadHandler | None = None) -> None:
        """Initialize a server that does not listen yet."""
        self._handler = handler
        self._on_head = on_head
        self._server: asyncio.Server | None = None
        self._tasks: dict[asyncio.Task[None], Peer] = {}
        self._stopping = False
        self.port = 0

    @property
    def peers(self) -> list[Peer]:
        """Open connections."""
        return list(self._tasks.values())

    async def start(self, host: str, port: int) -> None:
        """Start listening; port 0 selects a free one, stored in ``port``."""
        self._stopping = False
        self._server = await asyncio.start_server(self._serve, host, port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self, grace_s: float = 30.0) -> None:
        """Stop listening, close idle connections and wait for running requests.

        :param grace_s: time after which the remaining requests are cancelled
        """
        self._stopping = True
        if self._server is not None:
            self._server.close()
        for peer in self.peers:
            if peer.silent or not peer.busy:
                peer.writer.close()
        if self._tasks:
            _, late = await asyncio.wait(self._tasks, timeout=grace_s)
            for task in late:
                task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        peer = Peer(writer)
        self._tasks[task] = peer
        try:
            await self._serve_requests(reader, peer)
        except (OSError, ConnectionLostError, h11.RemoteProtocolError):
            pass
        except asyncio.CancelledError:
            if not self._stopping:
                raise
        finally:
            self._tasks.pop(task, None)
            writer.close()

    async def _serve_requests(self, reader: asyncio.StreamReader, peer: Peer) -> None:
        conn = h11.Connection(h11.SERVER, max_incomplete_event_size=65536)
        while not self._stopping:
            answer = await self._exchange(conn, reader, peer)
            if isinstance(answer, Hang):
                await self._hang(reader, peer)
            if not isinstance(answer, Response):
                return
            await self._write(conn, peer, answer)
            peer.busy = False
            done = conn.our_state is h11.DONE and conn.their_state is h11.DONE
            if answer.close or answer.truncated or not done:
                return
            conn.start_next_cycle()

    async def _exchange(
        self, conn: h11.Connection, reader: asyncio.StreamReader, peer: Peer
    ) -> HandlerResult:
        event = await _next_event(conn, reader)
        if not isinstance(event, h11.Request):
            return Close()
        peer.busy = True
        peer.requests += 1
        head = _parse_request(event, b"")
        early = self._on_head(head, peer) if self._on_head else None
        if early is not None:
            return early
        if conn.they_are_waiting_for_100_continue:
            info = h11.InformationalResponse(status_code=100, headers=[])
            peer.writer.write(conn.send(info))
        body = await _read_body(conn, reader)
        return await self._handler(_parse_request(event, body), peer)

    async def _hang(self, reader: asyncio.StreamReader, peer: Peer) -> None:
        peer.silent = True
        while await reader.read(READ_BYTES):
            pass

    async def _write(self, conn: h11.Connection, peer: Peer, resp: Response) -> None:
        headers = [*resp.headers.items(), ("Content-Length", str(len(resp.body)))]
        if resp.close or self._stopping:
            headers.append(("Connection", "close"))
        data = conn.send(h11.Response(status_code=resp.status, headers=headers))
        if resp.truncated:
            peer.writer.write(data + resp.body[: len(resp.body) // 2])
            await peer.writer.drain()
            return
        data += conn.send(h11.Data(data=resp.body)) if resp.body else b""
        peer.writer.write(data + conn.send(h11.EndOfMessage()))
        await peer.writer.drain()


async def _next_event(conn: h11.Connection, reader: asyncio.StreamReader) -> Any:
    """Return the next h11 event."""
    while True:
        event = conn.next_event()
        if event is not h11.NEED_DATA:
            return event
        conn.receive_data(await reader.read(READ_BYTES))


async def _read_body(conn: h11.Connection, reader: asyncio.StreamReader) -> bytes:
    """Read a message body to its end.

    :raises ConnectionLostError: if the connection closes first
    """
    parts: list[bytes] = []
    while True:
        event = await _next_event(conn, reader)
        if isinstance(event, h11.EndOfMessage):
            return b"".join(parts)
        if not isinstance(event, h11.Data):
            raise ConnectionLostError(
                "connection closed in the middle of a message body"
            )
        parts.append(bytes(event.data))


def _parse_request(event: h11.Request, body: bytes) -> Request:
    target = urlsplit(event.target.decode("latin-1"))
    return Request(
        method=event.method.decode(),
        path=target.path,
        query=dict(parse_qsl(target.query)),
        headers={k.decode(): v.decode("latin-1") for k, v in event.headers},
        body=body,
    )


class Client:
    """HTTP client with one persistent connection and one request at a time.

    :param address: ``IP:port``
    """

    def __init__(self, address: str) -> None:
        """Initialize without connecting; the first request connects."""
        self.address = address
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self._conn = h11.Connection(h11.CLIENT)

    async def request(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        timeout_s: float = 10.0,
    ) -> Response:
        """Send a request and read the complete response.

        :raises OSError: if no connection can be opened, or on a timeout
        :raises ConnectionLostError: if no complete response arrived
        """
        try:
            async with asyncio.timeout(timeout_s):
                return await self._exchange(method, target, body, headers or {})
        except h11.ProtocolError as exc:
            self.close()
            raise ConnectionLostError(str(exc)) from exc
        except BaseException:
            self.close()
            raise

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].close()
        self._streams = None

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Return the open connection; reconnect if the server has closed it.

        :raises OSError: if no connection can be opened
        """
        if self._streams is not None and self._streams[0].at_eof():
            self.close()
        if self._streams is None:
            self._streams = await asyncio.open_connection(*split_address(self.address))
            self._conn = h11.Connection(h11.CLIENT)
        return self._streams

    async def _exchange(
        self, method: str, target: str, body: bytes, headers: dict[str, str]
    ) -> Response:
        reader, writer = await self.connect()
        conn = self._conn
        default_headers = {"Host": self.address, "Content-Length": str(len(body))}
        head = list((default_headers | headers).items())
        data = conn.send(h11.Request(method=method, target=target, headers=head))
        data += conn.send(h11.Data(data=body)) if body else b""
        writer.write(data + conn.send(h11.EndOfMessage()))
        await writer.drain()
        event = await _next_event(conn, reader)
        while isinstance(event, h11.InformationalResponse):
            event = await _next_event(conn, reader)
        if not isinstance(event, h11.Response):
            raise ConnectionLostError("connection closed before a response arrived")
        resp_headers = {k.decode(): v.decode("latin-1") for k, v in event.headers}
        response = Response(
            event.status_code, await _read_body(conn, reader), resp_headers
        )
        if conn.our_state is h11.DONE and conn.their_state is h11.DONE:
            conn.start_next_cycle()
        else:
            self.close()
        return response


async def call(
    address: str,
    method: str,
    target: str,
    value: object = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 10.0,
) -> Response:
    """Send one request with a JSON body over a new connection."""
    client = Client(address)
    try:
        body = b"" if value is None else json.dumps(value).encode()
        return await client.request(method, target, body, headers, timeout_s)
    finally:
        with suppress(OSError):
            client.close()
