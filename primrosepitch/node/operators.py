"""Follows what operators write, from the store or from another node.

The pattern it answers: a manifest of hundreds of kilobytes changes in quick
succession, while links carry a few Mbit/s and the store turns some nodes away. A node
whose link is too slow for that, or that has lost the store, gets the newest records
packed from another node, which has read them once for many.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

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
from primrosepitch.node.dependency import Dependency
from primrosepitch.node.peer_pool import PeerNode, PeerPool
from primrosepitch.node.records_exchange import RecordsExchange, View
from primrosepitch.node.relay import StoreRelay

__all__ = ["OperatorsFollower"]

WAIT_S = 0.8
"""Time for which a reading of the store waits for a change. A waiting read may miss a
change, or its connection may be silent; the next one finds it."""

NODE_WAIT_S = 0.8
"""Time for which another node waits for a change before it answers."""

END_S = 0.6
"""Time for asking the store for the end of the records."""

DIRECT_READ_S = 0.2
"""Time on this node's link up to which it reads the records from the store itself."""

FETCH_S = 0.3
"""Time for which other nodes are asked for records that the store is known to have."""

NODES_ASKED = 4
"""Nodes that are asked in one round."""

GAP_S = 0.1
"""Pause after a change, in which changes that follow it gather."""

RETRY_S = 0.2
"""Pause after a failed reading, and while no other node reads the store itself."""

UNCONFIRMED_S = 2.5
"""Age from which on the records may be out of date. It is below 2 s while the store or
another node that reads it answers."""

SETTLE_S = 0.5
"""Time for which a caller waits for records that are known to be newer."""

OUTDATED_S = 2.0
"""Time after which a node that can't get records known to be newer serves nobody."""


