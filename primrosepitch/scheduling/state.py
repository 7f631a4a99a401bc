"""State of the scheduler's reducer."""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Iterator
from math import inf
from typing import NamedTuple

import msgspec

from primrosepitch.jobs.model import (
    AdviceSpec,
    DataCentreName,
    EndpointId,
    JobId,
    JobSpec,
    JobState,
    QueueName,
    Resources,
    ServiceName,
    StepSpec,
    TaskKey,
    WorkspaceName,
)
from primrosepitch.jobs.records import (
    JobEntry,
    RunCrash,
    RunsPart,
    SlowEndpoint,
    StoredRuns,
    WaveProgress,
)
from primrosepitch.scheduling.configuration import Configuration, WaveSpec
from primrosepitch.scheduling.endpoint_speed import EndpointSpeed, PoolMedian
from primrosepitch.scheduling.events import (
    EndpointReport,
    InstanceState,
    InstanceView,
)
from primrosepitch.scheduling.order_window import OrderWindow
from primrosepitch.scheduling.servability import Servability
from primrosepitch.scheduling.turns import TurnForecast

__all__ = [
    "SMALL_JOB_COUNT",
    "TERM_CONFIRMATION_S",
    "ArrivalRate",
    "Endpoint",
    "InstanceMove",
    "JobRun",
    "LeaseBound",
    "Limits",
    "MeanWork",
    "Phase",
    "PlannedOrder",
    "PlanningPass",
    "ReadyStep",
    "SchedulerState",
    "StepRun",
    "Task",
    "Ticket",
    "WaveRun",
]


SMALL_JOB_COUNT = 100
"""Number of open jobs that a planning pass handles in a few milliseconds."""


TERM_CONFIRMATION_S = 1.0
"""Maximum age of the newest durable renewal for orders to instances. Renewals are sent
every 0.25 s; a successor claims the term after 1.1 s without one, see
``instance_orders`` for when it sends orders to instances."""


class Phase(enum.Enum):
    """Lifecycle phase of a task.

    ``COMMITTING`` tasks wait until their placement is durable, ``STARTING`` ones until
    the endpoint has answered. ``STOPPING`` ones still use their capacity.
    """

    WAITING = "waiting"
    COMMITTING = "committing"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
    DONE = "done"


class LeaseBound(enum.Enum):
    """What determines when the leases of an endpoint have expired."""

    GRANT = "grant"
    RESTART = "restart"
    TAKEOVER = "takeover"


class Task(msgspec.Struct, eq=False, gc=False):
    """One task of a job.

    Times are readings of the boot-time clock.

    :param part: part of its job with whose record its runs are stored
    :param run: number of the newest run
    :param endpoint: endpoint of that run; empty if nothing can be running
    :param rack: rack of that endpoint, if known
    :param born: incarnation of that endpoint
    :param failed: numbers of the runs that failed, the newest ones
    :param failures: number of all runs that failed
    :param at_full_rate: whether the endpoint last reported it at its full rate
    :param progress: percent of its work, or of its full rate if it is lasting
    :param progress_since: time of the last change of ``progress``, or else of the first
        report
    :param last_progress_at: time of the last change of ``progress``
    :param reported_at: time of the newest report of its progress
    :param stall_moves: number of its runs that were stopped on stalled endpoints
    :param slow_moves: number of its runs that were stopped on slow endpoints
    :param ran_on: endpoint of its last run, if that shows the endpoint's speed
    :param ran_s: duration of that run
    :param rate_percent: rate to which a best-effort task is throttled
    :param load: tail latency in ms of a serving task; cpu in use of any other task
    :param phase_since: time at which the phase began
    :param started_at: time at which the run is known to have started or been stopped
    :param unavailable_since: time since which it has not run at its full rate
    :param avoid_endpoint: endpoint on which it failed last
    :param order_tries: number of unanswered or refused start orders; -1 after a
        takeover, if the earlier scheduler may not have sent the order
    :param unanswered: whether a start order for this run remained unanswered
    :param refused_at: time at which a repeat of an unanswered start order was refused,
        or was withheld in an evacuated data centre, or 0
    :param order_pending: whether a start order for this run is under way
    :param stop_pending: whether a stop order for this run is under way
    :param listed: whether a poll of its endpoint has listed this run
    :param near_target_at: last time that a serving task on its endpoint was near its
        latency target
    :param throttled_at: time of the last change of ``rate_percent``
    :param yields: number of its runs that were stopped for a job, see ``yielding``
    :param crashes: runs that were lost with their endpoints, see ``crashes``
    :param lost_run: newest run that counted as lost; 0 if none has
    :param lost_at: time at which it did
    """

    key: TaskKey
    spec: StepSpec
    workspace: WorkspaceName
    part: int = 0
    run: int = 0
    phase: Phase = Phase.WAITING
    endpoint: EndpointId = EndpointId("")
    rack: str = ""
    born: int = 0
    failed: tuple[int, ...] = ()
    failures: int = 0
    checkpoint: str = ""
    at_full_rate: bool = False
    progress: int = 0
    progress_since: float = 0.0
    last_progress_at: float = 0.0
    reported_at: float = 0.0
    stall_moves: int = 0
    slow_moves: int = 0
    ran_on: EndpointId = EndpointId("")
    ran_s: float = 0.0
    rate_percent: int = 100
    load: float = 0.0
    phase_since: float = 0.0
    started_at: float = 0.0
    unavailable_since: float = 0.0
    avoid_endpoint: EndpointId = EndpointId("")
    order_tries: int = 0
    unanswered: bool = False
    refused_at: float = 0.0
    order_pending: bool = False
    stop_pending: bool = False
    listed: bool = False
    near_target_at: float = 0.0
    throttled_at: float = 0.0
    yields: int = 0
    crashes: tuple[RunCrash, ...] = ()
    lost_run: int = 0
    lost_at: float = 0.0

    @property
    def stored_in(self) -> RunsPart:
        """Return the part of its job with whose record its runs are stored."""
        return RunsPart(self.key.job, self.part)

    @property
    def placed(self) -> bool:
        """Return whether capacity of an endpoint is reserved for the task."""
        return self.phase not in (Phase.WAITING, Phase.DONE)


