"""Intake of jobs: accept, show, cancel."""

from __future__ import annotations

import asyncio
import enum
from typing import NamedTuple

from primrosepitch import clock
from primrosepitch.events import (
    JOB_ACCEPTED,
    JOB_CANCELLED,
    JOB_REFUSED,
    JOB_UNKNOWN,
    emit,
)
from primrosepitch.jobs.model import JobId, JobSpec, JobState, QueueName
from primrosepitch.jobs.records import Cancellation, JobEntry, encode
from primrosepitch.jobs.store import (
    KeyedRecord,
    StoreUnavailableError,
    StoreUnknownError,
)
from primrosepitch.node.follower import Appender, Follower
from primrosepitch.scheduling.backlog import retry_after_s

__all__ = ["JobDesk", "Rejection", "Reply"]


BACKLOG_S = 2.0
"""Age beyond which the scheduler's word on waits is not trusted; it repeats it every
0.5 s."""


class Rejection(NamedTuple):
    """A job that can't be served in time.

    :param retry_after_s: when there is room again
    """

    retry_after_s: int


class Reply(enum.Enum):
    """What a caller is told."""

    ACCEPTED = "accepted"
    NOT_ACCEPTED = "not_accepted"
    UNKNOWN = "unknown"
    NO_SUCH_JOB = "no_such_job"
    UNAVAILABLE = "unavailable"


class JobDesk:
    """Accepts jobs into the ledger, and answers about them.

    A job counts as accepted only when the store has answered the append.
    """

    def __init__(self, follower: Follower, appender: Appender) -> None:
        """Know what the follower knows."""
        self._follower = follower
        self._appender = appender
        self._pending: dict[JobId, asyncio.Task[Reply]] = {}
        self._accepted: dict[JobId, JobSpec] = {}

    async def submit(self, spec: JobSpec, deadline: float) -> Reply | Rejection:
        """Store a job; a repeat of its id joins the first.

        :param deadline: boot-time clock at which the caller leaves
        """
        if self._known(spec.job):
            return Reply.ACCEPTED
        task = self._pending.get(spec.job)
        if task is None:
            rejection = await self._reject(spec)
            if rejection is not None:
                return rejection
            task = self._pending.get(spec.job)
        if task is None:
            task = asyncio.ensure_future(self._store(spec, deadline))
            self._pending[spec.job] = task
            task.add_done_callback(lambda _: self._pending.pop(spec.job, None))
        return await asyncio.shield(task)

    async def _reject(self, spec: JobSpec) -> Rejection | None:
        """Return why a job can't be served, if another node has not accepted it."""
        age_s = clock.monotonic() - self._follower.backlog_at
        wait_ms = self._follower.ledger.backlog.waits.get(spec.service, 0)
        after_s = retry_after_s(spec, wait_ms) if age_s < BACKLOG_S else 0
        if not after_s:
            return None
        try:
            await self._follower.catch_up()
        except StoreUnavailableError:
            return None
        if self._known(spec.job) or spec.job in self._pending:
            return None
        emit(
            JOB_REFUSED,
            job=spec.job,
            queue=spec.queue,
            workspace=spec.workspace,
            reason="can't be served in time",
            wait_ms=wait_ms,
            wait_age_s=round(age_s, 2),
            retry_after_s=after_s,
        )
        return Rejection(after_s)

    def _known(self, job: JobId) -> bool:
        return (
            job in self._accepted
            or self._follower.ledger.accepted_entry(job) is not None
        )

    async def _store(self, spec: JobSpec, deadline: float) -> Reply:
        began = clock.monotonic()
        record = KeyedRecord(*encode(spec))
        fields = {"job": spec.job, "queue": spec.queue, "workspace": spec.workspace}
        try:
            await self._appender.append(record, deadline)
        except StoreUnavailableError as exc:
            emit(JOB_REFUSED, **fields, reason=str(exc))
            return Reply.NOT_ACCEPTED
        except StoreUnknownError as exc:
            emit(JOB_UNKNOWN, **fields, reason=str(exc))
            return Reply.UNKNOWN
        took_ms = round((clock.monotonic() - began) * 1000, 1)
        self._accepted[spec.job] = spec
        emit(JOB_ACCEPTED, **fields, append_ms=took_ms)
        return Reply.ACCEPTED

    def folded(self, job: JobId) -> None:
        """Forget what the ledger now says itself."""
        self._accepted.pop(job, None)

    async def find(self, job: JobId) -> JobEntry | Reply:
        """Return what is known of a job.

        That it doesn't exist is said only after reading to the ledger's end.
        """
        entry = self._lookup(job)
        if entry is not None:
            return entry
        try:
            await self._follower.catch_up()
        except StoreUnavailableError:
            return Reply.UNAVAILABLE
        return self._lookup(job) or Reply.NO_SUCH_JOB

    def _lookup(self, job: JobId) -> JobEntry | None:
        entry = self._follower.ledger.accepted_entry(job)
        if entry is None and job in self._accepted:
            return JobEntry(spec=self._accepted[job])
        return entry

    async def cancel(self, job: JobId, deadline: float) -> Reply:
        """Store that a job is to be stopped."""
        found = await self.find(job)
        if isinstance(found, Reply):
            return found
        if found.state.final:
            return Reply.ACCEPTED
        record = Cancellation(job, round(clock.wall() * 1000))
        try:
            await self._appender.append(KeyedRecord(*encode(record)), deadline)
        except StoreUnavailableError:
            return Reply.UNAVAILABLE
        except StoreUnknownError:
            return Reply.UNKNOWN
        emit(JOB_CANCELLED, job=job)
        return Reply.ACCEPTED

    def waiting(self, queue: QueueName) -> int:
        """Return how many accepted jobs of a queue have not begun."""
        entries = self._follower.ledger.jobs.values()
        return sum(
            entry.spec is not None
            and entry.spec.queue == queue
            and entry.state is JobState.QUEUED
            for entry in entries
        )
