"""Case 7: submissions beyond their tenant's cap keep the work of others waiting.

Tenant ``hot`` submits work items that last, like those of the site: nine submissions
of five items or, without the disruption, two. Its ``cap`` admits twelve items; the
others wait, as they should. Then tenant ``growers``, which is far below its cap,
submits work items that fill. The workers are almost empty.

The check is the rule LOST: ``finish_s`` after the end of the traffic, an accepted
submission gets no answer, or has nothing running for 3 s although its work item's turn
has come, there is room for it twice over, its tenant has under half of its ``cap``, and
less than half of its service's capacity is in use.
"""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

from review.parts2.checks import apply_lost
from review.parts2.deployment import FAILED_TO_RUN, Deployment, job_id, main

FOLDER = Path(__file__).resolve().parent

TRAFFIC_S = 20.0
FILLING_AT_S = 5.0
INTERVAL_S = 0.5
FINISH_S = 14.0

ITEMS = 5
EACH_CPU = 1_300
EACH_MB = 4_300
ADMITTED = 12
CAP = ADMITTED * EACH_CPU
"""The site's caps are 1.9 times a tenant's usual, and a hot tenant sends 7.5 times its
usual: here up to 47 items."""

SUBMISSIONS = 9
SUBMISSIONS_WITHIN = 2
WORK_MS = 1000
FILL_CPU = 900
FILL_MB = 910


async def _run(folder: Path, trouble: bool) -> int:
    world = Deployment(
        folder,
        services={"rota-office": 6, "dispatch": 6},
        tenants={"hot": ["key-hot"], "growers": ["key-growers"]},
    )
    world.caps["hot"] = CAP
    world.record_to(FOLDER / "record.txt")
    try:
        if not await world.start():
            return FAILED_TO_RUN
        return await _play(world, trouble)
    finally:
        await world.stop()


async def _play(world: Deployment, trouble: bool) -> int:
    loop = asyncio.get_running_loop()
    accepted: list[str] = []

    async def submit_filling(number: int) -> None:
        path = f"/rota-office/{job_id()}"
        step = {
            "count": 1,
            "cpu": FILL_CPU,
            "memory_request_mb": FILL_MB,
            "estimated_ms": WORK_MS,
            "fills": True,
        }
        body = {
            "specification": json.dumps({"ms": WORK_MS, "cpu": 0}),
            "steps": [step],
        }
        if await world.submit(path, "key-growers", body, number):
            accepted.append(path)

    step = {
        "count": ITEMS,
        "cpu": EACH_CPU,
        "memory_request_mb": EACH_MB,
        "long_running": True,
        "anti_affinity": 1,
    }
    body = {
        "specification": json.dumps({"cpu": EACH_CPU, "lasts": True}),
        "steps": [step],
    }
    number = SUBMISSIONS if trouble else SUBMISSIONS_WITHIN
    world.record("lasting submissions are sent", number=number, step=step, cap=CAP)
    for first in range(number):
        path = f"/rota-office/{job_id()}"
        if not await world.submit(path, "key-hot", body, first):
            return FAILED_TO_RUN
    begin = loop.time()
    await asyncio.sleep(FILLING_AT_S)
    tasks: list[asyncio.Task[None]] = []
    while loop.time() - begin < TRAFFIC_S:
        tasks.append(asyncio.create_task(submit_filling(len(tasks))))
        await asyncio.sleep(INTERVAL_S)
    await asyncio.gather(*tasks)
    world.record("the traffic ends", accepted=len(accepted))
    await asyncio.sleep(FINISH_S)
    pool = [worker for worker in world.workers if worker.service == "rota-office"]
    lasting = sum(run.done is None for w in pool for run in w.running.values())
    expected = min(ADMITTED, number * ITEMS)
    world.record("lasting work items at work", count=lasting, expected=expected)
    if not accepted or lasting != expected:
        return FAILED_TO_RUN
    return await apply_lost(world, accepted, "rota-office", "key-growers", FILL_CPU)


if __name__ == "__main__":
    main(_run, FOLDER)
