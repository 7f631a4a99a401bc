"""Sums the evidence that an endpoint runs work several times slower than others.

Callers' estimates are off by a half in both directions, so that a single run says
little. The evidence of several runs is summed by Page's cumulative sum test, which
looks for a change to a certain slowness. The sum is capped, so that recovery shows.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from math import log
from typing import NamedTuple

import msgspec

from primrosepitch.jobs.model import JobId

__all__ = ["EndpointSpeed", "Observation", "PoolMedian", "evidence_of"]

LOG_SLOWDOWN = log(5.0)
"""Logarithm of the slowness that the test looks for: endpoints that fail in this way
take 5 to 8 times as long."""

SIGMA = 0.6
"""Standard deviation of the logarithm of a run's duration by its estimate: 0.5 for the
estimates, the rest for the delays until starts and ends are noticed."""

MAX_EVIDENCE = 5.0
"""Maximum evidence of one run. With ``SAME_JOB_WEIGHT``, a single job, whose tasks may
all hang, never reaches ``SLOW_EVIDENCE``."""

SLOW_EVIDENCE = 12.0
"""Sum from which an endpoint counts as slow. With estimates off by a half, none of
2,000 sound endpoints reached it in 200 runs each, whether by task or by step of 8
tasks. One that is six times as slow reaches it in 4 runs in 82 of 100 cases. At 10, 3
endpoints were named falsely in pattern sound-steps, seed 5."""

SOUND_EVIDENCE = 6.0
"""Sum below which a slow endpoint counts as sound again."""

EVIDENCE_CAP = 14.0
"""Maximum sum, so that three runs at the usual speed prove recovery."""

SAME_JOB_WEIGHT = 0.35
"""Factor on the weight of each further run of a job on an endpoint: the estimates of a
job may all be off alike."""

SAME_STEP_WEIGHT = 0.7
"""The same for runs that were compared with runs of their step elsewhere."""

FORGET_S = 30.0
"""Time without ends of runs after which an endpoint's evidence is forgotten."""

MEDIAN_STEP = 0.02
"""Step by which the median of a pool follows each run."""

MAX_MEDIAN = 0.7
"""Limit of a pool's median, so that it doesn't hide slowness: estimates of a whole pool
may be off by a factor of two."""

MAX_RECENT_JOBS = 16
"""Number of jobs whose runs on an endpoint are counted."""


def evidence_of(log_ratio: float) -> float:
    """Return the evidence for slowness, the log-likelihood ratio of one run.

    :param log_ratio: logarithm of the duration by the one expected
    """
    ratio = LOG_SLOWDOWN * (log_ratio - LOG_SLOWDOWN / 2) / SIGMA**2
    return max(-MAX_EVIDENCE, min(MAX_EVIDENCE, ratio))


class Observation(NamedTuple):
    """Duration of a run compared with what is usual.

    :param log_ratio: logarithm of the duration by the usual one
    :param by_step: whether it was compared with other runs of the step, and not with
        its estimate
    """

    job: JobId
    log_ratio: float
    by_step: bool = False

    def weighted_evidence(self, earlier: int) -> float:
        """Return the evidence, given the number of earlier runs of the same job."""
        factor = SAME_STEP_WEIGHT if self.by_step else SAME_JOB_WEIGHT
        return evidence_of(self.log_ratio) * factor**earlier


class PoolMedian(msgspec.Struct, eq=False):
    """Running median of the log ratios in a pool, whose estimates may be biased."""

    value: float = 0.0

    def add(self, log_ratio: float) -> None:
        """Let the median follow the log ratio of one run."""
        step = MEDIAN_STEP if log_ratio > self.value else -MEDIAN_STEP
        self.value = max(-MAX_MEDIAN, min(MAX_MEDIAN, self.value + step))


class EndpointSpeed(msgspec.Struct, eq=False):
    """Evidence on the speed of one incarnation of an endpoint.

    :param evidence: sum of the evidence of ended runs
    :param slow: whether the endpoint counts as slow
    :param forget_at: boot-time clock at which the evidence is forgotten
    :param recent: number of counted runs by job, for the newest jobs
    """

    evidence: float = 0.0
    slow: bool = False
    forget_at: float = 0.0
    recent: dict[JobId, int] = msgspec.field(default_factory=dict)

    def add_end(self, observed: Observation, now: float) -> None:
        """Add the evidence of an ended run."""
        job = observed.job
        count = self.recent.pop(job, 0)
        self.recent[job] = count + 1
        if len(self.recent) > MAX_RECENT_JOBS:
            del self.recent[next(iter(self.recent))]
        weighted = observed.weighted_evidence(count)
        self.evidence = max(0.0, min(EVIDENCE_CAP, self.evidence + weighted))
        self.forget_at = now + FORGET_S

    def decide(self, running: Iterable[Observation], now: float) -> float:
        """Decide whether the endpoint is slow.

        :param running: observations of the runs under way
        :returns: sum of the evidence, with that of the runs under way
        """
        if self.forget_at and now >= self.forget_at:
            self.evidence, self.forget_at, self.slow = 0.0, 0.0, False
            self.recent.clear()
        total = self.evidence
        counts: Counter[JobId] = Counter()
        for observed in running:
            earlier = self.recent.get(observed.job, 0) + counts[observed.job]
            counts[observed.job] += 1
            total += observed.weighted_evidence(earlier)
        if total >= SLOW_EVIDENCE:
            if not self.slow:
                self.forget_at = now + FORGET_S
            self.slow = True
        elif total < SOUND_EVIDENCE:
            self.slow = False
        return total
