"""Benchmark of the processor time of a start order on the scheduler's side."""

from __future__ import annotations

import asyncio
import multiprocessing
import time
from multiprocessing.connection import Connection

from adapter.calls import post

from bench.measure import Measure
from primrosepitch import clock
from primrosepitch.net.http_messages import HttpResponse
from primrosepitch.net.http_pool import PooledHttpClient
from primrosepitch.net.http_server import Exchange, HttpServer

COMMAND = "python -m bench orders"
ORDERS, CONCURRENT = 3000, 3
BODY = {
    "task": "0123456789abcdef.0.0.17",
    "run": 2,
    "specification": "x" * 200,
    "until_ms": 486000,
    "fencing_token": 7,
}


def serve(parent: Connection) -> None:
    """Answer all requests, as an endpoint on loopback does."""

    def answer(exchange: Exchange) -> None:
        exchange.respond(HttpResponse(200, [], b'{"clock_ms":482113}'))

    async def listen() -> None:
        server = HttpServer(answer)
        parent.send(await server.listen("127.0.0.1", 0))
        await asyncio.Event().wait()

    asyncio.run(listen())


async def send_orders(port: int) -> float:
    """Send all orders; return the processor time of one in seconds."""
    client = PooledHttpClient()
    address = f"127.0.0.1:{port}"

    async def send(count: int) -> None:
        for _ in range(count):
            deadline = clock.monotonic() + 5.0
            response = await post(client, address, "/run-start", BODY, deadline)
            assert response.status == 200, response

    await send(CONCURRENT)
    begun = time.process_time()
    each = ORDERS // CONCURRENT
    await asyncio.gather(*(send(each) for _ in range(CONCURRENT)))
    took_s = time.process_time() - begun
    client.close()
    return took_s / ORDERS


def run() -> list[Measure]:
    """Return the processor time of the call itself."""
    here, there = multiprocessing.Pipe()
    endpoint = multiprocessing.Process(target=serve, args=(there,), daemon=True)
    endpoint.start()
    try:
        took_s = asyncio.run(send_orders(here.recv()))
    finally:
        endpoint.terminate()
        endpoint.join()
    name = "processor time of a start order, call only"
    return [Measure(name, took_s * 1000, "ms", "", "", -1, COMMAND)]
