"""Endpoints, store and instances in virtual time, around the scheduler's reducer.

It plays minutes of a heavy day in seconds, injects faults, and notes every broken rule.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter, defaultdict
from collections.abc import Callable
from typing import Any

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
from primrosepitch.jobs.records import Cancellation, Ledger, decode_runs, encode
from primrosepitch.jobs.store import KeyedRecord
from primrosepitch.scheduling import effects as ef
from primrosepitch.scheduling import events as ev
from primrosepitch.scheduling.configuration import Configuration, WaveSpec
from primrosepitch.scheduling.leases import takeover_wait_s
from primrosepitch.scheduling.reducer import step
from primrosepitch.scheduling.state import Limits, SchedulerState

__all__ = ["Node", "SchedulerWorld", "Worker"]

CALL_S = 0.002
"""One way between a node and an endpoint."""

COMMIT_S = 0.005
"""Time of an append."""

TICK_S = 0.02
"""Interval of a node's ticks."""

ORDER_S = 0.25
"""Time after which a node gives up waiting for an answer."""

HOLD_EXTRA_S = 0.3
"""The same for a hold, besides its wait."""

STOP_S = 0.2
"""Time that a stop takes."""

STARTUP_S = 0.3
"""Time after which a lasting task is at work."""

NOTICE_S = 4.5
"""Time for which a task must not have been at work to count as away without an order;
the platform's notice_ms."""

BEGIN_MS = 1_700_000_000_000
"""Unix time at the begin of the virtual clock."""


class Run(msgspec.Struct, eq=False):
    """One run on a worker."""

    task: TaskKey
    run: int
    spec: StepSpec
    began: float
    ends_at: float
    fails: bool
    resumed_s: float
    stop_at: float = 0.0
    pace: int = 100
    stands_still: bool = False

    def percent(self, now: float) -> int:
        """Return the share of its work that is done."""
        if self.stands_still:
            return 10
        return int(100 * (now - self.began) / max(0.001, self.ends_at - self.began))


