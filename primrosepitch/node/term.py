"""Which node schedules: when to claim a term, and when to give it up."""

from __future__ import annotations

from typing import NamedTuple

from primrosepitch.jobs.records import Term

__all__ = ["CLAIM_AFTER_S", "TermWatch"]

CLAIM_AFTER_S = 1.6
"""Time without a sign of the scheduler; it appends at least every 0.5 s, and nodes
read every 0.4 s."""

CLAIM_RECONNECTED_S = 0.8
"""The same when nothing was heard since the store came back: a scheduler that reaches
it repeats its append every 0.1 s."""

FRESH_S = 1.2
"""Greatest age of a reading of the ledger from which silence may be concluded."""


class TermWatch(NamedTuple):
    """What a node has seen of the scheduler.

    :param node: name of the node
    :param sign_at: boot-time clock of its newest record seen
    :param connected_at: boot-time clock since which the ledger can be read
    :param read_at: boot-time clock of the newest reading
    :param jitter_s: differs between nodes, so that they rarely claim together
    """

    node: str
    term: Term
    sign_at: float
    connected_at: float
    read_at: float
    jitter_s: float

    def should_claim(self, now: float) -> bool:
        """Return whether the node should claim the next term."""
        if now - self.read_at > FRESH_S:
            return False
        silent_s = now - max(self.sign_at, self.connected_at)
        if self.term.holder == self.node:
            # The holder was an earlier process of this node, which has ended.
            return True
        if not self.term.number or not self.term.holder:
            # Nobody schedules: none ever did, or the last one gave up its term.
            return silent_s > self.jitter_s
        heard = self.sign_at >= self.connected_at
        wait_s = CLAIM_AFTER_S if heard else CLAIM_RECONNECTED_S
        return silent_s > wait_s + self.jitter_s
