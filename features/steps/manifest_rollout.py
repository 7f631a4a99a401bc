"""Steps for the roll-out of the operators' manifest."""

import zlib
from collections import Counter
from contextlib import ExitStack

from behave import given, then, when

from primrosepitch.node.packing import (
    MAX_UNPACKED_BYTES,
    PackedRecordsError,
    pack,
    unpack,
)
from standins.log_store import Refusal
from standins.manifest_world import CALLERS_IP, manifest_world

MAX_LEDGER_LAG_RECORDS = 20
"""Records that may still be in transit; the scheduler appends four a second."""

UNDECODABLE_MANIFEST = b'{"version": 99, "routes": [{"name": 7}]}'


@given(
    "{large:d} nodes with large links, {small:d} with small ones and {queues:d} queues"
)
def step_world(context, large, small, queues):
    stack = ExitStack()
    context.world = stack.enter_context(manifest_world(large, small, queues))
    context.add_cleanup(stack.close)
    context.nodes_with_faults = Counter()
    context.world.publish()


def unaffected_nodes(context, count, size="small"):
    """Return nodes of a size that no fault of this scenario has affected yet."""
    nodes = context.world.by_size[size]
    first = context.nodes_with_faults[size]
    context.nodes_with_faults[size] += count
    return [nodes[number % len(nodes)] for number in range(first, first + count)]


@given("versions are confirmed every {gap:g} s from {begin:g} to {end:g} s")
def step_versions(context, gap, begin, end):
    context.world.publish_between(begin, end, gap)


@given(
    "{count:d} {size} nodes are cut off from the store from {begin:g} to {end:g} s, "
    "mode {mode}"
)
def step_cut(context, count, size, begin, end, mode):
    for ip in unaffected_nodes(context, count, size):
        context.world.cut_off(ip, begin, end, mode)


@given(
    "a node with {rate:g} Mbit/s is cut off from {begin:g} to {end:g} s, "
    "frozen from {frozen:g} to {thawed:g} s"
)
def step_cut_and_frozen(context, rate, begin, end, frozen, thawed):
    (ip,) = unaffected_nodes(context, 1)
    context.world.network.set_rate(ip, rate)
    context.world.cut_off(ip, begin, end, "reset")
    context.world.freeze(ip, frozen, thawed)


@given(
    "the store refuses {count:d} {size} nodes from {begin:g} to {end:g} s, mode {mode}"
)
def step_refuse(context, count, size, begin, end, mode):
    for ip in unaffected_nodes(context, count, size):
        context.world.refuse(ip, begin, end, Refusal(mode))


@given("{count:d} {size} nodes are restarted from {begin:g} to {end:g} s")
def step_restart(context, count, size, begin, end):
    for ip in unaffected_nodes(context, count, size):
        context.world.restart(ip, begin, end)


@given(
    "{count:d} {size} nodes are restarted from {begin:g} to {end:g} s, "
    "and refused from {refused:g} to {served:g} s"
)
def step_restart_refused(context, count, size, begin, end, refused, served):
    for ip in unaffected_nodes(context, count, size):
        context.world.restart(ip, begin, end)
        context.world.refuse(ip, refused, served, Refusal.RESET)
        context.restarted = ip


@given(
    "{count:d} {size} nodes are cut off from all other nodes "
    "from {begin:g} to {end:g} s"
)
def step_cut_off_from_nodes(context, count, size, begin, end):
    # Such a node may be affected by another fault, too.
    for ip in context.world.by_size[size][:count]:
        context.world.cut_off_from_nodes(ip, begin, end)


@given("queue {name} is withdrawn at {seconds:g} s")
def step_withdraw(context, name, seconds):
    context.world.call_at(seconds, context.world.withdraw, name)


@given("{count:d} {size} nodes are frozen from {begin:g} to {end:g} s")
def step_freeze(context, count, size, begin, end):
    for ip in unaffected_nodes(context, count, size):
        context.world.freeze(ip, begin, end)


@given("the store truncates its history at {seconds:g} s")
def step_truncate_history(context, seconds):
    context.world.call_at(seconds, context.world.store.compact, "keyed.op")
    context.world.call_at(seconds, context.world.store.compact, "keyed.jobs")


@given("jobs of {size:d} KB are accepted from {begin:g} to {end:g} s")
def step_jobs(context, size, begin, end):
    context.world.accept_jobs_between(begin, end, size * 1024)


