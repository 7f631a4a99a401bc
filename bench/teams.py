"""Shares and limits of teams in virtual time, compared with static equal slices.

The entries share one folded log, whose records take effect one step later. Usage
reports are a second old. In turn, each queue's demand is five times its mean.
"""

from __future__ import annotations

import random
import time
from collections import Counter
from collections.abc import Iterator
from statistics import mean
from typing import NamedTuple

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.TSerialization import serialize

from bench.measure import Measure
from primrosepitch.config.model import (
    Document,
    InstanceSpec,
    PoolSpec,
    ServiceSpec,
    TeamSpec,
)
from primrosepitch.fleet import records as rec
from primrosepitch.fleet.counts import limit_key, slots_key
from primrosepitch.fleet.fold import fold
from primrosepitch.fleet.state import FleetState
from primrosepitch.gen.primrose.ttypes import Body, Envelope, Status, TeamUsage, Usage
from primrosepitch.teams.fairness import RunningEstimate, fair_shares, next_team
from primrosepitch.teams.holdings import Holdings, HoldingsPlan

COMMAND = "python -m bench teams"
SEEDS = (1, 2, 3)
STEP_S = 0.05
SERVICE_TIME_S = 0.5
BURST_S = 10.0
MEAN_DEMAND = 0.4
"""Mean demand of a queue as a fraction of its pool; five times it is twice the pool."""

BURST_FACTOR = 5.0
QUIET_FACTOR = 0.05
QUEUE_LIMIT = 20
"""Maximum number of a team's requests waiting in one queue of one entry."""


class Size(NamedTuple):
    """Size of a fleet; ``bursts`` is the number of queues with a burst, in turn."""

    name: str
    teams: int
    workers: int
    queues: int
    entries: int
    dcs: int
    bursts: int


TODAY = Size("today", 6, 30, 5, 8, 3, 5)
TARGET = Size("target", 370, 880, 34, 60, 7, 1)


class StaticSlices:
    """Baseline: each entry permanently holds an equal part of each count."""

    def __init__(self, rank: dict[str | None, tuple[int, int]]) -> None:
        """Initialize with the rank and number of sharers by data centre, or of all.

        :param rank: rank and number by data centre, and among all by ``None``
        """
        self.rank = rank
        self.used: Counter[str] = Counter()

    def free(self, fleet: FleetState, key: str) -> int:
        """Return the unused units of the entry's part."""
        kind, _, name = key.partition("/")
        dc = None if kind == "limit" else fleet.config.instances[name].dc
        if dc not in self.rank:
            return 0
        index, sharers = self.rank[dc]
        total = fleet.counts[key].total
        return total // sharers + (index < total % sharers) - self.used[key]

    def acquire(self, key: str) -> None:
        """Mark a unit as in use."""
        self.used[key] += 1

    def release(self, key: str) -> None:
        """Mark a unit as no longer in use."""
        self.used[key] -= 1

    def plan(self, *_: object) -> HoldingsPlan:
        """Return a plan that moves no units."""
        return HoldingsPlan({}, {}, {})

    def on_record(self, outcome: object) -> None:
        """Ignore a record."""


class Entry:
    """An entry with its queues and running requests."""

    def __init__(
        self,
        session: str,
        dc: str,
        holdings: Holdings | StaticSlices,
        estimate: RunningEstimate,
    ) -> None:
        """Initialize an idle entry."""
        self.session, self.dc, self.holdings = session, dc, holdings
        self.waiting: dict[int, Counter[str]] = {}
        self.running: Counter[tuple[int, str]] = Counter()
        self.ends: list[tuple[float, int, str, str]] = []
        self.estimate = estimate


def group_by_queue(rows: Counter[tuple[int, str]]) -> dict[int, dict[str, int]]:
    """Return running requests grouped by queue, then team."""
    usage: dict[int, dict[str, int]] = {}
    for (queue, team), units in rows.items():
        usage.setdefault(queue, {})[team] = units
    return usage


def document(size: Size) -> Document:
    """Return the configuration of a fleet of a size."""
    racks = range(size.workers)
    return Document(
        pools={f"p{q}": PoolSpec() for q in range(size.queues)},
        services={f"p{q}": ServiceSpec(pool=f"p{q}") for q in range(size.queues)},
        teams={
            f"t{i:03}": TeamSpec(share=1 + i % 3, limit=20 + 7 * (i % 6))
            for i in range(size.teams)
        },
        instances={
            f"i{n:03}": InstanceSpec(
                dc=f"dc{n // size.queues % size.dcs}",
                rack=f"r{n // 4}",
                pool=f"p{n % size.queues}",
                address="127.0.0.1",
                port=1,
            )
            for n in racks
        },
    )


