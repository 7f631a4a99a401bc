"""Steps for appends to a slow store."""

import asyncio

from behave import given, then, when

from primrosepitch import clock
from primrosepitch.jobs.store import AppendOutcome, KeyedRecord, StoreUnknownError
from primrosepitch.node.follower import Appender
from standins.memory_platform import run_virtually

CALLER_TIMEOUT_S = 3.0
COUNTS = {"two": 2, "three": 3}
WATCH_S = 5.0
SAMPLE_S = 0.05


class SlowStore:
    """Store that carries out each append after a time of its own."""

    def __init__(self, durations_s):
        self.durations_s = list(durations_s)
        self.appends = 0

    async def append(self, records, deadline, fence=None):
        duration_s = self.durations_s[min(self.appends, len(self.durations_s) - 1)]
        self.appends += 1
        left_s = deadline - clock.monotonic()
        await asyncio.sleep(min(duration_s, left_s))
        if duration_s > left_s:
            raise StoreUnknownError("no response before the deadline")
        return AppendOutcome(0, 1)


@given("a store that carries out appends after {first:g}, {second:g} and {third:g} s")
def step_slow_store(context, first, second, third):
    context.store = SlowStore((first, second, third))


@when("a node appends {count} records, one after the other")
def step_append(context, count):
    async def append_all(appender):
        for number in range(COUNTS[count]):
            began = clock.monotonic()
            try:
                record = KeyedRecord(f"j/{number}", b"x")
                await appender.append(record, began + CALLER_TIMEOUT_S)
            except StoreUnknownError:
                return
            context.took_s = clock.monotonic() - began

    async def body():
        loop = asyncio.get_running_loop()
        with loop.as_clock():
            appender = Appender(context.store)
            began = clock.monotonic()
            running = asyncio.ensure_future(appender.run())
            asyncio.ensure_future(append_all(appender))
            context.latencies = {}
            while (elapsed_s := clock.monotonic() - began) < WATCH_S:
                context.latencies[round(elapsed_s, 2)] = appender.latency_s()
                await asyncio.sleep(SAMPLE_S)
            running.cancel()

    run_virtually(body())


@then("the store has got {count:d} appends")
def step_appends(context, count):
    assert context.store.appends == count, context.store.appends


@then("the second is answered after {least:g} to {most:g} s")
def step_answered_after(context, least, most):
    assert least <= context.took_s <= most, context.took_s


@then("appends take {seconds:g} s after {at:g} s")
def step_latency_at(context, seconds, at):
    found = context.latencies[at]
    assert abs(found - seconds) <= SAMPLE_S, context.latencies
