"""Steps for malformed messages and unexpected errors."""

import asyncio
import json
import random
import struct
import zlib
from types import SimpleNamespace

import msgspec
from adapter.directory import ChangeFeed, decode_operator_record, decode_report
from adapter.intake import HttpIntake
from adapter.services import PlatformClient
from adapter.settings import Addresses, Bounds, PlatformSettings, StoreSettings
from adapter.store import KeyedPartition
from adapter.submissions import decode_submission
from behave import given, then, when
from hypothesis import HealthCheck, seed, settings, strategies
from hypothesis import given as generate

from features.scripted_client import ScriptedClient, platform_client
from primrosepitch import clock
from primrosepitch.jobs.model import (
    EndpointId,
    JobId,
    JobSpec,
    QueueName,
    ServiceName,
    StepSpec,
    TaskKey,
    WorkspaceName,
)
from primrosepitch.jobs.records import (
    Ledger,
    Progress,
    TaskRecord,
    WaveProgress,
    encode,
)
from primrosepitch.jobs.store import (
    KeyedRecord,
    StoreFencedError,
    StoreRejectedError,
    StoreUnavailableError,
    StoreUnknownError,
)
from primrosepitch.metrics import Metrics
from primrosepitch.net.http_messages import HttpRequest, HttpResponse
from primrosepitch.net.http_pool import NotSentError, PooledHttpClient
from primrosepitch.node import node as node_module
from primrosepitch.node.follower import LedgerFollower
from primrosepitch.node.node import Node
from primrosepitch.node.packing import PackedRecordsError, unpack
from primrosepitch.node.scheduler import SchedulerRunner
from primrosepitch.scheduling import effects as ef
from primrosepitch.scheduling import events as ev
from primrosepitch.scheduling.configuration import (
    Configuration,
    QueueSpec,
    WaveSpec,
)
from primrosepitch.scheduling.reducer import step
from primrosepitch.scheduling.state import Limits, SchedulerState
from standins.memory_platform import (
    MemoryPartition,
    MemoryPlatform,
    find_no_node,
    run_virtually,
)

QUEUE = QueueSpec(QueueName("q"), "h", "/q/", ServiceName("pressing"))


def frame(content):
    return struct.pack(">I", len(content)) + content


def read_partition(body):
    partition = KeyedPartition(ScriptedClient(200, body), "a:1", "jobs", 0, 64)
    return asyncio.run(partition.read(5, 0.0, clock.monotonic() + 1))


@given("a page of the store with the record {content:w} between two good ones")
def step_page(context, content):
    bad = b"" if content == "empty" else bytes.fromhex(content)
    rows = frame(b"\x01a1"), frame(bad), frame(b"\x01b2")
    context.body = struct.pack(">QQ", 8, 0) + b"".join(rows)


@when("a node reads the page")
def step_read_page(context):
    context.batch = read_partition(context.body)


@then("it gets the two good records, and goes on after the third")
def step_good_records(context):
    records = context.batch.records
    assert [records[0], records[2]] == [("a", b"1"), ("b", b"2")], records
    assert context.batch.next_offset == 8, context.batch


@given("the newest records of the store, in pages without records")
def step_empty_pages(context):
    context.body = b'{"items":[],"has_more":true,"end_offset":8}'


@when("a node reads the newest records")
def step_read_newest(context):
    context.answer = caught(newest_records, context.body)


@then("the store counts as unavailable")
def step_store_unavailable(context):
    assert isinstance(context.answer, StoreUnavailableError), context.answer


@given("a store that answers an append with {status:d} and body {body}")
def step_append_answer(context, status, body):
    text = b"" if body == "(nothing)" else body.encode()
    context.partition = KeyedPartition(
        ScriptedClient(status, text), "a:1", "jobs", 0, 64
    )


@when("a node appends a record")
def step_append(context):
    errors = {
        StoreUnavailableError: "unavailable",
        StoreUnknownError: "unknown",
        StoreFencedError: "fenced",
        StoreRejectedError: "rejected",
    }
    work = context.partition.append([KeyedRecord("k", b"v")], clock.monotonic() + 1)
    try:
        asyncio.run(work)
        context.outcome = "done"
    except tuple(errors) as exc:
        context.outcome = errors[type(exc)]


