"""Entries driven in virtual time against fake endpoints, without sockets.

After every event the world checks: a non-idempotent id runs at most once, nothing
that was refused as "not run" runs, each call gets one answer, it is its own, and no
slot, connection or limit is exceeded.
"""

import heapq
import itertools
import random
from collections import Counter

import msgspec

from primrosepitch.config import model
from primrosepitch.fleet import records as rec
from primrosepitch.request import events as ev
from primrosepitch.request.effects import Outcome
from primrosepitch.request.reducer import step
from primrosepitch.request.state import EntryState

HOP_S = 0.0005
DC, OTHER_DC = "dc1", "dc2"
LIMIT = 5
CALL_S = 2.0


class Socket:
    """A connection as both of its ends see it."""

    def __init__(self, endpoint):
        self.endpoint, self.silent, self.shut = endpoint, False, False
        self.closed, self.current = False, None


class Endpoint:
    """Fake endpoint that counts what it ran."""

    def __init__(self, world, name, slots, conns):
        self.world, self.name, self.slots, self.conns = world, name, slots, conns
        self.up, self.fault, self.took_s = True, "", 0.05
        self.sockets, self.running, self.leaving_at = [], {}, None
        self.status, self.ran = 200, 0

    def receive(self, entry, effect, sock, left_s):
        world, req = self.world, entry.requests[effect.call]
        fault, self.fault = self.fault or world.fault(), ""
        fault, world.next_fault = fault or world.next_fault, ""
        if fault == "stalled":
            sock.silent = True
        if sock.silent:
            return
        if not self.up or sock.shut or fault == "lost before":
            if fault == "lost before":
                self.lose()
            entry.broken(sock, ev.Failure.CLOSED)
            return
        world.ran(entry, req)
        self.ran += 1
        token = object()
        # A request runs on when its connection breaks or carries another answer.
        runs_on = ("late", "crossed", "cut off")
        took_s = left_s + 1.0 if fault in runs_on else self.took_s
        self.running[token] = (entry, req)
        world.at(min(took_s, left_s), self.running.pop, token, None)
        if fault in ("lost during", "lost after"):
            world.at(took_s * (0.5 if fault == "lost during" else 1.0), self.lose)
        elif fault != "unanswered":
            reply_s = 0.01 if fault in ("crossed", "cut off") else took_s
            world.at(reply_s + HOP_S, entry.answered, effect, sock, fault)

    def lose(self):
        self.up = False
        self.running.clear()
        for sock in list(self.sockets):
            self.shut(sock)

    def shut(self, sock):
        if not sock.shut:
            sock.shut = True
            self.sockets.remove(sock)
            self.world.at(HOP_S, sock.entry.broken, sock, ev.Failure.CLOSED)


