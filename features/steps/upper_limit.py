"""Steps about upper limits: entries that share the units of counts by one log."""

import random
from collections import Counter
from functools import partial

from behave import given, then, when

from primrosepitch.config.model import Document, InstanceSpec, PoolSpec, TeamSpec
from primrosepitch.fleet import records as rec
from primrosepitch.fleet.counts import Count
from primrosepitch.fleet.fold import fold
from primrosepitch.fleet.state import FleetState, SessionState
from primrosepitch.ids import SessionId
from primrosepitch.teams.holdings import Holdings

KEYS = ("limit/wide", "limit/narrow")
MAX_REQUEST_S = 30.0
INSTANCE = partial(InstanceSpec, dc="dc1", rack="r", pool="pool", address="", port=1)


class Entry:
    """An entry with its own state, which may lag behind the log."""

    def __init__(self, session, location):
        self.session, (self.address, self.dc) = session, location
        self.fleet, self.holdings = FleetState(), Holdings(session)
        self.outbox, self.work, self.ended_at = [], [], {}
        self.paused = False

    def read(self, log, now, max_records=None):
        stop = len(log) if max_records is None else self.fleet.offset + 1 + max_records
        for offset in range(self.fleet.offset + 1, min(stop, len(log))):
            record = log[offset]
            self.holdings.on_record(fold(self.fleet, offset, record))
            self.outbox = [r for r in self.outbox if r.record_id != record.record_id]
        for session, info in self.fleet.sessions.items():
            if info.state is SessionState.ENDED:
                self.ended_at.setdefault(session, now)

    def start(self, now, key, max_units, duration):
        units = min(max_units, self.holdings.free(self.fleet, key))
        for _ in range(units):
            self.holdings.acquire(key)
            self.work.append((key, now + duration, self.fleet.offset))

    def end_work(self, now):
        for item in [w for w in self.work if w[1] <= now]:
            self.work.remove(item)
            self.holdings.release(item[0])


