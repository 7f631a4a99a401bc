"""One submission with a large estimate, and no lost worker is replaced any more."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins3"))

from deployment import HOST, SERVICE, Deployment, run_case  # noqa: E402
from worker import Worker  # noqa: E402

WORKERS = 8
LOSS = 1
"""Workers that are lost for good; 0.14 of 8 is one."""

ROUTES = [
    {
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
    }
]
SOUND = {
    "specification": json.dumps({"work_s": 0.5, "cpu": 1000}),
    "steps": [{"count": 2, "cpu": 1000, "memory_request_mb": 64, "estimated_ms": 500}],
}
ITEMS = 16
LASTING = {
    "specification": json.dumps({"lasts": True, "cpu": 1000}),
    "steps": [
        {
            "count": ITEMS,
            "cpu": 1000,
            "memory_request_mb": 64,
            "estimated_ms": 500,
            "anti_affinity": 3,
            "long_running": True,
        }
    ],
}
LASTING_JOB = f"{0x1A57:016x}"
NEVER_DONE = {
    "specification": json.dumps({"work_s": 0.5, "cpu": 1_000_000}),
    "steps": [
        {
            "count": 1000,
            "cpu": 1_000_000,
            "memory_request_mb": 64,
            "estimated_ms": 9_007_199_254_740_991,
        }
    ],
}
"""Each work item asks for 1,000 cores, and workers have 16. The estimate is the largest
integer that every JSON implementation represents exactly."""

NEVER_DONE_JOB = f"{0xFFFF:016x}"
TRAFFIC_S = 20.0
PAUSE_S = 0.25
NEVER_DONE_NUMBER = 20
"""It is the 20th submission: one in 20 is the ``share`` of 0.05 for ``poison``."""

LOSS_AT_S = 9.0
FINISH_S = 14.0
LIMIT_S = 6.0
"""Time from a lasting work item's last run until it has to run again."""

WATCH_S = 3.0


async def case(world: Deployment, trouble: bool) -> bool | None:
    """Send sound submissions and one that can never be done; lose a worker.

    ``ONLY=loss`` and ``ONLY=poison`` leave out the other disruption.
    """
    only = os.environ.get("ONLY", "")
    workers = [Worker(world, number + 1) for number in range(WORKERS)]
    for worker in workers:
        await worker.start()
    world.write_manifest(1, ROUTES)
    world.start_nodes()
    if not await world.wait_until_ready():
        return None
    await asyncio.sleep(3.0)
    if not await world.submit(f"/orders/{LASTING_JOB}", LASTING):
        return None
    accepted: list[str] = []
    begun_at = world.record.now()
    number = 0
    lost: list[Worker] = []
    while world.record.now() < begun_at + TRAFFIC_S:
        number += 1
        if trouble and number == NEVER_DONE_NUMBER and only != "loss":
            world.record.write("TROUBLE: a submission that can never be done")
            if not await world.submit(f"/orders/{NEVER_DONE_JOB}", NEVER_DONE):
                world.record.write("it was refused")
        elif await world.submit(f"/orders/{number:016x}", SOUND):
            accepted.append(f"{number:016x}")
        due = world.record.now() > begun_at + LOSS_AT_S
        if trouble and due and not lost and only != "poison":
            world.record.write("TROUBLE: a worker is lost for good")
            holding = [w for w in workers if any(r.lasts for r in w.runs.values())]
            lost = holding[:LOSS]
            for worker in lost:
                await worker.crash()
        await asyncio.sleep(PAUSE_S)
    world.record.write(f"end of the traffic, {len(accepted)} accepted")
    await asyncio.sleep(FINISH_S)
    missing = set(range(ITEMS))
    end = world.record.now() + WATCH_S
    while world.record.now() < end:
        running = {task for worker in workers for task in worker.runs}
        missing = {i for i in missing if f"{LASTING_JOB}.0.0.{i}" not in running}
        await asyncio.sleep(0.1)
    done = {
        task for worker in workers for _, task, _, how in worker.ends if how == "done"
    }
    undone = [
        job
        for job in accepted
        if not all(f"{job}.0.0.{index}" in done for index in range(2))
    ]
    state = await world.state_of(f"/orders/{LASTING_JOB}")
    free = sum(w.capacity["cpu"] for w in workers if w.up)
    free -= sum(run.cpu for worker in workers for run in worker.runs.values())
    world.record.write(
        f"lasting submission: state {state!r}, its items {sorted(missing)} have not "
        f"run for {WATCH_S} s; free cpu {free}; sound submissions undone: {len(undone)}"
    )
    entries = [entry for node in world.nodes for entry in node.log()]
    terms = sum(entry["event"] == "term_taken" for entry in entries)
    world.record.write(f"the nodes' logs show {terms} schedulers one after the other")
    for worker in workers:
        await worker.stop()
    return not missing and not undone


if __name__ == "__main__":
    raise SystemExit(run_case(case, Path(__file__).resolve().parent))
