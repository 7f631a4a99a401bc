"""Clients that keep to no limits: they pipeline, stall, or connect without end.

Every client has a deadline, so that a server that hangs can't hang the crowd.
"""

from __future__ import annotations

import asyncio
import itertools
import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress

from standins.http import split_address

__all__ = ["BEHAVIOURS", "Behaviour", "Crowd", "pipeline_requests"]

Behaviour = Callable[["Crowd", socket.socket], Awaitable[None]]

JOB_PATH = b"/press/00000000000000aa"
CONNECTS_PER_CLIENT = 10
HEAD_BYTES = 15 * 1024
BODY_BYTES = 64 * 1024
BATCH_BYTES = 64 * 1024


class Crowd:
    """Clients of one address that behave alike.

    :param seconds: time after which each client stops to send; its connection stays
        open until :meth:`close`
    """

    def __init__(self, address: str, clients: int, seconds: float) -> None:
        """Create clients without connecting them."""
        self._address = split_address(address)
        self._clients = clients
        self._seconds = seconds
        self._sockets: list[socket.socket] = []
        self.loop = asyncio.get_running_loop()

    async def run(self, behaviour: Behaviour) -> None:
        """Connect all clients, and let them send until their deadline."""
        numbers = range(self._clients)
        await asyncio.gather(*(self._run_one(behaviour) for _ in numbers))

    async def _run_one(self, behaviour: Behaviour) -> None:
        sock = socket.socket()
        sock.setblocking(False)
        self._sockets.append(sock)
        # The server may close the connection, or leave it in its backlog.
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(self._seconds):
                await self.connect(sock)
                await behaviour(self, sock)

    async def connect(self, sock: socket.socket) -> None:
        """Connect a further socket of a client."""
        await self.loop.sock_connect(sock, self._address)

    def close(self) -> None:
        """Close all connections."""
        for sock in self._sockets:
            sock.close()


def pipeline_requests(request: bytes) -> Behaviour:
    """Return a behaviour that sends a request again and again, and reads nothing."""
    batch = request * (BATCH_BYTES // len(request))

    async def behave(crowd: Crowd, sock: socket.socket) -> None:
        while True:
            await crowd.loop.sock_sendall(sock, batch)

    return behave


async def _read_slowly(crowd: Crowd, sock: socket.socket) -> None:
    """Ask for many answers, and read a byte a second."""
    await crowd.loop.sock_sendall(sock, b"GET /m HTTP/1.1\r\nhost: x\r\n\r\n" * 500)
    while await crowd.loop.sock_recv(sock, 1):
        await asyncio.sleep(1.0)


async def _send_byte_by_byte(crowd: Crowd, sock: socket.socket) -> None:
    for number in itertools.count():
        await crowd.loop.sock_sendall(sock, b"GET / HTTP/1.1\r\na"[number : number + 1])
        await asyncio.sleep(1.0)


async def _send_endless_head(crowd: Crowd, sock: socket.socket) -> None:
    """Send a head that stays below the limit and doesn't end, then byte by byte."""
    await crowd.loop.sock_sendall(sock, b"GET / HTTP/1.1\r\nhost: x\r\na: ")
    await crowd.loop.sock_sendall(sock, b"x" * HEAD_BYTES)
    while True:
        await crowd.loop.sock_sendall(sock, b"x")
        await asyncio.sleep(1.0)


async def _connect_and_close(crowd: Crowd, sock: socket.socket) -> None:
    """Connect and close many times; every second time in the middle of a head."""
    sock.close()
    for number in range(CONNECTS_PER_CLIENT):
        with socket.socket() as other:
            other.setblocking(False)
            await crowd.connect(other)
            if number % 2:
                await crowd.loop.sock_sendall(other, b"GET / HTT")


async def _half_close(crowd: Crowd, sock: socket.socket) -> None:
    """Send a request, shut down the sending side, and read nothing."""
    request = b"GET " + JOB_PATH + b" HTTP/1.1\r\nhost: jobs.example\r\n\r\n"
    await crowd.loop.sock_sendall(sock, request * 20)
    sock.shutdown(socket.SHUT_WR)
    await asyncio.sleep(60)


async def _send_part_of_body(crowd: Crowd, sock: socket.socket) -> None:
    """Send nearly all of a small body."""
    head = b"POST %s HTTP/1.1\r\nhost: jobs.example\r\ncontent-length: %d\r\n\r\n"
    await crowd.loop.sock_sendall(sock, head % (JOB_PATH, BODY_BYTES))
    await crowd.loop.sock_sendall(sock, b" " * (BODY_BYTES - 1))
    await asyncio.sleep(60)


async def _stay_idle(crowd: Crowd, sock: socket.socket) -> None:
    await asyncio.sleep(60)


BEHAVIOURS: dict[str, Behaviour] = {
    "pipeline requests for a job without the usual headers": pipeline_requests(
        b"GET " + JOB_PATH + b" HTTP/1.1\r\nhost: jobs.example\r\n\r\n"
    ),
    "pipeline readiness checks": pipeline_requests(
        b"GET /ready HTTP/1.1\r\nhost: x\r\n\r\n"
    ),
    "pipeline requests that match no route": pipeline_requests(
        b"GET /nowhere HTTP/1.1\r\nhost: x\r\n\r\n"
    ),
    "read answers slowly": _read_slowly,
    "send a byte a second": _send_byte_by_byte,
    "send heads without end": _send_endless_head,
    "connect and close": _connect_and_close,
    "half-close": _half_close,
    "send part of a small body": _send_part_of_body,
    "stay idle": _stay_idle,
}
