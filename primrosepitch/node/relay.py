"""Relays store calls through other nodes while the store does not serve this one.

The store may reject some nodes, or a network partition may separate them from it, while
it serves the others. A scheduler that can still commit through another node keeps its
term, and such a node need not send its callers away.
"""

from __future__ import annotations

import asyncio
from typing import Any

from primrosepitch import clock
from primrosepitch.errors import PeerUnavailableError
from primrosepitch.events import (
    RELAY_CALL_CUT,
    RELAY_CALL_FAILED,
    RELAY_OFF,
    RELAY_ON,
    RELAY_PROBE_FAILED,
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
    StoreRejectedError,
    StoreTruncatedError,
    StoreUnavailableError,
    StoreUnknownError,
)
from primrosepitch.metrics import Metrics
from primrosepitch.net.peers import PeerRequest
from primrosepitch.node.peer_pool import PeerPool

__all__ = ["RelayedStore", "StoreRelay"]

DIRECT_TIMEOUT_S = 0.6
"""Timeout of a direct call, in addition to its wait; a slow store answers in 0.3 s."""

PEER_TIMEOUT_S = 0.8
"""Timeout of a call through another node, in addition to its wait: that node's own call
and the transfer in both directions. It applies to each part of a long answer."""

PEER_NEWEST_TIMEOUT_S = 1.5
"""Additional time for another node to read all newest records before it answers."""

MAX_RELAYED_WAIT_S = 0.3
"""Maximum time for which another node waits for a record; it is short because the store
may serve this node again meanwhile."""

PROBE_INTERVAL_S = 0.5
"""Interval between probes of a store that does not serve this node."""

MAX_PEERS_TRIED = 2
"""Maximum number of nodes to which one call is sent; each attempt takes up to
``PEER_TIMEOUT_S``."""

MAX_BATCH_BYTES = 512 * 1024
"""Maximum size of an answer of several records; one record is always included."""

PART_BYTES = 32 * 1024
"""Maximum size of one part of an answer; 0.05 s on a link of 5 Mbit/s."""


