"""Peers of a process: their sessions, reported positions and connections."""

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

REQUEST_TIMEOUT_S = 1.0
FETCH_STATE_TIMEOUT_S = 3.0
MAX_REPORT_AGE_S = 5.0
"""Maximum age of a peer's report for the peer to count as reachable."""


class PeerReport(msgspec.Struct, frozen=True):
    """Latest known position of a process, reported by itself or relayed by a peer.

    :param generation: generation of the log
    :param offset: offset of the last folded record
    :param observed_at: boot-time clock at which the process had this position
    :param log_contact: whether the process had contact with the log; ``False`` in a
        relayed report
    """

    generation: int
    offset: Offset
    observed_at: float
    log_contact: bool = False


class Membership:
    """Open sessions of other processes and the connections to them.

    :param seeds: ``IP:port`` of peers to contact before any session is known
    """

    def __init__(self, session: SessionId, dc: DcId, seeds: Iterable[str]) -> None:
        """Start with the seeds only."""
        self.reports: dict[SessionId, PeerReport] = {}
        self._session = session
        self._dc = dc
        self._seeds = list(seeds)
        self._sessions: dict[SessionId, Session] = {}
        self._clients: dict[str, PeerClient] = {}

    def update(self, fleet: FleetState) -> None:
        """Replace the sessions with the other open sessions of the folded state."""
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

    # Sessions

    def in_own_dc(self) -> list[SessionId]:
        """Return the sessions of the own data centre, sorted."""
        return sorted(i for i, s in self._sessions.items() if s.dc == self._dc)

    def lowest_named_entries(self) -> dict[DcId, SessionId]:
        """Return the entry with the lowest session id of each other data centre."""
        found: dict[DcId, SessionId] = {}
        for sid in sorted(self._sessions):
            session = self._sessions[sid]
            if session.role is Role.ENTRY and session.dc != self._dc:
                found.setdefault(session.dc, sid)
        return found

    def client(self, session: SessionId) -> PeerClient | None:
        """Return the client for a session; ``None`` if the session is not open."""
        found = self._sessions.get(session)
        return self._client_at(found.peer_address) if found else None

    def _client_at(self, address: str) -> PeerClient:
        if address not in self._clients:
            self._clients[address] = PeerClient(address)
        return self._clients[address]

    def _all_clients(self) -> list[PeerClient]:
        addresses = {s.peer_address for s in self._sessions.values()}
        return [self._client_at(a) for a in sorted(addresses | set(self._seeds))]

    # Reports

    def record_status(self, status: Status) -> None:
        """Store a peer's status and the positions of other processes that it relays."""
        now = clock.monotonic()
        self._store_report(
            SessionId(status.session),
            PeerReport(
                status.generation, Offset(status.offset), now, status.log_contact
            ),
        )
        for row in status.processes:
            observed_at = now - row.age_ms / 1000
            report = PeerReport(row.generation, Offset(row.offset), observed_at)
            self._store_report(SessionId(row.session), report)

    def _store_report(self, session: SessionId, report: PeerReport) -> None:
        known = self.reports.get(session)
        if session in self._sessions and (
            known is None or known.observed_at < report.observed_at
        ):
            self.reports[session] = report

    def with_log_contact(self) -> list[SessionId]:
        """Return peers that recently reported contact with the log."""
        limit = clock.monotonic() - MAX_REPORT_AGE_S
        return sorted(
            i
            for i, r in self.reports.items()
            if r.log_contact and r.observed_at > limit
        )

    def ahead(self, generation: int, offset: Offset) -> list[SessionId]:
        """Return peers that recently reported a higher position."""
        limit = clock.monotonic() - MAX_REPORT_AGE_S
        here = (generation, offset)
        return sorted(
            i
            for i, r in self.reports.items()
            if (r.generation, r.offset) > here and r.observed_at > limit
        )

    # Requests of the log reader

    async def request(self, session: SessionId, body: Any, timeout_s: float) -> Any:
        """Send a request to a session and wait for the reply.

        :raises PeerUnavailableError: if it is not open or does not reply
        """
        client = self.client(session)
        if client is None:
            raise PeerUnavailableError(f"session {session} is not open")
        return await client.request(body, timeout_s)

    async def positions(self) -> list[tuple[int, Offset]]:
        """Return generation and offset of each peer that replies."""
        return [position for position, _ in await self._request_positions()]

    async def fetch(self, generation: int, start: Offset) -> list[tuple[Offset, bytes]]:
        """Return records from ``start`` on, from the first peer ahead that has them."""
        fetch_request = Fetch(generation=generation, from_offset=start)
        for session in self.ahead(generation, Offset(start - 1)):
            try:
                found = await self.request(session, fetch_request, REQUEST_TIMEOUT_S)
            except PeerUnavailableError:
                continue
            if found.generation == generation and found.records:
                return [(Offset(e.offset), e.data) for e in found.records]
        return []

    async def fetch_state(self, above: tuple[int, Offset]) -> PeerState | None:
        """Return the newest state of all peers, if above a generation and offset."""
        positions = await self._request_positions()
        best = max(positions, default=None, key=lambda position: position[0])
        if best is None or best[0] <= above:
            return None
        try:
            found = await best[1].request(FetchState(), FETCH_STATE_TIMEOUT_S)
        except PeerUnavailableError:
            return None
        return PeerState(found.generation, Offset(found.offset), found.data)

    async def _request_positions(self) -> list[tuple[tuple[int, Offset], PeerClient]]:
        """Return the position and client of each peer that replies."""
        hello = Hello(session=self._session, dc=self._dc, generation=0, offset=-1)
        clients = self._all_clients()
        pending = [client.request(hello, REQUEST_TIMEOUT_S) for client in clients]
        replies = await asyncio.gather(*pending, return_exceptions=True)
        return [
            ((reply.generation, Offset(reply.offset)), client)
            for reply, client in zip(replies, clients, strict=True)
            if isinstance(reply, Hello)
        ]
