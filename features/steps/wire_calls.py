"""Steps for calls over pooled connections."""

import asyncio
from contextlib import suppress

from behave import given, then, when

from primrosepitch import clock
from primrosepitch.net.http_messages import HttpRequest
from primrosepitch.net.http_pool import NoResponseError, PooledHttpClient

ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
POOLED_CONNECTIONS = 3


class SilencingService:
    """Service that answers on each connection until that one is silenced."""

    def __init__(self):
        self.silenced = set()
        self.writers = []
        self.tasks = []
        self.all_connected = asyncio.Barrier(POOLED_CONNECTIONS)
        self.first_round = True

    async def serve(self, reader, writer):
        self.writers.append(writer)
        self.tasks.append(asyncio.current_task())
        while await self._request(reader):
            if self.first_round:
                # Wait until all connections are open, so that none is reused.
                await self.all_connected.wait()
            if writer not in self.silenced:
                writer.write(ANSWER)

    async def _request(self, reader):
        try:
            return await reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, OSError):
            return b""


async def _call(client, address, timeout_s):
    request = HttpRequest(b"GET", b"/", [], b"")
    try:
        await client.call(address, request, clock.monotonic() + timeout_s)
    except NoResponseError:
        return "timeout"
    return "answer"


async def _call_silenced_service():
    service = SilencingService()
    server = await asyncio.start_server(service.serve, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    client = PooledHttpClient()
    await asyncio.gather(
        *(_call(client, address, 5.0) for _ in range(POOLED_CONNECTIONS))
    )
    service.first_round = False
    service.silenced.update(service.writers)
    results = [await _call(client, address, 0.2) for _ in range(4)]
    client.close()
    server.close()
    for writer in service.writers:
        writer.transport.abort()
    await asyncio.gather(*service.tasks)
    return results


@given(
    "a service that answers three concurrent calls and then silences their connections"
)
def step_silencing_service(context):
    context.make_calls = _call_silenced_service


@when("four more calls are made one after the other")
def step_four_calls(context):
    context.results = asyncio.run(context.make_calls())


@then("one of them times out and three are answered")
def step_one_timeout(context):
    assert context.results == ["timeout", "answer", "answer", "answer"], context.results


class SlowService:
    """Service that sends its answers byte by byte.

    :param stops: whether it stops half-way through an answer
    """

    def __init__(self, seconds, stops=False):
        self.seconds, self.stops = seconds, stops
        self.tasks = []
        self.writers = []

    async def serve(self, reader, writer):
        self.tasks.append(asyncio.current_task())
        self.writers.append(writer)
        await reader.readuntil(b"\r\n\r\n")
        size = len(ANSWER)
        for number in range(size // 2 if self.stops else size):
            writer.write(ANSWER[number : number + 1])
            await asyncio.sleep(self.seconds / size)
        writer.close()


async def _call_once(service, timeout_s):
    server = await asyncio.start_server(service.serve, "127.0.0.1", 0)
    client = PooledHttpClient()
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    started = clock.monotonic()
    result = await _call(client, address, timeout_s)
    took_s = clock.monotonic() - started
    client.close()
    await asyncio.gather(*service.tasks)
    server.close()
    for writer in service.writers:
        # The client may have reset the connection.
        with suppress(ConnectionError):
            await writer.wait_closed()
    return result, took_s


@given("a service whose answers take {seconds:g} seconds to arrive")
def step_slow_service(context, seconds):
    context.service = SlowService(seconds)


@given("a service whose answers stop half-way")
def step_stopping_service(context):
    context.service = SlowService(0.1, stops=True)


@when("a call waits {seconds:g} seconds for an answer")
def step_call_once(context, seconds):
    context.result, context.took_s = asyncio.run(_call_once(context.service, seconds))


@then("it is answered")
def step_answered(context):
    assert context.result == "answer"


@then("it times out within {seconds:g} seconds")
def step_timeout(context, seconds):
    assert context.result == "timeout"
    assert context.took_s < seconds, context.took_s
