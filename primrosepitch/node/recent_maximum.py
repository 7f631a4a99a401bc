"""Keeps the largest of the values that were measured lately."""

from __future__ import annotations

from collections import deque

__all__ = ["RecentMaximum"]

WINDOW_S = 10.0
"""Time for which a value counts."""


class RecentMaximum:
    """Largest value of the last ``WINDOW_S`` seconds."""

    def __init__(self) -> None:
        """Start without a value."""
        # Values that no later one exceeds, each with the time of its measurement.
        self._values: deque[tuple[float, float]] = deque()

    def record(self, value: float, now: float) -> None:
        """Record a value.

        :param now: boot-time clock
        """
        self._expire(now)
        while self._values and self._values[-1][1] <= value:
            self._values.pop()
        self._values.append((now, value))

    def largest(self, now: float) -> float:
        """Return the largest value within the window; 0 without any.

        :param now: boot-time clock
        """
        self._expire(now)
        return self._values[0][1] if self._values else 0.0

    def _expire(self, now: float) -> None:
        while self._values and now - self._values[0][0] >= WINDOW_S:
            self._values.popleft()
