"""Identifier types shared by every module."""

from typing import NewType

__all__ = [
    "CallId",
    "ConnId",
    "CountKey",
    "DcId",
    "InstanceId",
    "KeyId",
    "Offset",
    "PoolId",
    "QueueId",
    "RecordId",
    "RequestId",
    "SessionId",
    "TaskId",
    "TeamId",
    "WaveId",
]

CallId = NewType("CallId", int)
"""Number of a request within one entry process."""

ConnId = NewType("ConnId", int)
"""Number of an endpoint connection within one entry process."""

CountKey = NewType("CountKey", str)
"""Name of a count: ``limit/TEAM``, ``slots/INSTANCE`` or ``conns/INSTANCE``."""

DcId = NewType("DcId", str)
InstanceId = NewType("InstanceId", str)

KeyId = NewType("KeyId", str)
"""Public, non-secret prefix of a team's key."""

Offset = NewType("Offset", int)
"""Position of a record in the platform's log; -1 precedes the first record."""

PoolId = NewType("PoolId", str)

QueueId = NewType("QueueId", str)
"""Name of a queue; each service has one queue with the service's name."""

RecordId = NewType("RecordId", str)
"""Unique id of a log record; a repeated append reuses the id."""

RequestId = NewType("RequestId", str)
"""Id passed with a request from the caller to the endpoint."""

SessionId = NewType("SessionId", str)
"""Id of one run of a process; a restarted process opens a new session."""

TaskId = NewType("TaskId", str)
TeamId = NewType("TeamId", str)
WaveId = NewType("WaveId", str)
