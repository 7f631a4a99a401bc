"""Cost of a change of the manifest, for a node and the store, by manifest size.

Nodes with links of 100 and 5 Mbit/s in virtual time; see standins/manifest_world.py.
"""

from __future__ import annotations

import asyncio

from bench.measure import Measure
from standins.manifest_world import ManifestWorld, manifest_world

COMMAND = "python -m bench manifests"

LARGE, SMALL = 3, 9
"""Nodes by the rate of their links."""

QUEUES = (50, 250, 1750)

CHANGES = 10
GAP_S = 4.0
"""Changes, and the time between two of them."""

POLL_S = 0.01

CHANGES_A_DAY = 940
CONTROL_BYTES_PER_S = 3000
"""What the target allows a node for control."""


async def _roll_out(world: ManifestWorld) -> list[float]:
    """Publish a change and wait until it is in force everywhere.

    :returns: seconds until it was, for each node
    """
    world.publish()
    version = len(world.versions)
    began = world.now()
    times: dict[str, float] = {}
    while len(times) < len(world.rates):
        await asyncio.sleep(POLL_S)
        for ip, program in world.programs.items():
            cfg = program.node.cfg
            if cfg is not None and cfg.version >= version:
                times.setdefault(ip, world.now() - began)
    return list(times.values())


def measure_size(queues: int) -> list[Measure]:
    """Measure one size of manifest."""
    label = f"{queues} queues"
    with manifest_world(LARGE, SMALL, queues) as world:
        world.publish()
        world.run(asyncio.sleep(GAP_S))
        idle = _received(world)
        world.run(asyncio.sleep(GAP_S))
        idle_rate = (_received(world) - idle) / GAP_S
        began, before, store = world.now(), _received(world), world.store.served_bytes
        times: list[float] = []
        for _ in range(CHANGES):
            times += world.run(_roll_out(world))
            world.run(asyncio.sleep(GAP_S))
        took_s = world.now() - began
        received = (_received(world) - before - idle_rate * took_s) / CHANGES
        served = (world.store.served_bytes - store) / CHANGES
        size = len(world.manifest(1))
    rate = received * CHANGES_A_DAY / 86400
    times.sort()
    share = f"{CONTROL_BYTES_PER_S}"
    return [
        _measure(f"manifest, {label}", size, "bytes", "-"),
        _measure(f"received for a change, small link, {label}", received, "bytes", "-"),
        _measure(f"the same at 940 changes a day, {label}", rate, "B/s", share),
        _measure(
            f"received without changes, small link, {label}", idle_rate, "B/s", share
        ),
        _measure(f"sent by the store for a change, {label}", served, "bytes", "-"),
        _measure(f"in force p50, {label}", times[len(times) // 2], "s", "7"),
        _measure(f"in force max, {label}", times[-1], "s", "7"),
    ]


def _received(world: ManifestWorld) -> float:
    """Return the mean of the bytes that nodes with small links have received."""
    small = world.by_size["small"]
    return sum(map(world.network.received_bytes, small)) / len(small)


def _measure(name: str, value: float, unit: str, bound: str) -> Measure:
    return Measure(name, value, unit, bound, "-", -1, COMMAND)


def run() -> list[Measure]:
    """Measure all sizes."""
    return [measure for queues in QUEUES for measure in measure_size(queues)]
