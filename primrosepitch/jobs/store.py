"""What the product needs of the platform's store."""

from __future__ import annotations

from typing import NamedTuple, Protocol

__all__ = [
    "AppendOutcome",
    "Batch",
    "Fence",
    "KeyedRecord",
    "LedgerStore",
    "StoreFencedError",
    "StoreTruncatedError",
    "StoreUnavailableError",
    "StoreUnknownError",
]


class KeyedRecord(NamedTuple):
    """One record of a keyed partition; an empty value removes the key."""

    key: str
    value: bytes


class Batch(NamedTuple):
    """Records read from a partition.

    :param next_offset: where the next read starts
    :param end_offset: end of the partition when it was read
    """

    records: list[KeyedRecord]
    next_offset: int
    end_offset: int


class Fence(NamedTuple):
    """Identity under which a scheduler appends.

    :param epoch: its term; the store refuses lower ones than it has seen
    :param sequence: number of the append within the epoch
    """

    epoch: int
    sequence: int


class AppendOutcome(NamedTuple):
    """Answer to an append.

    :param offset: of its first record
    """

    offset: int
    end_offset: int


class StoreUnavailableError(Exception):
    """The store did nothing; the call may be made again."""


class StoreUnknownError(Exception):
    """The store may have done what was asked, or may do so later."""


class StoreFencedError(Exception):
    """A newer term, or another claim of the same one, has appended."""


class StoreTruncatedError(Exception):
    """Records before ``first_offset`` are gone; read the newest of each key.

    :param first_offset: oldest record that is left
    """

    def __init__(self, first_offset: int) -> None:
        """Keep the offset."""
        super().__init__(f"records before {first_offset} are gone")
        self.first_offset = first_offset


class LedgerStore(Protocol):
    """One keyed partition of the platform's store."""

    async def append(
        self, records: list[KeyedRecord], deadline: float, fence: Fence | None = None
    ) -> AppendOutcome:
        """Append records, all or none.

        :param deadline: boot-time clock
        :raises StoreUnavailableError: if nothing was done
        :raises StoreUnknownError: if the outcome is unknown
        :raises StoreFencedError: if the fence is beaten
        """

    async def read(self, offset: int, wait_s: float, deadline: float) -> Batch:
        """Read records from an offset, waiting for one up to ``wait_s``.

        :raises StoreUnavailableError: if the store can't be read
        :raises StoreTruncatedError: if the offset is gone
        """

    async def end(self, deadline: float) -> int:
        """Return the offset behind the newest record, at the cost of a few bytes.

        :raises StoreUnavailableError: if the store can't be read
        """

    async def newest(self, deadline: float) -> Batch:
        """Read the newest record of each key.

        The result is no snapshot: reading on from its ``next_offset`` completes it.

        :param deadline: for the first part of the answer; each other part may take as
            long
        :raises StoreUnavailableError: if the store can't be read
        """
