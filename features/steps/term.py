"""Steps for claims of a term."""

from behave import given, then

from primrosepitch.jobs.records import Term
from primrosepitch.node.term import TermObservation, claim_delay_s

NOW = 1000.0
HOLDERS = {"other": "b", "nobody": "", "itself": "a"}


@given(
    "a node that got a heartbeat {heartbeat:g} s ago, connected to the store "
    "{connected:g} s ago and read it {read:g} s ago"
)
def step_observation(context, heartbeat, connected, read):
    context.observed_at = (NOW - heartbeat, NOW - connected, NOW - read)


@given("the term's holder is {holder}")
def step_holder(context, holder):
    term = Term(3, HOLDERS[holder], 1)
    latency_s = getattr(context, "latency_s", 0.0)
    context.observation = TermObservation(
        "a",
        term,
        *context.observed_at,
        latency_s=latency_s,
        append_s=getattr(context, "append_s", 0.0),
        jitter_s=0.05,
        configured_at=NOW - 60,
    )


@given("a store with a response time of {seconds:g} s")
def step_latency(context, seconds):
    context.latency_s = seconds


@given("a store whose appends take {seconds:g} s")
def step_append_latency(context, seconds):
    context.append_s = seconds


@then("instances of {first:g}, {second:g} and {third:g} cores claim in this order")
def step_larger_first(context, first, second, third):
    latest = [claim_delay_s(cores, 1.0) for cores in (first, second)]
    earliest = [claim_delay_s(cores, 0.0) for cores in (second, third)]
    for larger, smaller in zip(latest, earliest, strict=True):
        assert larger < smaller, (latest, earliest)


@then("the node {claims} the next term")
def step_claims(context, claims):
    assert context.observation.should_claim(NOW) is (claims == "claims")


def first_claim_at(cores, jitter_fraction, started, configured_after_s=0.0):
    """Return when a node that started at ``started`` claims the first term."""
    delay_s = claim_delay_s(cores, jitter_fraction)
    configured_at = started + configured_after_s
    for tick in range(1, 1000):
        now = started + tick * 0.01
        observation = TermObservation(
            "a", Term(0, "", 0), 0.0, started, now, 0.0, 0.0, delay_s, configured_at
        )
        if now >= configured_at and observation.should_claim(now):
            return now
    raise AssertionError("the node does not claim the first term within 10 s")


@given("a small and a large instance, of which the large one starts {later:g} s later")
def step_starting(context, later):
    context.small_at = first_claim_at(0.52, 0.0, NOW)
    context.large_at = first_claim_at(2.15, 1.0, NOW + later)


@given(
    "a small and a large instance that get the first manifest {later:g} s after they "
    "have read the ledger"
)
def step_configured_later(context, later):
    context.small_at = first_claim_at(0.52, 0.0, NOW, later)
    context.large_at = first_claim_at(2.15, 1.0, NOW, later)


@then("the large one claims the first term before the small one")
def step_large_first(context):
    assert context.large_at + 0.1 < context.small_at, (
        context.large_at,
        context.small_at,
    )


@given("a node of {cores:g} cores that got a heartbeat {age:g} s ago")
def step_node_size(context, cores, age):
    context.cores, context.heartbeat_age = cores, age


@given("the largest node in the ledger has {largest:g} cores")
def step_largest(context, largest):
    context.observation = TermObservation(
        "a",
        Term(3, "b", 1),
        NOW - context.heartbeat_age,
        connected_at=NOW - 60,
        read_at=NOW,
        latency_s=0.0,
        append_s=0.0,
        jitter_s=claim_delay_s(context.cores, 1.0, largest),
        configured_at=NOW - 60,
    )
