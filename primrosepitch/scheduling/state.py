"""State of the scheduler."""

from __future__ import annotations

import enum
from typing import NamedTuple

import msgspec

from primrosepitch.jobs.model import (
    EndpointId,
    JobId,
    JobSpec,
    JobState,
    Resources,
    ServiceName,
    StepSpec,
    TaskKey,
    WorkspaceName,
)
from primrosepitch.scheduling.configuration import Configuration, WaveSpec
from primrosepitch.scheduling.events import (
    EndpointReport,
    InstanceState,
    InstanceView,
)

__all__ = [
    "SMALL_JOB_COUNT",
    "Demand",
    "Endpoint",
    "JobRun",
    "Limits",
    "Phase",
    "SchedulerState",
    "StepRun",
    "Task",
    "Ticket",
    "WaveRun",
]


SMALL_JOB_COUNT = 100
"""Open jobs that a planning pass takes in a few milliseconds."""


TERM_CONFIRMATION_S = 1.0
"""Age of the newest durable sign of life up to which instances are ordered: signs come
every 0.25 s, a successor claims after 1.1 s without and orders nothing for 3 s more."""


class Phase(enum.Enum):
    """Where a task stands.

    ``COMMITTING`` tasks wait for their placement to be durable, ``STARTING`` ones for
    the answer to the order. ``STOPPING`` ones still take their room.
    """

    WAITING = "waiting"
    COMMITTING = "committing"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
    DONE = "done"


class Task(msgspec.Struct, eq=False):
    """One task of a job.

    :param run: number of its newest start
    :param endpoint: where that run is; empty when nothing can be running
    :param rack: rack of that endpoint, where it is known
    :param failed: numbers of the runs that ended by a failure
    :param working: whether it was listed at its full pace
    :param since: boot-time clock of the phase's begin
    :param avoid: endpoint on which it failed last
    :param unanswered: whether an order to start this run had no answer
    :param pace: percent of its pace at which a filling task may work
    :param load: tail latency in ms of a serving task, else the cpu in use
    :param progress: percent of its work, or of its pace if it lasts
    :param progress_at: boot-time clock of the newest change or first report
    :param moved_at: boot-time clock of the newest change
    :param seen_at: boot-time clock of the newest report of it
    :param stalls: runs that were taken off endpoints that stood still
    :param away_at: boot-time clock since which it hasn't been at work
    """

    key: TaskKey
    spec: StepSpec
    workspace: WorkspaceName
    run: int = 0
    phase: Phase = Phase.WAITING
    endpoint: EndpointId = EndpointId("")
    rack: str = ""
    born: int = 0
    failed: tuple[int, ...] = ()
    checkpoint: str = ""
    at_full_rate: bool = False
    progress: int = 0
    progress_since: float = 0.0
    last_progress_at: float = 0.0
    reported_at: float = 0.0
    stall_moves: int = 0
    rate_percent: int = 100
    load: float = 0.0
    phase_since: float = 0.0
    started_at: float = 0.0
    unavailable_since: float = 0.0
    avoid_endpoint: EndpointId = EndpointId("")
    order_tries: int = 0
    unanswered: bool = False
    near_target_at: float = 0.0
    throttled_at: float = 0.0

    @property
    def placed(self) -> bool:
        """Return whether the task takes room on an endpoint."""
        return self.phase not in (Phase.WAITING, Phase.DONE)


class StepRun(msgspec.Struct, eq=False):
    """One step of one occurrence."""

    spec: StepSpec
    tasks: list[Task]

    @property
    def done(self) -> bool:
        """Return whether all tasks have ended successfully."""
        return all(task.phase is Phase.DONE for task in self.tasks)


class JobRun(msgspec.Struct, eq=False):
    """A job that has not ended.

    :param steps: by occurrence, for those that are due
    :param chain_ms: estimated work of the longest chain of steps
    :param due_by_ms: Unix time of the latency objective
    """

    spec: JobSpec
    steps: dict[int, list[StepRun]] = msgspec.field(default_factory=dict)
    state: JobState = JobState.QUEUED
    cancelled: bool = False
    failing: bool = False
    critical_path_ms: int = 0
    deadline_ms: float = 0.0
    unplaceable: bool = False
    over_share: bool = False

    def tasks(self) -> list[Task]:
        """Return all tasks that exist."""
        return [
            task
            for steps in self.steps.values()
            for step in steps
            for task in step.tasks
        ]


