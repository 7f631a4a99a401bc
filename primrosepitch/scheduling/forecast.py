"""Demand that a pool will have by the time a move of an instance takes effect.

The pattern it answers: queues rise by turns, to several times their mean within a
moment, while a move takes longer than a job can wait. The rate at which work arrives
tells of a turn before its backlog does.
"""

from __future__ import annotations

import math

from primrosepitch.jobs.model import JobSpec, ServiceName
from primrosepitch.scheduling.state import Demand, SchedulerState

__all__ = ["expected_cpu", "record_arrival"]

WINDOWS_S = (0.4, 1.5)
"""Time constants of the arrival rate: one tells of a turn's begin, the other bridges
the pauses between jobs. A turn lasts several times that."""

HALF_WEIGHT_JOBS = 2.0
"""Jobs within a time constant that count half: a single large job is no sign of a
turn."""


def record_arrival(state: SchedulerState, spec: JobSpec) -> None:
    """Count the work of an accepted job in its pool's demand."""
    work = sum(
        step.tasks * step.needs.cpu * step.estimate_ms / 1000
        for step in spec.steps
        if not step.lasting
    )
    windows = state.demand.setdefault(
        spec.service, [Demand(updated_at=state.now) for _ in WINDOWS_S]
    )
    for demand, window_s in zip(windows, WINDOWS_S, strict=True):
        fade = _decay(state, demand, window_s)
        demand.rate = demand.rate * fade + work / window_s
        demand.jobs = demand.jobs * fade + 1.0
        demand.updated_at = state.now


def _decay(state: SchedulerState, demand: Demand, window_s: float) -> float:
    return math.exp(-max(0.0, state.now - demand.updated_at) / window_s)


def expected_cpu(state: SchedulerState, service: ServiceName) -> float:
    """Return the work that arrives for a pool, in thousandths of a core."""
    expected = 0.0
    windows = state.demand.get(service, [])
    for demand, window_s in zip(windows, WINDOWS_S, strict=False):
        fade = _decay(state, demand, window_s)
        jobs = demand.jobs * fade
        rate = demand.rate * fade * jobs / (jobs + HALF_WEIGHT_JOBS)
        expected = max(expected, rate)
    return expected
