"""Simulation of a scheduler that gets too little processor time for a while.

It runs in virtual time: jobs come at a steady rate, and each order to an endpoint takes
the scheduler a fixed time, whether it is sent or dropped.
"""

from __future__ import annotations

from collections import Counter, deque
from typing import Any, NamedTuple

from primrosepitch.jobs.model import (
    EndpointId,
    JobId,
    JobSpec,
    QueueName,
    ServiceName,
    StepSpec,
    WorkspaceName,
)
from primrosepitch.scheduling import events as ev
from primrosepitch.scheduling.configuration import (
    QueueSpec,
    ServiceSpec,
    WorkspaceSpec,
)
from standins.scheduler_world import Node, Run, SchedulerWorld, Worker

try:
    from primrosepitch.node.order_queue import MAX_ORDER_AGE_S, OrderQueue
    from primrosepitch.scheduling.leases import renewed_order
except ImportError:
    # An earlier version, with which this one is compared, drops orders that are old.
    MAX_ORDER_AGE_S, OrderQueue = 1.0, None  # type: ignore[assignment, misc]

    def renewed_order(*_: Any) -> None:  # type: ignore[misc]
        """Return that an order is not sent."""


__all__ = ["TASKS_PER_JOB", "URGENT_JOB", "SlowDay", "SlowWorld", "play_slow_day"]

NOT_SENT = getattr(ev.Outcome, "EXPIRED", ev.Outcome.NOT_SENT)

ENDPOINTS, CPU = 2, 64_000
TASKS_PER_JOB, TASK_S = 24, 1.5
ORDER_S = 0.001
"""Processor time of an order with its share of commits, logs and planning. The call
alone takes 0.27 ms on an arm64 core (``python -m bench orders``)."""

ANSWER_S = 0.005
URGENT_JOB = JobId("f" * 16)


class SlowDay(NamedTuple):
    """Load, and the time in which the scheduler is slow.

    :param jobs_per_s: jobs of ``TASKS_PER_JOB`` tasks that come each second
    :param fraction: fraction of the processor time that the orders need
    :param urgent_at_s: time at which a job of a higher priority comes; 0 for none
    """

    jobs_per_s: int
    fraction: float
    slow_from_s: int
    slow_until_s: int
    end_s: int
    urgent_at_s: int = 0

    @property
    def tasks_per_s(self) -> int:
        """Return how many tasks come each second."""
        return self.jobs_per_s * TASKS_PER_JOB


class FifoQueue:
    """Orders in the order of their issue; one that is issued again waits twice."""

    def __init__(self) -> None:
        """Start without orders."""
        self._waiting: deque[tuple[Any, float]] = deque()
        self._under_way: Counter[EndpointId] = Counter()

    def __len__(self) -> int:
        """Return how many orders wait."""
        return len(self._waiting)

    def put(self, order: Any, now: float) -> None:
        """Add an order."""
        self._waiting.append((order, now))

    def take(self) -> tuple[Any, float] | None:
        """Remove the next order whose endpoint may get one."""
        for _ in range(len(self._waiting)):
            order, issued_at = self._waiting[0]
            if self._under_way[order.endpoint] < 3:
                self._waiting.popleft()
                self._under_way[order.endpoint] += 1
                return order, issued_at
            self._waiting.rotate(-1)
        return None

    def finish(self, order: Any) -> None:
        """Record that an order is not under way any more."""
        self._under_way[order.endpoint] -= 1


