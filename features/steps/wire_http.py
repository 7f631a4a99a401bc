"""Steps for frames and HTTP messages."""

import asyncio
import random
import socket
import struct

from behave import given, then, when

from features.wire_world import RecordingListener, run, scripted_server, send_raw, until
from primrosepitch import clock
from primrosepitch.errors import FrameError, PeerUnavailableError
from primrosepitch.gen.primrose.ttypes import (
    Claim,
    ClaimEntry,
    FetchState,
    Hello,
    Status,
    SyncedClaims,
    TeamUsage,
    Usage,
)
from primrosepitch.ids import CallId, ConnId, RequestId
from primrosepitch.net import frames, peers
from primrosepitch.net.endpoint_connection import (
    OutgoingRequest,
    ResponseBudget,
    connect,
)
from primrosepitch.net.http_messages import HttpRequest, HttpResponse
from primrosepitch.net.http_server import HttpServer, ServerLimits
from primrosepitch.net.peers import PeerClient, PeerServer

HELLO = Hello(session="s", dc="d", generation=0, offset=3)
OK = b"HTTP/1.1 200 OK\r\nprimrose-request-id: r-1\r\n"

# Frames


def _samples():
    usage = Usage(
        origin="s",
        teams=[TeamUsage(queue="q", team="t", running=1, waiting=2)],
        whole=True,
    )
    status = Status(
        session="s",
        generation=1,
        offset=2,
        usage=[usage],
        processes=[],
        pending_withdrawals=[b"k"],
        log_contact=True,
    )
    claim = ClaimEntry(request_id="r", holder="s", outcome=2, age_ms=5)
    claims = SyncedClaims(epoch=1, complete=True, claims=[claim])
    return [HELLO, status, claims, Claim(session="s", request_id="r", epoch=1)]


@when("3000 truncated and corrupt envelopes are decoded with seed 7")
def step_decode_corrupt(context):
    rng = random.Random(7)
    context.results = []
    for number in range(3000):
        sample = _samples()[number % 4]
        data = bytearray(frames.encode_frame(frames.make_envelope(1, sample))[4:])
        if number % 2:
            data = data[: rng.randrange(len(data))]
        else:
            for _ in range(rng.randrange(1, 4)):
                data[rng.randrange(len(data))] = rng.randrange(256)
        try:
            frames.decode_envelope(bytes(data))
            context.results.append("decoded")
        except FrameError:
            context.results.append("refused")


@then("each was decoded or raised FrameError")
def step_decoded_or_refused(context):
    assert len(context.results) == 3000
    assert context.results.count("refused") > 1500


def _bad_frame(kind):
    frame = frames.encode_frame(frames.make_envelope(1, HELLO))
    return {
        "truncated": frame[:-3],
        "corrupt": struct.pack(">I", 8) + b"\xff" * 8,
        "too long": struct.pack(">I", frames.MAX_FRAME_BYTES + 1),
        "empty": struct.pack(">I", 0),
    }[kind]


@given("a peer server with one healthy connection")
def step_peer_server(context):
    context.server = PeerServer(lambda request: request.reply(HELLO))


@when("another peer sends a {kind} frame")
def step_bad_frame(context, kind):
    async def body():
        port = await context.server.listen("127.0.0.1", 0)
        healthy = PeerClient(f"127.0.0.1:{port}")
        await healthy.request(HELLO, 5)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(_bad_frame(kind))
        if kind == "truncated":
            writer.write_eof()
        context.remaining = await reader.read()
        writer.close()
        context.answer = await healthy.request(HELLO, 5)
        context.connections = healthy.connections_opened
        healthy.close()
        context.server.close()

    run(body())


@then("its connection is closed and the healthy one gets its answer")
def step_bad_frame_closed(context):
    assert context.remaining == b""
    assert context.answer == HELLO
    assert context.connections == 1


@when("three requests are sent to a peer that is silent on its first connection")
def step_silent_peer(context):
    async def body():
        answer = frames.encode_frame(frames.make_envelope(3, HELLO))
        async with scripted_server(None, answer) as (port, _, _):
            client = PeerClient(f"127.0.0.1:{port}")
            context.results = []
            for timeout_s in (0.05, 0.05, 10):
                try:
                    await client.request(FetchState(), timeout_s)
                    context.results.append("answered")
                except PeerUnavailableError:
                    context.results.append("failed")
            context.connections = client.connections_opened
            client.close()

    run(body())


