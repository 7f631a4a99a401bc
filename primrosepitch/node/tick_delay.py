"""Measures how late the scheduler's loop runs."""

from __future__ import annotations

from primrosepitch.node.recent_maximum import RecentMaximum

__all__ = ["TickDelay"]


class TickDelay:
    """Delays of ticks beyond their interval.

    :param interval_s: planned time between two ticks
    """

    def __init__(self, interval_s: float) -> None:
        """Start without a tick."""
        self._interval_s = interval_s
        self._due_at = 0.0
        self._delays = RecentMaximum()

    def record(self, now: float) -> float:
        """Record a tick.

        :param now: boot-time clock
        :returns: the delay of this tick in seconds
        """
        late_s = max(0.0, now - self._due_at) if self._due_at else 0.0
        self._due_at = now + self._interval_s
        self._delays.record(late_s, now)
        return late_s

    def largest_s(self, now: float) -> float:
        """Return the largest delay of the last 10 s, in seconds."""
        return self._delays.largest(now)

    def reset(self) -> None:
        """Forget the next tick, since this node does not schedule."""
        self._due_at = 0.0