class StoreRelay:
    """Tracks whether the store serves this node, and relays calls in both directions.

    :param pool: connections to the other nodes
    """

    def __init__(self, pool: PeerPool, metrics: Metrics) -> None:
        """Start with the store assumed to be reachable."""
        self.store_reachable = True
        self._pool = pool
        self._metrics = metrics
        self._stores: dict[str, LedgerStore] = {}
        self._probing: asyncio.Task[None] | None = None
        self._unreachable_since = 0.0
        self._serving: dict[asyncio.Task[None], tuple[str, str]] = {}
        self._stopping = False
        for kind in (StoreAppend, StoreRead, StoreNewest):
            pool.register_handler(kind, self.handle)

    def wrap(
        self, partition: str, store: LedgerStore, peer_store: LedgerStore
    ) -> RelayedStore:
        """Return a store that falls back to calls through other nodes.

        :param partition: name that identifies the partition between nodes
        :param peer_store: the same partition for calls of other nodes, with smaller
            pages: they cross two more links, and the first part of an answer is sent
            only when the whole page has been read
        """
        self._stores[partition] = peer_store
        return RelayedStore(self, partition, store)

    @property
    def serving(self) -> bool:
        """Return whether a call is being made for another node."""
        return bool(self._serving)

    def stop_serving(self) -> None:
        """Refuse further calls of other nodes, as not made; those under way go on."""
        self._stopping = True

    def close(self) -> None:
        """Cancel all tasks, and log the calls of other nodes that this ends."""
        for call, partition in self._serving.values():
            emit(RELAY_CALL_CUT, call=call, partition=partition)
        for task in (self._probing, *self._serving):
            if task is not None:
                task.cancel()

    # Calls of this node through other nodes

    def mark_unreachable(self, partition: str, store: LedgerStore, reason: str) -> None:
        """Record a failed direct call; later calls go through other nodes.

        :param store: partition that is probed directly until it answers
        """
        if not self.store_reachable:
            return
        self.store_reachable = False
        self._unreachable_since = clock.monotonic()
        nodes = len(self._pool.ranked_peers())
        emit(RELAY_ON, partition=partition, reason=reason, nodes=nodes)
        self._probing = asyncio.ensure_future(self._probe(store))

    async def _probe(self, store: LedgerStore) -> None:
        while not self.store_reachable:
            await asyncio.sleep(PROBE_INTERVAL_S)
            started_at = clock.monotonic()
            try:
                # Only the end offset is read: after a long outage, records would take
                # seconds on a slow link.
                await store.read_end_offset(started_at + DIRECT_TIMEOUT_S)
            except StoreUnavailableError as exc:
                took_s = round(clock.monotonic() - started_at, 2)
                emit(RELAY_PROBE_FAILED, reason=str(exc), took_s=took_s)
                continue
            self.mark_reachable()

    def mark_reachable(self) -> None:
        """Record a successful direct call; later calls go directly to the store."""
        if not self.store_reachable:
            self.store_reachable = True
            outage_s = round(clock.monotonic() - self._unreachable_since, 2)
            emit(RELAY_OFF, after_s=outage_s)

    async def call_peers(self, request: Any, wait_s: float) -> list[Any] | None:
        """Send a call to other nodes until one of them answers it.

        :param wait_s: time that the call may take in addition to ``PEER_TIMEOUT_S``
        :returns: the parts of the answer, or ``None`` if no node made the call
        :raises StoreUnknownError: if a node may have made the call
        """
        unknown = False
        for number, node in enumerate(self._pool.ranked_peers()[:MAX_PEERS_TRIED]):
            if number and self.store_reachable:
                # The store serves this node again; the caller retries directly.
                break
            peer = self._pool.client(node)
            connections_before, was_connected = peer.connections_opened, peer.ready()
            started_at = clock.monotonic()
            reason = "the store does not serve that node either"
            parts: list[Any] = []
            try:
                parts = await peer.request_parts(
                    request, wait_s + PEER_TIMEOUT_S, _is_part
                )
            except PeerUnavailableError as exc:
                reason = str(exc)
                # Without a connection the request was not sent.
                unknown = (
                    unknown
                    or was_connected
                    or peer.connections_opened > connections_before
                )
            outcome = parts[-1].outcome if parts else StoreOutcome.UNAVAILABLE
            took_s = clock.monotonic() - started_at
            helped = outcome not in _FAILED_OUTCOMES
            kind = type(request).__name__
            self._metrics.record_duration(
                "primrose.relay.call.duration", took_s, call=kind, helped=str(helped)
            )
            if helped:
                return parts
            emit(
                RELAY_CALL_FAILED,
                node=node.name,
                call=kind,
                partition=request.partition,
                reason=reason,
                took_s=round(took_s, 2),
            )
            unknown = unknown or outcome == StoreOutcome.UNKNOWN
            self._pool.deprioritize(node)
        if unknown:
            raise StoreUnknownError("no definite answer through another node")
        return None

    # Calls of other nodes

    def handle(self, request: PeerRequest) -> None:
        """Make a call for another node; it is never relayed further."""
        body = request.body
        task = asyncio.ensure_future(self._serve(request))
        self._serving[task] = (type(body).__name__, body.partition)
        task.add_done_callback(self._serving.pop)

    async def _serve(self, request: PeerRequest) -> None:
        body = request.body
        if isinstance(body, StoreAppend):
            request.reply(await self._append(body))
        elif isinstance(body, StoreRead | StoreNewest):
            for part in await self._read(body):
                request.reply(part)

    def _store_for_peer(self, partition: str) -> LedgerStore | None:
        """Return a partition for another node's call; ``None`` if it can't be made."""
        if self._stopping or not self.store_reachable:
            return None
        return self._stores.get(partition)

    async def _append(self, body: StoreAppend) -> StoreAppended:
        store = self._store_for_peer(body.partition)
        if store is None:
            return _append_answer(
                StoreOutcome.UNAVAILABLE, reason="not served here either"
            )
        fence = Fence(body.epoch, body.sequence) if body.epoch else None
        records = [KeyedRecord(row.key, row.value) for row in body.records]
        deadline = clock.monotonic() + min(DIRECT_TIMEOUT_S, body.time_ms / 1000)
        try:
            done = await store.append(records, deadline, fence)
        except StoreRejectedError as exc:
            return _append_answer(StoreOutcome.REJECTED, reason=str(exc))
        except StoreUnavailableError as exc:
            return _append_answer(StoreOutcome.UNAVAILABLE, reason=str(exc))
        except StoreUnknownError as exc:
            return _append_answer(StoreOutcome.UNKNOWN, reason=str(exc))
        except StoreFencedError as exc:
            return _append_answer(StoreOutcome.FENCED, reason=str(exc))
        return _append_answer(StoreOutcome.DONE, done)

    async def _read(self, body: StoreRead | StoreNewest) -> list[Any]:
        """Return the parts of the answer to a read; the last part has the outcome."""
        store = self._store_for_peer(body.partition)
        if store is None:
            return [StoreBatch(StoreOutcome.UNAVAILABLE, [], 0, 0)]
        now = clock.monotonic()
        try:
            if isinstance(body, StoreNewest):
                batch = await store.read_newest(now + DIRECT_TIMEOUT_S)
                return _split_answer(batch.records, batch)
            wait_s = body.wait_ms / 1000
            batch = await store.read(
                body.offset, wait_s, now + wait_s + DIRECT_TIMEOUT_S
            )
        except StoreUnavailableError:
            return [StoreBatch(StoreOutcome.UNAVAILABLE, [], 0, 0)]
        except StoreTruncatedError as exc:
            return [StoreBatch(StoreOutcome.TRUNCATED, [], exc.first_offset, 0)]
        return _split_answer(_truncate(batch.records), batch)


