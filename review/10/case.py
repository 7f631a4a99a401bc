"""Case 10: a queue is said to have nothing waiting although nothing has begun.

One of ten workers of a pool has the label ``a``. For ``SHED_S`` it is unhealthy: it
answers each start with 503 and does nothing, while its lists of runs are good. Clients
hand in submissions that require ``a`` at the begin of that time, and ask each node for
the number of submissions that wait.

The check is the rule MIXED: a machine in touch gives as ``waiting`` under half of the
submissions without times that were accepted over ``visible_ms`` + 2 s before and
haven't begun.
"""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

from review.parts2.deployment import (
    BROKEN,
    FAILED_TO_RUN,
    HELD,
    Deployment,
    job_id,
    main,
)

FOLDER = Path(__file__).resolve().parent

CALM_S = 4.0
SHED_S = 6.5
AFTER_S = 4.0
SUBMISSIONS = 10
INTERVAL_S = 0.1
ASK_INTERVAL_S = 0.25
OLD_S = 5.0
"""``visible_ms`` + 2 s."""

WORK_MS = 800
CPU = 900


async def _run(folder: Path, trouble: bool) -> int:
    world = Deployment(
        folder,
        services={"rota-office": 10},
        tenants={"growers": ["key-growers"]},
        labels=lambda service, n: ["b" if n else "a", f"r{n // 4}"],
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
    special = world.workers[0]
    accepted_at: dict[str, float] = {}
    begun: set[str] = set()
    special.on_start = lambda worker, run: begun.add(run.task.partition(".")[0])
    answers = wrong = 0

    async def submit(number: int) -> None:
        await asyncio.sleep(number * INTERVAL_S)
        job = job_id()
        step = {
            "count": 1,
            "cpu": CPU,
            "memory_request_mb": 910,
            "estimated_ms": WORK_MS,
            "requirements": "a",
        }
        body = {
            "specification": json.dumps({"ms": WORK_MS, "cpu": CPU}),
            "steps": [step],
        }
        if await world.submit(f"/rota-office/{job}", "key-growers", body, number):
            accepted_at[job] = loop.time()

    async def ask() -> None:
        nonlocal answers, wrong
        number = 0
        while True:
            await asyncio.sleep(ASK_INTERVAL_S)
            number += 1
            node = world.nodes[number % len(world.nodes)]
            sent_at = loop.time()
            answer = await world.ask(node, "GET", "/rota-office/", "key-growers")
            if answer is None or answer.status != 200:
                continue
            # Only those count that are old when the call is sent and don't begin
            # before it is answered.
            old = [
                job
                for job, at in accepted_at.items()
                if sent_at - at > OLD_S and job not in begun
            ]
            waiting = int(answer.json()["waiting"])
            answers += 1
            if waiting < len(old) / 2:
                wrong += 1
                world.record(
                    "wrong answer", node=node.name, waiting=waiting, not_begun=len(old)
                )

    await asyncio.sleep(CALM_S)
    special.sheds = trouble
    world.record("the worker sheds", trouble=trouble)
    asking = asyncio.create_task(ask())
    end = loop.time() + SHED_S
    await asyncio.gather(*(submit(number) for number in range(SUBMISSIONS)))
    await asyncio.sleep(end - loop.time())
    special.sheds = False
    world.record("the worker is healthy", begun=len(begun))
    await asyncio.sleep(AFTER_S)
    asking.cancel()
    world.record(
        "result",
        accepted=len(accepted_at),
        begun=len(begun),
        answers=answers,
        wrong=wrong,
        rule="MIXED broken" if wrong else "held",
    )
    print(world.lines[-1])
    if len(accepted_at) < SUBMISSIONS or len(begun) < SUBMISSIONS or not answers:
        return FAILED_TO_RUN
    return BROKEN if wrong else HELD


if __name__ == "__main__":
    main(_run, FOLDER)
