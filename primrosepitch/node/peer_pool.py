"""Connections between the nodes of a deployment."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import NamedTuple

from primrosepitch import clock
from primrosepitch.net.peers import PeerClient, PeerServer, Question

__all__ = ["PeerNode", "PeerPool"]

AVOID_S = 3.0
"""Time for which a node that could not help is asked last."""


class PeerNode(NamedTuple):
    """Another node.

    :param address: where it answers, ``IP:PORT``
    """

    name: str
    address: str


class PeerPool:
    """Knows the other nodes, asks them, and answers them.

    :param node: name of this node
    :param rng: chooses whom to ask
    """

    def __init__(self, node: str, rng: random.Random) -> None:
        """Know nobody yet."""
        self._node = node
        self._rng = rng
        self._addresses: Callable[[], dict[str, str]] = dict
        self._clients: dict[str, PeerClient] = {}
        self._avoid: dict[str, float] = {}
        self._handlers: dict[type, Callable[[Question], None]] = {}
        self._server = PeerServer(self._handle)

    def set_address_source(self, addresses: Callable[[], dict[str, str]]) -> None:
        """Learn the other nodes from what gives the address of every node."""
        self._addresses = addresses

    def register_handler(self, kind: type, handler: Callable[[Question], None]) -> None:
        """Hand questions of one type to a handler, which must not block."""
        self._handlers[kind] = handler

    async def listen(self, host: str, port: int) -> int:
        """Answer other nodes.

        :returns: the port
        """
        return await self._server.listen(host, port)

    def close(self) -> None:
        """Close all connections."""
        self._server.close()
        for client in self._clients.values():
            client.close()

    def _handle(self, question: Question) -> None:
        handler = self._handlers.get(type(question.body))
        if handler is not None:
            handler(question)

    def ranked_peers(self) -> list[PeerNode]:
        """Return the other nodes, those that could not help last."""
        nodes = [PeerNode(*n) for n in self._addresses().items() if n[0] != self._node]
        self._rng.shuffle(nodes)
        now = clock.monotonic()
        kept = self._clients
        nodes.sort(
            key=lambda n: (self._avoid.get(n.name, 0.0) > now, n.address not in kept)
        )
        return nodes

    def client(self, node: PeerNode) -> PeerClient:
        """Return the connection to a node."""
        client = self._clients.get(node.address)
        if client is None:
            client = self._clients[node.address] = PeerClient(node.address)
        return client

    def deprioritize(self, node: PeerNode) -> None:
        """Ask a node last for some time, since it could not help."""
        self._avoid[node.name] = clock.monotonic() + AVOID_S
