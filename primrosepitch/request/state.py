"""Mutable state of one entry process; only its reducer changes it."""

from __future__ import annotations

import enum
from collections import OrderedDict, deque
from dataclasses import dataclass, field

from primrosepitch.config.model import FleetSettings
from primrosepitch.events import LogEvent
from primrosepitch.fleet.state import FleetState, Phase, SessionState
from primrosepitch.ids import (
    CallId,
    ConnId,
    DcId,
    InstanceId,
    KeyId,
    PoolId,
    QueueId,
    RequestId,
    SessionId,
    TeamId,
)
from primrosepitch.request.effects import Effect, LogLine
from primrosepitch.request.events import ClaimVerdict
from primrosepitch.teams.fairness import RunningEstimate
from primrosepitch.teams.holdings import Holdings

__all__ = [
    "Call",
    "CallStage",
    "Claim",
    "ClaimRound",
    "ClaimTable",
    "Conn",
    "ConnStage",
    "EndpointHealth",
    "EntryState",
    "InstanceList",
    "RetryBudget",
    "TeamQueue",
    "Usage",
    "Vote",
]

MAX_RETRY_TOKENS = 10.0
"""Capacity of the retry token bucket in tokens: the largest burst of retries."""


Usage = dict[QueueId, dict[TeamId, int]]
"""Number of requests by queue and team."""


class CallStage(enum.Enum):
    """Stage of a request; while ``SENDING``, the current attempt may be written."""

    CLAIMING = "claiming"
    QUEUED = "queued"
    CONNECTING = "connecting"
    SENDING = "sending"
    DONE = "done"


class ConnStage(enum.Enum):
    """State of a connection.

    ``UNANSWERED``: its request got no usable response and may still run.
    """

    OPENING = "opening"
    IDLE = "idle"
    BUSY = "busy"
    UNANSWERED = "spent"
    CLOSING = "closing"


class Vote(enum.Enum):
    """Vote of one session on a claim of a request id.

    ``REFUSED``: also of a session that timed out or was sent no claim; ``RETRY``: the
    session cannot vote yet, because of its epoch or an incomplete table.
    """

    GRANTED = "yes"
    REFUSED = "no"
    PENDING = "waiting"
    RETRY = "retry"


@dataclass(slots=True)
class ClaimRound:
    """One round of claiming a request id at the entries of a data centre.

    :param home_dc: data centre whose entries decide
    :param epoch: membership epoch of that data centre
    :param members: open entry sessions of that data centre
    :param retry_until: time after which a round that depends on retries is given up
    :param sent_at: time of the last claim message by session
    :param answers: verdict and holder by session; ``None`` after a timeout
    :param recorded: whether any peer has recorded a claim of the id, in this round or
        an earlier one
    """

    home_dc: DcId
    epoch: int
    members: list[SessionId]
    retry_until: float
    sent_at: dict[SessionId, float] = field(default_factory=dict)
    answers: dict[SessionId, tuple[ClaimVerdict, SessionId] | None] = field(
        default_factory=dict
    )
    recorded: bool = False


@dataclass(slots=True)
class Call:
    """A caller's request that has no response yet.

    :param id_from_caller: whether the caller chose the request id
    :param repeat: whether the caller marked the request as a repeat
    :param deadline: boot-time clock
    :param maybe_sent: whether an attempt that ended may have reached an endpoint
    :param sent_at: when ``SendRequest`` was last emitted
    :param attempts: number of attempts started
    :param failed_instances: endpoints of failed attempts
    :param conn_id: connection of the current attempt
    """

    call_id: CallId
    queue: QueueId
    team: TeamId
    request_id: RequestId
    id_from_caller: bool
    idempotent: bool
    urgent: bool
    repeat: bool
    arrived_at: float
    deadline: float
    stage: CallStage = CallStage.QUEUED
    maybe_sent: bool = False
    sent_at: float = 0.0
    attempts: int = 0
    failed_instances: list[InstanceId] = field(default_factory=list)
    conn_id: ConnId | None = None
    claim_round: ClaimRound | None = None

    @property
    def needs_claim(self) -> bool:
        """Whether the request id has to be claimed, so that it runs at most once."""
        return self.id_from_caller and not self.idempotent


