"""Leader election: when a node claims the next term."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from primrosepitch.jobs.records import NodeAddress, Term

__all__ = [
    "CLAIM_RECONNECTED_SILENCE_S",
    "CLAIM_SILENCE_S",
    "TermObservation",
    "claim_delay_s",
    "is_small",
    "larger_nodes",
]

CLAIM_SILENCE_S = 1.1
"""Time without a heartbeat of the scheduler after which a node claims. The scheduler
appends at least every 0.25 s and nodes read every 0.25 s, so that at most half of this
time passes between two heartbeats."""

LATENCIES_PER_HEARTBEAT = 4.0
"""Number of store latencies between two heartbeats that a node receives: of an append,
its answer, a read and the next read. A slow store delays each of them."""

APPENDS_PER_HEARTBEAT = 2.0
"""Number of append durations between two heartbeats that a node receives: the scheduler
appends one after the answer to the one before, and all wait in the same queue."""

CLAIM_RECONNECTED_SILENCE_S = 0.8
"""Time without a heartbeat after which a node claims if it has received none since the
store became available again; a scheduler that reaches the store retries its append
every 0.1 s."""

FIRST_CLAIM_FACTOR = 5.0
"""Factor on the delay of the first claim of a deployment. Nodes start within 0.3 s of
each other, and a small node that claimed first would keep the term."""

MAX_READ_AGE_S = 1.2
"""Maximum age of the last ledger read from which missing heartbeats are inferred."""


class TermObservation(NamedTuple):
    """A node's observations of the term and of the scheduler's heartbeats.

    :param node: name of the node
    :param term: newest term in the ledger
    :param heartbeat_at: boot-time clock at which the scheduler's last record was read
    :param connected_at: boot-time clock since which the ledger can be read
    :param read_at: boot-time clock of the last read
    :param latency_s: response time of the store
    :param append_s: time that this node's appends take now
    :param jitter_s: delay that differs between nodes, so that they rarely claim at once
    :param configured_at: boot-time clock since which the node has a configuration
    """

    node: str
    term: Term
    heartbeat_at: float
    connected_at: float
    read_at: float
    latency_s: float
    append_s: float
    jitter_s: float
    configured_at: float

    def should_claim(self, now: float) -> bool:
        """Return whether the node should claim the next term."""
        if now - self.read_at > MAX_READ_AGE_S:
            return False
        # The delay that lets large nodes claim first counts from when a node can claim.
        silent_since = max(self.heartbeat_at, self.connected_at, self.configured_at)
        silent_s = now - silent_since
        if self.term.holder == self.node:
            # The holder was an earlier process of this node, which has ended.
            return True
        if not self.term.number:
            # All nodes are starting, and small nodes may be ready before large ones.
            return silent_s > FIRST_CLAIM_FACTOR * self.jitter_s
        if not self.term.holder:
            # The last scheduler released its term.
            return silent_s > self.jitter_s
        seen_since_reconnect = self.heartbeat_at >= self.connected_at
        wait_s = (
            CLAIM_SILENCE_S if seen_since_reconnect else CLAIM_RECONNECTED_SILENCE_S
        )
        wait_s += LATENCIES_PER_HEARTBEAT * self.latency_s
        wait_s += APPENDS_PER_HEARTBEAT * self.append_s
        return silent_s > wait_s + self.jitter_s


MAX_JITTER_S = 0.06
"""Maximum random part of the delay before a claim."""

SMALL_NODE_DELAY_S = 0.3
"""Maximum delay added for small nodes, so that larger nodes claim first: a scheduler
with too little processor time falls behind, misses answers and then loses its term."""

LARGE_NODE_CORES = 2.0
"""Cores beyond which the scheduler does not get faster: it has one thread, and shares
the instance with the job intake."""


LARGER_FIRST_S = 0.4
"""Delay of a node that is smaller than the largest one known: nodes read the last
heartbeat up to 0.25 s after each other, and check every 0.05 s whether to claim."""

SIMILAR_SIZE = 0.9
"""Fraction of the largest node's processor time from which a node counts as equal."""


def claim_delay_s(
    cores: float, jitter_fraction: float, largest_cores: float = 0.0
) -> float:
    """Return how long a node waits in addition to the silence that permits a claim.

    :param cores: CPU share times the number of cores
    :param jitter_fraction: random number from 0 to 1
    :param largest_cores: size of the largest node in the ledger; 0 if none is known
    """
    reference = min(LARGE_NODE_CORES, largest_cores or LARGE_NODE_CORES)
    shortfall = 1.0 - min(1.0, cores / reference)
    delay_s = MAX_JITTER_S * jitter_fraction + SMALL_NODE_DELAY_S * shortfall
    return delay_s + (LARGER_FIRST_S if is_small(cores, largest_cores) else 0.0)


def is_small(cores: float, largest_cores: float) -> bool:
    """Return whether a larger node should schedule in place of a node.

    :param largest_cores: size of the largest node; 0 if none is known
    """
    return cores < SIMILAR_SIZE * min(LARGE_NODE_CORES, largest_cores)


def larger_nodes(nodes: Mapping[str, NodeAddress], cores: float) -> set[str]:
    """Return the names of the nodes that should schedule in place of a node."""
    return {name for name, node in nodes.items() if is_small(cores, node.cores)}
