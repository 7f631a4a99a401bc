"""One worker that goes down and up by turns makes a sound submission fail for good."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins3"))

from deployment import HOST, SERVICE, Deployment, run_case  # noqa: E402
from worker import Worker  # noqa: E402

WORKERS = 20
MAX_ATTEMPTS = 5
ROUTES = [
    {
        "name": "r-books",
        "host": HOST,
        "path_prefix": "/books/",
        "service": SERVICE,
        "timeout_ms": 3000,
        "target_duration_ms": 600,
        "priority": 0,
        "max_attempts": MAX_ATTEMPTS,
        "stretch": 1.6,
        "allow_anonymous": False,
    }
]
JOB = f"{0xB00C:016x}"
PATH = f"/books/{JOB}"
LASTING = {
    "specification": json.dumps({"lasts": True, "cpu": 1000}),
    "steps": [
        {
            "count": WORKERS,
            "cpu": 1000,
            "memory_request_mb": 64,
            "estimated_ms": 500,
            "anti_affinity": 1,
            "long_running": True,
        }
    ],
}
SETTLE_S = 6.0
PERIOD_S = 0.89
FOR_S = 6.7
"""Doses of ``srv_flap`` in the site file; one worker in 20 is its ``share`` of 0.05."""

LIMIT_S = 6.0
"""Time from a work item's last run until it has to run again."""

WATCH_S = 3.0 + LIMIT_S + 6.0


async def case(world: Deployment, trouble: bool) -> bool | None:
    """Submit a work item that lasts for each worker, and let one worker flap."""
    workers = [Worker(world, number + 1) for number in range(WORKERS)]
    for worker in workers:
        await worker.start()
    world.write_manifest(1, ROUTES)
    world.start_nodes()
    if not await world.wait_until_ready():
        return None
    await asyncio.sleep(3.0)
    if not await world.submit(PATH, LASTING):
        return None
    await asyncio.sleep(SETTLE_S)
    if sum(len(worker.runs) for worker in workers) < WORKERS:
        world.record.write("the submission isn't running as it should")
        return None
    flapping = workers[3]
    if trouble:
        world.record.write("TROUBLE: a worker goes down and up by turns")
        end = world.record.now() + FOR_S
        while world.record.now() + PERIOD_S <= end:
            await flapping.crash()
            await asyncio.sleep(PERIOD_S / 2)
            await flapping.start()
            await asyncio.sleep(PERIOD_S / 2)
        world.record.write("all workers are up, and stay so")
    await asyncio.sleep(WATCH_S)
    state = await world.state_of(PATH)
    failed = sum(how == "failed" for w in workers for _, _, _, how in w.ends)
    running = sorted(task for worker in workers for task in worker.runs)
    missing = [i for i in range(WORKERS) if f"{JOB}.0.0.{i}" not in running]
    starts = [at for worker in workers for at, _, _ in worker.starts]
    age_s = world.record.now() - max(starts)
    world.record.write(
        f"state {state!r}, ends listed as failed: {failed}, running: {len(running)}, "
        f"not running: {missing}, newest start {age_s:.1f} s ago"
    )
    for worker in workers:
        await worker.stop()
    return state != "failed" and not missing


if __name__ == "__main__":
    raise SystemExit(run_case(case, Path(__file__).resolve().parent))