class Entry:
    """Shell of one entry: executes effects against the world."""

    def __init__(self, world, name, number, dc):
        self.world, self.name, self.dc = world, name, dc
        self.session = f"{name}.{number}"
        self.state = EntryState(self.session, dc)
        self.alive, self.paused_at, self.cut = True, None, False
        self.read, self.inbox, self.writes = 0, [], []
        self.list_reads = []
        self.sockets, self.requests, self.answers, self.kept = {}, {}, {}, set()

    def feed(self, kind, **fields):
        if not self.alive:
            return
        if self.paused_at is not None:
            self.inbox.append((kind, fields))
            return
        for effect in step(self.state, kind(now=self.world.now, **fields)):
            getattr(self, "_" + type(effect).__name__, lambda e: None)(effect)
        self.world.check()

    def tick(self):
        if not self.alive:
            return
        if self.paused_at is None:
            self.feed(ev.Tick, seed=self.world.rng.getrandbits(32))
            up = not (self.cut or self.world.log_down)
            self.feed(ev.LogContact, up=up)
        self.world.at(0.05, self.tick)

    def catch_up(self):
        while self.alive and self.paused_at is None and not self.cut:
            if self.read >= len(self.world.log):
                return
            self.read += 1
            record = self.world.log[self.read - 1]
            self.feed(ev.RecordRead, offset=self.read - 1, record=record)

    def pause(self, seconds):
        if self.alive and self.paused_at is None:
            self.paused_at = self.world.now
            self.world.at(seconds, self.resume)

    def resume(self):
        gap, self.paused_at = self.world.now - self.paused_at, None
        writes, self.writes = self.writes, []
        for effect in writes:
            self.write(effect)
        self.feed(ev.Resumed, gap=gap)
        inbox, self.inbox = self.inbox, []
        for kind, fields in inbox:
            self.feed(kind, **fields)
        self.catch_up()

    def kill(self):
        self.alive = False
        for sock in self.sockets.values():
            self.world.at(HOP_S, self.world.unlink, sock)

    # Answers to callers

    def settle(self, call, result):
        if call in self.answers:
            self.world.broken.append(f"two answers for {self.name} {call}")
        self.answers[call] = result

    def _Refuse(self, e):  # noqa: N802
        self.settle(e.call, (e.outcome.value, e.code))
        if e.outcome is Outcome.NOT_RUN:
            self.world.refused(self, self.requests[e.call])

    def _PassAnswer(self, e):  # noqa: N802
        req = self.requests[e.call]
        self.settle(e.call, ("answered", ""))
        if self.requests[e.call].get("response") != req["id"]:
            self.world.broken.append(f"answer of another request for {req['id']}")
        if e.keep:
            self.kept.add(req["id"])

    def _RepeatAnswer(self, e):  # noqa: N802
        peer = self.world.by_session(e.holder)
        cut = {peer, self} & self.world.isolated and peer is not self
        held = peer is not None and not cut and e.request_id in peer.kept
        self.settle(e.call, ("repeated" if held else "unknown", ""))

    # Endpoints

    def _OpenConnection(self, e):  # noqa: N802
        self.world.at(HOP_S, self.connect, e)

    def connect(self, e):
        endpoint = self.world.endpoints[e.instance]
        self.world.connects += 1
        if not endpoint.up or not self.alive:
            self.feed(ev.ConnectionFailed, conn=e.conn)
            return
        sock = Socket(endpoint)
        sock.entry, sock.conn = self, e.conn
        self.sockets[e.conn] = sock
        endpoint.sockets.append(sock)
        self.world.at(HOP_S, self.feed_kind, ev.ConnectionOpened, {"conn": e.conn})

    def feed_kind(self, kind, fields):
        self.feed(kind, **fields)

    def _CloseConnection(self, e):  # noqa: N802
        self.world.at(HOP_S, self.close, e.conn)

    def close(self, conn):
        sock = self.sockets.pop(conn, None)
        if sock is not None:
            self.world.unlink(sock)
        self.feed(ev.ConnectionClosed, conn=conn)

    def _SendRequest(self, e):  # noqa: N802
        self.world.at(self.world.write_s, self.write, e)

    def write(self, e):
        if not self.alive:
            return
        if self.paused_at is not None:
            self.writes.append(e)
            return
        sock, now = self.sockets.get(e.conn), self.world.now
        fields = {"call": e.call, "conn": e.conn}
        if now > e.not_after:
            self.feed(ev.SendSkipped, **fields)
        elif sock is None or sock.closed:
            self.feed(ev.SendFailed, failure=ev.Failure.NOT_SENT, **fields)
        else:
            sock.current = e.call
            self.world.written(self, sock.endpoint)
            left_s = e.deadline - now
            self.world.at(HOP_S, sock.endpoint.receive, self, e, sock, left_s)

    def answered(self, e, sock, fault):
        if sock.shut or sock.closed or sock.current != e.call:
            return
        if fault in ("crossed", "truncated", "cut off"):
            kind = "closed" if fault == "cut off" else fault
            self.broken(sock, ev.Failure(kind))
            return
        sock.current = None
        self.requests[e.call]["response"] = self.requests[e.call]["id"]
        self.feed(
            ev.AnswerReceived, call=e.call, conn=e.conn, status=sock.endpoint.status
        )

    def broken(self, sock, failure):
        if sock.closed:
            return
        sock.closed = True
        self.sockets.pop(sock.conn, None)
        self.world.unlink(sock)
        if sock.current is None:
            self.feed(ev.ConnectionClosed, conn=sock.conn)
        else:
            self.feed(ev.SendFailed, call=sock.current, conn=sock.conn, failure=failure)

    # Log, platform and peers

    def _Append(self, e):  # noqa: N802
        self.append(e.record)

    def append(self, record):
        name = f"{self.session}#{next(self.world.numbers)}"
        self.world.append(msgspec.structs.replace(record, record_id=name), self)

    def _ListInstances(self, e):  # noqa: N802
        self.list_reads.append(self.world.now)
        if not self.world.list_down:
            self.world.at(HOP_S, self.listed, self.world.now)

    def listed(self, asked):
        ends = self.world.endpoints.values()
        leaving = [e.name for e in ends if e.leaving_at is not None]
        self.feed(ev.InstancesListed, asked=asked, leaving=leaving)

    def ask(self, to, reply, kind, **fields):
        self.world.at(HOP_S, self.deliver, to, reply, kind, fields)

    def deliver(self, session, reply, kind, fields):
        peer = self.world.by_session(session)
        if peer is None or not peer.alive or {peer, self} & self.world.isolated:
            if reply is not None:
                self.world.at(0.3, reply, None)
            return
        if reply is not None:
            self.world.tokens[fields["token"]] = reply
        peer.feed(kind, **fields)

    def _SendClaim(self, e):  # noqa: N802
        def reply(r):
            fields = {"call": e.call, "session": e.to, "verdict": None}
            if r is not None:
                fields |= {"verdict": r.verdict, "epoch": r.epoch, "holder": r.holder}
            self.feed(ev.ClaimAnswered, **fields)

        fields = {"request_id": e.request_id, "epoch": e.epoch}
        token = next(self.world.numbers)
        self.ask(
            e.to, reply, ev.ClaimAsked, token=token, session=self.session, **fields
        )

    def _SendSync(self, e):  # noqa: N802
        def reply(r):
            if r is not None:
                rows = {"epoch": r.epoch, "complete": r.complete, "claims": r.claims}
                self.feed(ev.ClaimsSynced, session=e.to, **rows)

        token = next(self.world.numbers)
        fields = {"token": token, "session": self.session, "min_epoch": e.min_epoch}
        self.ask(e.to, reply, ev.SyncAsked, **fields)

    def _ReplyClaim(self, e):  # noqa: N802
        self.world.at(HOP_S, self.world.tokens.pop(e.token), e)

    _ReplySync = _ReplyClaim

    def _SendClaimEnd(self, e):  # noqa: N802
        fields = {"request_id": e.request_id, "outcome": e.outcome}
        self.ask(e.to, None, ev.ClaimEnded, session=self.session, **fields)

    def _AskUnits(self, e):  # noqa: N802
        self.ask(e.to, None, ev.UnitsAsked, session=self.session, units=e.units)

    def _Finished(self, e):  # noqa: N802
        ends = self.world.endpoints.values()
        if any(owner is self for x in ends for owner, _ in x.running.values()):
            self.world.broken.append(f"{self.name} finished while its work ran")
        record = rec.SessionClosed(record_id="", by=self.session, session=self.session)
        self.append(record)
        self.kill()


