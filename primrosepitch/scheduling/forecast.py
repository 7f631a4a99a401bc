"""Forecasts a pool's demand at the time when a move of an instance takes effect.

Bursts raise a queue's demand to several times its mean almost at once, while a move
takes longer than a job can wait. The arrival rate of work shows a burst earlier than
the backlog does.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from primrosepitch.events import TURN_JUDGED, TURN_PREDICTED
from primrosepitch.jobs.model import JobSpec, ServiceName
from primrosepitch.jobs.records import JobEntry
from primrosepitch.scheduling.effects import Effect, WriteLog
from primrosepitch.scheduling.state import ArrivalRate, JobRun, SchedulerState
from primrosepitch.scheduling.turns import Arrival

__all__ = [
    "expected_cpu",
    "log_forecasts",
    "queued_pools",
    "record_arrival",
    "restore_arrivals",
]

TIME_CONSTANTS_S = (0.4, 1.5)
"""Time constants over which the arrival rate decays: the short one detects the start of
a burst, the long one bridges the gaps between jobs. A burst lasts several times as
long."""

HALF_WEIGHT_JOBS = 2.0
"""Number of jobs in the arrival rate at which it is weighted by half. With fewer jobs,
its weight is less, since a single large job doesn't indicate a burst."""


def record_arrival(state: SchedulerState, job: JobRun) -> None:
    """Add the work of an accepted job to its pool's arrival rate.

    Work that no known endpoint can run is left out.
    """
    spec, work = job.spec, job.work / 1000
    if not job.lasting:
        state.turns.record(Arrival(state.now, spec.service, work))
    rates = state.arrival_rates.setdefault(
        spec.service, [ArrivalRate(updated_at=state.now) for _ in TIME_CONSTANTS_S]
    )
    for arrivals, window_s in zip(rates, TIME_CONSTANTS_S, strict=True):
        decay = _decay(state, arrivals, window_s)
        arrivals.rate = arrivals.rate * decay + work / window_s
        arrivals.jobs = arrivals.jobs * decay + 1.0
        arrivals.updated_at = state.now


def restore_arrivals(state: SchedulerState, entries: Iterable[JobEntry]) -> None:
    """Learn the turns from the jobs in the ledger, at the start of a term.

    Times of acceptance are converted to the boot-time clock of this node. A job that a
    clock ahead of this one has dated counts as a moment ago.
    """
    if not state.turns.enabled:
        return
    offset_s = state.now - state.wall_ms / 1000
    arrivals = [
        Arrival(
            min(state.now, spec.accepted_ms / 1000 + offset_s),
            spec.service,
            _work(spec),
        )
        for entry in entries
        if (spec := entry.spec) is not None and not spec.lasting
    ]
    state.turns.rebuild(arrivals, state.now)


def queued_pools(state: SchedulerState) -> frozenset[ServiceName]:
    """Return the pools that serve queues."""
    return frozenset(queue.service for queue in state.cfg.queues.values())


def log_forecasts(state: SchedulerState) -> list[Effect]:
    """Return a log line for each prediction that is acted on, and for its outcome."""
    effects: list[Effect] = []
    for prediction, outcome, off_s in state.turns.take_finished():
        fields = {
            "pool": prediction.service,
            "in_s": round(prediction.expected - state.now, 2),
            "cores": round(prediction.height / 1000, 1),
        }
        if outcome is None:
            effects.append(WriteLog(TURN_PREDICTED, fields))
        else:
            fields |= {"outcome": outcome.value, "off_s": round(off_s, 2)}
            effects.append(WriteLog(TURN_JUDGED, fields))
    return effects


def _work(spec: JobSpec) -> float:
    """Return a job's work, in thousandths of a core times seconds."""
    return sum(
        step.tasks * step.task_work / 1000 for step in spec.steps if not step.lasting
    )


def _decay(state: SchedulerState, arrivals: ArrivalRate, window_s: float) -> float:
    return math.exp(-max(0.0, state.now - arrivals.updated_at) / window_s)


def expected_cpu(state: SchedulerState, service: ServiceName) -> float:
    """Return the expected demand of a pool, in thousandths of a core."""
    expected = state.turns.begin_demand(service, state.now)
    rates = state.arrival_rates.get(service, [])
    for arrivals, window_s in zip(rates, TIME_CONSTANTS_S, strict=False):
        decay = _decay(state, arrivals, window_s)
        jobs = arrivals.jobs * decay
        rate = arrivals.rate * decay * jobs / (jobs + HALF_WEIGHT_JOBS)
        expected = max(expected, rate)
    return expected