@then("the append is {outcome:w}")
def step_append_outcome(context, outcome):
    assert context.outcome == outcome, context.outcome


def poll(body):
    order = ef.PollEndpoint(EndpointId("w1"), "a:1", 0, 0, 0, 0, 1)
    answer = asyncio.run(platform_client(body).poll_endpoint(order))
    if isinstance(answer, ev.EndpointPolled):
        state = SchedulerState(node="a")
        step(state, ev.TermTaken(1.0, 1.0, 1, {}, {}, 1.0, {}, {}, 1.0))
        step(state, answer)


def list_machines(body):
    asyncio.run(platform_client(body).list_instances())


def advise(body):
    request = ef.RequestAdvice((JobId("0" * 16), 0, 0), (EndpointId("w1"),), 1.0)
    asyncio.run(platform_client(body).request_advice(request))


def read_store(body):
    try:
        read_partition(body)
    except StoreUnavailableError:
        return
    partition = KeyedPartition(ScriptedClient(200, body), "a:1", "jobs", 0, 64)
    try:
        asyncio.run(partition.read_newest(clock.monotonic() + 1))
    except StoreUnavailableError:
        return


scalars = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(),
    strategies.sampled_from([1 << 63, 1 << 70, -(1 << 70), 10**399]),
    strategies.floats(allow_nan=False, allow_infinity=False),
    strategies.sampled_from([-0.0, 1e308, float("inf"), float("nan")]),
    strategies.text(max_size=6),
    strategies.sampled_from(["up", "done", "0.0.0.0", "5c0e7a21d94b36f8.0.1.17"]),
)
values = strategies.recursive(
    scalars,
    lambda inner: strategies.one_of(
        strategies.lists(inner, max_size=4),
        strategies.dictionaries(strategies.text(max_size=5), inner, max_size=3),
    ),
    max_leaves=8,
)


def rows(*cells):
    return strategies.lists(
        strategies.one_of(strategies.tuples(*cells), strategies.lists(values)),
        max_size=3,
    )


task_names = strategies.one_of(
    strategies.just("5c0e7a21d94b36f8.0.1.17"), strategies.text(max_size=8), values
)
numbers = strategies.one_of(strategies.integers(-3, 9), values)
answers = {
    "an endpoint": (
        strategies.fixed_dictionaries(
            {
                "clock_ms": numbers,
                "running": rows(task_names, numbers, values, numbers),
                "ended": rows(numbers, task_names, numbers, values, values),
            },
            optional={"born": numbers},
        ),
        poll,
    ),
    "the machines list": (
        strategies.fixed_dictionaries(
            {
                "machines": strategies.lists(
                    strategies.fixed_dictionaries(
                        {
                            "machine": strategies.just("m"),
                            "pool": strategies.just("p"),
                            "state": values,
                        },
                        optional={"capacity": values, "labels": values, "id": values},
                    ),
                    max_size=3,
                )
            }
        ),
        list_machines,
    ),
    "the advice service": (
        strategies.fixed_dictionaries(
            {"allowed": rows(values, values)}, optional={"validity_ms": values}
        ),
        advise,
    ),
    "the store": (
        strategies.fixed_dictionaries(
            {
                "items": strategies.lists(
                    strategies.fixed_dictionaries(
                        {"key": strategies.text(max_size=3), "value": values},
                    ),
                    max_size=3,
                ),
                "end_offset": numbers,
            }
        ),
        read_store,
    ),
}


def generated(strategy, check, count, number):
    """Check generated bodies, and damaged ones, with a fixed seed."""

    @seed(number)
    @settings(
        max_examples=count,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )
    @generate(strategy, strategies.integers(0, 4), strategies.integers(0, 1 << 30))
    def run(value, damage, where):
        body = bytearray(json.dumps(value).encode())
        if damage == 1 and body:
            body[where % len(body)] ^= 1 + where % 255
        elif damage == 2:
            del body[where % (len(body) + 1) :]
        elif damage == 4:
            nested = list(NESTED_JSON.values())[where % 2]
            body[-1:] = (b", " if value else b"") + b'"x": ' + nested + b"}"
        check(bytes(body))

    run()