class SlowWorld(SchedulerWorld):
    """World in which each order takes its node a fixed time.

    :param order_s: duration of an order
    :param ended_at: times at which runs ended
    """

    def __init__(self, seed: int = 1) -> None:
        """Create a world with a fast scheduler."""
        super().__init__(seed)
        self.order_s = ORDER_S
        self.ended_at: list[float] = []
        self.longest_queue = 0
        self._takes: dict[type, tuple[Any, Any]] = {}
        self._queue: Any = OrderQueue() if OrderQueue is not None else FifoQueue()
        self._busy = False

    def run_ended(self, worker: Worker, run: Run, kind: ev.EndKind) -> None:
        """Record the end of a run."""
        super().run_ended(worker, run, kind)
        if kind is ev.EndKind.DONE:
            self.ended_at.append(self.now)

    def _send_order(self, node: Node, order: Any, take: Any, kind: Any) -> None:
        unsent = self._queue.put(order, self.now)
        if unsent is not None:
            self._answer(node, unsent, ev.StartAnswered)
        self.longest_queue = max(self.longest_queue, len(self._queue))
        self._takes[type(order)] = (take, kind)
        self._next_order(node)

    def _next_order(self, node: Node) -> None:
        if self._busy:
            return
        queued = self._queue.take()
        if queued is not None:
            self._busy = True
            self.call_later(self.order_s, lambda: self._handle_order(node, *queued))

    def _handle_order(self, node: Node, order: Any, issued_at: float) -> None:
        self._busy = False
        self.counts["handled"] += 1
        take, kind = self._takes[type(order)]
        timely: Any = order
        if self.now - issued_at - self.order_s > MAX_ORDER_AGE_S:
            timely = renewed_order(node.state, order, self.now)
        if timely is None:
            self._queue.finish(order)
            self._answer(node, order, kind)
        else:
            super()._send_order(node, timely, take, kind)
            self.call_later(ANSWER_S, lambda: self._finish(node, order))
        self._next_order(node)

    def _finish(self, node: Node, order: Any) -> None:
        self._queue.finish(order)
        self._next_order(node)

    def _answer(self, node: Node, order: Any, kind: Any) -> None:
        """Answer an order that was not sent."""
        event = kind(order.task, order.run, order.endpoint, NOT_SENT, self.now)
        self.call_later(0.0, lambda: self._deliver_answer(node, node.state.term, event))


def _build_world() -> SlowWorld:
    """Return a world with one pool and a scheduler."""
    world = SlowWorld()
    queue = QueueSpec(QueueName("q"), "h", "/q/", ServiceName("s"), max_attempts=4)
    world.cfg.queues[queue.name] = queue
    world.cfg.services[queue.service] = ServiceSpec(queue.service)
    world.cfg.workspaces[WorkspaceName("w")] = WorkspaceSpec(WorkspaceName("w"), 100.0)
    for number in range(ENDPOINTS):
        world.add_worker(f"e{number}", "s", f"r{number}", CPU)
    world.take_term("a")
    world.run(1.0)
    return world


def _submit(
    world: SlowWorld, job: JobId, priority: int = 1, goal_ms: int = 600
) -> None:
    """Accept a job."""
    spec = StepSpec(TASKS_PER_JOB, cpu=20, memory=2, estimate_ms=int(TASK_S * 1000))
    world.submit(
        JobSpec(
            job=job,
            queue=QueueName("q"),
            service=ServiceName("s"),
            workspace=WorkspaceName("w"),
            payload="p",
            steps=(spec,),
            accepted_ms=world.wall_ms,
            priority=priority,
            stretch=2.0,
            goal_ms=goal_ms,
        )
    )


def play_slow_day(day: SlowDay) -> tuple[SlowWorld, list[int]]:
    """Play a day.

    :returns: the world, and the number of tasks that ended in each second
    """
    world = _build_world()
    begin = world.now
    for number in range(day.end_s * day.jobs_per_s):
        at_s = number / day.jobs_per_s
        world.run(max(0.0, begin + at_s - world.now))
        slow = day.slow_from_s <= at_s < day.slow_until_s
        world.order_s = 1.0 / day.tasks_per_s / day.fraction if slow else ORDER_S
        if day.urgent_at_s and at_s == day.urgent_at_s:
            _submit(world, URGENT_JOB, priority=0, goal_ms=60_000)
        _submit(world, JobId(f"{number:016x}"))
    world.run(begin + day.end_s - world.now)
    ended = Counter(int(at - begin) for at in world.ended_at)
    return world, [ended[second] for second in range(day.end_s)]
