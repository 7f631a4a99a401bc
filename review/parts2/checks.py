"""Checks of the rules, from what clients and workers have seen."""

from __future__ import annotations

import asyncio

from review.parts2.deployment import BROKEN, FAILED_TO_RUN, HELD, Deployment

__all__ = ["apply_lost"]

IDLE_S = 3.0
LOOK_INTERVAL_S = 0.05


async def apply_lost(
    world: Deployment, accepted: list[str], service: str, key: str, cpu: int
) -> int:
    """Apply the rule LOST, ``finish_s`` after the end of the traffic.

    :param accepted: paths of the accepted submissions, whose work items are all ready
    :param cpu: what one of their work items uses
    :returns: the exit code of the case
    """
    pool = [worker for worker in world.workers if worker.service == service]
    capacity = sum(worker.cpu for worker in pool)
    most_used = 0
    begun: set[str] = set()
    for _ in range(round(IDLE_S / LOOK_INTERVAL_S)):
        most_used = max(most_used, sum(worker.used_cpu() for worker in pool))
        begun |= {
            task.partition(".")[0] for worker in pool for task, _ in worker.running
        }
        await asyncio.sleep(LOOK_INTERVAL_S)
    world.record("use of the pool", most_used=most_used, capacity=capacity)
    states = await asyncio.gather(
        *(_ask_state(world, path, key, n) for n, path in enumerate(accepted))
    )
    room = capacity - most_used >= 2 * cpu and most_used < capacity / 2
    lost = 0
    for path, state in zip(accepted, states, strict=True):
        world.record("state", path=path, state=state)
        job = path.rpartition("/")[2]
        idle = state in ("queued", "running") and job not in begun
        lost += state in ("no answer", "not known") or (idle and room)
    completed = states.count("completed")
    world.record(
        "result",
        accepted=len(accepted),
        completed=completed,
        lost=lost,
        rule="LOST broken" if lost else "held",
    )
    print(world.lines[-1])
    if not accepted:
        return FAILED_TO_RUN
    return BROKEN if lost else HELD


async def _ask_state(world: Deployment, path: str, key: str, number: int) -> str:
    """Ask nodes for a submission's state, as a client does, until one answers."""
    for attempt in range(len(world.nodes)):
        node = world.nodes[(number + attempt) % len(world.nodes)]
        answer = await world.ask(node, "GET", path, key)
        if answer is not None and answer.status == 200:
            return str(answer.json()["state"])
        if answer is not None and answer.status == 410:
            return "not known"
    return "no answer"
