"""Reaches the store through other nodes while it turns this one away.

The pattern it answers: the store refuses some nodes, or a cut separates them from it,
while it serves the others. A scheduler that can still commit through another node keeps
its term, and callers of such a node are not sent away.
"""

from __future__ import annotations

import asyncio
from typing import Any

from primrosepitch import clock
from primrosepitch.errors import PeerUnavailableError
from primrosepitch.events import (
    PROBE_FAILED,
    RELAY_FAILED,
    RELAY_OFF,
    RELAY_ON,
    emit,
)
from primrosepitch.gen.primrose.ttypes import (
    StoreAppend,
    StoreAppended,
    StoreBatch,
    StoreNewest,
    StoreOutcome,
    StorePart,
    StoreRead,
    StoreRecord,
)
from primrosepitch.jobs.store import (
    AppendOutcome,
    Batch,
    Fence,
    KeyedRecord,
    LedgerStore,
    StoreFencedError,
    StoreTruncatedError,
    StoreUnavailableError,
    StoreUnknownError,
)
from primrosepitch.metrics import Metrics
from primrosepitch.net.peers import Question
from primrosepitch.node.peer_pool import PeerPool

__all__ = ["RelayedStore", "StoreRelay"]

DIRECT_S = 0.6
"""Time for a direct call besides its wait; a slow store answers in 0.3 s."""

PEER_S = 0.8
"""Time for a call through another node besides its wait: its own call and two ways.
Each part of a long answer may take as much."""

NEWEST_S = 1.5
"""Time for which another node reads all newest records before it can answer."""

RELAY_WAIT_S = 0.3
"""Longest time for which another node waits for a record: meanwhile the store may
serve this node again."""

PROBE_S = 0.5
"""Interval at which a node that is turned away tries the store itself."""

PEERS_TRIED = 2
"""Nodes that one call is tried through; each takes up to ``PEER_S``."""

MAX_BATCH_BYTES = 512 * 1024
"""Bytes of records after which an answer ends; it has one record at least."""

PART_BYTES = 32 * 1024
"""Bytes of records in one part of an answer; 0.05 s on a link of 5 Mbit/s."""