class World:
    """Simulated log, network and clock of entries; one seed determines a run."""

    def __init__(self, seed, settle_s=MAX_REQUEST_S):
        self.rng, self.now, self.settle_s = random.Random(seed), 0.0, settle_s
        self.log, self.latest, self.limits = [], FleetState(), {k: [] for k in KEYS}
        self.entries, self.crashed_work, self.late_records, self.messages = (
            [],
            [],
            [],
            [],
        )
        self.cut_until, self.event_counts, self.record_count = {}, Counter(), 0
        self.publish({"wide": 13, "narrow": 3})
        for location in [(f"10.0.0.{i}:1", f"dc{i % 3}") for i in range(6)]:
            self.open_session(location)

    def append(self, record):
        offset = len(self.log)
        self.log.append(record)
        return fold(self.latest, offset, record)

    def header(self, by="operator"):
        self.record_count += 1
        return {"record_id": f"r{self.record_count}", "by": by}

    def publish(self, limits, slots=0):
        doc = Document(
            teams={t: TeamSpec(limit=n) for t, n in limits.items() if n},
            pools={"pool": PoolSpec()},
            instances={"i1": INSTANCE(slots=slots)} if slots else {},
        )
        self.append(
            rec.ConfigPublished(
                base_offset=self.latest.config_offset,
                documents={"fleet.yaml": doc},
                **self.header(),
            )
        )
        for team, limit in limits.items():
            self.limits[f"limit/{team}"].append((len(self.log) - 1, limit))

    def open_session(self, location):
        entry = Entry(SessionId(f"s{self.record_count}"), location)
        self.append(
            rec.SessionOpened(
                session=entry.session,
                role=rec.Role.ENTRY,
                dc=entry.dc,
                instance=entry.address,
                peer_address=entry.address,
                **self.header(entry.session),
            )
        )
        entry.read(self.log, self.now)
        self.entries.append(entry)

    def enqueue_record(self, entry, kind, **fields):
        entry.outbox.append(kind(**fields, **self.header(entry.session)))

    def plan(self, entry, wanted):
        take, give, ask = entry.holdings.plan(self.now, entry.fleet, wanted)
        if take:
            self.enqueue_record(entry, rec.SliceTake, units=take)
        if give:
            self.enqueue_record(entry, rec.SliceGive, units=give)
        self.messages += [(entry, to, units) for to, units in ask.items()]

    def active(self, connected=False):
        active = [e for e in self.entries if not e.paused]
        return [e for e in active if not connected or e.dc not in self.cut_until]

    def advance(self, seconds):
        self.now += seconds
        self.cut_until = {d: t for d, t in self.cut_until.items() if t > self.now}
        for entry in self.active():
            entry.end_work(self.now)

    def running(self, key):
        crashed = [w for w in self.crashed_work if w[1] > self.now]
        work = [w for e in self.entries for w in e.work]
        return [w for w in work + crashed if w[0] == key]

    def check(self):
        for key in KEYS:
            work, limits = self.running(key), self.limits[key]
            count, limit = self.latest.counts.get(key, Count()), limits[-1][1]
            assert count.reserve + sum(count.held.values()) == count.total
            assert count.abandoned or count.total == limit
            oldest = min((w[2] for w in work), default=len(self.log))
            ends = [o for o, _ in limits[1:]] + [len(self.log) + 1]
            bound = max(n for (_, n), s in zip(limits, ends, strict=True) if s > oldest)
            assert len(work) <= bound, f"{key}: {len(work)} running, limit {bound}"
            new = sum(1 for w in work if w[2] >= limits[-1][0])
            assert new <= limit, f"{key}: {new} started under the limit of {limit}"

    # Events

    def do_read(self):
        entry = self.rng.choice(self.active(connected=True))
        entry.read(self.log, self.now, self.rng.choice([1, 4, 16, 64]))

    def do_plan(self):
        wanted = {k: self.rng.choice([0, 2, 9]) for k in KEYS}
        self.plan(self.rng.choice(self.active()), wanted)

    def do_start(self):
        entry, key = self.rng.choice(self.active()), self.rng.choice(KEYS)
        duration = self.rng.choice([0.5, 3.0, 9.0, MAX_REQUEST_S])
        entry.start(self.now, key, 9, duration)

    def do_append(self):
        """Append a pending record; it stays pending, as the response may get lost."""
        entry = self.rng.choice(self.active(connected=True))
        if entry.outbox:
            self.append(self.rng.choice(entry.outbox))

    def do_late_append(self):
        if self.late_records:
            self.append(
                self.late_records.pop(self.rng.randrange(len(self.late_records)))
            )

    def do_duplicate(self):
        """Append one of the recent give records once more."""
        gives = [r for r in self.log[-60:] if isinstance(r, rec.SliceGive)]
        if gives:
            self.append(self.rng.choice(gives))

    def do_ask(self):
        if not self.messages:
            return
        sender, to, units = self.messages.pop(self.rng.randrange(len(self.messages)))
        for entry in self.active():
            partitioned = entry.dc != sender.dc and {entry.dc, sender.dc} & set(
                self.cut_until
            )
            if entry.session == to and not partitioned and self.rng.random() < 0.8:
                args = (self.now, entry.fleet, sender.session, units)
                record = entry.holdings.on_units_asked(*args)
                if record is not None:
                    self.enqueue_record(
                        entry, rec.SliceGive, units=record.units, to=record.to
                    )

    def do_crash(self):
        entry = self.rng.choice(self.entries)
        self.entries.remove(entry)
        self.crashed_work += entry.work
        self.late_records += entry.outbox
        if self.rng.random() < 0.5:
            fields = {"proof": rec.Proof.FENCED, "renewed_offset": len(self.log)}
            self.append(
                rec.SessionEnded(session=entry.session, **fields, **self.header())
            )
        self.open_session((entry.address, entry.dc))

    def do_settle(self):
        entry = self.rng.choice(self.active(connected=True))
        for session, ended_at in entry.ended_at.items():
            if session in entry.fleet.sessions and self.now - ended_at >= self.settle_s:
                self.append(
                    rec.SessionSettled(session=session, **self.header("planner"))
                )
                return

    def do_pause(self):
        if len(self.active(connected=True)) > 2:
            self.rng.choice(self.active(connected=True)).paused = True

    def do_resume(self):
        """Resume an entry, which starts work by its outdated state before it reads."""
        paused = [e for e in self.entries if e.paused]
        if paused:
            entry = self.rng.choice(paused)
            entry.paused = False
            entry.end_work(self.now)
            entry.start(self.now, self.rng.choice(KEYS), 9, MAX_REQUEST_S)
            self.plan(entry, {})

    def do_cut(self):
        if not self.cut_until and len({e.dc for e in self.active()}) == 3:
            self.cut_until = {self.rng.choice(["dc0", "dc1", "dc2"]): self.now + 3600.0}

    def do_limit(self):
        """Change the limits of teams; a limit of 0 removes the team."""
        sizes = {"wide": [4, 7, 13, 20], "narrow": [0, 1, 3, 5]}
        self.publish({t: self.rng.choice(n) for t, n in sizes.items()})

    def do_wait(self):
        long_s = [1800.0] if self.cut_until else [35.0]
        self.advance(self.rng.choice([1.0, 1.0, 2.0, 3.0, *long_s]))

    WEIGHTS = {
        "read": 40, "plan": 30, "start": 30, "append": 40, "late_append": 2,
        "duplicate": 2, "ask": 20, "crash": 0.4, "settle": 2, "pause": 0.5,
        "resume": 2, "cut": 0.1, "limit": 0.7, "wait": 2,
    }  # fmt: skip

    def run(self, events):
        kinds, weights = zip(*self.WEIGHTS.items(), strict=True)
        for kind in self.rng.choices(kinds, weights, k=events):
            self.event_counts[kind] += 1
            self.advance(self.rng.random() * 0.1)
            getattr(self, f"do_{kind}")()
            self.check()

    def run_without_faults(self, seconds, wanted, users=None):
        """Run without random faults; the given entries, or all, have demand.

        :param wanted: wanted units by key
        :param users: entries with this demand; all if ``None``
        :returns: for each step of 0.25 s the running units by key and by session, data
            centre and ``all``
        """
        samples = []
        for _ in range(int(seconds / 0.25)):
            self.advance(0.25)
            for entry in self.entries:
                self.run_entry(entry, wanted if users is None or entry in users else {})
            for _ in range(len(self.messages)):
                self.do_ask()
            self.do_settle()
            self.check()
            samples.append(Counter())
            for entry in self.entries:
                for key, _, _ in entry.work:
                    samples[-1].update(
                        (s, key) for s in (entry.session, entry.dc, "all")
                    )
        return samples

    def run_entry(self, entry, wanted):
        connected = entry.dc not in self.cut_until
        if connected:
            entry.read(self.log, self.now)
        for key, units in wanted.items():
            entry.start(self.now, key, units, 1.0)
        self.plan(entry, wanted)
        for record in entry.outbox if connected else []:
            self.append(record)


