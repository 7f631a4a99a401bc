"""Exception classes with stable error codes and remedies."""

from __future__ import annotations

__all__ = [
    "ERRORS",
    "AppendUnconfirmedError",
    "FrameError",
    "MalformedMessageError",
    "NoLeaseError",
    "SettingsError",
    "ConfigError",
    "ConfigConflictError",
    "DeadlinePassedError",
    "EndpointFailedError",
    "EndpointUnavailableError",
    "EntryUnreachableError",
    "KeyMissingError",
    "KeyStaleError",
    "KeyUnknownError",
    "KeyWithdrawnError",
    "LogUnavailableError",
    "MessageTooLargeError",
    "StateNotLoadedError",
    "OutcomeUnknownError",
    "OverloadedError",
    "PeerUnavailableError",
    "PrimroseError",
    "QueueFullError",
    "QueueNotAllowedError",
    "QueueUnknownError",
    "RepeatRunningError",
    "StoppingError",
    "TeamLimitError",
    "VoidCommandError",
    "WitnessesMissingError",
    "register_error",
]

ERRORS: dict[str, type[PrimroseError]] = {}
"""All error classes by code."""


def register_error(cls: type[PrimroseError]) -> type[PrimroseError]:
    """Add an error class to the registry.

    :param cls: error class with a unique ``code``
    :returns: the same class
    :raises ValueError: if another class has the code
    """
    if cls.code in ERRORS:
        raise ValueError(f"error code {cls.code} is registered twice")
    ERRORS[cls.code] = cls
    return cls


class PrimroseError(Exception):
    """Base class of all errors of the project.

    :param detail: details of this occurrence, put in parentheses after the summary

    ``code`` is unique, ``summary`` describes the error, ``remedy`` names the action to
    take, and ``status`` is the HTTP status of responses that report the error.
    """

    code = "PRP-0000"
    status = 500
    summary = "internal error"
    remedy = "report it with the log lines around it"

    def __init__(self, detail: str = "") -> None:
        """Store the detail and format the message."""
        self.detail = detail
        super().__init__(self.message())

    def message(self) -> str:
        """Return code, summary, detail and remedy in one line."""
        detail = f" ({self.detail})" if self.detail else ""
        return f"{self.code} {self.summary}{detail}: {self.remedy}"


# 1xxx: process, log and configuration


@register_error
class SettingsError(PrimroseError):
    """A process setting is missing or invalid."""

    code = "PRP-1001"
    summary = "process settings are invalid"
    remedy = "correct the named setting in the settings file or the environment"


@register_error
class ConfigError(PrimroseError):
    """A configuration folder is invalid; nothing was published."""

    code = "PRP-1101"
    status = 422
    summary = "configuration is invalid"
    remedy = "correct the named file and setting, then publish again"


@register_error
class ConfigConflictError(PrimroseError):
    """Another operator published after the base offset of this configuration."""

    code = "PRP-1102"
    status = 409
    summary = "configuration was changed by another operator"
    remedy = "run 'primrosectl diff', merge the named changes and publish again"


@register_error
class LogUnavailableError(PrimroseError):
    """The platform's log does not answer."""

    code = "PRP-1201"
    status = 503
    summary = "the platform's log is unavailable"
    remedy = "try again when the platform's log is available again"


@register_error
class AppendUnconfirmedError(PrimroseError):
    """An appended record was not read back from the log before the deadline."""

    code = "PRP-1202"
    status = 504
    summary = "the record was sent, but its append was not confirmed in time"
    remedy = "run 'primrosectl show' before repeating; a repeat is harmless"


@register_error
class VoidCommandError(PrimroseError):
    """A command was void: it did not apply to the state at its offset."""

    code = "PRP-1203"
    status = 409
    summary = "the command did not fit the state in force"
    remedy = "read the named reason, run 'primrosectl show' and decide again"


@register_error
class StateNotLoadedError(PrimroseError):
    """The process has not yet loaded the state from the log or a peer."""

    code = "PRP-1204"
    status = 503
    summary = "not run: this entry has not loaded its state yet"
    remedy = "try again in a few seconds"


# 2xxx: requests and teams


@register_error
class KeyMissingError(PrimroseError):
    """The queue requires a key and the request has none."""

    code = "PRP-2101"
    status = 401
    summary = "not run: key missing"
    remedy = "send the team's key in the Primrose-Key header"


@register_error
class KeyUnknownError(PrimroseError):
    """The key belongs to no team."""

    code = "PRP-2102"
    status = 401
    summary = "not run: key unknown"
    remedy = "check the key or ask the operator for a new one"


@register_error
class KeyWithdrawnError(PrimroseError):
    """The operators have withdrawn the key."""

    code = "PRP-2103"
    status = 401
    summary = "not run: key withdrawn"
    remedy = "ask the operator for a new key"


