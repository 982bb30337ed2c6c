"""Steps for calls that are open when a node of the platform reaches the limit of its stop."""

from __future__ import annotations

import re
import signal
import socket
import tempfile
import threading
import time
from pathlib import Path

from behave import given, then, when
from loopback_networks import LoopbackNetwork
from platform_machines import CONTROL_PORT, OUTBOUND_PORT, ControlMachine, NodeMachine
from platform_traffic import (
    HOST_NAME,
    OK,
    READ,
    WRITE,
    Instance,
    Runs,
    ask,
    document,
    is_ready,
    send,
)

GRACE_SECONDS = 3
PATIENCE_SECONDS = 30.0
DEADLINE_MS = 8000
UPLOAD_BYTES = 60_000
READS = ("first", "second")
HELD_UNTIL_SEEN = 0.3
"""Seconds that a call has to reach the other node before the stop begins."""

BETWEEN_SIGNALS_SECONDS = 0.2
STOP_LIMIT_PASSED = "stop-limit-passed"
CALLS_OPEN_AT_STOP = "calls-open-at-stop"
STOP_LIMIT_SECONDS = 0.9 * GRACE_SECONDS
LAME_DUCK_SECONDS = 0.47 * STOP_LIMIT_SECONDS
LEAST_TIME_OF_CALLS = 0.8 * GRACE_SECONDS
"""Seconds after SIGTERM before which no open call is given up."""

FROZEN_FROM, FROZEN_UNTIL = STOP_LIMIT_SECONDS - 0.4, STOP_LIMIT_SECONDS + 0.1
UNKNOWN_ANSWER = re.compile(rb"HTTP/1\.1 502 [^{]*x-limelever-outcome: unknown")

NOT_RUN_ANSWER = re.compile(rb"HTTP/1\.1 503 [^{]*x-limelever-outcome: not-run[^{]*retry-after: ")


class AloneControl(ControlMachine):
    """A control machine that is the whole group."""

    def fields(self):
        return {**super().fields(), "faultTolerance.machines": "0"}


class BriefNode(NodeMachine):
    """A node with a short time to stop."""

    def fields(self):
        return {**super().fields(), "bounds.graceS": str(GRACE_SECONDS)}


class HoldingRuns(Runs):
    """Holds the requests that come to the instance from :meth:`hold` on until :meth:`let_go`."""

    def __init__(self):
        super().__init__()
        self._free = threading.Event()
        self._free.set()

    def hold(self):
        self._free.clear()

    def let_go(self):
        self._free.set()

    def note(self, request):
        super().note(request)
        self._free.wait(PATIENCE_SECONDS)


class Connection:
    """A caller's connection; ``answers`` gets all that came back until the node closed it."""

    def __init__(self, node, data):
        self.answers = b""
        self.answered_at = 0.0
        self._socket = socket.create_connection((node.ip, OUTBOUND_PORT), PATIENCE_SECONDS)
        self._socket.sendall(data)
        self._reader = threading.Thread(target=self._read)
        self._reader.start()

    def _read(self):
        try:
            while part := self._socket.recv(65536):
                self.answered_at = self.answered_at or time.monotonic()
                self.answers += part
        except OSError:
            return
        finally:
            self._socket.close()

    def ended(self):
        self._reader.join(PATIENCE_SECONDS)
        return self.answers

    def send(self, data):
        self._socket.sendall(data)

    def leave(self):
        self._socket.shutdown(socket.SHUT_RDWR)