class StepRun(msgspec.Struct, eq=False, gc=False):
    """One step of one occurrence of a job.

    A task is created when it is about to start, see ``expansion``. Tasks and
    dependencies that are done stay so, and are not looked at again.

    :param tasks: tasks created so far, which are the first ones of the step
    :param waiting: those that wait, by index
    :param ready_at: boot-time clock at which its dependencies were found to be done
    :param refusals: number of its starts that were refused in succession
    :param not_before: boot-time clock before which no task of it is placed again
    :param done_tasks: number of tasks, from the first, that are known to be done
    :param done_dependencies: number of dependencies, from the first, known to be done
    """

    spec: StepSpec
    tasks: list[Task] = msgspec.field(default_factory=list)
    waiting: dict[int, Task] = msgspec.field(default_factory=dict)
    ready_at: float = 0.0
    refusals: int = 0
    not_before: float = 0.0
    done_tasks: int = 0
    done_dependencies: int = 0

    @property
    def uncreated(self) -> int:
        """Return how many tasks have not been created yet; they all wait."""
        return self.spec.tasks - len(self.tasks)

    @property
    def done(self) -> bool:
        """Return whether all tasks have succeeded."""
        tasks, count = self.tasks, self.done_tasks
        while count < len(tasks) and tasks[count].phase is Phase.DONE:
            count += 1
        self.done_tasks = count
        return count == self.spec.tasks

    def may_begin(self, steps: list[StepRun]) -> bool:
        """Return whether the steps on which this one depends are done.

        :param steps: steps of the same occurrence
        """
        after, count = self.spec.after, self.done_dependencies
        while count < len(after) and steps[after[count]].done:
            count += 1
        self.done_dependencies = count
        return count == len(after)


