"""Three submissions that can never be done stop the work of all others."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins3"))

from deployment import HOST, SERVICE, Deployment, run_case  # noqa: E402
from worker import Worker  # noqa: E402

WORKERS = 6
ROUTES = [
    {
        "name": "r-orders",
        "host": HOST,
        "path_prefix": "/orders/",
        "service": SERVICE,
        "timeout_ms": 3000,
        "target_duration_ms": 600,
        "priority": 1,
        "max_attempts": 2,
        "stretch": 1.6,
        "allow_anonymous": False,
    }
]
STEP = {"cpu": 1000, "memory_request_mb": 64, "estimated_ms": 500}
SOUND = {
    "specification": json.dumps({"work_s": 0.5, "cpu": 1000}),
    "steps": [{**STEP, "count": 2}],
}
ITEMS = 8
LASTING = {
    "specification": json.dumps({"lasts": True, "cpu": 1000}),
    "steps": [{**STEP, "count": ITEMS, "long_running": True}],
}
LASTING_JOB = f"{0x1A57:016x}"
NEVER_DONE = {
    "specification": json.dumps({"work_s": 0.5, "cpu": 1000}),
    "steps": [{**STEP, "count": 1, "requirements": "a-kind-that-no-worker-has"}],
    "repetitions": 20_000,
    "interval_ms": 60_000,
}
"""Each minute since 1970: ``first_run_ms`` is 0, so it is left out. The product takes
up to 20,000 occurrences."""

NEVER_DONE_NUMBERS = (40, 60, 80)
"""Numbers of the submissions that can never be done: one in 20, the ``share`` of 0.05
for ``poison``, for 3 s (``for_s``)."""

TRAFFIC_S = 30.0
BUSY_S = 6.0
BUSY_PAUSE_S = 0.05
PAUSE_S = 0.5
FINISH_S = 14.0
WATCH_S = 3.0
LIMIT_S = 6.0
"""Time from a lasting work item's last run until it has to run again."""


async def case(world: Deployment, trouble: bool) -> bool | None:
    """Send sound submissions, and one in 20 that can never be done, for 3 s."""
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
    calls: list[asyncio.Task[None]] = []

    async def send(number: int) -> None:
        job = f"{number:016x}"
        hopeless = trouble and number in NEVER_DONE_NUMBERS
        if hopeless:
            world.record.write(f"TROUBLE: {job} can never be done")
        body = NEVER_DONE if hopeless else SOUND
        answer = await world.client_call("POST", f"/orders/{job}", body)
        if answer is not None and answer.status == 200 and not hopeless:
            accepted.append(job)

    begun_at = world.record.now()
    number = 0
    while world.record.now() < begun_at + TRAFFIC_S:
        number += 1
        calls.append(asyncio.ensure_future(send(number)))
        busy = world.record.now() < begun_at + BUSY_S
        await asyncio.sleep(BUSY_PAUSE_S if busy else PAUSE_S)
    await asyncio.gather(*calls)
    world.record.write(f"end of the traffic, {len(accepted)} accepted")
    await asyncio.sleep(FINISH_S)
    idle = await _watch(world, workers, accepted)
    entries = [entry for node in world.nodes for entry in node.log()]
    terms = sum(entry["event"] == "term_taken" for entry in entries)
    lapsed = sum(how == "lapsed" for w in workers for _, _, _, how in w.ends)
    world.record.write(
        f"submissions with nothing running for {WATCH_S} s: {len(idle)} {idle[:5]}; "
        f"runs whose lease lapsed: {lapsed}; schedulers one after the other: {terms}"
    )
    for job in idle[:3]:
        await world.state_of(f"/orders/{job}", tries=1)
    for worker in workers:
        await worker.stop()
    return not idle


async def _watch(
    world: Deployment, workers: list[Worker], accepted: list[str]
) -> list[str]:
    """Return the submissions that are owed work and had nothing running all the time.

    Of the lasting one each work item counts, from 6 s after its last run.
    """
    done = {t for w in workers for _, t, _, how in w.ends if how == "done"}
    owed = {
        job
        for job in accepted
        if not all(f"{job}.0.0.{index}" in done for index in range(2))
    }
    items = {f"{LASTING_JOB}.0.0.{index}" for index in range(ITEMS)}
    ended = [(at, t) for w in workers for at, t, _, _ in w.ends if t in items]
    recent = {t for at, t in ended if world.record.now() - at < LIMIT_S}
    items -= recent
    end = world.record.now() + WATCH_S
    while world.record.now() < end:
        running = {task for worker in workers for task in worker.runs}
        owed -= {task.partition(".")[0] for task in running}
        items -= running
        await asyncio.sleep(0.02)
    done = {t for w in workers for _, t, _, how in w.ends if how == "done"}
    owed = {job for job in owed if f"{job}.0.0.0" not in done}
    return sorted(owed) + sorted(items)


if __name__ == "__main__":
    raise SystemExit(run_case(case, Path(__file__).resolve().parent / "record.txt"))
