"""Steps about the fairness between teams."""

import random
from collections import Counter

from behave import given, then, when

from primrosepitch.teams.fairness import RunningEstimate, fair_shares, next_team

WEIGHTS = {"a": 1.0, "b": 2.0, "c": 3.0}
STEPS_A_SECOND = 20


def pairs(text, kind=int):
    return {p.split(":")[0].strip(): kind(p.split(":")[1]) for p in text.split(",")}


@given("teams a, b and c with the weights 1, 2 and 3")
def step_weights(context):
    pass


@then("{policy} gives a unit to {team} when they run {running}")
def step_next(context, policy, team, running):
    assert next_team(pairs(running), WEIGHTS, policy) == team


@then("the fair shares of {demand} in {capacity:d} units are {shares}")
def step_shares(context, demand, capacity, shares):
    assert fair_shares(pairs(demand), WEIGHTS, capacity) == pairs(shares, float)


@given(
    "{entries:d} entries of {slots:d} slots, all used by a, with endless work of teams "
    "a, b and c, weights 1, 2 and 3"
)
def step_entries(context, entries, slots):
    context.slots = slots
    context.running = [Counter(a=slots) for _ in range(entries)]
    context.estimates = [RunningEstimate(f"e{i}") for i in range(entries)]


@when("they run for {seconds:d} s with reports each second and seed {seed:d}")
def step_run(context, seconds, seed):
    rng, context.means = random.Random(seed), []
    for _ in range(seconds):
        for estimate in context.estimates:
            for i, running in enumerate(context.running):
                estimate.report(f"e{i}", {"q": dict(running)})
        used = Counter()
        for _ in range(STEPS_A_SECOND):
            for running, estimate in zip(
                context.running, context.estimates, strict=True
            ):
                turn(running, estimate, context.slots, rng)
                used.update(running)
        context.means.append({t: used[t] / STEPS_A_SECOND for t in WEIGHTS})


def turn(running, estimate, slots, rng):
    """End a tenth of the work and start as much."""
    for team in list(running.elements()):
        running[team] -= rng.random() < 0.1
    while running.total() < slots:
        known = {t: estimate.running("q", t, running[t]) for t in WEIGHTS}
        running[next_team(known, WEIGHTS)] += 1


@then(
    "the units of each team stay within {most:d} of 8, 16 and 24 in each second "
    "after 5 s"
)
def step_near(context, most):
    for mean in context.means[5:]:
        gaps = [abs(mean[t] - n) for t, n in zip("abc", (8, 16, 24), strict=True)]
        assert max(gaps) <= most, context.means
