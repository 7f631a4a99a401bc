"""Steps for real entries and their log."""

import asyncio
import os
import signal

from behave import then, when
from msgspec import to_builtins

from features.fleet_world import running_log
from features.wire_world import (
    LOGGER,
    EventNumberHandler,
    copy_state,
    entry,
    packed_state,
    platform,
    publish,
    records,
    run,
    running_site,
    set_fault,
    teams,
    until,
)
from primrosepitch.config.model import Document, PoolSpec
from primrosepitch.events import LOG_WENT_BACK
from primrosepitch.fleet.records import (
    ConfigPublished,
    KeyWithdrawn,
    Record,
    SessionClosed,
    SessionOpened,
    SessionRenewed,
    encode_record,
)
from primrosepitch.fleet.snapshot import rebase, snapshot_records
from primrosepitch.ids import DcId, KeyId, Offset, PoolId, RecordId, SessionId
from primrosepitch.net.appender import Appender
from primrosepitch.net.platform import PlatformClient
from standins.http import call

UNUSED_PORT = 9
"""Port of a configured endpoint to which no scenario connects."""


def _get(process, target, request_id="", **headers):
    fields = {k.replace("_", "-"): v for k, v in headers.items()}
    if request_id:
        fields["Primrose-Request-Id"] = request_id
    return call(process.http_address(), "GET", target, None, fields)


def _post(process, request_id="", timeout_ms=300):
    headers = {"Primrose-Timeout-Ms": str(timeout_ms)}
    if request_id:
        headers["Primrose-Request-Id"] = request_id
    return call(process.http_address(), "POST", "/q/quotes/7", {"n": 1}, headers)


@when("a caller sends a request through an entry and the entry gets SIGTERM")
def step_request_and_sigterm(context):
    async def body():
        async with running_site() as (log, _, process):
            context.answer = await _get(process, "/q/quotes/7", "r-1")
            os.kill(os.getpid(), signal.SIGTERM)
            await process.task
        context.records = records(log)
        context.exit_code = process.exit_code

    run(body())


@then("the caller got the endpoint's answer with its own request id")
def step_got_answer(context):
    assert context.answer.status == 200
    assert context.answer.headers["primrose-outcome"] == "answered"
    assert context.answer.headers["primrose-request-id"] == "r-1"
    assert context.answer.json()["request_id"] == "r-1"


@then("the log has the session opened, then closed")
def step_session(context):
    kinds = [type(r) for r in context.records]
    assert kinds[0] is SessionOpened
    assert kinds[-1] is SessionClosed


@then("the entry exited with code 0")
def step_exit(context):
    assert context.exit_code == 0


@when("a caller sends a request while the endpoint is {mode} and then another one")
def step_mode(context, mode):
    async def body():
        async with running_site() as (_, endpoint, process):
            await _post(process)
            address = f"127.0.0.1:{endpoint.port}"
            fault = {"mode": mode, "count": 1, "seconds": 0.05}
            await call(address, "POST", "/mode", fault)
            context.first = await _post(process)
            context.second = await _post(process, timeout_ms=5000)

    run(body())


@then("the first caller got the outcome {outcome} and the second its own answer")
def step_mode_outcome(context, outcome):
    assert context.first.headers["primrose-outcome"] == outcome, context.first
    assert context.second.headers["primrose-outcome"] == "answered", context.second
    own = context.second.headers["primrose-request-id"]
    assert context.second.json()["request_id"] == own


@when("a caller sends a request and retries it with its id at another entry")
def step_retry(context):
    async def body():
        async with running_site() as (_, endpoint, first):
            address = first.settings.platform
            async with entry(address, "e2") as second:
                await until(lambda: first.state.claims.complete)
                await until(lambda: second.state.claims.complete)
                context.answers = [
                    await _post(first, "r-9", 5000),
                    await _post(second, "r-9", 5000),
                ]
        context.runs = endpoint.counts.runs

    run(body())


@then("both answers are equal and the endpoint ran it once")
def step_ran_once(context):
    first, second = context.answers
    assert first.headers["primrose-outcome"] == "answered", first
    assert (first.status, first.body) == (second.status, second.body), second
    assert context.runs["r-9"] == 1


# The log


@when("a record is appended and the answer to its append is lost")
def step_append_answer_lost(context):
    async def body():
        async with platform() as (log, address):
            await set_fault(address, "lose_answers", count=1)
            client = PlatformClient(address, DcId("dc1"))
            appender = Appender(client, SessionId("x"))
            sending = asyncio.ensure_future(appender.run())
            document = Document(pools={PoolId("p"): PoolSpec()})
            record = ConfigPublished(
                record_id=RecordId(""),
                by=SessionId(""),
                base_offset=Offset(-1),
                documents={"a.yaml": document},
            )
            appender.append(record)
            await until(lambda: _count(log, ConfigPublished) == 2)
            sending.cancel()
            async with entry(address) as process:
                context.in_force = process.fleet().config_offset
                context.pools = list(process.fleet().config.pools)
            context.records = records(log)

    run(body())


