"""A small deployment on loopback addresses: store, workers, nodes and clients.

The store is the project's own stand-in. The nodes are the project's program, started
with the command of the deploy file, each on a loopback address of its own.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from review.parts2.worker import Worker
from standins.http import (
    ConnectionLostError,
    HandlerResult,
    Peer,
    Request,
    Response,
    Server,
    call,
)
from standins.http import json_response as _json
from standins.log_store import LogStore

__all__ = ["HELD", "BROKEN", "FAILED_TO_RUN", "Deployment", "Node", "main"]

HELD, BROKEN, FAILED_TO_RUN = 0, 1, 2
"""Exit codes of a case."""

ROOT = Path(__file__).resolve().parent.parent.parent
ZONES = ("hall", "cellar", "fill")
HEARTBEAT_S = 1.5
READY_TIMEOUT_S = 25.0
CALL_TIMEOUT_S = 3.0
HOST = "press.example"
NO_CAP = 1_000_000
"""Upper limit of a tenant that never meets it."""

BOUNDS = {
    "contact_ms": 3000,
    "ack_timeout_ms": 4000,
    "drain_ms": 2000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "max_hold_ms": 6000,
    "stop_ms": 400,
    "gang_timeout_ms": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "finish_s": 14,
    "status_s": 120,
    "migration_s": 1.5,
    "maintenance_s": 2,
    "fencing_required": True,
    "lease_ms": 3000,
}

LIMITS = {
    "cpu_share": 0.537,
    "cpu_cores": 2,
    "memory_mb": 300,
    "file_descriptors": 4100,
    "link_mbps": 1000.0,
    "disk_mb": 0,
}


def free_ports(hosts: list[str], count: int) -> int:
    """Return the first of successive ports that are free on all hosts."""
    while True:
        first = random.randint(20_000, 60_000)
        sockets = []
        try:
            for host in hosts:
                for port in range(first, first + count):
                    trial = socket.socket()
                    sockets.append(trial)
                    trial.bind((host, port))
        except OSError:
            continue
        finally:
            for trial in sockets:
                trial.close()
        return first


class Node:
    """A process of the system on a machine of its own.

    :param host: loopback address of its machine
    """

    def __init__(
        self, name: str, host: str, zone: str, port: int, folder: Path
    ) -> None:
        """Create a node that does not run yet."""
        self.name, self.host, self.zone = name, host, zone
        self.front = f"{host}:{port}"
        self.readiness = f"{host}:{port + 1}"
        self.internal = [port + 2, port + 9]
        self.path = folder / f"{name}.json"
        self.log_path = folder / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def alive(self) -> bool:
        """Return whether its process runs."""
        return self.process is not None and self.process.poll() is None

    def start(self) -> None:
        """Start its process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = shlex.split(deploy["roles"]["node"]["run"])
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["PRIMROSEPITCH_SETTINGS"] = str(self.path)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        if words[0] == "python3":
            words[0] = sys.executable
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def log(self) -> list[dict[str, Any]]:
        """Return the lines of its log so far."""
        lines = self.log_path.read_text(errors="replace").splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]


