"""Random faults for the scheduler's world, and the check that lasting tasks run.

All faults of a day follow from one seed. They overlap, and each has ended by a known
time, after which every lasting task must run wherever there is room.
"""

from __future__ import annotations

import functools
import random
from collections.abc import Callable

import msgspec

from primrosepitch.jobs.model import Resources, StepSpec, TaskKey
from primrosepitch.scheduling import events as ev
from primrosepitch.scheduling.configuration import WaveSpec
from standins.scheduler_world import Node, SchedulerWorld, Worker

__all__ = ["ENTRY_FAULTS", "EVACUATIONS", "FAULTS", "FaultDay", "LastingTaskCheck"]

FAULT_S = 22.0
"""Time in which faults begin and end."""

LATE_ORDER_S = 12.0
"""Maximum delay of an order that is carried out late, see ``SchedulerWorld``."""

CALM_S = 4.0
"""Time after the last fault in which lasting tasks may wait."""

WAIT_S = 3.0
"""Time for which a lasting task may wait while there is room for it."""

Fault = Callable[["FaultDay"], None]
FAULTS: dict[str, Fault] = {}
ENTRY_FAULTS: dict[str, Fault] = {}
EVACUATIONS: dict[str, Fault] = {}


def register(fault: Fault) -> Fault:
    """Register a fault under the name of its function."""
    FAULTS[fault.__name__.removeprefix("_").replace("_", " ")] = fault
    return fault


def register_entry_fault(fault: Fault) -> Fault:
    """Register a fault of the endpoints' entries, which only some days have."""
    ENTRY_FAULTS[fault.__name__.removeprefix("_").replace("_", " ")] = fault
    return fault


