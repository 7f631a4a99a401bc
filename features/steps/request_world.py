"""Simulation of entries in virtual time with fake endpoints, without sockets.

After every event it checks that a non-idempotent request id has run at most once, that
no request refused as "not run" has run, that each call has got at most one response,
which is its own, and that no slots, connections or limits are exceeded.
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

LATENCY_S = 0.0005
DC, OTHER_DC = "dc1", "dc2"
LIMIT = 5
TIMEOUT_S = 2.0


class Socket:
    """A connection between an entry and an endpoint.

    A silent connection loses all requests. Each end has its own flag for a closed
    connection, since a close takes effect at the other end only after the latency.
    """

    def __init__(self, endpoint):
        self.endpoint, self.silent, self.endpoint_closed = endpoint, False, False
        self.entry_closed, self.current = False, None


class Endpoint:
    """A fake endpoint that counts the requests it runs.

    Faults of a request: ``stalled`` loses it and all later ones on its connection;
    ``lost before``, ``lost during`` and ``lost after`` crash the endpoint before,
    during and after the run; ``late`` delays the response beyond the deadline;
    ``crossed`` replaces it by the response to another request; ``truncated`` cuts it
    short; ``unanswered`` omits it; ``cut off`` closes the connection during the run.
    """

    def __init__(self, world, name, slots, conns):
        self.world, self.name, self.slots, self.conns = world, name, slots, conns
        self.up, self.fault, self.service_time_s = True, "", 0.05
        self.sockets, self.running, self.leaving_at = [], {}, None
        self.status, self.run_count = 200, 0

    def receive(self, entry, effect, sock, left_s):
        world, req = self.world, entry.requests[effect.call]
        fault, self.fault = self.fault or world.random_fault(), ""
        fault, world.next_fault = fault or world.next_fault, ""
        if fault == "stalled":
            sock.silent = True
        if sock.silent:
            return
        if not self.up or sock.endpoint_closed or fault == "lost before":
            if fault == "lost before":
                self.crash()
            entry.connection_failed(sock, ev.Failure.CLOSED)
            return
        world.record_run(entry, req)
        self.run_count += 1
        token = object()
        # With these faults the request keeps running after the exchange has failed.
        runs_on = ("late", "crossed", "cut off")
        run_s = left_s + 1.0 if fault in runs_on else self.service_time_s
        self.running[token] = (entry, req)
        world.at(min(run_s, left_s), self.running.pop, token, None)
        if fault in ("lost during", "lost after"):
            world.at(run_s * (0.5 if fault == "lost during" else 1.0), self.crash)
        elif fault != "unanswered":
            reply_s = 0.01 if fault in ("crossed", "cut off") else run_s
            world.at(reply_s + LATENCY_S, entry.receive_response, effect, sock, fault)

    def crash(self):
        self.up = False
        self.running.clear()
        for sock in list(self.sockets):
            self.close(sock)

    def close(self, sock):
        if not sock.endpoint_closed:
            sock.endpoint_closed = True
            self.sockets.remove(sock)
            self.world.at(
                LATENCY_S, sock.entry.connection_failed, sock, ev.Failure.CLOSED
            )


class Entry:
    """Shell of one entry: carries out the effects of its reducer in the simulation."""

    def __init__(self, world, name, number, dc):
        self.world, self.name, self.dc = world, name, dc
        self.session = f"{name}.{number}"
        self.state = EntryState(self.session, dc)
        self.alive, self.paused_at, self.log_cut = True, None, False
        self.next_offset, self.pending_events, self.pending_writes = 0, [], []
        self.list_reads = []
        self.sockets, self.requests, self.answers, self.stored = {}, {}, {}, set()

    def feed(self, kind, **fields):
        if not self.alive:
            return
        if self.paused_at is not None:
            self.pending_events.append((kind, fields))
            return
        for effect in step(self.state, kind(now=self.world.now, **fields)):
            getattr(self, "_" + type(effect).__name__, lambda e: None)(effect)
        self.world.check()

    def tick(self):
        if not self.alive:
            return
        if self.paused_at is None:
            self.feed(ev.Tick, seed=self.world.rng.getrandbits(32))
            up = not (self.log_cut or self.world.log_down)
            self.feed(ev.LogContact, up=up)
        self.world.at(0.05, self.tick)

    def catch_up(self):
        while self.alive and self.paused_at is None and not self.log_cut:
            if self.next_offset >= len(self.world.log):
                return
            self.next_offset += 1
            record = self.world.log[self.next_offset - 1]
            self.feed(ev.RecordRead, offset=self.next_offset - 1, record=record)

    def pause(self, seconds):
        if self.alive and self.paused_at is None:
            self.paused_at = self.world.now
            self.world.at(seconds, self.resume)

    def resume(self):
        gap, self.paused_at = self.world.now - self.paused_at, None
        writes, self.pending_writes = self.pending_writes, []
        for effect in writes:
            self.write(effect)
        self.feed(ev.Resumed, gap=gap)
        pending, self.pending_events = self.pending_events, []
        for kind, fields in pending:
            self.feed(kind, **fields)
        self.catch_up()

    def kill(self):
        self.alive = False
        for sock in self.sockets.values():
            self.world.at(LATENCY_S, self.world.remove_socket, sock)

    # Responses to callers

    def record_answer(self, call, result):
        if call in self.answers:
            self.world.violations.append(f"two responses to {self.name} {call}")
        self.answers[call] = result

    def _Refuse(self, e):  # noqa: N802
        self.record_answer(e.call, (e.outcome.value, e.code))
        if e.outcome is Outcome.NOT_RUN:
            self.world.record_refusal(self, self.requests[e.call])

    def _PassAnswer(self, e):  # noqa: N802
        req = self.requests[e.call]
        self.record_answer(e.call, ("answered", ""))
        if self.requests[e.call].get("response") != req["id"]:
            self.world.violations.append(f"response to another request for {req['id']}")
        if e.keep:
            self.stored.add(req["id"])

    def _RepeatAnswer(self, e):  # noqa: N802
        peer = self.world.entry_of_session(e.holder)
        cut = {peer, self} & self.world.isolated and peer is not self
        stored = peer is not None and not cut and e.request_id in peer.stored
        self.record_answer(e.call, ("repeated" if stored else "unknown", ""))

    # Endpoints

    def _OpenConnection(self, e):  # noqa: N802
        self.world.at(LATENCY_S, self.connect, e)

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
        self.world.at(
            LATENCY_S, self.feed_fields, ev.ConnectionOpened, {"conn": e.conn}
        )

    def feed_fields(self, kind, fields):
        self.feed(kind, **fields)

    def _CloseConnection(self, e):  # noqa: N802
        self.world.at(LATENCY_S, self.close, e.conn)

    def close(self, conn):
        sock = self.sockets.pop(conn, None)
        if sock is not None:
            self.world.remove_socket(sock)
        self.feed(ev.ConnectionClosed, conn=conn)

    def _SendRequest(self, e):  # noqa: N802
        self.world.at(self.world.write_delay_s, self.write, e)

    def write(self, e):
        if not self.alive:
            return
        if self.paused_at is not None:
            self.pending_writes.append(e)
            return
        sock, now = self.sockets.get(e.conn), self.world.now
        fields = {"call": e.call, "conn": e.conn}
        if now > e.not_after:
            self.feed(ev.SendSkipped, **fields)
        elif sock is None or sock.entry_closed:
            self.feed(ev.SendFailed, failure=ev.Failure.NOT_SENT, **fields)
        else:
            sock.current = e.call
            self.world.check_write(self, sock.endpoint)
            left_s = e.deadline - now
            self.world.at(LATENCY_S, sock.endpoint.receive, self, e, sock, left_s)

    def receive_response(self, e, sock, fault):
        if sock.endpoint_closed or sock.entry_closed or sock.current != e.call:
            return
        if fault in ("crossed", "truncated", "cut off"):
            kind = "closed" if fault == "cut off" else fault
            self.connection_failed(sock, ev.Failure(kind))
            return
        sock.current = None
        self.requests[e.call]["response"] = self.requests[e.call]["id"]
        self.feed(
            ev.AnswerReceived, call=e.call, conn=e.conn, status=sock.endpoint.status
        )

    def connection_failed(self, sock, failure):
        if sock.entry_closed:
            return
        sock.entry_closed = True
        self.sockets.pop(sock.conn, None)
        self.world.remove_socket(sock)
        if sock.current is None:
            self.feed(ev.ConnectionClosed, conn=sock.conn)
        else:
            self.feed(ev.SendFailed, call=sock.current, conn=sock.conn, failure=failure)

    # Log, platform and peers

    def _Append(self, e):  # noqa: N802
        self.append(e.record)

    def append(self, record):
        record_id = f"{self.session}#{next(self.world.numbers)}"
        self.world.append(msgspec.structs.replace(record, record_id=record_id), self)

    def _ListInstances(self, e):  # noqa: N802
        self.list_reads.append(self.world.now)
        if not self.world.list_down:
            self.world.at(LATENCY_S, self.receive_list, self.world.now)

    def receive_list(self, requested_at):
        endpoints = self.world.endpoints.values()
        leaving = [e.name for e in endpoints if e.leaving_at is not None]
        self.feed(ev.InstancesListed, asked=requested_at, leaving=leaving)

    def send_to_peer(self, to, reply, kind, **fields):
        self.world.at(LATENCY_S, self.deliver, to, reply, kind, fields)

    def deliver(self, session, reply, kind, fields):
        peer = self.world.entry_of_session(session)
        if peer is None or not peer.alive or {peer, self} & self.world.isolated:
            if reply is not None:
                self.world.at(0.3, reply, None)
            return
        if reply is not None:
            self.world.reply_handlers[fields["token"]] = reply
        peer.feed(kind, **fields)

    def _SendClaim(self, e):  # noqa: N802
        def reply(r):
            fields = {"call": e.call, "session": e.to, "verdict": None}
            if r is not None:
                fields |= {"verdict": r.verdict, "epoch": r.epoch, "holder": r.holder}
            self.feed(ev.ClaimAnswered, **fields)

        fields = {"request_id": e.request_id, "epoch": e.epoch}
        token = next(self.world.numbers)
        self.send_to_peer(
            e.to, reply, ev.ClaimAsked, token=token, session=self.session, **fields
        )

    def _SendSync(self, e):  # noqa: N802
        def reply(r):
            if r is not None:
                rows = {"epoch": r.epoch, "complete": r.complete, "claims": r.claims}
                self.feed(ev.ClaimsSynced, session=e.to, **rows)

        token = next(self.world.numbers)
        fields = {"token": token, "session": self.session, "min_epoch": e.min_epoch}
        self.send_to_peer(e.to, reply, ev.SyncAsked, **fields)

    def _ReplyClaim(self, e):  # noqa: N802
        self.world.at(LATENCY_S, self.world.reply_handlers.pop(e.token), e)

    _ReplySync = _ReplyClaim

    def _SendClaimEnd(self, e):  # noqa: N802
        fields = {"request_id": e.request_id, "outcome": e.outcome}
        self.send_to_peer(e.to, None, ev.ClaimEnded, session=self.session, **fields)

    def _AskUnits(self, e):  # noqa: N802
        self.send_to_peer(
            e.to, None, ev.UnitsAsked, session=self.session, units=e.units
        )

    def _Finished(self, e):  # noqa: N802
        endpoints = self.world.endpoints.values()
        if any(owner is self for x in endpoints for owner, _ in x.running.values()):
            self.world.violations.append(f"{self.name} finished while its requests ran")
        record = rec.SessionClosed(record_id="", by=self.session, session=self.session)
        self.append(record)
        self.kill()


class World:
    """Virtual clock, log, instance list, network and endpoints of simulated entries."""

    def __init__(self, seed, entries=3, endpoints=2, slots=3, conns=8, **kw):
        reuse, other_dc = kw.get("reuse", "fresh"), kw.get("other_dc", False)
        self.rng = random.Random(seed)
        self.now, self.events, self.numbers = 100.0, [], itertools.count(1)
        self.log, self.log_down, self.list_down = [], False, False
        self.violations, self.runs, self.run_calls = [], Counter(), set()
        self.not_run_calls, self.reply_handlers, self.isolated = set(), {}, set()
        self.next_fault, self.connects = "", 0
        self.write_delay_s, self.faults, self.sent_ids = 0.0, [], set()
        dcs = {f"i{n}": DC for n in range(endpoints)} | {"j0": OTHER_DC}
        self.endpoints = {n: Endpoint(self, n, slots, conns) for n in dcs}
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
                for n, dc in dcs.items()
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
        """Start an entry, in place of an earlier one of the same name."""
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
            assert not self.violations, self.violations
        self.now = end

    # Log

    def append(self, record, entry=None):
        down = self.log_down or (entry is not None and entry.log_cut)
        if down:
            self.at(0.2, self.append, record, entry)
        elif entry is None or entry.alive or isinstance(record, rec.SessionClosed):
            self.at(0.002, self.commit, record)

    def commit(self, record):
        self.log.append(record)
        for entry in list(self.entries.values()):
            self.at(self.rng.uniform(0.001, 0.01), entry.catch_up)

    def end_session(self, entry):
        """Settle a lost session after 5 s, the maximum run time of its requests."""
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
        fields = {"idempotent": False, "repeat": False, "timeout_s": TIMEOUT_S}
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
        self.sent_ids.add(req["id"])
        return entry, number

    def entry_of_session(self, session):
        matching = [e for e in self.entries.values() if e.session == session]
        return matching[0] if matching else None

    def remove_socket(self, sock):
        if sock in sock.endpoint.sockets:
            sock.endpoint.sockets.remove(sock)

    # Checks

    def random_fault(self):
        return self.rng.choice(self.faults) if self.faults else ""

    def record_run(self, entry, req):
        self.runs[req["id"]] += 1
        self.run_calls.add((entry.session, req["call"]))
        if not req["idempotent"] and self.runs[req["id"]] > 1:
            self.violations.append(f"request {req['id']} ran twice")
        if (entry.session, req["call"]) in self.not_run_calls:
            self.violations.append(
                f"request {req['id']} ran after it was refused as not run"
            )

    def record_refusal(self, entry, req):
        self.not_run_calls.add((entry.session, req["call"]))
        first = req["id"] not in self.sent_ids or req["repeat"]
        ran = (entry.session, req["call"]) in self.run_calls
        if ran or (first and not req["idempotent"] and self.runs[req["id"]]):
            self.violations.append(
                f"request {req['id']} was refused as not run after it had run"
            )

    def check_write(self, entry, endpoint):
        leaving_at = endpoint.leaving_at
        if leaving_at is not None and self.now - leaving_at > 5.0:
            self.violations.append(f"{entry.name} sent a request to a leaving endpoint")
        if entry.state.session_lost:
            self.violations.append(
                f"{entry.name} sent a request after its session had ended"
            )

    def check(self):
        teams = Counter()
        for endpoint in self.endpoints.values():
            if len(endpoint.running) > endpoint.slots:
                self.violations.append(
                    f"{endpoint.name} runs {len(endpoint.running)} requests"
                )
            if len(endpoint.sockets) > endpoint.conns:
                self.violations.append(
                    f"{endpoint.name} has {len(endpoint.sockets)} connections"
                )
            teams.update(req["team"] for _, req in endpoint.running.values())
        if any(n > LIMIT for n in teams.values()):
            self.violations.append(f"limit exceeded, running by team: {dict(teams)}")
