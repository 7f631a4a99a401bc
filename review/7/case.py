"""Case 7: a submission beyond its tenant's cap keeps the work of others waiting.

Tenant ``hot`` submits work items that last: four times as many as its ``cap`` admits
or, without the disruption, as many as it admits. The others wait, as they should. Then
tenant ``growers``, which is far below its cap, submits work items that fill. The
workers are almost empty.

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

CAP = 8_000
EACH_CPU = 1_000
ADMITTED = CAP // EACH_CPU
FACTOR = 4
"""Multiple of what the cap admits; the pages let a tenant send 7.5 times its usual."""

WORK_MS = 1000
FILL_CPU = 500


async def _run(folder: Path, trouble: bool) -> int:
    world = Deployment(
        folder,
        services={"rota-office": 4, "dispatch": 4},
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
            "memory_request_mb": 256,
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
        "count": ADMITTED * (FACTOR if trouble else 1),
        "cpu": EACH_CPU,
        "memory_request_mb": 3072,
        "long_running": True,
    }
    body = {
        "specification": json.dumps({"cpu": EACH_CPU, "lasts": True}),
        "steps": [step],
    }
    world.record("the lasting submission is sent", step=step, cap=CAP)
    if not await world.submit(f"/rota-office/{job_id()}", "key-hot", body):
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
    world.record("lasting work items at work", count=lasting, admitted=ADMITTED)
    if not accepted or lasting != ADMITTED:
        return FAILED_TO_RUN
    return await apply_lost(world, accepted, "rota-office", "key-growers", FILL_CPU)


if __name__ == "__main__":
    main(_run, FOLDER)
