"""Simulation of endpoints, store and instances around the scheduler's reducer.

It runs in virtual time, minutes of heavy load within seconds, injects faults, and
records every violation of a scheduling rule.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter, defaultdict
from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec
from msgspec.structs import replace

from primrosepitch.jobs.model import (
    DataCentreName,
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
from primrosepitch.jobs.records import (
    Cancellation,
    Ledger,
    decode_moves,
    decode_runs,
    decode_slow_endpoints,
    encode,
    record_size,
)
from primrosepitch.jobs.store import KeyedRecord
from primrosepitch.scheduling import effects as ef
from primrosepitch.scheduling import events as ev
from primrosepitch.scheduling.configuration import Configuration, WaveSpec
from primrosepitch.scheduling.expansion import critical_path_ms
from primrosepitch.scheduling.instance_orders import instance_orders_expire_at
from primrosepitch.scheduling.leases import takeover_wait_s
from primrosepitch.scheduling.ordering import TOO_LATE_FACTOR
from primrosepitch.scheduling.reducer import step
from primrosepitch.scheduling.state import Limits, SchedulerState

__all__ = ["Node", "SchedulerWorld", "Worker", "objective_ms"]

LATENCY_S = 0.002
"""One-way latency between a node and an endpoint."""

APPEND_S = 0.005
"""Duration of an append to the store."""

TICK_INTERVAL_S = 0.02
"""Interval of a node's ticks."""

ORDER_TIMEOUT_S = 0.25
"""Timeout of a node for the answer to an order."""

POLL_TIMEOUT_S = 0.3
"""Timeout of a node for the answer to a poll, in addition to the poll's wait."""

STOP_S = 0.2
"""Time that a run takes to stop."""

STARTUP_S = 0.3
"""Time from its start after which a lasting task counts as at work."""

NOTICE_S = 4.5
"""Time without work after which a task counts as unavailable without a stop order;
the platform's notice_ms."""

SHRINK_NOTICE_S = 3.5
"""Time after which a smaller capacity is binding: contact_ms and one heartbeat."""

MAX_LISTED_ENDS = 500
"""Number of ends that an endpoint lists at a time."""

MAX_ADVISED_ENDPOINTS = 100
"""Maximum number of endpoints in a request for advice."""

DEADLY_S = 0.01
"""Time after its start at which a deadly task crashes its endpoint."""

MAX_DEADLY_CRASHES = 3
"""Number of endpoints crashed by a deadly task after which it may start twice more."""

REPORT_EXPIRY_S = 4.0
"""Time after a crash at which an endpoint's report is removed from the store."""

EVACUATION_S = 0.01
"""Time after which no task may start in an evacuated data centre; here all nodes learn
of the request at once."""

COLD_SLOWDOWN = 2.0
"""Factor on the duration of runs that begin on a cold endpoint."""

EPOCH_MS = 1_700_000_000_000
"""Unix time in ms at which the virtual clock is 0."""


class Run(msgspec.Struct, eq=False):
    """One run of a task on a worker.

    :param fails: whether it ends as failed
    :param resumed_s: seconds of work taken over from a checkpoint
    :param work_s: duration at the usual speed
    :param stop_at: time at which an ordered stop ends the run; 0 without an order
    :param rate_percent: rate left to a throttled run
    :param stalled: whether it makes no progress
    :param done: completed share of the work at ``done_at``, when the endpoint's speed
        last changed
    """

    task: TaskKey
    run: int
    spec: StepSpec
    began: float
    ends_at: float
    fails: bool
    resumed_s: float
    work_s: float = 0.0
    stop_at: float = 0.0
    rate_percent: int = 100
    stalled: bool = False
    done: float = 0.0
    done_at: float = 0.0

    def share_done(self, now: float) -> float:
        """Return the completed share of the work."""
        since = self.done_at or self.began
        share = (now - since) / max(0.001, self.ends_at - since)
        return self.done + (1 - self.done) * share

    def percent(self, now: float) -> int:
        """Return the completed share of the work in percent."""
        return 10 if self.stalled else int(100 * self.share_done(now))