class Worker:
    """An endpoint that follows the platform's rules.

    :param slow_clock: part by which its clock is slow
    :param unhealthy: whether it refuses starts, also those that it has carried out
    :param slower: factor on the duration of what it starts; infinite if that hangs
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
        """Start to live."""
        self.world = world
        self.id = EndpointId(name)
        self.service = ServiceName(service)
        self.rack = rack
        self.capacity = capacity
        self.instance = instance
        self.born = world.wall_ms
        self.started_at = world.now
        self.slow_clock = 0.0
        self.up = True
        self.cut = False
        self.draining = False
        self.drained_at = 0.0
        self.fails_all = False
        self.slower = 1.0
        self.unhealthy = False
        self.runs: dict[TaskKey, Run] = {}
        self.ended: list[ev.EndedRun] = []
        self.count = 0
        self.confirmed = 0
        self.token = 0
        self.until_ms = 0
        self.highest: dict[TaskKey, int] = {}
        self.ended_at: dict[int, float] = {}
        self.lapsed_at = 0.0
        self.waiters: list[tuple[float, Callable[[], None]]] = []

    def clock_ms(self) -> int:
        """Return the worker's own clock."""
        return int((self.world.now - self.started_at) * 1000 * (1 - self.slow_clock))

    def report(self) -> ev.EndpointReport:
        """Return what the worker says of itself."""
        return ev.EndpointReport(
            self.id,
            self.born,
            self.service,
            f"{self.id}:1",
            "a",
            self.draining,
            self.capacity,
            ("k", self.rack),
            self.instance,
            self.clock_ms(),
            self.world.now + 5 if self.draining else 0.0,
        )

    def used(self) -> Resources:
        """Return what its runs take."""
        total = Resources()
        for run in self.runs.values():
            total = total.add(run.spec.needs)
        return total

    def advance(self) -> None:
        """End what is due."""
        now = self.world.now
        if self.until_ms and self.clock_ms() > self.until_ms:
            self.lapsed_at = now
            for run in list(self.runs.values()):
                self.end(run, ev.EndKind.LAPSED)
        for run in list(self.runs.values()):
            if self.runs.get(run.task) is not run:
                continue
            if run.stop_at and now >= run.stop_at:
                self.end(run, ev.EndKind.STOPPED)
            elif not run.stop_at and now >= run.ends_at:
                self.end(run, ev.EndKind.FAILED if run.fails else ev.EndKind.DONE)

    def end(self, run: Run, kind: ev.EndKind) -> None:
        """List the end of a run."""
        del self.runs[run.task]
        self.count += 1
        saved = ""
        if run.spec.checkpoints and kind is not ev.EndKind.DONE:
            saved = f"{run.resumed_s + self.world.now - run.began:.3f}"
        self.ended_at[self.count] = self.world.now
        self.ended.append(ev.EndedRun(self.count, run.task, run.run, kind, saved))
        self.world.ended(self, run, kind)
        self.wake()

    def wake(self) -> None:
        """Answer the holds that wait for an end."""
        waiters, self.waiters = self.waiters, []
        for _, answer in waiters:
            answer()

    def start(self, order: ef.StartRun) -> ev.Outcome:
        """Take an order to start."""
        if order.token < self.token:
            return ev.Outcome.FENCED
        if self.unhealthy:
            return ev.Outcome.UNHEALTHY
        self.token = order.token
        present = self.runs.get(order.task)
        if present is not None and present.run == order.run:
            return ev.Outcome.DONE
        if order.run <= self.highest.get(order.task, 0) or present is not None:
            return ev.Outcome.SUPERSEDED
        if order.until_ms <= self.clock_ms():
            return ev.Outcome.LEASE_EXPIRED
        spec = self.world.step_spec(order.task)
        if not self.used().add(spec.needs).fits(self.capacity):
            return ev.Outcome.NO_ROOM
        self.until_ms = max(self.until_ms, order.until_ms)
        self.highest[order.task] = order.run
        self.runs[order.task] = self.world.new_run(self, order, spec)
        return ev.Outcome.DONE

    def stop(self, order: ef.StopRun) -> ev.Outcome:
        """Take an order to stop."""
        if order.token < self.token:
            return ev.Outcome.FENCED
        self.token = order.token
        self.highest[order.task] = max(self.highest.get(order.task, 0), order.run)
        run = self.runs.get(order.task)
        if run is not None and run.run == order.run and not run.stop_at:
            run.stop_at = self.world.now + STOP_S
            self.world.stopping(self, run)
        return ev.Outcome.DONE

    def hold(self, order: ef.PollEndpoint) -> ev.Outcome:
        """Take a hold."""
        if order.token < self.token:
            return ev.Outcome.FENCED
        self.token = order.token
        self.until_ms = max(self.until_ms, order.until_ms)
        if order.acked_end > self.confirmed:
            self.confirmed = order.acked_end
            for ended in self.ended:
                if ended.number <= order.acked_end:
                    self.world.noted(self, ended)
            self.ended = [e for e in self.ended if e.number > order.acked_end]
        return ev.Outcome.DONE

    def lists(self, sent: float) -> ev.EndpointPolled:
        """Return what runs and what has ended."""
        running = []
        for run in self.runs.values():
            at_work = self.world.now - run.began >= STARTUP_S
            percent = run.percent(self.world.now)
            if run.spec.lasting:
                percent = 100 if at_work else 40
            load = self.world.tail_ms(self, run) if run.spec.target_ms else 0.0
            running.append(ev.ActiveRun(run.task, run.run, "", percent, load))
        return ev.EndpointPolled(
            self.id,
            self.born,
            sent,
            self.world.now,
            self.clock_ms(),
            running,
            list(self.ended),
        )

    def crash(self) -> None:
        """Lose everything."""
        self.up = False
        self.world.off_work.update(dict.fromkeys(self.runs, self.world.now))
        self.runs = {}
        self.ended = []

    def reborn(self) -> None:
        """Start again under the same id."""
        self.up = True
        self.born = self.world.wall_ms
        self.started_at = self.world.now
        self.ended_at, self.lapsed_at = {}, 0.0
        self.count = self.confirmed = self.token = self.until_ms = 0
        self.highest = {}
        self.draining = False