@given("{count:d} {size} nodes are isolated from {begin:g} to {end:g} s")
def step_isolate(context, count, size, begin, end):
    for ip in unaffected_nodes(context, count, size):
        context.world.isolate(ip, begin, end)
        context.isolated = ip


@given("an undecodable manifest is written at {seconds:g} s")
def step_undecodable(context, seconds):
    store = context.world.store
    context.world.call_at(
        seconds, store.write, "keyed.op", "config", UNDECODABLE_MANIFEST
    )


@given("version {number:d} is written again at {seconds:g} s")
def step_older_version(context, number, seconds):
    world = context.world
    world.call_at(
        seconds,
        lambda: world.store.write("keyed.op", "config", world.manifest(number)),
    )


@given("packed records of {size:d} KB")
def step_packed(context, size):
    context.packed = pack({"config": b"q" * size * 1024})


PACKING_FAULTS = {
    "cut short": lambda data: data[:-7],
    "altered": lambda data: data[:20] + b"x" + data[21:],
    "too large": lambda data: pack({"config": bytes(MAX_UNPACKED_BYTES + 1)}),
    "no rows": lambda data: zlib.compress(b"\x01"),
}


@when("they are {fault}")
def step_fault(context, fault):
    context.packed = PACKING_FAULTS[fault](context.packed)


@then("they can't be unpacked")
def step_not_unpacked(context):
    try:
        unpack(context.packed)
    except PackedRecordsError:
        return
    raise AssertionError("unpacked")


@when("{seconds:g} s have passed")
def step_pass(context, seconds):
    context.world.run_for(seconds)


@then("no node was late with a version")
def step_on_time(context):
    world = context.world
    assert world.probes > len(world.programs), "callers got too few responses"
    assert not world.unhandled_errors, world.unhandled_errors
    assert not world.violations, (
        f"{len(world.violations)} wrong responses, {world.violations[:8]}"
    )
    behind = {
        ip: program.node.cfg.version
        for ip, program in world.programs.items()
        if program.node.cfg.version != len(world.versions)
    }
    assert not behind, behind


@then("no node applied the undecodable manifest")
def step_not_applied(context):
    for program in context.world.programs.values():
        assert program.node.cfg.version < 99, program.node.cfg.version


@then("a small node received at most {count:d} bytes for each version")
def step_max_bytes(context, count):
    world = context.world
    for ip in world.by_size["small"]:
        received_bytes = world.network.received_bytes(ip) / len(world.versions)
        assert received_bytes <= count, (
            f"{ip} received {received_bytes:.0f} bytes for each version"
        )


@then("all nodes use the store directly")
def step_all_direct(context):
    refused_nodes = context.world.relayed_nodes()
    assert not refused_nodes, refused_nodes


@then("all nodes have read the ledger to its end")
def step_ledger_read(context):
    world = context.world
    end = world.store.end_offset("keyed.jobs")
    behind = {
        ip: program.node.ledger_offset
        for ip, program in world.programs.items()
        if program.node.ledger_offset < end - MAX_LEDGER_LAG_RECORDS
    }
    assert not behind, f"ledger offsets {behind}, end at {end}"


def status_of(context, ip, name):
    """Return the status of a node's response; 503 must have Retry-After."""
    world = context.world
    path = f"/{name}/"
    task = world.network.spawn(CALLERS_IP, world.get(ip, path))
    response = world.run(task)
    if response.status == 503:
        assert int(response.headers["retry-after"]) > 0, response.headers
    return response.status


@then("the isolated node answers {status:d} for the newest queue")
def step_newest_queue(context, status):
    found = status_of(context, context.isolated, f"v{len(context.world.versions)}")
    assert found == status, found


@then("the isolated node answers {status:d} for a queue that never existed")
def step_no_queue(context, status):
    found = status_of(context, context.isolated, "never")
    assert found == status, found


@then("the restarted node answers {status:d} for queue {name}")
def step_restarted_answers(context, status, name):
    found = status_of(context, context.restarted, name)
    assert found == status, found


@then("all nodes are ready")
def step_all_ready(context):
    programs = context.world.programs
    waiting = [ip for ip, program in programs.items() if not program.node.ready]
    assert not waiting, waiting


@then("the isolated node is not ready")
def step_isolated_not_ready(context):
    assert not context.world.programs[context.isolated].node.ready


@then("the other nodes are ready")
def step_others_ready(context):
    programs = context.world.programs
    waiting = [
        ip
        for ip, program in programs.items()
        if ip != context.isolated and not program.node.ready
    ]
    assert not waiting, waiting
