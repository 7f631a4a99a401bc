"""Reads the operators' records, from the store or from another node.

A manifest of hundreds of kilobytes may change in quick succession, while links carry a
few Mbit/s and the store rejects some nodes. A node whose link is too slow for that, or
that can't reach the store, gets the newest records compressed from another node, which
reads them once and serves them to many.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from math import inf

from primrosepitch import clock
from primrosepitch.events import OPERATORS_READ, emit
from primrosepitch.jobs.store import (
    Batch,
    KeyedRecord,
    LedgerStore,
    StoreUnavailableError,
)
from primrosepitch.metrics import Metrics
from primrosepitch.node.compacted_reader import CompactedReader
from primrosepitch.node.dependency import DependencyMonitor
from primrosepitch.node.peer_pool import PeerNode, PeerPool
from primrosepitch.node.records_exchange import LocalRecords, RecordsExchange
from primrosepitch.node.relay import StoreRelay

__all__ = ["OperatorRecordsFollower"]

LONG_POLL_S = 0.8
"""Time for which a read of the store waits for a change. A waiting read may miss a
change, or its connection may be silently dead; the next read finds the change."""

PEER_WAIT_S = 0.8
"""Time for which another node may wait for a change before it answers."""

END_TIMEOUT_S = 0.6
"""Timeout of a request to the store for the end offset of the records."""

MAX_DIRECT_READ_S = 0.2
"""Maximum transfer time of all records over this node's link at which it reads them
from the store itself."""

PEER_FETCH_S = 0.3
"""Time for which other nodes are tried for records that the store is known to have,
before they are read from the store."""

MAX_PEERS_PER_ROUND = 4
"""Maximum number of nodes queried in one round."""

COALESCE_S = 0.1
"""Pause after a change, so that the changes that follow shortly are read together."""

RETRY_DELAY_S = 0.2
"""Pause after a failed read, and while no queried node reads the store itself."""

CATCH_UP_CHECK_S = 0.02
"""Interval at which a caller checks whether the newest records have been read."""

CATCH_UP_S = 0.3
"""Time for which a caller waits for the very newest records. A manifest of hundreds of
kilobytes that changes all the time is never read to its end over a link of 5 Mbit/s."""

CURRENT_AGE_S = 2.0
"""Time since the last confirmation up to which records count as current for a claim. An
operator's request must be obeyed within 5 s; the rest is left for the next read."""

MAX_CONFIRMED_AGE_S = 2.5
"""Time since the last confirmation beyond which the records may be out of date. It is
below 2 s while the store, or another node that reads it, answers."""

NEWER_WAIT_S = 0.5
"""Maximum time for which a caller waits for records that are known to be newer."""

MAX_OUTDATED_S = 2.0
"""Time after which a node that can't read records known to be newer rejects callers."""


