"""HTTP/1.1 client with one persistent connection, for the platform's service."""

from __future__ import annotations

import asyncio

import h11

from primrosepitch.net.http_messages import (
    MAX_HEADER_BYTES,
    Headers,
    HttpRequest,
    HttpResponse,
)

__all__ = ["HttpConnection", "HttpConnectionError"]

READ_BYTES = 65536


class HttpConnectionError(Exception):
    """A request failed or its response was incomplete."""


class HttpConnection:
    """Persistent connection that is opened on demand.

    :param address: ``IP:port``
    :param max_body_bytes: maximum size of a response body
    """

    def __init__(self, address: str, max_body_bytes: int) -> None:
        """Store the address without connecting."""
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
        self._max_body_bytes = max_body_bytes
        self._h11: h11.Connection | None = None
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def send_request(
        self, request: HttpRequest, timeout_s: float
    ) -> HttpResponse:
        """Send a request and read the complete response.

        A failure closes the connection; the next request opens a new one.

        :raises HttpConnectionError: if the response was not complete within the timeout
        """
        try:
            async with asyncio.timeout(timeout_s):
                response = await self._exchange(request)
        except (OSError, TimeoutError, h11.ProtocolError, HttpConnectionError) as exc:
            self.close()
            raise HttpConnectionError(f"{type(exc).__name__}: {exc}") from exc
        except BaseException:
            self.close()
            raise
        return response

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.transport.abort()
        self._h11 = self._reader = self._writer = None

    async def _exchange(self, request: HttpRequest) -> HttpResponse:
        conn, reader, writer = await self._connected()
        headers: Headers = [
            (b"host", f"{self._host}:{self._port}".encode()),
            (b"content-length", str(len(request.body)).encode()),
            *request.headers,
        ]
        head = h11.Request(
            method=request.method, target=request.target, headers=headers
        )
        data = conn.send(head) or b""
        if request.body:
            data += conn.send(h11.Data(data=request.body)) or b""
        data += conn.send(h11.EndOfMessage()) or b""
        writer.write(data)
        await writer.drain()
        response = await self._read(conn, reader)
        if conn.our_state is h11.DONE and conn.their_state is h11.DONE:
            conn.start_next_cycle()
        else:
            self.close()
        return response

    async def _connected(
        self,
    ) -> tuple[h11.Connection, asyncio.StreamReader, asyncio.StreamWriter]:
        """Return the open connection; reconnect if the server has closed it."""
        stale = self._reader is not None and self._reader.at_eof()
        if stale or (self._writer is not None and self._writer.is_closing()):
            self.close()
        if self._h11 is None or self._reader is None or self._writer is None:
            self._reader, self._writer = await asyncio.open_connection(
                self._host, self._port, limit=READ_BYTES
            )
            self._h11 = h11.Connection(
                h11.CLIENT, max_incomplete_event_size=MAX_HEADER_BYTES
            )
        return self._h11, self._reader, self._writer

    async def _read(
        self, conn: h11.Connection, reader: asyncio.StreamReader
    ) -> HttpResponse:
        head: h11.Response | None = None
        body: list[bytes] = []
        size = 0
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                conn.receive_data(await reader.read(READ_BYTES))
            elif isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > self._max_body_bytes:
                    raise HttpConnectionError(
                        f"response body exceeds {self._max_body_bytes} bytes"
                    )
                body.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return HttpResponse(
                    head.status_code, list(head.headers), b"".join(body)
                )
            elif event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                raise HttpConnectionError(
                    "connection closed before the end of the response"
                )
