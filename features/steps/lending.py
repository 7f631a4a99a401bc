"""Steps for lending instances under the named patterns of load."""

from behave import given, then, when
from typer.testing import CliRunner

from primrosepitch.events import TURN_PREDICTED
from standins import model
from standins.patterns import PATTERNS, build


@given("pattern {name} and seed {seed:d}")
def step_pattern(context, name, seed):
    context.pattern, context.seeds = name, [seed]


@given("pattern {name} and seeds {first:d} to {last:d}")
def step_patterns(context, name, first, last):
    context.pattern, context.seeds = name, range(first, last + 1)


@when("the pattern has been simulated")
def step_simulate(context):
    worlds = [build(context.pattern, seed) for seed in context.seeds]
    context.outcome = model.mean([model.simulate_world(world) for world in worlds])
    context.violations = [rule for world in worlds for rule in world.violations]


@then("at most {count:d} moves were refused as busy")
def step_max_refused(context, count):
    assert context.outcome.refused_moves <= count, context.outcome


@then("at least {part:g} of the jobs' value was served")
def step_min_served(context, part):
    assert context.outcome.served >= part, context.outcome


@then("no rule was broken under the pattern")
def step_pattern_rules(context):
    assert not context.violations, context.violations[:5]


@when("the model's command is run with pattern {name}")
def step_run_command(context, name):
    context.result = CliRunner().invoke(model.app, [name])


@then("it exits with 2 and lists the patterns")
def step_unknown_pattern(context):
    assert context.result.exit_code == 2
    assert all(name in context.result.output for name in PATTERNS)


@when("the pattern has been simulated with and without the forecast of turns")
def step_simulate_both(context):
    step_simulate(context)
    results = [
        model.simulate(context.pattern, seed, without="turns") for seed in context.seeds
    ]
    context.without = model.mean(results)


@then("at least {part:g} more of the jobs' value was served with it")
def step_more_served(context, part):
    gain = context.outcome.served - context.without.served
    assert gain >= part, (context.outcome, context.without)


@then("it took at most {percent:g} % more instance-seconds")
def step_instance_seconds(context, percent):
    most = context.without.pool_s * (1 + percent / 100)
    assert context.outcome.pool_s <= most, (context.outcome, context.without)


@when("the pattern has been simulated for {seconds:g} s")
def step_simulate_part(context, seconds):
    context.world = build(context.pattern, context.seeds[0])
    context.world.run(21.2)
    context.world.newest_fields.clear()
    context.world.run(seconds - 21.2)


@then("the scheduler is {name}, and it has lent instances to {pool} ahead of a turn")
def step_lent_ahead(context, name, pool):
    world = context.world
    assert [node.name for node in world.nodes] == [name]
    fields = world.newest_fields.get(TURN_PREDICTED.number, {})
    assert fields.get("pool") == pool, fields
