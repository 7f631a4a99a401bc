"""Records of the job ledger in the platform's store, and the ledger built from them.

The ledger is stored in two compacted partitions, which retain the newest record of each
key. The first one contains jobs, cancellations, states and the term; every node reads
it. The second one contains the runs of each job that has not ended, a limited number of
tasks in each record; only the scheduler writes it, and only its successor reads it.
Only the scheduler of the newest term writes states, runs, waves and terms, which the
store enforces by the producer's epoch.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

import msgspec
from msgspec.structs import replace

from primrosepitch.jobs.model import (
    EndpointId,
    JobId,
    JobSpec,
    JobState,
    QueueName,
    ServiceName,
    TaskKey,
    WorkspaceName,
)

__all__ = [
    "Backlog",
    "Cancellation",
    "FirstAttempt",
    "JobEntry",
    "JobStatus",
    "Ledger",
    "NodeAddress",
    "OpenMoves",
    "Progress",
    "RunCrash",
    "SLOW_KEY",
    "RunsPart",
    "SlowEndpoint",
    "SlowEndpoints",
    "StoredRuns",
    "TASKS_PER_RECORD",
    "TaskRecord",
    "Term",
    "WaveProgress",
    "decode_moves",
    "decode_runs",
    "decode_slow_endpoints",
    "job_size",
    "job_tombstones",
    "runs_part_of",
    "runs_tombstone",
    "encode",
    "first_attempt_tombstone",
    "record_size",
]

SPEC_PREFIX = "j/"
CANCEL_PREFIX = "c/"
STATUS_PREFIX = "s/"
FIRST_ATTEMPT_PREFIX = "f/"
RUNS_PREFIX = "r/"
TERM_KEY = "term"
WAVE_PREFIX = "w/"
NODE_PREFIX = "n/"
BACKLOG_KEY = "backlog"
MOVES_KEY = "moves"
SLOW_KEY = "slow"

TASKS_PER_RECORD = 32
"""Number of a job's tasks whose runs are stored in one record. It determines the keys,
so all nodes must use the same."""

KEY_LENGTH_BYTES = 1
"""Size of a record's field for the length of its key."""


class RunCrash(NamedTuple):
    """A run that was lost with its endpoint, which may have crashed.

    :param endpoint: endpoint of the run
    :param born: incarnation of that endpoint
    :param instance: instance of that endpoint, if it was known
    :param others: number of other runs that the endpoint had
    :param listed: whether the endpoint had listed the run as active
    :param proof: what proves that the endpoint has ended; empty if nothing does
    """

    run: int
    endpoint: EndpointId
    born: int
    instance: str = ""
    others: int = 0
    listed: bool = False
    proof: str = ""