class JobRun(msgspec.Struct, eq=False):
    """A job that has not ended.

    :param lasting: whether any of its steps runs until the job is cancelled
    :param min_endpoints: number of endpoints over which each of its steps can be spread
    :param steps: steps by occurrence, for the occurrences that were opened
    :param next_occurrence: first occurrence that may not have been opened yet
    :param ready: steps that may begin and have waiting tasks, by occurrence and number;
        those whose tasks have all been placed are removed when they are next looked at
    :param ready_count: number of these steps
    :param dependents: numbers of the steps that depend on each step
    :param unservable: numbers of the steps that no known endpoint can run, and of those
        that depend on them
    :param servability_epoch: state of the known endpoints and of the configuration that
        this and ``advice`` were computed from
    :param advice: advice that its starts need; ``None`` if they need none
    :param demand_until: boot-time clock until which its starts need tickets, since an
        endpoint has refused one without; infinite once one with a ticket was carried
        out
    :param placed: tasks for which capacity of an endpoint is reserved
    :param to_stop: those of a cancelled or failing job that are still to be stopped
    :param parts: tasks created so far, by the part with whose record their runs are
        stored
    :param first_ordinals: ordinal of each step's first task within an occurrence
    :param stored_parts: parts that have a record, or will have one
    :param failing: whether a task has used up its attempts, or its runs can't be stored
    :param unstorable: whether the store rejects a record of its runs
    :param critical_path_ms: estimated duration of the longest chain of steps
    :param remaining_paths_ms: that of the longest chain that starts with each step
    :param has_gang: whether the tasks of any step start together
    :param done_occurrences: number of occurrences, from the first, known to be done
    :param done_steps: number of steps of the next one, from the first, known to be done
    :param done_in: number of steps that are done in each occurrence
    :param deadline_ms: Unix time by which the latency objective is met
    :param unplaceable: whether it was logged that a task fits no endpoint
    :param over_share: whether the job exceeds its workspace's share
    :param work: estimated work of an occurrence, without unservable steps, in
        thousandths of a core times ms
    :param done_work: that of the tasks that are done, in all occurrences
    """

    spec: JobSpec
    lasting: bool = False
    min_endpoints: int = 1
    steps: dict[int, list[StepRun]] = msgspec.field(default_factory=dict)
    next_occurrence: int = 0
    ready: dict[int, dict[int, StepRun]] = msgspec.field(default_factory=dict)
    ready_count: int = 0
    dependents: dict[int, list[int]] = msgspec.field(default_factory=dict)
    unservable: frozenset[int] = frozenset()
    servability_epoch: int = -1
    advice: AdviceSpec | None = None
    demand_until: float = 0.0
    placed: dict[TaskKey, Task] = msgspec.field(default_factory=dict)
    to_stop: dict[TaskKey, Task] = msgspec.field(default_factory=dict)
    parts: dict[int, list[Task]] = msgspec.field(default_factory=dict)
    first_ordinals: tuple[int, ...] = ()
    stored_parts: set[int] = msgspec.field(default_factory=set)
    state: JobState = JobState.QUEUED
    cancelled: bool = False
    failing: bool = False
    unstorable: bool = False
    critical_path_ms: int = 0
    remaining_paths_ms: tuple[int, ...] = ()
    has_gang: bool = False
    done_occurrences: int = 0
    done_steps: int = 0
    done_in: dict[int, int] = msgspec.field(default_factory=dict)
    deadline_ms: float = 0.0
    unplaceable: bool = False
    over_share: bool = False
    work: int = 0
    done_work: int = 0

    @property
    def ending(self) -> bool:
        """Return whether its tasks are stopped, and no further ones start."""
        return self.cancelled or self.failing

    @property
    def complete(self) -> bool:
        """Return whether all steps of all occurrences are done."""
        while self.done_occurrences < self.spec.occurrences:
            steps = self.steps.get(self.done_occurrences, [])
            while self.done_steps < len(steps) and steps[self.done_steps].done:
                self.done_steps += 1
            if not steps or self.done_steps < len(steps):
                return False
            self.done_occurrences += 1
            self.done_steps = 0
        return True

    def tasks(self) -> list[Task]:
        """Return the tasks that were created so far."""
        return [
            task
            for steps in self.steps.values()
            for step in steps
            for task in step.tasks
        ]


class ReadyStep(NamedTuple):
    """Tasks of one step that may start.

    :param rank: sort key; lower ranks get capacity first
    :param occurrence: number of the occurrence
    :param number: index of the step in its job
    :param tasks: waiting tasks that were created
    :param uncreated: number of further waiting tasks
    """

    rank: tuple[float, ...]
    job: JobRun
    step: StepRun
    occurrence: int
    number: int
    tasks: list[Task]
    uncreated: int = 0

    @property
    def key(self) -> tuple[JobId, int, int]:
        """Return the job, occurrence and number of the step."""
        return self.job.spec.job, self.occurrence, self.number

    @property
    def task_count(self) -> int:
        """Return the number of waiting tasks."""
        return len(self.tasks) + self.uncreated


class PlanningPass(msgspec.Struct, eq=False):
    """A planning pass, which is cut into slices so that none holds the loop for long.

    :param jobs: jobs whose steps have not been ranked yet, the next one last
    :param after_change: whether anything has changed that it may be due to
    :param ranked: ranked steps, sorted within each slice
    :param turns: number of passes in which the ready steps of each job are ranked
    :param order: all of them by rank, from the next one to be placed
    :param waiting: steps that were left waiting, by rank
    """

    jobs: list[JobRun]
    after_change: bool = True
    ranked: list[list[ReadyStep]] = msgspec.field(default_factory=list)
    turns: int = 0
    order: Iterator[ReadyStep] | None = None
    waiting: list[ReadyStep] = msgspec.field(default_factory=list)

    @property
    def sliced(self) -> bool:
        """Return whether the state may have changed since steps were ranked."""
        return len(self.ranked) > 1


