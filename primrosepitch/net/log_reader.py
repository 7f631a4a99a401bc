"""Reads the stream ``fleet`` in order and delivers each record once.

The log can lose its newest records and grow again from there; such a rollback is
called a log that went back, as in the log event. A process that detects it appends a
snapshot of its state with a higher generation, from which all readers continue.
"""

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

__all__ = ["LogConsumer", "LogReader", "PeerSource", "PeerState"]

POLL_WAIT_S = 2.0
"""Time for which a read may wait for records. An unresponsive connection is detected
after this time and the timeout of the read, which together must stay well below the 7 s
of a roll-out."""

CHECKS_PER_S = 4.0
MAX_CHECK_BURST = 20.0
"""Rate per second and maximum burst of the checks that the log still contains the last
record read. A check precedes the folding of a page, since a log that was truncated and
has grown again looks as if it continued. It costs a read; above this rate, pages are
folded without a check, which leaves 0.25 s unchecked."""

RETRY_INTERVAL_S = 0.5
MAX_RECORDS_PER_READ = 32
MAX_RECENT_RECORDS = 512
MAX_RECENT_BYTES = 512 * 1024


class PeerState(msgspec.Struct, frozen=True):
    """Folded state received from a peer.

    :param data: encoding of the state
    """

    generation: int
    offset: Offset
    data: bytes


class LogConsumer(Protocol):
    """Owner of the folded state, to which the reader delivers records."""

    def fleet(self) -> FleetState:
        """Return the current state."""

    def record_read(self, offset: Offset, record: AnyRecord) -> None:
        """Fold the next record."""

    def state_loaded(self, data: bytes) -> None:
        """Replace the state with a newer one."""

    def log_contact(self, up: bool) -> None:
        """Handle the success or failure of the last read."""


class PeerSource(Protocol):
    """Source of records and states of peers."""

    def ahead(self, generation: int, offset: Offset) -> list[SessionId]:
        """Return peers that recently reported a higher position."""

    async def positions(self) -> list[tuple[int, Offset]]:
        """Return generation and offset of each peer that replies."""

    async def fetch(self, generation: int, start: Offset) -> list[tuple[Offset, bytes]]:
        """Return records from ``start`` on, from the first peer that has them."""

    async def fetch_state(self, above: tuple[int, Offset]) -> PeerState | None:
        """Return the newest state of all peers, if above a generation and offset."""