class Node:
    """A node that may schedule.

    :param frozen: whether it stands still; what it was to do follows when it wakes
    """

    def __init__(self, world: SchedulerWorld, name: str) -> None:
        """Schedule nothing yet."""
        self.world = world
        self.name = name
        self.state = SchedulerState(node=name, limits=world.limits)
        self.frozen = False
        self.held_back: list[Callable[[], None]] = []
        self.sequence = 0

    def feed(self, event: ev.Event) -> None:
        """Give the reducer an event and perform its effects."""
        if self.frozen:
            self.held_back.append(lambda: self.feed(event))
            return
        for effect in step(self.state, event):
            self.world.perform(self, effect)

    def thaw(self) -> None:
        """Go on: a timer that is due comes before what has arrived meanwhile."""
        self.frozen = False
        if self.state.term:
            self.feed(ev.Tick(self.world.now, self.world.wall_ms))
        held_back, self.held_back = self.held_back, []
        for action in held_back:
            action()


class SchedulerWorld:
    """The world around the scheduler.

    :param takes_only: partition whose append the store does of a commit to two; empty
        if both
    :param lose: share of orders whose answers are lost
    :param hold_s: time by which the answers to holds are late
    :param lose_holds: share of holds that are not answered
    :param late: share of orders without an answer that are carried out seconds later
    :param failures: share of runs that fail
    """

    def __init__(self, seed: int = 1, limits: Limits | None = None) -> None:
        """Be empty."""
        self.rng = random.Random(seed)
        self.limits = limits or Limits()
        self.now = 100.0
        self.cfg = Configuration(version=1)
        self.ledger = Ledger()
        self.runs: dict[str, bytes] = {}
        self.epoch = 0
        self.store_up = True
        self.takes_only = ""
        self.order = "urgency"
        self.store_s = COMMIT_S
        self.hold_s = 0.0
        self.lose = 0.0
        self.late = 0.0
        self.lose_holds = 0.0
        self.failures = 0.0
        self.spread = 0.0
        self.workers: dict[EndpointId, Worker] = {}
        self.nodes: list[Node] = []
        self.specs: dict[JobId, JobSpec] = {}
        self.cancelled_at: dict[JobId, float] = {}
        self.done_at: dict[TaskKey, float] = {}
        self.ended_done: set[TaskKey] = set()
        self.failed_runs: Counter[TaskKey] = Counter()
        self.accepted_at: dict[JobId, float] = {}
        self.completed_at: dict[JobId, float] = {}
        self.failing_tasks: set[TaskKey] = set()
        self.long_jobs: dict[JobId, int] = {}
        self.list_names_endpoints = True
        self.disturbance = 0.0
        self._ending_gang = False
        self.broken: list[str] = []
        self.counts: Counter[str] = Counter()
        self.pools: dict[str, str] = {}
        self.racks: dict[str, str] = {}
        self.down: dict[str, float] = {}
        self.doing: dict[str, ev.InstanceState] = {}
        self.fences: dict[str, int] = {}
        self.stopped: dict[TaskKey, int] = {}
        self.off_work: dict[TaskKey, float] = {}
        self.upkept: dict[int, list[str]] = defaultdict(list)
        self._waves: dict[int, WaveSpec] = {}
        self.wave_states: dict[int, bool] = {}
        self.events: Counter[int] = Counter()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._number = 0

    @property
    def wall_ms(self) -> int:
        """Return the Unix time."""
        return BEGIN_MS + int(self.now * 1000)

    # Time

    def later(self, delay_s: float, action: Callable[[], None]) -> None:
        """Do something after a while."""
        self._number += 1
        heapq.heappush(self._queue, (self.now + delay_s, self._number, action))

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while True:
            tick = (int(self.now / TICK_S + 1e-6) + 1) * TICK_S
            at = min(tick, end, self._queue[0][0] if self._queue else end)
            self.now = max(self.now, at)
            for worker in self.workers.values():
                if worker.up:
                    worker.advance()
            while self._queue and self._queue[0][0] <= self.now:
                heapq.heappop(self._queue)[2]()
            if at == tick:
                for node in self.nodes:
                    if node.state.term and not node.frozen:
                        node.feed(ev.Tick(self.now, self.wall_ms))
            if self.now >= end:
                return

    def until(self, condition: Callable[[], bool], most_s: float) -> bool:
        """Let time pass until something holds."""
        end = self.now + most_s
        while not condition():
            if self.now >= end:
                return False
            self.run(TICK_S)
        return True

    # Parts

    def add_worker(
        self, name: str, service: str, rack: str = "r1", cpu: int = 16000
    ) -> Worker:
        """Add an endpoint on an instance of its own."""
        instance = self.add_instance(name, service, rack)
        worker = Worker(self, name, service, rack, Resources(cpu, 32768, 0), instance)
        self.workers[worker.id] = worker
        self._announce(worker)
        return worker

    def add_instance(self, name: str, service: str, rack: str) -> str:
        """Add an instance; those of the spare pool have no endpoint."""
        instance = f"m-{name}"
        self.pools[instance] = service
        self.racks[instance] = rack
        return instance

    def _announce(self, worker: Worker) -> None:
        for node in self.nodes:
            node.feed(ev.EndpointReported(worker.report(), self.now))

    def remove_report(self, worker: Worker) -> None:
        """Remove an endpoint's report from the store."""
        for node in self.nodes:
            node.feed(ev.EndpointRemoved(worker.id, self.now))

    def report(self, worker: Worker) -> None:
        """Write an endpoint's report anew."""
        self._announce(worker)

    def take_term(self, name: str) -> Node:
        """Let a node take the next term."""
        node = next((n for n in self.nodes if n.name == name), None)
        if node is None:
            node = Node(self, name)
            self.nodes.append(node)
        earlier = self.epoch > 0
        self.epoch += 1
        node.state = SchedulerState(node=name, limits=self.limits)
        node.state.wall_ms = self.wall_ms
        node.state.ranking = self.order
        node.feed(ev.ConfigurationChanged(self.cfg))
        for wave in self.waves:
            node.feed(ev.WaveRequested(wave))
        quiet = self.now + takeover_wait_s(self.limits) if earlier else self.now
        waves = {number: w.begun for number, w in self.ledger.waves.items()}
        jobs, runs = self.ledger.jobs, decode_runs(self.runs.items())
        node.feed(ev.TermTaken(self.now, self.epoch, jobs, runs, quiet, waves))
        for worker in self.workers.values():
            if worker.up:
                node.feed(ev.EndpointReported(worker.report(), self.now))
        return node

    @property
    def waves(self) -> list[WaveSpec]:
        """Return the waves that were asked for."""
        return list(self._waves.values())

    def ask_wave(self, wave: WaveSpec) -> None:
        """Ask for a wave."""
        self._waves[wave.wave] = wave
        for node in self.nodes:
            node.feed(ev.WaveRequested(wave))

    # Callers

    def submit(self, spec: JobSpec) -> None:
        """Accept a job."""
        self.specs[spec.job] = spec
        self.accepted_at[spec.job] = self.now
        self.ledger.apply(*encode(spec))
        for node in self.nodes:
            node.feed(ev.JobAccepted(spec))

    def cancel(self, job: JobId) -> None:
        """Cancel a job."""
        self.cancelled_at[job] = self.now
        self.ledger.apply(*encode(Cancellation(job, self.wall_ms)))
        for node in self.nodes:
            node.feed(ev.CancelRequested(job))

    def state_of(self, job: JobId) -> JobState:
        """Return the state that callers are told."""
        return self.ledger.jobs[job].state

    def step_spec(self, task: TaskKey) -> StepSpec:
        """Return the step of a task."""
        return self.specs[task.job].steps[task.step]

    # Runs, and the rules

    def new_run(self, worker: Worker, order: ef.StartRun, spec: StepSpec) -> Run:
        """Begin a run, and check that it may begin."""
        self.counts["starts"] += 1
        self._check_start(worker, order, spec)
        resumed = float(order.checkpoint) if order.checkpoint else 0.0
        took = spec.estimate_ms / 1000
        if self.spread:
            took *= self.rng.lognormvariate(0.0, self.spread)
        took *= self.long_jobs.get(order.task.job, 1)
        took = max(0.02, took - resumed) * worker.slower
        ends = float("inf") if spec.lasting else self.now + took
        fails = (
            worker.fails_all
            or order.task in self.failing_tasks
            or self.rng.random() < self.failures
        )
        if fails:
            ends = self.now + 0.1
        still = ends == float("inf")
        return Run(
            order.task,
            order.run,
            spec,
            self.now,
            ends,
            fails,
            resumed,
            stands_still=still,
        )

    def _check_start(self, worker: Worker, order: ef.StartRun, spec: StepSpec) -> None:
        task, job = order.task, self.specs[order.task.job]
        alone = not spec.duplicates
        for other in self.workers.values():
            if alone and other is not worker and other.up and task in other.runs:
                self._break("twice", f"{task} runs on {other.id} too")
        done_at = self.done_at.get(task, self.now)
        if task in self.done_at and (alone or self.now > done_at + 1.0):
            self._break("twice", f"{task} was done at {done_at:.2f}")
        for earlier in spec.after:
            for number in range(job.steps[earlier].tasks):
                key = TaskKey(task.job, task.occurrence, earlier, number)
                if key not in self.ended_done:
                    self._break("order", f"{task} before {key}")
        if self.failed_runs[task] >= job.max_attempts and not spec.lasting:
            self._break("budget", f"{task} after {self.failed_runs[task]} failures")
        if job.service != worker.service:
            self._break("route", f"{task} on {worker.service}")
        if spec.gang and any(r.run != order.run for _, r in self._members(task)):
            self._break("gang", f"{task} while an earlier run goes on")
        if spec.most_per_endpoint:
            same = sum(key[:3] == task[:3] for key in worker.runs)
            if same >= spec.most_per_endpoint:
                self._break("route", f"{task}: {same} of its step on {worker.id}")
        cancelled = self.cancelled_at.get(task.job)
        if cancelled is not None and self.now > cancelled + 3.0:
            self._break("unasked", f"{task} after its job was cancelled")
        if worker.draining and self.now > worker.drained_at + 2.0:
            self._break("drain", f"{task} on {worker.id}")
        self._check_limit(job.workspace, spec)

    def _check_limit(self, workspace: WorkspaceName, spec: StepSpec) -> None:
        limit = self.cfg.workspaces.get(workspace)
        if limit is None:
            return
        total = spec.quota_request
        for worker in self.workers.values():
            for key, run in worker.runs.items():
                if worker.up and self.specs[key.job].workspace == workspace:
                    total = total.add(run.spec.quota_request)
        for most, amount in zip(limit.limit, total, strict=True):
            if most and amount > most * 1.1:
                self._break("quota", f"{workspace} has {amount} of {most}")

    def stopping(self, worker: Worker, run: Run) -> None:
        """Check that a run may be taken away."""
        spec = run.spec
        job = run.task.job
        if spec.max_unavailable <= 0 or job in self.cancelled_at or worker.draining:
            return
        away = 0
        for number in range(spec.tasks):
            key = TaskKey(job, run.task.occurrence, run.task.step, number)
            away += key != run.task and self._away(key)
        self.stopped[run.task] = run.run
        if self._at_work(run.task, ignore_stop=True) and away >= spec.max_unavailable:
            self._break("avail", f"{run.task} stopped while {away} are away")

    def _away(self, key: TaskKey) -> bool:
        """Return whether a task counts as away: by an order, or for long enough."""
        if self._at_work(key):
            return False
        newest = max(w.highest.get(key, 0) for w in self.workers.values())
        by_order = self.stopped.get(key, 0) >= newest > 0
        since = self.off_work.get(key, self.now)
        return by_order or self.now - since >= NOTICE_S

    def _at_work(self, key: TaskKey, ignore_stop: bool = False) -> bool:
        return any(
            key in worker.runs
            and self.now - worker.runs[key].began >= STARTUP_S
            and (ignore_stop or not worker.runs[key].stop_at)
            for worker in self.workers.values()
            if worker.up
        )

    def tail_ms(self, worker: Worker, run: Run) -> float:
        """Return a serving run's tail latency: filling runs add to it by their pace."""
        filling = sum(r.pace for r in worker.runs.values() if r.spec.fills) / 100
        return run.spec.target_ms * (0.4 + self.disturbance * filling)

    def ended(self, worker: Worker, run: Run, kind: ev.EndKind) -> None:
        """Count an end; the members of a gang end together."""
        self.counts[kind.value] += 1
        self.off_work[run.task] = self.now
        if kind is ev.EndKind.DONE:
            self.ended_done.add(run.task)
        if not run.spec.gang or self._ending_gang:
            return
        self._ending_gang = True
        for other, member in self._members(run.task):
            if member.run == run.run and not other.cut:
                shared = kind if kind is ev.EndKind.DONE else ev.EndKind.GANG_BROKEN
                if other.runs.get(member.task) is member:
                    other.end(member, shared)
        self._ending_gang = False

    def _members(self, task: TaskKey) -> list[tuple[Worker, Run]]:
        """Return what runs of the same step."""
        return [
            (worker, run)
            for worker in self.workers.values()
            for key, run in list(worker.runs.items())
            if worker.up and key[:3] == task[:3]
        ]

    def noted(self, worker: Worker, ended: ev.EndedRun) -> None:
        """Take it that an end counts for good, unless the lease lapsed after it."""
        if worker.lapsed_at > worker.ended_at[ended.number]:
            return
        newest = max(w.highest.get(ended.task, 0) for w in self.workers.values())
        alone = not self.step_spec(ended.task).duplicates
        if alone and ended.kind is ev.EndKind.DONE and newest > ended.run:
            self._break("twice", f"{ended.task}: run {newest} after {ended.run} done")
        if ended.kind is ev.EndKind.DONE:
            self.done_at.setdefault(ended.task, self.now)
        elif ended.kind is ev.EndKind.FAILED:
            self.failed_runs[ended.task] += 1

    def _break(self, rule: str, detail: str) -> None:
        self.broken.append(f"{rule} at {self.now:.2f}: {detail}")

    # Effects

    def perform(self, node: Node, effect: ef.Effect) -> None:
        """Carry out an effect of a node."""
        handler: Callable[[Node, Any], None] = getattr(
            self, f"_do_{type(effect).__name__.lower()}"
        )
        handler(node, effect)

    def _do_writelog(self, node: Node, effect: ef.WriteLog) -> None:
        self.events[effect.event.number] += 1

    def _do_stepdown(self, node: Node, effect: ef.StepDown) -> None:
        node.state = SchedulerState(node=node.name, limits=self.limits)

    def _do_commit(self, node: Node, effect: ef.Commit) -> None:
        term = node.state.term
        self.later(self.store_s, lambda: self._append(node, term, effect))

    def _append(self, node: Node, term: int, effect: ef.Commit) -> None:
        if not self.store_up:
            self._repeat(node, term, effect)
            return
        if node.state.term != term:
            return
        if term < self.epoch:
            self._do_stepdown(node, ef.StepDown("fenced"))
            return
        partly = self.takes_only if effect.runs and effect.shared else ""
        if partly != "shared":
            for key, value in effect.runs:
                self.runs[key] = value
                if not value:
                    del self.runs[key]
        if partly != "runs":
            for record in effect.shared:
                self._apply(record)
        if partly:
            self._repeat(node, term, effect)
            return
        self._answer(node, term, ev.Committed(effect.number, self.now))

    def _repeat(self, node: Node, term: int, effect: ef.Commit) -> None:
        def again() -> None:
            if node in self.nodes:
                self._append(node, term, effect)

        self.later(0.1, again)

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

    def _answer(self, node: Node, term: int, event: ev.Event) -> None:
        if node.state.term == term or node.frozen:
            node.feed(event)

    def _do_startrun(self, node: Node, order: ef.StartRun) -> None:
        self._order(node, order, Worker.start, ev.StartAnswered)

    def _do_stoprun(self, node: Node, order: ef.StopRun) -> None:
        self._order(node, order, Worker.stop, ev.StopAnswered)

    def _do_throttlerun(self, node: Node, order: ef.ThrottleRun) -> None:
        self.counts["paced"] += 1
        worker = self.workers[order.endpoint]
        run = worker.runs.get(order.task)
        if run is not None and run.run == order.run and worker.up and not worker.cut:
            run.pace = order.percent

    def _order(
        self, node: Node, order: Any, take: Callable[..., ev.Outcome], kind: Any
    ) -> None:
        worker = self.workers.get(order.endpoint)
        term = node.state.term

        def answered(outcome: ev.Outcome) -> None:
            if outcome is ev.Outcome.FENCED:
                self._do_stepdown(node, ef.StepDown("fenced by an endpoint"))
                return
            event = kind(order.task, order.run, order.endpoint, outcome, self.now)
            self._answer(node, term, event)

        def arrive() -> None:
            if worker is None or not worker.up or worker.cut:
                self.later(ORDER_S, lambda: answered(ev.Outcome.UNKNOWN))
                return
            if self.rng.random() < self.late:
                delay = self.rng.uniform(2.0, 12.0)
                born = worker.born
                self.later(
                    delay, lambda: self._carry_out_late(worker, born, take, order)
                )
                self.later(ORDER_S, lambda: answered(ev.Outcome.UNKNOWN))
                return
            outcome = take(worker, order)
            if self.rng.random() < self.lose:
                self.later(ORDER_S, lambda: answered(ev.Outcome.UNKNOWN))
            else:
                self.later(CALL_S, lambda: answered(outcome))

        self.later(CALL_S, arrive)

    def _carry_out_late(
        self, worker: Worker, born: int, take: Callable[..., ev.Outcome], order: Any
    ) -> None:
        # What a process had read and not done is gone with it.
        if worker.up and worker.born == born:
            take(worker, order)

    def _do_pollendpoint(self, node: Node, order: ef.PollEndpoint) -> None:
        worker = self.workers.get(order.endpoint)
        term, sent = node.state.term, self.now

        def failed() -> None:
            event = ev.PollFailed(order.endpoint, ev.Outcome.UNKNOWN, self.now)
            self._answer(node, term, event)

        def arrive() -> None:
            self.counts["looks"] += 1
            lost = self.rng.random() < self.lose_holds
            if worker is None or not worker.up or worker.cut or lost:
                self.later(order.wait_ms / 1000 + HOLD_EXTRA_S, failed)
                return
            if worker.hold(order) is ev.Outcome.FENCED:
                self._do_stepdown(node, ef.StepDown("fenced by an endpoint"))
                return
            waits = order.wait_ms and not worker.ended
            answered = [False]

            def answer() -> None:
                if not answered[0] and worker.up and not worker.cut:
                    answered[0] = True
                    lists = worker.lists(sent)
                    delay_s = CALL_S + self.hold_s
                    self.later(delay_s, lambda: self._answer(node, term, lists))
                elif not answered[0]:
                    answered[0] = True
                    self.later(HOLD_EXTRA_S, failed)

            if waits:
                worker.waiters.append((self.now, answer))
                self.later(order.wait_ms / 1000, answer)
            else:
                answer()

        self.later(CALL_S, arrive)

    def _do_requestadvice(self, node: Node, question: ef.RequestAdvice) -> None:
        allowed = {e: f"t-{e}" for e in question.endpoints if hash_even(e)}
        answer = ev.AdviceReceived(
            question.step,
            question.endpoints,
            allowed,
            self.now + question.validity_s,
            self.now,
        )
        term = node.state.term
        self.later(0.05, lambda: self._answer(node, term, answer))

    # Instances

    def _do_listinstances(self, node: Node, effect: ef.ListInstances) -> None:
        term = node.state.term
        listed = ev.InstancesListed(self._views(), self.now)
        self.later(CALL_S, lambda: self._answer(node, term, listed))

    def _views(self) -> list[ev.InstanceView]:
        on = {w.instance: w for w in self.workers.values() if w.up}
        views = []
        for instance, pool in self.pools.items():
            worker = on.get(instance)
            state = ev.InstanceState.UP
            if self.down.get(instance, 0.0) > self.now:
                state = self.doing[instance]
            views.append(
                ev.InstanceView(
                    instance,
                    ServiceName(pool),
                    state,
                    "a",
                    ("k", self.racks[instance]),
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
            self._is_down(i) and self.doing[i] is ev.InstanceState.MAINTENANCE
            for i in self.upkept[order.wave]
        )
        outcome = self._may_order(order.instance, order.token)
        if down >= wave.most_at_once and outcome is ev.Outcome.DONE:
            self._break("limit", f"{down} instances are down for the wave")
        if outcome is ev.Outcome.DONE:
            self.upkept[order.wave].append(order.instance)
            self.doing[order.instance] = ev.InstanceState.MAINTENANCE
            self._replace(order.instance, self.pools[order.instance], 2.0)
        answer = ev.MaintenanceAnswered(order.instance, order.wave, outcome, self.now)
        self._answer_later(node, answer)

    def _may_order(self, instance: str, token: int) -> ev.Outcome:
        """Return how an order is answered; fences hold for each instance by itself."""
        if token < self.fences.get(instance, 0):
            return ev.Outcome.FENCED
        self.fences[instance] = token
        return ev.Outcome.BUSY if self._is_down(instance) else ev.Outcome.DONE

    def _is_down(self, instance: str) -> bool:
        return self.down.get(instance, 0.0) > self.now

    def _do_moveinstance(self, node: Node, order: ef.MoveInstance) -> None:
        outcome = self._may_order(order.instance, order.token)
        self.counts[f"moves {outcome.value}"] += 1
        if outcome is ev.Outcome.DONE:
            self.doing[order.instance] = ev.InstanceState.MOVING
            self._replace(order.instance, order.pool, 1.5)
        answer = ev.MoveAnswered(order.instance, order.pool, outcome, self.now)
        self._answer_later(node, answer)

    def _answer_later(self, node: Node, answer: ev.Event) -> None:
        term = node.state.term
        self.later(CALL_S, lambda: self._answer(node, term, answer))

    def _replace(self, instance: str, pool: str, seconds: float) -> None:
        """End the worker of an instance; another one comes after a while."""
        rack = self.racks[instance]
        for worker in list(self.workers.values()):
            if worker.instance == instance and worker.up:
                for run in worker.runs.values():
                    run.stop_at = run.stop_at or self.now
                    self.stopping(worker, run)
                    self.counts["killed by a planned stop"] += 1
                worker.crash()
                self.remove_report(worker)
        self.pools[instance] = pool
        self.down[instance] = self.now + seconds
        spare = self.cfg.spare_pool()
        if pool == spare:
            return
        self._number += 1
        name = f"{instance}-{self._number}"

        def join() -> None:
            capacity = Resources(16000, 32768, 0)
            worker = Worker(self, name, pool, rack, capacity, instance)
            self.workers[worker.id] = worker
            self._announce(worker)

        self.later(seconds, join)

    def _do_reportwavestatus(self, node: Node, effect: ef.ReportWaveStatus) -> None:
        if effect.completed:
            left = set(self._waves[effect.wave].instances) - set(
                self.upkept[effect.wave]
            )
            if left:
                self._break("mixed", f"wave {effect.wave} without {sorted(left)}")
        self.wave_states[effect.wave] = effect.completed


def hash_even(name: str) -> bool:
    """Return a stable choice of half of all names."""
    return sum(name.encode()) % 2 == 0
