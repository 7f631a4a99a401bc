"""Limits the starts under way to what was answered lately.

A scheduler with too little processor time decides on starts faster than it can order
them. Without a limit, orders wait until they are too old to be sent, and their tasks
are placed again, which makes the queue longer still. Waiting tasks cost nothing, and
are placed by their rank when there is room.
"""

from __future__ import annotations

import msgspec

__all__ = ["OrderWindow"]

WINDOW_S = 1.0
"""Time over which answers are counted; orders that wait for longer are not sent."""


class OrderWindow(msgspec.Struct, eq=False):
    """Answers to start orders in this period and the one before.

    :param begun_at: boot-time clock at which this period began
    :param answers: answers in this period
    :param earlier_answers: answers in the period before
    """

    begun_at: float = 0.0
    answers: int = 0
    earlier_answers: int = 0

    def record_answer(self, now: float) -> None:
        """Count an answer."""
        self._advance(now)
        self.answers += 1

    def limit(self, now: float, least: int) -> int:
        """Return how many starts may be under way, at least ``least``."""
        self._advance(now)
        return max(least, self.answers, self.earlier_answers)

    def _advance(self, now: float) -> None:
        periods = (now - self.begun_at) / WINDOW_S
        if periods >= 1.0:
            self.earlier_answers = self.answers if periods < 2.0 else 0
            self.answers = 0
            self.begun_at = now
