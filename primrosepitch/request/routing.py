"""Selection of the endpoint that a request is sent to."""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence
from typing import NamedTuple

from primrosepitch.events import event
from primrosepitch.fleet.counts import slots_key
from primrosepitch.ids import InstanceId, QueueId
from primrosepitch.request import connections, ejection
from primrosepitch.request.state import Call, EntryState

__all__ = [
    "Candidate",
    "POLICIES",
    "choose",
    "has_usable_endpoint",
    "policy",
    "pool_members",
]

REQUEST_ROUTED = event(
    2001, "request_routed", logging.INFO, "A request was assigned to an endpoint."
)


class Candidate(NamedTuple):
    """An endpoint that a request could be sent to.

    :param free: free slots among those that this entry holds
    """

    instance: InstanceId
    free: int


Policy = Callable[[Sequence[Candidate], int], Candidate]
POLICIES: dict[str, Policy] = {}
"""Routing policies by their name in the setting ``routing``."""


def policy(name: str) -> Callable[[Policy], Policy]:
    """Register a routing policy.

    :raises ValueError: if the name is taken
    """

    def register(function: Policy) -> Policy:
        if name in POLICIES:
            raise ValueError(f"routing policy {name} is registered twice")
        POLICIES[name] = function
        return function

    return register


@policy("least_loaded")
def _least_loaded(candidates: Sequence[Candidate], seed: int) -> Candidate:
    """Choose the endpoint with the most free slots; the seed breaks ties."""
    max_free = max(c.free for c in candidates)
    best = [c for c in candidates if c.free == max_free]
    return best[seed % len(best)]


@policy("random")
def _random(candidates: Sequence[Candidate], seed: int) -> Candidate:
    """Choose a random endpoint; this is the baseline for benchmarks."""
    return candidates[seed % len(candidates)]


def pool_members(state: EntryState, queue: QueueId) -> list[InstanceId]:
    """Return the endpoints of a queue in the own data centre."""
    if state.pool_instances is None:
        state.pool_instances = {}
        for name, inst in state.fleet.instances.items():
            if inst.dc == state.dc:
                state.pool_instances.setdefault(inst.pool, []).append(name)
    service = state.fleet.config.services.get(queue)
    return state.pool_instances.get(service.pool, []) if service else []


def has_usable_endpoint(state: EntryState, queue: QueueId) -> bool:
    """Whether the queue has an endpoint that may get requests."""
    return any(state.usable(i) for i in pool_members(state, queue))


def choose(state: EntryState, call: Call) -> InstanceId | None:
    """Choose an endpoint with a free slot and a connection for a request.

    Endpoints at which the request has failed, and endpoints that are not up, are used
    only if there is no other.
    """
    candidates = []
    for name in pool_members(state, call.queue):
        free = state.holdings.free(state.fleet, slots_key(name))
        if free <= 0 or not state.usable(name) or not ejection.admits(state, name):
            continue
        if connections.available(state, call, name):
            candidates.append(Candidate(name, free))
    untried = [
        c for c in candidates if c.instance not in call.failed_instances
    ] or candidates
    available = [c for c in untried if state.fleet.instances[c.instance].up] or untried
    if not available:
        return None
    return POLICIES[state.settings.routing](available, state.next_random()).instance
