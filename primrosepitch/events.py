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
PROCESS_STARTED = event(1001, "process_started", logging.INFO, "A process has started.")
PROCESS_STOPPING = event(
    1002, "process_stopping", logging.INFO, "A graceful stop has begun."
)
PROCESS_STOPPED = event(
    1003, "process_stopped", logging.INFO, "A graceful stop has ended."
)
PROCESS_RESUMED = event(
    1004,
    "process_resumed",
    logging.WARNING,
    "The process was paused for longer than a second.",
    "check the instance if it repeats",
)
LOG_UNAVAILABLE = event(
    1101,
    "log_unavailable",
    logging.WARNING,
    "The platform's log does not answer; serving goes on with the state in force.",
    "check the platform; configuration changes wait",
)
LOG_AVAILABLE = event(
    1102, "log_available", logging.INFO, "The platform's log is back."
)
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
SETTINGS_READ_AGAIN = event(
    1114,
    "settings_read_again",
    logging.INFO,
    "The platform has said that the settings changed.",
    "restart the process if the line says changed and the new values are needed",
)
LOG_LINES_DROPPED = event(
    1113,
    "log_lines_dropped",
    logging.WARNING,
    "Lines beyond the rate, or for a reader that is too slow, counted by event.",
    "read standard output faster; decisions of that second are not in the log",
)
PEER_FRAME_MALFORMED = event(
    4101,
    "peer_frame_malformed",
    logging.WARNING,
    "A peer sent a malformed frame; its connection was closed.",
    "check that all processes run compatible versions",
)


