"""Steps for logs that are bounded and never wait."""

from __future__ import annotations

import os
import time

from behave import given, then, when

from limelever.common.decision_log import DecisionLog, DecisionLogSettings
from limelever.common.events import DECISIONS_NOT_LOGGED, PROCESS_STARTED
from limelever.transport.log_stream import HELD_BYTES_LIMIT, LogStream

LINE = "x" * 99 + "\n"
PATIENCE = 10.0


@given("a log stream to a pipe that nobody reads")
def given_stream(context):
    context.reader, writer = os.pipe()
    context.add_cleanup(os.close, context.reader)
    context.add_cleanup(os.close, writer)
    context.stream = LogStream(writer, lambda count: f"dropped {count}\n")


@when("{count:d} lines are written to it")
def when_written(context, count):
    begun = time.monotonic()
    for _ in range(count):
        context.stream.write(LINE)
    context.took = time.monotonic() - begun
    context.written = count


@then("writing took no longer than the test's patience")
def then_quick(context):
    assert context.took < PATIENCE, context.took


@then("the stream holds no more than its bound")
def then_bounded(context):
    assert context.stream._held_bytes <= HELD_BYTES_LIMIT


@when("the pipe is read again and one more line is written")
def when_read(context):
    os.set_blocking(context.reader, False)
    received = b""
    for _ in range(1000):
        context.stream.write(LINE)
        try:
            received += os.read(context.reader, 1 << 20)
        except BlockingIOError:
            break
        context.written += 1
        if b"dropped" in received:
            break
    context.received = received


@then("whole lines come out of it, and one that tells how many were dropped")
def then_whole_lines(context):
    lines = context.received.decode().splitlines()
    told = [line for line in lines if line.startswith("dropped ")]
    others = [line for line in lines if not line.startswith("dropped ")]
    assert len(told) == 1, told
    assert all(line == LINE.strip() for line in others[:-1])
    assert int(told[0].split()[1]) > 10000, told


@given("decision logs of {percent:d} percent on two processes")
def given_logs(context, percent):
    context.logs = [DecisionLog(DecisionLogSettings(percent)) for _ in range(2)]


@then("both follow the same requests, about a tenth of them")
def then_same(context):
    ids = [f"request-{number}".encode() for number in range(2000)]
    followed = [[each for each in ids if log.follows(each)] for log in context.logs]
    assert followed[0] == followed[1]
    assert 120 <= len(followed[0]) <= 280, len(followed[0])


@given("a decision log with {rate:d} failures a second and {burst:d} at once")
def given_rated(context, rate, burst):
    context.log = DecisionLog(DecisionLogSettings(0, rate, burst))


@when("{count:d} requests fail at one moment")
def when_fail(context, count):
    context.lines = [
        line for _ in range(count) for line in context.log.failure(PROCESS_STARTED, b"id", {}, 5.0)
    ]


@then("{count:d} lines are written")
def then_lines(context, count):
    assert len(context.lines) == count, len(context.lines)


@when("a second later one more fails")
def when_later(context):
    context.lines = context.log.failure(PROCESS_STARTED, b"id", {}, 6.0)


@when("half a second after that {count:d} more fail")
def when_more_fail(context, count):
    context.lines = [
        line for _ in range(count) for line in context.log.failure(PROCESS_STARTED, b"id", {}, 6.5)
    ]


@when("a fifth of a second after that one more fails")
def when_soon_after(context):
    context.lines = context.log.failure(PROCESS_STARTED, b"id", {}, 6.7)


@when("a second after that one more fails")
def when_again_later(context):
    context.lines = context.log.failure(PROCESS_STARTED, b"id", {}, 7.7)


@then("its line comes with one that tells of {count:d} left out")
def then_left_out(context, count):
    own, told = context.lines
    assert own.code == PROCESS_STARTED
    assert (told.code, told.fields) == (DECISIONS_NOT_LOGGED, {"lines": count})
