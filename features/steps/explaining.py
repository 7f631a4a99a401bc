"""Steps for log lines, timelines of jobs and metrics."""

import json
import logging
import os
import re
from unittest import mock

from behave import given, then, when

from primrosepitch import clock
from primrosepitch.events import JsonFormatter
from primrosepitch.logs import MAX_LINES_PER_S, BoundedHandler
from primrosepitch.metrics import Metrics
from primrosepitch.operators.job_timeline import LogLine, job_timeline, parse_log_lines


def make_handler(context):
    context.reader, writer = os.pipe()
    os.set_blocking(writer, False)
    os.set_blocking(context.reader, False)
    context.handler = BoundedHandler(writer)
    context.handler.setFormatter(JsonFormatter())
    context.reads_always = False
    context.received = b""
    context.second = 0
    patch = mock.patch.object(clock, "monotonic", lambda: float(context.second))
    patch.start()
    context.add_cleanup(patch.stop)


def read_available(context):
    while True:
        try:
            data = os.read(context.reader, 1 << 16)
        except BlockingIOError:
            return
        if not data:
            return
        context.received += data


def write_line(context, message, level, second):
    record = logging.LogRecord("t", level, "f", 1, message, None, None)
    context.second = second
    context.handler.emit(record)
    if context.reads_always:
        read_available(context)


@given("a log handler on a pipe that nobody reads")
def step_unread(context):
    make_handler(context)


@given("a log handler on a pipe that is read")
def step_read(context):
    make_handler(context)
    context.reads_always = True


@when(
    "{lines:d} lines at level info and {warnings:d} warnings are written within one "
    "second"
)
def step_write(context, lines, warnings):
    context.written = 0
    for _ in range(lines):
        write_line(context, "run_starting", logging.INFO, 7)
        context.written += 1
    for _ in range(warnings):
        write_line(context, "endpoint_silent", logging.WARNING, 7)
        context.written += 1


@then("every write returned")
def step_returned(context):
    assert context.written == 20005


@then("lines beyond the rate were dropped and counted by event")
def step_counted(context):
    assert context.handler.dropped == {"run_starting": 20000 - MAX_LINES_PER_S}


@when("the reader continues in the next second")
def step_reader_continues(context):
    context.reads_always = True
    for _ in range(3):
        write_line(context, "job_ended", logging.INFO, 8)


@then("one line gives the number of dropped lines by event")
def step_dropped_summary(context):
    rows = [json.loads(line) for line in context.received.splitlines()]
    summaries = [row for row in rows if row["event"] == "log_lines_dropped"]
    assert len(summaries) == 1
    assert summaries[0]["counts"] == {"run_starting": 20000 - MAX_LINES_PER_S}


@then("{count:d} complete lines were read")
def step_complete_lines(context, count):
    rows = [json.loads(line) for line in context.received.splitlines()]
    assert len(rows) == count, len(rows)


@given("log lines of two nodes about job j1 and others, one of them truncated")
def step_lines(context):
    def line(time, event, **fields):
        return json.dumps({"time": time, "event": event, **fields})

    context.lines = [
        "a " + line(3.0, "run_ended", job="j1", endpoint="e1"),
        "b " + line(1.0, "job_accepted", job="j1"),
        "a " + line(2.0, "run_starting", job="j1", endpoint="e1"),
        "a " + line(2.5, "endpoint_silent", endpoint="e1"),
        "a " + line(2.6, "endpoint_silent", endpoint="e2"),
        "a " + line(2.0, "run_starting", job="j2", endpoint="e1"),
        'a {"time": 2.1, "event": "run_st',
    ]


@when("the timeline of j1 is assembled")
def step_assemble_timeline(context):
    rows = list(parse_log_lines(context.lines))
    context.truncated = [row for row in rows if isinstance(row, str)]
    context.timeline = job_timeline(
        "j1", [row for row in rows if isinstance(row, LogLine)]
    )


@then("it has {count:d} lines in chronological order")
def step_timeline_lines(context, count):
    events = [line.split("ms")[1].split()[0] for line in context.timeline]
    assert events == ["job_accepted", "run_starting", "endpoint_silent", "run_ended"]
    assert len(events) == count


@then("the truncated line was reported")
def step_truncated(context):
    assert len(context.truncated) == 1


@given("metrics with a counter, a gauge and a duration")
def step_metrics(context):
    context.metrics = Metrics()
    context.metrics.count("primrose.jobs", 3, queue="q")
    context.metrics.add_gauge("primrose.term", "1", lambda: 7)
    context.metrics.record_duration("primrose.order.duration", 0.02, call="start")


@when("they are rendered as text")
def step_as_text(context):
    context.rendered = context.metrics.as_prometheus_text().decode().splitlines()


@then("each has a line with its value, and the duration its buckets")
def step_metric_lines(context):
    assert 'primrose_jobs{queue="q"} 3' in context.rendered, context.rendered
    assert "primrose_term 7" in context.rendered
    assert (
        'primrose_order_duration_bucket{call="start",le="0.025"} 1' in context.rendered
    )
    assert (
        'primrose_order_duration_bucket{call="start",le="0.01"} 0' in context.rendered
    )
    assert 'primrose_order_duration_count{call="start"} 1' in context.rendered


@given("metrics of requests with {count:d} invented methods")
def step_methods(context, count):
    context.metrics = Metrics()
    for number in range(count):
        context.metrics.server_request(f"M{number}", 200, "", 0.1)


@then("they have {count:d} method")
def step_method_count(context, count):
    text = context.metrics.as_prometheus_text().decode()
    found = set(re.findall(r'http_request_method="(\w+)"', text))
    assert len(found) == count, found
