"""Account of the memory that clients make a process hold, and who is cut off."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from enum import Enum
from itertools import islice
from typing import Protocol

from primrosepitch.events import CLIENTS_CUT_OFF, emit

__all__ = [
    "CONNECTION_BYTES",
    "EXCHANGE_BYTES",
    "READ_BYTES",
    "ClientAccount",
    "CutOff",
]

DEFAULT_BYTES = 16 << 20
"""Account of a process whose settings state no memory. 500 connections with a request
under way take 12 MB of it."""

CONNECTION_BYTES = 8 * 1024
"""Charge of an open connection: its objects take 4 KB, and its parser holds up to 4 KB
of input that is not counted."""

EXCHANGE_BYTES = 16 * 1024
"""Charge of a request under way, beside its head and body: its task, its decoded form
and its answer."""

READ_BYTES = 16 * 1024
"""Maximum bytes of one read of a connection."""

MAX_PIPELINED_PER_ITERATION = 16
"""Maximum number of pipelined requests of all connections that begin in one iteration
of the event loop; other requests wait 2 to 5 ms for them."""

REPORT_INTERVAL_S = 5.0
"""Minimum time between two log lines about clients that were cut off."""


class CutOff(Enum):
    """Why a client's connection was closed or its request refused."""

    MEMORY = "memory"
    CONNECTIONS = "connections"
    REQUESTS = "requests"
    SLOW_SENDER = "slow_sender"
    SLOW_READER = "slow_reader"


class Client(Protocol):
    """A connection in the account.

    :param held_bytes: its charge
    """

    held_bytes: int

    def cut_off(self, reason: CutOff) -> None:
        """Refuse its request or close it, and reduce its charge at once."""

    def take_turn(self) -> None:
        """Process at most one pipelined request."""


class ClientAccount:
    """Memory that the clients of all servers of a process make it hold.

    :param limit_bytes: bound of the account; above it the greediest connections are
        cut off, and new requests are refused
    :param on_cut_off: called with each reason, for a counter
    """

    def __init__(
        self,
        limit_bytes: int = DEFAULT_BYTES,
        on_cut_off: Callable[[CutOff], None] | None = None,
    ) -> None:
        """Start without clients."""
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.read_buffer = memoryview(bytearray(READ_BYTES))
        self._on_cut_off = on_cut_off
        self._clients: set[Client] = set()
        self._turns: dict[Client, None] = {}
        self._turn_scheduled = False
        self._counts: Counter[str] = Counter()
        self._last_peer = ""
        self._report_timer: asyncio.TimerHandle | None = None

    def charge(self, client: Client, size: int) -> None:
        """Set the charge of a connection; 0 removes it.

        Above the limit, the greediest connections are cut off, possibly this one.
        """
        grown = size > client.held_bytes
        self.held_bytes += size - client.held_bytes
        client.held_bytes = size
        if not size:
            self._clients.discard(client)
            self._turns.pop(client, None)
            return
        self._clients.add(client)
        if grown:
            self._cut_off_greediest()

    def _cut_off_greediest(self) -> None:
        while self._clients and self.held_bytes > self.limit_bytes:
            greediest = max(self._clients, key=lambda other: other.held_bytes)
            if greediest.held_bytes <= CONNECTION_BYTES:
                # Only requests under way remain; they hold what they were granted.
                return
            greediest.cut_off(CutOff.MEMORY)

    def reserve(self, size: int) -> bool:
        """Charge a request under way; return whether there was room for it."""
        if self.held_bytes + size > self.limit_bytes:
            return False
        self.held_bytes += size
        return True

    def hold(self, size: int) -> None:
        """Charge what another node makes this one hold, before any client."""
        self.held_bytes += size
        self._cut_off_greediest()

    def release(self, size: int) -> None:
        """Return what :meth:`reserve` or :meth:`hold` charged."""
        self.held_bytes -= size

    def schedule(self, client: Client) -> None:
        """Let a connection take a turn, after those that wait already."""
        self._turns[client] = None
        self._schedule_turns()

    def _schedule_turns(self) -> None:
        if not self._turn_scheduled:
            self._turn_scheduled = True
            asyncio.get_running_loop().call_soon(self._run_turns)

    def _run_turns(self) -> None:
        self._turn_scheduled = False
        for client in list(islice(self._turns, MAX_PIPELINED_PER_ITERATION)):
            if client in self._turns:
                del self._turns[client]
                client.take_turn()
        if self._turns:
            self._schedule_turns()

    # Reports

    def record_cut_off(self, reason: CutOff, peer: str) -> None:
        """Count a client that was cut off, and log it with others in one line."""
        if self._on_cut_off is not None:
            self._on_cut_off(reason)
        self._counts[reason.value] += 1
        self._last_peer = peer
        if self._report_timer is None:
            self._report()

    def _report(self) -> None:
        """Log the counts since the last line, and wait before the next one."""
        self._report_timer = None
        if not self._counts:
            return
        emit(
            CLIENTS_CUT_OFF,
            counts=dict(self._counts),
            last_peer=self._last_peer,
            held_bytes=self.held_bytes,
            limit_bytes=self.limit_bytes,
            connections=len(self._clients),
        )
        self._counts.clear()
        loop = asyncio.get_running_loop()
        self._report_timer = loop.call_later(REPORT_INTERVAL_S, self._report)
