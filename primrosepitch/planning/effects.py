"""Effects that the reducer of a planner asks its shell to carry out."""

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
    """Base of all effects."""


class Append(Effect, frozen=True, kw_only=True):
    """Append a record to the log; the shell fills id and time and repeats lost ones.

    Records are appended in the order of their effects.
    """

    record: Record


class ListInstances(Effect, frozen=True, kw_only=True):
    """Read the platform's list."""


class Probe(Effect, frozen=True, kw_only=True):
    """Try a TCP connection and close it.

    :param target: name for the answer
    :param address: ``IP:port``
    """

    target: str
    address: str


class RestartInstance(Effect, frozen=True, kw_only=True):
    """Ask the platform to reboot or stop an instance.

    :param stop: whether it is to stay away
    :param not_after: boot-time clock after which nothing may be sent, since another
        planner may hold the lease then
    """

    instance: InstanceId
    stop: bool
    not_after: float


class ListTasks(Effect, frozen=True, kw_only=True):
    """Read the platform's report of the tasks of the data centre."""


class StartTask(Effect, frozen=True, kw_only=True):
    """Start a task on a worker.

    :param task: name of this attempt, since the platform takes a name once
    :param size: declared size, or the observed one of an earlier attempt
    :param lease_s: seconds after which it ends unless it is renewed
    :param not_after: boot-time clock after which nothing may be sent
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
    """Append a snapshot of the folded state."""


class LogLine(Effect, frozen=True, kw_only=True):
    """Write a numbered log line."""

    number: int
    fields: dict[str, object]


class Finished(Effect, frozen=True, kw_only=True):
    """The process may exit.

    :param close: whether all work of the session has ended, so that its units can
        return at once
    """

    close: bool
