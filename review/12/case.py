"""One submission in wrong units ends all work of a queue with advice."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins3"))

from advice import Advice  # noqa: E402
from deployment import HOST, SERVICE, Deployment, run_case  # noqa: E402
from worker import Worker  # noqa: E402

WORKERS = 8
STEP = {"cpu": 1000, "memory_request_mb": 64, "estimated_ms": 500}
SOUND = {
    "specification": json.dumps({"work_s": 0.5, "cpu": 1000}),
    "steps": [{**STEP, "count": 2}],
}
WRONG_UNITS = {
    "specification": json.dumps({"work_s": 0.5, "cpu": 1000}),
    "steps": [
        {
            "count": 400,
            "cpu": 16_000_000_000,
            "memory_request_mb": 64,
            "estimated_ms": 3_600_000_000_000,
        }
    ],
}
"""Each work item asks for 16 cores for an hour, in billionths of a core and of a
second: the client has other units than the pages. No worker has that many cores."""

NEVER_DONE_NUMBER = 20
"""It is the 20th submission: one in 20 is the ``share`` of 0.05 for ``poison``."""

TRAFFIC_S = 24.0
PAUSE_S = 0.3
FINISH_S = 14.0
WATCH_S = 3.0


async def case(world: Deployment, trouble: bool) -> bool | None:
    """Send sound submissions, and one that can never be done."""
    advice = Advice(decision_ms=150, period_ms=20)
    world.advice = await advice.start()
    workers = [Worker(world, number + 1) for number in range(WORKERS)]
    for worker in workers:
        worker.advice = advice
        await worker.start()
    route = {
        "name": "r-orders",
        "host": HOST,
        "path_prefix": "/orders/",
        "service": SERVICE,
        "timeout_ms": 3000,
        "target_duration_ms": 600,
        "priority": 0,
        "max_attempts": 2,
        "stretch": 1.6,
        "allow_anonymous": False,
        "advice": advice.spec,
    }
    world.write_manifest(1, [route])
    world.start_nodes()
    if not await world.wait_until_ready():
        return None
    await asyncio.sleep(3.0)
    accepted: list[str] = []
    begun_at = world.record.now()
    number = 0
    while world.record.now() < begun_at + TRAFFIC_S:
        number += 1
        job = f"{number:016x}"
        hopeless = trouble and number == NEVER_DONE_NUMBER
        if hopeless:
            world.record.write(f"TROUBLE: {job} can never be done")
        body = WRONG_UNITS if hopeless else SOUND
        answer = await world.client_call("POST", f"/orders/{job}", body)
        if answer is not None and answer.status == 200 and not hopeless:
            accepted.append(job)
        await asyncio.sleep(PAUSE_S)
    world.record.write(f"end of the traffic, {len(accepted)} accepted")
    await asyncio.sleep(FINISH_S)
    lost = await _watch(world, workers, accepted)
    entries = [entry for node in world.nodes for entry in node.log()]
    terms = sum(entry["event"] == "term_taken" for entry in entries)
    world.record.write(
        f"submissions with nothing running for {WATCH_S} s: {len(lost)} {lost[:5]}; "
        f"schedulers one after the other: {terms}; calls for advice: {advice.calls}"
    )
    for job in lost[:3]:
        await world.state_of(f"/orders/{job}", tries=1)
    for worker in workers:
        await worker.stop()
    await advice.stop()
    return not lost


async def _watch(
    world: Deployment, workers: list[Worker], accepted: list[str]
) -> list[str]:
    """Return the submissions that aren't done and had nothing running all the time."""
    end = world.record.now() + WATCH_S
    owed = set(accepted)
    while world.record.now() < end:
        owed -= {task.partition(".")[0] for w in workers for task in w.runs}
        await asyncio.sleep(0.02)
    done = {t for w in workers for _, t, _, how in w.ends if how == "done"}
    return sorted(
        job
        for job in owed
        if not all(f"{job}.0.0.{index}" in done for index in range(2))
    )


if __name__ == "__main__":
    raise SystemExit(run_case(case, Path(__file__).resolve().parent / "record.txt"))
