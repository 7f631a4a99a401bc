"""Servers, clients and real entries for the steps that use sockets."""

import asyncio
import logging
from contextlib import asynccontextmanager

import h11
import msgspec

from primrosepitch.bin.entry import Entry
from primrosepitch.fleet.records import decode_record
from primrosepitch.fleet.snapshot import pack_state
from primrosepitch.settings import Settings
from standins.endpoint import Endpoint, EndpointSettings
from standins.http import call
from standins.platform import Platform

SCENARIO_S = 20

LOGGER = logging.getLogger("primrosepitch")
LOGGER.propagate = False
LOGGER.setLevel(logging.INFO)
LOGGER.handlers[:] = [logging.NullHandler()]


class EventNumberHandler(logging.Handler):
    """Log handler that records the numbers of log events."""

    def __init__(self):
        super().__init__()
        self.numbers = []

    def emit(self, record):
        self.numbers.append(record.number)


class EventKindRecorder:
    """Trace recorder that keeps the class names of events."""

    def __init__(self):
        self.kinds = []

    def write(self, event, effects):
        self.kinds.append(type(event).__name__)


def run(body):
    """Run a coroutine with a timeout, so that a fault cannot hang the tests."""
    return asyncio.run(asyncio.wait_for(body, SCENARIO_S))


async def until(condition):
    """Wait until a condition holds."""
    while not condition():
        await asyncio.sleep(0.005)


@asynccontextmanager
async def platform():
    """Run a platform stand-in and yield it with its address."""
    stand_in = Platform()
    await stand_in.start()
    try:
        yield stand_in, f"127.0.0.1:{stand_in.server.port}"
    finally:
        await stand_in.stop()


async def set_fault(address, name, **values):
    """Set or clear a fault of the platform stand-in."""
    answer = await call(address, "POST", f"/control/{name}", values)
    assert answer.status == 200, answer.body


@asynccontextmanager
async def entry(address, name="e1", dc="dc1", serving=True, **settings):
    """Run an entry and stop it gracefully.

    :param serving: whether to wait until it dispatches requests
    """
    ports = {"http_port": 0, "peer_port": 0, "address": "127.0.0.1"}
    process = Entry(
        Settings(
            name=name,
            dc=dc,
            instance=f"i-{name}",
            platform=address,
            **ports,
            **settings,
        ),
        EventKindRecorder(),
    )
    process.task = asyncio.ensure_future(process.run())
    if serving:
        await until(lambda: process.task.done() or process.state.may_dispatch)
    try:
        yield process
    finally:
        process.stop()
        process.exit_code = await process.task


async def publish(process, port, base=-1, name="a.yaml", **teams):
    """Publish a configuration with one endpoint and an open queue.

    With a base offset, publish only teams.
    """
    worker = {"dc": "dc1", "rack": "r1", "pool": "p", "address": "127.0.0.1"}
    document = {
        "pools": {"p": {}},
        "services": {"quotes": {"pool": "p", "open": True}},
        "instances": {"w1": {**worker, "port": port}},
    }
    if base >= 0:
        document = {"teams": teams}
    body = {"base_offset": base, "documents": {name: document}}
    answer = await call(process.http_address(), "POST", "/-/config", body)
    assert answer.status == 200, answer.body
    return answer.json()["offset"]


@asynccontextmanager
async def running_site():
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
    """Return the decoded records of the fleet's stream."""
    return [decode_record(data) for data in log.streams["fleet"].records]


def packed_state(process):
    """Return the packed folded state, for comparison."""
    return pack_state(process.fleet())


def teams(process):
    """Return the names of the configured teams."""
    return sorted(process.fleet().config.teams)


async def send_raw(address, data):
    """Send raw bytes and return the status and headers of the response."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    received = await reader.read()
    writer.close()
    conn = h11.Connection(h11.CLIENT)
    conn.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
    conn.send(h11.EndOfMessage())
    conn.receive_data(received)
    head = conn.next_event()
    assert isinstance(head, h11.Response), received
    return head.status_code, dict(head.headers)


@asynccontextmanager
async def scripted_server(*answers):
    """Run a server that answers the first read of a connection with the next answer.

    :param answers: bytes; ``None`` stays silent, ``b""`` closes; the parts of a list
        are sent one after each read; a final ``#close`` closes after the answer
    """
    received = []
    remaining = list(answers)
    writers = []

    async def serve(reader, writer):
        writers.append(writer)
        answer = remaining.pop(0)
        for part in answer if isinstance(answer, list) else [answer]:
            received.append(await reader.read(65536))
            if part is None:
                await reader.read()
                return
            writer.write(part)
        if part == b"" or part.endswith(b"#close"):
            writer.close()
            return
        while data := await reader.read(65536):
            received.append(data)

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    try:
        yield port, received, writers
    finally:
        server.close()
        for writer in writers:
            writer.transport.abort()


class RecordingListener:
    """Listener that records what connections to endpoints report."""

    def __init__(self):
        self.events = []
        self.response = None

    def connection_opened(self, conn):
        self.events.append("opened")

    def connection_failed(self, conn):
        self.events.append("failed to open")

    def connection_closed(self, conn):
        self.events.append("gone")

    def send_skipped(self, call, conn):
        self.events.append("skipped")

    def send_failed(self, call, conn, failure):
        self.events.append(failure.value)

    def response_received(self, call, conn, response, reusable):
        self.response = response
        self.events.append("answered")


def copy_state(state):
    """Return a deep copy of a state, made through its packed form."""
    return msgspec.msgpack.decode(pack_state(state), type=type(state))
