"""Planners, entries and a platform, simulated on a virtual clock with one seed."""

import random

import msgspec

from features.fleet_world import DCS, command_record, document
from primrosepitch.fleet import records as rec
from primrosepitch.fleet.fold import fold
from primrosepitch.fleet.state import FleetState, Phase
from primrosepitch.planning import effects as out
from primrosepitch.planning import events as ev
from primrosepitch.planning.reducer import step
from primrosepitch.planning.state import PlannerState

TICK_S = 0.25
WALL_START_S = 1_000_000.0
UNITS = {"slots": 4, "conns": 64}


class Host(msgspec.Struct):
    """Actual state of an instance; the log and the instance list lag behind it."""

    name: str
    boot: int = 1
    live: bool = True
    back_at: float | None = None

    @property
    def incarnation(self):
        return f"{self.name}-{self.boot}"


class PlatformTask(msgspec.Struct):
    """A task that the platform runs or has ended."""

    effect: out.StartTask
    usage: ev.Size
    started: float
    deadline: float
    state: str = "running"

    @property
    def live(self):
        return self.state in ("running", "throttled")


class Actor:
    """A process that reads the log and appends to it with a random delay."""

    def __init__(self, world, name):
        self.world, self.name, self.dc = world, name, name[1]
        self.offset = -1
        self.paused_until = 0.0
        self.log_cut_until = 0.0
        self.outbox = []
        self.max_delay_s = 0.0

    @property
    def running(self):
        return self.world.now >= self.paused_until

    def send(self, record):
        world = self.world
        record = msgspec.structs.replace(record, record_id=world.new_id(), by=self.name)
        self.outbox.append((world.now + self.max_delay_s * world.rng.random(), record))

    def flush(self):
        while self.outbox and self.outbox[0][0] <= self.world.now:
            if self.dc in self.world.cut_dcs or self.world.now < self.log_cut_until:
                return
            record = self.outbox.pop(0)[1]
            self.world.append(record)
            if self.world.rng.random() < self.world.lost_answer_rate:
                self.outbox.append((self.world.now + 1.0, record))

    def unread(self):
        """Yield the records that have reached this process since the last call."""
        if self.dc in self.world.cut_dcs or self.world.now < self.log_cut_until:
            return
        lag = self.max_delay_s * self.world.rng.random()
        while self.offset + 1 < len(self.world.log):
            at, record = self.world.log[self.offset + 1]
            if at + lag > self.world.now:
                return
            self.offset += 1
            yield self.offset, record


class Planner(Actor):
    """A planner that runs the real reducer."""

    def __init__(self, world, name):
        super().__init__(world, name)
        self.state = PlannerState(name, self.dc)
        # Delay between a restart effect of the reducer and the call to the platform.
        self.call_delay_s = 0.0
        self.platform_down = False
        self.answers, self.due_effects = [], []
        self.lines = []

    def handle(self, event):
        effects = step(self.state, event)
        for effect in effects:
            self.execute(effect)
        return effects

    def execute(self, effect):
        world, now = self.world, self.world.now
        if isinstance(effect, out.Append):
            self.send(effect.record)
        elif isinstance(effect, out.LogLine):
            self.lines.append(effect)
        elif isinstance(effect, out.ListInstances) and self.dc not in world.cut_dcs:
            as_of, rows = world.list_instances()
            self.handle(
                ev.InstancesListed(now=now, asked=now, as_of=as_of, instances=rows)
            )
        elif isinstance(effect, out.Probe):
            host = world.hosts.get(effect.target)
            ok = host is not None and host.live
            self.handle(
                ev.ProbeAnswered(now=now, target=effect.target, asked=now, ok=ok)
            )
        elif isinstance(effect, out.RestartInstance) and self.dc not in world.cut_dcs:
            world.pending_calls.append((now + self.call_delay_s, self, effect))
        else:
            self.execute_task_effect(effect)

    def execute_task_effect(self, effect):
        """Execute an effect that lists, starts or changes tasks."""
        world, now = self.world, self.world.now
        if self.dc in world.cut_dcs:
            return
        if isinstance(effect, out.ListTasks):
            rows = [r for r in world.task_reports() if r.instance[0] == self.dc]
            self.handle(ev.TasksListed(now=now, asked=now, tasks=rows))
        elif isinstance(effect, out.StartTask):
            if world.late_start_s:
                self.due_effects.append((now + world.late_start_s, effect))
                world.late_start_s = 0.0
                return
            ok = world.start_task(effect)
            self.answers.append((effect.task, ev.TaskAction.START, ok))
        elif isinstance(effect, out.ChangeTask) and now >= world.tasks_down_until:
            # Each command takes effect after a delay of its own, so capacity is freed
            # in steps.
            self.due_effects.append((now + world.rng.random() * 0.5, effect))

    def advance(self):
        now = self.world.now
        due = [effect for at, effect in self.due_effects if at <= now]
        self.due_effects = [c for c in self.due_effects if c[0] > now]
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
        self.handle(ev.Tick(now=now, wall=WALL_START_S + now))
        self.flush()