class Endpoint(msgspec.Struct, eq=False):
    """What the scheduler knows of an endpoint.

    :param listed: whether the store has its report
    :param contacted: whether it answered a hold in this term
    :param reachable: whether its newest hold was answered
    :param clock_ms: its clock when it was last read
    :param clock_at: boot-time clock of that reading
    :param lapse_at: boot-time clock by which every lease has lapsed
    :param processed: newest end that has been taken into the state
    :param acked_end: newest end whose effect is durable
    :param holding: whether a hold is under way
    :param hold_at: boot-time clock of the next hold
    :param evacuating: reason why it gets no new tasks and gives up those it has
    :param faults: recent failures, decayed by successes
    :param eject_until: boot-time clock until which it gets no tasks
    """

    report: EndpointReport
    listed: bool = True
    contacted: bool = False
    reachable: bool = False
    clock_ms: int = 0
    clock_read_at: float = 0.0
    leases_expire_at: float = 0.0
    processed_end: int = 0
    acked_end: int = 0
    polling: bool = False
    next_poll_at: float = 0.0
    failed_polls: int = 0
    used: Resources = Resources()
    tasks: dict[TaskKey, Task] = msgspec.field(default_factory=dict)
    evacuation_reason: str = ""
    fault_score: float = 0.0
    ejected_until: float = 0.0
    unlisted_at: float = 0.0
    idle_since: float = 0.0

    @property
    def id(self) -> EndpointId:
        """Return the endpoint's id."""
        return self.report.endpoint

    @property
    def rack(self) -> str:
        """Return the rack's label."""
        return self.report.labels[1] if len(self.report.labels) > 1 else ""

    def free(self) -> Resources:
        """Return the capacity that no task takes."""
        return self.report.capacity.minus(self.used)


class Ticket(NamedTuple):
    """Permission to run a step on an endpoint."""

    text: str
    valid_until: float


class WaveRun(msgspec.Struct, eq=False):
    """Progress of a maintenance wave.

    :param begun: instances whose maintenance has begun
    :param down_until: boot-time clock until which an instance counts as down
    :param asked: instances with an order under way
    """

    spec: WaveSpec
    begun: set[str] = msgspec.field(default_factory=set)
    down_until: dict[str, float] = msgspec.field(default_factory=dict)
    ordered: set[str] = msgspec.field(default_factory=set)
    selected: set[str] = msgspec.field(default_factory=set)
    status: str = ""
    dirty: bool = False


class Demand(msgspec.Struct, eq=False):
    """Work that arrives for a pool, over one time constant.

    :param at: boot-time clock to which the figures have decayed
    :param rate: thousandths of a core; ``jobs`` counts the jobs behind it
    """

    updated_at: float
    rate: float = 0.0
    jobs: float = 0.0


class Limits(msgspec.Struct, frozen=True):
    """Figures of the deployment that bind the scheduler.

    :param lease_s: time for which a hold keeps tasks alive
    :param clock_error: largest part by which an endpoint's clock may be slow
    """

    lease_s: float = 3.8
    clock_error: float = 0.02
    migration_s: float = 1.5
    maintenance_s: float = 2.0
    instance_lease_s: float = 3.0
    status_s: float = 120.0


