"""Steps about upper limits: sessions that share counts through one log."""

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


class Proc:
    """An entry with its own, possibly old, view of the log."""

    def __init__(self, session, place):
        self.session, (self.address, self.dc) = session, place
        self.fleet, self.holdings = FleetState(), Holdings(session)
        self.outbox, self.work, self.ends = [], [], {}
        self.paused = False

    def read(self, log, now, most=None):
        stop = len(log) if most is None else self.fleet.offset + 1 + most
        for offset in range(self.fleet.offset + 1, min(stop, len(log))):
            record = log[offset]
            self.holdings.on_record(fold(self.fleet, offset, record))
            self.outbox = [r for r in self.outbox if r.record_id != record.record_id]
        for name, found in self.fleet.sessions.items():
            if found.state is SessionState.ENDED:
                self.ends.setdefault(name, now)

    def start(self, now, key, most, duration):
        units = min(most, self.holdings.free(self.fleet, key))
        for _ in range(units):
            self.holdings.acquire(key)
            self.work.append((key, now + duration, self.fleet.offset))

    def end_work(self, now):
        for item in [w for w in self.work if w[1] <= now]:
            self.work.remove(item)
            self.holdings.release(item[0])


class World:
    """The log, the network and the clock between entries, driven by one seed."""

    def __init__(self, seed, settle_s=MAX_REQUEST_S):
        self.rng, self.now, self.settle_s = random.Random(seed), 0.0, settle_s
        self.log, self.tip, self.limits = [], FleetState(), {k: [] for k in KEYS}
        self.procs, self.dead, self.late, self.messages = [], [], [], []
        self.cut, self.counts, self.names = {}, Counter(), 0
        self.publish({"wide": 13, "narrow": 3})
        for place in [(f"10.0.0.{i}:1", f"dc{i % 3}") for i in range(6)]:
            self.open(place)

    def append(self, record):
        offset = len(self.log)
        self.log.append(record)
        return fold(self.tip, offset, record)

    def header(self, by="operator"):
        self.names += 1
        return {"record_id": f"r{self.names}", "by": by}

    def publish(self, limits, slots=0):
        doc = Document(
            teams={t: TeamSpec(limit=n) for t, n in limits.items() if n},
            pools={"pool": PoolSpec()},
            instances={"i1": INSTANCE(slots=slots)} if slots else {},
        )
        self.append(
            rec.ConfigPublished(
                base_offset=self.tip.config_offset,
                documents={"fleet.yaml": doc},
                **self.header(),
            )
        )
        for team, limit in limits.items():
            self.limits[f"limit/{team}"].append((len(self.log) - 1, limit))

    def open(self, place):
        proc = Proc(SessionId(f"s{self.names}"), place)
        self.append(
            rec.SessionOpened(
                session=proc.session,
                role=rec.Role.ENTRY,
                dc=proc.dc,
                instance=proc.address,
                peer_address=proc.address,
                **self.header(proc.session),
            )
        )
        proc.read(self.log, self.now)
        self.procs.append(proc)

    def post(self, proc, kind, **fields):
        proc.outbox.append(kind(**fields, **self.header(proc.session)))

    def plan(self, proc, wanted):
        take, give, ask = proc.holdings.plan(self.now, proc.fleet, wanted)
        if take:
            self.post(proc, rec.SliceTake, units=take)
        if give:
            self.post(proc, rec.SliceGive, units=give)
        self.messages += [(proc, to, units) for to, units in ask.items()]

    def live(self, linked=False):
        found = [p for p in self.procs if not p.paused]
        return [p for p in found if not linked or p.dc not in self.cut]

    def pass_time(self, seconds):
        self.now += seconds
        self.cut = {d: t for d, t in self.cut.items() if t > self.now}
        for proc in self.live():
            proc.end_work(self.now)

    def running(self, key):
        dead = [w for w in self.dead if w[1] > self.now]
        work = [w for p in self.procs for w in p.work]
        return [w for w in work + dead if w[0] == key]

    def check(self):
        for key in KEYS:
            work, limits = self.running(key), self.limits[key]
            count, limit = self.tip.counts.get(key, Count()), limits[-1][1]
            assert count.reserve + sum(count.held.values()) == count.total
            assert count.abandoned or count.total == limit
            oldest = min((w[2] for w in work), default=len(self.log))
            stops = [o for o, _ in limits[1:]] + [len(self.log) + 1]
            bound = max(
                n for (_, n), s in zip(limits, stops, strict=True) if s > oldest
            )
            assert len(work) <= bound, f"{key}: {len(work)} running, limit {bound}"
            new = sum(1 for w in work if w[2] >= limits[-1][0])
            assert new <= limit, f"{key}: {new} started under a limit of {limit}"

    # Events

    def do_read(self):
        proc = self.rng.choice(self.live(linked=True))
        proc.read(self.log, self.now, self.rng.choice([1, 4, 16, 64]))

    def do_plan(self):
        wanted = {k: self.rng.choice([0, 2, 9]) for k in KEYS}
        self.plan(self.rng.choice(self.live()), wanted)

    def do_start(self):
        proc, key = self.rng.choice(self.live()), self.rng.choice(KEYS)
        duration = self.rng.choice([0.5, 3.0, 9.0, MAX_REQUEST_S])
        proc.start(self.now, key, 9, duration)

    def do_append(self):
        """An append arrives; its answer may be lost, so it may arrive again."""
        proc = self.rng.choice(self.live(linked=True))
        if proc.outbox:
            self.append(self.rng.choice(proc.outbox))

    def do_late_append(self):
        if self.late:
            self.append(self.late.pop(self.rng.randrange(len(self.late))))

    def do_duplicate(self):
        """The network delivers an old append once more."""
        slices = [r for r in self.log[-60:] if isinstance(r, rec.SliceGive)]
        if slices:
            self.append(self.rng.choice(slices))

    def do_ask(self):
        if not self.messages:
            return
        asker, to, units = self.messages.pop(self.rng.randrange(len(self.messages)))
        for proc in self.live():
            apart = proc.dc != asker.dc and {proc.dc, asker.dc} & set(self.cut)
            if proc.session == to and not apart and self.rng.random() < 0.8:
                args = (self.now, proc.fleet, asker.session, units)
                record = proc.holdings.on_units_asked(*args)
                if record is not None:
                    self.post(proc, rec.SliceGive, units=record.units, to=record.to)

    def do_crash(self):
        proc = self.rng.choice(self.procs)
        self.procs.remove(proc)
        self.dead += proc.work
        self.late += proc.outbox
        if self.rng.random() < 0.5:
            fields = {"proof": rec.Proof.FENCED, "renewed_offset": len(self.log)}
            self.append(
                rec.SessionEnded(session=proc.session, **fields, **self.header())
            )
        self.open((proc.address, proc.dc))

    def do_settle(self):
        proc = self.rng.choice(self.live(linked=True))
        for name, seen in proc.ends.items():
            if name in proc.fleet.sessions and self.now - seen >= self.settle_s:
                self.append(rec.SessionSettled(session=name, **self.header("planner")))
                return

    def do_pause(self):
        if len(self.live(linked=True)) > 2:
            self.rng.choice(self.live(linked=True)).paused = True

    def do_resume(self):
        """A paused entry first acts on its old view."""
        paused = [p for p in self.procs if p.paused]
        if paused:
            proc = self.rng.choice(paused)
            proc.paused = False
            proc.end_work(self.now)
            proc.start(self.now, self.rng.choice(KEYS), 9, MAX_REQUEST_S)
            self.plan(proc, {})

    def do_cut(self):
        if not self.cut and len({p.dc for p in self.live()}) == 3:
            self.cut = {self.rng.choice(["dc0", "dc1", "dc2"]): self.now + 3600.0}

    def do_limit(self):
        """Change limits; 0 removes a team."""
        sizes = {"wide": [4, 7, 13, 20], "narrow": [0, 1, 3, 5]}
        self.publish({t: self.rng.choice(n) for t, n in sizes.items()})

    def do_wait(self):
        long = [1800.0] if self.cut else [35.0]
        self.pass_time(self.rng.choice([1.0, 1.0, 2.0, 3.0, *long]))

    WEIGHTS = {
        "read": 40, "plan": 30, "start": 30, "append": 40, "late_append": 2,
        "duplicate": 2, "ask": 20, "crash": 0.4, "settle": 2, "pause": 0.5,
        "resume": 2, "cut": 0.1, "limit": 0.7, "wait": 2,
    }  # fmt: skip

    def run(self, events):
        kinds, weights = zip(*self.WEIGHTS.items(), strict=True)
        for kind in self.rng.choices(kinds, weights, k=events):
            self.counts[kind] += 1
            self.pass_time(self.rng.random() * 0.1)
            getattr(self, f"do_{kind}")()
            self.check()

    def calm(self, seconds, wanted, users=None):
        """Run without random faults; the users, or all, use what is wanted.

        :returns: for each step the running units by session, data centre and all
        """
        samples = []
        for _ in range(int(seconds / 0.25)):
            self.pass_time(0.25)
            for proc in self.procs:
                self.turn(proc, wanted if users is None or proc in users else {})
            for _ in range(len(self.messages)):
                self.do_ask()
            self.do_settle()
            self.check()
            samples.append(Counter())
            for proc in self.procs:
                for key, _, _ in proc.work:
                    samples[-1].update((s, key) for s in (proc.session, proc.dc, "all"))
        return samples

    def turn(self, proc, wanted):
        linked = proc.dc not in self.cut
        if linked:
            proc.read(self.log, self.now)
        for key, units in wanted.items():
            proc.start(self.now, key, units, 1.0)
        self.plan(proc, wanted)
        for record in proc.outbox if linked else []:
            self.append(record)


