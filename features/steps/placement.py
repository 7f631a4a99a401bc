"""Steps for the placement of tasks on workers."""

from behave import given, then, when

from features.planner_world import World
from primrosepitch.planning import events as ev


def start_world(context, seed, **options):
    teams = {"red": {"limit": 9}, "blue": {"limit": 100}}
    context.world = World(seed=seed, minimum=0, planners=2, teams=teams, **options)
    context.submitted = 0
    assert context.world.run(60, context.world.all_up)


@given("a running fleet with budget 0 and seed {seed:d} and team blue with 100 units")
def step_fleet(context, seed):
    start_world(context, seed)


@given(
    "{count:d} instances of pool press in {racks:d} racks a data centre and team blue"
)
def step_larger_pool(context, count, racks):
    start_world(context, 9, racks=racks, per_rack=count // racks // 3)


def submit_tasks(context, count, team, declared, used, dc, urgent=False):
    world = context.world
    lease = world.fleet.leases[dc]
    specs = []
    for _ in range(count):
        context.submitted += 1
        name = f"t{context.submitted}"
        world.usage[name] = ev.Size(cores=used)
        size = ev.Size(cores=declared)
        priority = 9 if urgent else context.submitted % 3
        specs.append(ev.TaskSpec(name, team, size, priority, urgent))
    planner = world[lease.session]
    planner.handle(ev.TasksSubmitted(now=world.now, tasks=specs))
    context.submitted_at = world.now
    return planner, [s.task for s in specs]


@when(
    "{n:d} tasks of {team} that declare {declared:d} cores and use {used:d} "
    "are submitted in {dc}"
)
def step_submit(context, n, team, declared, used, dc):
    submit_tasks(context, n, team, declared, used, dc)


@when(
    "{n:d} urgent tasks of {team} that declare {declared:d} cores and use {used:d} "
    "are submitted in {dc}"
)
def step_submit_urgent(context, n, team, declared, used, dc):
    context.urgent = submit_tasks(context, n, team, declared, used, dc, urgent=True)[1]


@when(
    "{n:d} tasks of {team} that declare {declared:d} cores and use {used:d} "
    "are submitted and cancelled in {dc}"
)
def step_submit_cancelled(context, n, team, declared, used, dc):
    planner, names = submit_tasks(context, n, team, declared, used, dc)
    planner.handle(ev.TasksCancelled(now=context.world.now, tasks=names))


@when("worker {name} fails every task")
def step_failing(context, name):
    context.world.failing.add(name)


@then("{count:d} tasks of {team} run")
def step_running_tasks(context, count, team):
    tasks = context.world.tasks.values()
    found = sum(t.live and t.effect.team == team for t in tasks)
    assert found == count, found


@then("event {number:d} was logged once")
def step_logged(context, number):
    lines = [
        line
        for p in context.world.planners
        for line in p.lines
        if line.number == number
    ]
    assert len(lines) == 1, lines


@then("worker {name} got at most {count:d} tasks")
def step_max_tasks(context, name, count):
    found = sum(e.instance == name for _, e in context.world.starts)
    assert 0 < found <= count, found


@then("{count:d} tasks were started")
def step_started(context, count):
    assert len(context.world.starts) == count, context.world.starts


@then("the urgent tasks started within {seconds:g} seconds")
def step_urgent(context, seconds):
    context.world.run(seconds + 5)
    started = {e.task.rpartition(".")[0]: at for at, e in context.world.starts}
    waits = [started[t] - context.submitted_at for t in context.urgent]
    assert max(waits) <= seconds, waits


@then("each task on {name} was checkpointed before the stop")
def step_checkpointed(context, name):
    tasks = [t for t in context.world.tasks.values() if t.effect.instance == name]
    states = [
        t.state for t in tasks if t.started < context.world.now - 60 or not t.live
    ]
    assert states and set(states) == {"checkpointed"}, states


@then("the tasks use instance {name} and {count:d} racks")
def step_racks(context, name, count):
    places = [e.instance for _, e in context.world.starts]
    instances = context.world.fleet.instances
    assert name in places
    assert len({instances[p].rack for p in places}) == count, places


@when("the platform accepts no task commands for {seconds:d} seconds")
def step_tasks_down(context, seconds):
    context.world.tasks_down_until = context.world.now + seconds


@when("the first start takes effect {seconds:d} seconds late and its response is lost")
def step_late_start(context, seconds):
    context.world.late_start_s = float(seconds)