# Jobs and their execution
JOB_ACCEPTED = event(5001, "job_accepted", logging.INFO, "A job is stored.")
JOB_REFUSED = event(
    5002,
    "job_refused",
    logging.INFO,
    "A job was not accepted and never runs.",
    "see the reason; callers come back after Retry-After",
)
JOB_OUTCOME_UNKNOWN = event(
    5003,
    "job_outcome_unknown",
    logging.WARNING,
    "The store did not say whether a job is stored; the caller was told so.",
    "check the store; a repeat with the same id settles it",
)
DENIAL_UNSURE = event(
    5007,
    "denial_unsure",
    logging.WARNING,
    "A queue or key is unknown here, but the configuration may be out of date; the "
    "caller was told to come back.",
    "see operators_read and primrose_operators_age of this node",
)
JOB_CANCELLED = event(5004, "job_cancelled", logging.INFO, "A cancellation is stored.")
JOB_ENDED = event(5005, "job_ended", logging.INFO, "A job has ended.")
JOB_UNPLACEABLE = event(
    5006,
    "job_unplaceable",
    logging.WARNING,
    "A task is larger than any endpoint of its pool, or needs a label none has.",
    "add instances of that size, or ask the caller to cancel the job",
)
RUN_STARTING = event(5011, "run_starting", logging.INFO, "A task got an endpoint.")
RUN_START_ANSWERED = event(
    5012, "run_start_answered", logging.INFO, "A start was not plainly accepted."
)
RUN_ENDED = event(5013, "run_ended", logging.INFO, "An endpoint listed an end.")
RUN_LOST = event(
    5014,
    "run_lost",
    logging.WARNING,
    "A run can't be going on any more; the task waits again.",
)
RUN_STOPPING = event(5015, "run_stopping", logging.INFO, "A run is being stopped.")
RUN_ORPHANED = event(
    5016,
    "run_orphaned",
    logging.WARNING,
    "An endpoint runs what the ledger does not place there; it is stopped.",
)
RUN_PACED = event(5017, "run_paced", logging.INFO, "A filling task's pace was changed.")
TERM_TAKEN = event(5101, "term_taken", logging.INFO, "This node schedules now.")
TERM_LOST = event(
    5102, "term_lost", logging.WARNING, "This node does not schedule any more."
)
TERM_CLAIMED = event(
    5103, "term_claimed", logging.INFO, "No renewal was seen; the node claims a term."
)
ENDPOINT_JOINED = event(
    5201, "endpoint_joined", logging.INFO, "An endpoint was seen for the first time."
)
ENDPOINT_SILENT = event(
    5202,
    "endpoint_silent",
    logging.WARNING,
    "An endpoint does not answer; its runs are given up when their leases lapse.",
    "check the instance and the links to it",
)
ENDPOINT_BACK = event(5203, "endpoint_back", logging.INFO, "It answers again.")
ENDPOINT_RESTARTED = event(
    5204, "endpoint_restarted", logging.WARNING, "An endpoint has a new life."
)
ENDPOINT_DRAINING = event(
    5205, "endpoint_draining", logging.INFO, "An endpoint is leaving."
)
ENDPOINT_GONE = event(5206, "endpoint_gone", logging.INFO, "An endpoint has left.")
ENDPOINT_EJECTED = event(
    5207, "endpoint_ejected", logging.WARNING, "An endpoint failed too much."
)
ENDPOINT_REPORT_UNREADABLE = event(
    5208,
    "endpoint_report_unreadable",
    logging.WARNING,
    "A report in the platform's store could not be read and names no endpoint.",
    "find the writer of that key",
)
WAVE_SEEN = event(5301, "wave_seen", logging.INFO, "A maintenance wave is asked for.")
WAVE_COMPLETED = event(
    5302, "wave_completed", logging.INFO, "All instances of a wave were maintained."
)
UPKEEP_ANSWERED = event(
    5303, "upkeep_answered", logging.INFO, "Maintenance of an instance was ordered."
)
EVACUATING = event(
    5304, "evacuating", logging.INFO, "An endpoint is emptied for a planned stop."
)
INSTANCE_MOVING = event(
    5306, "instance_moving", logging.INFO, "An instance is to serve another pool."
)
POOLS_REPORTED = event(
    5307,
    "pools",
    logging.INFO,
    "Need and supply of all pools, every second: of each the endpoints needed, usable, "
    "on their way, known, idle and being emptied; and what is switched off.",
)
MOVE_ANSWERED = event(
    5305, "move_answered", logging.INFO, "A move of an instance was ordered."
)
STORE_UNAVAILABLE = event(
    5401,
    "store_unavailable",
    logging.WARNING,
    "The platform's store does not answer this node.",
    "check the platform; nothing new is accepted or started here",
)
STORE_AVAILABLE = event(
    5402, "store_available", logging.INFO, "The store answers again."
)
MANIFEST_IN_FORCE = event(
    5403, "manifest_in_force", logging.INFO, "A configuration is in force here."
)
MANIFEST_UNREADABLE = event(
    5404,
    "manifest_unreadable",
    logging.ERROR,
    "A configuration could not be read and changes nothing.",
    "correct the field that the line names",
)
LEDGER_RECORD_UNREADABLE = event(
    5405,
    "ledger_record_unreadable",
    logging.ERROR,
    "A record of the ledger could not be read and changes nothing.",
    "find the writer; a newer version may have written it",
)
RELAY_ON = event(
    5406,
    "relay_on",
    logging.WARNING,
    "The store turns this node away; its calls go through other nodes.",
    "check the path from this instance to the store",
)
RELAY_OFF = event(5407, "relay_off", logging.INFO, "The store serves this node again.")
ENDPOINT_STALLED = event(
    5209,
    "endpoint_stalled",
    logging.WARNING,
    "Nothing moves on an endpoint that answers; it gets nothing new for a while, and "
    "its tasks are started anew elsewhere.",
    "look at the instance if it is named again and again",
)
DEPENDENCY_LOST = event(
    5408,
    "dependency_lost",
    logging.WARNING,
    "The operators' records, the endpoints' reports, the list of instances or advice "
    "can't be read by this node; what it knew goes on to hold.",
    "check that service of the platform and the path to it",
)
OPERATORS_READ = event(
    5410,
    "operators_read",
    logging.INFO,
    "The operators' records were read from the store or another node: how many, how "
    "many of them changed, the bytes received and the time it took.",
)
PACKED_RECORDS_UNREADABLE = event(
    5413,
    "packed_records_unreadable",
    logging.WARNING,
    "Another node gave operators' records that can't be unpacked; the next is asked.",
    "check that all nodes run compatible versions",
)
RELAY_CALL_FAILED = event(
    5411,
    "relay_call_failed",
    logging.INFO,
    "Another node could not make a call to the store for this one; the next is asked.",
    "check the links between both nodes if one of them is named often",
)
RELAY_PROBE_FAILED = event(
    5412,
    "relay_probe_failed",
    logging.INFO,
    "The store still does not serve this node.",
)
DEPENDENCY_BACK = event(
    5409, "dependency_back", logging.INFO, "It can be read again by this node."
)