DEMAND = dict.fromkeys(KEYS, 20)


@given("six entries in three data centres, driven by seed {seed:d}")
def step_world(context, seed):
    context.world = World(seed)


@when("{events:d} random events and faults happen")
def step_events(context, events):
    context.world.run(events)
    print(dict(context.world.counts))


@then("every unit can be used within {seconds:d} s after the faults")
def step_usable(context, seconds):
    world = context.world
    world.cut, world.messages = {}, []
    for proc in world.procs:
        proc.paused = False
    world.calm(seconds, {})
    samples = world.calm(20, DEMAND)
    for key in KEYS:
        assert max(s["all", key] for s in samples) == world.limits[key][-1][1], key


@when("an entry gives an idle unit back twice and the first record is repeated")
def step_repeat(context):
    world, key = context.world, KEYS[1]
    world.publish({"wide": 13, "narrow": 1})
    proc = context.proc = world.procs[0]
    records = []
    for _ in range(2):
        world.turn(proc, {})
        world.pass_time(1.5)
        proc.read(world.log, world.now)
        world.plan(proc, {key: 1})
        world.turn(proc, {})
        world.turn(proc, {})
        world.pass_time(3.0)
        world.plan(proc, {})
        records += [r for r in proc.outbox if isinstance(r, rec.SliceGive)]
    assert [r.units for r in records] == [{key: 1}] * 2
    world.append(records[0])
    proc.read(world.log, world.now)