def _count(log, kind):
    return sum(isinstance(r, kind) for r in records(log)) if log.streams else 0


@then("the log holds the same record twice and an entry folds it once")
def step_folded_once(context):
    assert context.records[0] == context.records[1]
    assert context.in_force == 0
    assert context.pools == ["p"]


@when("the log is truncated below a configuration that two entries have read")
def step_truncate(context):
    async def body():
        handler = EventNumberHandler()
        LOGGER.addHandler(handler)
        async with (
            platform() as (_, address),
            entry(address) as first,
            entry(address, "e2") as second,
        ):
            base = await publish(first, UNUSED_PORT)
            await publish(first, UNUSED_PORT, base, "b.yaml", juice={})
            await until(lambda: teams(second) == ["juice"])
            await set_fault(address, "truncate", high=base - 1)
            await until(lambda: first.fleet().generation == 1)
            await until(lambda: second.fleet().generation == 1)
            await until(lambda: first.fleet().offset == second.fleet().offset)
            context.states = [packed_state(first), packed_state(second)]
            context.teams = [teams(first), teams(second)]
            async with entry(address, "e3") as fresh:
                context.fresh = teams(fresh)
            context.kept = teams(first)
        LOGGER.removeHandler(handler)
        context.numbers = handler.numbers

    run(body())


@then("both kept the configuration and agree on generation 1 and one state")
def step_truncate_kept(context):
    assert context.teams == [["juice"], ["juice"]]
    assert context.states[0] == context.states[1]


@then("a new entry reads the same configuration from the log")
def step_truncate_fresh(context):
    assert context.fresh == context.kept == ["juice"]


@then("event 1105 was written")
def step_event_written(context):
    assert LOG_WENT_BACK.number in context.numbers


@when("a log is truncated and other records take the place of those read")
def step_log_replaced(context):
    async def body():
        async with platform() as (log, address), entry(address) as process:
            base = await publish(process, UNUSED_PORT)
            await publish(process, UNUSED_PORT, base, "b.yaml", juice={})
            await until(lambda: not process.appender.pending(Record))
            rows = log.streams["fleet"].records
            high = len(rows)
            del rows[1:]
            for number in range(high + 2):
                foreign = KeyWithdrawn(
                    record_id=RecordId(f"f-{number}"),
                    by=SessionId("x"),
                    key_id=KeyId(f"f-{number}"),
                )
                rows.append(encode_record(foreign))
            log._notify_waiters()
            await until(lambda: process.fleet().generation == 1)
            context.teams = teams(process)
            context.withdrawn = list(process.fleet().withdrawn)

    run(body())


@then("the entry kept its configuration in generation 1 and skipped those records")
def step_log_replacement_detected(context):
    assert context.teams == ["juice"]
    assert context.withdrawn == []


@when("a state with offsets from 100 on moves to offset 7 of generation 1")
def step_rebase(context):
    context.state = running_log(1).state
    rebase(context.state, 0, Offset(100))
    context.before = _count_former_offsets(to_builtins(context.state))
    rebase(context.state, 1, Offset(7))


def _count_former_offsets(value):
    """Count the integers in a state that equal the former offset, 100."""
    if isinstance(value, dict):
        return sum(_count_former_offsets(v) for v in value.values())
    if isinstance(value, list):
        return sum(_count_former_offsets(v) for v in value)
    return isinstance(value, int) and value == 100


@then("no offset of the former log is left in it")
def step_rebased(context):
    assert context.before > 5
    assert _count_former_offsets(to_builtins(context.state)) == 0
    assert (context.state.generation, context.state.offset) == (1, 7)
    assert context.state.config_offset == 7


@when("a truncated log holds a snapshot of generation 1 with fewer records")
def step_older_snapshot(context):
    async def body():
        async with platform() as (log, address), entry(address) as process:
            older = copy_state(process.fleet())
            base = await publish(process, UNUSED_PORT)
            await publish(process, UNUSED_PORT, base, "b.yaml", juice={})
            await set_fault(address, "truncate", high=base - 1)
            rows = log.streams["fleet"].records
            for number, part in enumerate(snapshot_records(older, SessionId("x"), 1)):
                rows.append(encode_record(_with_id(part, f"old-{number}")))
            await until(lambda: process.fleet().generation >= 1)
            context.generation = process.fleet().generation
            context.teams = teams(process)

    run(body())


def _with_id(record, record_id):
    fields = {f: getattr(record, f) for f in record.__struct_fields__}
    return type(record)(**{**fields, "record_id": record_id})


@then("the entry kept its configuration and generation 2 carries it")
def step_newer_state_kept(context):
    assert context.generation == 2
    assert context.teams == ["juice"]


