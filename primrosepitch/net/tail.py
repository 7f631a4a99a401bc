"""Reads the stream ``fleet`` in order and hands each record on once."""

from __future__ import annotations

import asyncio
import math
from collections import deque
from typing import Protocol, TypeGuard, cast

import msgspec

from primrosepitch import clock
from primrosepitch.errors import FrameError, LogUnavailableError
from primrosepitch.events import (
    LOG_WENT_BACK,
    RECORD_UNREADABLE,
    SNAPSHOT_CORRUPT,
    SNAPSHOT_LOADED,
    emit,
)
from primrosepitch.fleet.records import (
    AnyRecord,
    Record,
    Snapshot,
    decode_record,
    encode_record,
    new_record_id,
)
from primrosepitch.fleet.snapshot import (
    SnapshotCollector,
    WholeSnapshot,
    decode_state,
    pack_state,
    rebase,
    snapshot_records,
)
from primrosepitch.fleet.state import NO_OFFSET, FleetState
from primrosepitch.ids import Offset, RecordId, SessionId
from primrosepitch.net.appender import STREAM
from primrosepitch.net.platform import LogPage, OffsetGoneError, PlatformClient

__all__ = ["PeerSource", "PeerState", "Tail", "TailTarget"]

POLL_S = 2.0
"""Time that a read may wait. A connection that goes silent is noticed after this time
and the read's own timeout, so it must stay well below the 7 s of a roll-out."""

CHECKS_PER_S = 4.0
CHECKS_BURST = 20.0
"""Before a page is folded, the record read last is compared with the log, since a log
that was truncated and has grown again looks as if it went on. A check costs a read;
at more than this rate of pages, some go without, which leaves 0.25 s unchecked."""

RETRY_S = 0.5
PAGE_RECORDS = 32
KEPT_RECORDS = 512
KEPT_BYTES = 512 * 1024


class PeerState(msgspec.Struct, frozen=True):
    """State offered by a peer.

    :param data: encoding of the folded state
    """

    generation: int
    offset: Offset
    data: bytes


class TailTarget(Protocol):
    """Owner of the folded state."""

    def fleet(self) -> FleetState:
        """Return the state in force."""

    def record_read(self, offset: Offset, record: AnyRecord) -> None:
        """Fold the next record."""

    def state_loaded(self, data: bytes) -> None:
        """Replace the state by a newer one."""

    def log_contact(self, up: bool) -> None:
        """Note whether the last read succeeded."""


class PeerSource(Protocol):
    """Peers that can be asked for records and states."""

    def ahead(self, generation: int, offset: Offset) -> list[SessionId]:
        """Return peers that reported a higher position a moment ago."""

    async def positions(self) -> list[tuple[int, Offset]]:
        """Return generation and offset of each peer that answers."""

    async def fetch(self, generation: int, start: Offset) -> list[tuple[Offset, bytes]]:
        """Return records from the first peer that has them."""

    async def fetch_state(self, above: tuple[int, Offset]) -> PeerState | None:
        """Return the newest state of all peers above a generation and offset."""