DEPTH = 100_000
NESTED_JSON = {
    "lists": b"[" * DEPTH + b"]" * DEPTH,
    "objects": b'{"a":' * DEPTH + b"1" + b"}" * DEPTH,
}


@then("{count:d} generated answers of {service} raise nothing, with seed {number:d}")
def step_generated_answers(context, count, service, number):
    strategy, check = answers[service]
    generated(strategy, check, count, number)


@given("a list of machines in the states {first:w}, {second:w} and {third:w}")
def step_machine_states(context, first, second, third):
    machines = [
        {"machine": state, "pool": "p", "state": state}
        for state in (first, second, third)
    ]
    body = json.dumps({"machines": machines}).encode()
    context.listing = asyncio.run(platform_client(body).list_instances())


@then("the machines that are {first:w} and {second:w} are listed")
def step_listed(context, first, second):
    instances = [view.instance for view in context.listing.instances]
    assert instances == [first, second], context.listing


def decode(body):
    return decode_submission(body, JobId("1" * 16), QUEUE, WorkspaceName("w"), 1000)


@given("the submission {body}")
def step_submission(context, body):
    context.body = body.encode()


@then("the submission is refused, and the message names {setting:w}")
def step_submission_refused(context, setting):
    try:
        decode(context.body)
    except msgspec.DecodeError as exc:
        assert setting in str(exc), exc
    else:
        raise AssertionError("the submission was accepted")


def store_and_schedule(body):
    try:
        spec = decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return
    ledger = Ledger()
    ledger.apply(*encode(spec))
    assert ledger.jobs[spec.job].spec == spec
    state = SchedulerState(node="a")
    step(state, ev.TermTaken(1.0, 1.0, 1, {}, {}, 1.0, {}, {}, 1.0))
    step(state, ev.JobAccepted(spec))
    for tick in range(3):
        step(state, ev.Tick(2.0 + tick, 2000))
        if state.committing:
            step(state, ev.Committed(state.committing, 2.5 + tick))


OPTIONAL_AMOUNTS = (
    "cpu",
    "gpu",
    "estimated_ms",
    "anti_affinity",
    "may_miss",
    "target_ms",
    "requirements",
    "gang",
    "long_running",
    "fills",
)
amounts = strategies.one_of(strategies.integers(0, 40), scalars)
submissions = strategies.fixed_dictionaries(
    {
        "steps": strategies.lists(
            strategies.fixed_dictionaries(
                {"count": strategies.one_of(strategies.integers(1, 9), amounts)},
                optional=dict.fromkeys(
                    (
                        "cpu",
                        "gpu",
                        "estimated_ms",
                        "anti_affinity",
                        "may_miss",
                        "target_ms",
                        "requirements",
                        "gang",
                        "long_running",
                        "fills",
                    ),
                    amounts,
                )
                | {"after": strategies.lists(amounts, max_size=2)},
            ),
            max_size=3,
        )
    },
    optional={
        "repetitions": amounts,
        "interval_ms": amounts,
        "first_run_ms": amounts,
        "specification": values,
    },
)


@then(
    "{count:d} generated submissions raise nothing in the scheduler, with seed "
    "{number:d}"
)
def step_generated_submissions(context, count, number):
    generated(submissions, store_and_schedule, count, number)


class FailingPlatform(MemoryPlatform):
    """Platform whose list of instances raises an unexpected error on request."""

    failing = False

    async def list_instances(self):
        if self.failing:
            raise RuntimeError("unexpected")
        return ev.InstanceListing([], complete=True)


@given("a node that schedules")
def step_scheduling_node(context):
    ledger = MemoryPartition()
    context.platform = FailingPlatform(ledger)
    follower = context.follower = LedgerFollower(
        ledger, lambda record: context.runner.handle_record(record)
    )
    follower.loaded = True
    context.runner = SchedulerRunner(
        "a",
        context.platform,
        follower,
        Limits(),
        random.Random(1),
        1.0,
        lambda: True,
        find_no_node,
    )
    context.runner._cfg = Configuration(version=1)