_FAILED_OUTCOMES = (StoreOutcome.UNAVAILABLE, StoreOutcome.UNKNOWN)


def _append_answer(
    outcome: int, done: AppendOutcome | None = None, reason: str = ""
) -> StoreAppended:
    offsets = done or AppendOutcome(0, 0)
    return StoreAppended(outcome, offsets.offset, offsets.end_offset, reason)


def _truncate(records: list[KeyedRecord]) -> list[KeyedRecord]:
    """Return the leading records that fit into ``MAX_BATCH_BYTES``, at least one."""
    total = 0
    for number, record in enumerate(records):
        total += len(record.key) + len(record.value)
        if number and total > MAX_BATCH_BYTES:
            return records[:number]
    return records


def _split_answer(records: list[KeyedRecord], batch: Batch) -> list[Any]:
    """Split a batch into messages; the last one is a ``StoreBatch``."""
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


def _join_answer(messages: list[Any]) -> Batch:
    """Combine the messages of an answer into a batch."""
    last = messages[-1]
    rows = [KeyedRecord(row.key, row.value) for m in messages for row in m.records]
    return Batch(rows, last.next_offset, last.end_offset)


class RelayedStore:
    """Partition of the store, accessed directly or through other nodes."""

    def __init__(self, relay: StoreRelay, partition: str, direct: LedgerStore) -> None:
        """Call the store directly while the relay considers it reachable."""
        self._relay = relay
        self._partition = partition
        self._direct = direct

    async def append(
        self, records: list[KeyedRecord], deadline: float, fence: Fence | None = None
    ) -> AppendOutcome:
        """Append records, all or none.

        Retries through another node are idempotent: the store applies an append with
        the same fence once, and a key always has the same value. An append with an
        unknown outcome does not mark the store as unreachable; a failed read does.
        """
        failure: StoreUnavailableError | None = None
        if self._relay.store_reachable:
            try:
                return await self._direct.append(records, deadline, fence)
            except StoreRejectedError:
                raise
            except StoreUnavailableError as exc:
                failure = exc
                self._relay.mark_unreachable(self._partition, self._direct, str(exc))
        done = await self._append_via_peer(records, fence)
        if done is not None:
            return done
        if failure is not None:
            raise failure
        if fence is None:
            # Reads find out when the store serves this node again. An append without an
            # answer would leave the caller in doubt whether the job runs.
            raise StoreUnavailableError("the store answers no node, as far as is known")
        limit = max(deadline, clock.monotonic() + DIRECT_TIMEOUT_S)
        done = await self._direct.append(records, limit, fence)
        self._relay.mark_reachable()
        return done

    async def _append_via_peer(
        self, records: list[KeyedRecord], fence: Fence | None
    ) -> AppendOutcome | None:
        rows = [StoreRecord(key, value) for key, value in records]
        epoch, sequence = fence or (0, 0)
        time_ms = round(DIRECT_TIMEOUT_S * 1000)
        request = StoreAppend(self._partition, rows, epoch, sequence, time_ms)
        messages = await self._relay.call_peers(request, 0.0)
        if messages is None:
            return None
        answer = messages[-1]
        if answer.outcome == StoreOutcome.FENCED:
            raise StoreFencedError(answer.reason)
        if answer.outcome == StoreOutcome.REJECTED:
            raise StoreRejectedError(answer.reason)
        return AppendOutcome(answer.offset, answer.end_offset)

    async def read(self, offset: int, wait_s: float, deadline: float) -> Batch:
        """Read records from an offset, waiting for one up to ``wait_s``."""
        failure: StoreUnavailableError | None = None
        if self._relay.store_reachable:
            limit = min(deadline, clock.monotonic() + wait_s + DIRECT_TIMEOUT_S)
            try:
                return await self._direct.read(offset, wait_s, limit)
            except StoreUnavailableError as exc:
                failure = exc
                self._relay.mark_unreachable(self._partition, self._direct, str(exc))
        batch = await self._read_via_peer(offset, wait_s)
        if batch is not None:
            return batch
        if failure is not None:
            raise failure
        batch = await self._direct.read(
            offset, 0.0, clock.monotonic() + DIRECT_TIMEOUT_S
        )
        self._relay.mark_reachable()
        return batch

    async def _read_via_peer(self, offset: int, wait_s: float) -> Batch | None:
        wait_s = min(wait_s, MAX_RELAYED_WAIT_S)
        request = StoreRead(self._partition, offset, round(wait_s * 1000))
        return await self._request_records(request, wait_s)

    async def _request_records(self, request: Any, wait_s: float) -> Batch | None:
        try:
            messages = await self._relay.call_peers(request, wait_s)
        except StoreUnknownError:
            return None
        if messages is None:
            return None
        if messages[-1].outcome == StoreOutcome.TRUNCATED:
            raise StoreTruncatedError(messages[-1].next_offset)
        return _join_answer(messages)

    async def read_end_offset(self, deadline: float) -> int:
        """Return the offset after the newest record; it is never relayed."""
        return await self._direct.read_end_offset(deadline)

    async def read_newest(self, deadline: float) -> Batch:
        """Read the newest record of each key.

        A node that has not read the ledger yet has no addresses of other nodes, and
        can read only directly.
        """
        failure: StoreUnavailableError | None = None
        if self._relay.store_reachable:
            try:
                return await self._direct.read_newest(deadline)
            except StoreUnavailableError as exc:
                failure = exc
                self._relay.mark_unreachable(self._partition, self._direct, str(exc))
        request = StoreNewest(self._partition)
        batch = await self._request_records(request, PEER_NEWEST_TIMEOUT_S)
        if batch is not None:
            return batch
        if failure is not None:
            raise failure
        return await self._direct.read_newest(deadline)
