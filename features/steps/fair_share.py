"""Steps about the fair shares of teams."""

import random
from collections import Counter

from behave import given, then, when

from primrosepitch.teams.fairness import RunningEstimate, fair_shares, next_team

WEIGHTS = {"a": 1.0, "b": 2.0, "c": 3.0}
STEPS_PER_SECOND = 20


def parse_units(text, kind=int):
    return {p.split(":")[0].strip(): kind(p.split(":")[1]) for p in text.split(",")}


@given("teams a, b and c with the weights 1, 2 and 3")
def step_weights(context):
    pass


@then("{policy} gives the next unit to {team} when the units in use are {running}")
def step_next_team(context, policy, team, running):
    assert next_team(parse_units(running), WEIGHTS, policy) == team


@then("the fair shares for demands {demand} and {capacity:d} units are {shares}")
def step_fair_shares(context, demand, capacity, shares):
    assert fair_shares(parse_units(demand), WEIGHTS, capacity) == parse_units(
        shares, float
    )


@given(
    "{entries:d} entries of {slots:d} slots, all used by a, with unlimited demand of "
    "teams a, b and c, weights 1, 2 and 3"
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
        for _ in range(STEPS_PER_SECOND):
            for running, estimate in zip(
                context.running, context.estimates, strict=True
            ):
                replace_work(running, estimate, context.slots, rng)
                used.update(running)
        context.means.append({t: used[t] / STEPS_PER_SECOND for t in WEIGHTS})


def replace_work(running, estimate, slots, rng):
    """End each running unit with probability 0.1 and fill the free slots again."""
    for team in list(running.elements()):
        running[team] -= rng.random() < 0.1
    while running.total() < slots:
        estimated = {t: estimate.running("q", t, running[t]) for t in WEIGHTS}
        running[next_team(estimated, WEIGHTS)] += 1


@then(
    "the units of each team differ by at most {most:d} from 8, 16 and 24 in each "
    "second after 5 s"
)
def step_near_fair_shares(context, most):
    for mean in context.means[5:]:
        deviations = [abs(mean[t] - n) for t, n in zip("abc", (8, 16, 24), strict=True)]
        assert max(deviations) <= most, f"mean units in each second: {context.means}"