def raise_error(*args):
    raise RuntimeError("unexpected")


async def fail_once(context, place):
    runner = context.runner
    with asyncio.get_running_loop().as_clock():
        asyncio.ensure_future(context.follower.run())
        work = asyncio.ensure_future(runner.run())
        await asyncio.sleep(3.0)
        assert runner.leading, "the node did not claim the first term"
        context.first_term = runner.state.term
        if place == "the reducer":
            runner.state.jobs = None
        elif place == "a call of an effect":
            context.platform.failing = True
            runner._list_instances(ef.ListInstances())
        else:
            handlers = runner._effect_handlers
            saved, handlers[ef.Commit] = handlers[ef.Commit], raise_error
            runner._dispatch(ev.Tick(clock.monotonic() + 1.0, 0))
            handlers[ef.Commit] = saved
        await asyncio.sleep(0.1)
        context.stepped_down = not runner.leading
        context.platform.failing = False
        await asyncio.sleep(5.0)
        context.term = runner.state.term
        context.process_runs = not work.done()


@when("{place} raises an unexpected error")
def step_error(context, place):
    run_virtually(fail_once(context, place))


@then("the node has stepped down and logged the error")
def step_stepped_down(context):
    assert context.stepped_down
    assert context.process_runs


@then("the node claims the next term and schedules again")
def step_schedules_again(context):
    assert context.term > context.first_term, (context.term, context.first_term)


@given("a node with a part that raises twice")
def step_failing_part(context):
    context.starts, context.ticks = 0, 0

    async def failing():
        context.starts += 1
        if context.starts < 3:
            raise RuntimeError("unexpected")
        await asyncio.sleep(60)

    async def steady():
        while True:
            context.ticks += 1
            await asyncio.sleep(0.1)

    node = Node.__new__(Node)
    node._metrics = Metrics()

    async def run():
        parts = [node._supervise("failing", failing), node._supervise("steady", steady)]
        tasks = [asyncio.ensure_future(part) for part in parts]
        await asyncio.sleep(node_module.RESTART_DELAY_S * 4)
        assert not any(task.done() for task in tasks)

    run_virtually(run())


@then("the part is started three times and the other part goes on")
def step_restarted(context):
    assert context.starts == 3, context.starts
    assert context.ticks > 10, context.ticks


@given("an intake that raises an unexpected error")
def step_failing_intake(context):
    cfg = Configuration(version=1)
    cfg.queues[QUEUE.name] = msgspec.structs.replace(QUEUE, open=True)
    active = SimpleNamespace(cfg=cfg, outdated=False)
    intake = SimpleNamespace(submit=raise_error)
    context.http_intake = HttpIntake(intake, active, Metrics())


@then("a submission is answered with {status:d}")
def step_submission_status(context, status):
    request = HttpRequest(
        b"POST", b"/q/" + b"1" * 16, [(b"host", b"h")], b'{"steps": [{"count": 1}]}'
    )
    responses = []
    exchange = SimpleNamespace(request=request, respond=responses.append)
    asyncio.run(context.http_intake._answer(exchange))
    assert [r.status for r in responses] == [status], responses


# Deep nesting

NESTED_MSGPACK = {
    "lists": b"\x91" * DEPTH + b"\xc0",
    "objects": b"\x81\xa1a" * DEPTH + b"\xc0",
}
REPORT = {
    "service": "pressing",
    "address": "10.0.0.1:8000",
    "zone": "hall",
    "state": "ready",
    "capacity": {"cpu": 4000, "memory_request_mb": 4000},
    "labels": [],
    "machine": "m1",
    "born": 1_700_000_000_000,
    "clock_ms": 1000,
}
MANIFEST = {
    "version": 1,
    "routes": [
        {
            "name": "q",
            "host": "h",
            "path_prefix": "/q/",
            "service": "pressing",
            "priority": 0,
            "max_attempts": 1,
            "target_duration_ms": 1000,
            "advice": {"validity_ms": 1000},
        }
    ],
    "tenants": [{"name": "w", "cap": {"cpu": 0}}],
}
WAVE = {"wave": 1, "machines": ["m1"], "duration_s": 5}