class TaskRecord(msgspec.Struct, array_like=True):
    """Stored state of a task that was started at least once.

    :param run: number of the newest run
    :param placed: endpoint of the run that may be in progress; empty if there is none
    :param born: incarnation of that endpoint
    :param failed: numbers of the runs that failed, the newest ones
    :param done: whether a run has succeeded
    :param crashes: runs that were lost with their endpoints and not followed by one
        that survived
    :param failures: number of all runs that failed
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
    crashes: tuple[RunCrash, ...] = ()
    failures: int = 0

    def key(self, job: JobId) -> TaskKey:
        """Return the key of the task within ``job``."""
        return TaskKey(job, self.occurrence, self.step, self.index)


class Progress(msgspec.Struct, omit_defaults=True):
    """States of the started tasks of one part of a job that has not ended.

    :param part: number of the part, of ``TASKS_PER_RECORD`` tasks
    """

    job: JobId
    tasks: list[TaskRecord]
    part: int = 0


class RunsPart(NamedTuple):
    """Part of a job whose runs are stored in one record."""

    job: JobId
    part: int


class StoredRuns(NamedTuple):
    """Runs of a job in the ledger, and the parts that have a record."""

    tasks: list[TaskRecord]
    parts: set[int]


class JobStatus(msgspec.Struct):
    """State of a job as reported to callers.

    :param finished_ms: Unix time of the end; 0 before it
    """

    job: JobId
    state: JobState
    finished_ms: int = 0


class Cancellation(msgspec.Struct):
    """A caller's request to cancel a job.

    :param at_ms: Unix time of the request
    """

    job: JobId
    at_ms: int


class FirstAttempt(msgspec.Struct):
    """Time at which a job was first refused, so that its caller keeps its place.

    Versions that don't know the record ignore its key.

    :param at_ms: Unix time of the first submission
    """

    job: JobId
    at_ms: int


class Term(msgspec.Struct):
    """A node's claim to be the scheduler, or the renewal of a claim.

    :param number: fencing token; each number has one holder
    :param holder: name of the node that schedules; empty if the term was released
    :param nonce: distinguishes claims of the same number by several nodes
    """

    number: int
    holder: str
    nonce: int


class WaveProgress(msgspec.Struct, omit_defaults=True):
    """Progress of a maintenance wave.

    :param begun: instances whose maintenance has begun
    :param ordered: instances whose maintenance order may take effect at any time
    :param seen: instances that were listed or had an endpoint
    :param gone: instances that had left the platform when the wave was completed
    """

    wave: int
    begun: list[str]
    ordered: list[str] = []
    seen: list[str] = []
    gone: list[str] = []


class OpenMoves(msgspec.Struct):
    """Orders to move instances that may take effect at any time.

    :param pools: pool to which each instance is moved
    """

    pools: dict[str, ServiceName]


class SlowEndpoint(NamedTuple):
    """An endpoint that counts as slow, see ``scheduling/endpoint_speed.py``.

    :param born: incarnation of the endpoint
    :param evidence: hundredths of the evidence from ended runs
    :param forget_ms: Unix time at which the evidence is forgotten
    """

    born: int
    evidence: int
    forget_ms: int


class SlowEndpoints(msgspec.Struct):
    """Endpoints that run work several times slower than others."""

    endpoints: dict[EndpointId, SlowEndpoint]


class Backlog(msgspec.Struct):
    """Queueing delays that the scheduler publishes to the nodes that accept jobs.

    :param waits: minimum wait of a new job in ms, by pool; pools with a short wait are
        left out
    """

    waits: dict[ServiceName, int]


class NodeAddress(msgspec.Struct):
    """Address at which a node serves the other nodes.

    :param address: ``IP:PORT``
    :param cores: processor time available to the node; 0 if it is not known
    """

    name: str
    address: str
    cores: float = 0.0


Record = (
    JobSpec
    | Cancellation
    | FirstAttempt
    | JobStatus
    | Progress
    | Term
    | WaveProgress
    | OpenMoves
    | SlowEndpoints
    | NodeAddress
    | Backlog
)


def record_key(record: Record) -> str:
    """Return the key under which a record is stored."""
    if isinstance(record, Term):
        return TERM_KEY
    if isinstance(record, WaveProgress):
        return f"{WAVE_PREFIX}{record.wave}"
    if isinstance(record, Backlog):
        return BACKLOG_KEY
    if isinstance(record, OpenMoves):
        return MOVES_KEY
    if isinstance(record, SlowEndpoints):
        return SLOW_KEY
    if isinstance(record, NodeAddress):
        return NODE_PREFIX + record.name
    if isinstance(record, Progress):
        return _runs_key(record.job, record.part)
    return _PREFIXES[type(record)] + record.job


_PREFIXES: dict[type, str] = {
    JobSpec: SPEC_PREFIX,
    Cancellation: CANCEL_PREFIX,
    FirstAttempt: FIRST_ATTEMPT_PREFIX,
    JobStatus: STATUS_PREFIX,
}


def _runs_key(job: JobId, part: int) -> str:
    return f"{RUNS_PREFIX}{job}/{part}" if part else RUNS_PREFIX + job


def encode(record: Record) -> tuple[str, bytes]:
    """Encode a record as its key and value in the store."""
    return record_key(record), msgspec.msgpack.encode(record)


def record_size(key: str, value: bytes) -> int:
    """Return the size that counts towards the store's limit on a record, in bytes."""
    return KEY_LENGTH_BYTES + len(key.encode()) + len(value)


def job_tombstones(job: JobId) -> list[tuple[str, bytes]]:
    """Return the empty records (tombstones) that remove a job from the ledger."""
    return [
        (prefix + job, b"") for prefix in (SPEC_PREFIX, CANCEL_PREFIX, STATUS_PREFIX)
    ]


def first_attempt_tombstone(job: JobId) -> tuple[str, bytes]:
    """Return the empty record (tombstone) that removes a job's first attempt."""
    return (FIRST_ATTEMPT_PREFIX + job, b"")


