"""Learns the turns of the queues, and predicts when the next one begins.

A turn is a time in which the jobs of one pool arrive at a much higher rate than before
and after it. Begins and ends are found by cumulative sums of the log-likelihood ratio
of two Poisson rates. This needs no time constant: a few jobs prove the begin of a steep
turn within 0.1 s, and of a flat one later.
"""

from __future__ import annotations

import enum
import itertools
import math
import statistics
from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from primrosepitch.jobs.model import ServiceName

__all__ = ["Arrival", "Forecast", "Outcome", "Prediction", "Turn", "TurnForecast"]

RATE_RATIO = 8.0
"""Ratio of the rates of a turn and of the time around it that the tests tell apart;
turns are steeper than that, by 80 to 100 times in the played deployments."""

MIN_STEEPNESS = 5.0
"""Least ratio of a turn's rate to the quiet one for it to be learned. Chance makes
clusters of up to about four times a steady rate of one job a second."""

BEGIN_EVIDENCE = 7.0
"""Log-likelihood ratio that proves a begin: a false one in about e**7 quiet jobs."""

EXPECTED_EVIDENCE = 5.0
"""The same within ``WAIT_S`` of an expected begin, which the prediction speaks for."""

END_EVIDENCE = 6.0
"""Log-likelihood ratio that proves an end. A false one is undone by ``REOPEN_S``."""

REOPEN_S = 1.0
"""A turn that begins this soon after the end of one of the same pool continues it."""

PRIOR_QUIET_RATE = 0.4
"""Rate assumed before a pool's quiet arrivals are known, in jobs a second."""

PRIOR_QUIET_S = 5.0
"""Weight of that assumption, as the time of observation that it stands for."""

MIN_QUIET_RATE = 0.05
"""Least quiet rate: after a long silence, a single job must not prove a begin."""

QUIET_MEMORY_S = 60.0
"""Time over which the quiet rate is averaged."""

MAX_TURN_S = 40.0
"""Time after which a higher rate is no turn but the pool's new quiet rate."""

MIN_TURN_S = 1.0
"""Shortest turn that is learned: a shorter one ends before a move does."""

MIN_TURN_JOBS = 6
"""Least number of jobs in a turn that is learned."""

MAX_STORED_ARRIVALS = 1_000
"""Arrivals of a turn whose times are kept to determine its begin and end."""

MAX_TURNS = 32
"""Number of turns that are remembered."""

TOLERANCE_S = 1.0
"""Largest difference between intervals that count as equal. Begins are known to about
the time between two jobs, 0.02 to 0.4 s, and a prediction must be better than the time
that a move takes (1.5 s) to be of use."""

MAX_RESIDUAL_S = 0.4
"""Largest difference from a line of begins that count as at equal intervals. Turns of
random lengths and gaps of some seconds are off by more."""

MAX_RELATIVE_RESIDUAL = 0.1
"""The same as a fraction of the interval: short intervals are equal by chance."""

MIN_INTERVAL_S = 2.0
"""Least interval between begins that is predicted: a move takes as long."""

MAX_OVERLAP_S = 1.0
"""Longest time for which a turn may go on after the begin of the next one. In a chain,
one turn follows another; rates that change at random overlap."""

MAX_MATCHED = 8
"""Number of turns that a prediction is computed from; their errors average out."""

WAIT_S = 1.0
"""Time after the expected begin for which a prediction that hasn't come stands. A begin
that is farther off in either direction is a wrong prediction."""

JUDGED_AFTER_S = 2.0
"""Time after the expected begin at which a prediction has been missed: the arrivals
until ``WAIT_S`` may prove the begin a second later."""

EARLY_S = 0.3
"""A begin that is this much earlier or later than expected counts as such in the log;
only ``WAIT_S`` makes it wrong."""

MAX_WRONG = 2
"""Wrong predictions in a row after which those of a pool aren't acted on, and right
ones after which they are again."""

BEGIN_S = 1.0
"""Time from its begin for which a turn's demand is its learned height. After that, the
measured rate is as good."""


RISE_JOBS = 6
"""Number of newest jobs whose rate is compared with that of the turn before them: at
``RATE_RATIO`` times that rate, the turn begins with them. With equal rates that has a
chance of 0.0005."""

MAX_JOBS_BEFORE_RISE = 40
"""Number of jobs up to which that is checked; wrong begins have few."""

MIN_ELAPSED_S = 0.1
"""Least time over which the rate since the begin is taken."""

MIN_FITTED = 24
"""Number of arrivals from which the edges of a turn are fitted. With fewer, chance
moves them by more than a clock does that is off."""


