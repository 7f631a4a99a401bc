"""Nodes on slow links, their store, an operator and callers, in virtual time."""

import asyncio
import json

from adapter.program import Program
from adapter.settings import (
    Addresses,
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
from standins.http import ConnectionLostError, call
from standins.log_store import LogStore
from standins.network import Cut, VirtualLoop

STORE = "10.0.0.1"
CALLERS = "10.0.0.2"
PORT = 8340

LARGE_MBIT, SMALL_MBIT = 100, 5
"""Links of the users' grown deployments."""

APPLY_S = 3.0
"""Time in which a confirmed version has to be in force (``config_apply_ms``)."""

STRETCH_S = 6.0
"""Longer time while the store turns nodes away (``max_stretch_ms``)."""

CONTACT_S = 4.0
"""Time after a fault in which a node need not be up to date (``contact_ms``)."""

PROBE_S = 0.25
"""Interval at which callers ask each node for the newest queue that it must serve."""

PAYLOAD_BYTES = 4000


def queue_row(name):
    """Return a queue of the operators' manifest."""
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


class ManifestWorld:
    """All hosts of a deployment, on one virtual clock."""

    def __init__(self, large, small, queues):
        self.loop = VirtualLoop()
        self._clock = self.loop.as_clock()
        self._clock.__enter__()
        self.loop.set_exception_handler(self._unexpected)
        self.network = self.loop.network
        self.began = self.loop.time()
        self.store = LogStore()
        self.versions = []
        self.broken = []
        self.unhandled = []
        self.probes = 0
        self.programs = {}
        self._calm_at = {}
        self._refused_until = 0.0
        self._base = [json.dumps(queue_row(f"base{n:05d}")) for n in range(queues)]
        self.network.add_host(STORE, 4000)
        self.network.add_host(CALLERS, 1000)
        rates = [LARGE_MBIT] * large + [SMALL_MBIT] * small
        self.rates = {}
        self.by_size = {"large": [], "small": []}
        for number, rate in enumerate(rates):
            ip = f"10.1.0.{number + 1}"
            self.network.add_host(ip, rate)
            self.rates[ip] = rate
            self.by_size["small" if rate == SMALL_MBIT else "large"].append(ip)
            self.programs[ip] = None
        self.run(self.network.spawn(STORE, self.store.start(STORE, PORT)))
        for ip in self.programs:
            self.start(ip)

    def _unexpected(self, loop, details):
        """Keep what a task left unhandled; a killed host cancels its own."""
        exc = details.get("exception")
        if not isinstance(exc, asyncio.CancelledError):
            self.unhandled.append(exc or details["message"])

    def now(self):
        return self.loop.time() - self.began

    def run(self, awaitable):
        return self.loop.run_until_complete(awaitable)

    def close(self):
        for ip in (*self.programs, STORE, CALLERS, ""):
            self.network.frozen.pop(ip, None)
            self.network.kill(ip)
        self.loop.run_until_complete(asyncio.sleep(0.1))
        self.loop.close()
        self._clock.__exit__(None, None, None)

    # Nodes and their faults

    def start(self, ip):
        settings = PlatformSettings(
            node_name=f"node-{ip}",
            ip_address=ip,
            zone="hall",
            listen_addresses=Addresses(f"{ip}:{PORT}", f"{ip}:{PORT + 3}"),
            platform=StoreSettings(f"{STORE}:{PORT}"),
            limits=InstanceLimits(0.5, 1.0, self.rates[ip]),
        )
        self.network.spawn(ip, self._serve(ip, settings))

    async def _serve(self, ip, settings):
        program = self.programs[ip] = Program(settings)
        await program.listen()
        await program.node.run()

    def at(self, seconds, action, *args):
        """Do something at a time of the simulation."""
        self.loop.call_at(self.began + seconds, action, *args)

    def disturb(self, ip, begin, end, on, off):
        """Schedule a fault of a node; it has to be up to date again after contact."""
        spans = self._calm_at.setdefault(ip, [])
        spans.append((begin, end + CONTACT_S))
        self.at(begin, on)
        self.at(end, off)

    def cut_off(self, ip, begin, end, how):
        cut = Cut(how)
        self.disturb(
            ip,
            begin,
            end,
            lambda: self.network.cut(ip, STORE, cut),
            lambda: self.network.heal(ip, STORE),
        )

    def isolate(self, ip, begin, end):
        others = [other for other in (*self.programs, STORE) if other != ip]
        self.disturb(
            ip,
            begin,
            end,
            lambda: [self.network.cut(ip, other, Cut.SILENT) for other in others],
            lambda: [self.network.heal(ip, other) for other in others],
        )

    def refuse(self, ip, begin, end, how):
        # The store's refusals only stretch the bound, also for the node itself.
        self.at(begin, self.store.refuse, ip, how)
        self.at(end, self.store.refused.pop, ip)
        self._refused_until = max(self._refused_until, end + CONTACT_S)

    def restart(self, ip, begin, end):
        self.disturb(
            ip, begin, end, lambda: self.network.kill(ip), lambda: self.start(ip)
        )

    def freeze(self, ip, begin, end):
        self.disturb(
            ip,
            begin,
            end,
            lambda: self.network.freeze(ip),
            lambda: self.network.thaw(ip),
        )

    # The operator

    def manifest(self, number):
        """Return a version of the manifest; each one adds a queue."""
        added = [json.dumps(queue_row(f"v{n + 1}")) for n in range(number)]
        routes = ",".join([*self._base, *added])
        services = '[{"name":"pressing"}]'
        text = f'{{"version":{number},"routes":[{routes}],"services":{services}}}'
        return text.encode()

    def publish(self):
        """Write the next version."""
        self.store.write("keyed.op", "config", self.manifest(len(self.versions) + 1))
        self.versions.append(self.now())

    def publish_between(self, begin, end, gap):
        count = int((end - begin) / gap)
        for number in range(count):
            self.at(begin + number * gap, self.publish)

    def jobs_between(self, begin, end, size):
        """Let jobs of some bytes in all be accepted by nodes that are not simulated."""
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
            self.at(when, self.store.write, "keyed.jobs", *encode(spec))

    def turned_away(self):
        """Return the nodes that reach the store through others."""
        return [ip for ip, p in self.programs.items() if not p.relay.direct]

    # Callers

    def must_serve(self, ip, now):
        """Return the newest version that a node must have in force, or 0."""
        if any(begin <= now <= end for begin, end in self._calm_at.get(ip, ())):
            return 0
        bound = APPLY_S
        if now < self._refused_until:
            bound += STRETCH_S
        return sum(at <= now - bound for at in self.versions)

    async def get(self, ip, path):
        """Ask a node for the jobs that wait in a queue."""
        host = {"Host": "fleet.example"}
        return await call(f"{ip}:{PORT}", "GET", path, headers=host, timeout_s=2.0)

    async def ask(self, ip, version):
        """Ask a node for a queue that it must serve; 503 is no better than 404."""
        began = self.now()
        try:
            status = (await self.get(ip, f"/v{version}/")).status
        except (OSError, ConnectionLostError):
            status = 0
        self.probes += 1
        # A fault that began meanwhile excuses the node.
        if status != 200 and self.must_serve(ip, self.now()):
            self.broken.append((round(began, 2), ip, version, status))

    async def probe(self):
        while True:
            now = self.now()
            for ip in self.programs:
                version = self.must_serve(ip, now)
                if version:
                    self.network.spawn(CALLERS, self.ask(ip, version))
            await asyncio.sleep(PROBE_S)

    def play(self, seconds):
        probing = self.network.spawn(CALLERS, self.probe())
        self.run(asyncio.sleep(self.began + seconds - self.loop.time()))
        probing.cancel()
