"""Many small work items end while the scheduler is away; some of them run again."""

from __future__ import annotations

import asyncio
import os
import sys
import time
import zlib
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from parts.deployment import Deployment, play, twice  # noqa: E402
from parts.worker import Worker  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SUBMISSIONS, ITEMS = 26, 24
CAPACITY = {"cpu": 64000, "memory_request_mb": 131072, "gpu": 0}


def duration_s(task: str) -> float:
    """Return the length of a work item: 2.8 to 3.2 s."""
    return 2.8 + zlib.crc32(task.encode()) % 400 / 1000


async def main() -> int:
    """Play the case; return the exit code."""
    names = {"front-a-1": "zone-a", "front-b-1": "zone-b", "front-c-1": "zone-c"}
    site = Deployment(names, Path(__file__).resolve().parent)
    for number, zone in enumerate(("zone-a", "zone-b")):
        worker = Worker(
            f"w{number}", "press", zone, CAPACITY, f"r{number}", site.store, duration_s
        )
        site.workers.append(worker)
    try:
        await site.start()

        async def led() -> bool:
            return site.holder() is not None

        if not await site.until(led, 20.0, "a node holds the term"):
            return 2
        first = await site.submit(site.nodes[0], "press", [step(1)])

        async def first_done() -> bool:
            return (await site.state(site.nodes[0], "press", first))[1] == "completed"

        if not await site.until(first_done, 15.0, "a first submission is completed"):
            return 2
        jobs = await asyncio.gather(
            *(
                site.submit(site.nodes[n % 3], "press", [step(ITEMS)])
                for n in range(SUBMISSIONS)
            )
        )
        if not all(jobs):
            return 2
        total = SUBMISSIONS * ITEMS + 1

        async def all_started() -> bool:
            return len(site.history()) >= total

        if not await site.until(all_started, 15.0, "all work items run"):
            return 2
        begin = site.history()[1].started
        await asyncio.sleep(max(0.0, begin + 2.5 - time.monotonic()))
        holder = site.holder()
        if TROUBLE and holder is not None:
            site.kill(holder)
        waiting = set(jobs)
        end = time.monotonic() + 45.0
        while waiting and time.monotonic() < end:
            for job in sorted(waiting):
                for node in site.nodes:
                    status, state = await site.state(node, "press", job)
                    if status == 200:
                        break
                if state == "completed":
                    waiting.discard(job)
            await asyncio.sleep(0.5)
        await asyncio.sleep(4.0)
        broken = twice(site.history())
        site.record(f"not completed in time: {len(waiting)}")
        for worker in site.workers:
            site.record(f"{worker.id}: {worker.calls}")
        for line in broken:
            site.record(f"TWICE {line}")
        print(f"{len(broken)} breaks of TWICE; {len(site.history())} runs of {total}")
        if waiting:
            print(f"{len(waiting)} submissions were not completed")
        return 1 if broken else 0
    finally:
        await site.stop()


def step(count: int) -> dict:
    """Return a step of small work items."""
    return {
        "count": count,
        "cpu": 100,
        "memory_request_mb": 100,
        "estimated_ms": 3000,
    }


sys.exit(play(main))
