"""Stand-in for the users' service of machines, and a node that sends orders to it.

It runs in virtual time. The service may leave fencing tokens unchecked, as the
published protocol allows.
"""

from __future__ import annotations

import asyncio
from typing import Any, NamedTuple

from adapter.services import PlatformClient
from adapter.settings import (
    Addresses,
    Bounds,
    CloudSettings,
    PlatformSettings,
    StoreSettings,
)

from primrosepitch import clock
from primrosepitch.jobs.model import ServiceName
from primrosepitch.metrics import Metrics
from primrosepitch.net.http_pool import PooledHttpClient
from primrosepitch.scheduling.effects import MoveInstance
from primrosepitch.scheduling.events import Outcome
from standins.http import Peer, Request, Response, Server, json_response
from standins.network import VirtualLoop

__all__ = ["NODE_IP", "SERVICE_IP", "InstanceService", "OrderedMove", "OrderWorld"]

NODE_IP = "10.1.0.1"
SERVICE_IP = "10.0.0.9"
PORT = 8344

ORDER_S = 0.004
"""Processing time of an order."""


class OrderedMove(NamedTuple):
    """A move that the service has carried out.

    :param at: time of the virtual clock
    """

    at: float
    machine: str
    token: int


class InstanceService:
    """Service of machines.

    :param fencing_required: whether orders with an outdated token are refused
    """

    def __init__(self, fencing_required: bool) -> None:
        """Initialize a service that does not listen yet."""
        self.moves: list[OrderedMove] = []
        self._fencing_required = fencing_required
        self._tokens: dict[str, int] = {}
        self._server = Server(self._handle)

    async def start(self) -> None:
        """Start listening."""
        await self._server.start(SERVICE_IP, PORT)

    async def _handle(self, request: Request, peer: Peer) -> Response:
        await asyncio.sleep(ORDER_S)
        machine = request.json()["machine"]
        token = int(request.headers["primrosepitch-fencing-token"])
        newest = self._tokens.get(machine, 0)
        if self._fencing_required and token < newest:
            return json_response({"reason": "fence"}, 409)
        self._tokens[machine] = max(token, newest)
        now = asyncio.get_running_loop().time()
        self.moves.append(OrderedMove(now, machine, token))
        return json_response({})


class OrderWorld:
    """One node and the service of machines."""

    def __init__(self, loop: VirtualLoop, fencing_required: bool = False) -> None:
        """Start the service and connect the node's client to nothing yet."""
        self.loop = loop
        self.network = loop.network
        self.service = InstanceService(fencing_required)
        self.outcomes: list[Outcome] = []
        for ip in (NODE_IP, SERVICE_IP):
            self.network.add_host(ip, 100)
        self.run(self.network.spawn(SERVICE_IP, self.service.start()))
        address = f"{NODE_IP}:{PORT}"
        settings = PlatformSettings(
            node_name="node",
            ip_address=NODE_IP,
            zone="hall",
            listen_addresses=Addresses(address),
            platform=StoreSettings(address),
            bounds=Bounds(fencing_required),
            cloud=CloudSettings(f"{SERVICE_IP}:{PORT}"),
        )
        self.client = PlatformClient(
            settings,
            PooledHttpClient(),
            PooledHttpClient(),
            Metrics(),
            lambda _, store, peer: store,
        )

    def run(self, awaitable: Any) -> Any:
        """Advance time until an awaitable is done and return its result."""
        return self.loop.run_until_complete(awaitable)

    def close(self) -> None:
        """Stop both hosts and close the event loop."""
        for ip in (NODE_IP, SERVICE_IP, ""):
            self.network.frozen.pop(ip, None)
            self.network.kill(ip)
        self.run(asyncio.sleep(0.1))
        self.loop.close()

    def order_move(self, machine: str, valid_s: float = 1.0) -> asyncio.Task[None]:
        """Start an order to move a machine, which may be sent for ``valid_s``."""
        order = MoveInstance(
            machine, ServiceName("pressing"), 1, clock.monotonic() + valid_s
        )
        return self.network.spawn(NODE_IP, self._move(order))

    async def _move(self, order: MoveInstance) -> None:
        self.outcomes.append(await self.client.move_instance(order))
