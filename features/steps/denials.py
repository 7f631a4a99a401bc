"""Steps for denials by a configuration that may be out of date."""

import asyncio
import json

from adapter.configuration import decode_configuration
from adapter.intake import HttpIntake
from behave import given, then, when

from primrosepitch.jobs.model import QueueName, ServiceName, WorkspaceName
from primrosepitch.metrics import Metrics
from primrosepitch.net.http_messages import HttpRequest
from primrosepitch.net.http_server import Exchange
from primrosepitch.node.job_intake import IntakeOutcome
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

    async def find(self, job):
        return IntakeOutcome.NO_SUCH_JOB


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


class ManifestInForce:
    """Configuration in force that was decoded from an operator's manifest."""

    outdated = False

    def __init__(self, host):
        route = {"name": "q", "host": host, "path_prefix": "/q/", "service": "s"}
        tenant = {"name": "w", "api_keys": ["right"]}
        manifest = {"version": 1, "routes": [route], "tenants": [tenant]}
        self.cfg = decode_configuration(json.dumps(manifest).encode())

    async def wait_until_current(self, deadline):
        return True


@given("a manifest with a queue of host {host}")
def step_manifest(context, host):
    context.host = host
    context.intake = HttpIntake(EmptyIntake(), ManifestInForce(host), Metrics())


@when("a caller requests that queue at host {host}")
def step_host(context, host):
    request_path(context, host, "/q/")


@when("a caller asks for job {job} of that queue")
def step_ask(context, job):
    request_path(context, context.host, f"/q/{job}")


def request_path(context, host, path):
    headers = [(b"host", host.encode()), (b"authorization", b"Bearer right")]
    _send(context, HttpRequest(b"GET", path.encode(), headers))