@then("the unit of the second record is not free again")
def step_not_free(context):
    assert len(context.proc.outbox) == 1
    assert context.proc.holdings.free(context.proc.fleet, KEYS[1]) == 0


@when("all entries are idle for {seconds:d} s")
def step_idle(context, seconds):
    context.world.calm(seconds, {})


@when("{dc} is cut off for {seconds:d} s under full demand everywhere")
def step_cut(context, dc, seconds):
    context.world.cut = {dc: context.world.now + seconds}
    context.samples = context.world.calm(seconds, DEMAND)


@then("{dc} ran {units:d} units of {key} throughout")
def step_throughout(context, dc, units, key):
    assert {s[dc, key] for s in context.samples} == {units}


@when("only one entry has demand for {seconds:d} s")
def step_one(context, seconds):
    context.proc = context.world.procs[3]
    context.samples = context.world.calm(seconds, DEMAND, [context.proc])


@then("it runs {units:d} units of {key}")
def step_runs(context, units, key):
    assert context.samples[-1][context.proc.session, key] == units


@when("all entries have demand for {seconds:d} s")
def step_all(context, seconds):
    context.samples = context.world.calm(seconds, DEMAND)


@then("each entry has run units of {key}")
def step_each(context, key):
    for proc in context.world.procs:
        assert any(s[proc.session, key] for s in context.samples), proc.session


@given("the entries of dc1 run work on instance i1, for 3 s and for 9 s")
def step_instance(context):
    world = context.world
    world.publish({"wide": 13, "narrow": 3}, slots=8)
    world.calm(4, {})
    users = [p for p in world.procs if p.dc == "dc1"]
    for proc, seconds in zip(users, (3.0, 9.0), strict=True):
        proc.start(world.now, "slots/i1", 9, seconds)
        assert len(proc.work) == 4


@when("its slots are lowered to 1 and i1 drains for {seconds:d} s")
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
    world.calm(seconds, {})


@then("i1 is {state}")
def step_drained(context, state):
    assert context.world.tip.drained("i1") == (state == "drained")


@when("one entry uses 1 unit of {key} each 5 s for {seconds:d} s")
def step_seldom(context, key, seconds):
    world, proc = context.world, context.world.procs[0]
    world.calm(5, {})
    context.proc, context.before = proc, len(world.log)
    for _ in range(seconds // 5):
        if not proc.holdings.free(proc.fleet, key):
            world.plan(proc, {key: 1})
        world.calm(1, {})
        proc.start(world.now, key, 1, 1.0)
        assert proc.holdings.in_use(key) == 1
        world.calm(4, {})


@then("it has appended one take and no give")
def step_no_give(context):
    late = context.world.log[context.before :]
    own = [type(r) for r in late if r.by == context.proc.session]
    assert own == [rec.SliceTake], late