class Worker:
    """A simulated endpoint that follows the platform's rules.

    :param kind: label of its kind
    :param slow_clock: fraction by which its clock runs slow
    :param mute: whether it gets orders and polls while its answers are lost
    :param guards_capacity: whether it refuses starts that exceed its capacity
    :param earlier_capacity: capacity before it shrank at ``shrunk_at``
    :param unhealthy: whether it refuses starts, even repeats of those carried out
    :param hangs_on_start: whether it neither carries out nor answers starts
    :param slower: factor on the duration of new runs; infinite if they never end
    :param cold_until: time until which new runs take ``COLD_SLOWDOWN`` times as long
    :param connection: number of the connections to this incarnation
    :param highest_runs: highest run number ordered, by task
    :param unacked_ends: ends of runs that no poll has acknowledged yet
    """

    def __init__(
        self,
        world: SchedulerWorld,
        name: str,
        service: str,
        rack: str,
        capacity: Resources,
        instance: str,
    ) -> None:
        """Start the worker without any runs."""
        self.world = world
        self.id = EndpointId(name)
        self.service = ServiceName(service)
        self.kind = "k"
        self.rack = rack
        self.capacity = capacity
        self.instance = instance
        self.born = world.wall_ms
        self.connection = next(world.connections)
        self.started_at = world.now
        self.slow_clock = 0.0
        self.up = True
        self.cut = False
        self.mute = False
        self.draining = False
        self.draining_since = 0.0
        self.fails_all = False
        self.guards_capacity = True
        self.earlier_capacity = capacity
        self.shrunk_at = 0.0
        self.slower = 1.0
        self.cold_until = 0.0
        self.unhealthy = False
        self.hangs_on_start = False
        self.runs: dict[TaskKey, Run] = {}
        self.unacked_ends: list[ev.EndedRun] = []
        self.end_count = 0
        self.acked_end = 0
        self.fencing_token = 0
        self.lease_expiry_ms = 0
        self.highest_runs: dict[TaskKey, int] = {}
        self.ended_at: dict[int, float] = {}
        self.lease_expired_at = 0.0
        self.waiting_polls: list[tuple[float, Callable[[], None]]] = []

    def clock_ms(self) -> int:
        """Return the time of the worker's own clock."""
        return int((self.world.now - self.started_at) * 1000 * (1 - self.slow_clock))

    def report(self) -> ev.EndpointReport:
        """Return the report that the worker publishes."""
        return ev.EndpointReport(
            self.id,
            self.born,
            self.service,
            f"{self.id}:1",
            self.zone,
            self.draining,
            self.capacity,
            (self.kind, self.rack),
            self.instance,
            self.clock_ms(),
            self.world.now + 5 if self.draining else 0.0,
            self.cold_until,
        )

    @property
    def zone(self) -> str:
        """Return the data centre of its instance."""
        return self.world.zone_of(self.instance)

    def set_capacity(self, capacity: Resources) -> None:
        """Change the capacity, which the worker reports."""
        if not self.capacity.fits(capacity):
            self.earlier_capacity, self.shrunk_at = self.capacity, self.world.now
        self.capacity = capacity
        self.world.publish_report(self)

    def binding_capacity(self) -> Resources:
        """Return the capacity that a start must not exceed."""
        recent = self.shrunk_at and self.world.now - self.shrunk_at < SHRINK_NOTICE_S
        return self.earlier_capacity if recent else self.capacity

    def used_resources(self) -> Resources:
        """Return the resources in use by runs."""
        needs = [run.spec.needs for run in self.runs.values()]
        return Resources(*map(sum, zip(*needs, strict=True))) if needs else Resources()

    def advance(self) -> None:
        """End the runs that are due, and all runs once the lease has expired."""
        now = self.world.now
        if self.lease_expiry_ms and self.clock_ms() > self.lease_expiry_ms:
            self.lease_expired_at = now
            for run in list(self.runs.values()):
                # The end of a member of a gang has ended the others here.
                if self.runs.get(run.task) is run:
                    self.end(run, ev.EndKind.LAPSED)
        for run in list(self.runs.values()):
            if self.runs.get(run.task) is not run:
                continue
            if run.stop_at and now >= run.stop_at:
                self.end(run, ev.EndKind.STOPPED)
            elif not run.stop_at and now >= run.ends_at:
                self.end(run, ev.EndKind.FAILED if run.fails else ev.EndKind.DONE)

    def end(self, run: Run, kind: ev.EndKind) -> None:
        """End a run and keep its end until a poll acknowledges it."""
        del self.runs[run.task]
        self.end_count += 1
        saved = ""
        if run.spec.checkpoints and kind is not ev.EndKind.DONE:
            worked_s = self.world.now - run.began
            if run.done_at:
                worked_s = run.share_done(self.world.now) * run.work_s
            saved = f"{run.resumed_s + worked_s:.3f}"
            saved = saved.ljust(self.world.checkpoint_length)
        self.ended_at[self.end_count] = self.world.now
        self.unacked_ends.append(
            ev.EndedRun(self.end_count, run.task, run.run, kind, saved)
        )
        self.world.run_ended(self, run, kind)
        self.answer_polls()

    def change_speed(self, slower: float) -> None:
        """Change the factor on the duration of runs, also of those under way."""
        now = self.world.now
        for run in self.runs.values():
            if not run.stalled:
                run.done, run.done_at = run.share_done(now), now
                run.ends_at = now + (run.ends_at - now) * slower / self.slower
        self.slower = slower

    def answer_polls(self) -> None:
        """Answer the polls that wait for a run to end."""
        waiting, self.waiting_polls = self.waiting_polls, []
        for _, answer in waiting:
            answer()

    def start(self, order: ef.StartRun) -> ev.Outcome:
        """Carry out a start order."""
        if order.token < self.fencing_token:
            return ev.Outcome.FENCED
        if self.unhealthy:
            return ev.Outcome.UNHEALTHY
        self.fencing_token = order.token
        present = self.runs.get(order.task)
        if present is not None and present.run == order.run:
            self.extend_leases(order.until_ms)
            return ev.Outcome.DONE
        if order.run <= self.highest_runs.get(order.task, 0) or present is not None:
            # The end of the leases is also taken from a refused start.
            self.extend_leases(order.until_ms)
            return ev.Outcome.SUPERSEDED
        if order.until_ms <= self.clock_ms():
            return ev.Outcome.LEASE_EXPIRED
        spec = self.world.step_spec(order.task)
        if self.world.requires_ticket(order.task) and order.ticket != self.ticket():
            return ev.Outcome.NO_TICKET
        needed = self.used_resources().add(spec.needs)
        self.extend_leases(order.until_ms)
        if self.guards_capacity and not needed.fits(self.capacity):
            return ev.Outcome.NO_ROOM
        self.highest_runs[order.task] = order.run
        self.runs[order.task] = self.world.start_run(self, order, spec)
        return ev.Outcome.DONE

    def extend_leases(self, until_ms: int) -> None:
        """Extend the leases of all runs, at most to the maximum duration."""
        if until_ms <= self.clock_ms():
            return
        latest_ms = self.clock_ms() + int(self.world.limits.max_lease_s * 1000)
        self.lease_expiry_ms = max(self.lease_expiry_ms, min(until_ms, latest_ms))

    def lease_ends_at(self) -> float:
        """Return when the lease ends on the worker's clock; 0 if it has none."""
        if not self.up or not self.lease_expiry_ms:
            return 0.0
        span_s = (self.lease_expiry_ms + 1) / 1000 / (1 - self.slow_clock)
        return self.started_at + span_s

    def ticket(self) -> str:
        """Return the ticket of this incarnation for the steps that it may run."""
        return f"t-{self.id}-{self.born}"

    def stop(self, order: ef.StopRun) -> ev.Outcome:
        """Carry out a stop order."""
        if order.token < self.fencing_token:
            return ev.Outcome.FENCED
        self.fencing_token = order.token
        self.highest_runs[order.task] = max(
            self.highest_runs.get(order.task, 0), order.run
        )
        run = self.runs.get(order.task)
        if run is not None and run.run == order.run and not run.stop_at:
            run.stop_at = self.world.now + STOP_S
            self.world.run_stopping(self, run)
        return ev.Outcome.DONE

    def poll(self, order: ef.PollEndpoint) -> ev.Outcome:
        """Extend the lease and drop the ends that the poll acknowledges."""
        if order.token < self.fencing_token:
            return ev.Outcome.FENCED
        self.fencing_token = order.token
        self.extend_leases(order.until_ms)
        if order.acked_end > self.acked_end:
            self.acked_end = order.acked_end
            for ended in self.unacked_ends:
                if ended.number <= order.acked_end:
                    self.world.end_acked(self, ended)
            self.unacked_ends = [
                e for e in self.unacked_ends if e.number > order.acked_end
            ]
        return ev.Outcome.DONE

    def poll_response(self, sent: float, acked_end: int) -> ev.EndpointPolled:
        """Return the answer to a poll: active runs and the oldest ends not acked."""
        running = []
        for run in self.runs.values():
            at_work = self.world.now - run.began >= STARTUP_S
            percent = run.percent(self.world.now)
            if run.spec.lasting:
                percent = 100 if at_work else 40
            load = self.world.tail_latency_ms(self, run) if run.spec.target_ms else 0.0
            running.append(ev.ActiveRun(run.task, run.run, "", percent, load))
        ended = self.unacked_ends[:MAX_LISTED_ENDS]
        return ev.EndpointPolled(
            self.id,
            self.born,
            sent,
            self.world.now,
            self.clock_ms(),
            running,
            ended,
            acked_end,
            self.connection,
            lists_all_ends=len(ended) < MAX_LISTED_ENDS,
        )

    def crash(self) -> None:
        """Lose all runs and unacknowledged ends."""
        self.up = False
        self.world.unavailable_since.update(dict.fromkeys(self.runs, self.world.now))
        self.runs = {}
        self.unacked_ends = []

    def restart(self) -> None:
        """Start again under the same id, without state."""
        self.up = True
        self.born = self.world.wall_ms
        self.connection = next(self.world.connections)
        self.started_at = self.world.now
        self.ended_at, self.lease_expired_at = {}, 0.0
        self.end_count = self.acked_end = self.fencing_token = self.lease_expiry_ms = 0
        self.highest_runs = {}
        self.draining = False


