"""Small HTTP/1.1 server and client on asyncio streams, for the stand-ins."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple
from urllib.parse import parse_qsl, urlsplit

__all__ = ["Answer", "Request", "Server", "call", "json_answer"]


class Request(NamedTuple):
    """A complete request."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> dict[str, Any]:
        """Return the body as an object."""
        return json.loads(self.body or b"{}")


class Answer(NamedTuple):
    """An answer; ``status`` 0 closes the connection without one."""

    status: int
    body: bytes = b""


Handler = Callable[[Request], Awaitable[Answer]]


def json_answer(status: int, value: object) -> Answer:
    """Return an answer with a JSON body."""
    return Answer(status, json.dumps(value).encode())


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return first, headers


class Server:
    """Server on a loopback address."""

    def __init__(self, handler: Handler) -> None:
        """Store the handler; nothing listens yet."""
        self._handler = handler
        self._server: asyncio.Server | None = None
        self.address = ""
        self._life = 0

    def silence(self) -> None:
        """Make all open connections silent for good; new ones work."""
        self._life += 1

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Listen on a port, a free one if none is given."""
        self._server = await asyncio.start_server(self._serve, host, port, backlog=512)
        self.address = f"{host}:{self._server.sockets[0].getsockname()[1]}"

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        life = self._life
        try:
            while True:
                first, headers = await _read_head(reader)
                if life != self._life:
                    await asyncio.sleep(3600)
                method, target, _ = first.split(" ", 2)
                size = int(headers.get("content-length", 0))
                body = await reader.readexactly(size) if size else b""
                parts = urlsplit(target)
                query = dict(parse_qsl(parts.query))
                request = Request(method, parts.path, query, headers, body)
                answer = await self._handler(request)
                if life != self._life:
                    await asyncio.sleep(3600)
                if not answer.status:
                    return
                writer.write(
                    f"HTTP/1.1 {answer.status} -\r\n"
                    f"content-length: {len(answer.body)}\r\n\r\n".encode()
                    + answer.body
                )
                await writer.drain()
        except (OSError, EOFError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()


async def call(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 3.0,
) -> Answer:
    """Send one request on a connection of its own; status 0 is no answer."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = {"host": address, "content-length": str(len(body))}
            lines |= headers or {}
            head = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
            writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body)
            first, answered = await _read_head(reader)
            size = int(answered.get("content-length", 0))
            payload = await reader.readexactly(size) if size else b""
            return Answer(int(first.split(" ")[1]), payload)
    except (OSError, EOFError, TimeoutError):
        return Answer(0)
    finally:
        if writer is not None:
            writer.close()
