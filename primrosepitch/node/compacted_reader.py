"""Reads changes of a keyed partition, skipping superseded values where possible."""

from __future__ import annotations

import contextlib

from primrosepitch import clock
from primrosepitch.jobs.store import (
    Batch,
    KeyedRecord,
    LedgerStore,
    StoreTruncatedError,
    StoreUnavailableError,
)

__all__ = ["CompactedReader"]

READ_TIMEOUT_S = 0.8
"""Timeout until an answer begins, in addition to its long-poll wait."""

NEWEST_TIMEOUT_S = 3.2
"""Timeout until the answer to a read of all newest records begins."""

MAX_READ_GAP_S = 2.5
"""Time since the last read after which only the newest record of each key is read."""


class CompactedReader:
    """Follows a keyed partition that is written elsewhere.

    ``offset`` is where the next read starts, or ``None`` before the first read;
    ``caught_up`` is whether the last read reached the end of the partition.
    """

    def __init__(self, partition: LedgerStore) -> None:
        """Start before the first read, which returns all keys."""
        self.offset: int | None = None
        self.caught_up = False
        self._partition = partition
        self._keys: set[str] = set()
        self._read_at = 0.0

    async def read(self, wait_s: float) -> list[KeyedRecord]:
        """Return the newest record of each key that has changed since the last call.

        The first call returns all keys. A removed key has an empty value.

        :raises StoreUnavailableError: if the store can't be read
        """
        now = clock.monotonic()
        if self.offset is None:
            return await self.read_newest()
        if now - self._read_at > MAX_READ_GAP_S:
            # The records since then may contain many versions of the same key.
            with contextlib.suppress(StoreUnavailableError):
                return await self.read_newest()
        try:
            batch = await self._partition.read(
                self.offset, wait_s, now + wait_s + READ_TIMEOUT_S
            )
        except StoreTruncatedError:
            return await self.read_newest()
        if batch.next_offset < batch.end_offset:
            # Versions are written faster than they are read one by one. If the read of
            # the newest ones fails, this page is used.
            with contextlib.suppress(StoreUnavailableError):
                return await self.read_newest()
        return self._advance(batch)

    async def read_newest(self) -> list[KeyedRecord]:
        """Return the newest record of each key, and the keys removed since.

        :raises StoreUnavailableError: if the store can't be read
        """
        batch = await self._partition.read_newest(clock.monotonic() + NEWEST_TIMEOUT_S)
        return self.apply_newest(batch)

    def apply_newest(self, batch: Batch) -> list[KeyedRecord]:
        """Apply newest records that came from another node, and add removals."""
        removed_keys = self._keys - {record.key for record in batch.records}
        removals = [KeyedRecord(key, b"") for key in removed_keys]
        return self._advance(batch._replace(records=[*removals, *batch.records]))

    def _advance(self, batch: Batch) -> list[KeyedRecord]:
        self.offset = batch.next_offset
        self.caught_up = batch.next_offset >= batch.end_offset
        self._read_at = clock.monotonic()
        latest = {record.key: record for record in batch.records}
        for record in latest.values():
            if record.value:
                self._keys.add(record.key)
            else:
                self._keys.discard(record.key)
        return list(latest.values())