class Entry(Actor):
    """An entry that takes units, uses them and returns them when its work ends."""

    def __init__(self, world, name):
        super().__init__(world, name)
        self.fleet = FleetState()
        self.busy = {}

    def advance(self):
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
    """All simulated processes, the platform and the log of one run."""

    def __init__(
        self, seed=1, minimum=4, max_delay_s=0.2, entries=1, planners=1, **options
    ):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.log, self.pending_calls, self.cut_dcs, self.problems = [], [], set(), []
        self.fleet = FleetState()
        self.digests = {}
        self.lost_answer_rate = 0.0
        self.list_lag_s = 2.0
        self.reboot_s = 5.0
        self.restarts, self.boot_at_stop = [], {}
        self.tasks_down_until = self.late_start_s = 0.0
        self.tasks, self.usage, self.failing, self.starts = {}, {}, set(), []
        self.outcomes = []
        self.publish(document(minimum=minimum, **options))
        self.hosts = {n: Host(n) for n in self.fleet.instances}
        self.listings = [(WALL_START_S, self.live_rows())]
        self.actors = []
        for i in range(max(entries, planners)):
            for dc in DCS:
                for kind in "e" * (i < entries) + "p" * (i < planners):
                    self.start(f"{kind}{dc}{i or ''}", max_delay_s)
            # The first planners, named without a number, take the leases.
            assert self.run(10, lambda: len(self.fleet.leases) == len(DCS))

    def start(self, name, max_delay_s=0.2):
        actor = (Planner if name[0] == "p" else Entry)(self, name)
        actor.max_delay_s = max_delay_s
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
                base_offset=self.fleet.config_offset,
                documents={"f": doc},
            )
        )

    def run_command(self, by, text, state=None):
        record = command_record(state or self.fleet, by, text)
        return self.append(
            msgspec.structs.replace(record, record_id=self.new_id(), by=by)
        )

    # Platform

    def live_rows(self):
        return [
            ev.ListedInstance(
                h.name, h.name[0], "r", ev.ListedState.LIVE, h.incarnation
            )
            for h in self.hosts.values()
            if h.live
        ]

    def list_instances(self):
        as_of = WALL_START_S + self.now - self.list_lag_s
        visible = [rows for at, rows in self.listings if at <= as_of]
        return as_of, visible[-1] if visible else self.listings[0][1]

    def start_task(self, effect):
        used = ev.Size()
        for task in self.tasks.values():
            if task.live and task.effect.instance == effect.instance:
                used = used.add(task.usage)
        usage = self.usage.get(effect.task.rpartition(".")[0], effect.size)
        host = self.hosts[effect.instance]
        spec = self.fleet.config.instances[effect.instance]
        room = ev.Size(spec.cores, spec.memory_gb, spec.accelerators).subtract(used)
        if effect.task in self.tasks or not host.live or not usage.fits(room):
            return False
        task = PlatformTask(effect, usage, self.now, self.now + effect.lease_s)
        task.state = "failed" if effect.instance in self.failing else "running"
        self.tasks[effect.task] = task
        self.starts.append((self.now, effect))
        return True

    def change_task(self, effect):
        task = self.tasks.get(effect.task)
        if task is None or not task.live:
            return False
        ends = {"checkpoint": "checkpointed", "throttle": "throttled"}
        if effect.action is ev.TaskAction.RENEW:
            task.deadline = self.now + task.effect.lease_s
        else:
            task.state = ends.get(effect.action.value, "stopped")
        if effect.action is ev.TaskAction.THROTTLE:
            task.usage = msgspec.structs.replace(task.usage, cores=task.usage.cores / 2)
        return True

    def task_reports(self):
        return [
            ev.TaskReport(
                task=name,
                instance=task.effect.instance,
                team=task.effect.team,
                state=task.state,
                size=task.effect.size,
                priority=task.effect.priority,
                usage=task.usage if self.now - task.started >= 1 else None,
            )
            for name, task in self.tasks.items()
        ]

    def check_tasks(self):
        """End tasks whose lease lapsed or instance failed; check the team limits."""
        running = {}
        for task in self.tasks.values():
            if task.live and self.now > task.deadline:
                task.state = "lapsed"
            if task.live and not self.hosts[task.effect.instance].live:
                task.state = "lost"
            if task.live:
                running[task.effect.team] = running.get(task.effect.team, 0) + 1
        for team, count in running.items():
            if count > self.fleet.config.teams[team].limit:
                self.problems.append(
                    f"{team} runs {count} tasks, above its limit, at {self.now} s"
                )

    def restart(self, name, stop):
        if any(t.live and t.effect.instance == name for t in self.tasks.values()):
            self.problems.append(f"{name} was restarted while a task ran on it")
        if self.fleet.instances[name].phase is not Phase.STOPPING:
            self.problems.append(f"{name} was restarted without a planned stop")
        if any(name in a.busy and a.busy[name] > self.now for a in self.entries):
            self.problems.append(f"{name} was restarted while an entry had work on it")
        self.restarts.append(name)
        self.boot_at_stop[name] = self.hosts[name].boot
        self.fail(name, None if stop else self.reboot_s)

    @property
    def entries(self):
        return [a for a in self.actors if isinstance(a, Entry)]

    def fail(self, name, back_s=None):
        host = self.hosts[name]
        host.live = False
        host.back_at = None if back_s is None else self.now + back_s

    # Log

    def append(self, record):
        offset = len(self.log)
        before = msgspec.structs.replace(self.fleet)
        available = {n: i.available for n, i in self.fleet.instances.items()}
        stopping = {
            n for n, i in self.fleet.instances.items() if i.phase is Phase.STOPPING
        }
        pools = {n: i.pool for n, i in self.fleet.instances.items()}
        drained = {n for n in pools if self.fleet.drained(n)}
        self.log.append((self.now, record))
        outcome = fold(self.fleet, offset, record)
        self.outcomes.append(outcome)
        assert self.fleet.offset >= before.offset
        self.check_counts()
        self.digests[offset] = self.digest(self.fleet)
        if outcome.void is None:
            self.check_record(record, available, stopping, pools, drained)
        return outcome

    def digest(self, fleet):
        instances = {n: (i.pool, i.up, i.phase) for n, i in fleet.instances.items()}
        return hash((str(instances), str(fleet.leases), str(fleet.counts)))

    def check_reader(self, fleet):
        if self.digests[fleet.offset] != self.digest(fleet):
            self.problems.append(f"the folded states differ at offset {fleet.offset}")

    def check_counts(self):
        for key, count in self.fleet.counts.items():
            if count.reserve < 0 or count.reserve + sum(count.held.values()) != (
                count.total
            ):
                self.problems.append(f"the units of {key} do not add up: {count}")

    def check_record(self, record, available, stopping, pools, drained):
        fleet = self.fleet
        name = getattr(record, "instance", None)
        if isinstance(record, rec.DrainStarted) and available[name]:
            pool = fleet.instances[name].pool
            left = sum(available[n] for n in pools if pools[n] == pool) - 1
            needs = [s.min_available for s in fleet.config.services.values()]
            if pool == "press" and left < max(needs):
                self.problems.append(f"the drain of {name} overdraws a budget")
        if isinstance(record, rec.StopRequested):
            self.boot_at_stop[name] = float("inf")
        if isinstance(record, rec.StopRequested) and name not in drained:
            self.problems.append(f"{name} was stopped before it had drained")
        if isinstance(record, rec.InstanceUp) and name in stopping:
            # The instance may have failed again since; its boot must be later than the
            # one that was stopped.
            boot = int(record.incarnation.rpartition("-")[2])
            if boot <= self.boot_at_stop[name]:
                self.problems.append(f"{name} counts as up before it has rebooted")
        for key, inst in fleet.instances.items():
            moved = isinstance(record, rec.MoveFinished) and name == key
            if inst.pool != pools.get(key, inst.pool) and not (
                moved and key in drained
            ):
                self.problems.append(f"{key} changed its pool without a finished move")

    # Clock

    def run(self, seconds, until=None):
        """Advance the clock; return whether ``until`` held before the end."""
        end = self.now + seconds
        while self.now < end:
            self.now += TICK_S
            self.advance_platform()
            for actor in self.actors:
                if actor.running:
                    actor.advance()
            if until is not None and until():
                return True
        return until is None

    def advance_platform(self):
        for host in self.hosts.values():
            if host.back_at is not None and self.now >= host.back_at:
                host.back_at = None
                host.live = True
                host.boot += 1
        self.check_tasks()
        self.listings.append((WALL_START_S + self.now, self.live_rows()))
        del self.listings[:-1000]
        due = [call for call in self.pending_calls if call[0] < self.now]
        self.pending_calls = [
            call for call in self.pending_calls if call[0] >= self.now
        ]
        for _, actor, effect in due:
            if actor.platform_down or self.now > effect.not_after:
                continue
            self.restart(effect.instance, effect.stop)
            if actor.running:
                answer = ev.RestartAnswered(
                    now=self.now, instance=effect.instance, ok=1
                )
                actor.handle(answer)

    def all_up(self):
        return all(i.available for i in self.fleet.instances.values())
