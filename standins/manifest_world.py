"""Simulation of a manifest roll-out: nodes, store, operator and callers.

It runs in virtual time, over links of limited rate.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Any, TypeVar

from adapter.program import NodeProcess
from adapter.settings import (
    Addresses,
    Bounds,
    InstanceLimits,
    PlatformSettings,
    StoreSettings,
)

from primrosepitch.jobs.model import (
    JobId,
    JobSpec,
    QueueName,
    ServiceName,
    WorkspaceName,
)
from primrosepitch.jobs.records import encode
from standins.http import ConnectionLostError, Response, call
from standins.log_store import LogStore, Refusal
from standins.network import CutMode, VirtualLoop

__all__ = ["CALLERS_IP", "ManifestWorld", "manifest_world"]

T = TypeVar("T")

STORE_IP = "10.0.0.1"
CALLERS_IP = "10.0.0.2"
PORT = 8340

LARGE_MBIT_PER_S, SMALL_MBIT_PER_S = 100, 5
"""Link rates in Mbit/s of the users' grown deployments."""

APPLY_S = 3.0
"""Time within which a confirmed version must be in force (``config_apply_ms``)."""

REFUSED_EXTRA_S = 6.0
"""Additional time while the store refuses nodes (``max_stretch_ms``)."""

RECOVERY_S = 4.0
"""Time after a fault until a node must be up to date again (``contact_ms``)."""

PROBE_INTERVAL_S = 0.25
"""Interval at which callers request, from each node, the newest queue it must serve."""

PAYLOAD_BYTES = 4000
"""Payload size of an accepted job."""


def queue_row(name: str) -> dict[str, Any]:
    """Return the manifest's row of a queue."""
    return {
        "name": f"q-{name}",
        "host": "fleet.example",
        "path_prefix": f"/{name}/",
        "kind": "safe",
        "timeout_ms": 1000,
        "target_duration_ms": 1000,
        "priority": 0,
        "service": "pressing",
        "max_attempts": 2,
        "stretch": 2.0,
        "allow_anonymous": True,
    }


@contextmanager
def manifest_world(large: int, small: int, queues: int) -> Iterator[ManifestWorld]:
    """Simulate a deployment in virtual time.

    :param large: number of nodes with links of 100 Mbit/s
    :param small: number of nodes with links of 5 Mbit/s
    :param queues: number of queues in the manifest, besides those that versions add
    """
    loop = VirtualLoop()
    with loop.as_clock():
        world = ManifestWorld(loop, large, small, queues)
        try:
            yield world
        finally:
            world.close()


