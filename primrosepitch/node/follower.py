"""Follows the ledger, and appends to it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from primrosepitch import clock
from primrosepitch.events import (
    LEDGER_UNREADABLE,
    STORE_BACK,
    STORE_DOWN,
    emit,
)
from primrosepitch.jobs.records import Backlog, Ledger, Record
from primrosepitch.jobs.store import (
    Batch,
    KeyedRecord,
    LedgerStore,
    StoreFencedError,
    StoreTruncatedError,
    StoreUnavailableError,
    StoreUnknownError,
)

__all__ = ["Appender", "LedgerFollower"]

READ_S = 1.5
"""Time for a reading call besides what it waits for a record."""

RETRY_S = 0.2
"""Pause after a failed call to the store."""

FOLLOW_GAP_S = 0.25
"""Pause between readings, in which a scheduler's signs of life are not seen."""

LEAD_GAP_S = 0.03
"""Pause between readings of the scheduler, in which records gather for one call."""

WAIT_S = 0.5
"""Time for which a reading waits for a record."""

APPEND_S = 1.0
"""Time for one try of an append; the store answers in 4 ms, or 240 ms when slow."""

APPEND_BYTES = 128 * 1024
"""Bytes of records after which an append is sent; 0.2 s on a link of 5 Mbit/s."""


class LedgerFollower:
    """Folds the ledger as it grows.

    ``latency_s`` is the time that the store takes for an answer, by the newest reading
    that found nothing.

    :param on_record: called with each record that changed something
    """

    def __init__(
        self,
        store: LedgerStore,
        on_record: Callable[[Record], None],
    ) -> None:
        """Read nothing yet."""
        self.ledger = Ledger()
        self.loaded = False
        self.leading = False
        self.offset = 0
        self.read_at = 0.0
        self._began = clock.monotonic()
        self.connected_at = 0.0
        self.latency_s = 0.0
        self.backlog_received_at = 0.0
        self._store = store
        self._on_record = on_record
        self._lock = asyncio.Lock()
        self._down = False

    async def run(self) -> None:
        """Follow for good."""
        while True:
            try:
                behind = False
                if not self.loaded:
                    await self._load()
                else:
                    batch = await self._read(WAIT_S)
                    # Without records there is no progress, so the pause is kept.
                    behind = bool(batch.records) and (
                        batch.next_offset < batch.end_offset
                    )
            except StoreUnavailableError as exc:
                self._note_down(str(exc))
                await asyncio.sleep(RETRY_S)
                continue
            self._note_up()
            if not behind:
                await asyncio.sleep(LEAD_GAP_S if self.leading else FOLLOW_GAP_S)

    async def catch_up(self, offset: int | None = None) -> None:
        """Read to the end of the ledger, or to an offset.

        :raises StoreUnavailableError: if the store can't be read
        """
        if not self.loaded:
            raise StoreUnavailableError("the ledger has not been read yet")
        while True:
            batch = await self._read(0.0)
            end = batch.end_offset if offset is None else offset
            if self.offset >= end or not batch.records:
                return

    async def _load(self) -> None:
        batch = await self._store.newest(clock.monotonic() + 4 * READ_S)
        self._fold(batch.records)
        self.offset = batch.next_offset
        self.loaded = True

    async def _read(self, wait_s: float) -> Batch:
        offset = self.offset
        began = clock.monotonic()
        deadline = began + wait_s + READ_S
        try:
            batch = await self._store.read(offset, wait_s, deadline)
        except StoreTruncatedError:
            batch = await self._store.newest(clock.monotonic() + 4 * READ_S)
        if not batch.records:
            # It waited for a record all the time; the rest is the store's own.
            self.latency_s = max(0.0, clock.monotonic() - began - wait_s)
        if batch.next_offset > self.offset:
            # Another reading may have come first; what it folded is not folded again.
            new = batch.records[max(0, self.offset - offset) :]
            self.offset = batch.next_offset
            self._fold(new)
        return batch

    def _fold(self, records: list[KeyedRecord]) -> None:
        for key, value in records:
            try:
                changed = self.ledger.apply(key, value)
            except msgspec.DecodeError as exc:
                emit(LEDGER_UNREADABLE, key=key, error=str(exc))
                continue
            if isinstance(changed, Backlog):
                self.backlog_received_at = clock.monotonic()
            if changed is not None:
                self._on_record(changed)

    def _note_down(self, reason: str) -> None:
        if not self._down:
            self._down = True
            emit(STORE_DOWN, error=reason, read_age_s=self.age_s())

    def _note_up(self) -> None:
        self.read_at = clock.monotonic()
        if self._down or not self.connected_at:
            self.connected_at = self.read_at
        if self._down:
            self._down = False
            emit(STORE_BACK, offset=self.offset)

    def age_s(self) -> float:
        """Return the seconds since the ledger was last read, or since the start."""
        return round(clock.monotonic() - (self.read_at or self._began), 2)


class Appender:
    """Appends records of callers, gathered while an append is under way.

    A record has one value for its key, so repeating an append does no harm.
    """

    def __init__(self, store: LedgerStore) -> None:
        """Have nothing to append."""
        self._store = store
        self._waiting: list[tuple[KeyedRecord, asyncio.Future[None]]] = []
        self._wake = asyncio.Event()
        self.last_ok = 0.0
        self.failing_since = 0.0

    async def append(self, record: KeyedRecord, deadline: float) -> None:
        """Append a record.

        :param deadline: boot-time clock
        :raises StoreUnavailableError: if it was not appended, and won't be
        :raises StoreUnknownError: if it may have been
        """
        fut: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append((record, fut))
        self._wake.set()
        unknown = False
        while True:
            try:
                left = deadline - clock.monotonic()
                await asyncio.wait_for(asyncio.shield(fut), max(0.0, left))
            except TimeoutError as exc:
                queued = any(f is fut for _, f in self._waiting)
                self._waiting = [w for w in self._waiting if w[1] is not fut]
                if queued and not unknown:
                    raise StoreUnavailableError("the append was not sent") from exc
                raise StoreUnknownError("no answer to the append in time") from exc
            except StoreUnavailableError:
                if not unknown:
                    raise
                await asyncio.sleep(RETRY_S)
            except StoreUnknownError:
                unknown = True
            else:
                return
            fut = asyncio.get_running_loop().create_future()
            self._waiting.append((record, fut))
            self._wake.set()

    async def run(self) -> None:
        """Append for good."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._waiting:
                await self._send(self._next_batch())

    def _next_batch(self) -> list[tuple[KeyedRecord, asyncio.Future[None]]]:
        """Take what one append may carry, and at least one record."""
        size = count = 0
        for record, _ in self._waiting:
            size += len(record.value)
            if count and size > APPEND_BYTES:
                break
            count += 1
        batch, self._waiting = self._waiting[:count], self._waiting[count:]
        return batch

    async def _send(
        self, batch: list[tuple[KeyedRecord, asyncio.Future[None]]]
    ) -> None:
        error: Exception | None = None
        try:
            await self._store.append(
                [record for record, _ in batch], clock.monotonic() + APPEND_S
            )
            self.last_ok = clock.monotonic()
            self.failing_since = 0.0
        except (StoreUnavailableError, StoreUnknownError) as exc:
            error = exc
        except StoreFencedError as exc:
            error = StoreUnavailableError(str(exc))
        if error is not None and not self.failing_since:
            self.failing_since = clock.monotonic()
        for _, fut in batch:
            if fut.done():
                continue
            if error is None:
                fut.set_result(None)
            else:
                fut.set_exception(error)
                # The caller may have given up; its outcome is then told already.
                fut.exception()