class OperatorsFollower:
    """Follows the operators' records, and gives them to other nodes.

    ``confirmed_at`` is the newest time (boot-time clock) of which it is known that no
    other record was in the store then.

    :param store: partition that operators write, reached directly only
    :param relay: tells whether the store serves this node
    :param link_bytes_per_s: rate of this node's link
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
        """Know nothing yet."""
        self.confirmed_at = clock.monotonic()
        self._store = store
        self._relay = relay
        self._pool = pool
        self._link_bytes_per_s = link_bytes_per_s
        self._on_change = on_change
        self._metrics = metrics
        self._reader = CompactedReader(store)
        self._records: dict[str, bytes] = {}
        self._exchange = RecordsExchange(pool, self._view)
        self._source: PeerNode | None = None
        self._newer_since = 0.0
        self._dependency = Dependency("operators' records")
        metrics.observe("primrose.operators.age", "s", self.age_s)
        metrics.observe("primrose.operators.size", "By", self._size)

    @property
    def reads_store(self) -> bool:
        """Whether this node reads the store itself: it may, and its link is fit."""
        most = DIRECT_READ_S * self._link_bytes_per_s
        return self._relay.store_reachable and self._size() <= most

    @property
    def outdated(self) -> bool:
        """Whether newer records have been known, and out of reach, for too long."""
        since = self._newer_since
        return bool(since) and clock.monotonic() - since > OUTDATED_S

    async def wait_until_current(self, deadline: float) -> bool:
        """Wait a moment for records that are known to be newer.

        :param deadline: boot-time clock at which the caller leaves
        :returns: whether the records in force are surely recent
        """
        if self._newer_since:
            left = min(SETTLE_S, deadline - clock.monotonic())
            await self._exchange.wait_for_change(left)
        return not self._newer_since and self.age_s() < UNCONFIRMED_S

    def age_s(self) -> float:
        """Return the seconds since these were surely the newest records."""
        return round(clock.monotonic() - self.confirmed_at, 2)

    def _size(self) -> int:
        return sum(map(len, self._records.values()))

    def _view(self) -> View:
        return View(self.reads_store, self.confirmed_at, self._offset, self._records)

    @property
    def _offset(self) -> int:
        return -1 if self._reader.offset is None else self._reader.offset

    async def run(self) -> None:
        """Follow for good."""
        while True:
            try:
                if self.reads_store or not self._pool.ranked_peers():
                    await self._read_store()
                else:
                    await self._ask_nodes()
            except StoreUnavailableError as exc:
                self._dependency.lost(str(exc))
                await asyncio.sleep(RETRY_S)
            else:
                self._dependency.back()

    # From the store

    async def _read_store(self) -> None:
        began = clock.monotonic()
        try:
            records = await self._reader.read(WAIT_S)
        except StoreUnavailableError as exc:
            self._relay.mark_unreachable("operators", self._store, str(exc))
            raise
        size = sum(len(record.value) for record in records)
        if self._reader.caught_up:
            # What was written while the records were on their way is not known.
            self._confirm(began if records else clock.monotonic())
        if records:
            await self._take(records, began, size, "store")

    async def _check_end(self) -> None:
        """Compare with the store itself, in case the other nodes are out of date."""
        began = clock.monotonic()
        try:
            end = await self._store.end(began + END_S)
        except StoreUnavailableError as exc:
            self._relay.mark_unreachable("operators", self._store, str(exc))
            return
        if end <= self._offset:
            self._confirm(began)
            return
        self._newer_since = self._newer_since or began
        if began - self._newer_since > FETCH_S:
            records = await self._reader.read_newest()
            self._confirm(began)
            size = sum(len(record.value) for record in records)
            await self._take(records, began, size, "store")

    # From other nodes

    async def _ask_nodes(self) -> None:
        changed = await self._ask_round()
        if self._relay.store_reachable:
            await self._check_end()
        elif self._source is None and not changed:
            raise StoreUnavailableError("no node that was asked reads the store")
        if self._source is None:
            await asyncio.sleep(RETRY_S)

    async def _ask_round(self) -> bool:
        """Ask until a node has something newer, or reads the store itself.

        :returns: whether something has changed
        """
        asked = [n for n in self._pool.ranked_peers() if n != self._source][
            :NODES_ASKED
        ]
        if self._source is not None:
            asked.insert(0, self._source)
        for node in asked:
            # One that is not known to read the store is not waited for.
            longest = FETCH_S if self._newer_since else NODE_WAIT_S
            wait_s = longest if node == self._source else 0.0
            began = clock.monotonic()
            given = await self._exchange.ask(node, self._offset, wait_s)
            self._source = node if given is not None and given.direct else None
            if given is None or given.offset < self._offset:
                continue
            self._confirm(given.confirmed_at)
            if given.records:
                batch = Batch(given.records, given.offset, given.offset)
                records = self._reader.take_all(batch)
                await self._take(records, began, given.received, node.name)
                return True
            if given.direct:
                break
        return False

    # From either

    def _confirm(self, at: float) -> None:
        self.confirmed_at = max(self.confirmed_at, at)
        if at >= self._newer_since:
            self._newer_since = 0.0

    async def _take(
        self,
        records: list[KeyedRecord],
        began: float,
        received: int,
        source: str,
    ) -> None:
        """Put records in force, and let changes that follow gather for a while.

        :param received: bytes that came over the link
        """
        known = self._records
        changed = [r for r in records if known.get(r.key, b"") != r.value]
        for key, value in changed:
            if value:
                known[key] = value
            else:
                known.pop(key, None)
        self._newer_since = 0.0
        self._exchange.note_change()
        took_s = round(clock.monotonic() - began, 3)
        emit(
            OPERATORS_READ,
            records=len(records),
            changed=len(changed),
            received=received,
            offset=self._offset,
            took_s=took_s,
            source=source,
        )
        via = "store" if source == "store" else "node"
        self._metrics.time("primrose.operators.read.duration", took_s, source=via)
        self._metrics.count("primrose.operators.read.bytes", received, source=via)
        self._on_change(changed)
        await asyncio.sleep(GAP_S)
