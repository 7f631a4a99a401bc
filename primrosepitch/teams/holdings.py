"""Units of counts that one entry session holds, takes, requests and gives."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterable, Mapping
from typing import NamedTuple

import msgspec

from primrosepitch.fleet import records as rec
from primrosepitch.fleet.counts import Count, conns_key, slots_key
from primrosepitch.fleet.fold import Outcome
from primrosepitch.fleet.state import FleetState, SessionState
from primrosepitch.ids import CountKey, DcId, InstanceId, RecordId, SessionId

__all__ = ["Holdings", "HoldingsPlan"]

RECORD_INTERVAL_S = 1.0
"""Minimum interval of take records and of give records."""

SCARCE_RESERVE_RATIO = 0.25
"""Ratio of a count's available reserve to its total below which idle units return.
Returning units to a fuller reserve would cost records at every request and gain
nothing."""

UNIT_REQUEST_INTERVAL_S = 1.0
"""Minimum interval of unit requests to peers."""

ROTATION_INTERVAL_S = 2.0
"""Time for which a contended unit stays with one session before it moves on."""

RESERVATION_TIMEOUT_S = 5.0
"""Time after which the rest of a reservation for a peer is dropped."""

MAX_OWN_RECORD_IDS = 256
"""Number of confirmed own record ids kept to detect duplicate appends."""

_RESCAN_RECORDS = (
    rec.ConfigPublished,
    rec.SessionOpened,
    rec.SessionClosed,
    rec.SessionEnded,
    rec.SessionSettled,
    rec.Snapshot,
)
"""Record types that may change the floors or totals of many counts."""

_INSTANCE_RECORDS = (
    rec.DrainStarted,
    rec.DrainCancelled,
    rec.InstanceUp,
    rec.MoveFinished,
)
"""Record types that freeze or release the counts of one instance."""


class HoldingsPlan(NamedTuple):
    """Planned changes of a session's holdings.

    :param take: units to take from reserves, in one ``SliceTake``
    :param give: units to return to reserves, in one ``SliceGive``; they are no
        longer free
    :param requests: units to request, by peer
    """

    take: dict[CountKey, int]
    give: dict[CountKey, int]
    requests: dict[SessionId, dict[CountKey, int]]


class _Reservation(msgspec.Struct):
    """Units in use that are returned for a competing session as they become idle.

    :param until: time at which the reservation expires
    """

    units: int
    until: float


class Holdings:
    """Units that one entry session holds and uses.

    A session keeps a floor, which is the equal part of each count, whether it uses it
    or not, so that a data centre that is cut off can keep serving. Units above the
    floor move to the sessions with demand. No work starts on units that are being
    given away.

    :param session: own session
    """

    def __init__(self, session: SessionId) -> None:
        """Initialise holdings without units."""
        self.session = session
        self._in_use: Counter[CountKey] = Counter()
        self._peak_in_use: dict[CountKey, int] = {}
        self._giving: Counter[CountKey] = Counter()
        self._taking: Counter[CountKey] = Counter()
        self._pending: list[rec.SliceTake | rec.SliceGive] = []
        self._confirmed_ids: deque[RecordId] = deque(maxlen=MAX_OWN_RECORD_IDS)
        self._scan_due = self._take_due = self._give_due = self._request_due = float(
            "-inf"
        )
        self._reserved: dict[CountKey, _Reservation] = {}
        self._no_extra_until: dict[CountKey, float] = {}
        self._above_floor_since: dict[CountKey, float] = {}
        self._window_start: dict[CountKey, float] = {}
        self._below_floor: set[CountKey] = set()
        self._frozen: set[CountKey] = set()
        self._owed: set[CountKey] = set()
        self._peer_turns: Counter[CountKey] = Counter()
        self._changed_counts: set[CountKey] = set()
        self._rescan = True
        self._open_entries: dict[DcId | None, int] = {}
        self._dc: DcId | None = None

    # Use of units

    def free(self, fleet: FleetState, key: CountKey) -> int:
        """Return the units on which work may start now; 0 for a frozen count."""
        count = fleet.counts.get(key)
        if count is None or count.frozen or not self._session_open(fleet):
            return 0
        reservation = self._reserved.get(key)
        return max(
            0, self._idle(fleet, key) - (reservation.units if reservation else 0)
        )

    def acquire(self, key: CountKey) -> None:
        """Mark a unit as in use."""
        units = self._in_use[key] + 1
        self._in_use[key] = units
        if units > self._peak_in_use.get(key, 0):
            self._peak_in_use[key] = units

    def release(self, key: CountKey) -> None:
        """Mark a unit as no longer in use.

        :raises ValueError: if none is in use
        """
        units = self._in_use[key]
        if units <= 0:
            raise ValueError(f"no unit of {key} is in use")
        if units == 1:
            del self._in_use[key]
        else:
            self._in_use[key] = units - 1

    def in_use(self, key: CountKey) -> int:
        """Return the units in use."""
        return self._in_use.get(key, 0)

    def _session_open(self, fleet: FleetState) -> bool:
        """Whether the own session may use its units."""
        own = fleet.sessions.get(self.session)
        return own is not None and own.state is SessionState.OPEN

    def _held(self, fleet: FleetState, key: CountKey) -> int:
        """Return the units held that are not being given away.

        When a give is folded, it is settled from owed units first.
        """
        count = fleet.counts.get(key)
        if count is None:
            return 0
        giving = self._giving.get(key, 0) - count.owed.get(self.session, 0)
        return count.held_by(self.session) - max(0, giving)

    def _idle(self, fleet: FleetState, key: CountKey) -> int:
        """Return the units held that are neither in use nor being given away."""
        return self._held(fleet, key) - self._in_use.get(key, 0)

    # Floors

    def _floor(self, fleet: FleetState, key: CountKey) -> int:
        """Return the equal part of a count; 0 if it is unknown or frozen."""
        count = fleet.counts.get(key)
        if count is None or count.frozen:
            return 0
        return count.total // self._sharer_count(fleet, key)

    def _sharer_count(self, fleet: FleetState, key: CountKey) -> int:
        """Return the number of open entry sessions that may use a count."""
        dc = None if key.startswith("limit/") else self._dc
        return max(1, self._open_entries.get(dc, 0))

    def _usable_here(self, fleet: FleetState, key: CountKey) -> bool:
        """Whether the data centre of this session may use a count."""
        kind, _, name = key.partition("/")
        if kind == "limit":
            return True
        inst = fleet.instances.get(InstanceId(name))
        return inst is not None and inst.dc == self._dc

    def _refresh_counts(self, now: float, fleet: FleetState) -> None:
        """Reclassify the counts that changed since the last plan."""
        if self._rescan:
            self._rescan = False
            self._dc = fleet.sessions[self.session].dc
            self._open_entries = {
                d: len(fleet.open_entries(d)) for d in (None, self._dc)
            }
            self._changed_counts.update(fleet.counts)
        for key in sorted(self._changed_counts):
            self._classify(now, fleet, key)
        self._changed_counts.clear()

    def _classify(self, now: float, fleet: FleetState, key: CountKey) -> None:
        """Update the sets and windows that determine what is planned for one count."""
        self._below_floor.discard(key)
        self._frozen.discard(key)
        self._owed.discard(key)
        self._window_start.pop(key, None)
        count = fleet.counts.get(key)
        if count is None:
            return
        if self.session in count.owed:
            self._owed.add(key)
        if not self._usable_here(fleet, key):
            return
        held, floor = self._held(fleet, key), self._floor(fleet, key)
        if count.frozen and held:
            self._frozen.add(key)
        elif held > floor:
            self._start_window(now, key)
            self._above_floor_since.setdefault(key, now)
            return
        elif held < floor:
            self._below_floor.add(key)
        self._above_floor_since.pop(key, None)

    def _start_window(self, now: float, key: CountKey) -> None:
        """Start the window over which the peak of the units in use is measured."""
        self._window_start[key] = now
        self._peak_in_use[key] = self._in_use.get(key, 0)

    # Plan

    def plan(
        self, now: float, fleet: FleetState, wanted: Mapping[CountKey, int]
    ) -> HoldingsPlan:
        """Plan which units to take, to give and to request.

        The caller appends one ``SliceTake`` of ``take`` and one ``SliceGive`` of
        ``give`` without a receiver, and sends ``requests`` to the peers.

        :param now: boot-time clock in seconds
        :param wanted: units that waiting work needs, by count
        """
        if not self._session_open(fleet):
            return HoldingsPlan({}, {}, {})
        self._refresh_counts(now, fleet)
        give = self._plan_give(now, fleet)
        shortage = self._shortage(fleet, wanted)
        take = self._plan_take(now, fleet, shortage)
        requests = self._plan_requests(now, fleet, shortage)
        return HoldingsPlan(take, give, requests)

    def _shortage(
        self, fleet: FleetState, wanted: Mapping[CountKey, int]
    ) -> dict[CountKey, int]:
        """Return the units that waiting work needs and that are not idle here."""
        shortage = {}
        for key, units in wanted.items():
            missing = units - max(0, self._idle(fleet, key))
            if missing > 0 and key not in self._reserved:
                shortage[key] = missing
        return shortage

    def _plan_take(
        self, now: float, fleet: FleetState, shortage: Mapping[CountKey, int]
    ) -> dict[CountKey, int]:
        """Choose units to take from reserves.

        Beyond the floor, at most half of the reserve, rounded up, is taken at once.
        """
        if now < self._take_due or self._taking:
            return {}
        take: dict[CountKey, int] = {}
        below: set[CountKey] = set()
        if now >= self._scan_due:
            self._scan_due = now + RECORD_INTERVAL_S
            below = self._below_floor
        for key in sorted(below | shortage.keys()):
            count = fleet.counts.get(key)
            if count is None or count.available <= 0:
                continue
            missing = max(0, self._floor(fleet, key) - self._held(fleet, key))
            extra = max(0, shortage.get(key, 0) - missing)
            if extra and self._no_extra_until.get(key, now) > now:
                extra = 0
            surplus = max(0, count.available - missing)
            units = min(missing, count.available) + min(extra, (surplus + 1) // 2)
            if units:
                take[key] = units
        if take:
            self._take_due = now + RECORD_INTERVAL_S
            self._taking.update(take)
            self._pending.append(self._take_record(take))
        return take

    def _plan_give(self, now: float, fleet: FleetState) -> dict[CountKey, int]:
        """Choose units to return to reserves, and mark them as being given."""
        if now < self._give_due or self._giving:
            return {}
        give: dict[CountKey, int] = {}
        for key in sorted(self._frozen):
            self._add(give, key, self._idle(fleet, key))
        for key in sorted(self._owed):
            self._add(give, key, self._repayable(fleet, key))
        for key in list(self._reserved):
            self._fill_reservation(now, fleet, key, give)
        self._return_idle(now, fleet, give)
        if give:
            self._start_give(now, give, None)
        return give

    @staticmethod
    def _add(units: dict[CountKey, int], key: CountKey, more: int) -> None:
        """Add a number of units to a count if it is positive."""
        if more > 0:
            units[key] = units.get(key, 0) + more

    def _repayable(self, fleet: FleetState, key: CountKey) -> int:
        """Return the owed units that are no longer in use."""
        count = fleet.counts.get(key)
        owed = count.owed.get(self.session, 0) if count else 0
        return min(owed, owed + self._idle(fleet, key))

    def _fill_reservation(
        self, now: float, fleet: FleetState, key: CountKey, give: dict[CountKey, int]
    ) -> None:
        """Give reserved units that have become idle; drop an expired reservation."""
        reservation = self._reserved[key]
        above = self._held(fleet, key) - self._floor(fleet, key)
        units = min(reservation.units, above, self._idle(fleet, key))
        if units > 0:
            self._add(give, key, units)
            reservation.units -= units
            self._above_floor_since.pop(key, None)
            self._no_extra_until[key] = now + RECORD_INTERVAL_S
        if reservation.units <= 0 or above <= 0 or now >= reservation.until:
            del self._reserved[key]

    def _return_idle(
        self, now: float, fleet: FleetState, give: dict[CountKey, int]
    ) -> None:
        """Return units above the floor that were idle for the whole window."""
        idle_s = fleet.config.fleet.idle_return_s
        while self._window_start:
            key, start = next(iter(self._window_start.items()))
            if start + idle_s > now:
                return
            del self._window_start[key]
            held = self._held(fleet, key) - give.get(key, 0)
            above = held - self._floor(fleet, key)
            peak = max(self._peak_in_use.get(key, 0), self._in_use.get(key, 0))
            units = min(above, held - peak) if self._scarce(fleet, key) else 0
            self._add(give, key, units)
            if above > max(0, units):
                self._start_window(now, key)

    @staticmethod
    def _scarce(fleet: FleetState, key: CountKey) -> bool:
        """Whether the reserve is so low that idle units should be returned to it."""
        count = fleet.counts.get(key)
        return count is None or count.available < SCARCE_RESERVE_RATIO * count.total

    def _start_give(
        self, now: float, units: dict[CountKey, int], to: SessionId | None
    ) -> rec.SliceGive:
        """Mark units as being given, before the record that gives them is appended."""
        self._give_due = now + RECORD_INTERVAL_S
        self._giving.update(units)
        record = rec.SliceGive(
            record_id=RecordId(""), by=self.session, units=dict(units), to=to
        )
        self._pending.append(record)
        return record

    def _take_record(self, units: dict[CountKey, int]) -> rec.SliceTake:
        return rec.SliceTake(record_id=RecordId(""), by=self.session, units=dict(units))

    # Unit requests between peers

    def _plan_requests(
        self, now: float, fleet: FleetState, shortage: Mapping[CountKey, int]
    ) -> dict[SessionId, dict[CountKey, int]]:
        """Choose a peer to request units from for each count whose reserve is empty."""
        if now < self._request_due or not shortage:
            return {}
        requests: dict[SessionId, dict[CountKey, int]] = {}
        for key, units in shortage.items():
            count = fleet.counts.get(key)
            if count is None or count.frozen or count.available > 0:
                continue
            peer = self._choose_peer(fleet, key, count)
            if peer is not None:
                requests.setdefault(peer, {})[key] = units
        if requests:
            self._request_due = now + UNIT_REQUEST_INTERVAL_S
        return requests

    def _choose_peer(
        self, fleet: FleetState, key: CountKey, count: Count
    ) -> SessionId | None:
        """Return a peer with units to lend, rotating from the largest holder on."""
        holders = [
            s
            for s, n in count.held.items()
            if s != self.session and n > self._not_lendable(fleet, key, s)
        ]
        holders = [s for s in holders if fleet.sessions[s].state is SessionState.OPEN]
        if not holders:
            return None
        holders.sort(key=lambda s: (-count.held[s], s))
        turn = self._peer_turns[key]
        self._peer_turns[key] += 1
        return holders[turn % len(holders)]

    def _not_lendable(self, fleet: FleetState, key: CountKey, peer: SessionId) -> int:
        """Return the units of a count that this session and a peer do not lend.

        Within a data centre, half of the floor may be lent: if the data centre is cut
        off, its sessions still hold its whole part.
        """
        floor = self._floor(fleet, key)
        found = fleet.sessions.get(peer)
        if found is not None and found.dc == self._dc:
            return (floor + 1) // 2
        return floor

    def on_units_asked(
        self,
        now: float,
        fleet: FleetState,
        session: SessionId,
        units: dict[CountKey, int],
    ) -> rec.SliceGive | None:
        """Handle a peer's request for units.

        Idle units are given at once. Of the units in use, the peer's part is reserved
        and returned to the reserve as work ends.

        :returns: record to append; ``None`` if nothing can be given now
        """
        if not self._session_open(fleet):
            return None
        self._refresh_counts(now, fleet)
        give: dict[CountKey, int] = {}
        may_give = now >= self._give_due and not self._giving
        for key, asked in units.items():
            count = fleet.counts.get(key)
            if count is None or count.frozen:
                continue
            spare = self._held(fleet, key) - self._not_lendable(fleet, key, session)
            idle = min(asked, spare, self.free(fleet, key)) if may_give else 0
            self._add(give, key, idle)
            self._reserve(now, fleet, session, key, asked - max(0, idle))
        return self._start_give(now, give, session) if give else None

    def _reserve(
        self,
        now: float,
        fleet: FleetState,
        session: SessionId,
        key: CountKey,
        missing: int,
    ) -> None:
        """Reserve units above the floor for a session that holds fewer."""
        floor = self._floor(fleet, key)
        above = self._held(fleet, key) - floor
        if missing <= 0 or above <= 0 or key in self._reserved:
            return
        peer_above = fleet.held_by(key, session) - floor
        units = (above - peer_above) // 2
        if units == 0 and above > peer_above:
            units = int(
                now - self._above_floor_since.get(key, now) >= ROTATION_INTERVAL_S
            )
        if units > 0:
            reserved = min(units, missing, above)
            self._reserved[key] = _Reservation(reserved, now + RESERVATION_TIMEOUT_S)

    # Folded records

    def on_record(self, outcome: Outcome) -> None:
        """Handle a folded record; called after each one, in log order."""
        record = outcome.record
        if isinstance(record, rec.SliceTake | rec.SliceGive):
            self._on_slice_record(outcome, record)
        elif isinstance(record, _RESCAN_RECORDS):
            self._rescan = True
        elif isinstance(record, _INSTANCE_RECORDS):
            self._changed_counts.update(
                (slots_key(record.instance), conns_key(record.instance))
            )

    def on_state_loaded(self) -> None:
        """Handle the replacement of the folded state by a newer one."""
        self._rescan = True

    def _on_slice_record(
        self, outcome: Outcome, record: rec.SliceTake | rec.SliceGive
    ) -> None:
        """Confirm an own record; mark counts as changed if a peer gave units."""
        if record.by == self.session:
            self._confirm(outcome, record)
        elif isinstance(record, rec.SliceGive) and record.to == self.session:
            self._mark_changed(record.units)

    def _mark_changed(self, keys: Iterable[CountKey]) -> None:
        """Mark counts to be reclassified at the next plan."""
        self._changed_counts.update(keys)

    def _confirm(self, outcome: Outcome, record: rec.SliceTake | rec.SliceGive) -> None:
        """Complete the pending take or give whose record has been read back.

        A duplicate of a confirmed record is ignored, since a later record with the same
        content may still be pending.
        """
        if record.record_id in self._confirmed_ids:
            return
        self._confirmed_ids.append(record.record_id)
        for pending in self._pending:
            if self._same_content(pending, record):
                break
        else:
            return
        self._pending.remove(pending)
        counter = self._taking if isinstance(record, rec.SliceTake) else self._giving
        for key, units in record.units.items():
            counter[key] -= units
            if counter[key] <= 0:
                del counter[key]
        self._mark_changed(record.units)

    @staticmethod
    def _same_content(
        pending: rec.SliceTake | rec.SliceGive, record: rec.SliceTake | rec.SliceGive
    ) -> bool:
        """Whether a record that was read back has the same content as a pending one."""
        if type(pending) is not type(record) or pending.units != record.units:
            return False
        if isinstance(pending, rec.SliceGive) and isinstance(record, rec.SliceGive):
            return pending.to == record.to
        return True