class StoreRelay:
    """Knows whether the store serves this node, and which nodes may help.

    :param pool: the other nodes
    """

    def __init__(self, pool: PeerPool, metrics: Metrics) -> None:
        """Believe at first that the store serves this node."""
        self.store_reachable = True
        self._pool = pool
        self._metrics = metrics
        self._stores: dict[str, LedgerStore] = {}
        self._probing: asyncio.Task[None] | None = None
        self._away_at = 0.0
        self._tasks: set[asyncio.Task[None]] = set()
        for kind in (StoreAppend, StoreRead, StoreNewest):
            pool.register_handler(kind, self.handle)

    def wrap(
        self, partition: str, store: LedgerStore, for_others: LedgerStore
    ) -> RelayedStore:
        """Return a store that is reached through other nodes when necessary.

        :param partition: name under which the nodes know it
        :param for_others: the same for calls of other nodes, with smaller pages: they
            cross two links more, and the first part of an answer waits for all of it
        """
        self._stores[partition] = for_others
        return RelayedStore(self, partition, store)

    def close(self) -> None:
        """End all tasks."""
        for task in (self._probing, *self._tasks):
            if task is not None:
                task.cancel()

    # This node is turned away

    def mark_unreachable(self, partition: str, store: LedgerStore, reason: str) -> None:
        """Note that a direct call failed; calls go through other nodes from now on.

        :param store: the partition, to be tried directly now and then
        """
        if not self.store_reachable:
            return
        self.store_reachable = False
        self._away_at = clock.monotonic()
        nodes = len(self._pool.ranked_peers())
        emit(RELAY_ON, partition=partition, reason=reason, nodes=nodes)
        self._probing = asyncio.ensure_future(self._probe(store))

    async def _probe(self, store: LedgerStore) -> None:
        while not self.store_reachable:
            await asyncio.sleep(PROBE_S)
            began = clock.monotonic()
            try:
                # Records would take seconds on a slow link after a long absence.
                await store.end(began + DIRECT_S)
            except StoreUnavailableError as exc:
                took_s = round(clock.monotonic() - began, 2)
                emit(PROBE_FAILED, reason=str(exc), took_s=took_s)
                continue
            self.mark_reachable()

    def mark_reachable(self) -> None:
        """Note that a direct call succeeded."""
        if not self.store_reachable:
            self.store_reachable = True
            away_s = round(clock.monotonic() - self._away_at, 2)
            emit(RELAY_OFF, after_s=away_s)

    async def ask(self, question: Any, wait_s: float) -> list[Any] | None:
        """Ask other nodes to make a call.

        :param wait_s: time that the call may take besides
        :returns: the parts of the answer, or ``None`` if no node could help
        :raises StoreUnknownError: if one may have made it
        """
        unknown = False
        for number, node in enumerate(self._pool.ranked_peers()[:PEERS_TRIED]):
            if number and self.store_reachable:
                # The store serves this node again; the caller tries it.
                break
            peer = self._pool.client(node)
            opened, connected = peer.connections, peer.ready()
            began = clock.monotonic()
            reason = "turned away too"
            parts: list[Any] = []
            try:
                parts = await peer.ask_parts(question, wait_s + PEER_S, _is_part)
            except PeerUnavailableError as exc:
                reason = str(exc)
                # Without a connection nothing was sent.
                unknown = unknown or connected or peer.connections > opened
            outcome = parts[-1].outcome if parts else StoreOutcome.UNAVAILABLE
            took_s = clock.monotonic() - began
            helped = outcome not in _NOT_HELPED
            kind = type(question).__name__
            self._metrics.time(
                "primrose.relay.call.duration", took_s, call=kind, helped=str(helped)
            )
            if helped:
                return parts
            emit(
                RELAY_FAILED,
                node=node.name,
                call=kind,
                partition=question.partition,
                reason=reason,
                took_s=round(took_s, 2),
            )
            unknown = unknown or outcome == StoreOutcome.UNKNOWN
            self._pool.deprioritize(node)
        if unknown:
            raise StoreUnknownError("no answer through another node")
        return None

    # Another node is turned away

    def handle(self, question: Question) -> None:
        """Make a call for another node, directly or not at all."""
        task = asyncio.ensure_future(self._serve(question))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, question: Question) -> None:
        body = question.body
        if isinstance(body, StoreAppend):
            question.answer(await self._append(body))
        elif isinstance(body, StoreRead | StoreNewest):
            for part in await self._read(body):
                question.answer(part)

    async def _append(self, body: StoreAppend) -> StoreAppended:
        store = self._stores.get(body.partition)
        if store is None or not self.store_reachable:
            return _appended(StoreOutcome.UNAVAILABLE, reason="not served here either")
        fence = Fence(body.epoch, body.sequence) if body.epoch else None
        records = [KeyedRecord(row.key, row.value) for row in body.records]
        deadline = clock.monotonic() + min(DIRECT_S, body.time_ms / 1000)
        try:
            done = await store.append(records, deadline, fence)
        except StoreUnavailableError as exc:
            return _appended(StoreOutcome.UNAVAILABLE, reason=str(exc))
        except StoreUnknownError as exc:
            return _appended(StoreOutcome.UNKNOWN, reason=str(exc))
        except StoreFencedError as exc:
            return _appended(StoreOutcome.FENCED, reason=str(exc))
        return _appended(StoreOutcome.DONE, done)

    async def _read(self, body: StoreRead | StoreNewest) -> list[Any]:
        """Return the parts of an answer; the last one has the outcome."""
        store = self._stores.get(body.partition)
        if store is None or not self.store_reachable:
            return [StoreBatch(StoreOutcome.UNAVAILABLE, [], 0, 0)]
        now = clock.monotonic()
        try:
            if isinstance(body, StoreNewest):
                batch = await store.newest(now + DIRECT_S)
                return _parts(batch.records, batch)
            wait_s = body.wait_ms / 1000
            batch = await store.read(body.offset, wait_s, now + wait_s + DIRECT_S)
        except StoreUnavailableError:
            return [StoreBatch(StoreOutcome.UNAVAILABLE, [], 0, 0)]
        except StoreTruncatedError as exc:
            return [StoreBatch(StoreOutcome.TRUNCATED, [], exc.first_offset, 0)]
        return _parts(_first_records(batch.records), batch)


_NOT_HELPED = (StoreOutcome.UNAVAILABLE, StoreOutcome.UNKNOWN)


def _appended(
    outcome: int, done: AppendOutcome | None = None, reason: str = ""
) -> StoreAppended:
    offsets = done or AppendOutcome(0, 0)
    return StoreAppended(outcome, offsets.offset, offsets.end_offset, reason)


def _first_records(records: list[KeyedRecord]) -> list[KeyedRecord]:
    """Return as many records as an answer may have."""
    total = 0
    for number, record in enumerate(records):
        total += len(record.key) + len(record.value)
        if number and total > MAX_BATCH_BYTES:
            return records[:number]
    return records


