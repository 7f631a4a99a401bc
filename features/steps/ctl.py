"""Steps for primrosectl against an entry stand-in with the real fold."""

import json
import shlex
import socket
import tempfile
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

import msgspec
from behave import given, then, when
from typer.testing import CliRunner

from primrosepitch.bin.ctl import app
from primrosepitch.config.loader import load_folder
from primrosepitch.config.model import merge
from primrosepitch.errors import LogUnavailableError, VoidCommandError
from primrosepitch.fleet import records as rec
from primrosepitch.fleet.fold import fold
from primrosepitch.fleet.state import FleetState
from primrosepitch.operators import messages as msg
from primrosepitch.teams.keys import verify

SESSIONS = (
    ("entry-linz", rec.Role.ENTRY, "linz"),
    ("planner-linz", rec.Role.PLANNER, "linz"),
    ("entry-wels", rec.Role.ENTRY, "wels"),
)

FOLDER = """\
pools: {press: {}, spare: {spare: true}}
services: {press: {pool: press, min_available: 2}}
teams:
  growers: {limit: 10}
instances:
"""
INSTANCE = (
    "  press-%d: {dc: linz, rack: r%d, pool: press, address: 127.0.1.%d, port: 9000}\n"
)


class World:
    """A log that all processes have folded, and the faults of a scenario."""

    def __init__(self):
        self.state = FleetState()
        self.accepted = []
        self.voids = 0
        self.lost_answers = 0
        self.log_down = False
        self.pending = []
        self.stuck_offsets = {}
        self.servers = {}

    def fold(self, record):
        outcome = fold(self.state, self.state.offset + 1, record)
        if outcome.void is None:
            self.accepted.append(record)
        return outcome

    def record_fields(self):
        return {"record_id": rec.new_record_id(), "by": "s", "at": 1.0}

    def apply(self, path, raw):
        """Apply a command and return the status and body of its response."""
        if path == "/-/config":
            publish = msgspec.convert(raw, msg.Publish)
            fields = {f: getattr(publish, f) for f in publish.__struct_fields__}
            record = rec.ConfigPublished(**fields, **self.record_fields())
        else:
            fields = self.record_fields().values()
            record = msg.command_record(raw, *fields)
        if self.log_down:
            if not isinstance(record, rec.KeyWithdrawn):
                error = LogUnavailableError()
                return 503, {"code": error.code, "error": error.message()}
            self.pending.append(record.key_id)
            return 202, {"pending": True}
        outcome = self.fold(record)
        if outcome.void is not None:
            reason = f"{outcome.void.value}: {outcome.detail}"
            error = VoidCommandError(reason)
            return 409, {"code": error.code, "error": error.message()}
        return 200, {"offset": outcome.offset}

    def view(self, session, dc, path):
        if path == "/-/config":
            return msg.config_view(self.state)
        if path == "/-/fleet":
            return msg.fleet_view(self.state)
        offset = self.stuck_offsets.get(session, self.state.offset)
        pending = self.pending if session == "entry-linz" else []
        return msg.StatusView(
            session=session, dc=dc, generation=0, offset=offset,
            pending_withdrawals=pending, teams={"growers": msg.TeamView(1, 2, 3)},
        )  # fmt: skip


def serve(world, session, dc):
    """Serve the operators' API of one process in a thread of its own."""

    class Handler(BaseHTTPRequestHandler):
        def do_GET(self):
            view = world.view(session, dc, self.path)
            self.reply(200, msgspec.json.encode(view))

        def do_POST(self):
            raw = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
            status, body = world.apply(self.path, raw)
            if world.lost_answers:
                world.lost_answers -= 1
                return
            self.reply(status, json.dumps(body).encode())

        def reply(self, status, body):
            self.send_response(status)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        def log_message(self, *args):
            pass

    server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    threading.Thread(target=server.serve_forever, args=(0.01,), daemon=True).start()
    return server


def close(server):
    server.shutdown()
    server.server_close()


@given("an entry stand-in with three processes in the data centres linz and wels")
def step_world(context):
    context.world = world = World()
    for name, role, dc in SESSIONS:
        world.servers[name] = server = serve(world, name, dc)
        context.add_cleanup(close, server)
        address = f"127.0.0.1:{server.server_port}"
        opened = rec.SessionOpened(
            session=name, role=role, dc=dc, instance=name, peer_address=name,
            http_address=address, **world.record_fields(),
        )  # fmt: skip
        world.fold(opened)