def is_none(value):
    return value is None


def raises(error):
    return lambda work: isinstance(work, error)


def caught(check, *args):
    """Return the result of a decoder, or the typed error that it raised."""
    try:
        return check(*args)
    except (msgspec.DecodeError, StoreUnavailableError, PackedRecordsError) as exc:
        return exc


def poll_outcome(body):
    order = ef.PollEndpoint(EndpointId("w1"), "a:1", 0, 0, 0, 0, 1)
    return asyncio.run(platform_client(body).poll_endpoint(order))


def refused_order(body):
    order = ef.StopRun(
        EndpointId("w1"), "a:1", 1, TaskKey(JobId("0" * 16), 0, 0, 0), 1, 1
    )
    return asyncio.run(platform_client(body, 409).stop_run(order))


def advice_of(body):
    request = ef.RequestAdvice((JobId("0" * 16), 0, 0), (EndpointId("w1"),), 1.0)
    return asyncio.run(platform_client(body).request_advice(request)).allowed


def newest_records(body):
    partition = KeyedPartition(ScriptedClient(200, body), "a:1", "jobs", 0, 64)
    return asyncio.run(partition.read_newest(clock.monotonic() + 1))


def appended(body):
    partition = KeyedPartition(ScriptedClient(200, body), "a:1", "jobs", 0, 64)
    work = partition.append([KeyedRecord("k", b"v")], clock.monotonic() + 1)
    try:
        return asyncio.run(work)
    except StoreUnknownError as exc:
        return exc


def submission_status(body):
    cfg = Configuration(version=1)
    cfg.queues[QUEUE.name] = msgspec.structs.replace(QUEUE, open=True)
    active = SimpleNamespace(cfg=cfg, outdated=False)
    intake = HttpIntake(SimpleNamespace(submit=raise_error), active, Metrics())
    request = HttpRequest(b"POST", b"/q/" + b"1" * 16, [(b"host", b"h")], body)
    responses = []
    exchange = SimpleNamespace(request=request, respond=responses.append)
    asyncio.run(intake._answer(exchange))
    return responses[0].status


def followed(body):
    """Return the jobs of a ledger that has an unreadable record and one job."""
    ledger = MemoryPartition(
        [KeyedRecord("j/" + "1" * 16, body), KeyedRecord(*encode(decode(ONE_TASK)))]
    )
    follower = LedgerFollower(ledger, lambda record: None)
    follower.loaded = True
    asyncio.run(follower.catch_up())
    return list(follower.ledger.jobs)


ONE_TASK = b'{"steps": [{"count": 1}]}'


def operator_record(key):
    return lambda body: decode_operator_record(KeyedRecord(key, body), 0.0)


JSON_READERS = {
    "a report of an endpoint": (
        REPORT,
        lambda body: decode_report(KeyedRecord("w1", body), 0.0),
        is_none,
    ),
    "a configuration": (MANIFEST, operator_record("config"), is_none),
    "a wave": (WAVE, operator_record("wave/1"), is_none),
    "the lists of an endpoint": (
        {
            "clock_ms": 1,
            "running": [["5c0e7a21d94b36f8.0.1.17", 2, "", 41]],
            "ended": [[58, "5c0e7a21d94b36f8.0.1.9", 1, "done", ""]],
            "born": REPORT["born"],
        },
        poll_outcome,
        lambda answer: answer is ev.Outcome.REFUSED,
    ),
    "a refusal of an endpoint": (
        {"reason": "fence"},
        refused_order,
        lambda answer: answer is ev.Outcome.REFUSED,
    ),
    "the list of machines": (
        {"machines": []},
        lambda body: asyncio.run(platform_client(body).list_instances()),
        is_none,
    ),
    "the advice": ({"allowed": [], "validity_ms": 1000}, advice_of, is_none),
    "the newest records of the store": (
        {"items": [], "end_offset": 0},
        newest_records,
        raises(StoreUnavailableError),
    ),
    "the answer to an append": (
        {"offset": 1, "end_offset": 2},
        appended,
        raises(StoreUnknownError),
    ),
    "a submission of a caller": (
        {"steps": [{"count": 1}]},
        submission_status,
        lambda status: status == 400,
    ),
}