class Endpoint(msgspec.Struct, eq=False):
    """Scheduler's view of an endpoint.

    :param announced: newest report of an incarnation that no answer has shown
    :param in_doubt_since: boot-time clock at which that report was read; 0 once a poll
        that was sent later has been answered
    :param listed: whether the store has its report
    :param contacted: whether it answered a poll in this term
    :param reachable: whether it answered the newest poll
    :param clock_ms: newest reading of its clock
    :param clock_read_at: boot-time clock of that reading
    :param leases_expire_at: boot-time clock by which all its leases have expired
    :param lease_bound: what that time follows from
    :param granted_at: boot-time clock of the newest grant of a lease
    :param lease_until_ms: newest end of a lease granted to it, on its own clock
    :param processed_end: number of the newest run end applied to the state
    :param unstored_ends: applied ends that are not acknowledged, each with the part of
        its job that it changed
    :param acked_end: number of the newest run end whose effect is durable
    :param discarded_end: value of ``acked_end`` that the endpoint has taken note of
    :param poll_connection: number of the connection that carried the newest answer to a
        poll; 0 if it may have been closed
    :param polling: whether a poll is in progress
    :param next_poll_at: boot-time clock of the next poll
    :param failed_polls: polls that failed in succession
    :param window: answers to its start orders, which limit those under way
    :param starts_left: starts that the present planning pass may still decide on here
    :param cold_since: boot-time clock at which it was first found to be cold; 0 if it
        is warm
    :param cpu_limit: processor capacity that it may use while it is cold; infinite if
        it is warm
    :param room_kept: whether its free capacity is kept for a job in time
    :param used: capacity reserved for its tasks
    :param stopping: capacity of runs that are being stopped although their tasks are
        done, and the boot-time clock from which a poll that doesn't list them proves
        their end
    :param evacuation_reason: reason for which it is drained: it gets no new tasks and
        its tasks are moved away; empty if it is not
    :param fault_score: recent failures, reduced by successes
    :param last_fault_at: boot-time clock of the newest of these failures
    :param ejected_until: boot-time clock until which it gets no tasks
    :param speed: evidence on how fast it is
    :param unlisted_at: boot-time clock at which its report was last removed
    :param idle_since: boot-time clock since which it has no tasks
    :param lost_at: boot-time clock at which it was noticed that the endpoint did not
        answer any more or had restarted; 0 if neither was
    """

    report: EndpointReport
    announced: EndpointReport | None = None
    in_doubt_since: float = 0.0
    listed: bool = True
    contacted: bool = False
    reachable: bool = False
    clock_ms: int = 0
    clock_read_at: float = 0.0
    leases_expire_at: float = 0.0
    lease_bound: LeaseBound = LeaseBound.GRANT
    granted_at: float = 0.0
    lease_until_ms: int = 0
    processed_end: int = 0
    unstored_ends: list[tuple[int, RunsPart]] = msgspec.field(default_factory=list)
    acked_end: int = 0
    discarded_end: int = 0
    poll_connection: int = 0
    polling: bool = False
    next_poll_at: float = 0.0
    failed_polls: int = 0
    window: OrderWindow = msgspec.field(default_factory=OrderWindow)
    cold_since: float = 0.0
    cpu_limit: float = inf
    starts_left: int = 0
    room_kept: bool = False
    used: Resources = Resources()
    tasks: dict[TaskKey, Task] = msgspec.field(default_factory=dict)
    stopping: dict[TaskKey, tuple[Resources, float]] = msgspec.field(
        default_factory=dict
    )
    evacuation_reason: str = ""
    fault_score: float = 0.0
    last_fault_at: float = 0.0
    ejected_until: float = 0.0
    speed: EndpointSpeed = msgspec.field(default_factory=EndpointSpeed)
    unlisted_at: float = 0.0
    idle_since: float = 0.0
    lost_at: float = 0.0

    @property
    def id(self) -> EndpointId:
        """Return the endpoint's id."""
        return self.report.endpoint

    @property
    def rack(self) -> str:
        """Return the label of its rack, or an empty string."""
        return self.report.labels[1] if len(self.report.labels) > 1 else ""

    @property
    def has_lasting(self) -> bool:
        """Return whether a lasting task is placed here."""
        return any(task.spec.lasting for task in self.tasks.values())

    def free(self) -> Resources:
        """Return the capacity that is not reserved for a task."""
        return self.report.capacity.subtract(self.used)

    def has_room(self, needs: Resources) -> bool:
        """Return whether ``needs`` fits into the free capacity."""
        capacity, used = self.report.capacity, self.used
        return (
            used.cpu + needs.cpu <= capacity.cpu
            and used.memory + needs.memory <= capacity.memory
            and used.gpu + needs.gpu <= capacity.gpu
        )

    def extend_expiry(self, expires_at: float, bound: LeaseBound) -> None:
        """Raise the time by which all leases have expired; it is never lowered."""
        if expires_at > self.leases_expire_at:
            self.leases_expire_at, self.lease_bound = expires_at, bound

    def reserve_stopping(self, task: Task, since: float) -> None:
        """Reserve the capacity of a run that is being stopped, see ``stopping``."""
        self.stopping[task.key] = (task.spec.needs, since)
        self.used = self.used.add(task.spec.needs)

    def release_stopping(self, task: TaskKey) -> None:
        """Release the capacity of a run that has been stopped."""
        self.used = self.used.subtract(self.stopping.pop(task)[0])

    @property
    def overcommitted(self) -> bool:
        """Return whether more is reserved than the capacity, which may have shrunk."""
        return not self.used.fits(self.report.capacity)