class Sim:
    """A simulated fleet of entries in virtual time.

    :param policy: ``smoothed`` or ``last`` usage reports with holdings, or ``static``
        slices
    """

    def __init__(self, size: Size, policy: str, seed: int) -> None:
        """Publish the configuration and open the sessions of all entries."""
        self.size, self.policy, self.rng = size, policy, random.Random(seed)
        self.fleet, self.now, self.offset = FleetState(), 0.0, -1
        self.inbox: list[rec.Record] = []
        self.unit_requests: list[tuple[str, str, dict[str, int]]] = []
        self.slice_bytes = 0
        self.entries: list[Entry] = []
        doc = {"f": document(size)}
        self.append(
            rec.ConfigPublished(record_id="c", by="", base_offset=-1, documents=doc)
        )
        dcs = [f"dc{i % size.dcs}" for i in range(size.entries)]
        for i, dc in enumerate(dcs):
            rank = {
                None: (i, size.entries),
                dc: (dcs[:i].count(dc), dcs.count(dc)),
            }
            session = f"s{i:02}"
            static = policy == "static"
            holdings = StaticSlices(rank) if static else Holdings(session)
            last = RunningEstimate(session, report_weight=1.0, own_change_weight=1.0)
            estimate = last if policy == "last" else RunningEstimate(session)
            self.entries.append(Entry(session, dc, holdings, estimate))
            self.append(
                rec.SessionOpened(
                    record_id=session,
                    by=session,
                    session=session,
                    role=rec.Role.ENTRY,
                    dc=dc,
                    instance=session,
                    peer_address=f"127.0.0.1:{i}",
                )
            )
        self.deliver()
        self.slice_bytes = 0
        teams = self.fleet.config.teams
        self.weights = {t: s.share for t, s in teams.items()}
        queues = range(size.queues)
        self.users = {
            q: [
                t
                for i, t in enumerate(teams)
                if size.teams < 20 or i % len(queues) == q
            ]
            for q in queues
        }
        self.pools: dict[tuple[int, str], list[str]] = {}
        for name, inst in self.fleet.config.instances.items():
            self.pools.setdefault((int(inst.pool[1:]), inst.dc), []).append(name)
        self.slots = Counter(
            int(i.pool[1:]) for i in self.fleet.config.instances.values()
        )

    def append(self, record: rec.Record) -> None:
        """Append a record to the log; entries read it one step later."""
        self.inbox.append(record)

    def deliver(self) -> None:
        """Fold the appended records at every entry."""
        records, self.inbox = self.inbox, []
        for record in records:
            self.offset += 1
            self.slice_bytes += len(rec.encode_record(record))
            outcome = fold(self.fleet, self.offset, record)
            for entry in self.entries:
                entry.holdings.on_record(outcome)

    # One step

    def step(self, demand: dict[int, float], only: Entry | None = None) -> None:
        """Advance the clock one step.

        :param demand: load by queue, as a fraction of its pool
        :param only: entry that receives all arrivals; ``None`` chooses at random
        """
        self.now += STEP_S
        self.deliver()
        for queue, load in demand.items():
            self.arrive(
                queue, load * self.slots[queue] * 8 / SERVICE_TIME_S * STEP_S, only
            )
        for entry in self.entries:
            self.finish(entry)
            for queue in entry.waiting:
                self.dispatch(entry, queue)
            self.plan(entry)
        self.answer_unit_requests()

    def arrive(self, queue: int, mean: float, only: Entry | None) -> None:
        """Add Poisson arrivals at random entries, or at one."""
        left = mean - self.rng.expovariate(1.0)
        while left > 0:
            entry = only or self.rng.choice(self.entries)
            users = self.users[queue]
            team = users[int(len(users) * self.rng.random() ** 1.5)]
            waiting = entry.waiting.setdefault(queue, Counter())
            if waiting[team] < QUEUE_LIMIT:
                waiting[team] += 1
            left -= self.rng.expovariate(1.0)

    def finish(self, entry: Entry) -> None:
        """End the requests whose service time is over."""
        due = [e for e in entry.ends if e[0] <= self.now]
        if due:
            entry.ends = [e for e in entry.ends if e[0] > self.now]
        for _, queue, team, name in due:
            entry.running[queue, team] -= 1
            entry.holdings.release(limit_key(team))
            entry.holdings.release(slots_key(name))

    def dispatch(self, entry: Entry, queue: int) -> None:
        """Start waiting requests as long as units are free."""
        free = entry.holdings.free
        waiting = entry.waiting[queue]
        pool = self.pools.get((queue, entry.dc), [])
        while True:
            teams = [
                t for t, n in waiting.items() if n and free(self.fleet, limit_key(t))
            ]
            if not teams or not pool:
                return
            name = max(pool, key=lambda i: free(self.fleet, slots_key(i)))
            if free(self.fleet, slots_key(name)) <= 0:
                return
            running = {t: self.estimated_running(entry, queue, t) for t in teams}
            rule = "static" if self.policy == "static" else "max_min"
            team = next_team(running, self.weights, rule)
            waiting[team] -= 1
            entry.running[queue, team] += 1
            entry.holdings.acquire(limit_key(team))
            entry.holdings.acquire(slots_key(name))
            end = self.now + self.rng.uniform(0.5, 1.5) * SERVICE_TIME_S
            entry.ends.append((end, queue, team, name))

    def estimated_running(self, entry: Entry, queue: int, team: str) -> float:
        """Return an entry's estimate of running requests; only its own if static."""
        count = entry.running[queue, team]
        if self.policy == "static":
            return count
        return entry.estimate.running(queue, team, count)

    def plan(self, entry: Entry) -> None:
        """Append what the holdings take and give, and request units of peers."""
        wanted: Counter[str] = Counter()
        for queue, teams in entry.waiting.items():
            waiting = {t: n for t, n in teams.items() if n}
            for team, n in waiting.items():
                wanted[limit_key(team)] += n
            pool = self.pools.get((queue, entry.dc), [])
            for name in pool if waiting else []:
                wanted[slots_key(name)] += -(-sum(waiting.values()) // len(pool))
        take, give, ask = entry.holdings.plan(self.now, self.fleet, wanted)
        fields = {"record_id": self.new_id(), "by": entry.session}
        if take:
            self.append(rec.SliceTake(units=take, **fields))
        if give:
            fields["record_id"] = self.new_id()
            self.append(rec.SliceGive(units=give, **fields))
        self.unit_requests += [
            (entry.session, peer, units) for peer, units in ask.items()
        ]

    def new_id(self) -> str:
        """Return a record id of the length used in production."""
        return f"{self.rng.getrandbits(128):032x}"

    def answer_unit_requests(self) -> None:
        """Let peers answer the requests for units of this step."""
        requests, self.unit_requests = self.unit_requests, []
        for session, peer, units in requests:
            lender = next(e for e in self.entries if e.session == peer)
            give = lender.holdings.on_units_asked(self.now, self.fleet, session, units)
            if give is not None:
                fields = {"units": give.units, "to": give.to, "by": peer}
                self.append(rec.SliceGive(record_id=self.new_id(), **fields))

    def report(self) -> None:
        """Exchange usage reports; since smoothing is linear, the others' are summed."""
        total = Counter[tuple[int, str]]()
        for entry in self.entries:
            total.update(entry.running)
        for entry in self.entries:
            others = total.copy()
            others.subtract(entry.running)
            entry.estimate.report(entry.session, group_by_queue(entry.running))
            entry.estimate.report("others", group_by_queue(others))

    def run(self, demand: dict[int, float], seconds: float) -> Iterator[None]:
        """Run for some seconds, yielding after each step."""
        for n in range(round(seconds / STEP_S)):
            if n % round(1 / STEP_S) == 0:
                self.report()
            self.step(demand)
            yield


# Distance from the fair share


def distance(sim: Sim, queue: int) -> float:
    """Return the distance from the fair share in one burst, in % of the pool."""
    used: Counter[str] = Counter()
    fair: Counter[str] = Counter()
    demand = dict.fromkeys(range(sim.size.queues), MEAN_DEMAND * QUIET_FACTOR)
    demand[queue] = MEAN_DEMAND * BURST_FACTOR
    capacity = sim.slots[queue] * 8
    limits = sim.fleet.config.teams
    for _ in sim.run(demand, BURST_S):
        running: Counter[str] = Counter()
        elsewhere: Counter[str] = Counter()
        asked: Counter[str] = Counter()
        for entry in sim.entries:
            asked.update(entry.waiting.get(queue, {}))
            for (where, team), n in entry.running.items():
                (running if where == queue else elsewhere)[team] += n
        demands = {
            t: min(running[t] + asked[t], limits[t].limit - elsewhere[t])
            for t in sim.users[queue]
        }
        used.update(running)
        fair.update(fair_shares(demands, sim.weights, capacity))
    steps = BURST_S / STEP_S
    gap = sum(abs(used[t] - fair[t]) for t in sim.users[queue])
    return 100 * gap / steps / capacity


def distances(size: Size, policy: str, seed: int) -> tuple[list[float], float]:
    """Return the distance in each burst, and the bytes of slice records per second."""
    sim = Sim(size, policy, seed)
    quiet = dict.fromkeys(range(size.queues), MEAN_DEMAND * QUIET_FACTOR)
    for _ in sim.run(quiet, 4.0):
        pass
    sim.slice_bytes = 0
    by_burst = [distance(sim, queue) for queue in range(size.bursts)]
    return by_burst, sim.slice_bytes / (size.bursts * BURST_S)


def measure_shares(size: Size) -> Iterator[Measure]:
    """Measure the distance from the fair share and the bytes of slice records."""
    for seed in SEEDS if size is TODAY else SEEDS[:1]:
        static, _ = distances(size, "static", seed)
        for policy in ("smoothed", "last"):
            ours, slice_bytes = distances(size, policy, seed)
            for word, pick in (("largest", max), ("mean", mean)):
                yield Measure(
                    f"{word} distance from fair share, {policy} reports, {size.name}",
                    pick(ours),
                    "% of the pool",
                    "0",
                    f"{pick(static):.1f} static slices",
                    seed,
                    COMMAND,
                )
        yield Measure(
            f"log records of slices read by a node, burst, {size.name}",
            slice_bytes / 1000,
            "KB/s",
            "3 with reports",
            "0 static slices",
            seed,
            COMMAND,
        )


# Cut-off data centre, and return of lent units


def cut_off_limits(size: Size) -> Iterator[Measure]:
    """Measure the part of a limit that a data centre can use while cut off."""
    sim = Sim(size, "smoothed", SEEDS[0])
    static = Sim(size, "static", SEEDS[0])
    for _ in sim.run(dict.fromkeys(range(size.queues), MEAN_DEMAND), 8.0):
        pass
    parts = {}
    for fleet in (sim, static):
        cut_entries = [e for e in fleet.entries if e.dc == "dc1"]
        held = []
        for team, spec in fleet.fleet.config.teams.items():
            key = limit_key(team)
            units = sum(
                e.holdings.free(fleet.fleet, key)
                + sum(n for (_, t), n in e.running.items() if t == team)
                for e in cut_entries
            )
            held.append(units / spec.limit)
        parts[fleet.policy] = 100 * sum(held) / len(held)
    bound = 100 * len(cut_entries) / size.entries
    yield Measure(
        f"limit usable in a cut-off data centre, mean of teams, {size.name}",
        parts["smoothed"],
        "% of the limit",
        f"{bound:.1f}",
        f"{parts['static']:.1f} static slices",
        SEEDS[0],
        COMMAND,
    )


def lent_units(size: Size) -> Iterator[Measure]:
    """Measure the time until units lent to one entry have moved to another."""
    sim = Sim(size, "smoothed", SEEDS[0])
    for _ in sim.run({}, 4.0):
        pass
    keys = [limit_key(t) for t in sim.users[0]]
    first, second = sim.entries[:2]

    def held(entry: Entry) -> int:
        return sum(sim.fleet.held_by(key, entry.session) for key in keys)

    initial = held(second)
    for _ in range(round(8.0 / STEP_S)):
        sim.step({0: MEAN_DEMAND * BURST_FACTOR}, first)
    lent, start = held(first) - initial, sim.now
    first.waiting.clear()
    while held(second) - initial < 0.9 * lent and sim.now - start < 60.0:
        sim.step({0: MEAN_DEMAND * BURST_FACTOR}, second)
    yield Measure(
        f"time until 9/10 of {lent} lent units have moved, {size.name}",
        sim.now - start,
        "s",
        "2 idle + 1 between records + work",
        "static slices lend nothing",
        SEEDS[0],
        COMMAND,
    )


# Reports


def encoded_bytes(rows: dict[tuple[int, str], tuple[int, int]], origin: str) -> int:
    """Return the encoded size of a status message with changed usage."""
    teams = [TeamUsage(f"p{q}", t, r, w) for (q, t), (r, w) in rows.items()]
    status = Status(
        session="0" * 32,
        generation=0,
        offset=1_000_000,
        usage=[Usage(origin, teams, False)],
        processes=[],
        pending_withdrawals=[],
        log_contact=True,
    )
    envelope = Envelope(0, Body(status=status))
    return 4 + len(serialize(envelope, TCompactProtocolAcceleratedFactory()))


def usage_rows(
    entries: list[Entry], busy_only: bool
) -> dict[tuple[int, str], tuple[int, int]]:
    """Return running and waiting requests by queue and team.

    :param busy_only: whether to leave out queues without waiting requests
    """
    running: Counter[tuple[int, str]] = Counter()
    waiting: Counter[tuple[int, str]] = Counter()
    for entry in entries:
        running.update(entry.running)
        for queue, teams in entry.waiting.items():
            waiting.update({(queue, t): n for t, n in teams.items()})
    busy = {queue for (queue, _), n in waiting.items() if n}
    rows = running.keys() | waiting.keys()
    return {k: (running[k], waiting[k]) for k in rows if k[0] in busy or not busy_only}


def reports(size: Size) -> Iterator[Measure]:
    """Measure the bytes of reports per data centre, compared with a full mesh."""
    for busy_only in (False, True):
        yield from reports_of(size, busy_only)


def reports_of(size: Size, busy_only: bool) -> Iterator[Measure]:
    """Measure reports of all queues, or only of those with waiting requests."""
    sim = Sim(size, "smoothed", SEEDS[0])
    demand = dict.fromkeys(range(size.queues), MEAN_DEMAND * QUIET_FACTOR)
    demand[0] = MEAN_DEMAND * BURST_FACTOR
    groups: dict[str, list[Entry]] = {}
    for entry in sim.entries:
        groups.setdefault(entry.dc, []).append(entry)
    last: dict[str, dict[tuple[int, str], tuple[int, int]]] = {}
    mesh, first, other, seconds = 0, 0, 0, 5
    for _ in range(seconds):
        for _ in sim.run(demand, 1.0):
            pass
        sizes = {}
        origins = {e.session: [e] for e in sim.entries} | groups
        for origin, entries in origins.items():
            rows = usage_rows(entries, busy_only)
            old = last.get(origin, {})
            changed = {k: v for k, v in rows.items() if old.get(k, (0, 0)) != v}
            sizes[origin] = encoded_bytes(changed, origin)
            last[origin] = rows
        dc = groups["dc0"]
        peers = [sizes[e.session] for e in dc[1:]]
        others = sum(n for d, n in sizes.items() if d in groups and d != "dc0")
        own, n = sizes[dc[0].session], len(dc) - 1
        # The first entry of a data centre sends its aggregate to the first entries of
        # the others, and forwards their aggregates to its peers.
        first += n * (own + others) + sum(peers)
        first += sizes["dc0"] * (size.dcs - 1) + others
        other += n * peers[0] + sum(peers[1:]) + own + others
        everyone = sum(sizes[e.session] for e in sim.entries)
        mesh += own * (size.entries - 1) + everyone - own
    queues = "queues with waiting requests" if busy_only else "all queues"
    for word, total in (
        ("first entry of a data centre", first),
        ("other entry", other),
    ):
        yield Measure(
            f"reports of {queues} sent and received, {word}, burst, {size.name}",
            total / seconds / 1000,
            "KB/s",
            "3 with slices",
            f"{mesh / seconds / 1000:.1f} full mesh",
            SEEDS[0],
            COMMAND,
        )


# Cost


def idle_cost(size: Size) -> Iterator[Measure]:
    """Measure the processor time of the holdings of an idle entry."""
    sim = Sim(size, "smoothed", SEEDS[0])
    for _ in sim.run({}, 8.0):
        pass
    holdings = sim.entries[0].holdings
    steps = 4000
    start = time.process_time()
    for n in range(steps):
        holdings.plan(sim.now + n * STEP_S, sim.fleet, {})
    took_s = time.process_time() - start
    yield Measure(
        f"processor time of holdings, idle, {size.name}",
        100 * took_s / (steps * STEP_S),
        "% of a core",
        "1.3 for the process",
        "0 static slices",
        SEEDS[0],
        COMMAND,
    )


def run() -> list[Measure]:
    """Run all benchmarks at today's and at the target size."""
    measures: list[Measure] = []
    for size in (TODAY, TARGET):
        for measure in (measure_shares, cut_off_limits, lent_units, reports, idle_cost):
            measures += measure(size)
    return measures