class FaultDay:
    """Faults of one seed in a world.

    :param least_workers: number of endpoints of a pool that never stop for good
    :param log: begin of each fault, as text
    """

    def __init__(
        self, world: SchedulerWorld, seed: int, least_workers: int = 4
    ) -> None:
        """Begin the time of the faults."""
        self.world = world
        self.rng = random.Random(seed)
        self.least_workers = least_workers
        self.ends_at = world.now + FAULT_S
        self.log: list[str] = []

    def schedule(self, count: int, faults: dict[str, Fault]) -> None:
        """Schedule a number of faults at random times."""
        names = sorted(faults)
        for _ in range(count):
            name = self.rng.choice(names)
            at = self.rng.uniform(0.0, FAULT_S - 6.0)
            self.world.call_later(at, functools.partial(self.begin, name, faults[name]))

    def begin(self, name: str, fault: Fault) -> None:
        """Begin a fault now."""
        self.log.append(f"{self.world.now:.2f} {name}")
        fault(self)

    def duration_s(self, most: float = 6.0) -> float:
        """Return a random duration that ends in time."""
        left = self.ends_at - self.world.now
        return self.rng.uniform(0.05, max(0.05, min(most, left)))

    def later(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule the end of a fault."""
        delay_s = min(delay_s, max(0.0, self.ends_at - self.world.now))
        self.world.call_later(delay_s, action)

    def workers(self) -> list[Worker]:
        """Return the endpoints that are up, busy ones twice."""
        up = [w for w in self.world.workers.values() if w.up]
        return up + [w for w in up if w.runs]

    def pick(self, most: int = 1) -> list[Worker]:
        """Return one or several endpoints that are up."""
        found = self.workers()
        count = min(len(found), self.rng.randint(1, most))
        return list({w.id: w for w in self.rng.sample(found, count)}.values())

    def some_or_all(self) -> list[Worker]:
        """Return some endpoints, or all that are up."""
        return self.workers() if self.rng.random() < 0.3 else self.pick(3)

    def set_for(self, target: object, name: str, value: object, most: float) -> None:
        """Set an attribute for a random time, then restore its normal value."""
        normal = NORMAL[name]
        self.log[-1] += f" {getattr(target, 'id', '')}"
        setattr(target, name, value)
        self.later(self.duration_s(most), lambda: setattr(target, name, normal))

    def may_leave(self, worker: Worker) -> bool:
        """Return whether an endpoint may stop for good."""
        left = sum(
            w.up and not w.draining and w.service == worker.service
            for w in self.world.workers.values()
        )
        return left > self.least_workers

    def publish(self, worker: Worker) -> None:
        """Publish an endpoint's report, if it is up."""
        if worker.up:
            self.world.publish_report(worker)

    def is_current(self, worker: Worker) -> bool:
        """Return whether no other endpoint lives on an endpoint's instance."""
        others = self.world.workers.values()
        same = any(w.instance == worker.instance and w.up for w in others)
        return not same and not self.world.is_down(worker.instance)

    def leader(self) -> Node | None:
        """Return the node with the newest term."""
        nodes = [n for n in self.world.nodes if n.state.term]
        return max(nodes, key=lambda n: n.state.term, default=None)


NORMAL: dict[str, object] = {
    "cut": False,
    "mute": False,
    "fails_all": False,
    "unhealthy": False,
    "slower": 1.0,
    "store_up": True,
    "store_s": 0.005,
    "only_partition": "",
    "answer_loss_rate": 0.0,
    "poll_loss_rate": 0.0,
    "poll_delay_s": 0.0,
    "late_order_rate": 0.0,
    "instance_answer_loss_rate": 0.0,
}


@register
def _restart_under_the_same_id(day: FaultDay) -> None:
    for worker in day.pick(3):
        day.log[-1] += f" {worker.id}"
        worker.crash()
        behind_cut = day.rng.random() < 0.4
        if behind_cut:
            worker.cut = True

        def back(worker: Worker = worker) -> None:
            if worker.up or not day.is_current(worker):
                day.world.remove_report(worker)
                return
            worker.restart()
            day.later(
                day.rng.choice([0.0, 0.1, 1.5]), functools.partial(day.publish, worker)
            )

        def reachable(worker: Worker = worker) -> None:
            worker.cut = False

        if behind_cut:
            day.later(day.duration_s(4.0), reachable)
        day.later(day.duration_s(3.0), back)


@register
def _stop_for_good(day: FaultDay) -> None:
    for worker in day.pick(2):
        if not day.may_leave(worker):
            continue
        day.log[-1] += f" {worker.id}"
        worker.crash()
        day.later(
            day.duration_s(3.0), functools.partial(day.world.remove_report, worker)
        )


@register
def _drain_and_leave(day: FaultDay) -> None:
    worker = day.pick()[0]
    if not day.may_leave(worker):
        return
    day.log[-1] += f" {worker.id}"
    worker.draining, worker.draining_since = True, day.world.now
    day.world.publish_report(worker)
    if day.rng.random() < 0.3:
        day.set_for(worker, "cut", True, 5.0)

    def leave() -> None:
        if worker.up and worker.draining:
            worker.crash()
            day.world.remove_report(worker)
            if day.rng.random() < 0.5 and day.is_current(worker):
                day.world.join_worker(worker.instance, worker.service)

    day.later(day.rng.uniform(2.0, 5.0), leave)


@register
def _fail_all(day: FaultDay) -> None:
    for worker in day.some_or_all():
        day.set_for(worker, "fails_all", True, 5.0)


@register
def _refuse_starts(day: FaultDay) -> None:
    for worker in day.some_or_all():
        day.set_for(worker, "unhealthy", True, 5.0)


@register
def _stall(day: FaultDay) -> None:
    for worker in day.pick(2):
        day.set_for(worker, "slower", float("inf"), 3.0)


@register
def _silent_both_ways(day: FaultDay) -> None:
    for worker in day.some_or_all():
        day.set_for(worker, "cut", True, 7.0)


@register
def _silent_one_way(day: FaultDay) -> None:
    for worker in day.some_or_all():
        day.set_for(worker, "mute", True, 7.0)


@register
def _lost_answers(day: FaultDay) -> None:
    day.set_for(day.world, "answer_loss_rate", day.rng.choice([0.2, 0.9]), 3.0)


@register
def _lost_polls(day: FaultDay) -> None:
    day.set_for(day.world, "poll_loss_rate", day.rng.choice([0.2, 0.7]), 3.0)


@register
def _late_polls(day: FaultDay) -> None:
    day.set_for(day.world, "poll_delay_s", day.rng.choice([0.2, 1.0]), 3.0)


@register
def _orders_carried_out_late(day: FaultDay) -> None:
    left_s = day.ends_at - day.world.now - LATE_ORDER_S
    if left_s > 0:
        day.set_for(day.world, "late_order_rate", 0.3, min(left_s, 3.0))


@register
def _capacity_shrinks(day: FaultDay) -> None:
    for worker in day.pick(3):
        day.log[-1] += f" {worker.id}"
        worker.capacity = Resources(
            day.rng.choice([0, 2000, 8000, 16000]), day.rng.choice([0, 1024, 32768]), 0
        )
        day.world.publish_report(worker)

        def grow(worker: Worker = worker) -> None:
            worker.capacity = Resources(16000, 32768, 0)
            day.publish(worker)

        day.later(day.duration_s(8.0), grow)


@register
def _report_missing(day: FaultDay) -> None:
    for worker in day.some_or_all():
        day.log[-1] += f" {worker.id}"
        day.world.remove_report(worker)
        day.later(day.duration_s(4.0), functools.partial(day.publish, worker))


@register
def _store_down(day: FaultDay) -> None:
    day.set_for(day.world, "store_up", False, 5.0)


@register
def _store_slow(day: FaultDay) -> None:
    day.set_for(day.world, "store_s", day.rng.choice([0.3, 1.2]), 4.0)


@register
def _commit_lost_in_one_partition(day: FaultDay) -> None:
    day.set_for(day.world, "only_partition", day.rng.choice(["runs", "shared"]), 2.0)


@register
def _takeover(day: FaultDay) -> None:
    old = day.leader()
    if old is None or old.frozen:
        return
    old.frozen = True
    name = f"n{day.world.newest_term + 1}"
    dead = day.rng.random() < 0.5
    if dead:
        old.deferred = []
        day.world.nodes.remove(old)

    def take() -> None:
        day.world.take_term(name)

    day.later(1.2, take)
    if not dead:
        day.later(day.rng.uniform(0.1, 6.0), old.thaw)


@register
def _wave(day: FaultDay) -> None:
    world = day.world
    if world.waves:
        return
    instances = tuple(day.rng.sample(sorted(world.pool_of), 4))
    world.request_wave(WaveSpec(1, instances, world.now + 12.0, 2))


@register
def _lost_answers_of_instances(day: FaultDay) -> None:
    day.set_for(day.world, "instance_answer_loss_rate", 0.7, 3.0)


@register_entry_fault
def _entry_by_another_writer(day: FaultDay) -> None:
    for worker in day.some_or_all():
        day.log[-1] += f" {worker.id}"
        born = worker.born + day.rng.choice([-5000, 1, 5000, 10**9])
        entry = msgspec.structs.replace(worker.report(), born=born)
        for node in day.world.nodes:
            node.feed(ev.EndpointReported(entry, day.world.now))
        day.later(day.duration_s(3.0), functools.partial(day.publish, worker))


@register_entry_fault
def _restart_with_the_time_set_back(day: FaultDay) -> None:
    for worker in day.pick(2):
        day.log[-1] += f" {worker.id}"
        worker.crash()
        worker.restart()
        worker.born -= day.rng.choice([1000, 60000])
        day.later(
            day.rng.choice([0.0, 0.1, 1.5]), functools.partial(day.publish, worker)
        )


def _evacuation(day: FaultDay) -> None:
    zone = day.rng.choice(sorted(set(day.world.zones.values())))
    day.log[-1] += f" {zone}"
    day.world.evacuate(zone)
    day.later(day.duration_s(9.0), lambda: day.world.cancel_evacuation(zone))


EVACUATIONS["evacuation"] = _evacuation


class LastingTaskCheck:
    """Checks that lasting tasks run wherever there is room for them twice over.

    :param since: time since which a task that doesn't run has had room
    :param found: tasks that waited for too long, and their state
    """

    def __init__(self, world: SchedulerWorld) -> None:
        """Begin the check when all faults have ended."""
        self.world = world
        self.began = world.now
        self.since: dict[TaskKey, float] = {}
        self.found: dict[TaskKey, str] = {}

    def sample(self) -> None:
        """Look at all lasting tasks once."""
        world = self.world
        for job in world.specs.values():
            if job.job in world.cancelled_at:
                continue
            for number, spec in enumerate(job.steps):
                for index in range(spec.tasks if spec.lasting else 0):
                    self._sample_task(TaskKey(job.job, 0, number, index), spec)

    def _sample_task(self, key: TaskKey, spec: StepSpec) -> None:
        runs = any(
            key in worker.runs and not worker.cut
            for worker in self.world.workers.values()
            if worker.up
        )
        if runs or not self._has_room(key, spec):
            self.since.pop(key, None)
            return
        since = self.since.setdefault(key, max(self.world.now, self.began + CALM_S))
        if self.world.now - since >= WAIT_S:
            self.found.setdefault(key, self.describe(key))

    def _has_room(self, key: TaskKey, spec: StepSpec) -> bool:
        """Return whether a task fits twice, within half of its workspace's limit."""
        world = self.world
        limit = world.cfg.workspaces[world.specs[key.job].workspace].limit
        usage = Resources()
        used = total = Resources()
        copies = 0
        for worker in world.workers.values():
            if not worker.up:
                continue
            for other, run in worker.runs.items():
                if world.specs[other.job].workspace == world.specs[key.job].workspace:
                    usage = usage.add(run.spec.quota_request)
            if worker.service != world.specs[key.job].service or worker.draining:
                continue
            used, total = used.add(worker.used_resources()), total.add(worker.capacity)
            if not self._is_evacuated(worker):
                copies += _copies(worker, key, spec)
        within = all(
            2 * amount < most or not most
            for amount, most in zip(usage, limit, strict=True)
        )
        half_used = 2 * used.cpu >= total.cpu or 2 * used.memory >= total.memory
        return copies >= 2 and within and not half_used

    def _is_evacuated(self, worker: Worker) -> bool:
        """Return whether an open wave or a move of its instance takes an endpoint."""
        world = self.world
        open_waves = [w for w in world.waves if not world.wave_completed.get(w.wave)]
        if any(worker.instance in wave.instances for wave in open_waves):
            return True
        return any(
            worker.instance in node.state.moves for node in world.nodes
        ) or world.is_down(worker.instance)

    def describe(self, key: TaskKey) -> str:
        """Return the scheduler's view of a task and of the endpoints of its pool."""
        world = self.world
        lines = [f"{key} waits at {world.now:.2f}, workers:"]
        lines += [
            f"  {w.id} up={w.up} cut={w.cut} capacity={tuple(w.capacity)} "
            f"used={tuple(w.used_resources())}"
            for w in world.workers.values()
            if w.service == world.specs[key.job].service and w.up
        ]
        for node in world.nodes:
            state = node.state
            if not state.term:
                continue
            task = state.jobs[key.job].steps[0][key.step].tasks[key.number]
            lines.append(
                f" node {node.name} term {state.term} committing {state.committing}: "
                f"{task.phase.value} run {task.run} on {task.endpoint!r} born "
                f"{task.born} tries {task.order_tries} "
                f"usage {state.usage.get(task.workspace)}"
            )
            lines += [
                f"  {e.id} born={e.report.born} listed={e.listed} "
                f"contacted={e.contacted} reachable={e.reachable} "
                f"failed_polls={e.failed_polls} next_poll={e.next_poll_at:.2f} "
                f"drain={e.report.draining}/{e.evacuation_reason} "
                f"faults={e.fault_score} ejected_until={e.ejected_until:.2f} "
                f"used={tuple(e.used)} of {tuple(e.report.capacity)} "
                f"tasks={[(t.key.job, t.phase.value) for t in e.tasks.values()]}"
                for e in state.endpoints.values()
                if e.report.service == state.jobs[key.job].spec.service
            ]
        return "\n".join(lines)


def _copies(worker: Worker, key: TaskKey, spec: StepSpec) -> int:
    """Return how many copies of a task an endpoint could run beside its runs."""
    used = worker.used_resources()
    copies = 0
    most = spec.most_per_endpoint or spec.tasks + 1
    copies_left = most - sum(other[:3] == key[:3] for other in worker.runs)
    while copies < copies_left and used.add(spec.needs).fits(worker.capacity):
        used = used.add(spec.needs)
        copies += 1
    return copies