def runs_part_of(key: str) -> RunsPart | None:
    """Return the part of a job whose runs a record has, or ``None`` for other keys."""
    if not key.startswith(RUNS_PREFIX):
        return None
    job, _, part = key[len(RUNS_PREFIX) :].partition("/")
    return RunsPart(JobId(job), int(part or 0))


def runs_tombstone(runs: RunsPart) -> tuple[str, bytes]:
    """Return the empty record (tombstone) that removes a part of a job's runs."""
    return (_runs_key(runs.job, runs.part), b"")


def decode_runs(records: Iterable[tuple[str, bytes]]) -> dict[JobId, StoredRuns]:
    """Decode the newest records of the runs partition, by job.

    An earlier version stored all tasks of a job in the first part. Records of a later
    part are newer than what that one says of the same tasks.

    :raises msgspec.DecodeError: if a record can't be decoded
    """
    decoded: list[Progress] = [
        _decode(value, Progress)
        for key, value in records
        if key.startswith(RUNS_PREFIX)
    ]
    tasks: dict[JobId, dict[TaskKey, TaskRecord]] = {}
    parts: dict[JobId, set[int]] = {}
    for progress in sorted(decoded, key=lambda p: p.part):
        newest = tasks.setdefault(progress.job, {})
        newest.update({task.key(progress.job): task for task in progress.tasks})
        parts.setdefault(progress.job, set()).add(progress.part)
    return {job: StoredRuns(list(tasks[job].values()), parts[job]) for job in tasks}


def decode_moves(records: Iterable[tuple[str, bytes]]) -> dict[str, ServiceName]:
    """Decode the orders to move instances in the newest records of the runs partition.

    :raises msgspec.DecodeError: if the record can't be decoded
    """
    values = [value for key, value in records if key == MOVES_KEY]
    moves: OpenMoves = _decode(values[-1], OpenMoves) if values else OpenMoves({})
    return moves.pools


def decode_slow_endpoints(
    records: Iterable[tuple[str, bytes]],
) -> dict[EndpointId, SlowEndpoint]:
    """Decode the slow endpoints in the newest records of the runs partition.

    :raises msgspec.DecodeError: if the record can't be decoded
    """
    values = [value for key, value in records if key == SLOW_KEY]
    slow: SlowEndpoints = (
        _decode(values[-1], SlowEndpoints) if values else SlowEndpoints({})
    )
    return slow.endpoints


JOB_SIZE = 10
"""Size of a job without steps, in steps: the memory of a node for both is alike."""


def job_size(spec: JobSpec) -> int:
    """Return the size of an open job, in steps."""
    return JOB_SIZE + len(spec.steps)


class JobEntry(msgspec.Struct):
    """Records of one job in the ledger; they may arrive in any order.

    :param open_size: size with which the ledger counts it as open; 0 if it does not
    :param queued: whether the ledger counts it as queued
    """

    spec: JobSpec | None = None
    cancelled: Cancellation | None = None
    status: JobStatus | None = None
    open_size: int = 0
    queued: bool = False

    @property
    def state(self) -> JobState:
        """Return the state that is reported to callers.

        A final state takes precedence over a cancellation, which takes precedence over
        any other state.
        """
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
    """State of the ledger, built by applying its records in order.

    :ivar open_sizes: sizes of the jobs that have not ended, by workspace
    :ivar queued: number of jobs of which nothing has begun, by the name, host and path
        prefix of the queue under which they were accepted
    """

    def __init__(self) -> None:
        """Create an empty ledger."""
        self.jobs: dict[JobId, JobEntry] = {}
        self.open_sizes: Counter[WorkspaceName] = Counter()
        self.queued: Counter[tuple[QueueName, str, str]] = Counter()
        self.term = Term(0, "", 0)
        self.waves: dict[int, WaveProgress] = {}
        self.nodes: dict[str, NodeAddress] = {}
        self.backlog = Backlog({})
        self.first_attempts: dict[JobId, int] = {}

    def apply(self, key: str, value: bytes) -> Record | None:
        """Apply one record.

        :returns: the decoded record if it changed the ledger, or else ``None``
        :raises msgspec.DecodeError: if the value can't be decoded
        """
        prefix = key if key in (TERM_KEY, BACKLOG_KEY) else key[:2]
        fold = _FOLDS.get(prefix)
        return fold(self, key, value) if fold is not None else None

    def entry(self, job: JobId) -> JobEntry:
        """Return a job's entry, creating it if it is missing."""
        found = self.jobs.get(job)
        if found is None:
            found = self.jobs[job] = JobEntry()
        return found

    def count(self, entry: JobEntry, removed: bool = False) -> None:
        """Count a job as open and queued, as its records say now.

        :param removed: whether its records are removed from the ledger
        """
        spec = entry.spec
        if spec is None:
            return
        state = entry.state
        size = 0 if removed or state.final else job_size(spec)
        queued = state is JobState.QUEUED and not removed
        self.open_sizes[spec.workspace] += size - entry.open_size
        queue = (spec.queue, spec.host, spec.prefix)
        self.queued[queue] += queued - entry.queued
        entry.open_size, entry.queued = size, queued
        if not self.open_sizes[spec.workspace]:
            del self.open_sizes[spec.workspace]
        if not self.queued[queue]:
            del self.queued[queue]

    def largest_node_cores(self) -> float:
        """Return the processor time of the largest node; 0 if no node is known."""
        return max((node.cores for node in self.nodes.values()), default=0.0)

    def accepted_entry(self, job: JobId) -> JobEntry | None:
        """Return a job's entry if its acceptance has been read, or else ``None``."""
        found = self.jobs.get(job)
        return found if found is not None and found.spec is not None else None


