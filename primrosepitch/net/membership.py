"""Peers of a process: who they are, what they reported, and how to reach them."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import Any

import msgspec

from primrosepitch import clock
from primrosepitch.errors import PeerUnavailableError
from primrosepitch.fleet.records import Role
from primrosepitch.fleet.state import FleetState, Session, SessionState
from primrosepitch.gen.primrose.ttypes import (
    Fetch,
    FetchState,
    Hello,
    Status,
)
from primrosepitch.ids import DcId, Offset, SessionId
from primrosepitch.net.log_reader import PeerState
from primrosepitch.net.peers import PeerClient

__all__ = ["Membership", "PeerReport"]

ASK_S = 1.0
STATE_S = 3.0
FRESH_S = 5.0
"""Age up to which a peer's report counts as contact."""


class PeerReport(msgspec.Struct, frozen=True):
    """What a process reported last, itself or through the peer that passed it on.

    :param observed_at: boot-time clock at which it was true
    """

    generation: int
    offset: Offset
    observed_at: float
    log_contact: bool = False


class Membership:
    """Open sessions of other processes and connections to them.

    :param seeds: ``IP:port`` of peers to ask before any session is known
    """

    def __init__(self, session: SessionId, dc: DcId, seeds: Iterable[str]) -> None:
        """Know only the seeds."""
        self.reports: dict[SessionId, PeerReport] = {}
        self._session = session
        self._dc = dc
        self._seeds = list(seeds)
        self._sessions: dict[SessionId, Session] = {}
        self._clients: dict[str, PeerClient] = {}

    def update(self, fleet: FleetState) -> None:
        """Take the open sessions of the fold, except the own one."""
        self._sessions = {
            sid: s
            for sid, s in fleet.sessions.items()
            if s.state is SessionState.OPEN and sid != self._session
        }
        for known in [s for s in self.reports if s not in self._sessions]:
            del self.reports[known]
        used = {s.peer_address for s in self._sessions.values()} | set(self._seeds)
        for address in [a for a in self._clients if a not in used]:
            self._clients.pop(address).close()

    def close(self) -> None:
        """Close all connections."""
        for client in self._clients.values():
            client.close()

    # Who

    def in_own_dc(self) -> list[SessionId]:
        """Return the peers of the own data centre."""
        return sorted(i for i, s in self._sessions.items() if s.dc == self._dc)

    def lowest_named_entries(self) -> dict[DcId, SessionId]:
        """Return the lowest-named entry of each data centre, without the own one."""
        found: dict[DcId, SessionId] = {}
        for sid in sorted(self._sessions):
            session = self._sessions[sid]
            if session.role is Role.ENTRY and session.dc != self._dc:
                found.setdefault(session.dc, sid)
        return found

    def client(self, session: SessionId) -> PeerClient | None:
        """Return the connection to a session; ``None`` if it is not open."""
        found = self._sessions.get(session)
        return self._client_at(found.peer_address) if found else None

    def _client_at(self, address: str) -> PeerClient:
        if address not in self._clients:
            self._clients[address] = PeerClient(address)
        return self._clients[address]

    def _everyone(self) -> list[PeerClient]:
        addresses = {s.peer_address for s in self._sessions.values()}
        return [self._client_at(a) for a in sorted(addresses | set(self._seeds))]

    # What they report

    def record_status(self, status: Status) -> None:
        """Take a peer's status with what it knows about other processes."""
        now = clock.monotonic()
        self._note(
            SessionId(status.session),
            PeerReport(
                status.generation, Offset(status.offset), now, status.log_contact
            ),
        )
        for row in status.processes:
            heard = now - row.age_ms / 1000
            report = PeerReport(row.generation, Offset(row.offset), heard)
            self._note(SessionId(row.session), report)

    def _note(self, session: SessionId, report: PeerReport) -> None:
        known = self.reports.get(session)
        if session in self._sessions and (
            known is None or known.observed_at < report.observed_at
        ):
            self.reports[session] = report

    def with_log_contact(self) -> list[SessionId]:
        """Return peers that reported contact with the log a moment ago."""
        limit = clock.monotonic() - FRESH_S
        return sorted(
            i
            for i, r in self.reports.items()
            if r.log_contact and r.observed_at > limit
        )

    def ahead(self, generation: int, offset: Offset) -> list[SessionId]:
        """Return peers that reported a higher position a moment ago."""
        limit = clock.monotonic() - FRESH_S
        here = (generation, offset)
        return sorted(
            i
            for i, r in self.reports.items()
            if (r.generation, r.offset) > here and r.observed_at > limit
        )

    # Questions of the log reader

    async def request(self, session: SessionId, body: Any, timeout_s: float) -> Any:
        """Ask one session.

        :raises PeerUnavailableError: if it has ended or does not answer
        """
        client = self.client(session)
        if client is None:
            raise PeerUnavailableError(f"session {session} is not open")
        return await client.request(body, timeout_s)

    async def positions(self) -> list[tuple[int, Offset]]:
        """Return generation and offset of each peer that answers."""
        return [place for place, _ in await self._ask_places()]

    async def fetch(self, generation: int, start: Offset) -> list[tuple[Offset, bytes]]:
        """Return records from the first peer ahead that has them."""
        question = Fetch(generation=generation, from_offset=start)
        for session in self.ahead(generation, Offset(start - 1)):
            try:
                found = await self.request(session, question, ASK_S)
            except PeerUnavailableError:
                continue
            if found.generation == generation and found.records:
                return [(Offset(e.offset), e.data) for e in found.records]
        return []

    async def fetch_state(self, above: tuple[int, Offset]) -> PeerState | None:
        """Return the newest state of all peers above a generation and offset."""
        places = await self._ask_places()
        best = max(places, default=None, key=lambda place: place[0])
        if best is None or best[0] <= above:
            return None
        try:
            found = await best[1].request(FetchState(), STATE_S)
        except PeerUnavailableError:
            return None
        return PeerState(found.generation, Offset(found.offset), found.data)

    async def _ask_places(self) -> list[tuple[tuple[int, Offset], PeerClient]]:
        """Return the position of each peer that answers, with its connection."""
        hello = Hello(session=self._session, dc=self._dc, generation=0, offset=-1)
        clients = self._everyone()
        asked = [client.request(hello, ASK_S) for client in clients]
        answers = await asyncio.gather(*asked, return_exceptions=True)
        return [
            ((answer.generation, Offset(answer.offset)), client)
            for answer, client in zip(answers, clients, strict=True)
            if isinstance(answer, Hello)
        ]