class Tail:
    """Follows the log for the owner of a state.

    :param session: own session, for snapshots

    ``ready`` is set once a state has been read, ``up`` tells whether the last read
    succeeded, ``low`` and ``high`` are the ends of the log at that read, and ``kept``
    holds the newest records for peers.
    """

    def __init__(
        self,
        platform: PlatformClient,
        target: TailTarget,
        peers: PeerSource,
        session: SessionId,
    ) -> None:
        """Read nothing yet."""
        self.ready = asyncio.Event()
        self.up = False
        self.low = NO_OFFSET
        self.high = NO_OFFSET
        self.kept: deque[tuple[Offset, bytes]] = deque()
        self._kept_bytes = 0
        self._platform = platform
        self._target = target
        self._peers = peers
        self._session = session
        self._collector = SnapshotCollector()
        self._verified = -math.inf
        self._checks = CHECKS_BURST
        self._checks_at = clock.monotonic()
        self._back_offset: Offset | None = None
        self._highest_seen = 0

    async def run(self) -> None:
        """Follow the log until cancelled; without it, follow the peers."""
        while True:
            try:
                await self._turn()
                self._contact(True)
            except LogUnavailableError:
                self._contact(False)
                self.recheck()
                await self._follow_peers()
                await asyncio.sleep(RETRY_S)

    def note_generation(self, generation: int) -> None:
        """Note the generation of a peer; a newer one means that a snapshot was missed.

        The log is read from its low end then, since the snapshot can lie below the
        offset that was read last.
        """
        self._highest_seen = max(self._highest_seen, generation)

    def recheck(self) -> None:
        """Compare the record that was read last before folding another one."""
        self._verified = -math.inf

    def note_appended(self, offset: Offset) -> None:
        """Note where the log put a record that was not read back yet.

        An offset that was read already shows that the log went back.
        """
        if offset <= self._target.fleet().offset:
            self.recheck()

    def records_from(self, start: Offset) -> list[tuple[Offset, bytes]]:
        """Return kept records from an offset on, without a gap; else nothing."""
        found = [row for row in self.kept if row[0] >= start]
        return found if found and found[0][0] == start else []

    # Turns

    async def _turn(self) -> None:
        fleet = self._target.fleet()
        if not self.ready.is_set():
            await self._first_read()
        elif (
            self._back_offset is not None
            or self._highest_seen > fleet.generation
            or not await self._verify(math.inf)
        ):
            await self._recover()
        else:
            await self._follow()

    async def _first_read(self) -> None:
        """Load the newest snapshot if the log no longer has its first record."""
        bounds = await self._platform.bounds(STREAM)
        if any(p > (0, bounds.high) for p in await self._peers.positions()):
            # The log went back, and the peers are about to write a snapshot.
            await self._load_from_peers()
            if not self.ready.is_set():
                await asyncio.sleep(RETRY_S)
            return
        if bounds.low > 0:
            found = await self._scan(bounds)
            if found is None or not self._load(found):
                await self._load_from_peers()
                if not self.ready.is_set():
                    await asyncio.sleep(RETRY_S)
                return
        await self._catch_up(bounds.high)
        self.ready.set()

    async def _catch_up(self, high: Offset) -> None:
        while (before := self._target.fleet().offset) < high:
            await self._follow(wait_s=0.0)
            if self._target.fleet().offset == before:
                await asyncio.sleep(RETRY_S)

    async def _follow(self, wait_s: float = POLL_S) -> None:
        """Read the next page and hand its records on."""
        start = Offset(self._target.fleet().offset + 1)
        try:
            page = await self._platform.read(STREAM, start, PAGE_RECORDS, wait_s)
        except OffsetGoneError:
            await self._recover()
            return
        if page.high < start - 1:
            self._note_went_back(page)
            await self._recover()
            return
        self.low, self.high = page.low, page.high
        if page.records and page.records[0][0] != start:
            # A faulty log must not keep the process busy.
            await asyncio.sleep(RETRY_S)
        if page.records and self._take_check() and not await self._verify(0.0):
            return
        for offset, data in page.records:
            if offset != self._target.fleet().offset + 1:
                break
            self._take(offset, data)

    def _take_check(self) -> bool:
        """Whether a check is due within the rate; after a recheck it always is."""
        now = clock.monotonic()
        gained = (now - self._checks_at) * CHECKS_PER_S
        self._checks = min(CHECKS_BURST, self._checks + gained)
        self._checks_at = now
        if self._checks < 1.0 and self._verified > -math.inf:
            return False
        self._checks = max(0.0, self._checks - 1.0)
        return True

    def _take(self, offset: Offset, data: bytes) -> None:
        """Hand one record on, or load the snapshot that it completes."""
        record = _decode(offset, data)
        if isinstance(record, Snapshot) and record.parts:
            whole = self._collector.add(offset, record)
            if whole is not None and self._is_newer_log(whole) and self._load(whole):
                return
        self._keep(offset, data)
        self._target.record_read(offset, record)

    def _is_newer_log(self, whole: WholeSnapshot) -> bool:
        """Whether a snapshot carries the state over to a log that went back."""
        fleet = self._target.fleet()
        return whole.generation > fleet.generation and whole.offset_seen >= fleet.offset

    def _keep(self, offset: Offset, data: bytes) -> None:
        """Keep the record for peers, within bounds."""
        self.kept.append((offset, data))
        self._kept_bytes += len(data)
        while len(self.kept) > KEPT_RECORDS or self._kept_bytes > KEPT_BYTES:
            self._kept_bytes -= len(self.kept.popleft()[1])

    # Snapshots

    def _load(self, whole: WholeSnapshot) -> bool:
        """Load a snapshot unless it is older than the state in force."""
        try:
            state = decode_state(whole.data)
        except FrameError as exc:
            emit(SNAPSHOT_CORRUPT, offset=whole.offset, cause=exc.detail)
            return False
        if state.generation < whole.generation:
            rebase(state, whole.generation, whole.offset)
        return self._replace(state)

    def _replace(self, state: FleetState) -> bool:
        fleet = self._target.fleet()
        here = (fleet.generation, fleet.offset)
        if (state.generation, state.offset) <= here and self.ready.is_set():
            return False
        if state.generation == fleet.generation and state.offset < fleet.offset:
            return False
        emit(
            SNAPSHOT_LOADED,
            generation=state.generation,
            offset=state.offset,
            former_generation=fleet.generation,
            former_offset=fleet.offset,
        )
        self.kept.clear()
        self._kept_bytes = 0
        self._collector = SnapshotCollector()
        self._back_offset = None
        self._target.state_loaded(pack_state(state))
        return True

    async def _scan(self, bounds: LogPage) -> WholeSnapshot | None:
        """Return the snapshot in the log from which to go on.

        The first snapshot of a newer generation moves the state to the log. Others of
        the same generation that carry an older generation's state lost the race.

        :raises LogUnavailableError: if the log does not answer
        """
        collector = SnapshotCollector()
        best: WholeSnapshot | None = None
        start = bounds.low
        while start <= bounds.high:
            try:
                page = await self._platform.read(STREAM, start, PAGE_RECORDS)
            except OffsetGoneError:
                bounds = await self._platform.bounds(STREAM)
                start = max(start, bounds.low)
                continue
            if not page.records:
                break
            for offset, data in page.records:
                whole = _snapshot_in(collector, offset, data)
                if whole is not None and _is_better(best, whole):
                    best = whole
            start = Offset(page.records[-1][0] + 1)
        if best is None or _carries_older(best):
            return best
        # A gap between the snapshot and the low end cannot be filled.
        return best if best.offset_seen + 1 >= bounds.low else None

    # Logs that went back

    async def _verify(self, age_s: float) -> bool:
        """Check that the log still holds the record that was read last.

        :param age_s: age up to which an earlier check is good enough
        """
        fleet = self._target.fleet()
        age = clock.monotonic() - self._verified
        if age < age_s or fleet.offset < 0:
            return True
        try:
            page = await self._platform.read(STREAM, fleet.offset, 1)
        except OffsetGoneError:
            return False
        if not page.records:
            self._note_went_back(page)
            return False
        offset, data = page.records[0]
        record = _decode(offset, data)
        loaded = isinstance(record, Snapshot) and (
            record.generation == fleet.generation
        )
        if record.record_id not in fleet.recent and not loaded:
            self._note_went_back(page)
            return False
        self._verified = clock.monotonic()
        return True

    def _note_went_back(self, page: LogPage) -> None:
        fleet = self._target.fleet()
        if self._back_offset is None:
            self._back_offset = page.high
            emit(
                LOG_WENT_BACK,
                high=page.high,
                offset=fleet.offset,
                generation=fleet.generation,
            )

    async def _recover(self) -> None:
        """Go on from a snapshot in the log, or write one of the state in force."""
        fleet = self._target.fleet()
        bounds = await self._platform.bounds(STREAM)
        found = await self._scan(bounds)
        if found is not None and self._acceptable(found) and self._load(found):
            return
        gone_back = self._back_offset is not None
        if not gone_back:
            # The log has dropped records that were not read yet.
            self._highest_seen = fleet.generation
            await self._load_from_peers()
            await asyncio.sleep(RETRY_S)
            return
        here = (fleet.generation, fleet.offset)
        if any(there > here for there in await self._peers.positions()):
            await asyncio.sleep(RETRY_S)
            return
        above = found.generation if found is not None else fleet.generation
        await self._append_state(max(above, fleet.generation) + 1)

    def _acceptable(self, found: WholeSnapshot) -> bool:
        """Whether a snapshot is no older than the state in force."""
        fleet = self._target.fleet()
        if found.generation > fleet.generation:
            moved = _carries_older(found)
            return not moved or found.offset_seen >= fleet.offset
        return found.generation == fleet.generation and (
            found.offset_seen > fleet.offset
        )

    async def _append_state(self, generation: int) -> None:
        """Append the state in force as a snapshot of a newer generation."""
        for record in snapshot_records(self._target.fleet(), self._session, generation):
            stamped = msgspec.structs.replace(record, record_id=new_record_id())
            await self._platform.append(STREAM, encode_record(stamped))

    # Peers

    async def _follow_peers(self) -> None:
        """Read records and states from peers while the log does not answer."""
        if not self.ready.is_set():
            await self._load_from_peers()
            return
        fleet = self._target.fleet()
        start = Offset(fleet.offset + 1)
        for offset, data in await self._peers.fetch(fleet.generation, start):
            if offset == self._target.fleet().offset + 1:
                self._take(offset, data)
        fleet = self._target.fleet()
        if self._peers.ahead(fleet.generation, fleet.offset):
            await self._load_from_peers()

    async def _load_from_peers(self) -> None:
        """Load the newest state of the peers if it is newer."""
        fleet = self._target.fleet()
        found = await self._peers.fetch_state((fleet.generation, fleet.offset))
        if found is None:
            return
        try:
            state = decode_state(found.data)
        except FrameError as exc:
            emit(SNAPSHOT_CORRUPT, offset=found.offset, cause=exc.detail)
            return
        if self._replace(state):
            self.ready.set()

    def _contact(self, up: bool) -> None:
        self.up = up
        self._target.log_contact(up)


