"""Steps for orders whose endpoint is slow to show which incarnation it is."""

import asyncio
import contextlib
import json

from behave import given, then, when
from steps.restarted_endpoints import BORN

from features.scripted_client import platform_client
from primrosepitch import clock
from primrosepitch.jobs.model import EndpointId, JobId, TaskKey
from primrosepitch.net.http_pool import PooledHttpClient
from primrosepitch.scheduling import effects as ef

PART_PAUSE_S = 0.2
"""Pause between two parts of an answer, less than the client's read timeout."""


class SlowEndpoint:
    """Endpoint on a loopback socket whose answers take time, and a client.

    :param delay_s: time before each answer
    :param parts: number of parts in which the answer to a poll arrives
    """

    def __init__(self, delay_s, parts):
        self.delay_s = delay_s
        self.parts = parts
        self.loop = asyncio.new_event_loop()
        self.client = PooledHttpClient()
        self.platform = platform_client(b"", client=self.client)
        self.order_delays = []
        self.sent_at = 0.0
        self.server = self.loop.run_until_complete(
            asyncio.start_server(self.serve, "127.0.0.1", 0)
        )
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def serve(self, reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                await self.answer(reader, writer)

    async def answer(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        fields = dict(
            line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:-2]
        )
        await reader.readexactly(int(fields[b"content-length"]))
        is_poll = head.split()[1] == b"/hold"
        if not is_poll:
            self.order_delays.append(clock.monotonic() - self.sent_at)
        await asyncio.sleep(self.delay_s)
        lists = {"clock_ms": 1, "running": [], "ended": [], "born": BORN}
        body = json.dumps(lists).encode()
        data = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body) + body
        size = -(-len(data) // (self.parts if is_poll else 1))
        writer.write(data[:size])
        for start in range(size, len(data), size):
            await asyncio.sleep(PART_PAUSE_S)
            writer.write(data[start : start + size])

    def start_run(self):
        order = ef.StartRun(
            EndpointId("e1"),
            self.address,
            BORN,
            TaskKey(JobId("0" * 16), 0, 0, 0),
            1,
            "p",
            9000,
            "",
            "",
            1,
        )
        self.sent_at = clock.monotonic()
        return self.loop.run_until_complete(self.platform.start_run(order))

    def close(self):
        self.client.close()
        self.server.close()
        self.loop.run_until_complete(asyncio.sleep(0.05))
        self.loop.close()


@given("an endpoint that answers after {seconds:g} s")
def step_slow_endpoint(context, seconds):
    context.endpoint = SlowEndpoint(seconds, 1)
    context.add_cleanup(context.endpoint.close)


@given("an endpoint whose answers to polls arrive in {parts:d} parts")
def step_parts(context, parts):
    context.endpoint = SlowEndpoint(0.0, parts)
    context.add_cleanup(context.endpoint.close)


@when("a start order is sent to it {count:d} times")
def step_start(context, count):
    context.outcomes = [context.endpoint.start_run().name for _ in range(count)]
    # An order that was written last may still be in the socket's buffer.
    context.endpoint.loop.run_until_complete(asyncio.sleep(0.05))


@then("the last start order is answered")
def step_answered(context):
    assert context.outcomes[-1] == "DONE", context.outcomes


@then("no start order arrives later than {seconds:g} s after it was sent")
def step_no_late_order(context, seconds):
    delays = context.endpoint.order_delays
    assert all(delay <= seconds for delay in delays), delays
