"""Steps for the stages of a graceful stop."""

from behave import given, then, when

from primrosepitch.node.stopping import HealthReports, StopDeadlines

SIGNALLED_AT = 1000.0
STEP_S = 0.01
LONGEST_S = 6.0
ROUNDING_S = 1e-6


def _times(text):
    return [SIGNALLED_AT + float(part) for part in text.split(",") if part.strip()]


@given("a node that has answered health checks as ready at {ready} s")
def step_ready(context, ready):
    context.reports = HealthReports()
    for at in _times(ready):
        context.reports.record(True, at)


@given("a node that has answered health checks as ready at  s")
def step_never_checked(context):
    step_ready(context, "")


@when("it gets SIGTERM at 0 s and answers health checks as not ready at {unready} s")
def step_unready(context, unready):
    checks = _times(unready)
    for number in range(round(LONGEST_S / STEP_S)):
        now = SIGNALLED_AT + number * STEP_S
        while checks and checks[0] <= now + ROUNDING_S:
            context.reports.record(False, checks.pop(0))
        if not context.reports.awaits_removal(now + ROUNDING_S):
            break
    context.until_s = now - SIGNALLED_AT


@when("it gets SIGTERM at 0 s and answers health checks as not ready at  s")
def step_no_check(context):
    step_unready(context, "")


@then("it awaits its removal until {until:g} s")
def step_until(context, until):
    assert abs(context.until_s - until) < 2 * STEP_S, context.until_s


@given("a grace period of {grace:g} s")
def step_grace(context, grace):
    context.deadlines = StopDeadlines.after_signal(SIGNALLED_AT, grace)


@then(
    "a stop listens at most {listen:g} s, answers within {answer:g} s, and ends within "
    "{end:g} s"
)
def step_deadlines(context, listen, answer, end):
    expected = [SIGNALLED_AT + seconds for seconds in (listen, answer, end)]
    assert list(context.deadlines) == expected, context.deadlines