MSGPACK_READERS = {
    "a record of the ledger": (
        b"\x81\xa1x%b",
        followed,
        lambda jobs: jobs == [JobId("1" * 16)],
    ),
    "packed records of a node": (
        b"%b",
        lambda body: unpack(zlib.compress(body)),
        raises(PackedRecordsError),
    ),
}


@given("{reader} with {shape:w} nested 100,000 deep")
def step_nested_message(context, reader, shape):
    if reader in MSGPACK_READERS:
        wire, context.check, context.expected = MSGPACK_READERS[reader]
        context.body = wire % NESTED_MSGPACK[shape]
        return
    value, context.check, context.expected = JSON_READERS[reader]
    wire = json.dumps(value).encode()
    context.body = wire[:-1] + b', "x": %b}' % NESTED_JSON[shape]


@then("it is refused as unreadable")
def step_refused_as_unreadable(context):
    found = caught(context.check, context.body)
    assert context.expected(found), found


# A scheduler, one real endpoint and one odd entry of another writer


class OneEndpoint:
    """HTTP client of a platform with one endpoint, which runs what it is told to."""

    def __init__(self):
        self.started = []

    def is_connected(self, address, process):
        return (address, process) == (REPORT["address"], REPORT["born"])

    async def call(
        self, address, request, deadline, send_by=0.0, connection=0, process=0
    ):
        if address != REPORT["address"]:
            raise NotSentError(f"cannot connect to {address}")
        if request.target == b"/run-start":
            order = json.loads(request.body)
            self.started.append([order["task"], order["run"], None, 0])
        if request.target != b"/hold":
            return HttpResponse(200, [], b"{}")
        lists = {
            "clock_ms": round(clock.monotonic() * 1000),
            "running": self.started,
            "ended": [],
            "born": REPORT["born"],
        }
        return HttpResponse(200, [], json.dumps(lists).encode(), connection=1)


ODD_ENTRIES = {
    "an unknown field nested 100,000 deep": json.dumps(REPORT).encode()[:-1]
    + b', "x": %b}' % NESTED_JSON["lists"],
    "a start of 71 bits": json.dumps(REPORT | {"born": 1 << 70}).encode(),
    "a start in the year 9999": json.dumps(REPORT | {"born": 253402300799000}).encode(),
    "no start": json.dumps({k: v for k, v in REPORT.items() if k != "born"}).encode(),
    "a capacity of -1": json.dumps(REPORT | {"capacity": {"cpu": -1}}).encode(),
    "labels nested 100,000 deep": json.dumps(REPORT | {"labels": "DEEP"})
    .encode()
    .replace(b'"DEEP"', NESTED_JSON["lists"]),
}


def scheduling_node(context):
    """Compose a scheduler whose platform client is the real one."""
    address = "127.0.0.1:1"
    settings_of_node = PlatformSettings(
        node_name="a",
        ip_address="127.0.0.1",
        zone="hall",
        listen_addresses=Addresses(address),
        platform=StoreSettings(address),
        bounds=Bounds(fencing_required=True),
    )
    partitions = context.partitions = {
        name: MemoryPartition() for name in ("jobs", "runs", "servers", "status")
    }
    context.client = OneEndpoint()
    platform = PlatformClient(
        settings_of_node,
        context.client,
        context.client,
        Metrics(),
        lambda name, s, p: partitions[name],
    )
    follower = context.follower = LedgerFollower(
        platform.ledger, lambda record: context.runner.handle_record(record)
    )
    follower.loaded = True
    context.runner = SchedulerRunner(
        "a",
        platform,
        follower,
        Limits(),
        random.Random(1),
        1.0,
        lambda: True,
        find_no_node,
    )
    context.runner._cfg = Configuration(version=1)


