"""Stand-in for the service of machines (``cloud``), as PROTOCOL.md describes it."""

from __future__ import annotations

import asyncio

from deployment import LOOPBACK, Deployment
from worker import Worker

from standins.http import HandlerResult, Peer, Request, Response, Server, json_response

__all__ = ["Cloud"]

MAINTENANCE_S = 2.0


class Cloud:
    """Lists the machines, and carries out their upkeep.

    ``upkeeps`` holds the time, machine and wave of each upkeep that has begun, and
    ``waves`` the machines of the waves that the operator has requested.
    """

    def __init__(self, world: Deployment, workers: list[Worker]) -> None:
        """Serve the machines of the workers, also of those that come later."""
        self.upkeeps: list[tuple[float, str, int]] = []
        self.waves: dict[int, list[str]] = {}
        self.listings = 0
        self._world = world
        self._workers = workers
        self._tokens: dict[str, int] = {}
        self._down: set[str] = set()
        self._server = Server(self._handle)
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> str:
        """Start, and return the address."""
        await self._server.start(LOOPBACK, 0)
        return f"{LOOPBACK}:{self._server.port}"

    async def stop(self) -> None:
        """End all calls and upkeeps."""
        for task in self._tasks:
            task.cancel()
        await self._server.stop(grace_s=0.0)

    async def _handle(self, request: Request, peer: Peer) -> HandlerResult:
        if request.method == "GET" and request.path == "/machines":
            return self._list()
        if request.method == "POST" and request.path == "/machine-upkeep":
            return self._begin_upkeep(request)
        return Response(400)

    def _list(self) -> HandlerResult:
        self.listings += 1
        rows = [
            {
                "machine": worker.machine,
                "pool": worker.service,
                "state": "upkeep" if worker.machine in self._down else "up",
                "zone": "steyr-hall",
                "labels": worker.labels,
                "capacity": worker.capacity,
                "id": worker.id,
            }
            for worker in self._workers
            if worker.up or worker.machine in self._down
        ]
        return json_response({"machines": rows, "next_token": None})

    def _begin_upkeep(self, request: Request) -> HandlerResult:
        body = request.json()
        machine, wave = str(body["machine"]), int(body["wave"])
        token = int(request.headers.get("primrosepitch-fencing-token", 0))
        worker = next((w for w in self._workers if w.machine == machine), None)
        if worker is None:
            return Response(400)
        if token < self._tokens.get(machine, 0):
            return json_response({"reason": "fence"}, 409)
        self._tokens[machine] = token
        if machine not in self.waves.get(wave, []):
            return json_response({"reason": "wave"}, 409)
        if any(done[1:] == (machine, wave) for done in self.upkeeps):
            return json_response({})
        if not worker.up:
            return json_response({"reason": "busy"}, 409)
        self.upkeeps.append((self._world.record.now(), machine, wave))
        self._world.record.write(f"cloud: upkeep of {machine} for wave {wave} begins")
        self._down.add(machine)
        task = asyncio.ensure_future(self._maintain(worker))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return json_response({})

    async def _maintain(self, worker: Worker) -> None:
        await worker.crash()
        await asyncio.sleep(MAINTENANCE_S)
        worker.id = f"{worker.id}-n"
        await worker.start()
        self._down.discard(worker.machine)
