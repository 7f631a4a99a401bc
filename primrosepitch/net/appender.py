"""Appends records and repeats them until they have been read back."""

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

READ_BACK_S = 3.0
"""Time after an accepted append in which the record is expected to be read back."""

MAX_RECORD_BYTES = 256 * 1024
"""The log refuses longer records, and a refused one would hold up all others."""

FIRST_BACKOFF_S = 0.1
LAST_BACKOFF_S = 2.0


class Pending(msgspec.Struct):
    """A record that has not been read back.

    :param first_sent: boot-time clock before it was first sent; 0 before that
    :param sent: boot-time clock when it was last sent; 0 before
    :param confirmed: resolves to the fold's outcome, for whoever waits
    """

    record: Record
    data: bytes
    first_sent: float = 0.0
    sent: float = 0.0
    accepted: bool = False
    confirmed: asyncio.Future[Outcome] | None = None

    def mark_sent(self) -> None:
        """Note the time of a send."""
        self.sent = clock.monotonic()
        self.first_sent = self.first_sent or self.sent


class Appender:
    """Sends records in the order in which they were given.

    The next record is sent when the log has accepted the one before, so records of one
    process keep their order unless the log loses some.

    :param session: session that appends
    :param on_confirmed: is told each record that was read back, with the boot-time
        clock before it was first sent
    :param on_accepted: is told the offset of each accepted record that has not been
        read back
    """

    def __init__(
        self,
        platform: PlatformClient,
        session: SessionId,
        on_confirmed: Callable[[Record, float], None] = lambda record, sent: None,
        on_accepted: Callable[[Offset], None] = lambda offset: None,
    ) -> None:
        """Send nothing yet."""
        self._platform = platform
        self._session = session
        self._pending: dict[RecordId, Pending] = {}
        self._queue: deque[RecordId] = deque()
        self._wake = asyncio.Event()
        self._read = asyncio.Event()
        self._on_confirmed = on_confirmed
        self._on_accepted = on_accepted

    def append(self, record: Record) -> RecordId:
        """Send a record until it has been read back.

        :param record: its id, session and time are filled in
        :returns: its id
        :raises MessageTooLargeError: if it is longer than the log allows
        """
        return self._add(record).record.record_id

    async def append_and_confirm(self, record: Record, timeout_s: float) -> Outcome:
        """Send a record and wait until it has been folded.

        :returns: whether it was accepted, or why it is void
        :raises AppendUnconfirmedError: if it was not read back in time; it is not sent
            again
        :raises MessageTooLargeError: if it is longer than the log allows
        """
        pending = self._add(record)
        pending.confirmed = asyncio.get_running_loop().create_future()
        try:
            async with asyncio.timeout(timeout_s):
                return await pending.confirmed
        except TimeoutError as exc:
            raise AppendUnconfirmedError(type(record).__name__) from exc
        finally:
            self._pending.pop(pending.record.record_id, None)

    def waits_for_outcome(self, record_id: RecordId) -> bool:
        """Whether somebody waits for the fold's outcome of a record."""
        pending = self._pending.get(record_id)
        return pending is not None and pending.confirmed is not None

    def pending(self, kind: type[Record]) -> list[Record]:
        """Return the records of a kind that have not been read back."""
        found = [p.record for p in self._pending.values()]
        return [r for r in found if isinstance(r, kind)]

    def record_read(self, record: Record, outcome: Outcome | None = None) -> None:
        """Note that a record has been read from the log.

        :param outcome: result of its fold, if somebody waits for it
        """
        pending = self._pending.pop(record.record_id, None)
        if pending is None:
            return
        self._read.set()
        self._on_confirmed(record, pending.first_sent)
        future = pending.confirmed
        if future is not None and outcome is not None and not future.done():
            future.set_result(outcome)

    def note_sent(self, record_id: RecordId) -> None:
        """Note that a record is about to be handed to a peer."""
        pending = self._pending.get(record_id)
        if pending is not None:
            pending.mark_sent()

    async def run(self) -> None:
        """Send records until cancelled."""
        while True:
            record_id = await self._next()
            pending = self._pending.get(record_id)
            if pending is not None:
                await self._send(pending)

    def _add(self, record: Record) -> Pending:
        stamped: Any = msgspec.structs.replace(
            record, record_id=new_record_id(), by=self._session, at=clock.wall()
        )
        data = encode_record(stamped)
        if len(data) > MAX_RECORD_BYTES:
            raise MessageTooLargeError(f"a record of {len(data)} bytes")
        pending = Pending(stamped, data)
        self._pending[stamped.record_id] = pending
        self._queue.append(stamped.record_id)
        self._wake.set()
        return pending

    async def _next(self) -> RecordId:
        """Return the next record to send, or one that was lost after its append."""
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
        """Queue the records that were accepted long ago and not read back.

        :returns: seconds until the next one is due; ``None`` without one
        """
        now = clock.monotonic()
        due = [(p.sent + READ_BACK_S - now, i) for i, p in self._pending.items()]
        self._queue.extend(record_id for left, record_id in due if left <= 0)
        return min((left for left, _ in due if left > 0), default=None)

    async def _send(self, pending: Pending) -> None:
        """Send one record until the log has accepted it or it has been read."""
        backoff_s = FIRST_BACKOFF_S
        pending.accepted = False
        while pending.record.record_id in self._pending and not pending.accepted:
            pending.mark_sent()
            try:
                if await self._attempt(pending):
                    return
            except LogUnavailableError:
                await asyncio.sleep(backoff_s)
                backoff_s = min(LAST_BACKOFF_S, 2 * backoff_s)

    async def _attempt(self, pending: Pending) -> bool:
        """Append once; a lost answer does not delay a record that was read back.

        :returns: whether the record needs no further attempt now
        :raises LogUnavailableError: if there was no answer
        """
        attempt = asyncio.ensure_future(self._platform.append(STREAM, pending.data))
        try:
            while True:
                self._read.clear()
                read = asyncio.ensure_future(self._read.wait())
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
