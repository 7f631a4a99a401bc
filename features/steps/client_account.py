"""Steps for the account of clients and its refusals."""

import asyncio
import contextlib
import struct

from adapter.client_limits import client_limits
from adapter.settings import InstanceLimits
from behave import given, then, when

from features.wire_world import run, until
from primrosepitch.gen.primrose.ttypes import Hello
from primrosepitch.net import frames
from primrosepitch.net.client_account import (
    CONNECTION_BYTES,
    EXCHANGE_BYTES,
    ClientAccount,
    CutOff,
)
from primrosepitch.net.http_messages import HttpResponse
from primrosepitch.net.http_server import HttpServer, ServerLimits
from primrosepitch.net.peers import PeerClient

OK = HttpResponse(200, [], b"")
REQUEST = b"GET /a HTTP/1.1\r\nhost: x\r\n\r\n"
HELLO = Hello(session="s", dc="d", generation=0, offset=3)


class _Scene:
    """A server that keeps its exchanges, and who was cut off."""

    def __init__(self, limit_bytes, limits=None):
        self.exchanges = []
        self.reasons = []
        self.writers = []
        account = ClientAccount(limit_bytes, self.reasons.append)
        self.server = HttpServer(self.exchanges.append, limits, account)

    async def open(self):
        self.port = await self.server.listen("127.0.0.1", 0)

    async def send(self, data=REQUEST):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(data)
        self.writers.append(writer)
        return reader, writer


def _play(scene, body):
    async def play():
        await scene.open()
        try:
            await body()
        finally:
            scene.server.abort()
            for writer in scene.writers:
                writer.transport.abort()
            await asyncio.sleep(0)

    run(play())


@given("a server whose account has room for one request under way")
def step_small_account(context):
    limit_bytes = 3 * CONNECTION_BYTES + EXCHANGE_BYTES + 1024
    context.scene = _Scene(limit_bytes)


@when("a second request comes while the first is under way")
def step_second(context):
    scene = context.scene

    async def body():
        first, _ = await scene.send()
        await until(lambda: scene.exchanges)
        second, _ = await scene.send(REQUEST.replace(b"/a", b"/b"))
        context.refusal = await second.read()
        scene.exchanges[0].respond(OK)
        context.answer = await first.readuntil(b"\r\n")

    _play(scene, body)


@then("the second gets 503 with Retry-After and was not handed over")
def step_refused(context):
    assert context.refusal.startswith(b"HTTP/1.1 503"), context.refusal
    assert b"retry-after: 1" in context.refusal.lower(), context.refusal
    assert [e.request.target for e in context.scene.exchanges] == [b"/a"]
    assert context.scene.reasons == [CutOff.REQUESTS]


@then("the first is answered with 200")
def step_first_answered(context):
    assert context.answer == b"HTTP/1.1 200 OK\r\n"


@when("the connection of a request under way is cut off")
def step_cut_off(context):
    scene = context.scene

    async def body():
        reader, _ = await scene.send()
        await until(lambda: scene.exchanges)
        (conn,) = scene.server.connections
        conn.cut_off(CutOff.MEMORY)
        scene.exchanges[0].respond(OK)
        try:
            context.received = await reader.read()
        except ConnectionResetError:
            context.received = b""

    _play(scene, body)


@then("its caller gets no answer")
def step_no_answer(context):
    assert context.received == b""


@when("the caller of a request under way disconnects")
def step_disconnects(context):
    scene = context.scene
    account = scene.server.account

    async def body():
        _, writer = await scene.send()
        await until(lambda: scene.exchanges)
        writer.close()
        await until(lambda: not scene.server.connections)
        context.held = [account.held_bytes]
        scene.exchanges.clear()
        await asyncio.sleep(0)
        context.held.append(account.held_bytes)

    _play(scene, body)


@then("the account holds the request, and nothing once its handler has dropped it")
def step_held(context):
    assert context.held[0] > EXCHANGE_BYTES
    assert context.held[1] == 0, context.held


@given("a server with a limit of unsent answers of 1 MB")
def step_unsent_limit(context):
    context.scene = _Scene(64 << 20, ServerLimits(unsent_bytes=1 << 20))


@when("a caller leaves an answer of 16 MB unread")
def step_unread(context):
    scene = context.scene

    async def body():
        await scene.send()
        await until(lambda: scene.exchanges)
        scene.exchanges[0].respond(HttpResponse(200, [], b"x" * (16 << 20)))
        await until(lambda: not scene.server.connections)
        reader, _ = await scene.send()
        await until(lambda: len(scene.exchanges) == 2)
        scene.exchanges[1].respond(OK)
        context.answer = await reader.readuntil(b"\r\n")

    _play(scene, body)


@then("its connection is closed and the next caller is served")
def step_unread_closed(context):
    assert context.scene.reasons == [CutOff.SLOW_READER]
    assert context.answer == b"HTTP/1.1 200 OK\r\n"


@given("a server with the limits of a node with {memory_mb:d} MB and 4100 descriptors")
def step_node_limits(context, memory_mb):
    limits = client_limits(InstanceLimits(memory_mb=memory_mb, file_descriptors=4100))
    context.scene = _Scene(limits.account_bytes, limits.callers)


@when("500 callers ask at once, with 15 KB of headers and one body of 1 MB")
def step_ask_at_once(context):
    scene = context.scene
    large_head = REQUEST.replace(b"host: x", b"host: x\r\na: " + b"x" * (15 << 10))
    body_head = b"POST /b HTTP/1.1\r\nhost: x\r\ncontent-length: %d\r\n\r\n" % (1 << 20)

    async def body():
        callers = [await scene.send(large_head) for _ in range(499)]
        callers.append(await scene.send(body_head + b"x" * (1 << 20)))
        await until(lambda: len(scene.exchanges) == 500 or scene.reasons)
        for exchange in scene.exchanges:
            exchange.respond(OK)
        answers = [await reader.readuntil(b"\r\n") for reader, _ in callers]
        context.answers = set(answers)

    _play(scene, body)


@then("all are answered with 200 and nobody is cut off")
def step_all_answered(context):
    assert context.answers == {b"HTTP/1.1 200 OK\r\n"}
    assert context.scene.reasons == []


@when("12 connections of peers each send most of a frame of 1 MB")
def step_unfinished_frames(context):
    async def body():
        port = await context.server.listen("127.0.0.1", 0)
        healthy = PeerClient(f"127.0.0.1:{port}")
        await healthy.request(HELLO, 5)
        streams = []
        for _ in range(12):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(struct.pack(">I", frames.MAX_FRAME_BYTES) + b"x" * 900_000)
            streams.append((reader, writer))
        closed = [asyncio.ensure_future(_read_to_end(r)) for r, _ in streams]
        await until(lambda: sum(task.done() for task in closed) >= 4)
        context.closed = sum(task.done() for task in closed)
        context.answer = await healthy.request(HELLO, 5)
        context.connections = healthy.connections_opened
        healthy.close()
        context.server.close()
        await asyncio.gather(*closed)
        for _, writer in streams:
            writer.transport.abort()

    run(body())


async def _read_to_end(reader):
    with contextlib.suppress(ConnectionResetError):
        await reader.read()


@then("at most 8 of them stay open, and the healthy one gets its answer")
def step_frames_bounded(context):
    assert context.closed >= 4
    assert context.answer == HELLO
    assert context.connections == 1
