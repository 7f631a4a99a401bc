"""Steps about the units of counts, which are in the reserve or held by sessions."""

import random

from behave import given, then, when

from primrosepitch.fleet.counts import Count


@given("a count of {total:d} units and {sessions:d} sessions")
def step_count(context, total, sessions):
    context.count = Count.of(total)
    context.sessions = [f"s{i}" for i in range(sessions)]


@when(
    "500 random takes, gives, session ends and limit changes are folded with seed "
    "{seed:d}"
)
def step_random_changes(context, seed):
    rng = random.Random(seed)
    context.sums = []
    for _ in range(500):
        _random_change(context, rng)
        count = context.count
        held = list(count.held.values())
        context.sums.append((count.total, count.reserve + sum(held)))
        assert count.reserve >= 0
        assert all(n > 0 for n in held)


def _random_change(context, rng):
    session, other = rng.choice(context.sessions), rng.choice([*context.sessions, None])
    kind = rng.randrange(8)
    if kind < 3:
        context.count.take(session, rng.randrange(1, 9))
    elif kind < 6:
        context.count.give(session, rng.randrange(1, 9), other)
    elif kind == 6:
        context.count.release(session)
    else:
        context.count.resize(rng.randrange(0, 60))


@then("the reserve and the holdings add up to the total after each record")
def step_sums(context):
    assert len(context.sums) == 500
    assert all(total == units for total, units in context.sums)