class Node:
    """A node that may hold the scheduler's term.

    :param frozen: whether it is suspended; events are deferred until it thaws
    """

    def __init__(self, world: SchedulerWorld, name: str) -> None:
        """Initialize a node without a term."""
        self.world = world
        self.name = name
        self.state = SchedulerState(node=name, limits=world.limits)
        self.frozen = False
        self.deferred: list[Callable[[], None]] = []
        self.sequence = 0

    def feed(self, event: ev.Event) -> None:
        """Pass an event to the reducer and perform its effects."""
        if self.frozen:
            self.deferred.append(lambda: self.feed(event))
            return
        for effect in step(self.state, event):
            self.world.perform(self, effect)

    def thaw(self) -> None:
        """Resume; a due timer fires before the deferred events."""
        self.frozen = False
        if self.state.term:
            self.feed(ev.Tick(self.world.now, self.world.wall_ms))
        deferred, self.deferred = self.deferred, []
        for action in deferred:
            action()


class InstanceOrder(NamedTuple):
    """An order to an instance that the platform has received."""

    sent_at: float
    instance: str
    token: int


class SchedulerWorld:
    """Simulated environment of the scheduler.

    ``cut_nodes`` names the nodes whose appends don't reach the store, and
    ``delayed_nodes`` those whose orders to move instances are delayed. ``severed`` has
    the pairs of a node and an endpoint that can't reach each other.

    :param without: name of a part of the scheduler that is not used
    :param only_partition: the only partition to which the store applies a commit to
        two partitions; empty for both
    :param store_s: duration of an append
    :param refused_records: sizes of the records that the store refused, by key
    :param unstorable_jobs: jobs whose records of runs the store refuses
    :param largest_append: size of the largest append, in bytes
    :param answer_loss_rate: fraction of orders whose answers are lost
    :param poll_delay_s: delay of the answers to polls
    :param poll_loss_rate: fraction of polls that get no answer
    :param late_order_rate: fraction of orders that get no answer and are carried out
        seconds later
    :param late_poll_rate: fraction of polls for which the same holds
    :param late_s: least and greatest delay of such orders and polls
    :param late_calls_outlive_restart: whether such orders and polls are carried out by
        a later incarnation of their endpoint as well; otherwise it has lost them
    :param newest_append_at: time at which the store took the newest append
    :param failure_rate: fraction of runs that fail
    :param checkpoint_length: minimum length of a checkpoint
    :param duration_sigma: sigma of the log-normal factor on the duration of runs
    :param duration_seed: seed from which the factor on the duration of each task is
        drawn, so that it is the same in each simulation; 0 to draw it at each start
    :param errs_by_step: whether all tasks of a step have the same factor
    :param duration_factors: factor on the duration of runs, by job
    :param admission: returns the Retry-After of a job in seconds, 0 to accept it
    :param refused: refused jobs that have not been accepted, as first submitted
    :param first_attempt_at: time of the first submission of each job
    :param remote_factor: factor on the duration of a run outside its step's rack
    :param instance_order_delay_s: delay of the orders of ``delayed_nodes``
    :param instance_answer_loss_rate: fraction of orders to instances whose answers are
        lost
    :param interference: part of the target latency that a filling run at full rate
        adds to that of serving runs on its endpoint
    :param unreadable_instances: instances whose entries in the list can't be read
    :param upkeep_once: whether an order to maintain an instance that has been
        maintained in the same wave is answered without effect
    :param deadly_tasks: tasks that crash their endpoint after ``DEADLY_S``
    :param deadly_crashes: endpoints that they have crashed, by task
    :param restart_s: time after which endpoints that crashed in ``crash_worker`` are up
    :param restart_with_new_id: whether these endpoints get a new id
    :param fewest_up: lowest number of endpoints that were up after such a crash
    :param zones: data centres of the instances
    :param evacuated_at: times of the requests to evacuate data centres
    :param evacuation_s: time after such a request from which no task may start there
    :param violations: violations of scheduling rules, as text
    """

    def __init__(self, seed: int = 1, limits: Limits | None = None) -> None:
        """Initialize an environment without endpoints and nodes."""
        self.rng = random.Random(seed)
        self.limits = limits or Limits()
        self.now = 100.0
        self.cfg = Configuration(version=1)
        self.ledger = Ledger()
        self.stored_runs: dict[str, bytes] = {}
        self.newest_term = 0
        self.store_up = True
        self.only_partition = ""
        self.refused_records: dict[str, int] = {}
        self.unstorable_jobs: set[str] = set()
        self.largest_append = 0
        self.queue_order = "urgency"
        self.without = ""
        self.store_s = APPEND_S
        self.poll_delay_s = 0.0
        self.answer_loss_rate = 0.0
        self.late_order_rate = 0.0
        self.late_poll_rate = 0.0
        self.late_s = (2.0, 12.0)
        self.late_calls_outlive_restart = False
        self.newest_append_at = self.now
        self.poll_loss_rate = 0.0
        self.failure_rate = 0.0
        self.checkpoint_length = 0
        self.duration_sigma = 0.0
        self.always_tickets = False
        self.admission: Callable[[SchedulerWorld, JobSpec], int] | None = None
        self.refused: dict[JobId, JobSpec] = {}
        self.first_attempt_at: dict[JobId, float] = {}
        self.duration_seed = 0
        self.errs_by_step = False
        self.remote_factor = 1.0
        self.connections = itertools.count(1)
        self.workers: dict[EndpointId, Worker] = {}
        self.nodes: list[Node] = []
        self.specs: dict[JobId, JobSpec] = {}
        self.cancelled_at: dict[JobId, float] = {}
        self.acked_done_at: dict[TaskKey, float] = {}
        self.done_tasks: set[TaskKey] = set()
        self.failed_runs: Counter[TaskKey] = Counter()
        self.accepted_at: dict[JobId, float] = {}
        self.completed_at: dict[JobId, float] = {}
        self.failing_tasks: set[TaskKey] = set()
        self.deadly_tasks: set[TaskKey] = set()
        self.deadly_crashes: Counter[TaskKey] = Counter()
        self.starts_after_crashes: Counter[TaskKey] = Counter()
        self.restart_s = 3.0
        self.restart_with_new_id = False
        self.fewest_up: int | None = None
        self.duration_factors: dict[JobId, int] = {}
        self.list_names_endpoints = True
        self.unreadable_instances: set[str] = set()
        self.upkeep_once = False
        self.interference = 0.0
        self.instance_order_delay_s = 0.0
        self.instance_answer_loss_rate = 0.0
        self.instance_orders: list[InstanceOrder] = []
        self.cut_nodes: set[str] = set()
        self.severed: set[tuple[str, EndpointId]] = set()
        self.delayed_nodes: set[str] = set()
        self._ending_gang = False
        self._carrying_out_late = False
        self.violations: list[str] = []
        self.counts: Counter[str] = Counter()
        self.pool_of: dict[str, str] = {}
        self.rack_of: dict[str, str] = {}
        self.zones: dict[str, str] = {}
        self.evacuated_at: dict[str, float] = {}
        self.evacuation_s = EVACUATION_S
        self.down_until: dict[str, float] = {}
        self.down_state: dict[str, ev.InstanceState] = {}
        self.instance_tokens: dict[str, int] = {}
        self.stopped_runs: dict[TaskKey, int] = {}
        self.unavailable_since: dict[TaskKey, float] = {}
        self.maintained: dict[int, list[str]] = defaultdict(list)
        self._waves: dict[int, WaveSpec] = {}
        self.wave_completed: dict[int, bool] = {}
        self.events: Counter[int] = Counter()
        self.newest_fields: dict[int, dict[str, Any]] = {}
        self._timers: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0

    @property
    def wall_ms(self) -> int:
        """Unix time in milliseconds."""
        return EPOCH_MS + int(self.now * 1000)

    # Time

    def call_later(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule a callback after a delay."""
        self._sequence += 1
        heapq.heappush(self._timers, (self.now + delay_s, self._sequence, action))

    def run(self, seconds: float) -> None:
        """Advance the virtual clock."""
        end = self.now + seconds
        while True:
            tick = (int(self.now / TICK_INTERVAL_S + 1e-6) + 1) * TICK_INTERVAL_S
            at = min(tick, end, self._timers[0][0] if self._timers else end)
            self.now = max(self.now, at)
            for worker in self.workers.values():
                if worker.up:
                    worker.advance()
            while self._timers and self._timers[0][0] <= self.now:
                heapq.heappop(self._timers)[2]()
            if at >= tick - 1e-9:
                for node in self.nodes:
                    if node.state.term and not node.frozen:
                        node.feed(ev.Tick(self.now, self.wall_ms))
            if self.now >= end:
                return

    def run_until(self, condition: Callable[[], bool], timeout_s: float) -> bool:
        """Advance the clock until a condition holds; return false on timeout."""
        end = self.now + timeout_s
        while not condition():
            if self.now >= end:
                return False
            self.run(TICK_INTERVAL_S)
        return True

    # Parts

    def add_worker(
        self,
        name: str,
        service: str,
        rack: str = "r1",
        cpu: int = 16000,
        zone: str = "a",
    ) -> Worker:
        """Add an endpoint on an instance of its own."""
        instance = self.add_instance(name, service, rack, zone)
        worker = Worker(self, name, service, rack, Resources(cpu, 32768, 0), instance)
        self.workers[worker.id] = worker
        self._announce(worker)
        return worker

    def zone_of(self, instance: str) -> str:
        """Return the data centre of an instance."""
        return self.zones.get(instance, "a")

    def add_instance(self, name: str, service: str, rack: str, zone: str = "a") -> str:
        """Add an instance without an endpoint, as in the spare pool."""
        instance = f"m-{name}"
        self.zones[instance] = zone
        self.pool_of[instance] = service
        self.rack_of[instance] = rack
        return instance

    def worker_running(self, key: TaskKey) -> Worker:
        """Return an endpoint that runs a task."""
        return next(w for w in self.workers.values() if key in w.runs)

    def _announce(self, worker: Worker) -> None:
        for node in self.nodes:
            node.feed(ev.EndpointReported(worker.report(), self.now))

    def crash_worker(self, worker: Worker) -> None:
        """Crash an endpoint, which restarts on its instance."""
        worker.crash()
        up = sum(w.up for w in self.workers.values())
        self.fewest_up = up if self.fewest_up is None else min(self.fewest_up, up)
        if not self.restart_with_new_id:
            self.call_later(self.restart_s, lambda: self._restart_worker(worker))
            return
        self._sequence += 1
        name = f"{worker.instance}-{self._sequence}"
        self.call_later(self.restart_s, lambda: self._replace_crashed(worker, name))
        self.call_later(REPORT_EXPIRY_S, lambda: self.remove_report(worker))

    def _restart_worker(self, worker: Worker) -> None:
        worker.restart()
        self._announce(worker)

    def _replace_crashed(self, crashed: Worker, name: str) -> None:
        worker = Worker(
            self,
            name,
            crashed.service,
            crashed.rack,
            crashed.capacity,
            crashed.instance,
        )
        self.workers[worker.id] = worker
        self._announce(worker)

    def _crash_by_task(self, worker: Worker, run: Run) -> None:
        if worker.up and worker.runs.get(run.task) is run:
            self.deadly_crashes[run.task] += 1
            self.crash_worker(worker)

    def remove_report(self, worker: Worker) -> None:
        """Remove an endpoint's report from the store."""
        for node in self.nodes:
            node.feed(ev.EndpointRemoved(worker.id, self.now))

    def publish_report(self, worker: Worker) -> None:
        """Publish an endpoint's report again."""
        self._announce(worker)

    def take_term(
        self,
        name: str,
        heartbeat_at: float | None = None,
        ended: bool = False,
        leases_until: float | None = None,
    ) -> Node:
        """Make a node take the next term.

        :param heartbeat_at: time of the last scheduler's newest heartbeat; now if it
            is not given
        :param ended: whether the last scheduler has certainly ended
        :param leases_until: time until which the node waits for leases of earlier
            schedulers, in place of what follows from the other parameters
        """
        node = next((n for n in self.nodes if n.name == name), None)
        if node is None:
            node = Node(self, name)
            self.nodes.append(node)
        has_predecessor = self.newest_term > 0
        self.newest_term += 1
        node.state = SchedulerState(node=name, limits=self.limits)
        node.state.wall_ms = self.wall_ms
        node.state.ranking = self.queue_order
        node.state.turns.enabled = "turns" not in self.without
        node.state.learns_speeds = "speeds" not in self.without
        node.feed(ev.ConfigurationChanged(self.cfg))
        for wave in self.waves:
            node.feed(ev.WaveRequested(wave))
        for zone in self.evacuated_at:
            node.feed(ev.EvacuationChanged(DataCentreName(zone), active=True))
        newest = self.now if heartbeat_at is None else heartbeat_at
        quiet = self.now
        if has_predecessor:
            quiet = newest + takeover_wait_s(self.limits, ended)
        if leases_until is not None:
            quiet = leases_until
        jobs, runs = self.ledger.jobs, decode_runs(self.stored_runs.items())
        moves = decode_moves(self.stored_runs.items())
        orders_until = self.now
        if has_predecessor and not self.limits.fencing_required:
            orders_until = instance_orders_expire_at(newest)
        node.feed(
            ev.TermTaken(
                self.now,
                self.now,
                self.newest_term,
                jobs,
                runs,
                quiet,
                dict(self.ledger.waves),
                moves,
                orders_until,
                decode_slow_endpoints(self.stored_runs.items()),
            )
        )
        for worker in self.workers.values():
            if worker.up:
                node.feed(ev.EndpointReported(worker.report(), self.now))
        return node

    @property
    def waves(self) -> list[WaveSpec]:
        """The requested maintenance waves."""
        return list(self._waves.values())

    def request_wave(self, wave: WaveSpec) -> None:
        """Request a maintenance wave."""
        self._waves[wave.wave] = wave
        for node in self.nodes:
            node.feed(ev.WaveRequested(wave))

    def evacuate(self, zone: str) -> None:
        """Request the evacuation of a data centre; cut-off nodes don't learn of it."""
        self.evacuated_at.setdefault(zone, self.now)
        for node in self.nodes:
            if node.name not in self.cut_nodes:
                node.feed(ev.EvacuationChanged(DataCentreName(zone), active=True))

    def cancel_evacuation(self, zone: str) -> None:
        """Cancel the evacuation of a data centre."""
        self.evacuated_at.pop(zone, None)
        for node in self.nodes:
            node.feed(ev.EvacuationChanged(DataCentreName(zone), active=False))

    # Callers

    def submit(self, spec: JobSpec) -> None:
        """Accept a job, unless ``admission`` refuses it; see ``_submit_again``."""
        self.first_attempt_at.setdefault(spec.job, self.now)
        after_s = self.admission(self, spec) if self.admission is not None else 0
        if after_s:
            self._submit_again(spec, after_s)
            return
        self.refused.pop(spec.job, None)
        self.specs[spec.job] = spec
        self.accepted_at[spec.job] = self.now
        self.ledger.apply(*encode(spec))
        for node in self.nodes:
            node.feed(ev.JobAccepted(spec))

    def _submit_again(self, spec: JobSpec, after_s: int) -> None:
        """Let a refused caller come back while the result is of use to it."""
        self.counts["refused"] += 1
        first = self.refused.setdefault(spec.job, spec)
        useful_ms = TOO_LATE_FACTOR * objective_ms(spec)
        if self.wall_ms + after_s * 1000 - first.accepted_ms < useful_ms:
            again = replace(
                spec,
                accepted_ms=self.wall_ms + after_s * 1000,
                first_attempt_ms=first.accepted_ms,
            )
            self.call_later(after_s, lambda: self.submit(again))

    def cancel(self, job: JobId) -> None:
        """Cancel a job."""
        self.cancelled_at[job] = self.now
        self.ledger.apply(*encode(Cancellation(job, self.wall_ms)))
        for node in self.nodes:
            node.feed(ev.CancelRequested(job))

    def state_of(self, job: JobId) -> JobState:
        """Return the state that callers see."""
        return self.ledger.jobs[job].state

    def step_spec(self, task: TaskKey) -> StepSpec:
        """Return the step of a task."""
        return self.specs[task.job].steps[task.step]

    def requires_ticket(self, task: TaskKey) -> bool:
        """Return whether a start of a task must carry a ticket."""
        if self.always_tickets:
            return True
        queue = self.cfg.queues.get(self.specs[task.job].queue)
        return queue is not None and queue.advice is not None

    # Runs and checks of the scheduling rules

    def start_run(self, worker: Worker, order: ef.StartRun, spec: StepSpec) -> Run:
        """Start a run after checking that the rules allow it."""
        self.counts["starts"] += 1
        self._check_start(worker, order, spec)
        resumed = float(order.checkpoint) if order.checkpoint else 0.0
        duration_s = spec.estimate_ms / 1000
        if self.duration_sigma:
            rng = self.rng
            if self.duration_seed:
                by_step = order.task[:3] if self.errs_by_step else order.task
                rng = random.Random(f"{self.duration_seed} {by_step}")
            duration_s *= rng.lognormvariate(0.0, self.duration_sigma)
        duration_s *= self.duration_factors.get(order.task.job, 1)
        if spec.rack and spec.rack != worker.rack:
            duration_s *= self.remote_factor
        work_s = max(0.02, duration_s - resumed)
        duration_s = work_s * worker.slower
        if self.now < worker.cold_until:
            duration_s *= COLD_SLOWDOWN
        ends = float("inf") if spec.lasting else self.now + duration_s
        fails = (
            worker.fails_all
            or order.task in self.failing_tasks
            or self.rng.random() < self.failure_rate
        )
        if fails:
            ends = self.now + 0.1
        stalled = ends == float("inf")
        run = Run(
            order.task,
            order.run,
            spec,
            self.now,
            ends,
            fails,
            resumed,
            work_s,
            stalled=stalled,
        )
        if order.task in self.deadly_tasks:
            self.call_later(DEADLY_S, lambda: self._crash_by_task(worker, run))
        return run

    def _check_start(self, worker: Worker, order: ef.StartRun, spec: StepSpec) -> None:
        task, job = order.task, self.specs[order.task.job]
        single_copy = not spec.duplicates
        for other in self.workers.values():
            if single_copy and other is not worker and other.up and task in other.runs:
                self._record_violation("twice", f"{task} also runs on {other.id}")
        done_at = self.acked_done_at.get(task, self.now)
        if task in self.acked_done_at and (single_copy or self.now > done_at + 1.0):
            self._record_violation("twice", f"{task} was done at {done_at:.2f}")
        for earlier in spec.after:
            for number in range(job.steps[earlier].tasks):
                key = TaskKey(task.job, task.occurrence, earlier, number)
                if key not in self.done_tasks:
                    self._record_violation(
                        "order", f"{task} started before {key} was done"
                    )
        if self.failed_runs[task] >= job.max_attempts and not spec.lasting:
            self._record_violation(
                "budget", f"{task} started after {self.failed_runs[task]} failures"
            )
        if self.deadly_crashes[task] >= MAX_DEADLY_CRASHES:
            self.starts_after_crashes[task] += 1
            if self.starts_after_crashes[task] > 2:
                self._record_violation(
                    "budget",
                    f"{task} started after {self.deadly_crashes[task]} crashes",
                )
        if job.service != worker.service:
            self._record_violation("route", f"{task} started in pool {worker.service}")
        if spec.label and spec.label not in (worker.kind, worker.rack):
            self._record_violation(
                "route", f"{task} started on {worker.id} of kind {worker.kind}"
            )
        if spec.gang and any(r.run != order.run for _, r in self._gang_members(task)):
            self._record_violation(
                "gang", f"{task} started while an earlier run continues"
            )
        if spec.most_per_endpoint:
            same = sum(key[:3] == task[:3] for key in worker.runs)
            if same >= spec.most_per_endpoint:
                self._record_violation(
                    "route",
                    f"{task} started with {same} tasks of its step on {worker.id}",
                )
        cancelled = self.cancelled_at.get(task.job)
        if cancelled is not None and self.now > cancelled + 3.0:
            self._record_violation(
                "unasked", f"{task} started after its job was cancelled"
            )
        # An order that is carried out late may have been sent before the drain.
        drains = worker.draining and not self._carrying_out_late
        if drains and self.now > worker.draining_since + 2.0:
            self._record_violation("drain", f"{task} started on draining {worker.id}")
        if self._is_evacuated(worker) and not self._carrying_out_late:
            self._record_violation("evac", f"{task} started on {worker.id}")
        needed = worker.used_resources().add(spec.needs)
        if not worker.guards_capacity and not needed.fits(worker.binding_capacity()):
            self._record_violation(
                "limit", f"{task} started on {worker.id}, which then uses {needed}"
            )
        self._check_limit(job.workspace, spec)

    def _is_evacuated(self, worker: Worker) -> bool:
        """Return whether a start on a worker breaks the rule of an evacuation."""
        evacuated_at = self.evacuated_at.get(worker.zone, self.now)
        return self.now > evacuated_at + self.evacuation_s

    def _check_limit(self, workspace: WorkspaceName, spec: StepSpec) -> None:
        limit = self.cfg.workspaces.get(workspace)
        if limit is None or not any(limit.limit):
            return
        total = spec.quota_request
        for worker in self.workers.values():
            for key, run in worker.runs.items():
                if worker.up and self.specs[key.job].workspace == workspace:
                    total = total.add(run.spec.quota_request)
        for most, amount in zip(limit.limit, total, strict=True):
            if most and amount > most * 1.1:
                self._record_violation(
                    "quota", f"{workspace} uses {amount}, limit {most}"
                )

    def run_stopping(self, worker: Worker, run: Run) -> None:
        """Check that the availability budget allows a run to be stopped."""
        spec = run.spec
        job = run.task.job
        if spec.max_unavailable <= 0 or job in self.cancelled_at or worker.draining:
            return
        unavailable = 0
        for number in range(spec.tasks):
            key = TaskKey(job, run.task.occurrence, run.task.step, number)
            unavailable += key != run.task and self._is_unavailable(key)
        self.stopped_runs[run.task] = run.run
        if (
            self._at_work(run.task, ignore_stop=True)
            and unavailable >= spec.max_unavailable
        ):
            self._record_violation(
                "avail", f"{run.task} stopped while {unavailable} are unavailable"
            )

    def _is_unavailable(self, key: TaskKey) -> bool:
        """Return whether a task is unavailable, by a stop order or for ``NOTICE_S``."""
        if self._at_work(key):
            return False
        newest = max(w.highest_runs.get(key, 0) for w in self.workers.values())
        by_order = self.stopped_runs.get(key, 0) >= newest > 0
        since = self.unavailable_since.get(key, self.now)
        return by_order or self.now - since >= NOTICE_S

    def _at_work(self, key: TaskKey, ignore_stop: bool = False) -> bool:
        return any(
            key in worker.runs
            and self.now - worker.runs[key].began >= STARTUP_S
            and (ignore_stop or not worker.runs[key].stop_at)
            for worker in self.workers.values()
            if worker.up
        )

    def tail_latency_ms(self, worker: Worker, run: Run) -> float:
        """Return a serving run's tail latency; filling runs add to it by their rate."""
        filling = (
            sum(r.rate_percent for r in worker.runs.values() if r.spec.fills) / 100
        )
        return run.spec.target_ms * (0.4 + self.interference * filling)

    def run_ended(self, worker: Worker, run: Run, kind: ev.EndKind) -> None:
        """Count the end of a run; the members of a gang end together."""
        self.counts[kind.value] += 1
        self.unavailable_since[run.task] = self.now
        if kind is ev.EndKind.DONE:
            self.done_tasks.add(run.task)
        if not run.spec.gang or self._ending_gang:
            return
        self._ending_gang = True
        for other, member in self._gang_members(run.task):
            if member.run == run.run and not other.cut:
                shared = kind if kind is ev.EndKind.DONE else ev.EndKind.GANG_BROKEN
                if other.runs.get(member.task) is member:
                    other.end(member, shared)
        self._ending_gang = False

    def _gang_members(self, task: TaskKey) -> list[tuple[Worker, Run]]:
        """Return the runs of the same step, with their workers."""
        return [
            (worker, run)
            for worker in self.workers.values()
            for key, run in list(worker.runs.items())
            if worker.up and key[:3] == task[:3]
        ]

    def end_acked(self, worker: Worker, ended: ev.EndedRun) -> None:
        """Record an acknowledged end, unless the lease expired after it."""
        if worker.lease_expired_at > worker.ended_at[ended.number]:
            return
        newest = max(w.highest_runs.get(ended.task, 0) for w in self.workers.values())
        single_copy = not self.step_spec(ended.task).duplicates
        if single_copy and ended.kind is ev.EndKind.DONE and newest > ended.run:
            self._record_violation(
                "twice",
                f"{ended.task}: run {newest} started, though run {ended.run} is done",
            )
        if ended.kind is ev.EndKind.DONE:
            self.acked_done_at.setdefault(ended.task, self.now)
        elif ended.kind is ev.EndKind.FAILED:
            self.failed_runs[ended.task] += 1

    def _record_violation(self, rule: str, detail: str) -> None:
        self.violations.append(f"{rule} at {self.now:.2f}: {detail}")

    # Effects

    def perform(self, node: Node, effect: ef.Effect) -> None:
        """Carry out an effect of a node."""
        handler: Callable[[Node, Any], None] = getattr(
            self, f"_do_{type(effect).__name__.lower()}"
        )
        handler(node, effect)

    def _do_writelog(self, node: Node, effect: ef.WriteLog) -> None:
        self.events[effect.event.number] += 1
        self.newest_fields[effect.event.number] = effect.fields

    def _do_stepdown(self, node: Node, effect: ef.StepDown) -> None:
        node.state = SchedulerState(node=node.name, limits=self.limits)

    def _do_commit(self, node: Node, effect: ef.Commit) -> None:
        term = node.state.term
        self.call_later(self.store_s, lambda: self._append(node, term, effect))

    def _append(self, node: Node, term: int, effect: ef.Commit) -> None:
        if not self.store_up or node.name in self.cut_nodes:
            self._retry_append(node, term, effect)
            return
        if node.state.term != term:
            return
        if term < self.newest_term:
            self._do_stepdown(node, ef.StepDown("fenced"))
            return
        self.newest_append_at = self.now
        for records in (effect.runs, effect.shared):
            size = sum(record_size(*record) for record in records)
            self.largest_append = max(self.largest_append, size)
        rejected = self._rejected_records([*effect.runs, *effect.shared])
        only = self.only_partition if effect.runs and effect.shared else ""
        if only != "shared":
            for key, value in effect.runs:
                if key in rejected:
                    continue
                self.stored_runs[key] = value
                if not value:
                    del self.stored_runs[key]
        if only != "runs":
            for record in effect.shared:
                if record.key not in rejected:
                    self._apply(record)
        if only:
            self._retry_append(node, term, effect)
            return
        self._deliver_answer(
            node, term, ev.Committed(effect.number, self.now, rejected)
        )

    def _rejected_records(self, records: list[KeyedRecord]) -> frozenset[str]:
        """Return the keys of records that the store does not take."""
        sizes = {record.key: record_size(*record) for record in records}
        large = {k: s for k, s in sizes.items() if s > self.limits.record_bytes}
        self.refused_records.update(large)
        unstorable = {f"r/{job}" for job in self.unstorable_jobs}
        return frozenset(large.keys() | (unstorable & sizes.keys()))

    def _retry_append(self, node: Node, term: int, effect: ef.Commit) -> None:
        def retry() -> None:
            if node in self.nodes:
                self._append(node, term, effect)

        self.call_later(0.1, retry)

    def _apply(self, record: KeyedRecord) -> None:
        self.ledger.apply(record.key, record.value)
        job = JobId(record.key[2:])
        entry = self.ledger.jobs.get(job)
        if (
            entry is not None
            and entry.state is JobState.COMPLETED
            and job not in self.completed_at
        ):
            self.completed_at[job] = self.now

    def _deliver_answer(self, node: Node, term: int, event: ev.Event) -> None:
        if node.state.term == term or node.frozen:
            node.feed(event)

    def _do_startrun(self, node: Node, order: ef.StartRun) -> None:
        worker = self.workers.get(order.endpoint)
        if worker is not None and self._is_evacuated(worker):
            self._record_violation(
                "evac", f"a start of {order.task} was sent to {worker.id}"
            )
        self._send_order(node, order, Worker.start, ev.StartAnswered)

    def _do_stoprun(self, node: Node, order: ef.StopRun) -> None:
        self._send_order(node, order, Worker.stop, ev.StopAnswered)

    def _do_throttlerun(self, node: Node, order: ef.ThrottleRun) -> None:
        self.counts["paced"] += 1
        worker = self.workers[order.endpoint]
        run = worker.runs.get(order.task)
        if run is not None and run.run == order.run and worker.up and not worker.cut:
            run.rate_percent = order.percent

    def _send_order(
        self, node: Node, order: Any, take: Callable[..., ev.Outcome], kind: Any
    ) -> None:
        worker = self.workers.get(order.endpoint)
        term = node.state.term

        def answered(outcome: ev.Outcome) -> None:
            if outcome is ev.Outcome.FENCED:
                self._do_stepdown(node, ef.StepDown("fenced by an endpoint"))
                return
            event = kind(order.task, order.run, order.endpoint, outcome, self.now)
            self._deliver_answer(node, term, event)

        def arrive() -> None:
            hangs = worker is not None and (
                worker.hangs_on_start and isinstance(order, ef.StartRun)
            )
            if worker is None or not self._reaches(node, worker) or hangs:
                self.call_later(ORDER_TIMEOUT_S, lambda: answered(ev.Outcome.UNKNOWN))
                return
            if order.born != worker.born:
                # The connection on which it would be sent ended with its process.
                other = ev.Outcome.OTHER_INCARNATION
                self.call_later(LATENCY_S, lambda: answered(other))
                return
            if self.rng.random() < self.late_order_rate:
                delay = self.rng.uniform(*self.late_s)
                born = worker.born
                self.call_later(
                    delay,
                    lambda: self._carry_out_delayed(
                        worker, born, lambda: take(worker, order)
                    ),
                )
                self.call_later(ORDER_TIMEOUT_S, lambda: answered(ev.Outcome.UNKNOWN))
                return
            outcome = take(worker, order)
            if worker.mute or self.rng.random() < self.answer_loss_rate:
                self.call_later(ORDER_TIMEOUT_S, lambda: answered(ev.Outcome.UNKNOWN))
            else:
                self.call_later(LATENCY_S, lambda: answered(outcome))

        self.call_later(LATENCY_S, arrive)

    def _reaches(self, node: Node, worker: Worker) -> bool:
        """Return whether a call of a node reaches an endpoint."""
        return (
            worker.up and not worker.cut and (node.name, worker.id) not in self.severed
        )

    def _carry_out_delayed(
        self, worker: Worker, born: int, carry_out: Callable[[], object]
    ) -> None:
        # Unless the switch says otherwise, a restarted process has lost the calls that
        # it had not carried out.
        if worker.up and (worker.born == born or self.late_calls_outlive_restart):
            self._carrying_out_late = True
            carry_out()
            self._carrying_out_late = False

    def _do_pollendpoint(self, node: Node, ordered: ef.PollEndpoint) -> None:
        worker = self.workers.get(ordered.endpoint)
        term, sent = node.state.term, self.now

        def failed() -> None:
            event = ev.PollFailed(ordered.endpoint, ev.Outcome.UNKNOWN, self.now)
            self._deliver_answer(node, term, event)

        def arrive() -> None:
            self.counts["looks"] += 1
            lost = self.rng.random() < self.poll_loss_rate
            if worker is None or not self._reaches(node, worker) or lost:
                self.call_later(ordered.wait_ms / 1000 + POLL_TIMEOUT_S, failed)
                return
            order = ordered
            if order.connection != worker.connection:
                # The connection ended with the incarnation that it was opened to.
                order = order._replace(until_ms=0, acked_end=0, wait_ms=0)
            if self.late_poll_rate and self.rng.random() < self.late_poll_rate:
                born = worker.born
                self.call_later(
                    self.rng.uniform(*self.late_s),
                    lambda: self._carry_out_delayed(
                        worker, born, lambda: worker.poll(order)
                    ),
                )
                self.call_later(order.wait_ms / 1000 + POLL_TIMEOUT_S, failed)
                return
            if worker.poll(order) is ev.Outcome.FENCED:
                self._do_stepdown(node, ef.StepDown("fenced by an endpoint"))
                return
            if worker.mute:
                self.call_later(order.wait_ms / 1000 + POLL_TIMEOUT_S, failed)
                return
            waits = order.wait_ms and not worker.unacked_ends
            connection = worker.connection
            answered = [False]

            def answer() -> None:
                lives = worker.up and worker.connection == connection
                if not answered[0] and lives and not (worker.cut or worker.mute):
                    answered[0] = True
                    lists = worker.poll_response(sent, order.acked_end)
                    delay_s = LATENCY_S + self.poll_delay_s
                    self.call_later(
                        delay_s, lambda: self._deliver_answer(node, term, lists)
                    )
                elif not answered[0]:
                    answered[0] = True
                    self.call_later(POLL_TIMEOUT_S, failed)

            if waits:
                worker.waiting_polls.append((self.now, answer))
                self.call_later(order.wait_ms / 1000, answer)
            else:
                answer()

        self.call_later(LATENCY_S, arrive)

    def _do_requestadvice(self, node: Node, request: ef.RequestAdvice) -> None:
        if len(request.endpoints) > MAX_ADVISED_ENDPOINTS:
            self._record_violation(
                "advice", f"{len(request.endpoints)} endpoints in a request"
            )
        allowed = {
            e: self.workers[e].ticket() for e in request.endpoints if is_advised(e)
        }
        answer = ev.AdviceReceived(
            request.step,
            request.endpoints,
            allowed,
            self.now + request.validity_s,
            self.now,
        )
        term = node.state.term
        self.call_later(0.05, lambda: self._deliver_answer(node, term, answer))

    # Instances

    def _do_listinstances(self, node: Node, effect: ef.ListInstances) -> None:
        term = node.state.term
        listed = ev.InstancesListed(self.list_instances(), self.now)
        self.call_later(LATENCY_S, lambda: self._deliver_answer(node, term, listed))

    def list_instances(self) -> ev.InstanceListing:
        """Return the platform's list, without the instances that can't be read."""
        views = self._instance_views()
        readable = [v for v in views if v.instance not in self.unreadable_instances]
        return ev.InstanceListing(readable, complete=len(readable) == len(views))

    def _instance_views(self) -> list[ev.InstanceView]:
        workers = {w.instance: w for w in self.workers.values() if w.up}
        views = []
        for instance, pool in self.pool_of.items():
            worker = workers.get(instance)
            state = ev.InstanceState.UP
            if self.down_until.get(instance, 0.0) > self.now:
                state = self.down_state[instance]
            views.append(
                ev.InstanceView(
                    instance,
                    ServiceName(pool),
                    state,
                    self.zone_of(instance),
                    ("k", self.rack_of[instance]),
                    Resources(16000, 32768, 0),
                    worker.id
                    if worker is not None and self.list_names_endpoints
                    else EndpointId(""),
                )
            )
        return views

    def _do_startmaintenance(self, node: Node, order: ef.StartMaintenance) -> None:
        wave = self._waves[order.wave]
        down = sum(
            self.is_down(i) and self.down_state[i] is ev.InstanceState.MAINTENANCE
            for i in self.maintained[order.wave]
        )
        outcome = self._order_outcome(order.instance, order.token)
        if self.upkeep_once and order.instance in self.maintained[order.wave]:
            answer = ev.MaintenanceAnswered(
                order.instance, order.wave, outcome, self.now
            )
            self._send_answer(node, answer)
            return
        if down >= wave.most_at_once and outcome is ev.Outcome.DONE:
            self._record_violation(
                "limit", f"{down} instances are already down for the wave"
            )
        if outcome is ev.Outcome.DONE:
            self.maintained[order.wave].append(order.instance)
            self.down_state[order.instance] = ev.InstanceState.MAINTENANCE
            self._replace_worker(order.instance, self.pool_of[order.instance], 2.0)
        answer = ev.MaintenanceAnswered(order.instance, order.wave, outcome, self.now)
        self._send_answer(node, answer)

    def _order_outcome(self, instance: str, token: int) -> ev.Outcome:
        """Return the outcome of an order; fencing tokens are kept per instance."""
        newest = self.instance_tokens.get(instance, 0)
        if token < newest:
            if self.limits.fencing_required:
                return ev.Outcome.FENCED
            self._record_violation(
                "one", f"{instance} got an order of term {token} after {newest}"
            )
        self.instance_tokens[instance] = token
        return ev.Outcome.BUSY if self.is_down(instance) else ev.Outcome.DONE

    def is_down(self, instance: str) -> bool:
        """Return whether an instance is being moved or maintained."""
        return self.down_until.get(instance, 0.0) > self.now

    def _do_moveinstance(self, node: Node, order: ef.MoveInstance) -> None:
        if self.now > order.send_by:
            self._answer_move(node, order, ev.Outcome.NOT_SENT)
            return
        sent_at = self.now
        delayed = node.name in self.delayed_nodes
        delay_s = self.instance_order_delay_s if delayed else 0.0
        self.call_later(delay_s, lambda: self._move(node, order, sent_at))

    def _move(self, node: Node, order: ef.MoveInstance, sent_at: float) -> None:
        self.instance_orders.append(InstanceOrder(sent_at, order.instance, order.token))
        outcome = self._order_outcome(order.instance, order.token)
        self.counts[f"moves {outcome.value}"] += 1
        if outcome is ev.Outcome.DONE:
            self.down_state[order.instance] = ev.InstanceState.MOVING
            self._replace_worker(order.instance, order.pool, 1.5)
        self._answer_move(node, order, outcome)

    def _answer_move(
        self, node: Node, order: ef.MoveInstance, outcome: ev.Outcome
    ) -> None:
        answer = ev.MoveAnswered(order.instance, order.pool, outcome, self.now)
        self._send_answer(node, answer)

    def _send_answer(self, node: Node, answer: Any) -> None:
        term = node.state.term
        if self.rng.random() < self.instance_answer_loss_rate:
            answer = answer._replace(outcome=ev.Outcome.UNKNOWN)
        self.call_later(LATENCY_S, lambda: self._deliver_answer(node, term, answer))

    def _replace_worker(self, instance: str, pool: str, seconds: float) -> None:
        """End the worker of an instance and start another one after a delay."""
        for worker in list(self.workers.values()):
            if worker.instance == instance and worker.up:
                for run in worker.runs.values():
                    run.stop_at = run.stop_at or self.now
                    self.run_stopping(worker, run)
                    self.counts["killed by a planned stop"] += 1
                worker.crash()
                self.remove_report(worker)
        self.pool_of[instance] = pool
        self.down_until[instance] = self.now + seconds
        if pool != self.cfg.spare_pool():
            self.call_later(seconds, lambda: self.join_worker(instance, pool))

    def join_worker(self, instance: str, pool: str) -> None:
        """Start a new endpoint on an instance."""
        self._sequence += 1
        name = f"{instance}-{self._sequence}"
        capacity = Resources(16000, 32768, 0)
        rack = self.rack_of[instance]
        worker = Worker(self, name, pool, rack, capacity, instance)
        self.workers[worker.id] = worker
        self._announce(worker)

    def _do_reportwavestatus(self, node: Node, effect: ef.ReportWaveStatus) -> None:
        if effect.completed:
            left = set(self._waves[effect.wave].instances) - set(
                self.maintained[effect.wave]
            )
            if left:
                self._record_violation(
                    "mixed", f"wave {effect.wave} completed without {sorted(left)}"
                )
        self.wave_completed[effect.wave] = effect.completed


def objective_ms(spec: JobSpec) -> float:
    """Return the time in which a job meets its latency objective."""
    return spec.stretch * critical_path_ms(spec) + spec.goal_ms


def is_advised(name: str) -> bool:
    """Return whether advice allows an endpoint: a fixed half of all names."""
    return sum(name.encode()) % 2 == 0
