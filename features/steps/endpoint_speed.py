"""Steps for the evidence that endpoints are slow, without a scheduler."""

import random
from math import log

from behave import given, then, when

from primrosepitch.jobs.model import JobId
from primrosepitch.scheduling.endpoint_speed import (
    EndpointSpeed,
    Observation,
    PoolMedian,
)

SIGMA = 0.5
"""Half of an estimate, as standard deviation of its logarithm."""

RUN_S = 0.3
"""Mean time between two ends on an endpoint."""


class PoolOfRuns:
    """Endpoints of a pool, whose runs take as long as drawn."""

    def __init__(self, seed, endpoints, by_step=False, bias=1.0):
        self.rng = random.Random(seed)
        self.speeds = [EndpointSpeed() for _ in range(endpoints)]
        self.median = PoolMedian()
        self.by_step, self.bias = by_step, bias
        self.now, self.jobs = 100.0, 0
        self.found = set()

    def end_runs(self, number, count, slower=1.0):
        """End runs on one endpoint; return whether it counts as slow."""
        speed = self.speeds[number]
        for index in range(count):
            if not self.by_step or index % 8 == 0:
                self.jobs += 1
                self.ratio = self.rng.gauss(log(self.bias), SIGMA)
            log_ratio = self.ratio + log(slower)
            self.now += RUN_S / len(self.speeds)
            speed.add_end(
                Observation(JobId(f"j{self.jobs}"), log_ratio - self.median.value),
                self.now,
            )
            self.median.add(log_ratio)
            speed.decide((), self.now)
            if speed.slow:
                self.found.add(number)
        return speed.slow


@given("{seeds:d} seeds of {count:d} sound endpoints whose {unit} are off by a half")
def step_sound(context, seeds, count, unit):
    by_step = unit.startswith("steps")
    context.pools = [PoolOfRuns(seed, count, by_step) for seed in range(1, seeds + 1)]


@given("whose tasks all take {factor:g} times their estimates")
def step_bias(context, factor):
    for pool in context.pools:
        pool.bias = factor


@when("{count:d} runs have ended on each")
def step_end_runs(context, count):
    for pool in context.pools:
        for _ in range(count // 8):
            for number in range(len(pool.speeds)):
                pool.end_runs(number, 8)


@then("at most {most:d} of the {total:d} endpoints counted as slow at some time")
def step_false_positives(context, most, total):
    assert sum(len(pool.speeds) for pool in context.pools) == total
    found = sum(len(pool.found) for pool in context.pools)
    assert found <= most, found


@when("the runs of one endpoint take {factor:g} times as long")
def step_one_slow(context, factor):
    context.slower = factor


@then(
    "it counts as slow after {runs:d} runs of different jobs in {most:d} of {seeds:d} "
    "seeds"
)
def step_found(context, runs, most, seeds):
    assert len(context.pools) == seeds
    found = sum(pool.end_runs(0, runs, context.slower) for pool in context.pools)
    assert found >= most, found


@given("an endpoint")
def step_endpoint(context):
    context.speed = EndpointSpeed()


@given("an endpoint that counts as slow")
def step_slow_endpoint(context):
    context.speed = EndpointSpeed()
    for number in range(6):
        context.speed.add_end(Observation(JobId(f"slow{number}"), log(8.0)), 100.0)
    context.speed.decide((), 100.0)
    assert context.speed.slow


@when("{count:d} runs of a job take {factor:g} times as long as expected")
def step_one_job(context, count, factor):
    for _ in range(count):
        context.speed.add_end(Observation(JobId("same"), log(factor)), 100.0)
    context.speed.decide((), 100.0)


@when("{count:d} runs of different jobs take as long as expected")
def step_recovers(context, count):
    for number in range(count):
        context.speed.add_end(Observation(JobId(f"sound{number}"), 0.0), 101.0)
        context.speed.decide((), 101.0)


@when("{seconds:d} s have passed without ends")
def step_forgotten(context, seconds):
    context.speed.decide((), 100.0 + seconds)


@then("the endpoint does not count as slow")
def step_not_slow(context):
    assert not context.speed.slow, context.speed
