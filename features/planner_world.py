"""Planners, entries and a platform on one log, on a virtual clock with one seed."""

import random

import msgspec

from features.fleet_world import DCS, command, document
from primrosepitch.fleet import records as rec
from primrosepitch.fleet.fold import fold
from primrosepitch.fleet.state import FleetState, Phase
from primrosepitch.planning import effects as out
from primrosepitch.planning import events as ev
from primrosepitch.planning.reducer import step
from primrosepitch.planning.state import PlannerState

TICK_S = 0.25
WALL = 1_000_000.0
UNITS = {"slots": 4, "conns": 64}


class Machine(msgspec.Struct):
    """An instance as it really is."""

    name: str
    boot: int = 1
    live: bool = True
    back_at: float | None = None

    @property
    def incarnation(self):
        return f"{self.name}-{self.boot}"


class Job(msgspec.Struct):
    """A task as the platform runs it."""

    effect: out.StartTask
    usage: ev.Size
    started: float
    deadline: float
    state: str = "running"

    @property
    def live(self):
        return self.state in ("running", "throttled")


class Actor:
    """A process that reads the log with a delay and appends with a delay."""

    def __init__(self, world, name):
        self.world, self.name, self.dc = world, name, name[1]
        self.offset = -1
        self.paused_until = 0.0
        self.deaf_until = 0.0
        self.outbox = []
        self.delay = 0.0

    @property
    def runs(self):
        return self.world.now >= self.paused_until

    def send(self, record):
        world = self.world
        record = msgspec.structs.replace(record, record_id=world.new_id(), by=self.name)
        self.outbox.append((world.now + self.delay * world.rng.random(), record))

    def flush(self):
        while self.outbox and self.outbox[0][0] <= self.world.now:
            if self.dc in self.world.cut or self.world.now < self.deaf_until:
                return
            record = self.outbox.pop(0)[1]
            self.world.append(record)
            if self.world.rng.random() < self.world.lost_answers:
                self.outbox.append((self.world.now + 1.0, record))

    def unread(self):
        """Yield what has reached this process by now."""
        if self.dc in self.world.cut or self.world.now < self.deaf_until:
            return
        lag = self.delay * self.world.rng.random()
        while self.offset + 1 < len(self.world.log):
            at, record = self.world.log[self.offset + 1]
            if at + lag > self.world.now:
                return
            self.offset += 1
            yield self.offset, record


class Planner(Actor):
    """A planner with its real reducer."""

    def __init__(self, world, name):
        super().__init__(world, name)
        self.state = PlannerState(name, self.dc)
        # Seconds between an effect of the reducer and its call of the platform.
        self.stall = 0.0
        self.platform_down = False
        self.answers, self.commands = [], []
        self.lines = []

    def handle(self, event):
        effects = step(self.state, event)
        for effect in effects:
            self.carry_out(effect)
        return effects

    def carry_out(self, effect):
        world, now = self.world, self.world.now
        if isinstance(effect, out.Append):
            self.send(effect.record)
        elif isinstance(effect, out.LogLine):
            self.lines.append(effect)
        elif isinstance(effect, out.ListInstances) and self.dc not in world.cut:
            as_of, rows = world.listed()
            self.handle(
                ev.InstancesListed(now=now, asked=now, as_of=as_of, instances=rows)
            )
        elif isinstance(effect, out.Probe):
            machine = world.machines.get(effect.target)
            ok = machine is not None and machine.live
            self.handle(
                ev.ProbeAnswered(now=now, target=effect.target, asked=now, ok=ok)
            )
        elif isinstance(effect, out.RestartInstance) and self.dc not in world.cut:
            world.calls.append((now + self.stall, self, effect))
        else:
            self.platform_call(effect)

    def platform_call(self, effect):
        """Answer the commands about tasks."""
        world, now = self.world, self.world.now
        if self.dc in world.cut:
            return
        if isinstance(effect, out.ListTasks):
            rows = [r for r in world.task_rows() if r.instance[0] == self.dc]
            self.handle(ev.TasksListed(now=now, asked=now, tasks=rows))
        elif isinstance(effect, out.StartTask):
            if world.late_start_s:
                self.commands.append((now + world.late_start_s, effect))
                world.late_start_s = 0.0
                return
            ok = world.start_task(effect)
            self.answers.append((effect.task, ev.TaskAction.START, ok))
        elif isinstance(effect, out.ChangeTask) and now >= world.tasks_down_until:
            # Each command takes effect after its own time, so room comes piecemeal.
            self.commands.append((now + world.rng.random() * 0.5, effect))

    def turn(self):
        now = self.world.now
        due = [effect for at, effect in self.commands if at <= now]
        self.commands = [c for c in self.commands if c[0] > now]
        for effect in due:
            if isinstance(effect, out.StartTask):
                self.world.start_task(effect)
                continue
            ok = self.world.change_task(effect)
            self.answers.append((effect.task, effect.action, ok))
        answers, self.answers = self.answers, []
        for task, action, ok in answers:
            self.handle(ev.TaskAnswered(now=now, task=task, action=action, ok=ok))
        for offset, record in self.unread():
            self.handle(ev.RecordRead(now=now, offset=offset, record=record))
            self.world.check_reader(self.state.fleet)
        self.handle(ev.Tick(now=now, wall=WALL + now))
        self.flush()


