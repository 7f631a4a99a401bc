"""Measures how late the scheduler's loop runs."""

from __future__ import annotations

from collections import deque

__all__ = ["TickDelay"]

WINDOW_S = 10.0
"""Time for which the largest delay is kept."""


class TickDelay:
    """Delays of ticks beyond their interval.

    :param interval_s: planned time between two ticks
    """

    def __init__(self, interval_s: float) -> None:
        """Start without a tick."""
        self._interval_s = interval_s
        self._due_at = 0.0
        # Delays that no later one exceeds: time of the tick and seconds.
        self._delays: deque[tuple[float, float]] = deque()

    def record(self, now: float) -> float:
        """Record a tick.

        :param now: boot-time clock
        :returns: the delay of this tick in seconds
        """
        late_s = max(0.0, now - self._due_at) if self._due_at else 0.0
        self._due_at = now + self._interval_s
        self._expire(now)
        while self._delays and self._delays[-1][1] <= late_s:
            self._delays.pop()
        self._delays.append((now, late_s))
        return late_s

    def largest_s(self, now: float) -> float:
        """Return the largest delay within the window, in seconds."""
        self._expire(now)
        return self._delays[0][1] if self._delays else 0.0

    def _expire(self, now: float) -> None:
        while self._delays and now - self._delays[0][0] >= WINDOW_S:
            self._delays.popleft()

    def reset(self) -> None:
        """Forget the next tick, since this node does not schedule."""
        self._due_at = 0.0