class Ticket(NamedTuple):
    """Permission of the advice service to run a step on an endpoint."""

    text: str
    valid_until: float


class WaveRun(msgspec.Struct, eq=False):
    """Progress of a maintenance wave.

    :param requested_at: boot-time clock at which it was read; what shows that an
        instance is gone has to begin later
    :param begun: instances whose maintenance has begun
    :param seen: instances that were listed or had an endpoint
    :param absent: number of lists in succession that lacked an instance
    :param refusals: number of its orders in succession that an instance refused
    :param not_before: boot-time clock before which a refused order is not repeated
    :param gone: instances that had left the platform when it was completed
    :param down_until: boot-time clock until which an instance counts as down
    :param ordered: instances whose maintenance order has not been answered, or is about
        to be sent
    :param uncertain: instances whose order was sent and not answered, so that their
        maintenance may have begun or may still begin
    :param repeat: instances whose order is to be sent again
    :param selected: instances that are drained for maintenance
    :param dirty: whether what is stored of it has changes that are not committed
    """

    spec: WaveSpec
    requested_at: float = 0.0
    begun: set[str] = msgspec.field(default_factory=set)
    seen: set[str] = msgspec.field(default_factory=set)
    absent: Counter[str] = msgspec.field(default_factory=Counter)
    refusals: Counter[str] = msgspec.field(default_factory=Counter)
    not_before: dict[str, float] = msgspec.field(default_factory=dict)
    gone: set[str] = msgspec.field(default_factory=set)
    down_until: dict[str, float] = msgspec.field(default_factory=dict)
    ordered: set[str] = msgspec.field(default_factory=set)
    uncertain: set[str] = msgspec.field(default_factory=set)
    repeat: set[str] = msgspec.field(default_factory=set)
    selected: set[str] = msgspec.field(default_factory=set)
    status: str = ""
    dirty: bool = False


class InstanceMove(msgspec.Struct, eq=False):
    """Move of an instance to another pool.

    :param expected_by: boot-time clock until which its endpoint is expected to join
    :param uncertain: whether an order was sent and not answered, so that the move may
        have begun or may still begin
    :param repeat: whether the order is to be sent again
    :param ends_at: boot-time clock at which a move whose order was carried out has
        ended; infinite before
    """

    pool: ServiceName
    expected_by: float
    uncertain: bool = False
    repeat: bool = False
    ends_at: float = inf

    @property
    def open(self) -> bool:
        """Return whether its order may still take effect."""
        return self.ends_at == inf


class PlannedOrder(NamedTuple):
    """An order to an instance that is sent once the intention is durable.

    :param wave: wave of a maintenance; ``None`` for a move to another pool
    """

    instance: str
    wave: int | None = None


class ArrivalRate(msgspec.Struct, eq=False):
    """Exponentially decaying arrival rate of a pool's work, for one time constant.

    :param updated_at: boot-time clock up to which the figures have decayed
    :param rate: work that arrives, in thousandths of a core
    :param jobs: number of jobs that make up the rate
    """

    updated_at: float
    rate: float = 0.0
    jobs: float = 0.0


class MeanWork(msgspec.Struct, eq=False):
    """Mean work of a queue's jobs, in thousandths of a core times ms.

    :param jobs: number of jobs in the mean
    """

    jobs: float = 0.0
    work: float = 0.0


