"""Queue of orders to endpoints, in which no order waits twice.

A scheduler that gets too little processor time issues orders faster than it can send
them. What is issued again replaces the same order that still waits, so the queue holds
at most one order of a kind for each run.
"""

from __future__ import annotations

from collections import Counter, deque
from typing import NamedTuple

from primrosepitch.jobs.model import EndpointId, TaskKey
from primrosepitch.scheduling.effects import StartRun, StopRun, ThrottleRun

__all__ = ["MAX_ORDER_AGE_S", "Order", "OrderQueue"]

MAX_CONCURRENT_ORDERS_PER_ENDPOINT = 3
"""Maximum concurrent orders to one endpoint; further ones wait and reuse the
connections."""

MAX_CONCURRENT_ORDERS = 48
"""Maximum concurrent orders to all endpoints, so that commits and polls need not wait
when a thousand tasks start at once. At 5 ms per answer, that is 9,000 a second."""

MAX_ORDER_AGE_S = 1.0
"""Age beyond which an order is decided on again before it is sent: the process was
paused, or is too slow."""

Order = StartRun | StopRun | ThrottleRun


OrderKey = tuple[type, TaskKey, int]


class QueuedOrder(NamedTuple):
    """An order that waits for its turn.

    :param issued_at: boot-time clock
    """

    order: Order
    issued_at: float


class OrderQueue:
    """Orders that wait, in the order of their first issue, by endpoint in turn."""

    def __init__(self) -> None:
        """Start without orders."""
        self._waiting: dict[EndpointId, dict[OrderKey, QueuedOrder]] = {}
        self._turns: deque[EndpointId] = deque()
        self._under_way: Counter[EndpointId] = Counter()

    def __len__(self) -> int:
        """Return how many orders wait."""
        return sum(map(len, self._waiting.values()))

    def put(self, order: Order, now: float) -> Order | None:
        """Add an order, or replace the same one if it still waits.

        :returns: the start order of a run that is to be stopped, if it waited; it is
            removed
        """
        waiting = self._waiting.get(order.endpoint)
        if waiting is None:
            waiting = self._waiting[order.endpoint] = {}
            self._turns.append(order.endpoint)
        waiting[_key(order, type(order))] = QueuedOrder(order, now)
        if not isinstance(order, StopRun):
            return None
        removed = waiting.pop(_key(order, StartRun), None)
        return removed.order if removed is not None else None

    def take(self) -> QueuedOrder | None:
        """Remove the next order whose endpoint may get one; it is then under way."""
        if self._under_way.total() >= MAX_CONCURRENT_ORDERS:
            return None
        for _ in range(len(self._turns)):
            endpoint = self._turns.popleft()
            waiting = self._waiting[endpoint]
            if self._under_way[endpoint] >= MAX_CONCURRENT_ORDERS_PER_ENDPOINT:
                self._turns.append(endpoint)
                continue
            queued = waiting.pop(next(iter(waiting)))
            if waiting:
                self._turns.append(endpoint)
            else:
                del self._waiting[endpoint]
            self._under_way[endpoint] += 1
            return queued
        return None

    def finish(self, order: Order) -> None:
        """Record that an order is not under way any more."""
        self._under_way[order.endpoint] -= 1
        if not self._under_way[order.endpoint]:
            del self._under_way[order.endpoint]


def _key(order: Order, kind: type) -> OrderKey:
    return kind, order.task, order.run
