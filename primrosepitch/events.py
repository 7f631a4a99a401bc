"""Numbered log events and the JSON log format."""

from __future__ import annotations

import json
import logging
from typing import Any, NamedTuple

from primrosepitch import clock

__all__ = ["EVENTS", "JsonFormatter", "LogEvent", "emit", "event", "setup_logging"]


class LogEvent(NamedTuple):
    """One kind of log line.

    :param number: unique number, stable between versions
    :param name: short name in snake case
    :param level: level of the standard ``logging`` module
    :param meaning: what it means, for ``docs/events.md``
    :param action: what an operator does about it
    """

    number: int
    name: str
    level: int
    meaning: str
    action: str


EVENTS: dict[int, LogEvent] = {}
"""Every log event by its number."""


def event(
    number: int, name: str, level: int, meaning: str, action: str = "none"
) -> LogEvent:
    """Register a log event.

    :raises ValueError: if the number is taken
    """
    if number in EVENTS:
        raise ValueError(f"log event {number} is registered twice")
    EVENTS[number] = LogEvent(number, name, level, meaning, action)
    return EVENTS[number]


class JsonFormatter(logging.Formatter):
    """Format a log record as one JSON object a line."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as JSON with time, level, number, event and fields."""
        line: dict[str, Any] = {
            "time": round(clock.wall(), 3),
            "level": record.levelname.lower(),
            "number": getattr(record, "number", 0),
            "event": record.getMessage(),
        }
        line.update(getattr(record, "fields", {}))
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return json.dumps(line, default=str)


def setup_logging(level: str = "INFO") -> None:
    """Send JSON log lines to standard error."""
    handler = logging.StreamHandler()
    handler.setFormatter(JsonFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)


def emit(kind: LogEvent, **fields: object) -> None:
    """Write one log line of a registered event."""
    logger = logging.getLogger("primrosepitch")
    if logger.isEnabledFor(kind.level):
        extra = {"number": kind.number, "fields": fields}
        logger.log(kind.level, kind.name, extra=extra)


# Process, log and configuration
STARTED = event(1001, "process_started", logging.INFO, "A process has started.")
STOPPING = event(1002, "process_stopping", logging.INFO, "A graceful stop has begun.")
STOPPED = event(1003, "process_stopped", logging.INFO, "A graceful stop has ended.")
RESUMED = event(
    1004,
    "process_resumed",
    logging.WARNING,
    "The process was paused for longer than a second.",
    "check the instance if it repeats",
)
LOG_DOWN = event(
    1101,
    "log_unavailable",
    logging.WARNING,
    "The platform's log does not answer; serving goes on with the state in force.",
    "check the platform; configuration changes wait",
)
LOG_BACK = event(1102, "log_available", logging.INFO, "The platform's log is back.")
RECORD_VOID = event(
    1103,
    "record_void",
    logging.INFO,
    "A record did not fit the state at its offset and has no effect.",
)
CONFIG_IN_FORCE = event(
    1104, "config_in_force", logging.INFO, "A configuration is in force here."
)
LOG_WENT_BACK = event(
    1105,
    "log_went_back",
    logging.ERROR,
    "The log ends below the offset that was already read.",
    "find out why the platform's log was truncated or restored",
)
SNAPSHOT_LOADED = event(
    1106, "snapshot_loaded", logging.INFO, "A state was taken from a snapshot."
)
RECORD_UNREADABLE = event(
    1107,
    "record_unreadable",
    logging.ERROR,
    "A record of the log could not be decoded and has no effect.",
    "find the writer; a process of a newer version may have written it",
)
SNAPSHOT_CORRUPT = event(
    1108,
    "snapshot_corrupt",
    logging.ERROR,
    "A snapshot could not be decoded and was not loaded.",
    "none if another snapshot or a peer's state is loaded; else check the log",
)
SESSION_OPENED = event(
    1109, "session_opened", logging.INFO, "The session is open in the log."
)
SESSION_LOST = event(
    1110,
    "session_lost",
    logging.ERROR,
    "The log says that the session of this running process has ended; it stops.",
    "restart the process; fence only instances that are powered off",
)
STOP_FORCED = event(
    1111,
    "stop_forced",
    logging.ERROR,
    "Work was left when the time for a graceful stop had passed.",
    "look at the requests that were still running",
)
TASK_FAILED = event(
    1112,
    "task_failed",
    logging.ERROR,
    "A part of the process failed in a way that the program does not expect.",
    "report it with the log lines around it",
)
PEER_FRAME_BAD = event(
    4101,
    "peer_frame_malformed",
    logging.WARNING,
    "A peer sent a malformed frame; its connection was closed.",
    "check that all processes run compatible versions",
)
