"""Appends a scheduler's records to one partition, in order and under its term."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from primrosepitch import clock
from primrosepitch.events import RECORD_REJECTED, emit
from primrosepitch.jobs.records import record_size
from primrosepitch.jobs.store import (
    Fence,
    KeyedRecord,
    LedgerStore,
    StoreRejectedError,
    StoreUnavailableError,
    StoreUnknownError,
)

__all__ = [
    "APPEND_RETRY_DELAY_S",
    "APPEND_TIMEOUT_S",
    "FencedLog",
    "log_rejected_record",
]

APPEND_TIMEOUT_S = 0.6
"""Timeout of one attempt; retries use the same sequence number. A slow store answers in
0.3 s; after an outage, the next attempt comes before other nodes claim."""

APPEND_RETRY_DELAY_S = 0.1
"""Pause before an append is retried."""


class FencedLog:
    """Partition to which one term appends.

    :param fence: epoch of the term, and sequence number of its newest append
    """

    def __init__(self, store: LedgerStore, fence: Fence) -> None:
        """Continue after the append of the claim."""
        self._store = store
        self._fence = fence
        self._unanswered: list[KeyedRecord] | None = None
        self._lock = asyncio.Lock()

    async def append(self, records: list[KeyedRecord]) -> None:
        """Append records in one attempt.

        The store answers a repeated sequence number as it answered the first append.
        Records of an append without an answer are therefore repeated before others.

        :raises StoreUnavailableError: if nothing was appended
        :raises StoreUnknownError: if the outcome is unknown; a repeat is idempotent
        :raises StoreFencedError: if the term has ended
        """
        async with self._lock:
            if self._unanswered not in (None, records):
                await self._repeat_unanswered()
            await self._send(records)

    async def _repeat_unanswered(self) -> None:
        """Repeat the append whose outcome is unknown.

        :raises StoreUnavailableError: if it still is, so that nothing else was appended
        """
        try:
            await self._send(self._unanswered or [])
        except StoreRejectedError:
            # Nothing was appended, so its sequence number is free.
            pass
        except StoreUnknownError as exc:
            raise StoreUnavailableError(str(exc)) from exc

    async def _send(self, records: list[KeyedRecord]) -> None:
        fence = self._fence._replace(sequence=self._fence.sequence + 1)
        deadline = clock.monotonic() + APPEND_TIMEOUT_S
        repeated, self._unanswered = self._unanswered is not None, records
        try:
            await self._store.append(records, deadline, fence)
        except StoreRejectedError:
            self._unanswered = None
            raise
        except StoreUnavailableError:
            if not repeated:
                self._unanswered = None
            raise
        self._fence, self._unanswered = fence, None

    async def append_valid(
        self, records: list[KeyedRecord], may_retry: Callable[[], bool]
    ) -> list[str] | None:
        """Append records until the store has answered, without those that it rejects.

        The store rejects an append as a whole. Its halves are appended one after the
        other, until each record that is rejected stands alone.

        :returns: keys of the rejected records; ``None`` if ``may_retry`` has ended the
            attempts
        :raises StoreFencedError: if the term has ended
        """
        while may_retry():
            try:
                await self.append(records)
            except StoreRejectedError as exc:
                if len(records) == 1:
                    log_rejected_record(records[0], exc)
                    return [records[0].key]
                return await self._append_halves(records, may_retry)
            except (StoreUnavailableError, StoreUnknownError):
                await asyncio.sleep(APPEND_RETRY_DELAY_S)
            else:
                return []
        return None

    async def _append_halves(
        self, records: list[KeyedRecord], may_retry: Callable[[], bool]
    ) -> list[str] | None:
        middle = len(records) // 2
        rejected: list[str] = []
        for half in (records[:middle], records[middle:]):
            keys = await self.append_valid(half, may_retry)
            if keys is None:
                return None
            rejected += keys
        return rejected


def log_rejected_record(record: KeyedRecord, exc: StoreRejectedError) -> None:
    """Log that the store refuses a record as invalid."""
    size = record_size(record.key, record.value)
    emit(RECORD_REJECTED, key=record.key, bytes=size, reason=str(exc))
