"""Job intake: accepts, looks up and cancels jobs."""

from __future__ import annotations

import asyncio
import enum
from typing import NamedTuple

from msgspec.structs import replace

from primrosepitch import clock
from primrosepitch.events import (
    JOB_ACCEPTED,
    JOB_CANCELLED,
    JOB_OUTCOME_UNKNOWN,
    JOB_REFUSED,
    emit,
)
from primrosepitch.jobs.model import (
    JobId,
    JobSpec,
    QueueName,
    ServiceName,
)
from primrosepitch.jobs.records import (
    Cancellation,
    JobEntry,
    encode,
    job_size,
    record_size,
)
from primrosepitch.jobs.store import (
    KeyedRecord,
    StoreRejectedError,
    StoreUnavailableError,
    StoreUnknownError,
)
from primrosepitch.node.first_attempts import FirstAttempts
from primrosepitch.node.follower import Appender, LedgerFollower
from primrosepitch.scheduling.backlog import retry_after_s
from primrosepitch.scheduling.configuration import Configuration

__all__ = ["IntakeOutcome", "JobIntake", "Overload", "Rejection", "TooLarge"]


MAX_OPEN_SIZE = 100_000
"""Size of all open jobs, in steps, from which workspaces that have more open than their
equal part submit no more. Each step takes up to 1 KB on a node that schedules."""

OVERLOAD_RETRY_S = 5
"""Time after which a caller may submit a job again that was refused for that reason."""

UNRESOLVED_S = 15.0
"""Time for which an append without an answer may still be carried out. The platform
documents seconds; afterwards the ledger is taken at its word."""

BACKLOG_MAX_AGE_S = 2.0
"""Age beyond which the scheduler's backlog record is ignored; the scheduler writes it
every 0.5 s."""


class Rejection(NamedTuple):
    """Refusal of a job that could not be served in time.

    :param retry_after_s: seconds after which the caller may submit it again
    :param service: pool that can't hold it
    :param wait_ms: least wait of a new job in that pool
    """

    retry_after_s: int
    service: ServiceName
    wait_ms: int


class Overload(NamedTuple):
    """Refusal of a job because too much work is open, most of it of its workspace.

    :param retry_after_s: seconds after which the caller may submit it again
    :param size: size of the workspace's open jobs and of this one, in steps
    :param limit: what the workspace may have open now
    """

    retry_after_s: int
    size: int
    limit: int


class TooLarge(NamedTuple):
    """Refusal of a job whose record the store does not take.

    :param size: size of the record in bytes
    :param limit: maximum size of a record in bytes
    """

    size: int
    limit: int


class IntakeOutcome(enum.Enum):
    """Result of a submission, a lookup or a cancellation, as reported to the caller."""

    ACCEPTED = "accepted"
    NOT_ACCEPTED = "not_accepted"
    UNKNOWN = "unknown"
    NO_SUCH_JOB = "no_such_job"
    WAS_CANCELLED = "was_cancelled"
    UNAVAILABLE = "unavailable"
    INVALID = "invalid"


