"""Keys withdrawn while the log is down."""

from __future__ import annotations

from collections.abc import Container, Iterable, Iterator

from primrosepitch.ids import KeyId

__all__ = ["PendingWithdrawals"]


class PendingWithdrawals:
    """Set of key ids that only shrinks when the log holds the withdrawal.

    Entries exchange it in their status messages. Any holder appends the records once
    the log is back; repeated records are harmless since a withdrawal is monotone.
    """

    def __init__(self) -> None:
        """Start without withdrawals."""
        self._ids: set[KeyId] = set()

    def __contains__(self, key_id: object) -> bool:
        """Whether the withdrawal of a key is pending."""
        return key_id in self._ids

    def __iter__(self) -> Iterator[KeyId]:
        """Iterate over the pending ids in a stable order."""
        return iter(sorted(self._ids))

    def __len__(self) -> int:
        """Return the number of pending ids."""
        return len(self._ids)

    def merge(
        self, key_ids: Iterable[KeyId], withdrawn: Container[KeyId]
    ) -> list[KeyId]:
        """Add ids from an operator or a peer.

        :param withdrawn: withdrawn ids of the withdrawn state; they are not pending
        :returns: ids that are new here
        """
        added = {k for k in key_ids if k not in self._ids and k not in withdrawn}
        self._ids |= added
        return sorted(added)

    def prune(self, withdrawn: Container[KeyId]) -> None:
        """Drop the ids that the withdrawn state holds."""
        self._ids = {k for k in self._ids if k not in withdrawn}
