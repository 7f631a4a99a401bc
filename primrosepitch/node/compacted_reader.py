"""Reads what is new in a keyed partition, and nothing that has been replaced since."""

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

READ_S = 0.8
"""Time until an answer begins, besides its wait."""

NEWEST_S = 3.2
"""Time until the answer to a reading of all newest records begins."""

MAX_READ_GAP_S = 2.5
"""Time without a reading after which only the newest record of each key is read."""


class CompactedReader:
    """Follows a keyed partition that others write.

    ``offset`` is where the next reading starts, or ``None`` before the first one;
    ``caught_up`` says whether the newest reading reached the partition's end.
    """

    def __init__(self, partition: LedgerStore) -> None:
        """Read nothing yet."""
        self.offset: int | None = None
        self.caught_up = False
        self._partition = partition
        self._keys: set[str] = set()
        self._read_at = 0.0

    async def read(self, wait_s: float) -> list[KeyedRecord]:
        """Return the newest record of each key that has changed since the last call.

        The first call returns all there are. A removed key has an empty value.

        :raises StoreUnavailableError: if the store can't be read
        """
        now = clock.monotonic()
        if self.offset is None:
            return await self.read_newest()
        if now - self._read_at > MAX_READ_GAP_S:
            # What was written meanwhile may be many versions of the same key.
            with contextlib.suppress(StoreUnavailableError):
                return await self.read_newest()
        try:
            batch = await self._partition.read(
                self.offset, wait_s, now + wait_s + READ_S
            )
        except StoreTruncatedError:
            return await self.read_newest()
        if batch.next_offset < batch.end_offset:
            # Versions come faster than they can be read one after the other. If the
            # newest ones are refused, this page is taken.
            with contextlib.suppress(StoreUnavailableError):
                return await self.read_newest()
        return self._take(batch)

    async def read_newest(self) -> list[KeyedRecord]:
        """Return the newest record of each key, and the keys that are gone.

        :raises StoreUnavailableError: if the store can't be read
        """
        batch = await self._partition.newest(clock.monotonic() + NEWEST_S)
        return self.take_all(batch)

    def take_all(self, batch: Batch) -> list[KeyedRecord]:
        """Take the newest record of each key from elsewhere, as of an offset."""
        gone = self._keys - {record.key for record in batch.records}
        removals = [KeyedRecord(key, b"") for key in gone]
        return self._take(batch._replace(records=[*removals, *batch.records]))

    def _take(self, batch: Batch) -> list[KeyedRecord]:
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