@then("two time out and the third is answered on a new connection")
def step_silent_replaced(context):
    assert context.results == ["failed"] * peers.MAX_CONSECUTIVE_TIMEOUTS + ["answered"]
    assert context.connections == 2


# HTTP server

HEAD = b"POST /q/a HTTP/1.1\r\nhost: x\r\n"
MIB = 1 << 20

MESSAGES = {
    "malformed": b"GET /q/a\r\nnonsense\r\n\r\n",
    "bad chunk": HEAD + b"transfer-encoding: chunked\r\n\r\nxyz\r\n",
    "long header": HEAD + b"a: " + b"x" * 20_000 + b"\r\n\r\n",
    "long declared body": HEAD + b"content-length: %d\r\n\r\n" % (MIB + 1),
    "long chunked body": HEAD
    + b"transfer-encoding: chunked\r\n\r\n"
    + (b"%x\r\n" % 65536 + b"x" * 65536 + b"\r\n") * 17,
    "one body too many": HEAD + b"content-length: 900\r\n\r\n" + b"x" * 800,
    "one caller too many": b"",
}
VALID_MESSAGE = b"GET /q/a HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"


async def _hold(address, data):
    """Open a connection, send part of a message and keep the connection open."""
    host, _, port = address.rpartition(":")
    _, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    return writer


@when("a caller sends a {kind} message")
def step_bad_message(context, kind):
    limits = ServerLimits(connections=2)
    if kind == "one body too many":
        limits = ServerLimits(buffered_bytes=1000)
    server = HttpServer(lambda e: e.respond(HttpResponse(200, [], b"ok")), limits)

    async def body():
        address = f"127.0.0.1:{await server.listen('127.0.0.1', 0)}"
        held = []
        if kind == "one body too many":
            held = [await _hold(address, MESSAGES[kind])]
            await until(lambda: server.buffered_bytes >= 800)
        elif kind == "one caller too many":
            held = [await _hold(address, b"") for _ in range(2)]
            await until(lambda: len(server.connections) == 2)
        context.result = await send_raw(address, MESSAGES[kind])
        for writer in held:
            writer.transport.abort()
        await until(lambda: not server.connections)
        context.buffered = server.buffered_bytes
        context.next = await send_raw(address, VALID_MESSAGE)
        await server.drain(0)

    run(body())


@then("it gets status {status:d} with code {code} and its connection is closed")
def step_error(context, status, code):
    assert context.result[0] == status, context.result
    assert context.result[1][b"primrose-code"] == code.encode()
    assert context.result[1][b"primrose-outcome"] == b"not-run"


@then("the next caller is served")
def step_next_served(context):
    assert context.next[0] == 200
    assert context.buffered == 0


STALLS = {
    "before its first byte": b"",
    "inside the head": HEAD,
    "inside the body": HEAD + b"content-length: 9\r\n\r\nabc",
    "while taking its response": VALID_MESSAGE,
}


@when("a caller stalls {where}")
def step_stall(context, where):
    limits = ServerLimits(message_s=0.05, idle_s=5, write_s=0.05, unsent_bytes=64 * MIB)
    big = HttpResponse(200, [], b"x" * 16 * MIB)
    server = HttpServer(lambda e: e.respond(big), limits)

    async def body():
        port = await server.listen("127.0.0.1", 0)
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, ("127.0.0.1", port))
        await loop.sock_sendall(sock, STALLS[where])
        await until(lambda: server.connections)
        await until(lambda: not server.connections)
        context.held = (server.buffered_bytes, server.unsent_bytes)
        sock.close()
        await server.drain(0)

    run(body())


@then("the server closes its connection and holds no bytes for it")
def step_stalled(context):
    assert context.held == (0, {})


# Connections to endpoints

ANSWERS = {
    "truncated": OK + b"content-length: 20\r\n\r\nabc#close",
    "closed": b"",
    "crossed": OK.replace(b"r-1", b"r-2") + b"content-length: 0\r\n\r\n",
    "anonymous": b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
    "endless": OK + b"\r\nabc#close",
    "malformed": b"nonsense\r\n\r\n",
    "odd status": OK.replace(b"200", b"777") + b"content-length: 0\r\n\r\n",
    "long head": OK + b"a: " + b"x" * 20_000 + b"\r\ncontent-length: 0\r\n\r\n",
    "long": OK + b"content-length: %d\r\n\r\n" % (MIB + 1),
    "long chunked": OK
    + b"transfer-encoding: chunked\r\n\r\n"
    + (b"%x\r\n" % 65536 + b"x" * 65536 + b"\r\n") * 17,
}