class JobIntake:
    """Accepts jobs into the ledger, and reports and cancels them.

    A job counts as accepted only when the store has acknowledged its append. While an
    append of this node has no outcome, the node knows neither that the job exists nor
    that it does not.

    :param record_bytes: maximum size of a record in the store
    """

    def __init__(
        self, follower: LedgerFollower, appender: Appender, record_bytes: int
    ) -> None:
        """Serve jobs from the follower's ledger; none is accepted yet."""
        self._follower = follower
        self._appender = appender
        self._record_bytes = record_bytes
        self.first_attempts = FirstAttempts(follower, appender)
        self._pending: dict[JobId, asyncio.Task[IntakeOutcome]] = {}
        self._accepted: dict[JobId, JobSpec] = {}
        self._unresolved: dict[JobId, float] = {}
        self._cancelled: dict[JobId, float] = {}

    async def submit(
        self, spec: JobSpec, deadline: float
    ) -> IntakeOutcome | Rejection | Overload | TooLarge:
        """Store a job; a repeated id shares the outcome of the first submission.

        :param deadline: boot-time clock by which the caller needs the outcome
        """
        if self._is_known(spec.job):
            return IntakeOutcome.ACCEPTED
        if self._was_cancelled(spec.job):
            fields = {"job": spec.job, "queue": spec.queue, "workspace": spec.workspace}
            emit(JOB_REFUSED, **fields, reason="the id was cancelled before")
            return IntakeOutcome.WAS_CANCELLED
        first_ms = self.first_attempts.first_ms(spec.job, spec.accepted_ms)
        spec = replace(spec, first_attempt_ms=first_ms)
        size = record_size(*encode(spec))
        if size > self._record_bytes:
            fields = {"job": spec.job, "queue": spec.queue, "workspace": spec.workspace}
            reason = f"its record of {size} bytes exceeds {self._record_bytes}"
            emit(JOB_REFUSED, **fields, reason=reason)
            return TooLarge(size, self._record_bytes)
        task = self._pending.get(spec.job)
        if task is None and not self._is_unresolved(spec.job):
            rejection = await self._check_admission(spec)
            if rejection is not None:
                return rejection
            task = self._pending.get(spec.job)
        if task is None:
            task = asyncio.ensure_future(self._append_job(spec, deadline))
            self._pending[spec.job] = task
            task.add_done_callback(lambda _: self._pending.pop(spec.job, None))
        return await asyncio.shield(task)

    async def _check_admission(self, spec: JobSpec) -> Rejection | Overload | None:
        """Return a rejection if a job can't be served and no node has accepted it."""
        overload = self._check_open_work(spec)
        age_s = clock.monotonic() - self._follower.backlog_received_at
        wait_ms = self._follower.ledger.backlog.waits.get(spec.service, 0)
        after_s = retry_after_s(spec, wait_ms) if age_s < BACKLOG_MAX_AGE_S else 0
        if overload is None and not after_s:
            return None
        try:
            await self._follower.catch_up()
        except StoreUnavailableError:
            return None
        if self._is_known(spec.job) or spec.job in self._pending:
            return None
        self.first_attempts.remember(spec.job, spec.attempted_ms)
        fields = {"job": spec.job, "queue": spec.queue, "workspace": spec.workspace}
        if overload is not None:
            reason = "too much work is open"
            emit(JOB_REFUSED, **fields, reason=reason, **overload._asdict())
            return overload
        emit(
            JOB_REFUSED,
            **fields,
            reason="the job can't be served in time",
            wait_ms=wait_ms,
            wait_age_s=round(age_s, 2),
            retry_after_s=after_s,
        )
        return Rejection(after_s, spec.service, wait_ms)

    def _check_open_work(self, spec: JobSpec) -> Overload | None:
        """Return a rejection if a workspace has more open than its part of the limit.

        Others are not refused for it. Jobs that the ledger does not contain yet count.
        """
        sizes = self._follower.ledger.open_sizes
        unread = [s for s in self._accepted.values() if s.workspace == spec.workspace]
        own = sizes[spec.workspace] + sum(map(job_size, unread)) + job_size(spec)
        total = sizes.total() - sizes[spec.workspace] + own
        limit = MAX_OPEN_SIZE // max(1, len(sizes.keys() | {spec.workspace}))
        if total <= MAX_OPEN_SIZE or own <= limit:
            return None
        return Overload(OVERLOAD_RETRY_S, own, limit)

    def close(self) -> None:
        """Store nothing more; what waits for the store gets its outcome now."""
        self._appender.close()

    def _was_cancelled(self, job: JobId) -> bool:
        """Return whether a job was cancelled before the ledger contained it."""
        if self._cancelled.get(job, 0.0) > clock.monotonic():
            return True
        entry = self._follower.ledger.jobs.get(job)
        return entry is not None and entry.spec is None and entry.cancelled is not None

    def _is_unresolved(self, job: JobId) -> bool:
        """Return whether an append of a job may still be carried out."""
        unresolved_until = self._unresolved.get(job, 0.0)
        return job in self._pending or unresolved_until > clock.monotonic()

    def _is_known(self, job: JobId) -> bool:
        return (
            job in self._accepted
            or self._follower.ledger.accepted_entry(job) is not None
        )

    async def _append_job(self, spec: JobSpec, deadline: float) -> IntakeOutcome:
        started_at = clock.monotonic()
        record = KeyedRecord(*encode(spec))
        fields = {"job": spec.job, "queue": spec.queue, "workspace": spec.workspace}
        try:
            await self._appender.append(record, deadline)
        except StoreRejectedError as exc:
            emit(JOB_REFUSED, **fields, reason=str(exc))
            return IntakeOutcome.INVALID
        except StoreUnavailableError as exc:
            if self._unresolved.get(spec.job, 0.0) > clock.monotonic():
                # An earlier append of the same job may still be carried out.
                emit(JOB_OUTCOME_UNKNOWN, **fields, reason=str(exc))
                return IntakeOutcome.UNKNOWN
            emit(JOB_REFUSED, **fields, reason=str(exc))
            return IntakeOutcome.NOT_ACCEPTED
        except StoreUnknownError as exc:
            _remember(self._unresolved, spec.job)
            emit(JOB_OUTCOME_UNKNOWN, **fields, reason=str(exc))
            return IntakeOutcome.UNKNOWN
        except asyncio.CancelledError:
            _remember(self._unresolved, spec.job)
            raise
        self._unresolved.pop(spec.job, None)
        took_ms = round((clock.monotonic() - started_at) * 1000, 1)
        self._accepted[spec.job] = spec
        waited_ms = spec.accepted_ms - spec.attempted_ms
        emit(JOB_ACCEPTED, **fields, append_ms=took_ms, refused_ms=waited_ms)
        return IntakeOutcome.ACCEPTED

    def forget_accepted(self, job: JobId) -> None:
        """Drop the local entry of an accepted job that the ledger now contains."""
        self._accepted.pop(job, None)

    async def find(self, job: JobId) -> JobEntry | IntakeOutcome:
        """Return the entry of a job.

        ``NO_SUCH_JOB`` is returned only after reading to the end of the ledger, and
        while no append of this node may still add the job.
        """
        entry = self._lookup(job)
        if entry is not None:
            return entry
        try:
            await self._follower.catch_up()
        except StoreUnavailableError:
            return IntakeOutcome.UNAVAILABLE
        entry = self._lookup(job)
        if entry is not None:
            return entry
        unresolved = self._is_unresolved(job)
        return IntakeOutcome.UNAVAILABLE if unresolved else IntakeOutcome.NO_SUCH_JOB

    def _lookup(self, job: JobId) -> JobEntry | None:
        entry = self._follower.ledger.accepted_entry(job)
        if entry is None and job in self._accepted:
            return JobEntry(spec=self._accepted[job])
        return entry

    async def cancel(self, job: JobId, deadline: float) -> IntakeOutcome:
        """Append the cancellation of a job, unless the job has ended.

        The cancellation of a job that the ledger lacks is stored as well: an append of
        any node, or of an earlier process, may still be carried out, and the job must
        not run then.

        :returns: ``ACCEPTED`` if the job exists or may come to exist, ``NO_SUCH_JOB``
            if the ledger lacks it; in both cases it never runs from now on
        """
        unresolved = self._is_unresolved(job)
        found = self._lookup(job)
        if found is None:
            try:
                await self._follower.catch_up()
            except StoreUnavailableError:
                return IntakeOutcome.UNAVAILABLE
            found = self._lookup(job)
        if found is not None and found.state.final:
            return IntakeOutcome.ACCEPTED
        if found is None and self._was_cancelled(job):
            return IntakeOutcome.NO_SUCH_JOB
        record = Cancellation(job, round(clock.wall() * 1000))
        try:
            await self._appender.append(KeyedRecord(*encode(record)), deadline)
        except StoreUnavailableError:
            return IntakeOutcome.UNAVAILABLE
        except StoreUnknownError:
            return IntakeOutcome.UNKNOWN
        if found is None:
            _remember(self._cancelled, job)
        known = found is not None or unresolved
        emit(JOB_CANCELLED, job=job, known=known)
        return IntakeOutcome.ACCEPTED if known else IntakeOutcome.NO_SUCH_JOB

    def count_queued(self, queue: QueueName, cfg: Configuration) -> int:
        """Return how many accepted jobs have not started that belong to a queue now."""
        counts = self._follower.ledger.queued.items()
        return sum(
            count
            for accepted_under, count in counts
            if (current := cfg.current_queue(*accepted_under)) is not None
            and current.name == queue
        )


def _remember(jobs: dict[JobId, float], job: JobId) -> None:
    """Add a job for ``UNRESOLVED_S``, and forget those whose time has passed."""
    now = clock.monotonic()
    while jobs and jobs[oldest := next(iter(jobs))] <= now:
        del jobs[oldest]
    jobs.pop(job, None)
    jobs[job] = now + UNRESOLVED_S