class LogReader:
    """Follows the log and delivers its records to a consumer.

    :param session: own session, recorded in snapshots

    ``ready`` is set once a state has been loaded, ``up`` is whether the last read
    succeeded, ``low`` and ``high`` are the bounds of the log at that read, and
    ``recent_records`` holds the newest records for peers.
    """

    def __init__(
        self,
        platform: PlatformClient,
        consumer: LogConsumer,
        peers: PeerSource,
        session: SessionId,
    ) -> None:
        """Create a reader that has read nothing."""
        self.ready = asyncio.Event()
        self.up = False
        self.low = NO_OFFSET
        self.high = NO_OFFSET
        self.recent_records: deque[tuple[Offset, bytes]] = deque()
        self._recent_bytes = 0
        self._platform = platform
        self._consumer = consumer
        self._peers = peers
        self._session = session
        self._collector = SnapshotCollector()
        self._verified_at = -math.inf
        self._check_tokens = MAX_CHECK_BURST
        self._tokens_updated_at = clock.monotonic()
        self._went_back_to: Offset | None = None
        self._highest_generation = 0

    async def run(self) -> None:
        """Follow the log until cancelled; while it is unavailable, follow the peers."""
        while True:
            try:
                await self._read_next()
                self._report_contact(True)
            except LogUnavailableError:
                self._report_contact(False)
                self.require_check()
                await self._follow_peers()
                await asyncio.sleep(RETRY_INTERVAL_S)

    def record_peer_generation(self, generation: int) -> None:
        """Record a peer's generation; a newer one shows that a snapshot was missed.

        For a missed snapshot, the log is scanned from its low end, since the snapshot
        may be below the offset that was read last.
        """
        self._highest_generation = max(self._highest_generation, generation)

    def require_check(self) -> None:
        """Require a check of the last record read before another one is folded."""
        self._verified_at = -math.inf

    def check_accepted_offset(self, offset: Offset) -> None:
        """Check the offset of an accepted record that has not been read back.

        An offset that was already read shows that the log went back.
        """
        if offset <= self._consumer.fleet().offset:
            self.require_check()

    def records_from(self, start: Offset) -> list[tuple[Offset, bytes]]:
        """Return the recent records from an offset on; empty if it is not held."""
        found = [row for row in self.recent_records if row[0] >= start]
        return found if found and found[0][0] == start else []

    # Reading

    async def _read_next(self) -> None:
        fleet = self._consumer.fleet()
        if not self.ready.is_set():
            await self._load_initial_state()
        elif (
            self._went_back_to is not None
            or self._highest_generation > fleet.generation
            or not await self._verify_last_record(math.inf)
        ):
            await self._recover()
        else:
            await self._follow()

    async def _load_initial_state(self) -> None:
        """Load the initial state, from a snapshot if the log lacks its first record."""
        bounds = await self._platform.bounds(STREAM)
        if any(p > (0, bounds.high) for p in await self._peers.positions()):
            # The log went back, and a peer is about to append a snapshot.
            await self._load_from_peers()
            if not self.ready.is_set():
                await asyncio.sleep(RETRY_INTERVAL_S)
            return
        if bounds.low > 0:
            found = await self._scan(bounds)
            if found is None or not self._load(found):
                await self._load_from_peers()
                if not self.ready.is_set():
                    await asyncio.sleep(RETRY_INTERVAL_S)
                return
        await self._catch_up(bounds.high)
        self.ready.set()

    async def _catch_up(self, high: Offset) -> None:
        while (before := self._consumer.fleet().offset) < high:
            await self._follow(wait_s=0.0)
            if self._consumer.fleet().offset == before:
                await asyncio.sleep(RETRY_INTERVAL_S)

    async def _follow(self, wait_s: float = POLL_WAIT_S) -> None:
        """Read the next page and deliver its records."""
        start = Offset(self._consumer.fleet().offset + 1)
        try:
            page = await self._platform.read(
                STREAM, start, MAX_RECORDS_PER_READ, wait_s
            )
        except OffsetGoneError:
            await self._recover()
            return
        if page.high < start - 1:
            self._record_went_back(page)
            await self._recover()
            return
        self.low, self.high = page.low, page.high
        if page.records and page.records[0][0] != start:
            # Avoid a busy loop if the log returns a page from another offset.
            await asyncio.sleep(RETRY_INTERVAL_S)
        if (
            page.records
            and self._acquire_check_token()
            and not await self._verify_last_record(0.0)
        ):
            return
        for offset, data in page.records:
            if offset != self._consumer.fleet().offset + 1:
                break
            self._deliver(offset, data)

    def _acquire_check_token(self) -> bool:
        """Whether the rate limit allows a check, or ``require_check`` demands one."""
        now = clock.monotonic()
        new_tokens = (now - self._tokens_updated_at) * CHECKS_PER_S
        self._check_tokens = min(MAX_CHECK_BURST, self._check_tokens + new_tokens)
        self._tokens_updated_at = now
        if self._check_tokens < 1.0 and self._verified_at > -math.inf:
            return False
        self._check_tokens = max(0.0, self._check_tokens - 1.0)
        return True

    def _deliver(self, offset: Offset, data: bytes) -> None:
        """Deliver one record, or load the snapshot that it completes."""
        record = _decode(offset, data)
        if isinstance(record, Snapshot) and record.parts:
            snapshot = self._collector.add(offset, record)
            if (
                snapshot is not None
                and self._continues_state(snapshot)
                and self._load(snapshot)
            ):
                return
        self._store_recent(offset, data)
        self._consumer.record_read(offset, record)

    def _continues_state(self, snapshot: WholeSnapshot) -> bool:
        """Whether a snapshot continues the current state on a log that went back."""
        fleet = self._consumer.fleet()
        return (
            snapshot.generation > fleet.generation
            and snapshot.offset_seen >= fleet.offset
        )

    def _store_recent(self, offset: Offset, data: bytes) -> None:
        """Store the record for peers and drop the oldest ones above the limits."""
        self.recent_records.append((offset, data))
        self._recent_bytes += len(data)
        while (
            len(self.recent_records) > MAX_RECENT_RECORDS
            or self._recent_bytes > MAX_RECENT_BYTES
        ):
            self._recent_bytes -= len(self.recent_records.popleft()[1])

    # Snapshots

    def _load(self, snapshot: WholeSnapshot) -> bool:
        """Load a snapshot unless it is corrupt or older than the current state."""
        try:
            state = decode_state(snapshot.data)
        except FrameError as exc:
            emit(SNAPSHOT_CORRUPT, offset=snapshot.offset, cause=exc.detail)
            return False
        if state.generation < snapshot.generation:
            rebase(state, snapshot.generation, snapshot.offset)
        return self._replace(state)

    def _replace(self, state: FleetState) -> bool:
        fleet = self._consumer.fleet()
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
        self.recent_records.clear()
        self._recent_bytes = 0
        self._collector = SnapshotCollector()
        self._went_back_to = None
        self._consumer.state_loaded(pack_state(state))
        return True

    async def _scan(self, bounds: LogPage) -> WholeSnapshot | None:
        """Return the snapshot in the log from which to continue.

        The first snapshot of a newer generation takes effect. Later ones of the same
        generation with the state of an older generation lost the race and are ignored.

        :raises LogUnavailableError: if the log does not respond
        """
        collector = SnapshotCollector()
        best: WholeSnapshot | None = None
        start = bounds.low
        while start <= bounds.high:
            try:
                page = await self._platform.read(STREAM, start, MAX_RECORDS_PER_READ)
            except OffsetGoneError:
                bounds = await self._platform.bounds(STREAM)
                start = max(start, bounds.low)
                continue
            if not page.records:
                break
            for offset, data in page.records:
                snapshot = _completed_snapshot(collector, offset, data)
                if snapshot is not None and _takes_precedence(best, snapshot):
                    best = snapshot
            start = Offset(page.records[-1][0] + 1)
        if best is None or _holds_older_generation(best):
            return best
        # Records between the snapshot and the low end of the log would be missing.
        return best if best.offset_seen + 1 >= bounds.low else None

    # Logs that went back

    async def _verify_last_record(self, age_s: float) -> bool:
        """Check that the log still contains the last record read.

        :param age_s: maximum age of an earlier check that makes this one unnecessary
        """
        fleet = self._consumer.fleet()
        age = clock.monotonic() - self._verified_at
        if age < age_s or fleet.offset < 0:
            return True
        try:
            page = await self._platform.read(STREAM, fleet.offset, 1)
        except OffsetGoneError:
            return False
        if not page.records:
            self._record_went_back(page)
            return False
        offset, data = page.records[0]
        record = _decode(offset, data)
        loaded = isinstance(record, Snapshot) and (
            record.generation == fleet.generation
        )
        if record.record_id not in fleet.recent and not loaded:
            self._record_went_back(page)
            return False
        self._verified_at = clock.monotonic()
        return True

    def _record_went_back(self, page: LogPage) -> None:
        fleet = self._consumer.fleet()
        if self._went_back_to is None:
            self._went_back_to = page.high
            emit(
                LOG_WENT_BACK,
                high=page.high,
                offset=fleet.offset,
                generation=fleet.generation,
            )

    async def _recover(self) -> None:
        """Continue from a snapshot in the log, or append one of the current state."""
        fleet = self._consumer.fleet()
        bounds = await self._platform.bounds(STREAM)
        found = await self._scan(bounds)
        if found is not None and self._acceptable(found) and self._load(found):
            return
        went_back = self._went_back_to is not None
        if not went_back:
            # The log has removed records that were not read yet.
            self._highest_generation = fleet.generation
            await self._load_from_peers()
            await asyncio.sleep(RETRY_INTERVAL_S)
            return
        here = (fleet.generation, fleet.offset)
        if any(there > here for there in await self._peers.positions()):
            await asyncio.sleep(RETRY_INTERVAL_S)
            return
        above = found.generation if found is not None else fleet.generation
        await self._append_state(max(above, fleet.generation) + 1)

    def _acceptable(self, found: WholeSnapshot) -> bool:
        """Whether a snapshot is at least as recent as the current state."""
        fleet = self._consumer.fleet()
        if found.generation > fleet.generation:
            moved = _holds_older_generation(found)
            return not moved or found.offset_seen >= fleet.offset
        return found.generation == fleet.generation and (
            found.offset_seen > fleet.offset
        )

    async def _append_state(self, generation: int) -> None:
        """Append the current state as a snapshot of a newer generation."""
        for record in snapshot_records(
            self._consumer.fleet(), self._session, generation
        ):
            stamped = msgspec.structs.replace(record, record_id=new_record_id())
            await self._platform.append(STREAM, encode_record(stamped))

    # Peers

    async def _follow_peers(self) -> None:
        """Read records and states from peers while the log is unavailable."""
        if not self.ready.is_set():
            await self._load_from_peers()
            return
        fleet = self._consumer.fleet()
        start = Offset(fleet.offset + 1)
        for offset, data in await self._peers.fetch(fleet.generation, start):
            if offset == self._consumer.fleet().offset + 1:
                self._deliver(offset, data)
        fleet = self._consumer.fleet()
        if self._peers.ahead(fleet.generation, fleet.offset):
            await self._load_from_peers()

    async def _load_from_peers(self) -> None:
        """Load the newest state of the peers if it is newer than the current one."""
        fleet = self._consumer.fleet()
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

    def _report_contact(self, up: bool) -> None:
        self.up = up
        self._consumer.log_contact(up)


