"""Records of the job ledger in the platform's store, and their fold.

There are two keyed partitions, in which the newest record of each key lasts. Every node
reads the first one: jobs, cancellations, states, the term. The second one has the runs
of each job that has not ended; only the scheduler writes it, and only the next one
reads it. Only the scheduler of the newest term writes states, runs, waves and terms,
which the store enforces by the producer's epoch.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from primrosepitch.jobs.model import (
    EndpointId,
    JobId,
    JobSpec,
    JobState,
    ServiceName,
    TaskKey,
)

__all__ = [
    "Backlog",
    "Cancellation",
    "JobEntry",
    "JobStatus",
    "Ledger",
    "NodeAddress",
    "Progress",
    "TaskRecord",
    "Term",
    "WaveProgress",
    "decode_runs",
    "job_tombstones",
    "runs_tombstone",
    "encode",
]

SPEC = "j/"
CANCEL = "c/"
STATUS = "s/"
RUNS = "r/"
TERM = "term"
WAVE = "w/"
NODE = "n/"
BACKLOG = "backlog"


class TaskRecord(msgspec.Struct, array_like=True):
    """What lasts of a task that was started at least once.

    :param run: number of the newest start
    :param placed: endpoint of a run that may be going on; empty when none is
    :param born: incarnation of that endpoint
    :param failed: numbers of the runs that ended by a failure
    :param done: whether a run has ended successfully
    """

    occurrence: int
    step: int
    index: int
    run: int = 0
    placed: EndpointId = EndpointId("")
    born: int = 0
    failed: tuple[int, ...] = ()
    done: bool = False
    checkpoint: str = ""

    def key(self, job: JobId) -> TaskKey:
        """Return the task that this is about."""
        return TaskKey(job, self.occurrence, self.step, self.index)


class Progress(msgspec.Struct):
    """Runs of a job that has not ended."""

    job: JobId
    tasks: list[TaskRecord]


class JobStatus(msgspec.Struct):
    """What callers are told of a job.

    :param finished_ms: Unix time of the end; 0 before it
    """

    job: JobId
    state: JobState
    finished_ms: int = 0


class Cancellation(msgspec.Struct):
    """A caller's word that a job is to be stopped.

    :param at_ms: Unix time
    """

    job: JobId
    at_ms: int


class Term(msgspec.Struct):
    """A claim to schedule, or its renewal.

    :param number: fencing token; one holder for each number
    :param holder: name of the node
    :param nonce: tells claims of one number by several nodes apart
    """

    number: int
    holder: str
    nonce: int


class WaveProgress(msgspec.Struct):
    """Instances of a maintenance wave whose maintenance has begun."""

    wave: int
    begun: list[str]


class Backlog(msgspec.Struct):
    """What the scheduler tells the nodes that accept jobs.

    :param waits: least ms that a new job waits in each pool with a notable wait
    """

    waits: dict[ServiceName, int]


class NodeAddress(msgspec.Struct):
    """Where a node answers the other nodes.

    :param address: ``IP:PORT``
    """

    name: str
    address: str


Record = (
    JobSpec
    | Cancellation
    | JobStatus
    | Progress
    | Term
    | WaveProgress
    | NodeAddress
    | Backlog
)


def key_of(record: Record) -> str:
    """Return the key under which a record is kept."""
    if isinstance(record, Term):
        return TERM
    if isinstance(record, WaveProgress):
        return f"{WAVE}{record.wave}"
    if isinstance(record, Backlog):
        return BACKLOG
    if isinstance(record, NodeAddress):
        return NODE + record.name
    return _PREFIXES[type(record)] + record.job


_PREFIXES: dict[type, str] = {
    JobSpec: SPEC,
    Cancellation: CANCEL,
    JobStatus: STATUS,
    Progress: RUNS,
}


def encode(record: Record) -> tuple[str, bytes]:
    """Return the key and the stored value of a record."""
    return key_of(record), msgspec.msgpack.encode(record)


def job_tombstones(job: JobId) -> list[tuple[str, bytes]]:
    """Return the records that remove a job from the ledger."""
    return [(prefix + job, b"") for prefix in (SPEC, CANCEL, STATUS)]


def runs_tombstone(job: JobId) -> tuple[str, bytes]:
    """Return the record that removes a job's runs."""
    return (RUNS + job, b"")


