"""Steps for soak runs with random faults."""

from behave import given, then

from soak.soak import run_soak


@given("a soak run with seed {seed:d}")
def step_soak(context, seed):
    context.violations, context.faults = run_soak(seed)


@then("it broke no rule")
def step_no_rule(context):
    assert not context.violations, (context.violations[:3], context.faults)
