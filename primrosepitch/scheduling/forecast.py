"""Demand that a pool will have by the time a move of an instance takes effect.

The pattern it answers: queues rise by turns, to several times their mean within a
moment, while a move takes longer than a job can wait. The rate at which work arrives
tells of a turn before its backlog does.
"""

from __future__ import annotations

import math

from primrosepitch.jobs.model import JobSpec, ServiceName
from primrosepitch.scheduling.state import Demand, SchedulerState

__all__ = ["expected_cpu", "note_arrival"]

RATE_S = 0.8
"""Time constant of the arrival rate; a turn lasts several times that."""

DOUBT_JOBS = 3.0
"""Jobs within the rate's time constant that count half: a single large job is no sign
of a turn."""


def note_arrival(state: SchedulerState, spec: JobSpec) -> None:
    """Count the work of an accepted job in its pool's demand."""
    work = sum(
        step.tasks * step.needs.cpu * step.estimate_ms / 1000
        for step in spec.steps
        if not step.lasting
    )
    demand = state.demand.setdefault(spec.service, Demand(at=state.now))
    fade = math.exp(-max(0.0, state.now - demand.at) / RATE_S)
    demand.rate = demand.rate * fade + work / RATE_S
    demand.jobs = demand.jobs * fade + 1.0
    demand.at = state.now


def expected_cpu(state: SchedulerState, service: ServiceName) -> float:
    """Return the work that arrives for a pool, in thousandths of a core."""
    demand = state.demand.get(service)
    if demand is None:
        return 0.0
    fade = math.exp(-max(0.0, state.now - demand.at) / RATE_S)
    jobs = demand.jobs * fade
    return demand.rate * fade * jobs / (jobs + DOUBT_JOBS)
