"""Benchmark of how long much waiting work keeps the scheduler from its event loop.

Each variant has some 600,000 waiting tasks, in a few large jobs or in many small ones,
as many as nodes accept.
"""

from __future__ import annotations

import time
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from pathlib import Path
from typing import NamedTuple

from msgspec import structs

from bench.measure import Measure
from primrosepitch.jobs.model import JobId, JobSpec, QueueName, ServiceName, StepSpec
from primrosepitch.jobs.records import JobEntry
from primrosepitch.node.garbage import short_collections
from primrosepitch.scheduling import events as ev
from primrosepitch.scheduling.effects import Commit, Effect, StartRun
from primrosepitch.scheduling.reducer import step
from primrosepitch.scheduling.state import SchedulerState
from standins.large_jobs import TEAM, build_pools
from standins.waiting_jobs import WALL_MS, build_state

COMMAND = "python -m bench waiting_work"

ENDPOINTS = 64

DURATION_S = 3.0

TICK_S = 0.02

MAX_HOLD = "<= 50"

MAX_MEMORY = "< 300"

PAGE_BYTES = 4096


class Shape(NamedTuple):
    """How the waiting tasks are divided.

    :param steps: steps of each job
    :param repetitions: occurrences of each job that are due; 0 for a plain job
    """

    name: str
    jobs: int
    steps: int
    tasks_per_step: int
    repetitions: int = 0


SHAPES = (
    Shape("30 jobs of 20,000 occurrences", 30, 1, 1, 20_000),
    Shape("30 jobs of one step", 30, 1, 20_000),
    Shape("30 jobs of 2,000 steps", 30, 2_000, 10),
    Shape("9 jobs of 10,000 steps", 9, 10_000, 7),
    Shape("6,000 jobs of one step", 6_000, 1, 100),
    Shape("3,000 jobs of 20 steps", 3_000, 20, 10),
)

OBSTACLES = {
    "no label": StepSpec(1, 100, 8, estimate_ms=500, label="unknown"),
    "too large": StepSpec(1, 1_000_000, 8, estimate_ms=500),
    "no room": StepSpec(1, 100, 8, estimate_ms=500),
    "beyond a limit": StepSpec(1, 100, 8, estimate_ms=500),
    "each different, no room": StepSpec(1, 100, 8, estimate_ms=500),
    "none": StepSpec(1, 100, 8, estimate_ms=500),
}
"""A step by what its tasks wait for."""


def waiting_jobs(shape: Shape, obstacle: str) -> list[JobSpec]:
    """Return the jobs of a shape whose tasks wait for an obstacle."""
    plain = structs.replace(OBSTACLES[obstacle], tasks=shape.tasks_per_step)
    different = "different" in obstacle
    first_ms = WALL_MS - shape.repetitions * 60_000
    return [
        JobSpec(
            JobId(f"{number:016x}"),
            QueueName("queue"),
            ServiceName("pool-0"),
            TEAM,
            "x",
            tuple(
                structs.replace(plain, cpu=plain.cpu + (n if different else 0))
                for n in range(shape.steps)
            ),
            WALL_MS - 1000 + number,
            stretch=1.6,
            goal_ms=1000,
            repetitions=shape.repetitions,
            first_run_ms=first_ms if shape.repetitions else 0,
            interval_ms=60_000 if shape.repetitions else 0,
        )
        for number in range(shape.jobs)
    ]


class Holds:
    """Applies events to a scheduler and keeps the longest time of one."""

    def __init__(self, state: SchedulerState) -> None:
        """Start without an event."""
        self.state = state
        self.longest_s = 0.0
        self.longest = ""

    def apply(self, event: ev.Event) -> list[Effect]:
        """Apply one event and return its effects."""
        begin = time.perf_counter()
        effects = step(self.state, event)
        took_s = time.perf_counter() - begin
        if took_s > self.longest_s:
            self.longest_s, self.longest = took_s, type(event).__name__
        return effects

    def advance(self, seconds: float) -> None:
        """Advance the time; placements become durable and starts are carried out."""
        end = self.state.now + seconds
        while self.state.now < end:
            now = self.state.now + TICK_S
            effects = self.apply(ev.Tick(now, WALL_MS + round(now * 1000)))
            while effects:
                effect = effects.pop()
                if isinstance(effect, Commit):
                    effects += self.apply(ev.Committed(effect.number, now))
                elif isinstance(effect, StartRun):
                    done = (effect.task, effect.run, effect.endpoint, ev.Outcome.DONE)
                    effects += self.apply(ev.StartAnswered(*done, now))


def _memory_mb() -> float:
    pages = int(Path("/proc/self/statm").read_text(encoding="ascii").split()[1])
    return pages * PAGE_BYTES / 1e6


def measure(shape: Shape, obstacle: str) -> tuple[float, float, float]:
    """Return the longest holds in ms, in a term and at a takeover, and memory in MB."""
    with short_collections():
        return _measure(shape, obstacle)


def _measure(shape: Shape, obstacle: str) -> tuple[float, float, float]:
    kind = "beyond a limit" if "limit" in obstacle else "one step"
    room = "no" if "no room" in obstacle else "enough"
    holds = Holds(build_pools(kind, room, ENDPOINTS))
    specs = waiting_jobs(shape, obstacle)
    for number, spec in enumerate(specs):
        holds.apply(ev.JobAccepted(spec))
        if number % 50 == 0:
            holds.advance(TICK_S)
    holds.advance(DURATION_S)
    memory_mb = _memory_mb()
    entries = {spec.job: JobEntry(spec=spec) for spec in specs}
    successor = Holds(build_state(0, 0))
    successor.state.term = 0
    successor.apply(ev.TermTaken(2.0, 2.0, 2, entries, {}, 5.0, {}, {}, 2.0))
    successor.advance(1.0)
    return holds.longest_s * 1000, successor.longest_s * 1000, memory_mb


def run() -> list[Measure]:
    """Return the longest holds and the memory of each variant."""
    measures = []
    for shape in SHAPES:
        for obstacle in OBSTACLES:
            with ProcessPoolExecutor(1, get_context("spawn")) as pool:
                term_ms, takeover_ms, memory_mb = pool.submit(
                    measure, shape, obstacle
                ).result()
            name = f"{shape.name}, {obstacle}"
            measures += [
                Measure(
                    f"longest hold, {name}", term_ms, "ms", MAX_HOLD, "", -1, COMMAND
                ),
                Measure(
                    f"longest hold at a takeover, {name}",
                    takeover_ms,
                    "ms",
                    MAX_HOLD,
                    "",
                    -1,
                    COMMAND,
                ),
                Measure(
                    f"memory, {name}", memory_mb, "MB", MAX_MEMORY, "", -1, COMMAND
                ),
            ]
    return measures