REBUILD_STEP_S = 0.1
"""Interval at which ends are looked for among the arrivals of an earlier term."""


class Outcome(enum.Enum):
    """What became of a prediction."""

    RIGHT = "right"
    EARLY = "early"
    LATE = "late"
    MISSED = "missed"


class Arrival(NamedTuple):
    """Arrival of a job.

    :param work: in thousandths of a core times seconds
    """

    at: float
    service: ServiceName
    work: float


class Prediction(msgspec.Struct):
    """Prediction of the next begin of a turn.

    :param expected: time at which it is expected
    :param error_s: largest error among the begins that it follows from
    :param height: demand that is expected, in thousandths of a core
    :param acted_on: whether capacity has been asked for because of it
    """

    service: ServiceName
    expected: float
    error_s: float
    height: float
    acted_on: bool = False


class Turn(msgspec.Struct):
    """A turn of a pool.

    :param ended: whether its end has been detected
    :param prediction: the prediction that it is judged by when it ends
    :param jobs: number of its jobs
    :param work: work of its jobs, in thousandths of a core times seconds
    :param arrivals: times of its first ``MAX_STORED_ARRIVALS`` arrivals
    """

    service: ServiceName
    begin: float
    end: float
    jobs: int
    work: float
    arrivals: list[float]
    ended: bool = False
    prediction: Prediction | None = None

    @property
    def height(self) -> float:
        """Return the rate at which its work arrives, in thousandths of a core."""
        return self.work / max(0.5, self.end - self.begin)


class Forecast(NamedTuple):
    """A prediction and what became of it.

    :param outcome: ``None`` for a prediction that is acted on from now on
    :param off_s: difference of the begin from the expected one; 0 if it hasn't come
    """

    prediction: Prediction
    outcome: Outcome | None
    off_s: float = 0.0


class PoolTurns(msgspec.Struct):
    """What is known of one pool.

    :param updated_at: time up to which the sums are computed
    :param evidence: cumulative sum for a begin, or within a turn for its end
    :param candidates: arrivals since the sum left 0, which may be those of a turn
    :param turn: turn in progress
    :param heights: heights of the newest turns that have ended
    :param peak_rate: rate of the newest turn that has ended, in jobs a second
    :param wrong: wrong predictions in a row
    :param right: right predictions in a row
    :param blocked: whether its predictions aren't acted on
    """

    updated_at: float
    evidence: float = 0.0
    quiet_jobs: float = PRIOR_QUIET_RATE * PRIOR_QUIET_S
    quiet_s: float = PRIOR_QUIET_S
    candidates: list[Arrival] = msgspec.field(default_factory=list)
    turn: Turn | None = None
    heights: list[float] = msgspec.field(default_factory=list)
    peak_rate: float = 0.0
    wrong: int = 0
    right: int = 0
    blocked: bool = False

    @property
    def quiet_rate(self) -> float:
        """Return the rate outside turns, in jobs a second."""
        return max(MIN_QUIET_RATE, self.quiet_jobs / self.quiet_s)

    @property
    def tested_rate(self) -> float:
        """Return the rate against which the quiet one is tested."""
        return max(self.quiet_rate * RATE_RATIO, self.peak_rate / 2)

    @property
    def height(self) -> float:
        """Return the learned height, in thousandths of a core; 0 if unknown."""
        return sum(self.heights) / len(self.heights) if self.heights else 0.0


