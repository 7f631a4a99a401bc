"""Reads the ledger continuously, and appends records to it in batches."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from primrosepitch import clock
from primrosepitch.decoding import unreadable_as_decode_error
from primrosepitch.events import (
    LEDGER_RECORD_UNREADABLE,
    STORE_AVAILABLE,
    STORE_UNAVAILABLE,
    emit,
)
from primrosepitch.jobs.records import Backlog, Ledger, Record
from primrosepitch.jobs.store import (
    MAX_APPEND_BYTES,
    Batch,
    KeyedRecord,
    LedgerStore,
    StoreFencedError,
    StoreRejectedError,
    StoreTruncatedError,
    StoreUnavailableError,
    StoreUnknownError,
)
from primrosepitch.node.fenced_log import log_rejected_record

__all__ = ["Appender", "LedgerFollower"]

READ_TIMEOUT_S = 1.5
"""Timeout of a read, in addition to its long-poll wait."""

RETRY_DELAY_S = 0.2
"""Pause after a failed call to the store."""

FOLLOWER_READ_PAUSE_S = 0.25
"""Pause between reads of a node that does not schedule; it receives the scheduler's
heartbeats only after the pause."""

SCHEDULER_READ_PAUSE_S = 0.03
"""Pause between reads of the scheduling node; records accumulate for one call."""

LONG_POLL_S = 0.5
"""Time for which a read waits for a new record."""

LATENCY_VALID_S = 2.0
"""Time for which the duration of an append tells how long the next one may take."""

APPEND_TIMEOUT_S = 1.0
"""Timeout of one append attempt; the store answers in 4 ms, or 240 ms when slow."""

LATENCIES_PER_TIMEOUT = 3.0
"""Number of recent append durations that an attempt waits for, if that is longer. One
that waits in a slow store is still carried out, and its repeat waits behind it."""

CLOSED_REASON = "the process is stopping"

MAX_APPEND_TIMEOUT_S = 2.4
"""Maximum timeout of one append attempt; the store rejects what would wait for 2 s."""


class LedgerFollower:
    """Applies new records of the store to a local copy of the ledger.

    ``latency_s`` is the store's response time, measured by the last read that returned
    no record.

    :param on_record: called with each record that changed the ledger
    """

    def __init__(
        self,
        store: LedgerStore,
        on_record: Callable[[Record], None],
    ) -> None:
        """Start with an empty ledger; :meth:`run` loads it."""
        self.ledger = Ledger()
        self.loaded = False
        self.leading = False
        self.offset = 0
        self.read_at = 0.0
        self._started_at = clock.monotonic()
        self.connected_at = 0.0
        self.latency_s = 0.0
        self.backlog_received_at = 0.0
        self._store = store
        self._on_record = on_record
        self._unavailable = False

    async def run(self) -> None:
        """Read the ledger until cancelled."""
        while True:
            try:
                behind = False
                if not self.loaded:
                    await self._load()
                else:
                    batch = await self._read(LONG_POLL_S)
                    # An empty batch makes no progress; the pause prevents a busy loop.
                    behind = bool(batch.records) and (
                        batch.next_offset < batch.end_offset
                    )
            except StoreUnavailableError as exc:
                self._mark_unavailable(str(exc))
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            self._mark_available()
            if not behind:
                await asyncio.sleep(
                    SCHEDULER_READ_PAUSE_S if self.leading else FOLLOWER_READ_PAUSE_S
                )

    async def catch_up(self, offset: int | None = None) -> None:
        """Read up to the end of the ledger, or up to an offset.

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
        batch = await self._store.read_newest(clock.monotonic() + 4 * READ_TIMEOUT_S)
        self._apply(batch.records)
        self.offset = batch.next_offset
        self.loaded = True

    async def read_again(self) -> None:
        """Apply the newest record of each key, in case some were missed.

        :raises StoreUnavailableError: if the store can't be read
        """
        batch = await self._store.read_newest(clock.monotonic() + 4 * READ_TIMEOUT_S)
        self._apply(batch.records)
        await self.catch_up()

    async def _read(self, wait_s: float) -> Batch:
        offset = self.offset
        started_at = clock.monotonic()
        deadline = started_at + wait_s + READ_TIMEOUT_S
        try:
            batch = await self._store.read(offset, wait_s, deadline)
            # A concurrent read may have applied some of these records already.
            applied = max(0, self.offset - offset)
        except StoreTruncatedError:
            batch = await self._store.read_newest(
                clock.monotonic() + 4 * READ_TIMEOUT_S
            )
            # They are in the order of their keys, so none can be left out.
            applied = 0
        if not batch.records:
            # The store waited the full long-poll time; the rest is its latency.
            self.latency_s = max(0.0, clock.monotonic() - started_at - wait_s)
        if batch.next_offset > self.offset:
            self.offset = batch.next_offset
            self._apply(batch.records[applied:])
        return batch

    def _apply(self, records: list[KeyedRecord]) -> None:
        for key, value in records:
            try:
                with unreadable_as_decode_error():
                    changed = self.ledger.apply(key, value)
            except msgspec.DecodeError as exc:
                emit(LEDGER_RECORD_UNREADABLE, key=key, error=str(exc))
                continue
            if isinstance(changed, Backlog):
                self.backlog_received_at = clock.monotonic()
            if changed is not None:
                self._on_record(changed)

    def _mark_unavailable(self, reason: str) -> None:
        if not self._unavailable:
            self._unavailable = True
            emit(STORE_UNAVAILABLE, error=reason, read_age_s=self.last_read_age_s())

    def _mark_available(self) -> None:
        self.read_at = clock.monotonic()
        if self._unavailable or not self.connected_at:
            self.connected_at = self.read_at
        if self._unavailable:
            self._unavailable = False
            emit(STORE_AVAILABLE, offset=self.offset)

    def last_read_age_s(self) -> float:
        """Return the seconds since the last successful read, or since the start."""
        return round(clock.monotonic() - (self.read_at or self._started_at), 2)