@dataclass(slots=True)
class Conn:
    """A connection to an endpoint; it uses one unit of ``conns/INSTANCE``.

    :param team: team whose limit the attempt on this connection uses; ``None`` if
        the connection uses neither a slot nor a unit of a limit
    :param queue: queue of that attempt
    :param hold_until: time until which an unanswered attempt may still run
    :param closed: whether the shell has reported the connection closed
    """

    conn_id: ConnId
    instance: InstanceId
    opened_at: float
    stage: ConnStage = ConnStage.OPENING
    call_id: CallId | None = None
    team: TeamId | None = None
    queue: QueueId = QueueId("")
    hold_until: float = 0.0
    idle_since: float = 0.0
    closed: bool = False


@dataclass(slots=True)
class TeamQueue:
    """Waiting requests of one team in one queue; urgent ones go first."""

    urgent: OrderedDict[CallId, Call] = field(default_factory=OrderedDict)
    normal: OrderedDict[CallId, Call] = field(default_factory=OrderedDict)

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self.urgent) + len(self.normal)

    def subqueue(self, call: Call) -> OrderedDict[CallId, Call]:
        """Return the urgent or the normal subqueue, whichever a request belongs to."""
        return self.urgent if call.urgent else self.normal

    def peek(self) -> Call:
        """Return the request at the head, without removing it."""
        return next(iter((self.urgent or self.normal).values()))


@dataclass(slots=True)
class EndpointHealth:
    """Health of one endpoint, as this entry has observed it.

    :param recent_results: success of the most recent requests
    :param consecutive_failures: failures since the last success or ejection
    :param ejection_s: length of the current or last ejection; 0 when healthy
    :param probe_call: request that probes an ejected endpoint
    :param unanswered: consecutive unanswered requests on connections of one age
    :param unanswered_opened_at: when the newest of these connections was opened
    :param answered_opened_at: when the connection of the last response was opened
    """

    recent_results: deque[bool] = field(default_factory=lambda: deque(maxlen=20))
    consecutive_failures: int = 0
    ejection_s: float = 0.0
    ejected_until: float = 0.0
    probe_call: CallId | None = None
    unanswered: int = 0
    unanswered_opened_at: float = float("-inf")
    answered_opened_at: float = float("-inf")


@dataclass(slots=True)
class RetryBudget:
    """Token bucket that limits retries; one token pays for one retry."""

    tokens: float = MAX_RETRY_TOKENS


@dataclass(slots=True)
class InstanceList:
    """The platform's list of instances, as last read.

    :param requested_at: when the read that returned this list was started
    :param leaving: instances that the platform is about to stop
    :param pending_since: when the read in progress was started
    :param failed: whether the last read timed out
    """

    requested_at: float = float("-inf")
    leaving: frozenset[InstanceId] = frozenset()
    pending_since: float | None = None
    failed: bool = False


@dataclass(slots=True)
class Claim:
    """Claim of one request id.

    :param outcome: ``RUNNING``, ``DONE`` or ``LOST``; ``CLAIMED`` if no attempt of
        the holder was sent, so that the id may be claimed again
    :param updated_at: time from which the claim window counts
    """

    holder: SessionId
    outcome: ClaimVerdict
    updated_at: float


@dataclass(slots=True)
class ClaimTable:
    """Claims recorded at this entry, and whether the table is complete.

    :param by_id: claims by request id
    :param active_calls: own call by claimed request id
    :param lacks_history: whether claims from before the own session may be missing
    :param complete: whether every unexpired claim of earlier memberships is recorded
    :param memberships: memberships since the table was last complete, newest last
    :param synced_peers: peers whose claims were read since the last change
    :param min_epoch: epoch that a peer must have reached for its claims to count
    :param incomplete_since: when the table last became incomplete
    """

    by_id: dict[RequestId, Claim] = field(default_factory=dict)
    active_calls: dict[RequestId, CallId] = field(default_factory=dict)
    lacks_history: bool = True
    complete: bool = False
    memberships: list[list[SessionId]] = field(default_factory=list)
    synced_peers: list[SessionId] = field(default_factory=list)
    min_epoch: int = 0
    incomplete_since: float = 0.0
    sync_due: float = 0.0
    prune_due: float = 0.0