@given("the configuration files of a pool of 3 instances that needs 2")
def step_folder(context):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.folder = Path(directory.name)
    text = FOLDER + "".join(INSTANCE % (i, i, i) for i in (1, 2, 3))
    (context.folder / "10-fleet.yaml").write_text(text, encoding="utf-8")


@given("the team's limit in the folder is {limit:d}")
def step_folder_limit(context, limit):
    path = context.folder / "10-fleet.yaml"
    text = path.read_text(encoding="utf-8").replace("limit: 10", f"limit: {limit}")
    path.write_text(text, encoding="utf-8")


@given("another operator has set the team's limit to {limit:d}")
def step_other_operator(context, limit):
    documents = load_folder(context.folder)
    doc = documents["10-fleet.yaml"]
    teams = {"growers": msgspec.structs.replace(doc.teams["growers"], limit=limit)}
    published = rec.ConfigPublished(
        base_offset=context.world.state.config_offset,
        documents={"10-fleet.yaml": msgspec.structs.replace(doc, teams=teams)},
        **context.world.record_fields(),
    )
    assert context.world.fold(published).void is None
    merge(context.world.state.documents)


@given("{count:d} answers of the entry are lost after their command took effect")
def step_lose_answers(context, count):
    context.world.lost_answers = count


@given('the process "{name}" stays at offset {offset:d}')
def step_stays_at_offset(context, name, offset):
    context.world.stuck_offsets[name] = offset


@given('the process "{name}" cannot be reached')
def step_unreachable(context, name):
    close(context.world.servers[name])


@given("the log is down and the withdrawal reaches only entry-linz")
def step_log_down(context):
    context.world.log_down = True


@given("the available instances are {names}")
def step_available_instances(context, names):
    world = context.world
    for name in names.split(","):
        world.state.instances[name].up = True
    world.accepted.clear()


@given('primrosectl has run "{line}"')
def step_has_run(context, line):
    run(context, line)
    assert context.result.exit_code == 0, context.result.output
    context.world.accepted.clear()


@when('primrosectl runs "{line}" with a closed port as first entry')
def step_run_second_entry(context, line):
    with socket.create_server(("127.0.0.1", 0)) as closed:
        port = closed.getsockname()[1]
    run(context, line, f"127.0.0.1:{port}", entry_address(context))


@when('primrosectl runs "{line}" with a closed port as only entry')
def step_run_no_entry(context, line):
    with socket.create_server(("127.0.0.1", 0)) as closed:
        port = closed.getsockname()[1]
    run(context, line, f"127.0.0.1:{port}")


@when('primrosectl runs "{line}"')
def step_run(context, line):
    run(context, line)


def entry_address(context):
    return f"127.0.0.1:{context.world.servers['entry-linz'].server_port}"


def run(context, line, *entries):
    key_id = context.key_id if "key_id" in context else ""
    args = shlex.split(line.replace("KEYID", key_id))
    args = [str(context.folder) if a == "FOLDER" else a for a in args]
    entries = " ".join(entries or [entry_address(context)])
    env = {"PRIMROSE_ENTRY": entries, "USER": "tester", "COLUMNS": "200"}
    context.result = CliRunner().invoke(app, args, env=env)
    if line.startswith("key ") and "id " in context.result.output:
        context.raw_key = context.result.output.split("only once:\n")[-1].split()[0]
        if "key_id" not in context:
            context.key_id = context.raw_key.split(".")[0]


@then('it exits with {code:d} and prints "{text}"')
def step_exits(context, code, text):
    assert context.result.exit_code == code, context.result.output
    step_prints(context, text)


@then('it prints "{text}"')
def step_prints(context, text):
    key_id = context.key_id if "key_id" in context else ""
    output = context.result.output
    assert text.replace("KEYID", key_id) in output, output


@then("nothing was appended")
def step_nothing_appended(context):
    appended = [
        r for r in context.world.accepted if not isinstance(r, rec.SessionOpened)
    ]
    assert appended == [], appended


@then("{count:d} records were accepted since the publication")
def step_accepted(context, count):
    assert len(context.world.accepted) == count, context.world.accepted


@then("the limit in force is {limit:d}")
def step_in_force(context, limit):
    assert context.world.state.config.teams["growers"].limit == limit


@then("the key printed last works and KEYID does not")
def step_rotated_key(context):
    state = context.world.state
    assert verify(state, context.raw_key)
    assert state.find_key(context.key_id) is None
    assert context.raw_key.split(".")[0] != context.key_id


@when('primrosectl checks the entries "{entries}"')
def step_check_entries(context, entries):
    run(context, "--check", *entries.split())
