"""Callers of a node that stops: what they send, and what becomes of each request.

They write bytes to plain sockets, so that a request may arrive slowly, ahead of others
or in part, and a reset can be told from an orderly close.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from enum import Enum

from standins.http import split_address
from standins.log_store import LogStore
from standins.node_process import HOST

__all__ = ["CallRecord", "CallEnd", "Caller", "CallRecords"]

LOSS_SLACK_S = 0.2
"""Time after its last byte within which a request may meet a connection that is being
closed (``loss_slack_ms`` of the sites)."""

ANSWER_TIMEOUT_S = 10.0
"""Time after which a request counts as not answered, whatever hangs."""

READ_BYTES = 65536
NOT_RUN_STATUSES = frozenset((429, 503))
"""Statuses that promise that a submission never runs."""

JOBS_TOPIC = "keyed.jobs"
JOB_KEY_PREFIX = "j/"


class CallEnd(Enum):
    """What a caller has seen of its request."""

    INCOMPLETE = "not sent whole"
    ANSWERED = "answered"
    CLOSED = "closed without an answer"
    RESET = "reset without an answer"
    SILENT = "no answer in time"


class CallRecord:
    """A request and its answer.

    :param job: id of the job that is submitted; empty for other requests
    :param field: field that the body of a successful answer has; empty if it has none
    """

    def __init__(self, data: bytes, job: str = "", field: str = "") -> None:
        """Record a request that is not sent yet."""
        self.data = data
        self.job = job
        self.field = field
        self.sent_at = 0.0
        self.crossed_close = False
        self.ended_at = 0.0
        self.end = CallEnd.INCOMPLETE
        self.status = 0
        self.body = b""
        self.stored = False

    @property
    def lost(self) -> bool:
        """Return whether a node has taken the whole request and not answered it.

        It has not if it had closed its side before, or closed the connection with bytes
        unread, which a reset shows. Both happen only to a request that is sent while
        the connection ends.
        """
        if not self.sent_at or self.end is CallEnd.ANSWERED:
            return False
        late = self.ended_at - self.sent_at > LOSS_SLACK_S
        taken = not self.crossed_close and self.end is not CallEnd.RESET
        return taken or late

    @property
    def matches(self) -> bool:
        """Return whether the answer is one to this request, and not to another."""
        if self.status != 200:
            return self.status in NOT_RUN_STATUSES | {504}
        fields = [self.field] if self.field else []
        return list(json.loads(self.body)) == fields

    def describe(self, stopped_at: float) -> str:
        """Return what became of the request, by the time since SIGTERM."""
        request = self.data.split(b" HTTP/")[0].decode()
        sent = f"sent at {self.sent_at - stopped_at:+.3f} s"
        ended = f"ended at {self.ended_at - stopped_at:+.3f} s"
        text = f"{request}: {self.end.value}, {sent if self.sent_at else 'not sent'}"
        return f"{text}, {ended}, status {self.status}, body {self.body[:60]!r}"


class CallRecords:
    """All requests of the callers of a node.

    :param store: store that has the jobs that were accepted
    """

    def __init__(self, store: LogStore) -> None:
        """Start without requests."""
        self.calls: list[CallRecord] = []
        self.stopped_at = 0.0
        self._store = store
        self._numbers = itertools.count(1)

    def submission(self, specification: str = "") -> CallRecord:
        """Return a submission of a new job."""
        job = f"{next(self._numbers):016x}"
        body = json.dumps({"specification": specification, "steps": [{"count": 1}]})
        return self._add("POST", f"/press/{job}", body.encode(), job)

    def state_request(self, job: str) -> CallRecord:
        """Return a request for the state of a job."""
        return self._add("GET", f"/press/{job}", field="state")

    def cancellation(self, job: str) -> CallRecord:
        """Return a request to cancel a job."""
        return self._add("DELETE", f"/press/{job}")

    def waiting_request(self, body: bytes = b"") -> CallRecord:
        """Return a request for the number of waiting jobs, with a body if one is given.

        It needs no store.
        """
        return self._add("GET", "/press/", body, field="waiting")

    def _add(
        self, method: str, path: str, body: bytes = b"", job: str = "", field: str = ""
    ) -> CallRecord:
        head = f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
        if body:
            head += f"Content-Length: {len(body)}\r\n"
        call = CallRecord(f"{head}\r\n".encode() + body, job, field)
        self.calls.append(call)
        return call

    def is_stored(self, job: str) -> bool:
        """Return whether the store has the record of a job."""
        return self._store.count(JOBS_TOPIC, JOB_KEY_PREFIX + job) > 0

    def finish(self, call: CallRecord, end: CallEnd) -> None:
        """Record the end of a request, and whether its job is stored then."""
        call.end = end
        call.ended_at = asyncio.get_running_loop().time()
        call.stored = bool(call.job) and self.is_stored(call.job)

    def lost(self) -> list[str]:
        """Describe the requests that were read and not answered."""
        return [c.describe(self.stopped_at) for c in self.calls if c.lost]

    def unanswered(self) -> list[str]:
        """Describe the requests without an answer, also those not sent whole."""
        calls = [c for c in self.calls if c.end is not CallEnd.ANSWERED]
        return [c.describe(self.stopped_at) for c in calls]

    def untrue(self) -> list[str]:
        """Describe the answers that the records in the store contradict.

        To be called when the store has carried out all appends.
        """
        found = []
        for call in self.calls:
            accepted = call.status == 200 and call.job and not call.stored
            refused = call.status in NOT_RUN_STATUSES and call.job
            mixed_up = call.end is CallEnd.ANSWERED and not call.matches
            if accepted or mixed_up or (refused and self.is_stored(call.job)):
                found.append(call.describe(self.stopped_at))
        return found


class Caller:
    """A connection to a node.

    ``read_bytes`` and ``read_pause_s`` limit the rate at which answers are read.

    :param records: records of the requests that are sent over it
    """

    def __init__(self, sock: socket.socket, records: CallRecords) -> None:
        """Use a connected socket."""
        self._sock = sock
        self._records = records
        self._loop = asyncio.get_running_loop()
        self._input = b""
        self.closed = False
        self.read_bytes = READ_BYTES
        self.read_pause_s = 0.0

    @classmethod
    @asynccontextmanager
    async def connect(
        cls, address: str, records: CallRecords, buffer_bytes: int = 0
    ) -> AsyncIterator[Caller]:
        """Connect, and close the connection at the end.

        :param buffer_bytes: size of the receive buffer; 0 for the system's default
        :raises OSError: if the node doesn't accept the connection
        """
        with socket.socket() as sock:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if buffer_bytes:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
            await asyncio.get_running_loop().sock_connect(sock, split_address(address))
            yield cls(sock, records)

    async def write(self, data: bytes) -> bool:
        """Write bytes; return whether the connection is open."""
        try:
            await self._loop.sock_sendall(self._sock, data)
        except OSError:
            self.closed = True
        return not self.closed

    async def send(self, *calls: CallRecord) -> bool:
        """Send whole requests in one write; return whether the connection is open."""
        return await self.send_rest(b"".join(call.data for call in calls), *calls)

    async def send_rest(self, data: bytes, *calls: CallRecord) -> bool:
        """Send the last bytes of some requests in one write."""
        if not await self.write(data):
            for call in calls:
                self._records.finish(call, CallEnd.INCOMPLETE)
            return False
        crossed_close = self._is_closed_by_node()
        for call in calls:
            call.sent_at = self._loop.time()
            call.crossed_close = crossed_close
        return True

    def _is_closed_by_node(self) -> bool:
        """Return whether the node has closed its side, and all before that was read."""
        try:
            return not self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True

    async def send_slowly(self, call: CallRecord, parts: int, seconds: float) -> bool:
        """Send a request in equal parts; return whether the connection is open."""
        size = -(-len(call.data) // parts)
        for start in range(0, len(call.data) - size, size):
            if not await self.write(call.data[start : start + size]):
                self._records.finish(call, CallEnd.INCOMPLETE)
                return False
            await asyncio.sleep(seconds / (parts - 1))
        return await self.send_rest(call.data[size * (parts - 1) :], call)

    async def read_answer(self, call: CallRecord) -> bool:
        """Read the answer to a request that was sent; return whether one came."""
        end = CallEnd.ANSWERED
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                await self._read_answer(call)
        except TimeoutError:
            end = CallEnd.SILENT
        except EOFError:
            # A request that arrives after the close is answered by a reset as well.
            error = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            end = CallEnd.RESET if error else CallEnd.CLOSED
        except OSError:
            end = CallEnd.RESET
        self._records.finish(call, end)
        return end is CallEnd.ANSWERED

    async def exchange(self, call: CallRecord) -> bool:
        """Send a request and read its answer; return whether one came."""
        return await self.send(call) and await self.read_answer(call)

    async def _read_answer(self, call: CallRecord) -> None:
        while b"\r\n\r\n" not in self._input:
            await self._receive()
        head, _, self._input = self._input.partition(b"\r\n\r\n")
        lines = head.decode().lower().split("\r\n")
        headers = dict(line.split(": ", 1) for line in lines[1:])
        length = int(headers.get("content-length", "0"))
        while len(self._input) < length:
            await self._receive()
        call.body, self._input = self._input[:length], self._input[length:]
        call.status = int(lines[0].split()[1])
        self.closed = self.closed or headers.get("connection") == "close"

    async def _receive(self) -> None:
        """Receive some bytes.

        :raises EOFError: if the node has closed the connection
        """
        await asyncio.sleep(self.read_pause_s)
        data = await self._loop.sock_recv(self._sock, self.read_bytes)
        if not data:
            self.closed = True
            raise EOFError
        self._input += data