@when("the log has dropped the configuration's record and holds a snapshot")
def step_retention(context):
    async def body():
        async with platform() as (log, address), entry(address) as process:
            base = await publish(process, UNUSED_PORT)
            await publish(process, UNUSED_PORT, base, "b.yaml", juice={})
            for part in snapshot_records(process.fleet(), process.session):
                process.append(part)
            await until(lambda: process.tail.high == process.fleet().offset > base + 1)
            await set_fault(address, "retention", records=2)
            assert log.streams["fleet"].low > base
            async with entry(address, "e2") as fresh:
                context.teams = teams(fresh)

    run(body())


@then("a new entry has the configuration")
def step_retention_fresh(context):
    assert context.teams == ["juice"]


@when("an entry starts during an outage and a key is withdrawn at the other one")
def step_outage(context):
    async def body():
        async with platform() as (log, address), entry(address) as first:
            base = await publish(first, UNUSED_PORT)
            await publish(first, UNUSED_PORT, base, "b.yaml", juice={})
            async with entry(address, "e2") as second:
                await set_fault(address, "outage", log=True)
                await until(lambda: not first.tail.up)
                seeds = [f"127.0.0.1:{first.peer_port}"]
                async with entry(address, "e3", serving=False, seeds=seeds) as fresh:
                    await until(fresh.ready)
                    context.teams = teams(fresh)
                command = {"type": "KeyWithdrawn", "key_id": "k1"}
                answer = await call(first.http_address(), "POST", "/-/records", command)
                context.answer = (answer.status, answer.json())
                await until(lambda: "k1" in second.state.pending_withdrawn)
                context.pending = sorted(first.state.pending_withdrawn)
                await set_fault(address, "outage", log=False)
                await until(lambda: "k1" in second.fleet().withdrawn)
                await until(lambda: not second.withdrawals)
        context.logged = _count(log, KeyWithdrawn)

    run(body())


@then("the new entry has the configuration of its peer")
def step_outage_fresh(context):
    assert context.teams == ["juice"]


@then("both entries have the withdrawal, and the log has it after the outage")
def step_outage_withdrawn(context):
    assert context.answer == (202, {"pending": True})
    assert context.pending == ["k1"]
    assert context.logged >= 1


@when("the link of one data centre to the platform is cut")
def step_link_cut(context):
    async def body():
        async with (
            platform() as (log, address),
            entry(address) as first,
            entry(address, "e2", dc="dc2", renew_s=0.3) as cut,
        ):
            await until(lambda: cut.session in first.fleet().sessions)
            await set_fault(address, "cut", dc="dc2", cut=True)
            await until(lambda: not cut.tail.up)
            at = cut.fleet().sessions[cut.session].renewed
            await until(lambda: cut.fleet().sessions[cut.session].renewed > at)
            assert not cut.tail.up
            context.renewed = [
                r
                for r in records(log)[at + 1 :]
                if isinstance(r, SessionRenewed) and r.sessions == [cut.session]
            ]
            await set_fault(address, "cut", dc="dc2", cut=False)
            await until(lambda: cut.tail.up)

    run(body())


@then("the log gets renewals of its entry, and the entry reads them from its peer")
def step_renewal_relayed(context):
    assert context.renewed


@when("the event loop of an entry was paused for 5 seconds")
def step_loop_paused(context):
    async def body():
        async with platform() as (_, address), entry(address) as process:
            before = len(process._trace.kinds)
            process._last_iteration -= 5
            process.handle(process.tick())
            context.kinds = process._trace.kinds[before:]

    run(body())


@then("the reducer got Resumed before the next tick")
def step_resumed_first(context):
    assert context.kinds == ["Resumed", "Tick"]


@when("an operator sends records that only processes may append")
def step_process_records(context):
    commands = [
        {"type": "SliceGive", "units": {"limit/a": 1}},
        {"type": "SessionClosed", "session": "s"},
        {"type": "SessionEnded", "session": "s", "proof": "removed"}
        | {"renewed_offset": 0},
        {"type": "Unknown"},
    ]

    async def body():
        async with platform() as (log, address), entry(address) as process:
            context.answers = [
                await call(process.http_address(), "POST", "/-/records", command)
                for command in commands
            ]
            context.count = len(records(log))

    run(body())


@then("each is refused with PRP-2402 and the log is unchanged")
def step_refused(context):
    assert [a.status for a in context.answers] == [400] * 4
    assert all(a.json()["code"] == "PRP-2402" for a in context.answers)
    assert context.count == 1


@when("a caller with a timeout of 4 s is read {seconds:g} s after a pause of 5 s")
def step_read_after_pause(context, seconds):
    async def body():
        async with running_site() as (_, _, process):
            process._last_iteration -= 5
            if seconds:
                process.handle(process.tick())
                await asyncio.sleep(seconds)
            headers = {"Primrose-Timeout-Ms": "4000"}
            context.answer = await call(
                process.http_address(), "GET", "/q/quotes/1", headers=headers
            )

    run(body())


@then("it is answered with {code}")
def step_answered_with(context, code):
    found = context.answer.headers.get("primrose-code", "none")
    assert found == code, (found, context.answer.status)
