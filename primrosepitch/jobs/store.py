"""Interface to the platform's store."""

from __future__ import annotations

from typing import NamedTuple, Protocol

__all__ = [
    "MAX_APPEND_BYTES",
    "AppendOutcome",
    "Batch",
    "Fence",
    "KeyedRecord",
    "LedgerStore",
    "StoreFencedError",
    "StoreRejectedError",
    "StoreTruncatedError",
    "StoreUnavailableError",
    "StoreUnknownError",
]


MAX_APPEND_BYTES = 128 * 1024
"""Maximum size of an append of several records; 0.2 s on a link of 5 Mbit/s."""


class KeyedRecord(NamedTuple):
    """Record of a keyed partition; an empty value deletes the key."""

    key: str
    value: bytes


class Batch(NamedTuple):
    """Records read from a partition.

    :param next_offset: offset at which the next read starts
    :param end_offset: end offset of the partition at the time of the read
    """

    records: list[KeyedRecord]
    next_offset: int
    end_offset: int


class Fence(NamedTuple):
    """Producer epoch and sequence number of a scheduler's append.

    :param epoch: the scheduler's term; the store rejects epochs below the highest that
        it has received
    :param sequence: number of the append within the epoch
    """

    epoch: int
    sequence: int


class AppendOutcome(NamedTuple):
    """Position of appended records.

    :param offset: offset of the first record
    :param end_offset: end offset of the partition
    """

    offset: int
    end_offset: int


class StoreUnavailableError(Exception):
    """The store did not carry out the call; it can safely be retried."""


class StoreRejectedError(StoreUnavailableError):
    """The store refused the records as invalid, and would refuse them again."""


class StoreUnknownError(Exception):
    """The outcome is unknown: the change may have been made, or may still be."""


class StoreFencedError(Exception):
    """The append was fenced off by a newer term or another claim of the same one."""


class StoreTruncatedError(Exception):
    """The requested records were truncated; read the newest record of each key instead.

    :param first_offset: offset of the oldest retained record
    """

    def __init__(self, first_offset: int) -> None:
        """Create the error for a partition that starts at ``first_offset``."""
        super().__init__(f"records before offset {first_offset} have been truncated")
        self.first_offset = first_offset


class LedgerStore(Protocol):
    """Access to one keyed partition of the platform's store."""

    async def append(
        self, records: list[KeyedRecord], deadline: float, fence: Fence | None = None
    ) -> AppendOutcome:
        """Append records atomically.

        :param deadline: boot-time clock by which the call must end
        :raises StoreUnavailableError: if nothing was appended
        :raises StoreRejectedError: if a record is invalid, for instance too large
        :raises StoreUnknownError: if the outcome is unknown
        :raises StoreFencedError: if the fence is no longer the newest
        """

    async def read(self, offset: int, wait_s: float, deadline: float) -> Batch:
        """Read records from an offset, waiting up to ``wait_s`` for the first one.

        :raises StoreUnavailableError: if the store can't be read
        :raises StoreTruncatedError: if the records at the offset have been truncated
        """

    async def read_end_offset(self, deadline: float) -> int:
        """Return the end offset of the partition without reading records.

        The answer has only a few bytes.

        :raises StoreUnavailableError: if the store can't be read
        """

    async def read_newest(self, deadline: float) -> Batch:
        """Read the newest record of each key.

        The result is not a consistent snapshot: reading on from its ``next_offset``
        completes it.

        :param deadline: boot-time clock by which the first part of the answer must
            arrive; each further part may take as long
        :raises StoreUnavailableError: if the store can't be read
        """
