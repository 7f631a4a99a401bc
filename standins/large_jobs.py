"""Jobs of many steps or tasks, by kind, and a scheduler to which they are given."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from msgspec import structs

from primrosepitch.jobs.model import (
    AdviceSpec,
    JobId,
    JobSpec,
    QueueName,
    Resources,
    ServiceName,
    StepSpec,
    WorkspaceName,
)
from primrosepitch.scheduling import events as ev
from primrosepitch.scheduling.configuration import (
    QueueSpec,
    WorkspaceSpec,
)
from primrosepitch.scheduling.effects import Commit, StartRun
from primrosepitch.scheduling.reducer import MAX_PLANNING_INTERVAL_S, step
from primrosepitch.scheduling.state import SchedulerState
from standins.waiting_jobs import WALL_MS, build_state

__all__ = ["KINDS", "advance", "build_pools", "large_job"]

TEAM = WorkspaceName("team")

PLAIN = StepSpec(1, cpu=100, memory=8, estimate_ms=200)

LASTING = StepSpec(1, cpu=100, memory=8, lasting=True)

SPREAD = StepSpec(1, cpu=100, memory=8, lasting=True, most_per_endpoint=1)

Steps = Callable[[int], list[StepSpec]]


def _alike(spec: StepSpec) -> Steps:
    """Return a kind of job whose steps are alike."""
    return lambda count: [spec] * count


def _varied(count: int) -> list[StepSpec]:
    return [StepSpec(1, 100 + n, 8 + n % 13, estimate_ms=200 + n) for n in range(count)]


def _after(earlier: Callable[[int], Iterable[int]]) -> Steps:
    """Return a kind of job whose steps depend on those that a function names."""
    return lambda count: [
        StepSpec(1, cpu=100, memory=8, estimate_ms=200, after=tuple(earlier(number)))
        for number in range(count)
    ]


def _labelled(count: int) -> list[StepSpec]:
    return [
        StepSpec(1, 100, 8, estimate_ms=200, label=f"none-{n}") for n in range(count)
    ]


KINDS: dict[str, Steps] = {
    "independent": _alike(PLAIN),
    "different from each other": _varied,
    "lasting": _alike(LASTING),
    "best-effort": _alike(StepSpec(1, 100, 8, estimate_ms=200, fills=True)),
    "gangs": _alike(StepSpec(1, 100, 8, estimate_ms=200, gang=True)),
    "spread": _alike(SPREAD),
    "kept in one rack": _alike(StepSpec(1, 100, 8, estimate_ms=200, one_rack=True)),
    "a chain": _after(lambda n: range(max(0, n - 1), n)),
    "after 30 earlier steps": _after(lambda n: range(max(0, n - 30), n)),
    "after one of ten": _after(lambda n: (n % 10,) if n >= 10 else ()),
    "repetitions": lambda count: [PLAIN],
    "without a matching label": _labelled,
    "beyond a limit": _varied,
    "lasting beyond a limit": _alike(LASTING),
    "in need of advice": _alike(PLAIN),
    "lasting beside filling": _alike(LASTING),
    "spread beside filling": _alike(SPREAD),
    "one gang": lambda count: [StepSpec(count, 100, 8, estimate_ms=200, gang=True)],
    "one step": lambda count: [StepSpec(count, 100, 8, estimate_ms=200)],
}
"""Steps of a job of a number of steps, repetitions, members or tasks, by kind."""


def _job(name: str, steps: list[StepSpec], workspace: WorkspaceName = TEAM) -> JobSpec:
    return JobSpec(
        JobId(name),
        QueueName("queue"),
        ServiceName("pool-0"),
        workspace,
        "x",
        tuple(steps),
        WALL_MS,
        stretch=1.6,
        goal_ms=1000,
    )


def large_job(kind: str, count: int) -> JobSpec:
    """Return a job of a kind and a number of steps, all of which are due."""
    job = _job("large", KINDS[kind](count))
    if kind != "repetitions":
        return job
    return structs.replace(
        job, repetitions=count, interval_ms=1, first_run_ms=WALL_MS - count
    )


def build_pools(kind: str, room: str, endpoints: int) -> SchedulerState:
    """Return the state of a scheduler that a job of a kind is given to.

    :param room: ``no`` if the endpoints have no room for any of its tasks
    :param endpoints: number of endpoints in four pools, one of which gets the job
    """
    state = build_state(endpoints, 0)
    if "limit" in kind:
        limit = Resources(cpu=1000)
        state.cfg.workspaces[TEAM] = WorkspaceSpec(TEAM, 100.0, limit)
    if "advice" in kind:
        name = QueueName("queue")
        advice = AdviceSpec(150, 20, 3000)
        queue = QueueSpec(name, "h", "/q/", ServiceName("pool-0"), advice=advice)
        state.cfg.queues[name] = queue
    if "filling" in kind:
        filling = StepSpec(endpoints, 0, 1000, estimate_ms=60_000, fills=True)
        spec = _job("filling", [filling], WorkspaceName("other"))
        step(state, ev.JobAccepted(spec))
        advance(state, 0.5)
    if room == "no":
        for endpoint in state.endpoints.values():
            free = endpoint.free()
            endpoint.used = endpoint.used.add(Resources(free.cpu, free.memory - 4))
    return state


def advance(
    state: SchedulerState, seconds: float, interval_s: float = MAX_PLANNING_INTERVAL_S
) -> None:
    """Advance the time; placements become durable and starts are carried out."""
    end = state.now + seconds
    while state.now < end:
        now = state.now + interval_s
        effects = step(state, ev.Tick(now, WALL_MS + round(now * 1000)))
        while effects:
            effect = effects.pop(0)
            if isinstance(effect, Commit):
                effects += step(state, ev.Committed(effect.number, now))
            elif isinstance(effect, StartRun):
                done = (effect.task, effect.run, effect.endpoint, ev.Outcome.DONE)
                effects += step(state, ev.StartAnswered(*done, now))