def decode_runs(records: Iterable[tuple[str, bytes]]) -> dict[JobId, Progress]:
    """Return the runs of each job from the newest records of their partition.

    :raises msgspec.DecodeError: if one can't be read
    """
    found = [_decode(value, Progress) for key, value in records if key.startswith(RUNS)]
    return {progress.job: progress for progress in found}


class JobEntry(msgspec.Struct):
    """What the ledger says of one job; parts may come in any order."""

    spec: JobSpec | None = None
    cancelled: Cancellation | None = None
    status: JobStatus | None = None

    @property
    def state(self) -> JobState:
        """Return the state that callers are told."""
        if self.status is not None and self.status.state.final:
            return self.status.state
        if self.cancelled is not None:
            return JobState.CANCELLED
        return self.status.state if self.status is not None else JobState.QUEUED


Fold = Callable[["Ledger", str, bytes], Record | None]
_FOLDS: dict[str, Fold] = {}


def _folds(prefix: str) -> Callable[[Fold], Fold]:
    def register(fold: Fold) -> Fold:
        _FOLDS[prefix] = fold
        return fold

    return register


class Ledger:
    """Fold of the ledger's records."""

    def __init__(self) -> None:
        """Start empty."""
        self.jobs: dict[JobId, JobEntry] = {}
        self.term = Term(0, "", 0)
        self.waves: dict[int, WaveProgress] = {}
        self.nodes: dict[str, str] = {}
        self.backlog = Backlog({})

    def apply(self, key: str, value: bytes) -> Record | None:
        """Fold one record.

        :returns: the record if it changed anything
        :raises msgspec.DecodeError: if the value can't be read
        """
        prefix = key if key in (TERM, BACKLOG) else key[:2]
        fold = _FOLDS.get(prefix)
        return fold(self, key, value) if fold is not None else None

    def entry(self, job: JobId) -> JobEntry:
        """Return a job's entry, made when it is missing."""
        found = self.jobs.get(job)
        if found is None:
            found = self.jobs[job] = JobEntry()
        return found

    def accepted_entry(self, job: JobId) -> JobEntry | None:
        """Return the entry of an accepted job."""
        found = self.jobs.get(job)
        return found if found is not None and found.spec is not None else None


def _decode(value: bytes, kind: Any) -> Any:
    return msgspec.msgpack.decode(value, type=kind)


@_folds(SPEC)
def _fold_spec(ledger: Ledger, key: str, value: bytes) -> Record | None:
    if not value:
        ledger.jobs.pop(JobId(key[2:]), None)
        return None
    spec: JobSpec = _decode(value, JobSpec)
    entry = ledger.entry(spec.job)
    if entry.spec is not None:
        return None
    entry.spec = spec
    return spec


@_folds(CANCEL)
def _fold_cancel(ledger: Ledger, key: str, value: bytes) -> Record | None:
    if not value:
        return None
    cancellation: Cancellation = _decode(value, Cancellation)
    entry = ledger.entry(cancellation.job)
    if entry.cancelled is not None:
        return None
    entry.cancelled = cancellation
    return cancellation


@_folds(STATUS)
def _fold_status(ledger: Ledger, key: str, value: bytes) -> Record | None:
    if not value:
        return None
    status: JobStatus = _decode(value, JobStatus)
    ledger.entry(status.job).status = status
    return status


@_folds(TERM)
def _fold_term(ledger: Ledger, key: str, value: bytes) -> Record | None:
    term: Term = _decode(value, Term)
    if term.number > ledger.term.number:
        ledger.term = term
        return term
    # A renewal of the same claim; another claim of the same number came too late.
    return term if term == ledger.term else None


@_folds(WAVE)
def _fold_wave(ledger: Ledger, key: str, value: bytes) -> Record | None:
    progress: WaveProgress = _decode(value, WaveProgress)
    ledger.waves[progress.wave] = progress
    return progress


@_folds(NODE)
def _fold_node(ledger: Ledger, key: str, value: bytes) -> Record | None:
    if not value:
        ledger.nodes.pop(key[len(NODE) :], None)
        return None
    node: NodeAddress = _decode(value, NodeAddress)
    ledger.nodes[node.name] = node.address
    return node


@_folds(BACKLOG)
def _fold_backlog(ledger: Ledger, key: str, value: bytes) -> Record | None:
    ledger.backlog = _decode(value, Backlog) if value else Backlog({})
    return ledger.backlog
