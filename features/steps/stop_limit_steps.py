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
HELD_UNTIL_SEEN = 0.3
"""Seconds that a call has to reach the other node before the stop begins."""

BETWEEN_SIGNALS_SECONDS = 0.2
STOP_LIMIT_PASSED = "stop-limit-passed"
UNKNOWN_STATUSES = (b"502", b"504")


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
        self._socket = socket.create_connection((node.ip, OUTBOUND_PORT), PATIENCE_SECONDS)
        self._socket.sendall(data)
        self._reader = threading.Thread(target=self._read)
        self._reader.start()

    def _read(self):
        try:
            while part := self._socket.recv(65536):
                self.answers += part
        except OSError:
            return
        finally:
            self._socket.close()

    def ended(self):
        self._reader.join(PATIENCE_SECONDS)
        return self.answers


def request(kind, name, body=b""):
    method = "POST" if kind == WRITE else "GET"
    head = (
        f"{method} /{kind}/{name} HTTP/1.1\r\nHost: {HOST_NAME}\r\n"
        f"Limelever-Attempt-Id: {name}\r\nLimelever-Deadline-Ms: {DEADLINE_MS}\r\n"
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


@when("the other node is asked for an upload while the instance's node is frozen, and to stop")
def upload_to_frozen(context):
    context.second.send(signal.SIGSTOP)
    context.expected = 1
    ask_and_stop(context, request(WRITE, "upload", bytes(UPLOAD_BYTES)))


@when("the other node is asked for two reads in a row that the instance holds, and to stop")
def reads_held(context):
    context.runs.hold()
    context.expected = 2
    ask_and_stop(context, request(READ, "first") + request(READ, "second"))


@when("the other node is asked for an upload that the instance holds, and to stop {times:d} times")
def upload_held(context, times):
    context.runs.hold()
    context.expected = 1
    ask_and_stop(context, request(WRITE, "upload", bytes(UPLOAD_BYTES)), times)


def ask_and_stop(context, data, times=1):
    connection = Connection(context.first, data)
    time.sleep(HELD_UNTIL_SEEN)
    asked_at = time.monotonic()
    for _ in range(times):
        context.first.send(signal.SIGTERM)
        time.sleep(BETWEEN_SIGNALS_SECONDS)
    context.status = context.first.process.wait(PATIENCE_SECONDS)
    context.seconds = time.monotonic() - asked_at
    context.answers = connection.ended()


@then("each of its callers is told that the outcome is not known")
def check_told(context):
    statuses = re.findall(rb"HTTP/1\.1 (\d+) ", context.answers)
    assert len(statuses) == context.expected, context.answers
    assert all(status in UNKNOWN_STATUSES for status in statuses), statuses


@then("that node ended by itself with status 0, within its limit")
def check_ended(context):
    assert context.status == 0 and context.seconds < GRACE_SECONDS, vars(context.first)
    passed = [e for e in context.first.events() if e.get("event") == STOP_LIMIT_PASSED]
    assert not passed, passed
