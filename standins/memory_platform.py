"""Stand-in for the platform in memory, for tests of one scheduler."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine, Iterable
from typing import Any

from primrosepitch import clock
from primrosepitch.jobs.records import record_size
from primrosepitch.jobs.store import (
    AppendOutcome,
    Batch,
    Fence,
    KeyedRecord,
    StoreFencedError,
    StoreRejectedError,
    StoreUnknownError,
)
from standins.log_store import RECORD_BYTES
from standins.network import VirtualLoop

__all__ = [
    "MemoryPartition",
    "MemoryPlatform",
    "QueuedPartition",
    "SequencedPartition",
    "find_no_node",
    "run_virtually",
]


async def find_no_node() -> str:
    """Return an empty string, as if no larger node answered."""
    return ""


class MemoryPartition:
    """Keyed partition in memory that can lose the response to an append."""

    def __init__(self, records: Iterable[KeyedRecord] = ()) -> None:
        """Store the first records."""
        self.records = list(records)
        self.loses_responses = False

    async def append(
        self, records: list[KeyedRecord], deadline: float, fence: Fence | None = None
    ) -> AppendOutcome:
        """Append records; the response may be lost."""
        if any(record_size(*record) > RECORD_BYTES for record in records):
            raise StoreRejectedError("a record is too large")
        offset = len(self.records)
        self.records += records
        if self.loses_responses:
            raise StoreUnknownError("no response")
        return AppendOutcome(offset, len(self.records))

    async def read(self, offset: int, wait_s: float, deadline: float) -> Batch:
        """Return the records from an offset."""
        end = len(self.records)
        return Batch(self.records[offset:], end, end)

    async def read_newest(self, deadline: float) -> Batch:
        """Return all records."""
        return await self.read(0, 0.0, deadline)


class SequencedPartition(MemoryPartition):
    """Partition that checks sequence numbers; a repeat gets the answer to the first.

    :param append_s: time that an append takes
    """

    def __init__(self, append_s: float = 0.0) -> None:
        """Start without records."""
        super().__init__()
        self.append_s = append_s
        self.appends_begun = 0
        self._newest = Fence(0, 0)
        self._answers: dict[Fence, AppendOutcome] = {}

    async def append(
        self, records: list[KeyedRecord], deadline: float, fence: Fence | None = None
    ) -> AppendOutcome:
        """Append records, also if the caller gives up meanwhile."""
        self.appends_begun += 1
        work = asyncio.ensure_future(self._append_later(records, deadline, fence))
        try:
            async with asyncio.timeout(max(0.0, deadline - clock.monotonic())):
                return await asyncio.shield(work)
        except TimeoutError as exc:
            raise StoreUnknownError("no answer before the deadline") from exc

    async def _append_later(
        self, records: list[KeyedRecord], deadline: float, fence: Fence | None
    ) -> AppendOutcome:
        """Append records, unless their sequence number has been used."""
        await asyncio.sleep(self.append_s)
        if fence is None:
            return await super().append(records, deadline)
        if fence not in self._answers:
            if fence.epoch < self._newest.epoch:
                raise StoreFencedError('{"reason":"fenced"}')
            follows = fence.sequence == self._newest.sequence + 1
            if fence.epoch == self._newest.epoch and not follows:
                raise StoreFencedError('{"reason":"seq"}')
            self._newest = fence
            offset = len(self.records)
            self._answers[fence] = AppendOutcome(offset, offset + len(records))
            await super().append(records, deadline, fence)
        return self._answers[fence]


class QueuedPartition(MemoryPartition):
    """Partition whose appends wait; the newest epoch counts from its first append.

    :param wait_s: time from the first append of an epoch until it is carried out
    """

    def __init__(self, wait_s: float) -> None:
        """Start without records."""
        super().__init__()
        self.wait_s = wait_s
        self.appends = 0
        self._newest = Fence(0, 0)
        self._carried_out_at = 0.0

    async def append(
        self, records: list[KeyedRecord], deadline: float, fence: Fence | None = None
    ) -> AppendOutcome:
        """Append records once they are due; a repeat gets the answer to the first."""
        self.appends += 1
        loop = asyncio.get_running_loop()
        if fence is None or fence.epoch > self._newest.epoch:
            self._newest = fence or self._newest
            self._carried_out_at = loop.time() + self.wait_s
            loop.call_later(self.wait_s, self.records.extend, records)
        elif fence != self._newest:
            raise StoreFencedError('{"reason":"seq"}')
        await asyncio.sleep(min(self._carried_out_at, deadline) - loop.time())
        if self._carried_out_at > deadline:
            raise StoreUnknownError("no response before the deadline")
        return AppendOutcome(len(self.records) - 1, len(self.records))


class MemoryPlatform:
    """Platform that has only the partitions a claim uses."""

    def __init__(self, ledger: MemoryPartition) -> None:
        """Start with an empty partition of runs."""
        self.ledger = ledger
        self.runs = MemoryPartition()

    def open_endpoint_feed(self) -> MemoryPlatform:
        """Return a feed without endpoints."""
        return self

    async def changes(self, wait_s: float) -> list[Any]:
        """Return no change."""
        return []


def run_virtually(work: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine in virtual time, and end the tasks that it has started."""
    loop = VirtualLoop()
    try:
        loop.run_until_complete(work)
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0.01))
    finally:
        loop.close()
