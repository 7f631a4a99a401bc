"""Steps about claims of a term."""

from behave import given, then

from primrosepitch.jobs.records import Term
from primrosepitch.node.term import TermWatch

NOW = 1000.0
HOLDERS = {"other": "b", "nobody": "", "itself": "a"}


@given(
    "a node that heard of the scheduler {sign:g} s ago, reads the store since "
    "{connected:g} s ago and read it {read:g} s ago"
)
def step_watch(context, sign, connected, read):
    context.times = (NOW - sign, NOW - connected, NOW - read)


@given("the term's holder is {holder}")
def step_holder(context, holder):
    term = Term(3, HOLDERS[holder], 1)
    context.watch = TermWatch("a", term, *context.times, jitter_s=0.05)


@then("the node {claims} the next term")
def step_claims(context, claims):
    assert context.watch.should_claim(NOW) is (claims == "claims")
