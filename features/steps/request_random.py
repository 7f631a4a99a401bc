"""Random interleavings of requests and faults at three entries."""

from request_world import TIMEOUT_S, World

from primrosepitch.request.events import StopAsked

FAULTS = ("late", "cut off", "crossed", "truncated", "unanswered", "stalled")
LOSSES = ("lost before", "lost during", "lost after")


def random_entry(world):
    alive = [e for e in world.entries.values() if e.alive]
    return world.rng.choice(alive or list(world.entries.values()))


def random_endpoint(world):
    return world.endpoints[world.rng.choice(("i0", "i1"))]


def new_call(world):
    request_id = f"id{len(world.calls)}" if world.rng.random() < 0.5 else ""
    request_id = (
        f"dc1~{request_id}" if request_id and world.rng.random() < 0.5 else request_id
    )
    idempotent = world.rng.random() < 0.3
    if request_id and not idempotent:
        world.repeatable_ids.append(request_id)
    timeout_s = world.rng.uniform(0.2, TIMEOUT_S)
    fields = {"idempotent": idempotent, "timeout_s": timeout_s}
    fields |= {"team": world.rng.choice("ab"), "urgent": world.rng.random() < 0.2}
    world.calls.append(world.call(random_entry(world).name, request_id, **fields))


def repeated_call(world):
    if world.repeatable_ids:
        request_id = world.rng.choice(world.repeatable_ids[-8:])
        world.calls.append(
            world.call(random_entry(world).name, request_id, repeat="~" in request_id)
        )


def pause_entry(world):
    random_entry(world).pause(world.rng.choice((0.1, 1.5, 4.0, 8.0)))


def kill_entry(world):
    entry = random_entry(world)
    if not entry.alive:
        return
    entry.kill()
    if world.rng.random() < 0.5:
        world.fence(entry)
        world.at(world.rng.uniform(0.1, 3.0), world.start, entry.name)
    else:
        world.start(entry.name)
        world.end_session(entry)


def stop_entry(world):
    entry = random_entry(world)
    if entry.paused_at is None and entry.alive:
        entry.feed(StopAsked)
        world.at(8.0, restart_entry, world, entry)


def restart_entry(world, entry):
    if not entry.alive and world.entries[entry.name] is entry:
        world.start(entry.name)


def crash_endpoint(world):
    endpoint = random_endpoint(world)
    endpoint.fault = world.rng.choice(LOSSES)
    world.at(1.0, setattr, endpoint, "up", True)


def close_idle_connections(world):
    for sock in list(random_endpoint(world).sockets):
        if sock.current is None:
            sock.endpoint.close(sock)


def silence_connections(world):
    for sock in random_endpoint(world).sockets:
        sock.silent = True


def drain_endpoint(world):
    name = random_endpoint(world).name
    world.drain(name)
    world.at(world.rng.uniform(1.0, 6.0), world.undrain, name)


def list_as_leaving(world):
    endpoint = random_endpoint(world)
    if endpoint.leaving_at is None and not world.list_down:
        endpoint.leaving_at = world.now
        world.at(7.0, setattr, endpoint, "leaving_at", None)


def log_outage(world):
    world.log_down = True
    world.at(3.0, setattr, world, "log_down", False)


def list_outage(world):
    if all(e.leaving_at is None for e in world.endpoints.values()):
        world.list_down = True
        world.at(7.0, setattr, world, "list_down", False)


def cut_log(world):
    entry = random_entry(world)
    entry.log_cut = True
    world.at(world.rng.uniform(0.5, 6.0), reconnect_log, entry)


def reconnect_log(entry):
    entry.log_cut = False
    entry.catch_up()


def isolate_entry(world):
    entry = random_entry(world)
    world.isolated.add(entry)
    world.at(2.0, world.isolated.discard, entry)


CHOICES = (
    (new_call, 120),
    (repeated_call, 30),
    (pause_entry, 3),
    (kill_entry, 1),
    (stop_entry, 1),
    (crash_endpoint, 2),
    (close_idle_connections, 4),
    (silence_connections, 2),
    (drain_endpoint, 1),
    (list_as_leaving, 1),
    (log_outage, 1),
    (list_outage, 1),
    (isolate_entry, 1),
    (cut_log, 2),
)


REPEAT_CHOICES = (
    (new_call, 30),
    (repeated_call, 60),
    (pause_entry, 2),
    (kill_entry, 4),
    (stop_entry, 2),
    (cut_log, 6),
    (isolate_entry, 8),
)
"""Weights for mostly repeated requests while entries are lost and started."""


def run_random(seed, events, reuse, entries=3, choices=CHOICES):
    """Run random events, then 20 s without any, and return the simulation."""
    world = World(seed, reuse=reuse, entries=entries)
    world.repeatable_ids, world.calls = [], []
    if choices is CHOICES:
        world.faults = [*[""] * 45, *FAULTS]
    world.write_delay_s = 0.0002
    for endpoint in world.endpoints.values():
        endpoint.service_time_s = 0.2
    kinds, weights = zip(*choices, strict=True)
    for _ in range(events):
        world.rng.choices(kinds, weights)[0](world)
        world.run(world.rng.expovariate(20.0))
    world.run(20.0)
    return world