def _decode(value: bytes, kind: Any) -> Any:
    return msgspec.msgpack.decode(value, type=kind)


@_folds(SPEC_PREFIX)
def _fold_spec(ledger: Ledger, key: str, value: bytes) -> Record | None:
    if not value:
        removed = ledger.jobs.pop(JobId(key[2:]), None)
        if removed is not None:
            ledger.count(removed, removed=True)
        return None
    spec: JobSpec = _decode(value, JobSpec)
    entry = ledger.entry(spec.job)
    if entry.spec is not None:
        return None
    entry.spec = spec
    ledger.count(entry)
    return spec


@_folds(CANCEL_PREFIX)
def _fold_cancel(ledger: Ledger, key: str, value: bytes) -> Record | None:
    if not value:
        return None
    cancellation: Cancellation = _decode(value, Cancellation)
    entry = ledger.entry(cancellation.job)
    if entry.cancelled is not None:
        return None
    entry.cancelled = cancellation
    ledger.count(entry)
    return cancellation


@_folds(FIRST_ATTEMPT_PREFIX)
def _fold_first_attempt(ledger: Ledger, key: str, value: bytes) -> Record | None:
    if not value:
        ledger.first_attempts.pop(JobId(key[len(FIRST_ATTEMPT_PREFIX) :]), None)
        return None
    attempt: FirstAttempt = _decode(value, FirstAttempt)
    earlier_ms = ledger.first_attempts.get(attempt.job, attempt.at_ms)
    ledger.first_attempts[attempt.job] = min(earlier_ms, attempt.at_ms)
    return attempt


@_folds(STATUS_PREFIX)
def _fold_status(ledger: Ledger, key: str, value: bytes) -> Record | None:
    if not value:
        return None
    status: JobStatus = _decode(value, JobStatus)
    entry = ledger.entry(status.job)
    entry.status = status
    ledger.count(entry)
    return status


@_folds(TERM_KEY)
def _fold_term(ledger: Ledger, key: str, value: bytes) -> Record | None:
    term: Term = _decode(value, Term)
    if term.number > ledger.term.number:
        ledger.term = term
        return term
    if term == replace(ledger.term, holder=""):
        # The holder's release, which a late renewal does not undo.
        ledger.term = term
        return term
    # An equal term is a renewal. Another claim of the same number lost the race.
    return term if term == ledger.term else None


@_folds(WAVE_PREFIX)
def _fold_wave(ledger: Ledger, key: str, value: bytes) -> Record | None:
    progress: WaveProgress = _decode(value, WaveProgress)
    ledger.waves[progress.wave] = progress
    return progress


@_folds(NODE_PREFIX)
def _fold_node(ledger: Ledger, key: str, value: bytes) -> Record | None:
    if not value:
        ledger.nodes.pop(key[len(NODE_PREFIX) :], None)
        return None
    node: NodeAddress = _decode(value, NodeAddress)
    ledger.nodes[node.name] = node
    return node


@_folds(BACKLOG_KEY)
def _fold_backlog(ledger: Ledger, key: str, value: bytes) -> Record | None:
    ledger.backlog = _decode(value, Backlog) if value else Backlog({})
    return ledger.backlog