async def schedule_with(context, entry, key, at_start):
    servers = context.partitions["servers"].records
    good = KeyedRecord("w1", json.dumps(REPORT).encode())
    odd = KeyedRecord(key, ODD_ENTRIES[entry])
    with asyncio.get_running_loop().as_clock():
        asyncio.ensure_future(context.follower.run())
        asyncio.ensure_future(context.runner.run())
        servers += [good, odd] if at_start else [good]
        await asyncio.sleep(3.0)
        if not at_start:
            servers.append(odd)
        await asyncio.sleep(1.0)
        spec = JobSpec(
            JobId("1" * 16),
            QUEUE.name,
            QUEUE.service,
            WorkspaceName("w"),
            "",
            (StepSpec(1, cpu=1000),),
            0,
        )
        context.partitions["jobs"].records.append(KeyedRecord(*encode(spec)))
        await asyncio.sleep(5.0)
        context.term = context.follower.ledger.term.number
        context.leading = context.runner.leading
        context.known = {
            name: endpoint.report
            for name, endpoint in context.runner.state.endpoints.items()
        }


@given("a node that schedules for one endpoint")
def step_node_with_endpoint(context):
    scheduling_node(context)


@when("{entry} stands under the key {key} when its term begins")
def step_odd_entry_at_start(context, entry, key):
    run_virtually(schedule_with(context, entry, key, True))


@when("{entry} comes under the key {key} during its term")
def step_odd_entry_in_term(context, entry, key):
    run_virtually(schedule_with(context, entry, key, False))


@then("the node holds its first term, and the job runs on the endpoint")
def step_job_runs(context):
    assert context.leading, context.term
    assert context.term == 1, context.term
    assert [row[1] for row in context.client.started] == [1], context.client.started
    assert context.known["w1"].born == REPORT["born"], context.known


@then("the endpoint is known as it was, and no other one is")
def step_endpoint_unchanged(context):
    assert list(context.known) == ["w1"], context.known
    known = context.known["w1"]
    assert known.address == REPORT["address"], known
    assert (known.capacity.cpu, known.draining) == (4000, False), known


# Addresses and names of peers

ODD_ADDRESSES = {
    "port 99999": "127.0.0.1:99999",
    "port -1": "127.0.0.1:-1",
    "port 0": "127.0.0.1:0",
    "no port": "127.0.0.1",
    "an empty port": "127.0.0.1:",
    "a word as port": "127.0.0.1:http",
    "a port of 5,000 digits": "127.0.0.1:" + "1" * 5000,
    "a host of 300 letters": "h" * 300 + ":8000",
    "a host with an empty label": "a..b:8000",
    "a host with a null character": "a\x00b:8000",
    "a surrogate in the host": "a\ud800:8000",
    "nothing": "",
    "a name": "localhost:8000",
    "the unspecified address": "0.0.0.0:8000",
}


async def call_peer(address, headers=()):
    """Call a server that answers each request; return the error of the call."""

    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    client = PooledHttpClient()
    request = HttpRequest(b"GET", b"/", list(headers))
    address = address or f"127.0.0.1:{port}"
    try:
        await client.call(address, request, clock.monotonic() + 1)
    except Exception as exc:
        return exc
    finally:
        client.close()
        server.close()


@when("a node calls a peer whose address has {oddity}")
def step_call_odd_address(context, oddity):
    address = ODD_ADDRESSES[oddity] or ":"
    context.error = asyncio.run(call_peer(address))


ODD_NAMES = {
    "a line end": b"a\nb",
    "a blank at its begin": b" a",
    "a null character": b"a\x00",
}


@when("a node names in a header of a call a peer whose key has {oddity}")
def step_call_odd_name(context, oddity):
    headers = [(b"x-expected", ODD_NAMES[oddity])]
    context.error = asyncio.run(call_peer("", headers))


@then("the call is not sent")
def step_call_not_sent(context):
    assert isinstance(context.error, NotSentError), repr(context.error)


# Numbers

ODD_NUMBERS = {
    "71 bits": str(1 << 70),
    "400 digits": "1" * 400,
    "5,000 digits": "1" * 5000,
    "NaN": "NaN",
}


def with_field(value, path):
    """Return a message in which the field at a path is marked."""
    first, _, rest = path.partition(".")
    copy = list(value) if isinstance(value, list) else dict(value)
    key = int(first) if isinstance(value, list) else first
    copy[key] = with_field(copy[key], rest) if rest else "@"
    return copy


