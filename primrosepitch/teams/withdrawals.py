"""Withdrawals of keys that the log does not contain yet."""

from __future__ import annotations

from collections.abc import Container, Iterable, Iterator

from primrosepitch.ids import KeyId

__all__ = ["PendingWithdrawals"]


class PendingWithdrawals:
    """Set of key ids whose withdrawal the log does not contain yet.

    An id is removed only when the log contains its withdrawal. Entries exchange the
    set in their status messages, and each of them appends the records when the log is
    available again. Duplicate records are harmless, since a withdrawal is idempotent
    and is never undone.
    """

    def __init__(self) -> None:
        """Initialise an empty set."""
        self._ids: set[KeyId] = set()

    def __contains__(self, key_id: object) -> bool:
        """Whether the withdrawal of a key is pending."""
        return key_id in self._ids

    def __iter__(self) -> Iterator[KeyId]:
        """Iterate over the pending ids in sorted order."""
        return iter(sorted(self._ids))

    def __len__(self) -> int:
        """Return the number of pending ids."""
        return len(self._ids)

    def merge(
        self, key_ids: Iterable[KeyId], withdrawn: Container[KeyId]
    ) -> list[KeyId]:
        """Add ids from an operator or a peer.

        :param withdrawn: withdrawn ids of the folded state; they are not added
        :returns: ids that were added
        """
        added = {k for k in key_ids if k not in self._ids and k not in withdrawn}
        self._ids |= added
        return sorted(added)

    def prune(self, withdrawn: Container[KeyId]) -> None:
        """Remove the ids whose withdrawal the folded state contains."""
        self._ids = {k for k in self._ids if k not in withdrawn}
