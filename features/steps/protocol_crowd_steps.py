"""Steps for crowds of clients that break the limits of HTTP/2 and of links."""

from __future__ import annotations

import json
import threading
import time
from pathlib import Path

from behave import given, then, when
from behave.runner import Context
from body_instances import BodyInstance
from http2_forms import http2_form
from instance_statement_steps import start_fleet, wait_until
from link_forms import LINK_FORMS
from memory_steps import DEADLINE_MS, KINDS, send
from platform_machines import CONTROL_PORT, OUTBOUND_PORT, READY_PORT, Machine, NodeMachine
from platform_traffic import OK, ask, ask_control, document_of, is_ready
from socket_crowd import Form, SocketCrowd

MEMORY_MB = 120
CROWD_SECONDS = 8.0
LOOK_SECONDS = 0.02
METRICS_PORT = 9464
LINK_PORT = 7380
OPERATOR_PORT = 7382
KIBIBYTES_PER_MEGABYTE = 1000
LISTENERS = {
    "callers": ("node", OUTBOUND_PORT),
    "readiness": ("node", READY_PORT),
    "metrics": ("node", METRICS_PORT),
    "instances": ("node", CONTROL_PORT),
    "node links": ("node", LINK_PORT),
    "control interface": ("control", CONTROL_PORT),
    "gRPC operators": ("control", OPERATOR_PORT),
    "replica links": ("control", LINK_PORT),
}


class SmallNode(NodeMachine):
    """A node on a machine of little memory."""

    def fields(self) -> dict[str, str]:
        return {**super().fields(), "limits.memoryMb": str(MEMORY_MB)}


class ResourceWatch:
    """Notes the most memory and open descriptors of a process, and whether it stays the same."""

    def __init__(self, machine: Machine) -> None:
        self.peak_mb, self.descriptors = 0.0, 0
        self._machine = machine
        self.process = machine.process
        self._over = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        self._over.set()
        self._thread.join()

    def _run(self) -> None:
        folder = Path(f"/proc/{self.process.pid}")
        while self._machine.running and not self._over.wait(LOOK_SECONDS):
            try:
                status = (folder / "status").read_text()
                descriptors = sum(1 for _ in (folder / "fd").iterdir())
            except OSError:
                return
            resident = next(line for line in status.splitlines() if line.startswith("RssAnon:"))
            size = int(resident.split()[1]) * 1024 / 1000 / KIBIBYTES_PER_MEGABYTE
            self.peak_mb = max(self.peak_mb, size)
            self.descriptors = max(self.descriptors, descriptors)


@given("a control process and a node of the platform with 120 MB of memory")
def given_small_node(context: Context) -> None:
    start_fleet(context, 1, BodyInstance, SmallNode)
    document = json.dumps(json.loads(document_of(2, 1, KINDS, DEADLINE_MS))).encode()
    wait_until(lambda: ask_control(context.control, "PUT", document).status == OK, "it is taken")
    wait_until(lambda: is_served(context, "before"), "an ordinary request is served")


def is_served(context: Context, name: str) -> bool:
    request = f"{name}-{time.monotonic_ns()}"
    return send(context.nodes[0], request, "GET", "/read/100", None).status == OK


@when("{crowd:d} HTTP/2 clients send {form} to the listener for {listener}")
def when_http2_crowd(context: Context, crowd: int, form: str, listener: str) -> None:
    play(context, crowd, http2_form(form), listener)


@when("{crowd:d} clients send {form} to the listener for {listener}")
def when_link_crowd(context: Context, crowd: int, form: str, listener: str) -> None:
    play(context, crowd, LINK_FORMS[form], listener)


def play(context: Context, count: int, form: Form, listener: str) -> None:
    role, port = LISTENERS[listener]
    machine = context.nodes[0] if role == "node" else context.control
    context.watch = ResourceWatch(machine)
    context.struck = machine
    crowd = SocketCrowd((machine.ip, port), form, count)
    end = time.monotonic() + CROWD_SECONDS
    # A process that grows without bound is not left to use up the machine.
    while time.monotonic() < end and context.watch.peak_mb < 10 * MEMORY_MB:
        time.sleep(LOOK_SECONDS)
    crowd.stop()
    context.watch.stop()
    print(
        f"peak {context.watch.peak_mb:.0f} MB, {context.watch.descriptors} descriptors, "
        f"{crowd.opened} connections"
    )


@then("the process lives, and stayed within {memory:d} MB and {descriptors:d} descriptors")
def then_bounded(context: Context, memory: int, descriptors: int) -> None:
    watch = context.watch
    assert context.struck.running and context.struck.process is watch.process
    assert watch.peak_mb < memory, f"{watch.peak_mb:.0f} MB"
    assert watch.descriptors < descriptors, watch.descriptors


@then("an ordinary request, a reading of the configuration and of the readiness are answered")
def then_ordinary(context: Context) -> None:
    wait_until(lambda: is_served(context, "after"), "an ordinary request is served")
    wait_until(lambda: ask_control(context.control, "GET").status == OK, "it can be read")
    wait_until(lambda: is_ready(context.nodes[0]), "the node is ready")
    health = ask(context.nodes[0].ip, METRICS_PORT, "GET", "/healthz")
    assert health.status == OK, health
