"""Numbered log events and the JSON log format."""

from __future__ import annotations

import json
import logging
from typing import Any, NamedTuple

from primrosepitch import clock

__all__ = ["EVENTS", "JsonFormatter", "LogEvent", "emit", "event", "setup_logging"]


class LogEvent(NamedTuple):
    """Definition of one log event.

    :param number: unique number, stable across versions
    :param name: unique name in snake case
    :param level: level of the standard ``logging`` module
    :param meaning: description for ``docs/events.md``
    :param action: what an operator should do, for ``docs/events.md``
    :param essential: whether a rate limit must not drop it, since it tells when a
        process or a term begins or ends
    """

    number: int
    name: str
    level: int
    meaning: str
    action: str
    essential: bool = False


EVENTS: dict[int, LogEvent] = {}
"""All registered log events by number."""


def event(
    number: int,
    name: str,
    level: int,
    meaning: str,
    action: str = "none",
    essential: bool = False,
) -> LogEvent:
    """Register a log event.

    :raises ValueError: if the number is already registered
    """
    if number in EVENTS:
        raise ValueError(f"log event {number} is registered twice")
    EVENTS[number] = LogEvent(number, name, level, meaning, action, essential)
    return EVENTS[number]


class JsonFormatter(logging.Formatter):
    """Format each log record as one line of JSON."""

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
    """Configure the root logger to write JSON lines to standard error."""
    handler = logging.StreamHandler()
    handler.setFormatter(JsonFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)


def emit(kind: LogEvent, **fields: object) -> None:
    """Log a registered event with the given fields."""
    logger = logging.getLogger("primrosepitch")
    if logger.isEnabledFor(kind.level):
        extra = {
            "number": kind.number,
            "fields": fields,
            "essential": kind.essential,
        }
        logger.log(kind.level, kind.name, extra=extra)


# Process, log and configuration
PROCESS_STARTED = event(
    1001,
    "process_started",
    logging.INFO,
    "A process has started.",
    essential=True,
)
PROCESS_STOPPING = event(
    1002,
    "process_stopping",
    logging.INFO,
    "A graceful stop has begun.",
    essential=True,
)
PROCESS_STOPPED = event(
    1003,
    "process_stopped",
    logging.INFO,
    "A graceful stop has ended; a node's line says how long it took, how many requests "
    "arrived during it, and how many of all were not answered.",
    essential=True,
)
REQUEST_WHILE_STOPPING = event(
    1005,
    "request_while_stopping",
    logging.INFO,
    "A complete request was received during a graceful stop; the line says how long "
    "after its begin, and whether the connection is new, kept alive, or had sent the "
    "request ahead of an earlier answer.",
)
REQUEST_UNANSWERED = event(
    1006,
    "request_unanswered",
    logging.ERROR,
    "A graceful stop closed the connection of a request that was being received or "
    "handled, or whose answer was not sent; the line has its stage.",
    "report it with the log lines of this request and of this stop",
)
PROCESS_RESUMED = event(
    1004,
    "process_resumed",
    logging.WARNING,
    "The process was paused for longer than a second.",
    "check the instance if this recurs",
)
LOG_UNAVAILABLE = event(
    1101,
    "log_unavailable",
    logging.WARNING,
    "The platform's log does not answer; serving continues with the current state.",
    "check the platform; configuration changes have to wait",
)
LOG_AVAILABLE = event(
    1102, "log_available", logging.INFO, "The platform's log answers again."
)
RECORD_VOID = event(
    1103,
    "record_void",
    logging.INFO,
    "A record was void: it did not apply to the state at its offset.",
)
CONFIG_IN_FORCE = event(
    1104, "config_in_force", logging.INFO, "A configuration came into force here."
)
LOG_WENT_BACK = event(
    1105,
    "log_went_back",
    logging.ERROR,
    "The log ends before the offset that this process has already read.",
    "find out why the platform's log was truncated or restored",
)
SNAPSHOT_LOADED = event(
    1106, "snapshot_loaded", logging.INFO, "The state was loaded from a snapshot."
)
RECORD_UNREADABLE = event(
    1107,
    "record_unreadable",
    logging.ERROR,
    "A record of the log could not be decoded and has no effect.",
    "find the process that wrote it; it may run a newer version",
)
SNAPSHOT_CORRUPT = event(
    1108,
    "snapshot_corrupt",
    logging.ERROR,
    "A snapshot could not be decoded and was not loaded.",
    "none if another snapshot or a peer's state is loaded, otherwise check the log",
)
SESSION_OPENED = event(
    1109, "session_opened", logging.INFO, "The session was opened in the log."
)
SESSION_LOST = event(
    1110,
    "session_lost",
    logging.ERROR,
    "The log records the end of this process's session; the process stops.",
    "restart the process; fence only instances that are powered off",
)
STOP_FORCED = event(
    1111,
    "stop_forced",
    logging.ERROR,
    "A graceful stop timed out with work unfinished.",
    "check the requests that were still running",
)
TASK_FAILED = event(
    1112,
    "task_failed",
    logging.ERROR,
    "A task of the process failed with an unexpected exception; the line names its "
    "part, which is restarted, and the process goes on.",
    "report it with the log lines around it",
)
SETTINGS_READ_AGAIN = event(
    1114,
    "settings_read_again",
    logging.INFO,
    "The settings were read again because the platform reported a change.",
    "restart the process to apply the new values if the line has `changed` true",
)
LOG_LINES_DROPPED = event(
    1113,
    "log_lines_dropped",
    logging.WARNING,
    "Log lines were dropped because they exceeded the rate limit or standard output "
    "was read too slowly; the line counts them by event.",
    "read standard output faster; the log lacks decisions of that second",
)
PEER_FRAME_MALFORMED = event(
    4101,
    "peer_frame_malformed",
    logging.WARNING,
    "A peer sent a malformed frame; its connection was closed.",
    "check that all processes run compatible versions",
)
CLIENTS_CUT_OFF = event(
    4102,
    "clients_cut_off",
    logging.WARNING,
    "Clients exceeded the limits of the process: requests were refused or connections "
    "closed. The line has the counts by reason since the last one.",
    "find the client at last_peer; see primrose_clients_cut_off by reason",
)


