"""Logs the loss and the recovery of services that a node depends on."""

from __future__ import annotations

from primrosepitch import clock
from primrosepitch.events import DEPENDENCY_BACK, DEPENDENCY_LOST, emit

__all__ = ["DependencyMonitor"]


class DependencyMonitor:
    """Availability of one platform service, judged by this node's calls to it.

    :param name: name of the service in log lines
    """

    def __init__(self, name: str) -> None:
        """Start in the available state."""
        self._name = name
        self._failing_since = 0.0

    def record_failure(self, reason: str) -> None:
        """Record a failed call; only the first of consecutive failures is logged."""
        if not self._failing_since:
            self._failing_since = clock.monotonic()
            emit(DEPENDENCY_LOST, dependency=self._name, reason=reason)

    def record_success(self) -> None:
        """Record a successful call; log the recovery if the service was unavailable."""
        if self._failing_since:
            outage_s = round(clock.monotonic() - self._failing_since, 2)
            self._failing_since = 0.0
            emit(DEPENDENCY_BACK, dependency=self._name, after_s=outage_s)