class ManifestWorld:
    """All hosts of a simulated deployment.

    ``violations`` lists the probes that a node failed: time, node, version and status.
    """

    def __init__(self, loop: VirtualLoop, large: int, small: int, queues: int) -> None:
        """Start the store and all nodes."""
        self.loop = loop
        self.loop.set_exception_handler(self._record_error)
        self.network = self.loop.network
        self.started_at = self.loop.time()
        self.store = LogStore()
        self.versions: list[float] = []
        self.violations: list[tuple[float, str, int, int]] = []
        self.unhandled_errors: list[Any] = []
        self.probes = 0
        self.programs: dict[str, NodeProcess] = {}
        self._exemptions: dict[str, list[tuple[float, float]]] = {}
        self._refused_until = 0.0
        names = [f"base{number:05d}" for number in range(queues)]
        self._base = {name: json.dumps(queue_row(name)) for name in names}
        self.network.add_host(STORE_IP, 4000)
        self.network.add_host(CALLERS_IP, 1000)
        rates = [LARGE_MBIT_PER_S] * large + [SMALL_MBIT_PER_S] * small
        self.rates: dict[str, float] = {}
        self.by_size: dict[str, list[str]] = {"large": [], "small": []}
        for number, rate in enumerate(rates):
            ip = f"10.1.0.{number + 1}"
            self.network.add_host(ip, rate)
            self.rates[ip] = rate
            self.by_size["small" if rate == SMALL_MBIT_PER_S else "large"].append(ip)
        self.run(self.network.spawn(STORE_IP, self.store.start(STORE_IP, PORT)))
        for ip in self.rates:
            self.start(ip)

    def _record_error(
        self, loop: asyncio.AbstractEventLoop, details: dict[str, Any]
    ) -> None:
        """Record an unhandled error, except cancellations by killing a host."""
        exc = details.get("exception")
        if not isinstance(exc, asyncio.CancelledError):
            self.unhandled_errors.append(exc or details["message"])

    def now(self) -> float:
        """Return the seconds since the start."""
        return self.loop.time() - self.started_at

    def run(self, awaitable: Awaitable[T]) -> T:
        """Advance time until an awaitable is done and return its result."""
        return self.loop.run_until_complete(awaitable)

    def close(self) -> None:
        """Stop all hosts and close the event loop."""
        for ip in (*self.rates, STORE_IP, CALLERS_IP, ""):
            self.network.frozen.pop(ip, None)
            self.network.kill(ip)
        self.loop.run_until_complete(asyncio.sleep(0.1))
        self.loop.close()

    # Nodes and their faults

    def start(self, ip: str) -> None:
        """Start a node."""
        settings = PlatformSettings(
            node_name=f"node-{ip}",
            ip_address=ip,
            zone="hall",
            listen_addresses=Addresses(f"{ip}:{PORT}", f"{ip}:{PORT + 3}"),
            platform=StoreSettings(f"{STORE_IP}:{PORT}"),
            bounds=Bounds(fencing_required=True),
            limits=InstanceLimits(0.5, 1.0, self.rates[ip]),
        )
        self.network.spawn(ip, self._serve(ip, settings))

    async def _serve(self, ip: str, settings: PlatformSettings) -> None:
        program = self.programs[ip] = NodeProcess(settings)
        await program.listen()
        await program.node.run()

    def call_at(self, seconds: float, action: Callable[..., Any], *args: Any) -> None:
        """Call a function at a time of the simulation, in seconds from its start."""
        self.loop.call_at(self.started_at + seconds, action, *args)

    def schedule_fault(
        self,
        ip: str,
        begin: float,
        end: float,
        on: Callable[[], Any],
        off: Callable[[], Any],
    ) -> None:
        """Schedule a fault of a node; probes resume ``RECOVERY_S`` after it."""
        self._exempt(ip, begin, end)
        self.call_at(begin, on)
        self.call_at(end, off)

    def _exempt(self, ip: str, begin: float, end: float) -> None:
        self._exemptions.setdefault(ip, []).append((begin, end + RECOVERY_S))

    def cut_off(self, ip: str, begin: float, end: float, mode: str) -> None:
        """Cut a node off from the store."""
        cut = CutMode(mode)
        self.schedule_fault(
            ip,
            begin,
            end,
            lambda: self.network.cut(ip, STORE_IP, cut),
            lambda: self.network.heal(ip, STORE_IP),
        )

    def isolate(self, ip: str, begin: float, end: float) -> None:
        """Cut a node off from all hosts except the callers."""
        self.cut_off(ip, begin, end, CutMode.SILENT.value)
        self.cut_off_from_nodes(ip, begin, end)

    def cut_off_from_nodes(self, ip: str, begin: float, end: float) -> None:
        """Cut a node off from all other nodes, but not from the store."""
        for other in self.rates:
            if other != ip:
                self.call_at(begin, self.network.cut, ip, other, CutMode.SILENT)
                self.call_at(end, self.network.heal, ip, other)

    def refuse(self, ip: str, begin: float, end: float, refusal: Refusal) -> None:
        """Make the store refuse a node."""
        # Refusals only extend the time limit, also for the refused node itself.
        self.call_at(begin, self.store.refuse, ip, refusal)
        self.call_at(end, self.store.refused.pop, ip)
        self._refused_until = max(self._refused_until, end + RECOVERY_S)

    def restart(self, ip: str, begin: float, end: float) -> None:
        """Kill a node and start it again."""
        self.schedule_fault(
            ip, begin, end, lambda: self.network.kill(ip), lambda: self.start(ip)
        )

    def freeze(self, ip: str, begin: float, end: float) -> None:
        """Suspend a node and resume it."""
        self.schedule_fault(
            ip,
            begin,
            end,
            lambda: self.network.freeze(ip),
            lambda: self.network.thaw(ip),
        )

    # The operator

    def manifest(self, number: int) -> bytes:
        """Return a version of the manifest; each one adds a queue."""
        added = [json.dumps(queue_row(f"v{n + 1}")) for n in range(number)]
        routes = ",".join([*self._base.values(), *added])
        services = '[{"name":"pressing"}]'
        text = f'{{"version":{number},"routes":[{routes}],"services":{services}}}'
        return text.encode()

    def publish(self) -> None:
        """Write the next version of the manifest."""
        self.store.write("keyed.op", "config", self.manifest(len(self.versions) + 1))
        self.versions.append(self.now())

    def withdraw(self, name: str) -> None:
        """Write a version without a queue of the first one."""
        del self._base[name]
        self.publish()

    def publish_between(self, begin: float, end: float, interval_s: float) -> None:
        """Schedule versions at a fixed interval."""
        count = int((end - begin) / interval_s)
        for number in range(count):
            self.call_at(begin + number * interval_s, self.publish)

    def accept_jobs_between(self, begin: float, end: float, size: int) -> None:
        """Schedule records of jobs accepted by nodes that are not simulated.

        :param size: total payload of the jobs in bytes
        """
        count = size // PAYLOAD_BYTES
        for number in range(count):
            spec = JobSpec(
                job=JobId(f"{number:016x}"),
                queue=QueueName("q-base00000"),
                service=ServiceName("pressing"),
                workspace=WorkspaceName(""),
                steps=(),
                payload="x" * PAYLOAD_BYTES,
                accepted_ms=0,
            )
            when = begin + (end - begin) * number / count
            self.call_at(when, self.store.write, "keyed.jobs", *encode(spec))

    def relayed_nodes(self) -> list[str]:
        """Return the nodes that reach the store through other nodes."""
        return [ip for ip, p in self.programs.items() if not p.relay.store_reachable]

    # Callers

    def must_serve(self, ip: str, now: float) -> int:
        """Return the newest version that must be in force at a node, or 0 if none."""
        if any(begin <= now <= end for begin, end in self._exemptions.get(ip, ())):
            return 0
        bound = APPLY_S
        if now < self._refused_until:
            bound += REFUSED_EXTRA_S
        return sum(at <= now - bound for at in self.versions)

    async def get(self, ip: str, path: str) -> Response:
        """Send a GET request from the callers' host to a node."""
        host = {"Host": "fleet.example"}
        return await call(f"{ip}:{PORT}", "GET", path, headers=host, timeout_s=2.0)

    async def probe_queue(self, ip: str, version: int) -> None:
        """Request a queue that a node must serve; 503 is a violation like 404."""
        started_at = self.now()
        try:
            status = (await self.get(ip, f"/v{version}/")).status
        except (OSError, ConnectionLostError):
            status = 0
        self.probes += 1
        # A fault that began in the meantime exempts the node.
        if status != 200 and self.must_serve(ip, self.now()):
            self.violations.append((round(started_at, 2), ip, version, status))

    async def probe_all(self) -> None:
        """Probe all nodes for their newest queue until cancelled."""
        while True:
            now = self.now()
            for ip in self.rates:
                version = self.must_serve(ip, now)
                if version:
                    self.network.spawn(CALLERS_IP, self.probe_queue(ip, version))
            await asyncio.sleep(PROBE_INTERVAL_S)

    def run_for(self, seconds: float) -> None:
        """Advance to a time of the simulation while callers probe the nodes."""
        probing = self.network.spawn(CALLERS_IP, self.probe_all())
        self.run(asyncio.sleep(self.started_at + seconds - self.loop.time()))
        probing.cancel()