def request(kind, name, body=b"", deadline_ms=DEADLINE_MS):
    method = "POST" if kind == WRITE else "GET"
    head = (
        f"{method} /{kind}/{name} HTTP/1.1\r\nHost: {HOST_NAME}\r\n"
        f"Limelever-Attempt-Id: {name}\r\nLimelever-Deadline-Ms: {deadline_ms}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def wait_until(condition, what):
    end = time.monotonic() + PATIENCE_SECONDS
    while not condition():
        assert time.monotonic() < end, what
        time.sleep(0.05)


def puts_configuration(control):
    body = document(1, 0, timeout_ms=DEADLINE_MS)
    return ask(control.ip, CONTROL_PORT, "PUT", "/v1/config", body).status == OK


@given("a control process, and two nodes of the platform of which one has an instance")
def given_machines(context):
    network = LoopbackNetwork.take()
    context.add_cleanup(network.close)
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    root = Path(folder.name)
    control = AloneControl(root, "core-1", network.address(1), "one")
    context.first = BriefNode(root, "sidecar-1", network.address(2), "one")
    context.second = BriefNode(root, "sidecar-2", network.address(3), "one")
    context.runs = HoldingRuns()
    instance = Instance(context.second, context.runs)
    context.add_cleanup(instance.end)
    context.add_cleanup(context.runs.let_go)
    for machine in (control, context.first, context.second):
        machine.write_settings([control.control], first_start=True)
        context.add_cleanup(machine.kill)
        machine.start()
    wait_until(lambda: puts_configuration(control), "the configuration is taken")
    wait_until_served(context)


def wait_until_served(context):
    """A request through the first node is run by the instance beside the second."""
    wait_until(lambda: is_ready(context.first), "the first node is ready")
    wait_until(
        lambda: send(context.first, "warm", READ, f"/{READ}/warm").status == OK,
        "a request through the first node is served by the second",
    )


@when("that node has started again")
def start_again(context):
    context.runs.let_go()
    context.first.start()
    wait_until_served(context)


@when(
    "the other node is asked for an upload of {size:d} bytes "
    "while the instance's node is frozen, and to stop"
)
def upload_to_frozen(context, size):
    """Send an upload to a frozen agent; it gives no credit for a body that isn't sent inline."""
    context.second.send(signal.SIGSTOP)
    context.expected = 1
    connection = Connection(context.first, request(WRITE, "upload", bytes(size)))
    time.sleep(HELD_UNTIL_SEEN)
    stop_and_wait(context, connection)
    context.second.send(signal.SIGCONT)


@when("the other node is asked for two reads in a row that the instance holds, and to stop")
def reads_held(context):
    context.runs.hold()
    context.expected = 2
    connection = send_held(context, b"".join(request(READ, name) for name in READS), READS)
    stop_and_wait(context, connection)


@when("the other node is asked for an upload that the instance holds, and to stop {times:d} times")
def upload_held(context, times):
    stop_and_wait(context, hold_upload(context), times)


@when(
    "the other node is asked for an upload that the instance holds, and to stop, "
    "and is frozen over its limit"
)
def upload_held_over_the_limit(context):
    connection = hold_upload(context)
    asked_at = time.monotonic()
    context.first.send(signal.SIGTERM)
    time.sleep(asked_at + FROZEN_FROM - time.monotonic())
    context.first.send(signal.SIGSTOP)
    time.sleep(asked_at + FROZEN_UNTIL - time.monotonic())
    context.first.send(signal.SIGCONT)
    wait_for_end(context, connection, asked_at)


@when("the caller of an upload that the instance holds leaves, and the other node is asked to stop")
def caller_leaves(context):
    hold_upload(context).leave()
    context.asked_at = time.monotonic()
    context.first.send(signal.SIGTERM)


@then("that node goes on past the time in which it takes calls")
def check_goes_on(context):
    time.sleep(LAME_DUCK_SECONDS + HELD_UNTIL_SEEN)
    assert context.first.running


@when("the instance lets the upload go")
def instance_lets_go(context):
    context.runs.let_go()
    context.status = context.first.process.wait(PATIENCE_SECONDS)
    context.seconds = time.monotonic() - context.asked_at


def hold_upload(context):
    context.runs.hold()
    context.expected = 1
    return send_held(context, request(WRITE, "upload", bytes(UPLOAD_BYTES)), ("upload",))


def send_held(context, data, names):
    """Send requests, and wait until the instance has begun each of them once more."""
    runs = context.runs.by_id
    wanted = {name: runs[name] + 1 for name in names}
    connection = Connection(context.first, data)
    wait_until(
        lambda: all(runs[name] == count for name, count in wanted.items()),
        f"the instance runs {wanted}",
    )
    return connection


def stop_and_wait(context, connection, times=1):
    asked_at = time.monotonic()
    for _ in range(times):
        context.first.send(signal.SIGTERM)
        time.sleep(BETWEEN_SIGNALS_SECONDS)
    wait_for_end(context, connection, asked_at)


def wait_for_end(context, connection, asked_at):
    context.status = context.first.process.wait(PATIENCE_SECONDS)
    context.seconds = time.monotonic() - asked_at
    context.answers = connection.ended()
    context.answered_after = connection.answered_at - asked_at


@then("each of its callers is told that the outcome is not known, when the time is nearly over")
def check_told_unknown(context):
    check_told(context, UNKNOWN_ANSWER)


@then("each of its callers is told that its call was not run, when the time is nearly over")
def check_told_not_run(context):
    check_told(context, NOT_RUN_ANSWER)


def check_told(context, expected):
    answers = expected.findall(context.answers)
    assert len(answers) == context.expected, context.answers
    assert context.answers.count(b"HTTP/1.1 ") == context.expected, context.answers
    assert context.answered_after > LEAST_TIME_OF_CALLS, context.answered_after


@then("that node ended by itself with status 0")
def check_status(context):
    assert context.status == 0, context.status


@then("that node ended by itself with status 0, within its limit")
def check_ended(context):
    assert context.status == 0 and context.seconds < GRACE_SECONDS, context.seconds
    assert not events_of(context, STOP_LIMIT_PASSED)


@then("it did not find a call open near its limit")
def check_none_open(context):
    assert not events_of(context, CALLS_OPEN_AT_STOP)


def events_of(context, name):
    return [event for event in context.first.events() if event.get("event") == name]
