"""A wave for new machines is reported as completed, and none of them had its upkeep."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins3"))

from cloud import Cloud  # noqa: E402
from deployment import HOST, SERVICE, Deployment, run_case  # noqa: E402
from worker import Worker  # noqa: E402

WORKERS = 8
NEW_WORKERS = 2
"""A quarter of the workers: the ``share`` of 0.25 for ``scale_out``."""

ROUTES = [
    {
        "name": "r-books",
        "host": HOST,
        "path_prefix": "/books/",
        "service": SERVICE,
        "timeout_ms": 3000,
        "target_duration_ms": 600,
        "priority": 0,
        "max_attempts": 3,
        "stretch": 1.6,
        "allow_anonymous": False,
    }
]
DURATION_S = 26.0
"""``for_s`` of ``wave`` in the site file."""

SETTLE_S = 8.0


def wave_state(world: Deployment, wave: int) -> str:
    """Return the state of a wave that the system has reported last."""
    records = world.store.records("keyed.status")
    values = [value for key, value in records if key == f"wave/{wave}" and value]
    return str(json.loads(values[-1]).get("state", "")) if values else ""


async def request_wave(
    world: Deployment, cloud: Cloud, wave: int, machines: list[str]
) -> float:
    """Request a wave as the operator; return the seconds until it was completed."""
    cloud.waves[wave] = machines
    entry = {"wave": wave, "machines": machines, "duration_s": DURATION_S, "cap": 1}
    world.store.write("keyed.op", f"wave/{wave}", json.dumps(entry).encode())
    begun_at = world.record.now()
    world.record.write(f"operator: wave {wave} for {machines} acknowledged")
    while wave_state(world, wave) != "completed":
        if world.record.now() - begun_at > DURATION_S:
            world.record.write(f"wave {wave}: {wave_state(world, wave)!r} in the end")
            return DURATION_S
        await asyncio.sleep(0.02)
    world.record.write(f"status: wave {wave} is said to be completed")
    return world.record.now() - begun_at


async def case(world: Deployment, trouble: bool) -> bool | None:
    """Request a wave, add two machines, and request a wave for these."""
    workers = [Worker(world, number + 1) for number in range(WORKERS)]
    cloud = Cloud(world, workers)
    world.cloud = await cloud.start()
    for worker in workers:
        await worker.start()
    world.write_manifest(1, ROUTES)
    world.start_nodes()
    if not await world.wait_until_ready():
        return None
    await asyncio.sleep(3.0)
    await request_wave(world, cloud, 1, [workers[0].machine])
    if [upkeep[1:] for upkeep in cloud.upkeeps] != [(workers[0].machine, 1)]:
        return None
    await asyncio.sleep(SETTLE_S / 2)
    if trouble:
        world.record.write("TROUBLE: more workers, on new machines")
        for number in range(NEW_WORKERS):
            worker = Worker(world, WORKERS + number + 1)
            await worker.start()
            workers.append(worker)
    await asyncio.sleep(SETTLE_S)
    machines = [worker.machine for worker in workers[-NEW_WORKERS:]]
    took_s = await request_wave(world, cloud, 2, machines)
    missing = [m for m in machines if m not in {u[1] for u in cloud.upkeeps}]
    world.record.write(
        f"wave 2: {wave_state(world, 2)!r} after {took_s:.2f} s, machines without "
        f"upkeep {missing}"
    )
    broken = wave_state(world, 2) == "completed" and bool(missing)
    await asyncio.sleep(DURATION_S - took_s)
    missing = [m for m in machines if m not in {u[1] for u in cloud.upkeeps}]
    world.record.write(
        f"after {DURATION_S} s: machines without upkeep {missing}, of them up "
        f"{[w.machine for w in workers if w.up and w.machine in missing]}"
    )
    for worker in workers:
        await worker.stop()
    await cloud.stop()
    return not broken


if __name__ == "__main__":
    raise SystemExit(run_case(case, Path(__file__).resolve().parent / "record.txt"))
