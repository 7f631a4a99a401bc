"""State of a scheduler at the begin of a term in a burst, at a given size.

Jobs have waited for a scheduler, all endpoints answer and are empty.
"""

from __future__ import annotations

import random

from primrosepitch.jobs.model import (
    EndpointId,
    JobId,
    JobSpec,
    QueueName,
    Resources,
    ServiceName,
    StepSpec,
    WorkspaceName,
)
from primrosepitch.scheduling import events as ev
from primrosepitch.scheduling.configuration import Configuration, ServiceSpec
from primrosepitch.scheduling.expansion import create_tasks, open_occurrence
from primrosepitch.scheduling.reducer import step
from primrosepitch.scheduling.state import JobRun, SchedulerState, Task

__all__ = ["SEED", "WALL_MS", "all_tasks", "build_state"]

SEED = 7

POOLS = 4

CAPACITY = Resources(16_000, 32_768, 0)

RACK_SIZE = 20

SPREAD_FRACTION = 0.15
"""Fraction of steps with a maximum number of tasks on one endpoint."""

LASTING_INTERVAL = 16
"""One job in this many is lasting."""

LASTING_TASKS = 24

WALL_MS = 1_700_000_000_000
"""Unix time in ms at which the state is built."""


def build_state(endpoints: int, jobs: int, seed: int = SEED) -> SchedulerState:
    """Return a scheduler's state in which all endpoints answer and all jobs wait."""
    rng = random.Random(seed)
    state = SchedulerState(node="node")
    services = {
        name: ServiceSpec(name)
        for name in (ServiceName(f"pool-{number}") for number in range(POOLS))
    }
    spare = ServiceName("spare")
    services[spare] = ServiceSpec(spare, spare=True)
    cfg = Configuration(version=1, services=services)
    step(state, ev.ConfigurationChanged(cfg))
    step(state, ev.TermTaken(1.0, 1.0, 1, {}, {}, 1.0, {}, {}, 1.0))
    state.wall_ms = WALL_MS
    for number in range(endpoints):
        report = ev.EndpointReport(
            EndpointId(f"i-{number}"),
            1,
            ServiceName(f"pool-{number % POOLS}"),
            "10.0.0.1:1",
            "hall",
            draining=False,
            capacity=CAPACITY,
            labels=("a", f"rack-{number // RACK_SIZE}"),
            instance=f"m-{number}",
        )
        step(state, ev.EndpointReported(report, 1.0))
        state.planned_at = state.now
        polled = ev.EndpointPolled(
            report.endpoint, 1, 1.0, 1.0, 1000, [], [], 0, 0, True
        )
        step(state, polled)
    for number in range(jobs):
        step(state, ev.JobAccepted(_draw_job(rng, number)))
    return state


def all_tasks(state: SchedulerState, job: JobRun) -> list[Task]:
    """Return the tasks of all due occurrences of a job, and create the missing ones."""
    for occurrence in range(job.spec.count_due(state.wall_ms)):
        open_occurrence(state, job, occurrence)
        for number, step_spec in enumerate(job.spec.steps):
            create_tasks(state, job, occurrence, number, step_spec.tasks)
    return job.tasks()


def _draw_job(rng: random.Random, number: int) -> JobSpec:
    spread = rng.random() < SPREAD_FRACTION
    lasting = number % LASTING_INTERVAL == 0
    spec = StepSpec(
        LASTING_TASKS if lasting else rng.randint(2, 14),
        cpu=rng.randint(1000, 4000),
        memory=rng.randint(1000, 4000),
        estimate_ms=0 if lasting else rng.randint(500, 1500),
        lasting=lasting,
        most_per_endpoint=1 if spread or lasting else 0,
        max_unavailable=4 if lasting else 0,
    )
    return JobSpec(
        JobId(f"{number:016x}"),
        QueueName("queue"),
        ServiceName(f"pool-{number % POOLS}"),
        WorkspaceName("team"),
        "x" * 100,
        (spec,),
        WALL_MS - 1000,
        stretch=1.6,
        goal_ms=1000,
    )
