"""Stand-in for the advice service, as PROTOCOL.md describes it."""

from __future__ import annotations

import asyncio
import time

from deployment import LOOPBACK

from standins.http import HandlerResult, Peer, Request, Server, json_response

__all__ = ["Advice"]

DECISION_MS = 60
PERIOD_MS = 4
VALIDITY_MS = 3000


class Advice:
    """Allows every worker to run every step, with a ticket for each of them."""

    def __init__(
        self, decision_ms: int = DECISION_MS, period_ms: int = PERIOD_MS
    ) -> None:
        """Give no ticket yet; nothing listens."""
        self.spec = {
            "decision_ms": decision_ms,
            "period_ms": period_ms,
            "validity_ms": VALIDITY_MS,
        }
        """``advice`` of a route."""
        self.calls = 0
        self._issued: dict[str, tuple[str, str, float]] = {}
        self._server = Server(self._handle)
        self._turn = asyncio.Lock()

    async def start(self) -> str:
        """Start, and return the address."""
        await self._server.start(LOOPBACK, 0)
        return f"{LOOPBACK}:{self._server.port}"

    async def stop(self) -> None:
        """End all calls."""
        await self._server.stop(grace_s=0.0)

    def is_valid(self, step: str, worker: str, ticket: str) -> bool:
        """Return whether a ticket allows a step on a worker now."""
        issued = self._issued.get(ticket)
        if issued is None:
            return False
        return issued[:2] == (step, worker) and time.monotonic() <= issued[2]

    async def _handle(self, request: Request, peer: Peer) -> HandlerResult:
        body = request.json()
        step, workers = str(body["step"]), [str(name) for name in body["workers"]]
        self.calls += 1
        async with self._turn:
            took_ms = self.spec["decision_ms"] + self.spec["period_ms"] * len(workers)
            await asyncio.sleep(took_ms / 1000)
        rows = []
        for worker in workers:
            ticket = f"{len(self._issued):08x}"
            until = time.monotonic() + VALIDITY_MS / 1000
            self._issued[ticket] = (step, worker, until)
            rows.append([worker, ticket])
        return json_response({"allowed": rows, "validity_ms": VALIDITY_MS})