class Appender:
    """Appends callers' records, batching those that arrive during an append.

    Appends are idempotent, since a record's key always has the same value.
    """

    def __init__(self, store: LedgerStore) -> None:
        """Start with an empty queue; :meth:`run` sends it."""
        self._store = store
        self._queue: list[tuple[KeyedRecord, asyncio.Future[None]]] = []
        self._wake = asyncio.Event()
        self._closed = False
        self._sending: list[tuple[KeyedRecord, asyncio.Future[None]]] = []
        self.last_success_at = 0.0
        self._sending_since = 0.0
        self._last_took_s = 0.0

    def latency_s(self) -> float:
        """Return how long appends take now.

        It is the age of the append in progress, or the time that the newest one took
        if that was answered less than ``LATENCY_VALID_S`` ago.
        """
        now = clock.monotonic()
        pending_s = now - self._sending_since if self._sending_since else 0.0
        recent = now - self.last_success_at < LATENCY_VALID_S
        return max(pending_s, self._last_took_s if recent else 0.0)

    async def append(self, record: KeyedRecord, deadline: float) -> None:
        """Append a record.

        :param deadline: boot-time clock
        :raises StoreUnavailableError: if it was not appended, and will not be
        :raises StoreRejectedError: if the store refuses it as invalid
        :raises StoreUnknownError: if it may have been appended
        """
        unknown = False
        while True:
            if self._closed:
                kind = StoreUnknownError if unknown else StoreUnavailableError
                raise kind(CLOSED_REASON)
            fut: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self._queue.append((record, fut))
            self._wake.set()
            try:
                remaining_s = deadline - clock.monotonic()
                await asyncio.wait_for(asyncio.shield(fut), max(0.0, remaining_s))
            except TimeoutError as exc:
                queued = any(f is fut for _, f in self._queue)
                self._queue = [w for w in self._queue if w[1] is not fut]
                if queued and not unknown:
                    raise StoreUnavailableError(
                        "the append was not sent before its deadline"
                    ) from exc
                raise StoreUnknownError(
                    "no answer to the append before its deadline"
                ) from exc
            except StoreRejectedError:
                raise
            except StoreUnavailableError:
                if not unknown:
                    raise
                await asyncio.sleep(RETRY_DELAY_S)
            except StoreUnknownError:
                unknown = True
            else:
                return

    def close(self) -> None:
        """Send nothing more, and end all appends that have no answer yet."""
        self._closed = True
        queued, self._queue = self._queue, []
        for waiters, kind in (
            (queued, StoreUnavailableError),
            (self._sending, StoreUnknownError),
        ):
            for _, fut in waiters:
                _settle(fut, kind(CLOSED_REASON))

    async def run(self) -> None:
        """Send queued records until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._queue:
                await self._send(self._next_batch())

    def _next_batch(self) -> list[tuple[KeyedRecord, asyncio.Future[None]]]:
        """Dequeue at least one record, and as many as fit into one append."""
        size = count = 0
        for record, _ in self._queue:
            size += len(record.value)
            if count and size > MAX_APPEND_BYTES:
                break
            count += 1
        batch, self._queue = self._queue[:count], self._queue[count:]
        return batch

    async def _send(
        self, batch: list[tuple[KeyedRecord, asyncio.Future[None]]]
    ) -> None:
        if self._closed:
            # The second half of a rejected batch, which the store has not taken.
            for _, fut in batch:
                _settle(fut, StoreUnavailableError(CLOSED_REASON))
            return
        error: Exception | None = None
        self._sending = batch
        timeout_s = max(APPEND_TIMEOUT_S, LATENCIES_PER_TIMEOUT * self.latency_s())
        self._sending_since = clock.monotonic()
        deadline = self._sending_since + min(timeout_s, MAX_APPEND_TIMEOUT_S)
        try:
            await self._store.append([record for record, _ in batch], deadline)
            self.last_success_at = clock.monotonic()
            self._last_took_s = self.last_success_at - self._sending_since
        except StoreRejectedError as exc:
            if len(batch) > 1:
                # The store refuses all records of an append because of one.
                middle = len(batch) // 2
                await self._send(batch[:middle])
                await self._send(batch[middle:])
                return
            log_rejected_record(batch[0][0], exc)
            error = exc
        except (StoreUnavailableError, StoreUnknownError) as exc:
            error = exc
        except StoreFencedError as exc:
            error = StoreUnavailableError(str(exc))
        finally:
            self._sending_since = 0.0
        for _, fut in batch:
            _settle(fut, error)


def _settle(fut: asyncio.Future[None], error: Exception | None) -> None:
    """Set the result of an append, unless its caller has timed out."""
    if fut.done():
        return
    if error is None:
        fut.set_result(None)
    else:
        fut.set_exception(error)
        # The caller may have timed out and reported its outcome already; this marks
        # the exception as retrieved.
        fut.exception()
