"""Effects that the planner's reducer returns for its I/O shell to carry out."""

from __future__ import annotations

import msgspec

from primrosepitch.fleet.records import Record
from primrosepitch.ids import InstanceId, TeamId
from primrosepitch.planning.events import Size, TaskAction

__all__ = [
    "Append",
    "ChangeTask",
    "Effect",
    "Finished",
    "ListInstances",
    "ListTasks",
    "LogLine",
    "Probe",
    "RestartInstance",
    "StartTask",
    "TakeSnapshot",
]


class Effect(msgspec.Struct, frozen=True, tag=True, omit_defaults=True, kw_only=True):
    """Base class of all effects."""


class Append(Effect, frozen=True, kw_only=True):
    """Append a record to the log.

    The shell fills in the id and time and retries an append that was lost. Records
    are appended in the order of their effects.
    """

    record: Record


class ListInstances(Effect, frozen=True, kw_only=True):
    """Read the list of instances from the platform."""


class Probe(Effect, frozen=True, kw_only=True):
    """Probe an address by opening a TCP connection and closing it.

    :param target: name under which the result is reported
    :param address: ``IP:port``
    """

    target: str
    address: str


class RestartInstance(Effect, frozen=True, kw_only=True):
    """Request a reboot or stop of an instance from the platform.

    :param stop: whether to stop the instance instead of rebooting it
    :param not_after: boot-time clock after which the request must not be sent, since
        another planner may hold the lease by then
    """

    instance: InstanceId
    stop: bool
    not_after: float


class ListTasks(Effect, frozen=True, kw_only=True):
    """Read the platform's report on the tasks of the data centre."""


class StartTask(Effect, frozen=True, kw_only=True):
    """Start a task on a worker.

    :param task: name of this attempt; the platform accepts each name only once
    :param size: declared size, or the size observed in an earlier attempt
    :param lease_s: seconds after which the platform ends the task unless its lease is
        renewed
    :param not_after: boot-time clock after which the request must not be sent
    """

    task: str
    instance: InstanceId
    team: TeamId
    size: Size
    priority: int
    lease_s: float
    not_after: float


class ChangeTask(Effect, frozen=True, kw_only=True):
    """Renew, checkpoint, throttle or stop a running task."""

    task: str
    action: TaskAction


class TakeSnapshot(Effect, frozen=True, kw_only=True):
    """Append a snapshot of the folded state to the log."""


class LogLine(Effect, frozen=True, kw_only=True):
    """Write a log line for a registered event number."""

    number: int
    fields: dict[str, object]


class Finished(Effect, frozen=True, kw_only=True):
    """Report that the process may exit.

    :param close: whether all work of the session has ended, so that closing it can
        return its units at once
    """

    close: bool