def _outgoing_request(**values):
    request = HttpRequest(
        b"POST", b"/q/a", [(b"host", b"x"), (b"primrose-request-id", b"r-1")], b"body!"
    )
    deadline = clock.monotonic() + 60
    fields = {"not_after": deadline, **values}
    return OutgoingRequest(
        call=CallId(1), request=request, request_id=RequestId("r-1"), **fields
    )


def _exchange(context, answers, make_request, ready=lambda writer: None):
    """Send one request to a scripted endpoint and record the reported events."""

    async def body():
        listener = context.listener = RecordingListener()
        async with scripted_server(*answers) as (port, received, writers):
            budget = ResponseBudget()
            conn = await connect(ConnId(1), "127.0.0.1", port, 5, listener, budget)
            await until(lambda: writers)
            ready(writers[0])
            if ready is not _silent:
                await until(lambda: listener.events)
            conn.send(make_request())
            await until(lambda: listener.events)
            await asyncio.sleep(0)
            context.state = conn.state.name
            conn.abort()
        context.received = b"".join(received)

    run(body())


def _silent(writer):
    """Send nothing before the request."""


@when("an endpoint sends a {kind} answer")
def step_bad_answer(context, kind):
    _exchange(context, [ANSWERS[kind]], _outgoing_request, _silent)


@then("the exchange fails as {failure} and the connection is closed")
def step_exchange_failed(context, failure):
    assert context.listener.events == [failure], context.listener.events
    assert context.state == "CLOSED"


@when("a request is sent after its deadline")
def step_past_deadline(context):
    late = clock.monotonic() - 1
    _exchange(context, [b""], lambda: _outgoing_request(not_after=late), _silent)


@then("the endpoint got no byte and the send was reported as skipped")
def step_skipped(context):
    assert context.listener.events == ["skipped", "gone"]
    assert context.received == b""


@when("an endpoint sends bytes without a request")
def step_unexpected(context):
    send_unrequested = lambda writer: writer.write(OK + b"content-length: 0\r\n\r\n")  # noqa: E731
    _exchange(context, [b""], _outgoing_request, send_unrequested)


@then("the connection is reported as closed and a send on it as not sent")
def step_unexpected_closed(context):
    assert context.listener.events == ["gone", "not_sent"]
    assert context.received == b""


@when("a request that expects 100 Continue gets {first:d}")
def step_expect(context, first):
    answer = OK.replace(b"200", str(first).encode()) + b"content-length: 0\r\n\r\n"
    if first == 100:
        answer = [b"HTTP/1.1 100 Continue\r\n\r\n", OK + b"content-length: 0\r\n\r\n"]
    _exchange(context, [answer], lambda: _outgoing_request(expect=True), _silent)


@then("the endpoint got {count:d} bytes of the body and the result is {result}")
def step_expected(context, count, result):
    assert context.listener.events == [result], context.listener.events
    head, _, body = context.received.partition(b"\r\n\r\n")
    assert b"expect: 100-continue" in head
    assert len(body) == count


@when("two endpoints send long answers and the first one pauses")
def step_long_answers(context):
    long_head = OK + b"content-length: 900000\r\n\r\n"

    async def body():
        budget = ResponseBudget(limit_bytes=50_000)
        first, second = RecordingListener(), RecordingListener()
        async with (
            scripted_server(long_head + b"x" * 40_000) as (port, _, writers),
            scripted_server(long_head + b"x" * 900_000) as (other, _, _),
        ):
            slow = await connect(ConnId(1), "127.0.0.1", port, 5, first, budget)
            fast = await connect(ConnId(2), "127.0.0.1", other, 5, second, budget)
            slow.send(_outgoing_request())
            await until(lambda: budget.used_bytes == 40_000)
            fast.send(_outgoing_request())
            await until(lambda: budget.used_bytes > budget.limit_bytes)
            for _ in range(20):
                await asyncio.sleep(0)
            context.before = [list(first.events), list(second.events)]
            writers[0].write(b"x" * 860_000)
            await until(lambda: first.events and second.events)
            context.after = [first.events, second.events]
            context.used = budget.used_bytes
            slow.abort()
            fast.abort()

    run(body())


@then("the second waits until the first is complete, and both are completed")
def step_long_answers_complete(context):
    assert context.before == [[], []]
    assert context.after == [["answered"], ["answered"]]
    assert context.used == 0