DEMAND = dict.fromkeys(KEYS, 20)


@given("six entries in three data centres with seed {seed:d}")
def step_six_entries(context, seed):
    context.world = World(seed)


@when("{events:d} random events and faults happen")
def step_random_events(context, events):
    context.world.run(events)
    print(dict(context.world.event_counts))


@then("every unit is usable again within {seconds:d} s after the faults")
def step_usable(context, seconds):
    world = context.world
    world.cut_until, world.messages = {}, []
    for entry in world.entries:
        entry.paused = False
    world.run_without_faults(seconds, {})
    samples = world.run_without_faults(20, DEMAND)
    for key in KEYS:
        assert max(s["all", key] for s in samples) == world.limits[key][-1][1], key


@when("an entry returns an idle unit twice and the first record is repeated")
def step_repeated_append(context):
    world, key = context.world, KEYS[1]
    world.publish({"wide": 13, "narrow": 1})
    entry = context.entry = world.entries[0]
    records = []
    for _ in range(2):
        world.run_entry(entry, {})
        world.advance(1.5)
        entry.read(world.log, world.now)
        world.plan(entry, {key: 1})
        world.run_entry(entry, {})
        world.run_entry(entry, {})
        world.advance(3.0)
        world.plan(entry, {})
        records += [r for r in entry.outbox if isinstance(r, rec.SliceGive)]
    assert [r.units for r in records] == [{key: 1}] * 2
    world.append(records[0])
    entry.read(world.log, world.now)