def message_with(value, path, text):
    """Return a message in which the field at a path has a value given as text."""
    changed = json.dumps(with_field(value, path)).replace('"@"', text)
    return changed.encode()


@given("{reader} whose {path} is {number}")
def step_odd_number(context, reader, path, number):
    value, context.check, context.expected = JSON_READERS[reader]
    found = caught(context.check, json.dumps(value).encode())
    assert not context.expected(found), found
    context.body = message_with(value, path, ODD_NUMBERS.get(number, number))


@given("a list of two machines, of which one has a capacity of {cpu:d}")
def step_odd_machine(context, cpu):
    machines = [
        {"machine": name, "pool": "p", "state": "up", "capacity": {"cpu": amount}}
        for name, amount in (("odd", cpu), ("good", 1000))
    ]
    body = json.dumps({"machines": machines}).encode()
    context.listing = asyncio.run(platform_client(body).list_instances())


@then("only the other one is listed")
def step_other_listed(context):
    assert context.listing is not None
    instances = [view.instance for view in context.listing.instances]
    assert instances == ["good"], context.listing
    assert not context.listing.complete


@given("a report of an endpoint whose address has {oddity}")
def step_odd_report_address(context, oddity):
    address = ODD_ADDRESSES[oddity]
    context.body = json.dumps(REPORT | {"address": address}).encode()
    context.check = JSON_READERS["a report of an endpoint"][1]
    context.expected = is_none


ODD_ENTRIES |= {
    oddity: json.dumps(REPORT | {"address": address}).encode()
    for oddity, address in ODD_ADDRESSES.items()
}


@given(
    "a change feed whose decoder raises an unexpected error for one of three records"
)
def step_failing_decoder(context):
    def decode_unless_odd(record, now):
        if record.key == "odd":
            raise RuntimeError("unexpected")
        return record.key

    keys = ("a", "odd", "b")
    partition = MemoryPartition([KeyedRecord(key, b"v") for key in keys])
    context.feed = ChangeFeed(partition, decode_unless_odd)


@then("the other two are read, and the feed goes on")
def step_other_records_read(context):
    changes = asyncio.run(context.feed.changes(0.0))
    assert changes == ["a", "b"], changes
    context.feed._reader._partition.records.append(KeyedRecord("c", b"v"))
    changes = asyncio.run(context.feed.changes(0.0))
    assert changes == ["c"], changes


def read_report(body):
    found = decode_report(KeyedRecord("w1", body), 0.0)
    if isinstance(found, ev.EndpointReport):
        msgspec.json.encode(found)
        record = TaskRecord(0, 0, 0, 1, found.endpoint, found.born)
        encode(Progress(JobId("1" * 16), [record]))


def read_operator_records(body):
    for key in ("config", "wave/1"):
        found = decode_operator_record(KeyedRecord(key, body), 0.0)
        if isinstance(found, WaveSpec):
            encode(WaveProgress(found.wave, list(found.instances)))
        elif found is not None:
            msgspec.msgpack.encode(found)


def damaged(value):
    """Generate variants of a message in which some fields have other values."""
    return strategies.fixed_dictionaries(
        {},
        optional={
            key: strategies.one_of(strategies.just(right), odd_values)
            for key, right in value.items()
        },
    ).map(lambda changes: value | changes)


odd_values = strategies.one_of(
    values, strategies.sampled_from(sorted(ODD_ADDRESSES.values()))
)
answers |= {
    "an endpoint's report": (damaged(REPORT | {"remaining_ms": 5}), read_report),
    "the operators": (damaged(MANIFEST | WAVE), read_operator_records),
}


@given("a list of machines whose only page has an empty token")
def step_empty_token(context):
    context.client = platform_client(b'{"machines":[],"next_token":""}')


@then("it is read once")
def step_read_once(context):
    async def body():
        async with asyncio.timeout(1.0):
            return await context.client.list_instances()

    listing = asyncio.run(body())
    assert listing.complete and not listing.instances, listing
