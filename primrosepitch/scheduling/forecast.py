"""Forecasts a pool's demand at the time when a move of an instance takes effect.

Bursts raise a queue's demand to several times its mean almost at once, while a move
takes longer than a job can wait. The arrival rate of work shows a burst earlier than
the backlog does.
"""

from __future__ import annotations

import math

from primrosepitch.jobs.model import JobSpec, ServiceName
from primrosepitch.scheduling.state import ArrivalRate, SchedulerState

__all__ = ["expected_cpu", "record_arrival"]

TIME_CONSTANTS_S = (0.4, 1.5)
"""Time constants over which the arrival rate decays: the short one detects the start of
a burst, the long one bridges the gaps between jobs. A burst lasts several times as
long."""

HALF_WEIGHT_JOBS = 2.0
"""Number of jobs in the arrival rate at which it is weighted by half. With fewer jobs,
its weight is less, since a single large job doesn't indicate a burst."""


def record_arrival(state: SchedulerState, spec: JobSpec) -> None:
    """Add the work of an accepted job to its pool's arrival rate."""
    work = sum(
        step.tasks * step.needs.cpu * step.estimate_ms / 1000
        for step in spec.steps
        if not step.lasting
    )
    rates = state.arrival_rates.setdefault(
        spec.service, [ArrivalRate(updated_at=state.now) for _ in TIME_CONSTANTS_S]
    )
    for arrivals, window_s in zip(rates, TIME_CONSTANTS_S, strict=True):
        decay = _decay(state, arrivals, window_s)
        arrivals.rate = arrivals.rate * decay + work / window_s
        arrivals.jobs = arrivals.jobs * decay + 1.0
        arrivals.updated_at = state.now


def _decay(state: SchedulerState, arrivals: ArrivalRate, window_s: float) -> float:
    return math.exp(-max(0.0, state.now - arrivals.updated_at) / window_s)


def expected_cpu(state: SchedulerState, service: ServiceName) -> float:
    """Return the expected demand of a pool, in thousandths of a core."""
    expected = 0.0
    rates = state.arrival_rates.get(service, [])
    for arrivals, window_s in zip(rates, TIME_CONSTANTS_S, strict=False):
        decay = _decay(state, arrivals, window_s)
        jobs = arrivals.jobs * decay
        rate = arrivals.rate * decay * jobs / (jobs + HALF_WEIGHT_JOBS)
        expected = max(expected, rate)
    return expected
