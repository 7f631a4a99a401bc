"""Which node schedules: when to claim a term, and when to give it up."""

from __future__ import annotations

from typing import NamedTuple

from primrosepitch.jobs.records import Term

__all__ = ["CLAIM_AFTER_S", "TermObservation", "claim_delay_s"]

CLAIM_AFTER_S = 1.1
"""Time without a sign of the scheduler; it appends at least every 0.25 s, and nodes
read every 0.25 s, so half of it passes between two signs at the most."""

LATENCIES = 4.0
"""Calls to the store that lie between two signs: an append, its answer, a reading and
the next one. A slow store delays each."""

CLAIM_RECONNECTED_S = 0.8
"""The same when nothing was heard since the store came back: a scheduler that reaches
it repeats its append every 0.1 s."""

FIRST_CLAIM = 5.0
"""Factor on the delay of the first claim of a deployment: nodes start within 0.3 s of
each other, and a small one that came first would schedule all day."""

FRESH_S = 1.2
"""Greatest age of a reading of the ledger from which silence may be concluded."""


class TermObservation(NamedTuple):
    """What a node has seen of the scheduler.

    :param node: name of the node
    :param heartbeat_at: boot-time clock of its newest record seen
    :param connected_at: boot-time clock since which the ledger can be read
    :param read_at: boot-time clock of the newest reading
    :param latency_s: time that the store takes for an answer
    :param jitter_s: differs between nodes, so that they rarely claim together
    """

    node: str
    term: Term
    heartbeat_at: float
    connected_at: float
    read_at: float
    latency_s: float
    jitter_s: float

    def should_claim(self, now: float) -> bool:
        """Return whether the node should claim the next term."""
        if now - self.read_at > FRESH_S:
            return False
        silent_s = now - max(self.heartbeat_at, self.connected_at)
        if self.term.holder == self.node:
            # The holder was an earlier process of this node, which has ended.
            return True
        if not self.term.number:
            # All nodes are starting, small ones perhaps a moment before large ones.
            return silent_s > FIRST_CLAIM * self.jitter_s
        if not self.term.holder:
            # The last scheduler gave up its term.
            return silent_s > self.jitter_s
        heard = self.heartbeat_at >= self.connected_at
        wait_s = CLAIM_AFTER_S if heard else CLAIM_RECONNECTED_S
        return silent_s > wait_s + LATENCIES * self.latency_s + self.jitter_s


JITTER_S = 0.06
"""Largest random difference between nodes in how long they wait before they claim."""

SMALL_NODE_S = 0.3
"""Added for a node without any processor time to spare, so that larger ones claim
first: a scheduler that falls behind loses answers and then its term."""

LARGE_CORES = 2.0
"""Cores beyond which a scheduler gains nothing: it has one thread, and shares the
instance with the intake."""


def claim_delay_s(cores: float, chance: float) -> float:
    """Return how long a node waits beyond the silence that permits a claim.

    :param cores: share of a core times the cores' number
    :param chance: random number from 0 to 1
    """
    small = 1.0 - min(1.0, cores / LARGE_CORES)
    return JITTER_S * chance + SMALL_NODE_S * small
