"""Exchanges the operators' records, compressed, with other nodes."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from typing import NamedTuple

from primrosepitch import clock
from primrosepitch.errors import PeerUnavailableError
from primrosepitch.events import PACKED_RECORDS_UNREADABLE, RELAY_CALL_FAILED, emit
from primrosepitch.gen.primrose.ttypes import (
    OperatorsAnswer,
    OperatorsAsk,
    OperatorsPart,
)
from primrosepitch.jobs.store import KeyedRecord
from primrosepitch.net.peers import PeerRequest
from primrosepitch.node.packing import PackedRecordsError, pack, unpack
from primrosepitch.node.peer_pool import PeerNode, PeerPool

__all__ = ["LocalRecords", "PeerRecords", "RecordsExchange"]

ANSWER_TIMEOUT_S = 0.6
"""Timeout of another node's answer, in addition to its wait, and of each part of it."""

MAX_WAIT_S = 1.0
"""Maximum time for which another node's request may wait for a change."""

PART_BYTES = 32 * 1024
"""Maximum size of one part of an answer; 0.05 s on a link of 5 Mbit/s."""


class LocalRecords(NamedTuple):
    """The operators' records as stored by this node.

    :param reads_store: whether this node reads the store itself
    :param confirmed_at: boot-time clock at which the store contained no other record
    :param offset: offset after the newest record
    :param records: newest value of each key
    """

    reads_store: bool
    confirmed_at: float
    offset: int
    records: dict[str, bytes]


class PeerRecords(NamedTuple):
    """The operators' records as returned by another node.

    :param reads_store: whether the other node reads the store itself
    :param confirmed_at: boot-time clock of this node at which the store contained no
        other record
    :param offset: offset after the newest record
    :param records: newest record of each key; empty if there is nothing newer
    :param received_bytes: size of the packed records
    """

    reads_store: bool
    confirmed_at: float
    offset: int
    records: list[KeyedRecord]
    received_bytes: int


class RecordsExchange:
    """Fetches records from other nodes, and answers their requests.

    :param get_local: returns the records of this node
    """

    def __init__(self, pool: PeerPool, get_local: Callable[[], LocalRecords]) -> None:
        """Register the handler of other nodes' requests."""
        self._pool = pool
        self._get_local = get_local
        self._packed: bytes | None = None
        self._changed = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        pool.register_handler(OperatorsAsk, self._handle)

    def notify_change(self) -> None:
        """Wake all waiters of :meth:`wait_for_change`."""
        self._packed = None
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_change(self, timeout_s: float) -> None:
        """Wait until the records change, at most for the timeout."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, timeout_s)):
                await self._changed.wait()

    async def fetch(
        self, node: PeerNode, offset: int, wait_s: float
    ) -> PeerRecords | None:
        """Fetch the records of a node that are newer than an offset.

        :param wait_s: time for which the node may wait for a change
        :returns: ``None`` if the request failed; the node is then deprioritized
        """
        request = OperatorsAsk(offset, round(wait_s * 1000))
        sent_at = clock.monotonic()
        try:
            parts = await self._pool.client(node).request_parts(
                request, wait_s + ANSWER_TIMEOUT_S, _is_part
            )
        except PeerUnavailableError as exc:
            emit(
                RELAY_CALL_FAILED,
                node=node.name,
                call="OperatorsAsk",
                partition="operators",
                reason=str(exc),
                took_s=round(clock.monotonic() - sent_at, 2),
            )
            self._pool.deprioritize(node)
            return None
        try:
            return _decode_answer(parts, sent_at)
        except PackedRecordsError as exc:
            emit(PACKED_RECORDS_UNREADABLE, node=node.name, error=str(exc))
            self._pool.deprioritize(node)
            return None

    def _handle(self, peer_request: PeerRequest) -> None:
        task = asyncio.ensure_future(self._answer(peer_request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _answer(self, peer_request: PeerRequest) -> None:
        request: OperatorsAsk = peer_request.body
        local = self._get_local()
        if local.offset <= request.offset and local.reads_store:
            await self.wait_for_change(min(request.wait_ms / 1000, MAX_WAIT_S))
            local = self._get_local()
        data = b""
        if local.offset > request.offset:
            if self._packed is None:
                self._packed = pack(local.records)
            data = self._packed
        while len(data) > PART_BYTES:
            peer_request.reply(OperatorsPart(data[:PART_BYTES]))
            data = data[PART_BYTES:]
        age_ms = round((clock.monotonic() - local.confirmed_at) * 1000)
        peer_request.reply(
            OperatorsAnswer(local.reads_store, age_ms, local.offset, data)
        )


def _is_part(message: object) -> bool:
    return isinstance(message, OperatorsPart)


def _decode_answer(
    parts: list[OperatorsPart | OperatorsAnswer], sent_at: float
) -> PeerRecords:
    """Decode the parts of an answer.

    :param sent_at: boot-time clock at which the request was sent
    :raises PackedRecordsError: if the parts can't be decoded
    """
    last = parts[-1]
    if not isinstance(last, OperatorsAnswer):
        raise PackedRecordsError(
            f"expected OperatorsAnswer as the last part, got {type(last).__name__}"
        )
    data = b"".join(part.data for part in parts)
    records = unpack(data) if data else []
    # The age was measured when the answer was sent. Subtracting it from the time of
    # the request gives a lower bound, without a common clock.
    confirmed_at = sent_at - last.age_ms / 1000
    return PeerRecords(last.direct, confirmed_at, last.offset, records, len(data))
