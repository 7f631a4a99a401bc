"""Gives the operators' records to other nodes, packed, and gets them from there."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from typing import NamedTuple

from primrosepitch import clock
from primrosepitch.errors import PeerUnavailableError
from primrosepitch.events import RECORDS_UNREADABLE, RELAY_FAILED, emit
from primrosepitch.gen.primrose.ttypes import (
    OperatorsAnswer,
    OperatorsAsk,
    OperatorsPart,
)
from primrosepitch.jobs.store import KeyedRecord
from primrosepitch.net.peers import Question
from primrosepitch.node.packing import PackedRecordsError, pack, unpack
from primrosepitch.node.peer_pool import PeerNode, PeerPool

__all__ = ["Given", "RecordsExchange", "View"]

ANSWER_S = 0.6
"""Time for another node's answer besides its wait, and for each part of it."""

MAX_WAIT_S = 1.0
"""Longest time for which another node is let wait for a change."""

PART_BYTES = 32 * 1024
"""Bytes in one part of an answer; 0.05 s on a link of 5 Mbit/s."""


class View(NamedTuple):
    """What this node knows of the records.

    :param direct: whether it reads the store itself
    :param confirmed_at: boot-time clock; no other record was in the store then
    :param offset: behind the newest record
    :param records: newest value of each key
    """

    direct: bool
    confirmed_at: float
    offset: int
    records: dict[str, bytes]


class Given(NamedTuple):
    """What another node has told.

    :param direct: whether it reads the store itself
    :param confirmed_at: boot-time clock of this node; no other record was in the
        store then
    :param offset: behind the newest record
    :param records: newest of each key; none if there is nothing newer
    :param received: bytes of the packed records
    """

    direct: bool
    confirmed_at: float
    offset: int
    records: list[KeyedRecord]
    received: int


class RecordsExchange:
    """Asks other nodes for the records, and answers them.

    :param view: gives what this node knows
    """

    def __init__(self, pool: PeerPool, view: Callable[[], View]) -> None:
        """Answer from now on."""
        self._pool = pool
        self._view = view
        self._packed: bytes | None = None
        self._changed = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        pool.register_handler(OperatorsAsk, self._handle)

    def note_change(self) -> None:
        """Wake all who wait for a change."""
        self._packed = None
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_change(self, timeout_s: float) -> None:
        """Wait until something changes, or the time is over."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, timeout_s)):
                await self._changed.wait()

    async def ask(self, node: PeerNode, offset: int, wait_s: float) -> Given | None:
        """Ask a node for records behind an offset.

        :param wait_s: time for which it may wait for some
        :returns: ``None`` if it could not help; it is then asked last for a while
        """
        question = OperatorsAsk(offset, round(wait_s * 1000))
        began = clock.monotonic()
        try:
            parts = await self._pool.client(node).ask_parts(
                question, wait_s + ANSWER_S, _is_part
            )
        except PeerUnavailableError as exc:
            emit(
                RELAY_FAILED,
                node=node.name,
                call="OperatorsAsk",
                partition="operators",
                reason=str(exc),
                took_s=round(clock.monotonic() - began, 2),
            )
            self._pool.deprioritize(node)
            return None
        try:
            return _given(parts, began)
        except PackedRecordsError as exc:
            emit(RECORDS_UNREADABLE, node=node.name, error=str(exc))
            self._pool.deprioritize(node)
            return None

    def _handle(self, question: Question) -> None:
        task = asyncio.ensure_future(self._answer(question))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _answer(self, question: Question) -> None:
        asked: OperatorsAsk = question.body
        view = self._view()
        if view.offset <= asked.offset and view.direct:
            await self.wait_for_change(min(asked.wait_ms / 1000, MAX_WAIT_S))
            view = self._view()
        data = b""
        if view.offset > asked.offset:
            if self._packed is None:
                self._packed = pack(view.records)
            data = self._packed
        while len(data) > PART_BYTES:
            question.answer(OperatorsPart(data[:PART_BYTES]))
            data = data[PART_BYTES:]
        age_ms = round((clock.monotonic() - view.confirmed_at) * 1000)
        question.answer(OperatorsAnswer(view.direct, age_ms, view.offset, data))


def _is_part(message: object) -> bool:
    return isinstance(message, OperatorsPart)


def _given(parts: list[OperatorsPart | OperatorsAnswer], began: float) -> Given:
    """Return what the parts of an answer say.

    :param began: boot-time clock at which the question was sent
    :raises PackedRecordsError: if they can't be read
    """
    last = parts[-1]
    if not isinstance(last, OperatorsAnswer):
        raise PackedRecordsError(f"unexpected {type(last).__name__}")
    data = b"".join(part.data for part in parts)
    records = unpack(data) if data else []
    # The age is as of the answer; counted from the question it is a bound.
    confirmed_at = began - last.age_ms / 1000
    return Given(last.direct, confirmed_at, last.offset, records, len(data))
