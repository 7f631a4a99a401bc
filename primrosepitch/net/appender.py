"""Appends records to the log and retries until each has been read back."""

from __future__ import annotations

import asyncio
import contextlib
from collections import deque
from collections.abc import Callable
from typing import Any

import msgspec

from primrosepitch import clock
from primrosepitch.errors import (
    AppendUnconfirmedError,
    LogUnavailableError,
    MessageTooLargeError,
)
from primrosepitch.fleet.fold import Outcome
from primrosepitch.fleet.records import Record, encode_record, new_record_id
from primrosepitch.ids import Offset, RecordId, SessionId
from primrosepitch.net.platform import PlatformClient

__all__ = ["STREAM", "Appender"]

STREAM = "fleet"

READ_BACK_TIMEOUT_S = 3.0
"""Time after the last send within which an accepted record should be read back."""

MAX_RECORD_BYTES = 256 * 1024
"""Maximum record size of the log; a rejected record would block all later ones."""

MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0


class PendingRecord(msgspec.Struct):
    """A record that has not been read back.

    :param data: encoding of the record
    :param first_sent_at: boot-time clock just before the first send; 0 if not sent
    :param last_sent_at: boot-time clock just before the last send; 0 if not sent
    :param accepted: whether the log has accepted the last append
    :param outcome: future for the outcome of the fold, if a caller waits for it
    """

    record: Record
    data: bytes
    first_sent_at: float = 0.0
    last_sent_at: float = 0.0
    accepted: bool = False
    outcome: asyncio.Future[Outcome] | None = None

    def mark_sent(self) -> None:
        """Record the time of a send."""
        self.last_sent_at = clock.monotonic()
        self.first_sent_at = self.first_sent_at or self.last_sent_at


class Appender:
    """Queue that appends records in the order in which they were added.

    A record is sent after the log has accepted the previous one, so records of one
    process keep their order unless the log loses some.

    :param session: session that appends
    :param on_confirmed: called with each record that was read back and the boot-time
        clock just before it was first sent
    :param on_accepted: called with the offset of each accepted record that has not been
        read back
    """

    def __init__(
        self,
        platform: PlatformClient,
        session: SessionId,
        on_confirmed: Callable[[Record, float], None] = lambda record, sent: None,
        on_accepted: Callable[[Offset], None] = lambda offset: None,
    ) -> None:
        """Create an empty queue."""
        self._platform = platform
        self._session = session
        self._pending: dict[RecordId, PendingRecord] = {}
        self._queue: deque[RecordId] = deque()
        self._wake = asyncio.Event()
        self._read_back = asyncio.Event()
        self._on_confirmed = on_confirmed
        self._on_accepted = on_accepted

    def append(self, record: Record) -> RecordId:
        """Queue a record, which is sent until it has been read back.

        :param record: record whose id, session and time are filled in
        :returns: id of the record
        :raises MessageTooLargeError: if it is longer than the log allows
        """
        return self._enqueue(record).record.record_id

    async def append_and_confirm(self, record: Record, timeout_s: float) -> Outcome:
        """Queue a record and wait until it has been folded.

        :returns: whether it was accepted, or why it is void
        :raises AppendUnconfirmedError: if it was not read back within the timeout; it
            is not sent again
        :raises MessageTooLargeError: if it is longer than the log allows
        """
        pending = self._enqueue(record)
        pending.outcome = asyncio.get_running_loop().create_future()
        try:
            async with asyncio.timeout(timeout_s):
                return await pending.outcome
        except TimeoutError as exc:
            raise AppendUnconfirmedError(type(record).__name__) from exc
        finally:
            self._pending.pop(pending.record.record_id, None)

    def waits_for_outcome(self, record_id: RecordId) -> bool:
        """Whether a caller waits for the outcome of folding a record."""
        pending = self._pending.get(record_id)
        return pending is not None and pending.outcome is not None

    def pending(self, kind: type[Record]) -> list[Record]:
        """Return the records of a type that have not been read back."""
        found = [p.record for p in self._pending.values()]
        return [r for r in found if isinstance(r, kind)]

    def confirm(self, record: Record, outcome: Outcome | None = None) -> None:
        """Stop retrying a record that was read back, and report its outcome.

        :param outcome: outcome of folding it, if a caller waits for it
        """
        pending = self._pending.pop(record.record_id, None)
        if pending is None:
            return
        self._read_back.set()
        self._on_confirmed(record, pending.first_sent_at)
        future = pending.outcome
        if future is not None and outcome is not None and not future.done():
            future.set_result(outcome)

    def mark_relayed(self, record_id: RecordId) -> None:
        """Record the time just before a peer is requested to append a record."""
        pending = self._pending.get(record_id)
        if pending is not None:
            pending.mark_sent()

    async def run(self) -> None:
        """Send records until cancelled."""
        while True:
            record_id = await self._next_to_send()
            pending = self._pending.get(record_id)
            if pending is not None:
                await self._send(pending)

    def _enqueue(self, record: Record) -> PendingRecord:
        stamped: Any = msgspec.structs.replace(
            record, record_id=new_record_id(), by=self._session, at=clock.wall()
        )
        data = encode_record(stamped)
        if len(data) > MAX_RECORD_BYTES:
            raise MessageTooLargeError(f"record has {len(data)} bytes")
        pending = PendingRecord(stamped, data)
        self._pending[stamped.record_id] = pending
        self._queue.append(stamped.record_id)
        self._wake.set()
        return pending

    async def _next_to_send(self) -> RecordId:
        """Wait for the next record to send, including records to send again."""
        while True:
            if self._queue:
                return self._queue.popleft()
            wait_s = self._requeue_lost()
            if self._queue:
                continue
            self._wake.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self._wake.wait()

    def _requeue_lost(self) -> float | None:
        """Queue the records that were not read back within ``READ_BACK_TIMEOUT_S``.

        :returns: seconds until the next record is due; ``None`` if there is none
        """
        now = clock.monotonic()
        due = [
            (p.last_sent_at + READ_BACK_TIMEOUT_S - now, i)
            for i, p in self._pending.items()
        ]
        self._queue.extend(record_id for left, record_id in due if left <= 0)
        return min((left for left, _ in due if left > 0), default=None)

    async def _send(self, pending: PendingRecord) -> None:
        """Send one record, with backoff, until it has been accepted or read back."""
        backoff_s = MIN_BACKOFF_S
        pending.accepted = False
        while pending.record.record_id in self._pending and not pending.accepted:
            pending.mark_sent()
            try:
                if await self._attempt(pending):
                    return
            except LogUnavailableError:
                await asyncio.sleep(backoff_s)
                backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s)

    async def _attempt(self, pending: PendingRecord) -> bool:
        """Append once; stop waiting for the response if the record is read back first.

        :returns: whether the record needs no further attempt now
        :raises LogUnavailableError: if there was no response
        """
        attempt = asyncio.ensure_future(self._platform.append(STREAM, pending.data))
        try:
            while True:
                self._read_back.clear()
                read = asyncio.ensure_future(self._read_back.wait())
                await asyncio.wait((attempt, read), return_when=asyncio.FIRST_COMPLETED)
                read.cancel()
                if attempt.done():
                    offset = attempt.result()
                    pending.accepted = True
                    if pending.record.record_id in self._pending:
                        self._on_accepted(offset)
                    return True
                if pending.record.record_id not in self._pending:
                    return True
        finally:
            attempt.cancel()