class World:
    """Virtual time, the log and everything that entries talk to."""

    def __init__(self, seed, entries=3, endpoints=2, slots=3, conns=8, **kw):
        reuse, other_dc = kw.get("reuse", "fresh"), kw.get("other_dc", False)
        self.rng = random.Random(seed)
        self.now, self.events, self.numbers = 100.0, [], itertools.count(1)
        self.log, self.log_down, self.list_down = [], False, False
        self.broken, self.runs, self.attempts = [], Counter(), set()
        self.not_run, self.tokens, self.isolated = set(), {}, set()
        self.next_fault, self.connects = "", 0
        self.write_s, self.faults, self.sent = 0.0, [], set()
        homes = {f"i{n}": DC for n in range(endpoints)} | {"j0": OTHER_DC}
        self.endpoints = {n: Endpoint(self, n, slots, conns) for n in homes}
        spec = {"rack": "r", "pool": "p", "address": "127.0.0.1", "port": 1}
        doc = model.Document(
            pools={"p": model.PoolSpec()},
            services={"q": model.ServiceSpec(pool="p")},
            teams={
                t: model.TeamSpec(limit=LIMIT, keys={f"k{t}": model.KeySpec("", "")})
                for t in ("a", "b")
            },
            instances={
                n: model.InstanceSpec(dc=dc, slots=slots, connections=conns, **spec)
                for n, dc in homes.items()
            },
            fleet=model.FleetSettings(max_request_s=5.0, reuse=reuse),
        )
        publish = {"base_offset": -1, "documents": {"fleet.yaml": doc}}
        self.append(rec.ConfigPublished(record_id="config", by="ctl", **publish))
        self.entries = {}
        for n in range(entries):
            self.start(f"e{n}")
        if other_dc:
            self.start("f0", OTHER_DC)
        self.run(4.0)

    def start(self, name, dc=DC):
        """Start an entry on its address; an earlier one there is gone."""
        entry = self.entries[name] = Entry(self, name, next(self.numbers), dc)
        fields = {"session": entry.session, "role": rec.Role.ENTRY, "dc": dc}
        address = {"instance": name, "peer_address": name}
        entry.append(
            rec.SessionOpened(record_id="", by=entry.session, **fields, **address)
        )
        entry.tick()

    # Time

    def at(self, delay, function, *args):
        item = (self.now + delay, next(self.numbers), function, args)
        heapq.heappush(self.events, item)

    def run(self, seconds):
        end = self.now + seconds
        while self.events and self.events[0][0] <= end:
            self.now, _, function, args = heapq.heappop(self.events)
            function(*args)
            assert not self.broken, self.broken
        self.now = end

    # Log

    def append(self, record, entry=None):
        down = self.log_down or (entry is not None and entry.cut)
        if down:
            self.at(0.2, self.append, record, entry)
        elif entry is None or entry.alive or isinstance(record, rec.SessionClosed):
            self.at(0.002, self.store, record)

    def store(self, record):
        self.log.append(record)
        for entry in list(self.entries.values()):
            self.at(self.rng.uniform(0.001, 0.01), entry.catch_up)

    def end_session(self, entry):
        """Settle a lost session when nothing that it started can still run."""
        fields = {"by": "planner", "session": entry.session}
        number = next(self.numbers)
        settled = rec.SessionSettled(record_id=f"settled{number}", **fields)
        self.at(5.0, self.append, settled)

    def fence(self, entry):
        fields = {"session": entry.session, "renewed_offset": len(self.log)}
        proof = {"record_id": f"fence-{entry.session}", "proof": rec.Proof.FENCED}
        self.append(rec.SessionEnded(by="ctl", **fields, **proof))
        self.end_session(entry)

    def drain(self, name):
        fields = {"instance": name, "reason": rec.DrainReason.REBOOT}
        number = next(self.numbers)
        base = {"record_id": f"drain{number}", "base_offset": len(self.log)}
        self.append(rec.DrainStarted(by="ctl", **fields, **base))

    def undrain(self, name):
        number = next(self.numbers)
        record = rec.DrainCancelled(record_id=f"undo{number}", by="c", instance=name)
        self.append(record)

    # Callers

    def call(self, name, request_id="", **kw):
        entry, number = self.entries[name], next(self.numbers)
        team = kw.pop("team", "a")
        fields = {"idempotent": False, "repeat": False, "timeout_s": CALL_S}
        fields |= {"caller_id": bool(request_id)} | kw
        req = {"id": request_id or f"made-{number}", "call": number, "team": team}
        req |= fields
        entry.requests[number] = req
        if not entry.alive:
            return entry, number
        fields |= {"key_id": f"k{team}", "key_valid": True, "queue": "q"}
        ids = {"request_id": req["id"]}
        seed = self.rng.getrandbits(32)
        entry.feed(ev.RequestArrived, seed=seed, call=number, **ids, **fields)
        self.sent.add(req["id"])
        return entry, number

    def by_session(self, session):
        found = [e for e in self.entries.values() if e.session == session]
        return found[0] if found else None

    def unlink(self, sock):
        if sock in sock.endpoint.sockets:
            sock.endpoint.sockets.remove(sock)

    # Checks

    def fault(self):
        return self.rng.choice(self.faults) if self.faults else ""

    def ran(self, entry, req):
        self.runs[req["id"]] += 1
        self.attempts.add((entry.session, req["call"]))
        if not req["idempotent"] and self.runs[req["id"]] > 1:
            self.broken.append(f"{req['id']} ran twice")
        if (entry.session, req["call"]) in self.not_run:
            self.broken.append(f"{req['id']} ran after 'not run'")

    def refused(self, entry, req):
        self.not_run.add((entry.session, req["call"]))
        first = req["id"] not in self.sent or req["repeat"]
        ran = (entry.session, req["call"]) in self.attempts
        if ran or (first and not req["idempotent"] and self.runs[req["id"]]):
            self.broken.append(f"{req['id']} was refused as not run and had run")

    def written(self, entry, endpoint):
        since = endpoint.leaving_at
        if since is not None and self.now - since > 5.0:
            self.broken.append(f"{entry.name} sent new work to a leaving endpoint")
        if entry.state.session_lost:
            self.broken.append(f"{entry.name} sent work after its session had ended")

    def check(self):
        teams = Counter()
        for end in self.endpoints.values():
            if len(end.running) > end.slots:
                self.broken.append(f"{end.name} runs {len(end.running)}")
            if len(end.sockets) > end.conns:
                self.broken.append(f"{end.name} has {len(end.sockets)} connections")
            teams.update(req["team"] for _, req in end.running.values())
        if any(n > LIMIT for n in teams.values()):
            self.broken.append(f"running by team: {dict(teams)}")