class TurnForecast(msgspec.Struct):
    """Turns of all pools, and the prediction of the next one.

    All times are of one clock that doesn't jump; arrivals come in its order.

    :param enabled: whether turns are learned and used
    :param queued: pools that serve queues
    :param turns: turns in the order of their begins
    :param right: number of predictions acted on that were right in this term
    :param wrong: number of those that were wrong
    """

    enabled: bool = True
    queued: frozenset[ServiceName] = frozenset()
    pools: dict[ServiceName, PoolTurns] = msgspec.field(default_factory=dict)
    turns: list[Turn] = msgspec.field(default_factory=list)
    prediction: Prediction | None = None
    right: int = 0
    wrong: int = 0
    finished: list[Forecast] = msgspec.field(default_factory=list)

    def rebuild(self, arrivals: Iterable[Arrival], now: float) -> None:
        """Learn from the arrivals of an earlier term, up to now."""
        advanced_at = -math.inf
        for arrival in sorted(arrivals):
            if arrival.at > now:
                break
            if arrival.at - advanced_at >= REBUILD_STEP_S:
                advanced_at = arrival.at
                self.advance(arrival.at)
            self.record(arrival)
        self.advance(now)

    def record(self, arrival: Arrival) -> None:
        """Add an arrival."""
        if not self.enabled:
            return
        pool = self.pools.get(arrival.service)
        if pool is None:
            pool = self.pools[arrival.service] = PoolTurns(arrival.at)
        self._update(pool, arrival.at)
        if pool.turn is not None:
            turn = pool.turn
            turn.jobs += 1
            turn.work += arrival.work
            turn.end = arrival.at
            if len(turn.arrivals) < MAX_STORED_ARRIVALS:
                turn.arrivals.append(arrival.at)
            pool.evidence = max(0.0, pool.evidence - math.log(RATE_RATIO))
            self._check_rise(pool, turn, arrival)
            return
        pool.candidates.append(arrival)
        pool.evidence += math.log(pool.tested_rate / pool.quiet_rate)
        expected = self._expected(arrival)
        if pool.evidence >= (EXPECTED_EVIDENCE if expected else BEGIN_EVIDENCE):
            self._begin_turn(pool)

    def advance(self, now: float) -> None:
        """Find the ends of turns, and predictions that haven't come."""
        if not self.enabled:
            return
        # The end of a turn may add the pool of the next one.
        for pool in list(self.pools.values()):
            if pool.turn is not None:
                self._update(pool, now)
        prediction = self.prediction
        if prediction is not None and now > prediction.expected + JUDGED_AFTER_S:
            self.prediction = None
            self._judge(prediction, None)

    def begin_demand(self, service: ServiceName, now: float) -> float:
        """Return the demand at the begin of a turn, in thousandths of a core.

        It is the learned height, or else the rate since the begin, which needs no
        time to rise; 0 once the begin has passed.
        """
        pool = self.pools.get(service)
        if not self.enabled or pool is None or pool.turn is None:
            return 0.0
        turn = pool.turn
        if now >= turn.begin + BEGIN_S:
            return 0.0
        if pool.heights:
            return pool.height
        if not any(p.heights for p in self.pools.values()):
            return 0.0  # No turn has been seen to its end, so this may be none.
        # Without bias: the first arrival begins the interval, the last one ends it.
        elapsed_s = max(MIN_ELAPSED_S, now - turn.begin)
        return turn.work * (turn.jobs - 2) / turn.jobs / elapsed_s

    def demand_ahead(self, now: float, lead_s: float) -> dict[ServiceName, float]:
        """Return the demand for which capacity is to be there ahead of time.

        :param lead_s: time that capacity takes to be there
        :returns: thousandths of a core by pool
        """
        prediction = self.prediction
        if not self.enabled or prediction is None:
            return {}
        until = prediction.expected + WAIT_S
        if not prediction.expected - lead_s <= now <= until or prediction.height <= 0:
            return {}
        if self.pools[prediction.service].blocked:
            return {}
        if not prediction.acted_on:
            prediction.acted_on = True
            self.finished.append(Forecast(prediction, None))
        return {prediction.service: prediction.height}

    def take_finished(self) -> list[Forecast]:
        """Return what there is to log since the last call."""
        finished, self.finished = self.finished, []
        return finished

    def _check_rise(self, pool: PoolTurns, turn: Turn, arrival: Arrival) -> None:
        """Let the turn begin later if a few quiet jobs were taken for its begin."""
        before = turn.jobs - RISE_JOBS
        if before < 2 or turn.jobs > MAX_JOBS_BEFORE_RISE:
            return
        since = turn.arrivals[before]
        rate_before = before / max(MIN_ELAPSED_S, since - turn.begin)
        rate = (RISE_JOBS - 1) / max(0.001, arrival.at - since)
        if since - turn.begin < MIN_TURN_S or rate < RATE_RATIO * rate_before:
            return
        self._remove(turn, arrival.at)
        pool.turn = None
        mean_work = turn.work / turn.jobs
        pool.candidates = [
            Arrival(at, turn.service, mean_work) for at in turn.arrivals[before:]
        ]
        self._begin_turn(pool)

    def _expected(self, arrival: Arrival) -> bool:
        prediction = self.prediction
        return (
            prediction is not None
            and prediction.service == arrival.service
            and abs(arrival.at - prediction.expected) <= WAIT_S
        )

    def _update(self, pool: PoolTurns, now: float) -> None:
        elapsed_s = now - pool.updated_at
        if elapsed_s <= 0:
            return
        pool.updated_at = now
        turn = pool.turn
        if turn is None:
            _observe_quiet(pool, elapsed_s)
            return
        rate = turn.jobs / max(MIN_TURN_S, turn.end - turn.begin)
        pool.evidence += rate * (1 - 1 / RATE_RATIO) * elapsed_s
        if pool.evidence >= END_EVIDENCE:
            self._end_turn(pool, turn, now)
        elif now - turn.begin > MAX_TURN_S:
            # The rate has changed for good.
            self._remove(turn, now)
            pool.turn, pool.evidence = None, 0.0
            pool.quiet_jobs = rate * PRIOR_QUIET_S
            pool.quiet_s = PRIOR_QUIET_S

    def _begin_turn(self, pool: PoolTurns) -> None:
        first, last = pool.candidates[0], pool.candidates[-1]
        pool.turn = turn = Turn(
            first.service,
            first.at,
            last.at,
            len(pool.candidates),
            sum(arrival.work for arrival in pool.candidates),
            [arrival.at for arrival in pool.candidates],
        )
        pool.candidates, pool.evidence = [], 0.0
        own = [t for t in self.turns if t.service == turn.service]
        if own and turn.begin - own[-1].end < REOPEN_S:
            _continue_turn(own[-1], turn)
            pool.turn = own[-1]
            if pool.heights:
                pool.heights.pop()
            return
        self.turns = sorted([*self.turns, turn], key=lambda t: t.begin)[-MAX_TURNS:]
        prediction = self.prediction
        if prediction is not None and prediction.service == turn.service:
            turn.prediction, self.prediction = prediction, None
        if self.prediction is None:
            # A prediction for another pool stands until it is due.
            self.prediction = self._predict()

    def _end_turn(self, pool: PoolTurns, turn: Turn, now: float) -> None:
        pool.turn, pool.evidence = None, 0.0
        turn.ended = True
        _fit_edges(turn)
        length_s = turn.end - turn.begin
        least = max(MIN_STEEPNESS * pool.quiet_rate, pool.peak_rate / 3)
        if (
            length_s < MIN_TURN_S
            or turn.jobs < MIN_TURN_JOBS
            or turn.jobs < least * length_s
        ):
            self._remove(turn, now)
            pool.quiet_jobs += turn.jobs
            pool.quiet_s += length_s
            return
        pool.heights = [*pool.heights, turn.height][-3:]
        pool.peak_rate = turn.jobs / length_s
        if turn.prediction is not None:
            self._judge(turn.prediction, turn.begin - turn.prediction.expected)
            turn.prediction = None
        self.turns.sort(key=lambda turn: turn.begin)
        if self.prediction is None or not self.prediction.acted_on:
            # The fitted edges are more exact than those known at the begin.
            self.prediction = self._predict() or self.prediction

    def _remove(self, turn: Turn, now: float) -> None:
        """Remove what was no turn; its prediction stands until it is due."""
        # The list may have dropped it already, if many turns have begun since.
        self.turns = [other for other in self.turns if other is not turn]
        prediction, turn.prediction = turn.prediction, None
        if prediction is not None and now <= prediction.expected + WAIT_S:
            self.prediction = prediction
            return
        if prediction is not None:
            self._judge(prediction, None)
        if self.prediction is not None and not self.prediction.acted_on:
            self.prediction = None

    def _judge(self, prediction: Prediction, off_s: float | None) -> None:
        """Count a prediction as right or wrong.

        :param off_s: begin of its turn less the expected one; ``None`` if none came
        """
        outcome = Outcome.RIGHT
        if off_s is None:
            outcome = Outcome.MISSED
        elif abs(off_s) > EARLY_S:
            outcome = Outcome.EARLY if off_s < 0 else Outcome.LATE
        pool = self.pools[prediction.service]
        right = off_s is not None and abs(off_s) <= WAIT_S
        if not right:
            pool.wrong, pool.right = pool.wrong + 1, 0
            pool.blocked = pool.blocked or pool.wrong >= MAX_WRONG
        else:
            pool.wrong, pool.right = 0, pool.right + 1
            pool.blocked = pool.blocked and pool.right < MAX_WRONG
        if prediction.acted_on:
            self.right += right
            self.wrong += not right
            self.finished.append(Forecast(prediction, outcome, off_s or 0.0))

    def _predict(self) -> Prediction | None:
        """Predict the begin that follows the newest one.

        Either the newest begins are at equal intervals, or the newest turns have
        followed one another in the same order and at the same times before.
        """
        chain = self.turns[-3:]
        if len(chain) < 3 or any(
            earlier.end > later.begin + MAX_OVERLAP_S
            for earlier, later in itertools.pairwise(chain)
        ):
            return None
        matched = self._matching_round()
        step = self._equal_steps()
        if matched is not None:
            before, follower, shifts = matched
            interval_s = follower.begin - before.begin
            if (
                step is not None
                and abs(step[0] - self.turns[-1].begin - interval_s) <= TOLERANCE_S
            ):
                return self._prediction(follower.service, *step)
            if len(shifts) < 2 or _spread(shifts) > TOLERANCE_S:
                return None
            expected = follower.begin + sum(shifts) / len(shifts)
            return self._prediction(follower.service, expected, _spread(shifts))
        # In the first round, the last pool without a turn is next, and after it the
        # first one again.
        seen = {turn.service for turn in self.turns}
        unseen = self.queued - seen
        newest = self.turns[-1].service
        if step is None or len(unseen) > 1 or len(seen) < len(self.turns):
            return None
        service = next(iter(unseen), self.turns[0].service)
        return self._prediction(service, *step) if service != newest else None

    def _matching_round(self) -> tuple[Turn, Turn, list[float]] | None:
        """Return the newest earlier turn of the newest one's pool.

        :returns: that turn, the one that followed it, and the time between the rounds
            by each of the newest turns that came in the same order in both
        """
        turns = self.turns
        newest = turns[-1].service
        earlier = [i for i, turn in enumerate(turns[:-1]) if turn.service == newest]
        if not earlier:
            return None
        shifts = []
        for back in range(min(MAX_MATCHED, earlier[-1] + 1)):
            now, before = turns[-1 - back], turns[earlier[-1] - back]
            if now.service != before.service:
                break
            shifts.append(now.begin - before.begin)
        return turns[earlier[-1]], turns[earlier[-1] + 1], shifts

    def _equal_steps(self) -> tuple[float, float] | None:
        """Return the next begin if the newest ones are at equal intervals.

        :returns: the begin that a line through the newest ones gives, and the
            largest difference from it
        """
        begins = [turn.begin for turn in self.turns]
        for count in range(min(MAX_MATCHED, len(begins)), 2, -1):
            newest = begins[-count:]
            line = statistics.linear_regression(range(count), newest)
            error_s = max(
                abs(line.intercept + line.slope * i - at) for i, at in enumerate(newest)
            )
            tolerance_s = min(MAX_RESIDUAL_S, MAX_RELATIVE_RESIDUAL * line.slope)
            if line.slope >= MIN_INTERVAL_S and error_s <= tolerance_s:
                # Three turns are enough only if there are no more.
                enough = count > 3 or len(begins) == 3
                expected = line.intercept + line.slope * count
                return (expected, error_s) if enough else None
        return None

    def _prediction(
        self, service: ServiceName, expected: float, error_s: float
    ) -> Prediction | None:
        pool = self.pools.setdefault(service, PoolTurns(self.turns[-1].begin))
        if pool.turn is not None:
            return None
        heights = [p.height for p in self.pools.values() if p.heights]
        height = pool.height or min(heights, default=0.0)
        return Prediction(service, expected, error_s, height)