class OperatorRecordsFollower:
    """Follows the operators' records, and serves them to other nodes.

    ``confirmed_at`` is the latest boot-time clock at which the store is known to have
    contained no other record. Other nodes' records that were confirmed before this
    process started are not used: an earlier process of this node may have used newer
    ones.

    :param store: partition that operators write; it is never relayed
    :param relay: tracks whether the store serves this node
    :param link_bytes_per_s: bandwidth of this node's link
    :param on_change: called with the records that have changed
    """

    def __init__(
        self,
        store: LedgerStore,
        relay: StoreRelay,
        pool: PeerPool,
        link_bytes_per_s: float,
        on_change: Callable[[list[KeyedRecord]], None],
        metrics: Metrics,
    ) -> None:
        """Start without records; :meth:`run` reads them."""
        self._started_at = clock.monotonic()
        self.confirmed_at = self._started_at - MAX_CONFIRMED_AGE_S
        self._store = store
        self._relay = relay
        self._pool = pool
        self._link_bytes_per_s = link_bytes_per_s
        self._on_change = on_change
        self._metrics = metrics
        self._reader = CompactedReader(store)
        self._records: dict[str, bytes] = {}
        self._exchange = RecordsExchange(pool, self._local_records)
        self._source: PeerNode | None = None
        self._newer_since = 0.0
        self._monitor = DependencyMonitor("operators' records")
        metrics.add_gauge("primrose.operators.age", "s", self.confirmed_age_s)
        metrics.add_gauge("primrose.operators.size", "By", self._size)

    @property
    def reads_store(self) -> bool:
        """Return whether the store is reachable and the link fast enough to read it."""
        max_bytes = MAX_DIRECT_READ_S * self._link_bytes_per_s
        return self._relay.store_reachable and self._size() <= max_bytes

    @property
    def outdated(self) -> bool:
        """Return whether newer records have been known but unavailable for too long."""
        since = self._newer_since
        return bool(since) and clock.monotonic() - since > MAX_OUTDATED_S

    async def wait_until_current(self, deadline: float) -> bool:
        """Wait briefly for records that are known to be newer.

        :param deadline: boot-time clock by which the caller needs the answer
        :returns: whether the records in force are confirmed as recent
        """
        if self._newer_since:
            remaining_s = min(NEWER_WAIT_S, deadline - clock.monotonic())
            await self._exchange.wait_for_change(remaining_s)
        return not self._newer_since and self.confirmed_age_s() < MAX_CONFIRMED_AGE_S

    async def catch_up(self, deadline: float) -> bool:
        """Wait until the records that the store has now are applied.

        They are read by :meth:`run`, which must be running. After ``CATCH_UP_S``,
        records that were confirmed lately suffice.

        :param deadline: boot-time clock
        :returns: whether the records in force are current
        """
        suffices_at = clock.monotonic() + CATCH_UP_S
        end: float = inf
        with contextlib.suppress(StoreUnavailableError):
            end_deadline = min(deadline, clock.monotonic() + END_TIMEOUT_S)
            end = await self._store.read_end_offset(end_deadline)
        while self._offset < end:
            now = clock.monotonic()
            if now >= suffices_at and self.confirmed_age_s() <= CURRENT_AGE_S:
                return True
            if now >= deadline:
                return False
            await asyncio.sleep(CATCH_UP_CHECK_S)
        return True

    def confirmed_age_s(self) -> float:
        """Return the seconds since the records were last confirmed as the newest."""
        return round(clock.monotonic() - self.confirmed_at, 2)

    def _size(self) -> int:
        return sum(map(len, self._records.values()))

    def _local_records(self) -> LocalRecords:
        return LocalRecords(
            self.reads_store, self.confirmed_at, self._offset, self._records
        )

    @property
    def _offset(self) -> int:
        return -1 if self._reader.offset is None else self._reader.offset

    async def run(self) -> None:
        """Read the records until cancelled."""
        while True:
            try:
                if self.reads_store or not self._pool.ranked_peers():
                    await self._read_store()
                else:
                    await self._read_from_peers()
            except StoreUnavailableError as exc:
                self._monitor.record_failure(str(exc))
                await asyncio.sleep(RETRY_DELAY_S)
            else:
                self._monitor.record_success()

    # Reads from the store

    async def _read_store(self) -> None:
        started_at = clock.monotonic()
        try:
            records = await self._reader.read(LONG_POLL_S)
        except StoreUnavailableError as exc:
            self._relay.mark_unreachable("operators", self._store, str(exc))
            raise
        size = sum(len(record.value) for record in records)
        if self._reader.caught_up:
            # Records written during the transfer are unknown, so the read confirms only
            # its start.
            self._confirm(started_at if records else clock.monotonic())
        if records:
            await self._apply(records, started_at, size, "store")

    async def _check_end(self) -> None:
        """Compare with the store's end offset; the other nodes may be out of date."""
        started_at = clock.monotonic()
        try:
            end = await self._store.read_end_offset(started_at + END_TIMEOUT_S)
        except StoreUnavailableError as exc:
            self._relay.mark_unreachable("operators", self._store, str(exc))
            return
        if end <= self._offset:
            self._confirm(started_at)
            return
        self._newer_since = self._newer_since or started_at
        if started_at - self._newer_since > PEER_FETCH_S:
            records = await self._reader.read_newest()
            self._confirm(started_at)
            size = sum(len(record.value) for record in records)
            await self._apply(records, started_at, size, "store")

    # Reads from other nodes

    async def _read_from_peers(self) -> None:
        if self._relay.store_reachable and self._source is None:
            # No node reports changes, and those that are queried next may not answer.
            await self._check_end()
        changed = await self._query_peers()
        if self._relay.store_reachable:
            await self._check_end()
        elif self._source is None and not changed:
            raise StoreUnavailableError("none of the queried nodes reads the store")
        if self._source is None:
            await asyncio.sleep(RETRY_DELAY_S)

    async def _query_peers(self) -> bool:
        """Query nodes until one returns newer records or reads the store itself.

        :returns: whether newer records were applied
        """
        candidates = [n for n in self._pool.ranked_peers() if n != self._source][
            :MAX_PEERS_PER_ROUND
        ]
        if self._source is not None:
            candidates.insert(0, self._source)
        for node in candidates:
            # Only a node that is known to read the store may wait for a change.
            max_wait_s = PEER_FETCH_S if self._newer_since else PEER_WAIT_S
            wait_s = max_wait_s if node == self._source else 0.0
            started_at = clock.monotonic()
            answer = await self._exchange.fetch(node, self._offset, wait_s)
            self._source = node if answer is not None and answer.reads_store else None
            if answer is None and self._relay.store_reachable:
                # Other nodes may be out of reach, too, so the store is asked first.
                break
            if answer is None:
                continue
            if answer.offset < self._offset or answer.confirmed_at < self._started_at:
                continue
            self._confirm(answer.confirmed_at)
            if answer.records:
                batch = Batch(answer.records, answer.offset, answer.offset)
                records = self._reader.apply_newest(batch)
                await self._apply(records, started_at, answer.received_bytes, node.name)
                return True
            if answer.reads_store:
                break
        return False

    async def find_store_reader(self, names: set[str]) -> str:
        """Return the name of a node that answers and reads the store itself.

        :param names: nodes to choose from; two of them are asked
        :returns: an empty string if neither is one
        """
        nodes = [node for node in self._pool.ranked_peers() if node.name in names]
        for node in nodes[:2]:
            answer = await self._exchange.fetch(node, self._offset, 0.0)
            if answer is not None and answer.reads_store:
                return node.name
        return ""

    # Updates from either source

    def _confirm(self, at: float) -> None:
        self.confirmed_at = max(self.confirmed_at, at)
        if at >= self._newer_since:
            self._newer_since = 0.0

    async def _apply(
        self,
        records: list[KeyedRecord],
        started_at: float,
        received_bytes: int,
        source: str,
    ) -> None:
        """Apply records, then pause so that following changes are read together.

        :param received_bytes: size of the transfer over the link
        """
        current = self._records
        changed = [r for r in records if current.get(r.key, b"") != r.value]
        for key, value in changed:
            if value:
                current[key] = value
            else:
                current.pop(key, None)
        self._newer_since = 0.0
        self._exchange.notify_change()
        took_s = round(clock.monotonic() - started_at, 3)
        emit(
            OPERATORS_READ,
            records=len(records),
            changed=len(changed),
            received=received_bytes,
            offset=self._offset,
            took_s=took_s,
            source=source,
        )
        via = "store" if source == "store" else "node"
        self._metrics.record_duration(
            "primrose.operators.read.duration", took_s, source=via
        )
        self._metrics.count("primrose.operators.read.bytes", received_bytes, source=via)
        self._on_change(changed)
        await asyncio.sleep(COALESCE_S)
