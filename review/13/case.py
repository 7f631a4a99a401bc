"""A queue with advice is replaced, and its accepted submissions never run."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins3"))

from advice import Advice  # noqa: E402
from deployment import HOST, SERVICE, Deployment, run_case  # noqa: E402
from worker import Worker  # noqa: E402

WORKERS = 6
SUBMISSIONS = 4
JOBS = [f"{0xADE0 + number:016x}" for number in range(SUBMISSIONS)]
FIRST_S = 6.0
SUBMISSION = {
    "specification": json.dumps({"work_s": FIRST_S, "cpu": 1000}),
    "steps": [
        {"count": 2, "cpu": 1000, "memory_request_mb": 64, "estimated_ms": 6000},
        {
            "count": 2,
            "cpu": 1000,
            "memory_request_mb": 64,
            "estimated_ms": 6000,
            "after": [0],
        },
    ],
}
CHANGE_AFTER_S = 3.0
WATCH_S = 2 * FIRST_S + 14.0
"""Time for both steps, and ``finish_s``."""

IDLE_S = 3.0


def route(name: str, advice: Advice) -> dict[str, Any]:
    """Return the queue's route under a name."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": "/books/",
        "service": SERVICE,
        "timeout_ms": 3000,
        "target_duration_ms": 600,
        "priority": 0,
        "max_attempts": 3,
        "stretch": 1.6,
        "allow_anonymous": False,
        "advice": advice.spec,
    }


async def case(world: Deployment, trouble: bool) -> bool | None:
    """Submit work in two steps; the manifest changes while the first one runs."""
    advice = Advice()
    world.advice = await advice.start()
    workers = [Worker(world, number + 1) for number in range(WORKERS)]
    for worker in workers:
        worker.advice = advice
        await worker.start()
    world.write_manifest(1, [route("r-books", advice)])
    world.start_nodes()
    if not await world.wait_until_ready():
        return None
    await asyncio.sleep(3.0)
    for job in JOBS:
        if not await world.submit(f"/books/{job}", SUBMISSION):
            return None
    await asyncio.sleep(CHANGE_AFTER_S)
    if sum(len(worker.runs) for worker in workers) < 2 * SUBMISSIONS:
        world.record.write("the first steps aren't running as they should")
        return None
    if trouble:
        world.record.write("TROUBLE: a version removes the route and adds another one")
        world.write_manifest(2, [route("r-books-v2", advice)])
    await asyncio.sleep(WATCH_S)
    idle_since = world.record.now()
    await asyncio.sleep(IDLE_S)
    lost = 0
    for job in JOBS:
        state = await world.state_of(f"/books/{job}")
        started = [
            at
            for worker in workers
            for at, task, _ in worker.starts
            if task.startswith(f"{job}.0.1.")
        ]
        refused = sum(
            task.startswith(f"{job}.0.1.")
            for worker in workers
            for _, task, _ in worker.refused
        )
        newest = f"{max(started) - idle_since:.1f}" if started else "none"
        world.record.write(
            f"submission {job}: state {state!r}, starts of its second step "
            f"{len(started)} (newest {newest}), rejected for want of a ticket {refused}"
        )
        running = any(task.startswith(job) for w in workers for task in w.runs)
        lost += not started and not running and state not in ("completed", "cancelled")
    world.record.write(f"lost {lost} of {SUBMISSIONS}; all workers are empty")
    for worker in workers:
        await worker.stop()
    await advice.stop()
    return not lost


if __name__ == "__main__":
    raise SystemExit(run_case(case, Path(__file__).resolve().parent / "record.txt"))
