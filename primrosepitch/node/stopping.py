"""Stages of a graceful stop: until when a node listens, answers and stays.

Pattern: a process gets SIGTERM while callers go on sending. Balancers learn of the stop
by their health checks, callers on open connections by the answers. What the process has
taken is answered before it ends, also if its store does not answer any more.
"""

from __future__ import annotations

from math import inf
from typing import NamedTuple

__all__ = ["HealthReports", "StopDeadlines"]

ANSWER_MARGIN_S = 1.75
"""Part of the grace period in which answers are sent and nothing is waited for."""

END_MARGIN_S = 1.0
"""Part of the grace period that is reserved for the end of the process."""

LISTEN_S = 2.5
"""Maximum time for which new connections are accepted during a stop."""

REPORTS_UNTIL_REMOVED = 2
"""Number of health checks in a row that a balancer awaits before it sends new
connections to other nodes."""

CHECK_VALID_S = 2.5
"""Maximum time after a health check in which the next one is expected."""

INTERVALS_PER_CHECK = 2.0
"""Intervals between two health checks after which no balancer is there any more."""


class StopDeadlines(NamedTuple):
    """Deadlines of a graceful stop, on the boot-time clock.

    :param listen_until: new connections are accepted at most until then
    :param answer_by: what is not answered then is refused, or gets an unknown outcome
    :param end_by: connections that are still open are closed
    """

    listen_until: float
    answer_by: float
    end_by: float

    @classmethod
    def after_signal(cls, now: float, grace_s: float) -> StopDeadlines:
        """Return the deadlines of a stop that begins now.

        :param grace_s: time after which the process is killed
        """
        answer_by = now + max(0.0, grace_s - ANSWER_MARGIN_S)
        return cls(
            listen_until=min(now + LISTEN_S, answer_by),
            answer_by=answer_by,
            end_by=now + max(0.0, grace_s - END_MARGIN_S),
        )


class HealthReports:
    """Health checks that this node has answered."""

    def __init__(self) -> None:
        """Start without a check."""
        self._checked_at = -inf
        self._next_check_by = -inf
        self._unready_in_a_row = 0

    def record(self, ready: bool, now: float) -> None:
        """Record the answer to a health check.

        :param now: boot-time clock
        """
        interval_s = INTERVALS_PER_CHECK * (now - self._checked_at)
        self._next_check_by = now + min(CHECK_VALID_S, interval_s)
        self._checked_at = now
        self._unready_in_a_row = 0 if ready else self._unready_in_a_row + 1

    def awaits_removal(self, now: float) -> bool:
        """Return whether a balancer may still send new connections to this node.

        :param now: boot-time clock
        """
        told = self._unready_in_a_row >= REPORTS_UNTIL_REMOVED
        return now < self._next_check_by and not told
