"""Connections to the other nodes of a deployment."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import NamedTuple

from primrosepitch import clock
from primrosepitch.net.client_account import ClientAccount
from primrosepitch.net.peers import (
    MAX_CONNECTIONS,
    PeerClient,
    PeerRequest,
    PeerServer,
)

__all__ = ["PeerNode", "PeerPool"]

DEPRIORITIZE_S = 3.0
"""Time for which a node that failed a request is ranked last."""


class PeerNode(NamedTuple):
    """Another node of the deployment.

    :param address: where it accepts connections of nodes, ``IP:PORT``
    """

    name: str
    address: str


class PeerPool:
    """Keeps connections to the other nodes, and dispatches their requests.

    :param node: name of this node
    :param rng: randomizes the order of nodes
    :param account: account of the process, which received frames count in
    :param connections: maximum number of incoming connections
    """

    def __init__(
        self,
        node: str,
        rng: random.Random,
        account: ClientAccount | None = None,
        connections: int = MAX_CONNECTIONS,
    ) -> None:
        """Start without other nodes; :meth:`set_address_source` provides them."""
        self._node = node
        self._rng = rng
        self._get_addresses: Callable[[], dict[str, str]] = dict
        self._clients: dict[str, PeerClient] = {}
        self._deprioritized_until: dict[str, float] = {}
        self._handlers: dict[type, Callable[[PeerRequest], None]] = {}
        self._server = PeerServer(self._handle, account, connections)

    def set_address_source(self, addresses: Callable[[], dict[str, str]]) -> None:
        """Set the function that returns the addresses of all nodes by name."""
        self._get_addresses = addresses

    def register_handler(
        self, kind: type, handler: Callable[[PeerRequest], None]
    ) -> None:
        """Register the handler for requests of one type; it must not block."""
        self._handlers[kind] = handler

    async def listen(self, host: str, port: int) -> int:
        """Listen for connections of other nodes.

        :returns: the port bound
        """
        return await self._server.listen(host, port)

    def close(self) -> None:
        """Close all connections."""
        self._server.close()
        for client in self._clients.values():
            client.close()

    async def drain(self, deadline: float) -> None:
        """Close all connections; replies to other nodes are sent before.

        :param deadline: boot-time clock
        """
        await self._server.drain(deadline)
        self.close()

    def _handle(self, request: PeerRequest) -> None:
        handler = self._handlers.get(type(request.body))
        if handler is not None:
            handler(request)

    def ranked_peers(self) -> list[PeerNode]:
        """Return the other nodes in random order, those to try first at the front.

        Nodes that failed recently come last, and connected ones before others.
        """
        nodes = [
            PeerNode(*n) for n in self._get_addresses().items() if n[0] != self._node
        ]
        self._rng.shuffle(nodes)
        now = clock.monotonic()
        connected = self._clients
        nodes.sort(
            key=lambda n: (
                self._deprioritized_until.get(n.name, 0.0) > now,
                n.address not in connected,
            )
        )
        return nodes

    def client(self, node: PeerNode) -> PeerClient:
        """Return the client of a node, created at its first use."""
        client = self._clients.get(node.address)
        if client is None:
            client = self._clients[node.address] = PeerClient(node.address)
        return client

    def deprioritize(self, node: PeerNode) -> None:
        """Rank a node last for ``DEPRIORITIZE_S``, since a request to it failed."""
        self._deprioritized_until[node.name] = clock.monotonic() + DEPRIORITIZE_S