def _decode(offset: Offset, data: bytes) -> AnyRecord:
    """Decode a record; replace an unreadable one with an empty snapshot record.

    Every process folds this placeholder in the same way.
    """
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


def _completed_snapshot(
    collector: SnapshotCollector, offset: Offset, data: bytes
) -> WholeSnapshot | None:
    """Return the snapshot that a record completes; ``None`` if it is unreadable."""
    try:
        record = decode_record(data)
        snapshot = collector.add(offset, record) if _is_snapshot_part(record) else None
        if snapshot is not None:
            decode_state(snapshot.data)
    except FrameError:
        return None
    return snapshot


def _is_snapshot_part(record: Record) -> TypeGuard[Snapshot]:
    return isinstance(record, Snapshot) and record.parts > 0


def _holds_older_generation(snapshot: WholeSnapshot) -> bool:
    """Whether a snapshot contains the state of an older generation than its own."""
    return decode_state(snapshot.data).generation < snapshot.generation


def _takes_precedence(best: WholeSnapshot | None, snapshot: WholeSnapshot) -> bool:
    """Whether a later snapshot in the log takes precedence over an earlier one."""
    if best is None or snapshot.generation > best.generation:
        return True
    return snapshot.generation == best.generation and not _holds_older_generation(
        snapshot
    )