def _observe_quiet(pool: PoolTurns, elapsed_s: float) -> None:
    pool.evidence -= (pool.tested_rate - pool.quiet_rate) * elapsed_s
    keep = math.exp(-elapsed_s / QUIET_MEMORY_S)
    pool.quiet_jobs *= keep
    pool.quiet_s = pool.quiet_s * keep + elapsed_s
    if pool.evidence <= 0:
        pool.evidence = 0.0
        pool.quiet_jobs += len(pool.candidates)
        pool.candidates = []


def _continue_turn(turn: Turn, more: Turn) -> None:
    turn.ended = False
    turn.end = more.end
    turn.jobs += more.jobs
    turn.work += more.work
    if len(turn.arrivals) < MAX_STORED_ARRIVALS:
        turn.arrivals += more.arrivals


def _fit_edges(turn: Turn) -> None:
    """Determine begin and end of a turn by its own rate.

    Arrivals before and after it at less than a third of the rate, such as those of a
    node whose clock is off, don't belong to it.
    """
    times = turn.arrivals
    count = len(times)
    if count < MIN_FITTED or count >= MAX_STORED_ARRIVALS:
        return
    middle_s = times[count * 3 // 4] - times[count // 4]
    if middle_s <= 0:
        return
    rate = (count * 3 // 4 - count // 4) / middle_s
    excess = [i - rate / 3 * (at - times[0]) for i, at in enumerate(times)]
    first = min(range(count), key=excess.__getitem__)
    last = max(range(first, count), key=excess.__getitem__)
    if last > first:
        turn.begin, turn.end = times[first], times[last]
        turn.work *= (last - first + 1) / turn.jobs
        turn.jobs = last - first + 1


def _spread(values: list[float]) -> float:
    return max(values) - min(values)