class Limits(msgspec.Struct, frozen=True):
    """Parameters of the deployment that the scheduler must respect.

    :param lease_s: duration of the leases that a poll extends
    :param max_lease_s: duration to which endpoints shorten longer leases
    :param clock_error: largest fraction by which an endpoint's clock may run slow
    :param migration_s: duration of an instance's move to another pool
    :param maintenance_s: duration of an instance's maintenance
    :param instance_lease_s: time after a takeover in which no maintenance is ordered
    :param status_s: time for which the state of an ended job must be kept
    :param fencing_required: whether orders to instances with an outdated fencing token
        are refused
    :param record_bytes: maximum size of a record in the store
    """

    lease_s: float = 3.8
    max_lease_s: float = 6.0
    clock_error: float = 0.02
    migration_s: float = 1.5
    maintenance_s: float = 2.0
    instance_lease_s: float = 3.0
    status_s: float = 120.0
    fencing_required: bool = True
    record_bytes: int = 262_144


class SchedulerState(msgspec.Struct, eq=False):
    """Complete input of the scheduler's decisions.

    :param term: fencing token; 0 while another node schedules
    :param ranking: name of the ranking of waiting steps, see ``RANKINGS``
    :param learns_speeds: whether slow endpoints are looked for
    :param speed_medians: median duration of runs by their estimates, by pool
    :param speeds_assessed_at: boot-time clock of the last look for slow endpoints
    :param stored_slow: slow endpoints in the ledger
    :param next_speeds_at: boot-time clock from which they may be stored again
    :param now: boot-time clock of the newest event
    :param wall_ms: Unix time of the newest tick
    :param term_started_at: boot-time clock at which the term was acquired
    :param former_limits: upper limits of workspaces that the configuration lacks
    :param newest_endpoint: newest endpoint of each instance
    :param outlived_runs: number of runs that were listed as active after they had
        counted as lost
    :param duplicate_runs: runs that still count against upper limits while a duplicate
        runs elsewhere, and the boot-time clock until which they do
    :param unattached: tasks that the ledger places on endpoints without a report yet
    :param crashed_tasks: tasks under which endpoints may have crashed
    :param reserved_since: boot-time clock since which endpoints are reserved for tasks
        that must start alone
    :param prior_leases_until: boot-time clock until which runs of an earlier term may
        continue on endpoints that have not answered
    :param prior_orders_until: boot-time clock until which orders of an earlier term may
        reach instances
    :param commits: number of commits so far
    :param replan: whether a planning pass is due without waiting for the idle interval
    :param ticked_at: boot-time clock of the newest tick
    :param tick_gap_s: time between the newest two ticks
    :param planning: planning pass that is under way
    :param turns_left: number of passes until each step has been looked at since the
        newest change
    :param sliced_at: boot-time clock of the newest slice of a planning pass
    :param reviewed_at: boot-time clock at which leases and orders were last reviewed
    :param servability: what the known endpoints could run
    :param pass_cut_short: whether the newest planning pass left waiting tasks to the
        next one
    :param passed_over: lasting and best-effort steps that the newest planning pass left
        waiting, and what stopped it
    :param waits_logged_at: boot-time clock at which the waits of such steps were last
        examined for the log
    :param yielded_at: boot-time clock at which the yielding of best-effort tasks was
        last decided on
    :param waits: estimated waits by pool, as last published to the other nodes
    :param waits_sent_at: boot-time clock of that publication
    :param evacuated: data centres in which no task may start, see ``evacuation``
    :param evacuations_logged_at: boot-time clock at which their state was last logged
    :param listing_pending: whether a listing of the instances is in progress
    :param listing_began_at: boot-time clock at which the newest listing was requested
    :param instances_changed: boot-time clock of the newest answer to an order that has
        changed the state of an instance
    :param listing_complete: whether every instance of the newest list could be read
    :param moves: moves that have been ordered, by instance
    :param immovable: pairs of instance and pool whose move was refused
    :param turns: turns of the queues, and the prediction of the next one
    :param share_tokens: jobs that each workspace may still submit within its share, and
        the Unix time in ms of that count
    :param queue_work: mean work of each queue's jobs
    :param advice_requested: endpoints of which advice on a step has been received
    :param advice_pending: steps with a request for advice in progress
    :param advice_failed: steps whose newest request for advice was not answered
    :param dirty_runs: parts of jobs whose runs have uncommitted changes, oldest first
    :param changed_jobs: jobs whose state has uncommitted changes
    :param ended_runs: parts of jobs whose final state is durable, so that the records
        of their runs can be deleted
    :param stored_waves: progress of each wave at the begin of the term
    :param stored_moves: orders to move instances that the ledger has as open
    :param ending_jobs: cancelled and failing jobs whose tasks are being stopped
    :param unrestored: jobs of the ledger that are not restored yet in this term, the
        next one last
    :param stored_runs: runs of these jobs
    :param planned_orders: orders to instances that no commit contains yet
    :param committing_orders: orders that are sent once the newest commit is durable
    :param committing: number of the commit in progress; 0 if none
    :param closing: whether the term is being released, so that no commit begins
    :param renewed_at: boot-time clock at which the newest commit that other nodes read
        was sent
    :param confirmed_at: boot-time clock at which the newest of these commits that is
        durable was sent
    """

    node: str = ""
    ranking: str = "urgency"
    learns_speeds: bool = False
    stored_slow: dict[EndpointId, SlowEndpoint] = msgspec.field(default_factory=dict)
    next_speeds_at: float = 0.0
    speeds_assessed_at: float = 0.0
    speed_medians: dict[ServiceName, PoolMedian] = msgspec.field(default_factory=dict)
    limits: Limits = msgspec.field(default_factory=Limits)
    now: float = 0.0
    wall_ms: int = 0
    term: int = 0
    nonce: int = 0
    term_started_at: float = 0.0
    prior_leases_until: float = 0.0
    prior_orders_until: float = 0.0
    cfg: Configuration = msgspec.field(default_factory=Configuration)
    former_limits: dict[WorkspaceName, Resources] = msgspec.field(default_factory=dict)
    jobs: dict[JobId, JobRun] = msgspec.field(default_factory=dict)
    finished: dict[JobId, int] = msgspec.field(default_factory=dict)
    ending_jobs: dict[JobId, JobRun] = msgspec.field(default_factory=dict)
    unrestored: list[JobEntry] = msgspec.field(default_factory=list)
    stored_runs: dict[JobId, StoredRuns] = msgspec.field(default_factory=dict)
    endpoints: dict[EndpointId, Endpoint] = msgspec.field(default_factory=dict)
    newest_endpoint: dict[str, Endpoint] = msgspec.field(default_factory=dict)
    usage: dict[WorkspaceName, Resources] = msgspec.field(default_factory=dict)
    outlived_runs: int = 0
    duplicate_runs: list[tuple[float, Task]] = msgspec.field(default_factory=list)
    unattached: dict[EndpointId, list[Task]] = msgspec.field(default_factory=dict)
    crashed_tasks: dict[TaskKey, Task] = msgspec.field(default_factory=dict)
    reserved_since: dict[EndpointId, float] = msgspec.field(default_factory=dict)
    dirty_runs: dict[RunsPart, None] = msgspec.field(default_factory=dict)
    changed_jobs: set[JobId] = msgspec.field(default_factory=set)
    ended_runs: list[RunsPart] = msgspec.field(default_factory=list)
    stored_waves: dict[int, WaveProgress] = msgspec.field(default_factory=dict)
    stored_moves: dict[str, ServiceName] = msgspec.field(default_factory=dict)
    planned_orders: list[PlannedOrder] = msgspec.field(default_factory=list)
    committing_orders: list[PlannedOrder] = msgspec.field(default_factory=list)
    committing: int = 0
    closing: bool = False
    commit_count: int = 0
    renewed_at: float = 0.0
    confirmed_at: float = 0.0
    committing_tasks: list[tuple[Task, int]] = msgspec.field(default_factory=list)
    committing_acks: dict[EndpointId, tuple[int, int]] = msgspec.field(
        default_factory=dict
    )
    planned_at: float = 0.0
    sliced_at: float = 0.0
    reviewed_at: float = 0.0
    replan: bool = False
    planning: PlanningPass | None = None
    turns_left: int = 0
    servability: Servability = msgspec.field(default_factory=Servability)
    ticked_at: float = 0.0
    tick_gap_s: float = 0.0
    pass_cut_short: bool = False
    passed_over: dict[tuple[JobId, int, int], str] = msgspec.field(default_factory=dict)
    waits_logged_at: float = 0.0
    waits: dict[ServiceName, int] = msgspec.field(default_factory=dict)
    waits_sent_at: float = 0.0
    waves: dict[int, WaveRun] = msgspec.field(default_factory=dict)
    evacuated: set[DataCentreName] = msgspec.field(default_factory=set)
    evacuations_logged_at: float = 0.0
    instances: dict[str, InstanceView] = msgspec.field(default_factory=dict)
    listing_pending: bool = False
    listing_began_at: float = 0.0
    instances_changed: dict[str, float] = msgspec.field(default_factory=dict)
    listing_complete: bool = False
    listed_at: float = 0.0
    next_list_at: float = 0.0
    moves: dict[str, InstanceMove] = msgspec.field(default_factory=dict)
    immovable: set[tuple[str, ServiceName]] = msgspec.field(default_factory=set)
    arrival_rates: dict[ServiceName, list[ArrivalRate]] = msgspec.field(
        default_factory=dict
    )
    turns: TurnForecast = msgspec.field(
        default_factory=lambda: TurnForecast(enabled=False)
    )
    last_lending_at: float = 0.0
    yielded_at: float = 0.0
    pools_logged_at: float = 0.0
    share_tokens: dict[WorkspaceName, tuple[float, int]] = msgspec.field(
        default_factory=dict
    )
    queue_work: dict[QueueName, MeanWork] = msgspec.field(default_factory=dict)
    tickets: dict[tuple[JobId, int, int], dict[EndpointId, Ticket]] = msgspec.field(
        default_factory=dict
    )
    advice_requested: dict[tuple[JobId, int, int], set[EndpointId]] = msgspec.field(
        default_factory=dict
    )
    advice_pending: set[tuple[JobId, int, int]] = msgspec.field(default_factory=set)
    advice_failed: set[tuple[JobId, int, int]] = msgspec.field(default_factory=set)

    @property
    def term_confirmed(self) -> bool:
        """Return whether this node is certain to hold its term still.

        Each instance has its own fencing token, so a scheduler that was paused could
        still move or maintain instances to which its successor has sent no order.
        """
        return self.now - self.confirmed_at <= TERM_CONFIRMATION_S

    def mark_dirty(self, task: Task) -> None:
        """Mark a task's runs as changed since the last commit."""
        self.dirty_runs[task.stored_in] = None

    def set_instance_state(
        self, instance: str, new_state: InstanceState, pool: ServiceName | None = None
    ) -> None:
        """Update an instance's state ahead of the next listing.

        :param new_state: state that follows from the answer to an order
        :param pool: pool that the instance belongs to now; ``None`` if unchanged
        """
        view = self.instances.get(instance)
        if view is not None:
            pool = view.pool if pool is None else pool
            self.instances[instance] = view._replace(state=new_state, pool=pool)
            self.instances_changed[instance] = self.now

    def add_endpoint(self, endpoint: Endpoint) -> None:
        """Add an endpoint and update the newest one of its instance."""
        self.endpoints[endpoint.id] = endpoint
        report = endpoint.report
        instance = report.instance
        self.servability.add_endpoint(
            report.service, report.capacity, report.labels, instance or endpoint.id
        )
        newest = self.newest_endpoint.get(instance)
        if newest is None or newest.report.born <= endpoint.report.born:
            self.newest_endpoint[instance] = endpoint

    def replace_report(self, endpoint: Endpoint, report: EndpointReport) -> None:
        """Replace an endpoint's report and update the newest one of its instance."""
        instance = endpoint.report.instance
        if instance != report.instance and self.endpoint_on(instance) is endpoint:
            del self.newest_endpoint[instance]
        endpoint.report = report
        self.add_endpoint(endpoint)

    def drop_endpoint(self, endpoint: Endpoint) -> None:
        """Remove an endpoint and update the newest one of its instance."""
        del self.endpoints[endpoint.id]
        instance = endpoint.report.instance
        if self.newest_endpoint.get(instance) is endpoint:
            del self.newest_endpoint[instance]
            others = [
                e for e in self.endpoints.values() if e.report.instance == instance
            ]
            if others:
                self.newest_endpoint[instance] = max(
                    others, key=lambda e: e.report.born
                )

    def forget_advice(self, step: tuple[JobId, int, int], endpoint: EndpointId) -> None:
        """Forget the advice on one endpoint, so that it is requested again."""
        self.tickets.get(step, {}).pop(endpoint, None)
        self.advice_requested.get(step, set()).discard(endpoint)

    def drop_advice(self, step: tuple[JobId, int, int]) -> None:
        """Drop all advice on a step that will not start any more."""
        self.tickets.pop(step, None)
        self.advice_requested.pop(step, None)
        self.advice_failed.discard(step)

    def limit_of(self, workspace: WorkspaceName) -> Resources:
        """Return the upper limit of a workspace; an amount of 0 means no limit.

        One that the configuration does not contain any more keeps its last limit.
        """
        spec = self.cfg.workspaces.get(workspace)
        if spec is not None:
            return spec.limit
        return self.former_limits.get(workspace, Resources())

    def endpoint_on(self, instance: str) -> Endpoint | None:
        """Return the newest endpoint that has reported from an instance."""
        return self.newest_endpoint.get(instance)
