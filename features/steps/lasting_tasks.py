"""Steps for lasting tasks that wait, in virtual time."""

from behave import then, when

from primrosepitch.events import LASTING_TASKS_WAITING


@when("{count:d} jobs of {tasks:d} lasting tasks are accepted")
def step_accept_many_lasting(context, count, tasks):
    for number in range(count):
        context.execute_steps(
            f"When job j{number} of {tasks} lasting tasks is accepted"
        )


@then(
    "the log says that lasting tasks wait because of {obstacle}, "
    "with endpoints {reasons}"
)
def step_logged_wait(context, obstacle, reasons):
    expected = {}
    for part in reasons.split(", "):
        reason, _, count = part.rpartition(" ")
        expected[reason] = int(count)
    fields = context.world.newest_fields.get(LASTING_TASKS_WAITING.number)
    assert fields is not None, "no line on lasting tasks"
    assert fields["stopped_by"] == obstacle, fields
    assert fields["endpoints"] == expected, fields


@then("{count:d} lines on waits of lasting tasks were logged")
def step_logged_lines(context, count):
    found = context.world.events[LASTING_TASKS_WAITING.number]
    assert found == count, found
