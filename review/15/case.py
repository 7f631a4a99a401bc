"""A submission is said not to exist when it is cancelled, and runs later."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins3"))

from deployment import HOST, SERVICE, Deployment, run_case  # noqa: E402
from late_store import LateStore  # noqa: E402
from worker import Worker  # noqa: E402

WORKERS = 4
ROUTES = [
    {
        "name": "r-books",
        "host": HOST,
        "path_prefix": "/books/",
        "service": SERVICE,
        "timeout_ms": 3000,
        "target_duration_ms": 600,
        "priority": 0,
        "max_attempts": 3,
        "stretch": 1.6,
        "allow_anonymous": False,
    }
]
JOB = f"{0xD00D:016x}"
PATH = f"/books/{JOB}"
FIRST_RUN_S = 16.0
INTERVAL_S = 3.0
OCCURRENCES = 4
CLIENT_S = 3.0
LATE_S = 5.5
"""Lost writes are done 1 to 6 s later (``platform_lost``, how late)."""

CANCEL_S = 3.0
"""``cancel_ms``"""


async def case(world: Deployment, trouble: bool) -> bool | None:
    """Submit scheduled work, get no answer in time, and cancel it."""
    store = world.store
    if not isinstance(store, LateStore):
        return None
    workers = [Worker(world, number + 1) for number in range(WORKERS)]
    for worker in workers:
        await worker.start()
    world.write_manifest(1, ROUTES)
    world.start_nodes()
    if not await world.wait_until_ready():
        return None
    await asyncio.sleep(4.0)
    submission = {
        "specification": json.dumps({"work_s": 0.5, "cpu": 1000}),
        "steps": [
            {"count": 2, "cpu": 1000, "memory_request_mb": 64, "estimated_ms": 500}
        ],
        "repetitions": OCCURRENCES,
        "first_run_ms": round((time.time() + FIRST_RUN_S) * 1000),
        "interval_ms": round(INTERVAL_S * 1000),
    }
    node = world.nodes[0]
    sent_at = world.record.now()
    if trouble:
        world.record.write("TROUBLE: answers of the store are lost, writes done late")
        store.lose(JOB, LATE_S)
    answer = await world.client_call("POST", PATH, submission, node=node)
    if trouble:
        total, lost = store.end_loss()
        world.record.write(
            f"store: {lost} of {total} writes were lost, all others done"
        )
    rest_s = sent_at + CLIENT_S + 0.05 - world.record.now()
    await asyncio.sleep(max(0.0, rest_s))
    if (answer is not None and answer.status == 200) == trouble:
        world.record.write("the disruption didn't take place as it should")
        return None
    cancel = await world.client_call("DELETE", PATH, node=node)
    if cancel is None or cancel.status not in (200, 410):
        world.record.write("the cancelling was not acknowledged")
        return True
    cancelled_at = world.record.now()
    await asyncio.sleep(1.0)
    for other in world.nodes:
        await world.client_call("GET", PATH, node=other)
    await asyncio.sleep(LATE_S)
    await world.state_of(PATH)
    await asyncio.sleep(FIRST_RUN_S + OCCURRENCES * INTERVAL_S - LATE_S)
    starts = sorted(at for w in workers for at, t, _ in w.starts if t.startswith(JOB))
    late = [at for at in starts if at > cancelled_at + CANCEL_S]
    state = await world.state_of(PATH)
    after_s = [round(at - cancelled_at, 1) for at in late]
    world.record.write(
        f"starts over {CANCEL_S} s after the acknowledgement of the cancelling: "
        f"{len(late)} (seconds after it: {after_s}); state {state!r}"
    )
    for worker in workers:
        await worker.stop()
    return not late


if __name__ == "__main__":
    record_path = Path(__file__).resolve().parent / "record.txt"
    raise SystemExit(run_case(case, record_path, store=LateStore()))