def _decode(offset: Offset, data: bytes) -> AnyRecord:
    """Return a record, or an empty one that every process folds in the same way."""
    try:
        return cast(AnyRecord, decode_record(data))
    except FrameError:
        emit(RECORD_UNREADABLE, offset=offset)
    return Snapshot(
        record_id=RecordId(f"unreadable-{offset}"),
        by=SessionId(""),
        generation=0,
        offset_seen=NO_OFFSET,
        part=0,
        parts=0,
        data=b"",
    )


def _snapshot_in(
    collector: SnapshotCollector, offset: Offset, data: bytes
) -> WholeSnapshot | None:
    """Return the readable snapshot that a record completes."""
    try:
        record = decode_record(data)
        whole = collector.add(offset, record) if _is_part(record) else None
        if whole is not None:
            decode_state(whole.data)
    except FrameError:
        return None
    return whole


def _is_part(record: Record) -> TypeGuard[Snapshot]:
    return isinstance(record, Snapshot) and record.parts > 0


def _carries_older(whole: WholeSnapshot) -> bool:
    """Whether a snapshot moves the state of an older generation to this log."""
    return decode_state(whole.data).generation < whole.generation


def _is_better(best: WholeSnapshot | None, whole: WholeSnapshot) -> bool:
    """Whether a later snapshot in the log replaces an earlier one."""
    if best is None or whole.generation > best.generation:
        return True
    return whole.generation == best.generation and not _carries_older(whole)