class SchedulerState(msgspec.Struct, eq=False):
    """All that the scheduler's decisions depend on.

    :param term: fencing token; 0 while another node schedules
    :param order: name of the order in which waiting steps get room
    :param newest_on: newest endpoint of each instance
    :param copies: tasks whose earlier run counts against limits, and until when
    :param unseen: tasks that the ledger places on endpoints without a report yet
    :param prior_leases_until: boot-time clock until which runs of an earlier term may
        go on at endpoints that have not answered
    :param waits: what the other nodes were told of the waits in pools, and when
    :param moving: where instances are on their way to, and until when that is awaited
    :param share_tokens: jobs that each workspace may still send within its share, and
        the Unix time in ms of that count
    :param dirty: jobs whose runs have changed
    :param changed: jobs of which callers are to be told another state
    :param ended: jobs whose last state is durable, so that their runs can be dropped
    :param committing: number of the commit under way; 0 if none
    :param renewed_at: boot-time clock when the newest commit was sent that other nodes
        read
    :param confirmed_at: the same for the newest durable one
    """

    node: str = ""
    order: str = "urgency"
    limits: Limits = msgspec.field(default_factory=Limits)
    now: float = 0.0
    wall_ms: int = 0
    term: int = 0
    nonce: int = 0
    term_started_at: float = 0.0
    prior_leases_until: float = 0.0
    cfg: Configuration = msgspec.field(default_factory=Configuration)
    jobs: dict[JobId, JobRun] = msgspec.field(default_factory=dict)
    finished: dict[JobId, int] = msgspec.field(default_factory=dict)
    endpoints: dict[EndpointId, Endpoint] = msgspec.field(default_factory=dict)
    newest_endpoint: dict[str, Endpoint] = msgspec.field(default_factory=dict)
    usage: dict[WorkspaceName, Resources] = msgspec.field(default_factory=dict)
    duplicate_runs: list[tuple[float, Task]] = msgspec.field(default_factory=list)
    unattached: dict[EndpointId, list[Task]] = msgspec.field(default_factory=dict)
    dirty_jobs: set[JobId] = msgspec.field(default_factory=set)
    changed_jobs: set[JobId] = msgspec.field(default_factory=set)
    ended_jobs: list[JobId] = msgspec.field(default_factory=list)
    committing: int = 0
    commit_count: int = 0
    renewed_at: float = 0.0
    confirmed_at: float = 0.0
    committing_tasks: list[tuple[Task, int]] = msgspec.field(default_factory=list)
    committing_acks: dict[EndpointId, tuple[int, int]] = msgspec.field(
        default_factory=dict
    )
    planned_at: float = 0.0
    replan: bool = False
    waits: dict[ServiceName, int] = msgspec.field(default_factory=dict)
    waits_sent_at: float = 0.0
    waves: dict[int, WaveRun] = msgspec.field(default_factory=dict)
    instances: dict[str, InstanceView] = msgspec.field(default_factory=dict)
    listing_pending: bool = False
    listed_at: float = 0.0
    next_list_at: float = 0.0
    moves: dict[str, tuple[ServiceName, float]] = msgspec.field(default_factory=dict)
    immovable: set[tuple[str, ServiceName]] = msgspec.field(default_factory=set)
    demand: dict[ServiceName, list[Demand]] = msgspec.field(default_factory=dict)
    last_lending_at: float = 0.0
    pools_logged_at: float = 0.0
    share_tokens: dict[WorkspaceName, tuple[float, int]] = msgspec.field(
        default_factory=dict
    )
    tickets: dict[tuple[JobId, int, int], dict[EndpointId, Ticket]] = msgspec.field(
        default_factory=dict
    )
    advice_requested: dict[tuple[JobId, int, int], set[EndpointId]] = msgspec.field(
        default_factory=dict
    )
    advice_pending: set[tuple[JobId, int, int]] = msgspec.field(default_factory=set)

    @property
    def term_confirmed(self) -> bool:
        """Return whether this node surely has its term still.

        Instances are fenced one by one, so that a scheduler which was paused could
        still move or maintain those that its successor has not touched.
        """
        return self.now - self.confirmed_at <= TERM_CONFIRMATION_S

    def set_instance_state(
        self, instance: str, doing: InstanceState, pool: ServiceName | None = None
    ) -> None:
        """Note what an answer tells of an instance, until the next listing.

        :param pool: where it is from now on; ``None`` if it stays
        """
        view = self.instances.get(instance)
        if view is not None:
            pool = view.pool if pool is None else pool
            self.instances[instance] = view._replace(state=doing, pool=pool)

    def add_endpoint(self, endpoint: Endpoint) -> None:
        """Know an endpoint from now on."""
        self.endpoints[endpoint.id] = endpoint
        instance = endpoint.report.instance
        newest = self.newest_endpoint.get(instance)
        if newest is None or newest.report.born <= endpoint.report.born:
            self.newest_endpoint[instance] = endpoint

    def drop_endpoint(self, endpoint: Endpoint) -> None:
        """Forget an endpoint."""
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

    def endpoint_on(self, instance: str) -> Endpoint | None:
        """Return the newest endpoint that has reported from an instance."""
        return self.newest_endpoint.get(instance)