class Entry(Actor):
    """An entry that holds units, uses them, and returns them when work ends."""

    def __init__(self, world, name):
        super().__init__(world, name)
        self.fleet = FleetState()
        self.busy = {}

    def turn(self):
        for offset, record in self.unread():
            fold(self.fleet, offset, record)
            self.world.check_reader(self.fleet)
        if self.name in self.fleet.sessions and not self.outbox:
            self.use_units()
        self.flush()

    def use_units(self):
        rng, now = self.world.rng, self.world.now
        give, take = {}, {}
        for name, inst in self.fleet.instances.items():
            key = f"slots/{name}"
            held = self.fleet.held_by(key, self.name)
            if inst.phase is Phase.ACTIVE and held == 0 and inst.dc == self.dc:
                if rng.random() < 0.02:
                    take[key] = rng.randrange(1, 3)
            elif held and inst.phase is Phase.ACTIVE:
                if rng.random() < 0.1:
                    self.busy[name] = now + rng.random() * 3
            elif held and now > self.busy.get(name, 0.0):
                give[key] = held
        if take:
            self.send(rec.SliceTake(record_id="", by="", units=take))
        if give:
            self.send(rec.SliceGive(record_id="", by="", units=give))


class World:
    """Everything of one run."""

    def __init__(self, seed=1, minimum=4, delay=0.2, entries=1, planners=1, **options):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.log, self.calls, self.cut, self.problems = [], [], set(), []
        self.truth = FleetState()
        self.digests = {}
        self.lost_answers = 0.0
        self.list_lag = 2.0
        self.reboot_s = 5.0
        self.restarts, self.stopped_boot = [], {}
        self.tasks_down_until = self.late_start_s = 0.0
        self.jobs, self.usage, self.failing, self.starts = {}, {}, set(), []
        self.outcomes = []
        self.publish(document(minimum=minimum, **options))
        self.machines = {n: Machine(n) for n in self.truth.instances}
        self.lists = [(WALL, self.rows())]
        self.actors = []
        for i in range(max(entries, planners)):
            for dc in DCS:
                for kind in "e" * (i < entries) + "p" * (i < planners):
                    self.start(f"{kind}{dc}{i or ''}", delay)
            # The planners named without a number take the leases.
            assert self.run(10, lambda: len(self.truth.leases) == len(DCS))

    def start(self, name, delay=0.2):
        actor = (Planner if name[0] == "p" else Entry)(self, name)
        actor.delay = delay
        self.actors.append(actor)
        self.run_command("op", f"open {name}")
        return actor

    def __getitem__(self, name):
        return next(a for a in self.actors if a.name == name)

    @property
    def planners(self):
        return [a for a in self.actors if isinstance(a, Planner)]

    def new_id(self):
        return f"id{self.rng.getrandbits(64):x}"

    def publish(self, doc):
        return self.append(
            rec.ConfigPublished(
                record_id=self.new_id(),
                by="op",
                base_offset=self.truth.config_offset,
                documents={"f": doc},
            )
        )

    def run_command(self, by, text, state=None):
        record = command(state or self.truth, by, text)
        return self.append(
            msgspec.structs.replace(record, record_id=self.new_id(), by=by)
        )

    # Platform

    def rows(self):
        return [
            ev.ListedInstance(
                m.name, m.name[0], "r", ev.ListedState.LIVE, m.incarnation
            )
            for m in self.machines.values()
            if m.live
        ]

    def listed(self):
        as_of = WALL + self.now - self.list_lag
        known = [rows for at, rows in self.lists if at <= as_of]
        return as_of, known[-1] if known else self.lists[0][1]

    def start_task(self, effect):
        used = ev.Size()
        for job in self.jobs.values():
            if job.live and job.effect.instance == effect.instance:
                used = used.plus(job.usage)
        usage = self.usage.get(effect.task.rpartition(".")[0], effect.size)
        machine = self.machines[effect.instance]
        spec = self.truth.config.instances[effect.instance]
        room = ev.Size(spec.cores, spec.memory_gb, spec.accelerators).minus(used)
        if effect.task in self.jobs or not machine.live or not usage.fits(room):
            return False
        job = Job(effect, usage, self.now, self.now + effect.lease_s)
        job.state = "failed" if effect.instance in self.failing else "running"
        self.jobs[effect.task] = job
        self.starts.append((self.now, effect))
        return True

    def change_task(self, effect):
        job = self.jobs.get(effect.task)
        if job is None or not job.live:
            return False
        ends = {"checkpoint": "checkpointed", "throttle": "throttled"}
        if effect.action is ev.TaskAction.RENEW:
            job.deadline = self.now + job.effect.lease_s
        else:
            job.state = ends.get(effect.action.value, "stopped")
        if effect.action is ev.TaskAction.THROTTLE:
            job.usage = msgspec.structs.replace(job.usage, cores=job.usage.cores / 2)
        return True

    def task_rows(self):
        return [
            ev.TaskReport(
                task=name,
                instance=job.effect.instance,
                team=job.effect.team,
                state=job.state,
                size=job.effect.size,
                priority=job.effect.priority,
                usage=job.usage if self.now - job.started >= 1 else None,
            )
            for name, job in self.jobs.items()
        ]

    def check_tasks(self):
        """Let leases lapse and tasks end with their worker; check the limits."""
        running = {}
        for job in self.jobs.values():
            if job.live and self.now > job.deadline:
                job.state = "lapsed"
            if job.live and not self.machines[job.effect.instance].live:
                job.state = "lost"
            if job.live:
                running[job.effect.team] = running.get(job.effect.team, 0) + 1
        for team, count in running.items():
            if count > self.truth.config.teams[team].limit:
                self.problems.append(f"{team} runs {count} tasks at {self.now}")

    def restart(self, name, stop):
        if any(j.live and j.effect.instance == name for j in self.jobs.values()):
            self.problems.append(f"{name} was restarted with a task on it")
        if self.truth.instances[name].phase is not Phase.STOPPING:
            self.problems.append(f"{name} was restarted without a planned stop")
        if any(name in a.busy and a.busy[name] > self.now for a in self.entries):
            self.problems.append(f"{name} was restarted with work on it")
        self.restarts.append(name)
        self.stopped_boot[name] = self.machines[name].boot
        self.fail(name, None if stop else self.reboot_s)

    @property
    def entries(self):
        return [a for a in self.actors if isinstance(a, Entry)]

    def fail(self, name, back_s=None):
        machine = self.machines[name]
        machine.live = False
        machine.back_at = None if back_s is None else self.now + back_s

    # Log

    def append(self, record):
        offset = len(self.log)
        before = msgspec.structs.replace(self.truth)
        available = {n: i.available for n, i in self.truth.instances.items()}
        stopping = {
            n for n, i in self.truth.instances.items() if i.phase is Phase.STOPPING
        }
        pools = {n: i.pool for n, i in self.truth.instances.items()}
        drained = {n for n in pools if self.truth.drained(n)}
        self.log.append((self.now, record))
        outcome = fold(self.truth, offset, record)
        self.outcomes.append(outcome)
        assert self.truth.offset >= before.offset
        self.check_counts()
        self.digests[offset] = self.digest(self.truth)
        if outcome.void is None:
            self.check_record(record, available, stopping, pools, drained)
        return outcome

    def digest(self, fleet):
        instances = {n: (i.pool, i.up, i.phase) for n, i in fleet.instances.items()}
        return hash((str(instances), str(fleet.leases), str(fleet.counts)))

    def check_reader(self, fleet):
        if self.digests[fleet.offset] != self.digest(fleet):
            self.problems.append(f"folds differ at offset {fleet.offset}")

    def check_counts(self):
        for key, count in self.truth.counts.items():
            if count.reserve < 0 or count.reserve + sum(count.held.values()) != (
                count.total
            ):
                self.problems.append(f"{key} is {count}")

    def check_record(self, record, available, stopping, pools, drained):
        fleet = self.truth
        name = getattr(record, "instance", None)
        if isinstance(record, rec.DrainStarted) and available[name]:
            pool = fleet.instances[name].pool
            left = sum(available[n] for n in pools if pools[n] == pool) - 1
            needs = [s.min_available for s in fleet.config.services.values()]
            if pool == "press" and left < max(needs):
                self.problems.append(f"the stop of {name} overdraws a budget")
        if isinstance(record, rec.StopRequested):
            self.stopped_boot[name] = float("inf")
        if isinstance(record, rec.StopRequested) and name not in drained:
            self.problems.append(f"{name} is stopped before it has drained")
        if isinstance(record, rec.InstanceUp) and name in stopping:
            # It may have failed again since; the boot must be one after its restart.
            boot = int(record.incarnation.rpartition("-")[2])
            if boot <= self.stopped_boot[name]:
                self.problems.append(f"{name} counts as up before it has returned")
        for key, inst in fleet.instances.items():
            moved = isinstance(record, rec.MoveFinished) and name == key
            if inst.pool != pools.get(key, inst.pool) and not (
                moved and key in drained
            ):
                self.problems.append(f"{key} changed its pool without a move")

    # Time

    def run(self, seconds, until=None):
        """Let time pass; return whether ``until`` held before the end."""
        end = self.now + seconds
        while self.now < end:
            self.now += TICK_S
            self.platform_turn()
            for actor in self.actors:
                if actor.runs:
                    actor.turn()
            if until is not None and until():
                return True
        return until is None

    def platform_turn(self):
        for machine in self.machines.values():
            if machine.back_at is not None and self.now >= machine.back_at:
                machine.back_at = None
                machine.live = True
                machine.boot += 1
        self.check_tasks()
        self.lists.append((WALL + self.now, self.rows()))
        del self.lists[:-1000]
        due = [call for call in self.calls if call[0] < self.now]
        self.calls = [call for call in self.calls if call[0] >= self.now]
        for _, actor, effect in due:
            if actor.platform_down or self.now > effect.not_after:
                continue
            self.restart(effect.instance, effect.stop)
            if actor.runs:
                answer = ev.RestartAnswered(
                    now=self.now, instance=effect.instance, ok=1
                )
                actor.handle(answer)

    def all_up(self):
        return all(i.available for i in self.truth.instances.values())
