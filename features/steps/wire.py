"""Steps about sockets: frames, HTTP, the log and a whole entry."""

import asyncio
import logging
import os
import signal
from contextlib import asynccontextmanager

from behave import then, when

from primrosepitch.bin.entry import Entry
from primrosepitch.fleet.records import SessionClosed, SessionOpened, decode_record
from primrosepitch.settings import Settings
from primrosepitch.trace import NullRecorder
from standins.endpoint import Endpoint, EndpointSettings
from standins.http import call
from standins.platform import Platform

SCENARIO_S = 20

LOGGER = logging.getLogger("primrosepitch")
LOGGER.propagate = False
LOGGER.addHandler(logging.NullHandler())


def run(body):
    """Run a coroutine with a bound, so that a fault cannot hang the tests."""
    return asyncio.run(asyncio.wait_for(body, SCENARIO_S))


async def until(condition):
    """Let the loop go on until a condition holds."""
    while not condition():
        await asyncio.sleep(0.005)


@asynccontextmanager
async def platform():
    """Run a platform stand-in and yield it with its address."""
    found = Platform()
    await found.start()
    try:
        yield found, f"127.0.0.1:{found.server.port}"
    finally:
        await found.stop()


@asynccontextmanager
async def entry(address, name="e1"):
    """Run an entry and stop it gracefully."""
    settings = Settings(
        name=name,
        dc="dc1",
        instance=f"i-{name}",
        address="127.0.0.1",
        platform=address,
        http_port=0,
        peer_port=0,
    )
    found = Entry(settings, NullRecorder())
    found.task = asyncio.ensure_future(found.run())
    await until(lambda: found.task.done() or found.state.may_start)
    try:
        yield found
    finally:
        found.stop()
        found.exit_code = await found.task


async def publish(process, port):
    """Publish a configuration with one endpoint and an open queue."""
    worker = {"dc": "dc1", "rack": "r1", "pool": "p", "address": "127.0.0.1"}
    document = {
        "pools": {"p": {}},
        "services": {"quotes": {"pool": "p", "open": True}},
        "instances": {"w1": {**worker, "port": port}},
    }
    body = {"base_offset": -1, "documents": {"a.yaml": document}}
    answer = await call(process.http_address(), "POST", "/-/config", body)
    assert answer.status == 200, answer.body


@asynccontextmanager
async def site():
    """Run platform, endpoint and entry with a configuration in force."""
    endpoint = Endpoint(EndpointSettings(instance="w1"))
    await endpoint.start()
    try:
        async with platform() as (log, address), entry(address) as process:
            await publish(process, endpoint.port)
            yield log, endpoint, process
    finally:
        await endpoint.stop()


def records(log):
    """Return the records of the stream."""
    return [decode_record(data) for data in log.streams["fleet"].records]


# A whole entry


@when("a caller sends a request through an entry and the entry gets SIGTERM")
def step_through(context):
    async def body():
        async with site() as (log, _, process):
            target = process.http_address()
            headers = {"Primrose-Request-Id": "r-1"}
            context.answer = await call(target, "GET", "/q/quotes/7", None, headers)
            os.kill(os.getpid(), signal.SIGTERM)
            await process.task
        context.records = records(log)
        context.exit_code = process.exit_code

    run(body())


@then("the caller got the endpoint's answer with its own request id")
def step_got_answer(context):
    assert context.answer.status == 200
    assert context.answer.headers["primrose-outcome"] == "answered"
    assert context.answer.headers["primrose-request-id"] == "r-1"
    assert context.answer.json()["request_id"] == "r-1"


@then("the log has the session opened, then closed")
def step_session(context):
    kinds = [type(r) for r in context.records]
    assert kinds[0] is SessionOpened
    assert kinds[-1] is SessionClosed


@then("the entry exited with code 0")
def step_exit(context):
    assert context.exit_code == 0
