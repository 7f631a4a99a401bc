"""Steps for denials by a configuration that may be out of date."""

import asyncio

from adapter.intake import HttpIntake
from behave import given, then, when

from primrosepitch.jobs.model import QueueName, ServiceName, WorkspaceName
from primrosepitch.metrics import Metrics
from primrosepitch.net.http_messages import HttpRequest
from primrosepitch.net.http_server import Exchange
from primrosepitch.scheduling.configuration import Configuration, QueueSpec


def configuration(*names):
    cfg = Configuration(version=len(names))
    for name in names:
        queue = QueueSpec(QueueName(name), "h", f"/{name}/", ServiceName("s"))
        cfg.queues[queue.name] = queue
    cfg.keys["right"] = WorkspaceName("w")
    return cfg


class ActiveConfiguration:
    """Configuration in force that is in a given state."""

    def __init__(self, state):
        self.cfg = configuration("old")
        self.outdated = state == "outdated"
        self._state = state

    def config_age_s(self):
        return 9.0

    async def wait_until_current(self, deadline):
        if self._state == "about to be replaced":
            self.cfg = configuration("old", "new")
        return self._state != "unconfirmed"


class EmptyIntake:
    """Intake without any jobs."""

    def count_queued(self, queue, cfg):
        return 0


class Connection:
    """Connection that stores the response."""

    def respond(self, response):
        self.response = response


NAMES_AND_KEYS = {
    "an unknown name": ("new", "right"),
    "an unknown key": ("old", "wrong"),
    "a known key": ("old", "right"),
}


@given("an intake whose configuration is {state}")
def step_intake(context, state):
    context.intake = HttpIntake(EmptyIntake(), ActiveConfiguration(state), Metrics())


@when("a caller requests a queue with {what}")
def step_request(context, what):
    name, key = NAMES_AND_KEYS[what]
    headers = [(b"host", b"h"), (b"authorization", f"Bearer {key}".encode())]
    _send(context, HttpRequest(b"GET", f"/{name}/".encode(), headers))


def _send(context, request):
    conn = Connection()

    async def answer():
        context.intake.handle(Exchange(request, conn))
        while context.intake.busy:
            await asyncio.sleep(0)

    asyncio.run(answer())
    context.response = conn.response


@when("a caller states a deadline of {deadline} ms for an unknown name")
def step_request_deadline(context, deadline):
    value = deadline
    if deadline.endswith(" digits"):
        value = "9" * int(deadline.removesuffix(" digits").replace(",", ""))
    name, key = NAMES_AND_KEYS["an unknown name"]
    headers = [
        (b"host", b"h"),
        (b"authorization", f"Bearer {key}".encode()),
        (b"primrosepitch-deadline-milliseconds", value.encode()),
    ]
    _send(context, HttpRequest(b"GET", f"/{name}/".encode(), headers))


@then("the response has status {status:d}")
def step_status(context, status):
    assert context.response.status == status, context.response
