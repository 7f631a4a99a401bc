"""Random interleavings of requests and faults over three entries."""

from request_world import CALL_S, World

from primrosepitch.request.events import StopAsked

FAULTS = ("late", "cut off", "crossed", "truncated", "unanswered", "stalled")
LOSSES = ("lost before", "lost during", "lost after")


def one(world):
    alive = [e for e in world.entries.values() if e.alive]
    return world.rng.choice(alive or list(world.entries.values()))


def end(world):
    return world.endpoints[world.rng.choice(("i0", "i1"))]


def new_call(world):
    ident = f"id{len(world.placed)}" if world.rng.random() < 0.5 else ""
    ident = f"dc1~{ident}" if ident and world.rng.random() < 0.5 else ident
    idempotent = world.rng.random() < 0.3
    if ident and not idempotent:
        world.ids.append(ident)
    timeout_s = world.rng.uniform(0.2, CALL_S)
    fields = {"idempotent": idempotent, "timeout_s": timeout_s}
    fields |= {"team": world.rng.choice("ab"), "urgent": world.rng.random() < 0.2}
    world.placed.append(world.call(one(world).name, ident, **fields))


def repeated_call(world):
    if world.ids:
        ident = world.rng.choice(world.ids[-8:])
        world.placed.append(world.call(one(world).name, ident, repeat="~" in ident))


def pause(world):
    one(world).pause(world.rng.choice((0.1, 1.5, 4.0, 8.0)))


def lose_entry(world):
    entry = one(world)
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
    entry = one(world)
    if entry.paused_at is None and entry.alive:
        entry.feed(StopAsked)
        world.at(8.0, restart, world, entry)


def restart(world, entry):
    if not entry.alive and world.entries[entry.name] is entry:
        world.start(entry.name)


def lose_endpoint(world):
    found = end(world)
    found.fault = world.rng.choice(LOSSES)
    world.at(1.0, setattr, found, "up", True)


def close_idle(world):
    for sock in list(end(world).sockets):
        if sock.current is None:
            sock.endpoint.shut(sock)


def silence(world):
    for sock in end(world).sockets:
        sock.silent = True


def drain(world):
    name = end(world).name
    world.drain(name)
    world.at(world.rng.uniform(1.0, 6.0), world.undrain, name)


def leave(world):
    found = end(world)
    if found.leaving_at is None and not world.list_down:
        found.leaving_at = world.now
        world.at(7.0, setattr, found, "leaving_at", None)


def log_outage(world):
    world.log_down = True
    world.at(3.0, setattr, world, "log_down", False)


def list_outage(world):
    if all(e.leaving_at is None for e in world.endpoints.values()):
        world.list_down = True
        world.at(7.0, setattr, world, "list_down", False)


def cut_off(world):
    entry = one(world)
    entry.cut = True
    world.at(world.rng.uniform(0.5, 6.0), rejoin, entry)


def rejoin(entry):
    entry.cut = False
    entry.catch_up()


def isolate(world):
    entry = one(world)
    world.isolated.add(entry)
    world.at(2.0, world.isolated.discard, entry)


CHOICES = (
    (new_call, 120),
    (repeated_call, 30),
    (pause, 3),
    (lose_entry, 1),
    (stop_entry, 1),
    (lose_endpoint, 2),
    (close_idle, 4),
    (silence, 2),
    (drain, 1),
    (leave, 1),
    (log_outage, 1),
    (list_outage, 1),
    (isolate, 1),
    (cut_off, 2),
)


CLAIM_CHOICES = (
    (new_call, 30),
    (repeated_call, 60),
    (pause, 2),
    (lose_entry, 4),
    (stop_entry, 2),
    (cut_off, 6),
    (isolate, 8),
)
"""Repeats of ids while entries come and go."""


def interleave(seed, events, reuse, entries=3, choices=CHOICES):
    """Run random events, then let everything end, and return the world."""
    world = World(seed, reuse=reuse, entries=entries)
    world.ids, world.placed = [], []
    if choices is CHOICES:
        world.faults = [*[""] * 45, *FAULTS]
    world.write_s = 0.0002
    for found in world.endpoints.values():
        found.took_s = 0.2
    kinds, weights = zip(*choices, strict=True)
    for _ in range(events):
        world.rng.choices(kinds, weights)[0](world)
        world.run(world.rng.expovariate(20.0))
    world.run(20.0)
    return world
