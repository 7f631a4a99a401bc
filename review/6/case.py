"""Case 6: one submission of many independent steps ends all scheduling.

Tenant ``growers`` submits small submissions all the time. Once, tenant ``archive``
submits 1,000 small work items: as 1,000 steps that depend on nothing or, without the
disruption, as one step. The workers have room for all of it many times over.

The check is the rule LOST: ``finish_s`` after the end of the traffic, an accepted
submission gets no answer, or has nothing running for 3 s although its work item's turn
has come, there is room for it twice over, and less than half of its service's capacity
is in use.
"""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

from review.parts2.checks import apply_lost
from review.parts2.deployment import FAILED_TO_RUN, Deployment, job_id, main

FOLDER = Path(__file__).resolve().parent

STEPS = 1000
TRAFFIC_S = 36.0
LARGE_AT_S = 8.0
INTERVAL_S = 0.5
FINISH_S = 14.0
WORK_MS = 300
CPU = 500


def _body(steps: list[dict[str, int]], ms: int, cpu: int) -> dict[str, object]:
    return {"specification": json.dumps({"ms": ms, "cpu": cpu}), "steps": steps}


async def _run(folder: Path, trouble: bool) -> int:
    world = Deployment(
        folder,
        services={"rota-office": 4, "dispatch": 4},
        tenants={"growers": ["key-growers"], "archive": ["key-archive"]},
    )
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

    async def submit_small(number: int) -> None:
        path = f"/rota-office/{job_id()}"
        step = {"count": 2, "cpu": CPU, "memory_request_mb": 64, "estimated_ms": 300}
        if await world.submit(path, "key-growers", _body([step], WORK_MS, CPU), number):
            accepted.append(path)

    async def submit_large() -> None:
        step = {"count": 1, "cpu": 100, "memory_request_mb": 8, "estimated_ms": 200}
        steps = [step] * STEPS if trouble else [step | {"count": STEPS}]
        body = _body(steps, 200, 100)
        world.record("the large submission is sent", steps=len(steps))
        await world.submit(f"/dispatch/{job_id()}", "key-archive", body)

    tasks: list[asyncio.Task[None]] = []
    begin = loop.time()
    number = 0
    large_sent = False
    while (at := loop.time() - begin) < TRAFFIC_S:
        if at >= LARGE_AT_S and not large_sent:
            large_sent = True
            tasks.append(asyncio.create_task(submit_large()))
        tasks.append(asyncio.create_task(submit_small(number)))
        number += 1
        await asyncio.sleep(INTERVAL_S)
    world.record("the traffic ends", accepted=len(accepted))
    await asyncio.sleep(FINISH_S)
    await asyncio.gather(*tasks)
    return await apply_lost(world, accepted, "rota-office", "key-growers", CPU)


if __name__ == "__main__":
    main(_run, FOLDER)