# Jobs and their execution
JOB_ACCEPTED = event(5001, "job_accepted", logging.INFO, "A job was stored.")
JOB_REFUSED = event(
    5002,
    "job_refused",
    logging.INFO,
    "A job was refused and will not run.",
    "see the reason; callers retry after the time in Retry-After",
)
JOB_OUTCOME_UNKNOWN = event(
    5003,
    "job_outcome_unknown",
    logging.WARNING,
    "The store did not confirm whether a job was stored; the caller got an answer "
    "that says so.",
    "check the store; a retry with the same id is safe and resolves the outcome",
)
DENIAL_UNSURE = event(
    5007,
    "denial_unsure",
    logging.WARNING,
    "A queue or key is unknown to this node, but its configuration may be out of date; "
    "the caller was answered with 503 instead of a refusal.",
    "see operators_read and primrose_operators_age of this node",
)
JOB_CANCELLED = event(
    5004, "job_cancelled", logging.INFO, "The cancellation of a job was stored."
)
JOB_ENDED = event(5005, "job_ended", logging.INFO, "A job has ended.")
JOB_UNPLACEABLE = event(
    5006,
    "job_unplaceable",
    logging.WARNING,
    "A task is larger than any endpoint of its pool, or needs a label that none has.",
    "add instances of that size, or ask the caller to cancel the job",
)
RUN_STARTING = event(
    5011, "run_starting", logging.INFO, "A task was assigned to an endpoint."
)
RUN_START_ANSWERED = event(
    5012,
    "run_start_answered",
    logging.INFO,
    "An endpoint did not clearly accept a start.",
)
RUN_ENDED = event(
    5013, "run_ended", logging.INFO, "An endpoint reported the end of a run."
)
RUN_LOST = event(
    5014,
    "run_lost",
    logging.WARNING,
    "A run can no longer be active; its task is queued again.",
)
CRASH_COUNTED = event(
    5019,
    "crash_counted",
    logging.WARNING,
    "An endpoint has crashed under a run of a task; the line has the proof, the "
    "crashes counted and suspected so far, and the number of other runs that it had.",
    "check the task if it is named repeatedly, or else the endpoint's instance",
)
CRASH_REFUTED = event(
    5020,
    "crash_refuted",
    logging.INFO,
    "A run was lost with its endpoint, which had not crashed or had done so in an "
    "outage; it is not put down to its task.",
)
TASK_GIVEN_UP = event(
    5021,
    "task_given_up",
    logging.ERROR,
    "Endpoints have crashed under several runs of a task, which is started no more; "
    "its job fails.",
    "correct what the task runs, and submit the job again",
)
RUN_STOPPING = event(5015, "run_stopping", logging.INFO, "A run is being stopped.")
RUN_ORPHANED = event(
    5016,
    "run_orphaned",
    logging.WARNING,
    "An endpoint runs a task that the ledger does not place there; the run is stopped.",
)
RUN_PACED = event(
    5017, "run_paced", logging.INFO, "The rate of a best-effort task was changed."
)
LASTING_TASKS_WAITING = event(
    5018,
    "lasting_tasks_waiting",
    logging.WARNING,
    "Lasting tasks of a step have waited for over 2 s; written every 2 s, for the "
    "longest waits: what stopped the planning pass, and the endpoints of the pool by "
    "the first reason that excludes each.",
    "see 'A lasting task does not run' in OPERATIONS.md",
)
BEST_EFFORT_TASKS_WAITING = event(
    5027,
    "best_effort_tasks_waiting",
    logging.INFO,
    "Best-effort tasks of a step have waited for over 2 s; written every 2 s, for the "
    "longest waits, with the fields of lasting_tasks_waiting.",
    "see 'A lasting task does not run' in OPERATIONS.md",
)
TERM_TAKEN = event(5101, "term_taken", logging.INFO, "This node became the scheduler.")
TERM_LOST = event(
    5102, "term_lost", logging.WARNING, "This node is no longer the scheduler."
)
TERM_CLAIMED = event(
    5103,
    "term_claimed",
    logging.INFO,
    "The current term was not renewed; the node claims a new one.",
)
TERM_HANDED_OVER = event(
    5105,
    "term_handed_over",
    logging.INFO,
    "The term is released, since a larger node can schedule.",
)
TERM_RELEASING = event(
    5106,
    "term_releasing",
    logging.INFO,
    "The scheduler ends its term for another node; the line has what the release waits "
    "for: the commit and the orders to instances that are under way.",
    essential=True,
)
TERM_RELEASED = event(
    5107,
    "term_released",
    logging.INFO,
    "The release of the term is stored; another node claims the next one at once. The "
    "line has how long each part of the release took.",
    essential=True,
)
TERM_NOT_RELEASED = event(
    5108,
    "term_not_released",
    logging.WARNING,
    "The release of the term was not stored; another node claims the next one when it "
    "has received no heartbeat for some time.",
    "check the store; without a fault of the store, report it with the log lines",
)
SCHEDULER_LATE = event(
    5104,
    "scheduler_late",
    logging.WARNING,
    "The loop of the scheduler was blocked or paused; heartbeats and answers waited.",
)
ADVISORY_FAILED = event(
    5110,
    "advisory_failed",
    logging.ERROR,
    "An unexpected exception in an advisory part of the scheduler; its record or log "
    "line is left out, and the term goes on.",
    "report it with the line",
)
SCHEDULER_HELD = event(
    5109,
    "scheduler_held",
    logging.WARNING,
    "One event kept the scheduler's loop for long; the line has the event, the time, "
    "the open jobs and the tasks that wait.",
    "compare the open jobs and waiting tasks with docs/CAPACITY.md",
)
ENDPOINT_JOINED = event(
    5201, "endpoint_joined", logging.INFO, "An endpoint was seen for the first time."
)
ENDPOINT_SILENT = event(
    5202,
    "endpoint_silent",
    logging.WARNING,
    "An endpoint does not answer; its runs count as lost when their leases expire.",
    "check the instance and the links to it",
)
ENDPOINT_BACK = event(5203, "endpoint_back", logging.INFO, "An endpoint answers again.")
ENDPOINT_RESTARTED = event(
    5204, "endpoint_restarted", logging.WARNING, "An endpoint has restarted."
)
ENDPOINT_DRAINING = event(
    5205, "endpoint_draining", logging.INFO, "An endpoint is leaving."
)
ENDPOINT_GONE = event(5206, "endpoint_gone", logging.INFO, "An endpoint has left.")
ENDPOINT_EJECTED = event(
    5207,
    "endpoint_ejected",
    logging.WARNING,
    "An endpoint was ejected after too many failures.",
)
ENDPOINT_REPORT_UNREADABLE = event(
    5208,
    "endpoint_report_unreadable",
    logging.WARNING,
    "An endpoint's report in the platform's store could not be decoded; it is ignored.",
    "find the process that wrote that key",
)
WAVE_SEEN = event(5301, "wave_seen", logging.INFO, "A maintenance wave was requested.")
WAVE_COMPLETED = event(
    5302, "wave_completed", logging.INFO, "All instances of a wave were maintained."
)
UPKEEP_ANSWERED = event(
    5303,
    "upkeep_answered",
    logging.INFO,
    "The platform answered an order to maintain an instance.",
)
EVACUATION_CHANGED = event(
    5351,
    "evacuation_changed",
    logging.INFO,
    "An operator has requested or cancelled the evacuation of a data centre; the line "
    "has its endpoints, its instances and the tasks there, as far as this node knows.",
    "check the name if the scheduler still counts no endpoints in evacuation_status",
)
EVACUATION_STATUS = event(
    5352,
    "evacuation_status",
    logging.INFO,
    "A data centre is evacuated; the line has what is left there, with the tasks by "
    "phase, and comes every 5 s.",
    "starting tasks for longer than 10 s are a fault: report it with the log lines",
)
EVACUATING = event(
    5304,
    "evacuating",
    logging.INFO,
    "An endpoint is being evacuated for a planned stop.",
)
INSTANCE_MOVING = event(
    5306, "instance_moving", logging.INFO, "An instance is being moved to another pool."
)
POOLS_REPORTED = event(
    5307,
    "pools",
    logging.INFO,
    "Demand and supply of all pools, every second: for each pool the endpoints needed, "
    "usable, arriving, known, idle and being evacuated, and the number of instances "
    "switched off.",
)
TURN_PREDICTED = event(
    5320,
    "turn_predicted",
    logging.INFO,
    "Instances are lent to a pool ahead of the turn that is expected to begin there.",
)
TURN_JUDGED = event(
    5321,
    "turn_judged",
    logging.INFO,
    "Outcome of a prediction that instances were lent for: right, early, late or "
    "missed, and the difference from the expected begin.",
    "if most are missed, the turns don't recur: see OPERATIONS.md",
)
MOVE_ANSWERED = event(
    5305,
    "move_answered",
    logging.INFO,
    "The platform answered an order to move an instance.",
)
STORE_UNAVAILABLE = event(
    5401,
    "store_unavailable",
    logging.WARNING,
    "The platform's store does not answer this node.",
    "check the platform; this node accepts and starts nothing new",
)
STORE_AVAILABLE = event(
    5402, "store_available", logging.INFO, "The store answers again."
)
MANIFEST_IN_FORCE = event(
    5403, "manifest_in_force", logging.INFO, "A configuration came into force here."
)
MANIFEST_UNREADABLE = event(
    5404,
    "manifest_unreadable",
    logging.ERROR,
    "A configuration could not be decoded and is ignored.",
    "correct the field that the line names",
)
LEDGER_RECORD_UNREADABLE = event(
    5405,
    "ledger_record_unreadable",
    logging.ERROR,
    "A record of the ledger could not be decoded and is ignored.",
    "find the process that wrote it; it may run a newer version",
)
MESSAGE_MALFORMED = event(
    5414,
    "message_malformed",
    logging.WARNING,
    "A message of the named kind and sender could not be decoded and is ignored.",
    "find the process that sent it; it may run a newer version",
)
RELAY_ON = event(
    5406,
    "relay_on",
    logging.WARNING,
    "The store refuses this node's calls; they are relayed through other nodes.",
    "check the path from this instance to the store",
)
RELAY_OFF = event(5407, "relay_off", logging.INFO, "The store serves this node again.")
ENDPOINT_COLD = event(
    5251,
    "endpoint_cold",
    logging.INFO,
    "An endpoint reports that it is slow after its start; its share of work grows for "
    "the time given.",
)
ENDPOINT_WARM = event(
    5252,
    "endpoint_warm",
    logging.INFO,
    "An endpoint that was slow after its start gets its full share of work.",
)
ENDPOINT_STALLED = event(
    5209,
    "endpoint_stalled",
    logging.WARNING,
    "An endpoint answers, but its tasks make no progress; it gets no new tasks for a "
    "while, and its tasks are restarted elsewhere.",
    "check the instance if it is named repeatedly",
)
ENDPOINT_SLOW = event(
    5220,
    "endpoint_slow",
    logging.WARNING,
    "Several runs show that an endpoint takes several times as long as the others of "
    "its pool; it gets one task at a time, and only if no other has capacity.",
    "check the instance if it is named repeatedly",
)
ENDPOINT_SPEED_NORMAL = event(
    5221,
    "endpoint_speed_normal",
    logging.INFO,
    "An endpoint that was slow runs tasks at the usual speed again, or what was known "
    "of it is too old.",
)
RUN_WITHDRAWN = event(
    5025,
    "run_withdrawn",
    logging.WARNING,
    "A start order waited for too long and was not sent; the task is placed again.",
    "the scheduler gets too little processor time if this recurs, see scheduler_late",
)
LEDGER_INCOMPLETE = event(
    5024,
    "ledger_incomplete",
    logging.ERROR,
    "A node that takes the term finds runs of jobs that its copy of the ledger lacks, "
    "and reads the whole ledger again.",
    "report it with the log lines around it; the node may have denied these jobs",
)
RECORD_REJECTED = event(
    5023,
    "record_rejected",
    logging.ERROR,
    "The store refuses a record as invalid, and it is set aside. A job whose runs can't"
    " be stored is stopped and fails; everything else goes on.",
    "compare the record's size with record_bytes, and report it with its log lines",
)
FIRST_ATTEMPTS_DROPPED = event(
    5026,
    "first_attempts_dropped",
    logging.WARNING,
    "Refusals were not recorded, since there were too many or the store did not take "
    "them; they stand, but these callers' time counts anew when they come back.",
    "compare the refusals of this node with 200 a second, and check the store",
)
CHECKPOINTS_NOT_STORED = event(
    5022,
    "checkpoints_not_stored",
    logging.WARNING,
    "Checkpoints of running tasks are too large for a record of the store; a successor "
    "may start these tasks from their begin.",
    "reduce what the tasks save, or raise record_bytes",
)
ENDPOINT_ENDS_CUT = event(
    5210,
    "endpoint_ends_cut",
    logging.INFO,
    "An endpoint has more ends of runs than it lists at a time; runs without a listed "
    "end keep their state until the rest is listed.",
)
DEPENDENCY_LOST = event(
    5408,
    "dependency_lost",
    logging.WARNING,
    "This node cannot read the operators' records, the endpoints' reports, the list of "
    "instances or advice; it continues with the last values.",
    "check that service of the platform and the path to it",
)
OPERATORS_READ = event(
    5410,
    "operators_read",
    logging.INFO,
    "The operators' records were read from the store or another node; the line has "
    "their number, how many changed, the bytes received and the time taken.",
)
OPERATOR_RECORD_UNKNOWN = event(
    5451,
    "operator_record_unknown",
    logging.WARNING,
    "An operator has written or removed a record under a key that has no meaning here; "
    "it has no effect.",
    "correct the key, or install a version that knows it on all nodes",
)
PACKED_RECORDS_UNREADABLE = event(
    5413,
    "packed_records_unreadable",
    logging.WARNING,
    "Another node sent operators' records that cannot be unpacked; the next node is "
    "tried.",
    "check that all nodes run compatible versions",
)
RELAY_CALL_FAILED = event(
    5411,
    "relay_call_failed",
    logging.INFO,
    "Another node could not relay a call to the store; the next node is tried.",
    "check the links between both nodes if the same node is named often",
)
RELAY_CALL_CUT = event(
    5415,
    "relay_call_cut",
    logging.WARNING,
    "A graceful stop ended a call to the store that this node made for another one; "
    "that node does not learn whether the call took effect.",
    "report it with the log lines of this stop",
)
RELAY_PROBE_FAILED = event(
    5412,
    "relay_probe_failed",
    logging.INFO,
    "The store still does not answer this node directly.",
)
DEPENDENCY_BACK = event(
    5409,
    "dependency_back",
    logging.INFO,
    "A dependency can be read again by this node.",
)