def _parts(records: list[KeyedRecord], batch: Batch) -> list[Any]:
    """Return the messages that carry records of a batch; the last one is it."""
    messages: list[Any] = []
    rows: list[StoreRecord] = []
    size = 0
    for key, value in records:
        if rows and size + len(value) > PART_BYTES:
            messages.append(StorePart(rows))
            rows, size = [], 0
        rows.append(StoreRecord(key, value))
        size += len(key) + len(value)
    left_out = len(batch.records) - len(records)
    end = batch.end_offset
    last = StoreBatch(StoreOutcome.DONE, rows, batch.next_offset - left_out, end)
    return [*messages, last]


def _is_part(message: Any) -> bool:
    return isinstance(message, StorePart)


def _batch(messages: list[Any]) -> Batch:
    """Return the records that several messages carry."""
    last = messages[-1]
    rows = [KeyedRecord(row.key, row.value) for m in messages for row in m.records]
    return Batch(rows, last.next_offset, last.end_offset)


class RelayedStore:
    """One partition, read and appended to directly or through other nodes."""

    def __init__(self, relay: StoreRelay, partition: str, direct: LedgerStore) -> None:
        """Use the store directly at first."""
        self._relay = relay
        self._partition = partition
        self._direct = direct

    async def append(
        self, records: list[KeyedRecord], deadline: float, fence: Fence | None = None
    ) -> AppendOutcome:
        """Append records, all or none.

        The store takes a repeat under one fence once, and one key has one value, so
        trying again through another node does no harm. An unknown outcome tells
        nothing about the path: a reading that fails does.
        """
        refused: StoreUnavailableError | None = None
        if self._relay.store_reachable:
            try:
                return await self._direct.append(records, deadline, fence)
            except StoreUnavailableError as exc:
                refused = exc
                self._relay.mark_unreachable(self._partition, self._direct, str(exc))
        done = await self._append_elsewhere(records, fence)
        if done is not None:
            return done
        if refused is not None:
            raise refused
        limit = max(deadline, clock.monotonic() + DIRECT_S)
        done = await self._direct.append(records, limit, fence)
        self._relay.mark_reachable()
        return done

    async def _append_elsewhere(
        self, records: list[KeyedRecord], fence: Fence | None
    ) -> AppendOutcome | None:
        rows = [StoreRecord(key, value) for key, value in records]
        epoch, sequence = fence or (0, 0)
        time_ms = round(DIRECT_S * 1000)
        question = StoreAppend(self._partition, rows, epoch, sequence, time_ms)
        messages = await self._relay.ask(question, 0.0)
        if messages is None:
            return None
        answer = messages[-1]
        if answer.outcome == StoreOutcome.FENCED:
            raise StoreFencedError(answer.reason)
        return AppendOutcome(answer.offset, answer.end_offset)

    async def read(self, offset: int, wait_s: float, deadline: float) -> Batch:
        """Read records from an offset, waiting for one up to ``wait_s``."""
        refused: StoreUnavailableError | None = None
        if self._relay.store_reachable:
            limit = min(deadline, clock.monotonic() + wait_s + DIRECT_S)
            try:
                return await self._direct.read(offset, wait_s, limit)
            except StoreUnavailableError as exc:
                refused = exc
                self._relay.mark_unreachable(self._partition, self._direct, str(exc))
        batch = await self._read_elsewhere(offset, wait_s)
        if batch is not None:
            return batch
        if refused is not None:
            raise refused
        batch = await self._direct.read(offset, 0.0, clock.monotonic() + DIRECT_S)
        self._relay.mark_reachable()
        return batch

    async def _read_elsewhere(self, offset: int, wait_s: float) -> Batch | None:
        wait_s = min(wait_s, RELAY_WAIT_S)
        question = StoreRead(self._partition, offset, round(wait_s * 1000))
        return await self._ask_for_records(question, wait_s)

    async def _ask_for_records(self, question: Any, wait_s: float) -> Batch | None:
        try:
            messages = await self._relay.ask(question, wait_s)
        except StoreUnknownError:
            return None
        if messages is None:
            return None
        if messages[-1].outcome == StoreOutcome.TRUNCATED:
            raise StoreTruncatedError(messages[-1].next_offset)
        return _batch(messages)

    async def end(self, deadline: float) -> int:
        """Return the offset behind the newest record, directly only."""
        return await self._direct.end(deadline)

    async def newest(self, deadline: float) -> Batch:
        """Read the newest record of each key.

        A node that has read nothing yet does not know the others, and can read
        directly only.
        """
        refused: StoreUnavailableError | None = None
        if self._relay.store_reachable:
            try:
                return await self._direct.newest(deadline)
            except StoreUnavailableError as exc:
                refused = exc
                self._relay.mark_unreachable(self._partition, self._direct, str(exc))
        question = StoreNewest(self._partition)
        batch = await self._ask_for_records(question, NEWEST_S)
        if batch is not None:
            return batch
        if refused is not None:
            raise refused
        return await self._direct.newest(deadline)
