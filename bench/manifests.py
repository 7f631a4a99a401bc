"""Cost of a manifest change for nodes and the store, by size of the manifest.

Simulates nodes with links of 100 and 5 Mbit/s in virtual time; see
standins/manifest_world.py.
"""

from __future__ import annotations

import asyncio

from bench.measure import Measure
from standins.manifest_world import ManifestWorld, manifest_world

COMMAND = "python -m bench manifests"

LARGE, SMALL = 3, 9
"""Numbers of nodes with large and with small links."""

QUEUES = (50, 250, 1750)

CHANGES = 10
GAP_S = 4.0
"""Number of changes, and the time between two changes."""

POLL_S = 0.01

CHANGES_PER_DAY = 940
CONTROL_BYTES_PER_S = 3000
"""Upper limit of control traffic per node at the target size."""


async def _roll_out(world: ManifestWorld) -> list[float]:
    """Publish a change and wait until it is in force at every node.

    :returns: time until it was in force at each node, in seconds
    """
    world.publish()
    version = len(world.versions)
    started_at = world.now()
    times: dict[str, float] = {}
    while len(times) < len(world.rates):
        await asyncio.sleep(POLL_S)
        for ip, program in world.programs.items():
            cfg = program.node.cfg
            if cfg is not None and cfg.version >= version:
                times.setdefault(ip, world.now() - started_at)
    return list(times.values())


def measure_size(queues: int) -> list[Measure]:
    """Measure one size of manifest."""
    label = f"{queues} queues"
    with manifest_world(LARGE, SMALL, queues) as world:
        world.publish()
        world.run(asyncio.sleep(GAP_S))
        idle_start = _mean_received_bytes(world)
        world.run(asyncio.sleep(GAP_S))
        idle_rate = (_mean_received_bytes(world) - idle_start) / GAP_S
        started_at, received_before, served_before = (
            world.now(),
            _mean_received_bytes(world),
            world.store.served_bytes,
        )
        times: list[float] = []
        for _ in range(CHANGES):
            times += world.run(_roll_out(world))
            world.run(asyncio.sleep(GAP_S))
        took_s = world.now() - started_at
        received = (
            _mean_received_bytes(world) - received_before - idle_rate * took_s
        ) / CHANGES
        served = (world.store.served_bytes - served_before) / CHANGES
        size = len(world.manifest(1))
    rate = received * CHANGES_PER_DAY / 86400
    times.sort()
    bound = f"{CONTROL_BYTES_PER_S}"
    return [
        _measure(f"manifest, {label}", size, "bytes", "-"),
        _measure(f"received for a change, small link, {label}", received, "bytes", "-"),
        _measure(f"the same at 940 changes a day, {label}", rate, "B/s", bound),
        _measure(
            f"received without changes, small link, {label}", idle_rate, "B/s", bound
        ),
        _measure(f"sent by the store for a change, {label}", served, "bytes", "-"),
        _measure(f"in force p50, {label}", times[len(times) // 2], "s", "7"),
        _measure(f"in force max, {label}", times[-1], "s", "7"),
    ]


def _mean_received_bytes(world: ManifestWorld) -> float:
    """Return the mean number of bytes received by nodes with small links."""
    small = world.by_size["small"]
    return sum(map(world.network.received_bytes, small)) / len(small)


def _measure(name: str, value: float, unit: str, bound: str) -> Measure:
    return Measure(name, value, unit, bound, "-", -1, COMMAND)


def run() -> list[Measure]:
    """Measure all sizes."""
    return [measure for queues in QUEUES for measure in measure_size(queues)]