@register_error
class QueueNotAllowedError(PrimroseError):
    """The team may not use the queue."""

    code = "PRP-2104"
    status = 403
    summary = "not run: the team may not use this queue"
    remedy = "ask the operator to add the queue to the team"


@register_error
class QueueUnknownError(PrimroseError):
    """No service has a queue of this name."""

    code = "PRP-2105"
    status = 404
    summary = "not run: no such queue"
    remedy = "check the queue's name in the path"


@register_error
class KeyStaleError(PrimroseError):
    """The entry last read the log longer ago than the team's setting allows."""

    code = "PRP-2106"
    status = 503
    summary = "not run: this entry cannot check for withdrawn keys"
    remedy = "send the request to another data centre or try again later"


@register_error
class TeamLimitError(PrimroseError):
    """No unit of the team's upper limit became free before the deadline."""

    code = "PRP-2201"
    status = 429
    summary = "not run: the team's upper limit is in use"
    remedy = "try again later or ask the operator for a higher limit"


@register_error
class QueueFullError(PrimroseError):
    """The queue is full or the expected wait exceeds the time left."""

    code = "PRP-2202"
    status = 503
    summary = "not run: the queue is full"
    remedy = "try again later or allow more time"


@register_error
class DeadlinePassedError(PrimroseError):
    """The deadline passed before the request was sent to an endpoint."""

    code = "PRP-2203"
    status = 503
    summary = "not run: the deadline passed while the request was waiting"
    remedy = "try again or allow more time"


@register_error
class EndpointUnavailableError(PrimroseError):
    """No endpoint accepted the request."""

    code = "PRP-2204"
    status = 503
    summary = "not run: no endpoint is available"
    remedy = "try again later"


@register_error
class OutcomeUnknownError(PrimroseError):
    """The request was sent, but no response to it was received."""

    code = "PRP-2301"
    status = 504
    summary = "unknown: the request may have run"
    remedy = "check its effect, then repeat it with the same request id"


@register_error
class EndpointFailedError(PrimroseError):
    """The endpoint's response cannot be forwarded to the caller."""

    code = "PRP-2302"
    status = 502
    summary = "the endpoint ran the request and its answer is unusable"
    remedy = "check the effect of the request before repeating it"


@register_error
class RepeatRunningError(PrimroseError):
    """A request with the same id is still running."""

    code = "PRP-2303"
    status = 409
    summary = "a request with this id is still running"
    remedy = "wait and repeat it with the same request id to get its answer"


@register_error
class WitnessesMissingError(PrimroseError):
    """Too few entries of the data centre can confirm that a request id is new."""

    code = "PRP-2304"
    status = 503
    summary = "not run: too few entries can check the request id"
    remedy = "try again in a few seconds"


@register_error
class StoppingError(PrimroseError):
    """The entry is stopping and accepts no new requests."""

    code = "PRP-2401"
    status = 503
    summary = "not run: this entry is stopping"
    remedy = "try again; the balancer will choose another entry"


@register_error
class MalformedMessageError(PrimroseError):
    """An HTTP message is malformed."""

    code = "PRP-2402"
    status = 400
    summary = "not run: malformed HTTP message"
    remedy = "correct the request"


@register_error
class MessageTooLargeError(PrimroseError):
    """An HTTP message exceeds the size limit."""

    code = "PRP-2403"
    status = 413
    summary = "not run: the message is too large"
    remedy = "send a smaller message"


@register_error
class OverloadedError(PrimroseError):
    """The entry has no memory left for another message or connection."""

    code = "PRP-2404"
    status = 503
    summary = "not run: this entry holds too many requests"
    remedy = "try again in a few seconds; the balancer will choose another entry"


# 3xxx: fleet


@register_error
class NoLeaseError(PrimroseError):
    """Another planner holds the lease of the data centre."""

    code = "PRP-3101"
    status = 503
    summary = "this planner does not hold the lease of its data centre"
    remedy = "ask the planner named by the lease in 'primrosectl show'"


# 4xxx: network between processes


@register_error
class FrameError(PrimroseError):
    """A frame from a peer is too long, truncated or corrupt."""

    code = "PRP-4101"
    summary = "malformed frame from a peer"
    remedy = "check that both processes run compatible versions"


@register_error
class PeerUnavailableError(PrimroseError):
    """A peer cannot be reached or did not answer in time."""

    code = "PRP-4102"
    status = 503
    summary = "a peer does not answer"
    remedy = "check that the peer runs and that its address can be reached"


@register_error
class EntryUnreachableError(PrimroseError):
    """None of the configured entries accepts a connection; nothing was sent."""

    code = "PRP-4201"
    status = 503
    summary = "no entry can be reached"
    remedy = "check --entry or PRIMROSE_ENTRY, or name an entry of another data centre"
