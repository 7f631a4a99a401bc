"""Forecasts a pool's demand at the time when a move of an instance takes effect.

Bursts raise a queue's demand to several times its mean almost at once, while a move
takes longer than a job can wait. The arrival rate of work shows a burst earlier than
the backlog does.
"""

from __future__ import annotations

import math

from primrosepitch.jobs.model import JobSpec, ServiceName
from primrosepitch.scheduling.state import Demand, SchedulerState

__all__ = ["expected_cpu", "record_arrival"]

WINDOWS_S = (0.4, 1.5)
"""Time constants of the arrival rate: the short one detects the start of a burst, the
long one bridges the gaps between jobs. A burst lasts several times as long."""

HALF_WEIGHT_JOBS = 2.0
"""Number of jobs in a time constant at which their rate is weighted by half: a single
large job doesn't indicate a burst."""


def record_arrival(state: SchedulerState, spec: JobSpec) -> None:
    """Add the work of an accepted job to its pool's arrival rate."""
    work = sum(
        step.tasks * step.needs.cpu * step.estimate_ms / 1000
        for step in spec.steps
        if not step.lasting
    )
    windows = state.demand.setdefault(
        spec.service, [Demand(updated_at=state.now) for _ in WINDOWS_S]
    )
    for demand, window_s in zip(windows, WINDOWS_S, strict=True):
        decay = _decay(state, demand, window_s)
        demand.rate = demand.rate * decay + work / window_s
        demand.jobs = demand.jobs * decay + 1.0
        demand.updated_at = state.now


def _decay(state: SchedulerState, demand: Demand, window_s: float) -> float:
    return math.exp(-max(0.0, state.now - demand.updated_at) / window_s)


def expected_cpu(state: SchedulerState, service: ServiceName) -> float:
    """Return the expected demand of a pool, in thousandths of a core."""
    expected = 0.0
    windows = state.demand.get(service, [])
    for demand, window_s in zip(windows, WINDOWS_S, strict=False):
        decay = _decay(state, demand, window_s)
        jobs = demand.jobs * decay
        rate = demand.rate * decay * jobs / (jobs + HALF_WEIGHT_JOBS)
        expected = max(expected, rate)
    return expected
