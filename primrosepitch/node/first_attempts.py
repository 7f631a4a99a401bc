"""Records when refused jobs were first submitted, for the nodes that accept them later.

The records are small and not essential: if one isn't written, the refusal stands and
only the caller's place is lost.
"""

from __future__ import annotations

import asyncio

from primrosepitch import clock
from primrosepitch.events import FIRST_ATTEMPTS_DROPPED, emit
from primrosepitch.jobs.model import JobId
from primrosepitch.jobs.records import (
    FirstAttempt,
    encode,
    first_attempt_tombstone,
)
from primrosepitch.jobs.store import (
    KeyedRecord,
    StoreUnavailableError,
    StoreUnknownError,
)
from primrosepitch.node.follower import Appender, LedgerFollower

__all__ = ["RETENTION_S", "FirstAttempts"]

RETENTION_S = 30.0
"""Time for which a first attempt is kept; longer than three times the objective of jobs
that are refused."""

WRITE_INTERVAL_S = 0.25
"""Interval of writes; a caller comes back after a second at the earliest."""

MAX_RECORDS_PER_WRITE = 50
"""Number of records in one write: 200 a second, about 8 KB/s."""

WRITE_TIMEOUT_S = 1.0
"""Timeout of one write; later it may come after the caller."""

LOG_INTERVAL_S = 10.0
"""Minimum interval of log lines on refusals that are not recorded."""


class FirstAttempts:
    """First attempts of refused jobs, as known to all nodes.

    ``dropped`` counts the refusals that were not recorded.
    """

    def __init__(self, follower: LedgerFollower, appender: Appender) -> None:
        """Start without refusals; :meth:`run` writes them."""
        self.dropped = 0
        self._follower = follower
        self._appender = appender
        self._unwritten: dict[JobId, int] = {}
        self._received_at: dict[JobId, float] = {}
        self._logged_at = -LOG_INTERVAL_S
        self._logged = 0

    def first_ms(self, job: JobId, accepted_ms: int) -> int:
        """Return the Unix time of a job's first attempt; 0 if none is known.

        A time after the acceptance, or more than the retention before it, is ignored:
        the record has expired, or the clock of a node has jumped.
        """
        known = self._follower.ledger.first_attempts.get(job)
        unwritten = self._unwritten.get(job)
        times = [at_ms for at_ms in (known, unwritten) if at_ms is not None]
        if not times:
            return 0
        age_ms = accepted_ms - min(times)
        return min(times) if 0 < age_ms <= RETENTION_S * 1000 else 0

    def remember(self, job: JobId, at_ms: int) -> None:
        """Record a refusal with the next write, if it is the first of its job."""
        if job in self._follower.ledger.first_attempts or job in self._unwritten:
            return
        if len(self._unwritten) >= MAX_RECORDS_PER_WRITE:
            self._drop(1)
            return
        self._unwritten[job] = at_ms

    def received(self, job: JobId) -> None:
        """Note that a record has been read, from which its retention counts."""
        self._received_at.setdefault(job, clock.monotonic())

    async def run(self) -> None:
        """Write refusals and, on the scheduling node, remove the expired ones."""
        while True:
            await asyncio.sleep(WRITE_INTERVAL_S)
            records = [
                encode(FirstAttempt(job, at_ms))
                for job, at_ms in self._unwritten.items()
            ]
            expired = self._expired()[:MAX_RECORDS_PER_WRITE]
            tombstones = [first_attempt_tombstone(job) for job in expired]
            written = await self._write(records)
            self._drop(len(records) - written)
            # A refusal during the write waits for the next one.
            for job in list(self._unwritten)[: len(records)]:
                del self._unwritten[job]
            await self._write(tombstones)

    def _expired(self) -> list[JobId]:
        """Return the jobs whose records this node has to remove.

        The age counts from the reading, as clocks of other nodes may jump.
        """
        known = self._follower.ledger.first_attempts
        for job in [job for job in self._received_at if job not in known]:
            del self._received_at[job]
        if not self._follower.leading:
            return []
        before = clock.monotonic() - RETENTION_S
        return [job for job, at in self._received_at.items() if at < before]

    async def _write(self, records: list[tuple[str, bytes]]) -> int:
        """Append records in one batch; return how many were stored."""
        deadline = clock.monotonic() + WRITE_TIMEOUT_S
        results = await asyncio.gather(
            *(self._append(KeyedRecord(*record), deadline) for record in records)
        )
        return sum(results)

    async def _append(self, record: KeyedRecord, deadline: float) -> bool:
        try:
            await self._appender.append(record, deadline)
        except (StoreUnavailableError, StoreUnknownError):
            return False
        return True

    def _drop(self, count: int) -> None:
        self.dropped += count
        now = clock.monotonic()
        new = self.dropped - self._logged
        if new and now - self._logged_at >= LOG_INTERVAL_S:
            self._logged_at, self._logged = now, self.dropped
            emit(FIRST_ATTEMPTS_DROPPED, dropped=new)