class Deployment:
    """Store, workers and nodes of a small installation.

    :param services: number of workers of each service, which has one route
    :param tenants: keys of each tenant
    :param labels: returns the labels of a service's worker with a number
    :param advised: services whose queues have advice, and its times
    """

    def __init__(
        self,
        folder: Path,
        services: dict[str, int],
        tenants: dict[str, list[str]],
        nodes: int = 6,
        cpu: int = 16_000,
        labels: Callable[[str, int], list[str]] | None = None,
        advised: dict[str, tuple[int, int]] | None = None,
    ) -> None:
        """Choose addresses; nothing runs yet."""
        self.began = time.monotonic()
        self.lines: list[str] = []
        self._record_path: Path | None = None
        net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        hosts = [f"{net}.{number + 1}" for number in range(nodes)]
        port = free_ports(hosts, 10)
        self.nodes = [
            Node(
                f"front-{ZONES[n % 3]}-{n // 3 + 1}",
                hosts[n],
                ZONES[n % 3],
                port,
                folder,
            )
            for n in range(nodes)
        ]
        self.tenants = tenants
        self.services = services
        self.store = LogStore()
        self._services_host = f"{net}.200"
        self.cloud = Server(self._cloud)
        self.advice = Server(self._advise)
        self.advised = advised or {}
        self.caps: dict[str, int] = {}
        self.workers = [
            Worker(
                f"i-{service}-{n}",
                service,
                f"{net}.201",
                ZONES[n % 3],
                labels(service, n) if labels else ["a", f"r{n // 4}"],
                cpu,
                self.record,
            )
            for service, count in services.items()
            for n in range(count)
        ]
        self._beats: list[asyncio.Task[None]] = []

    # What is recorded

    def record_to(self, path: Path) -> None:
        """Set the file of the record, and begin it anew."""
        self._record_path = path
        path.write_text("")

    def record(self, event: str, **fields: object) -> None:
        """Add a line to the record."""
        at = time.monotonic() - self.began
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        line = f"{at:8.3f} {event} {text}".rstrip()
        self.lines.append(line)
        if self._record_path is not None:
            with self._record_path.open("a") as file:
                file.write(line + "\n")

    # Start and end

    async def start(self) -> bool:
        """Start everything; return whether all nodes report as ready in time."""
        await self.store.start(self._services_host, 0)
        await self.cloud.start(self._services_host, 0)
        await self.advice.start(self._services_host, 0)
        self.publish(1)
        for worker in self.workers:
            await worker.start()
            self._beats.append(asyncio.create_task(self._beat(worker)))
        for node in self.nodes:
            node.path.write_text(json.dumps(self._settings(node)))
            node.start()
        self.record("nodes started", nodes=[node.name for node in self.nodes])
        end = time.monotonic() + READY_TIMEOUT_S
        for node in self.nodes:
            while not await self.ready(node):
                if time.monotonic() > end:
                    self.record("a node is not ready", node=node.name)
                    return False
                await asyncio.sleep(0.1)
        self.record("all nodes are ready")
        return True

    async def stop(self) -> None:
        """End all that was started."""
        for beat in self._beats:
            beat.cancel()
        for node in self.nodes:
            if node.alive:
                assert node.process is not None
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
        for node in self.nodes:
            if node.process is not None:
                await asyncio.to_thread(node.process.wait)
        for worker in self.workers:
            await worker.stop()
        await self.cloud.stop(grace_s=0.0)
        await self.advice.stop(grace_s=0.0)
        await self.store.stop()

    def publish(self, version: int, **changes: object) -> None:
        """Write a manifest as the operator does."""
        routes = [
            {
                "name": f"r-{service}",
                "host": HOST,
                "path_prefix": f"/{service}/",
                "kind": "unsafe",
                "timeout_ms": 3000,
                "target_duration_ms": 600,
                "priority": 0,
                "service": service,
                "max_attempts": 4,
                "stretch": 1.6,
                "allow_anonymous": False,
            }
            for service in self.services
        ]
        for route in routes:
            times = self.advised.get(str(route["service"]))
            if times is not None:
                route["advice"] = {
                    "decision_ms": times[0],
                    "period_ms": times[1],
                    "validity_ms": 3000,
                }
        services = [
            {"name": name, "admission_check": True, "spare": False}
            for name in self.services
        ]
        tenants = [
            {
                "name": name,
                "api_keys": keys,
                "weight": 20,
                "cap": {"cpu": self.caps.get(name, NO_CAP)},
            }
            for name, keys in self.tenants.items()
        ]
        manifest = {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": {"max_header_bytes": 16_384, "max_body_bytes": 262_144},
            "tenants": tenants,
            **changes,
        }
        self.store.write("keyed.op", "config", json.dumps(manifest).encode())
        self.record("manifest written", version=version)

    def _settings(self, node: Node) -> dict[str, object]:
        store = f"{self._services_host}:{self.store.port}"
        cloud = f"{self._services_host}:{self.cloud.port}"
        return {
            "node_name": node.name,
            "role": "node",
            "machine_class": "front",
            "ip_address": node.host,
            "zone": node.zone,
            "region": "upper",
            "listen_addresses": {"front": node.front, "readiness": node.readiness},
            "internal_port_range": node.internal,
            "bootstrap": True,
            "limits": LIMITS,
            "heartbeat_interval_ms": 1500,
            "bounds": BOUNDS,
            "orders": "call",
            "platform": {
                "address": store,
                "form": "log",
                "parts": 24,
                "record_bytes": 262_144,
                "call_bytes": 2_097_152,
                "keep_s": 300,
            },
            "cloud": {"address": cloud, "rate_per_s": 64.0, "duty_per_s": 64.0},
            "advice": f"{self._services_host}:{self.advice.port}",
        }

    async def _beat(self, worker: Worker) -> None:
        while True:
            if worker.up:
                self.store.write("keyed.servers", worker.name, worker.entry())
                self.record("entry written", worker=worker.name, born=worker.born)
            await asyncio.sleep(HEARTBEAT_S)

    async def restart(
        self,
        worker: Worker,
        down_s: float,
        first_entry_s: float = 0.0,
        labels: list[str] | None = None,
    ) -> None:
        """Let a worker crash, and start again under its id and address.

        :param first_entry_s: time from its start to its first entry in the store
        :param labels: its labels from then on; as before if absent
        """
        number = self.workers.index(worker)
        self._beats[number].cancel()
        await worker.crash()
        await asyncio.sleep(down_s)
        worker.labels = labels or worker.labels
        await worker.start()
        await asyncio.sleep(first_entry_s)
        self._beats[number] = asyncio.create_task(self._beat(worker))

    async def _cloud(self, request: Request, peer: Peer) -> HandlerResult:
        if (request.method, request.path) != ("GET", "/machines"):
            return Response(400)
        machines = [
            {
                "machine": worker.machine,
                "pool": worker.service,
                "state": "up",
                "zone": worker.zone,
                "labels": worker.labels,
                "capacity": {"cpu": worker.cpu, "memory_request_mb": 32768, "gpu": 0},
                "id": worker.name,
            }
            for worker in self.workers
        ]
        return _json({"machines": machines, "next_token": None})

    async def _advise(self, request: Request, peer: Peer) -> HandlerResult:
        """Allow every worker, after the time that a decision takes."""
        workers = request.json()["workers"]
        decision_ms, period_ms = next(iter(self.advised.values()))
        await asyncio.sleep((decision_ms + period_ms * len(workers)) / 1000)
        allowed = [[name, f"ticket-{name}"] for name in workers]
        return _json({"allowed": allowed, "validity_ms": 3000})

    # Clients

    async def ready(self, node: Node) -> bool:
        """Return whether a node's readiness check succeeds."""
        answer = await self._call(node.readiness, "GET", "/readiness", None, {}, 1.0)
        return answer is not None and answer.status == 200

    async def ask(
        self,
        node: Node,
        method: str,
        path: str,
        key: str,
        body: object = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Response | None:
        """Send a client's call; return ``None`` if no answer came in time."""
        headers = {
            "Host": HOST,
            "Authorization": f"Bearer {key}",
            "Primrosepitch-Deadline-Milliseconds": str(round(timeout_s * 1000)),
        }
        return await self._call(node.front, method, path, body, headers, timeout_s)

    async def _call(
        self,
        address: str,
        method: str,
        path: str,
        body: object,
        headers: dict[str, str],
        timeout_s: float,
    ) -> Response | None:
        try:
            async with asyncio.timeout(timeout_s):
                return await call(address, method, path, body, headers)
        except (OSError, TimeoutError, ConnectionLostError):
            return None

    async def submit(
        self, path: str, key: str, body: object, first: int = 0, attempts: int = 5
    ) -> bool:
        """Submit as a client does, which tries other nodes; return whether accepted."""
        for attempt in range(attempts):
            node = self.nodes[(first + attempt) % len(self.nodes)]
            answer = await self.ask(node, "POST", path, key, body)
            status = answer.status if answer is not None else None
            self.record("submission sent", path=path, node=node.name, status=status)
            if answer is not None and answer.status == 200:
                return True
            if answer is not None and answer.status in (400, 401, 404, 413):
                return False
            await asyncio.sleep(1.0 if status in (429, 503) else 0.1)
        return False


def job_id() -> str:
    """Return a new id of a submission."""
    return f"{random.getrandbits(64):016x}"


def main(
    case: Callable[[Path, bool], Awaitable[int]], folder: Path, limit_s: float = 115.0
) -> None:
    """Run a case and exit with its code.

    :param case: called with a temporary folder, and whether to make the trouble
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def limited(temporary: str) -> int:
        try:
            async with asyncio.timeout(limit_s):
                return await case(Path(temporary), trouble)
        except TimeoutError:
            print("the case took too long", file=sys.stderr)
            return FAILED_TO_RUN

    try:
        with tempfile.TemporaryDirectory() as temporary:
            code = asyncio.run(limited(temporary))
    except Exception as exc:
        print(f"the case couldn't run: {exc!r}", file=sys.stderr)
        code = FAILED_TO_RUN
    meaning = {HELD: "held", BROKEN: "broken", FAILED_TO_RUN: "could not run"}
    print(f"{folder.name}: trouble={trouble}: rule {meaning[code]}")
    sys.exit(code)