class EntryState:
    """State of the reducer of one entry.

    :param session: own session
    :param dc: own data centre
    """

    def __init__(self, session: SessionId, dc: DcId) -> None:
        """Initialise an entry that has read nothing from the log."""
        self.session = session
        self.dc = dc
        self.fleet = FleetState()
        self.holdings = Holdings(session)
        self.calls: dict[CallId, Call] = {}
        self.conns: dict[ConnId, Conn] = {}
        self.idle_conns: dict[InstanceId, list[ConnId]] = {}
        self.queues: dict[QueueId, dict[TeamId, TeamQueue]] = {}
        self.running: Usage = {}
        self.usage_estimate = RunningEstimate(session)
        self.estimate_due = float("-inf")
        self.usage_reported_at: dict[str, float] = {}
        self.deadlines: list[tuple[float, CallId]] = []
        self.service_times_s: dict[QueueId, float] = {}
        self.pool_instances: dict[PoolId, list[InstanceId]] | None = None
        self.health: dict[InstanceId, EndpointHealth] = {}
        self.retry_budget = RetryBudget()
        self.instance_list = InstanceList()
        self.claims = ClaimTable()
        self.pending_withdrawn: dict[KeyId, None] = {}
        self.log_up = True
        self.last_log_contact = float("-inf")
        self.renewal_sent_at: float | None = None
        self.session_was_open = False
        self.stopping = False
        self.finished = False
        self.plan_due = float("-inf")
        self.held_conns: list[tuple[float, ConnId]] = []
        self.now = float("-inf")
        self.effects: list[Effect] = []
        self._seed = 0
        self._last_conn = 0

    # Effects and random numbers of the current step

    def begin_step(self, now: float, seed: int) -> None:
        """Start a step: advance the clock, mix in the seed, clear the effects."""
        self.now = max(self.now, now)
        self._seed ^= seed
        self.effects = []

    def emit(self, effect: Effect) -> None:
        """Add an effect to the current step."""
        self.effects.append(effect)

    def log(self, kind: LogEvent, **fields: object) -> None:
        """Add a log line to the current step."""
        self.effects.append(LogLine(number=kind.number, fields=fields))

    def next_random(self) -> int:
        """Return the next number of the seeded pseudorandom sequence."""
        self._seed = (self._seed * 6364136223846793005 + 1442695040888963407) % 2**64
        return self._seed >> 33

    def next_conn_id(self) -> ConnId:
        """Return an unused connection id."""
        self._last_conn += 1
        return ConnId(self._last_conn)

    # Settings and the own session

    @property
    def settings(self) -> FleetSettings:
        """Fleet settings of the configuration in force."""
        return self.fleet.config.fleet

    @property
    def session_open(self) -> bool:
        """Whether the own session is open in the folded state."""
        own = self.fleet.sessions.get(self.session)
        return own is not None and own.state is SessionState.OPEN

    @property
    def session_lost(self) -> bool:
        """Whether a record in the log has ended the own session."""
        return self.session_was_open and not self.session_open

    @property
    def contact_until(self) -> float:
        """Time until which the own units may be used without another renewal."""
        if self.renewal_sent_at is None:
            return float("-inf")
        return self.renewal_sent_at + self.settings.isolation_window_s

    @property
    def may_dispatch(self) -> bool:
        """Whether new work may be sent to endpoints.

        After the last renewal has expired the own session may have been ended, and
        another process may use its units.
        """
        return self.session_open and self.now < self.contact_until

    def usable(self, instance: InstanceId) -> bool:
        """Whether an endpoint is configured and not draining, stopping or leaving."""
        inst = self.fleet.instances.get(instance)
        if inst is None or inst.phase is not Phase.ACTIVE:
            return False
        known = instance in self.fleet.config.instances
        return known and instance not in self.instance_list.leaving

    def waiting(self) -> Usage:
        """Return the number of waiting requests by queue and team."""
        return {
            queue: {team: len(q) for team, q in teams.items() if len(q)}
            for queue, teams in self.queues.items()
        }