@then("the unit of the second record is not free again")
def step_not_free(context):
    assert len(context.entry.outbox) == 1
    assert context.entry.holdings.free(context.entry.fleet, KEYS[1]) == 0


@when("all entries are idle for {seconds:d} s")
def step_idle(context, seconds):
    context.world.run_without_faults(seconds, {})


@when("{dc} is cut off for {seconds:d} s while every entry has full demand")
def step_cut_off(context, dc, seconds):
    context.world.cut_until = {dc: context.world.now + seconds}
    context.samples = context.world.run_without_faults(seconds, DEMAND)


@then("{dc} ran {units:d} units of {key} all the time")
def step_ran_all_the_time(context, dc, units, key):
    assert {s[dc, key] for s in context.samples} == {units}


@when("only one entry has demand for {seconds:d} s")
def step_demand_at_one(context, seconds):
    context.entry = context.world.entries[3]
    context.samples = context.world.run_without_faults(seconds, DEMAND, [context.entry])


@then("this entry runs {units:d} units of {key}")
def step_runs(context, units, key):
    assert context.samples[-1][context.entry.session, key] == units


@when("all entries have demand for {seconds:d} s")
def step_demand_at_all(context, seconds):
    context.samples = context.world.run_without_faults(seconds, DEMAND)


@then("each entry has run units of {key}")
def step_each_has_run(context, key):
    for entry in context.world.entries:
        assert any(s[entry.session, key] for s in context.samples), entry.session


@given("the entries of dc1 run requests on instance i1, for 3 s and for 9 s")
def step_run_on_instance(context):
    world = context.world
    world.publish({"wide": 13, "narrow": 3}, slots=8)
    world.run_without_faults(4, {})
    users = [e for e in world.entries if e.dc == "dc1"]
    for entry, seconds in zip(users, (3.0, 9.0), strict=True):
        entry.start(world.now, "slots/i1", 9, seconds)
        assert len(entry.work) == 4


@when("its slots are reduced to 1 and i1 drains for {seconds:d} s")
def step_drain(context, seconds):
    world = context.world
    world.publish({"wide": 13, "narrow": 3}, slots=1)
    drain = rec.DrainStarted(
        instance="i1",
        reason=rec.DrainReason.REBOOT,
        base_offset=len(world.log),
        **world.header(),
    )
    assert world.append(drain).void is None
    world.run_without_faults(seconds, {})


@then("i1 is {state}")
def step_drained(context, state):
    assert context.world.latest.drained("i1") == (state == "drained")


@when("one entry uses 1 unit of {key} each 5 s for {seconds:d} s")
def step_infrequent_use(context, key, seconds):
    world, entry = context.world, context.world.entries[0]
    world.run_without_faults(5, {})
    context.entry, context.log_length_before = entry, len(world.log)
    for _ in range(seconds // 5):
        if not entry.holdings.free(entry.fleet, key):
            world.plan(entry, {key: 1})
        world.run_without_faults(1, {})
        entry.start(world.now, key, 1, 1.0)
        assert entry.holdings.in_use(key) == 1
        world.run_without_faults(4, {})


@then("this entry has appended one take and no give")
def step_one_take(context):
    appended = context.world.log[context.log_length_before :]
    own = [type(r) for r in appended if r.by == context.entry.session]
    assert own == [rec.SliceTake], appended
