"""Steps for the platform's processes under clients outside the limits."""

from __future__ import annotations

import random
import tempfile
import threading
import time
from pathlib import Path

from behave import given, then, when
from behave.runner import Context
from instance_statement_steps import wait_until
from loopback_networks import LoopbackNetwork
from platform_machines import CONTROL_PORT, OUTBOUND_PORT, READY_PORT, Machine, NodeMachine
from platform_traffic import (
    DEADLINE_MS,
    OK,
    READ,
    WRITE,
    Instance,
    Operator,
    Runs,
    ask,
    ask_control,
    document_of,
    is_ready,
    send,
)
from stop_limit_steps import AloneControl
from unruly_clients import FORMS, send_unruly

METRICS_PORT = 9464
SECONDS = 10.0
LOOK_SECONDS = 0.02
KIBIBYTE, MEGABYTE = 1024, 1_000_000
PORTS = {
    "callers": OUTBOUND_PORT,
    "instances": CONTROL_PORT,
    "operators": CONTROL_PORT,
    "readiness": READY_PORT,
    "metrics": METRICS_PORT,
}
CONTROL_LISTENERS = ("operators",)


class SmallControl(AloneControl):
    """A control machine that is the whole group, with little memory."""

    memory_mb = 0

    def fields(self) -> dict[str, str]:
        return {**super().fields(), "limits.memoryMb": str(self.memory_mb)}


class SmallNode(NodeMachine):
    """A node with little memory."""

    memory_mb = 0

    def fields(self) -> dict[str, str]:
        return {**super().fields(), "limits.memoryMb": str(self.memory_mb)}


class ProcessWatch:
    """Notes the most memory and descriptors of a process; ends it past the memory it has."""

    def __init__(self, machine: Machine, memory_mb: int) -> None:
        self.memory_mb = 0.0
        self.descriptors = 0
        self.exceeded = False
        self._folder = Path(f"/proc/{machine.process.pid}")
        self._machine, self._limit = machine, memory_mb
        self._over = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        self._over.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._over.wait(LOOK_SECONDS) and self._machine.running:
            try:
                self._look()
            except (OSError, StopIteration):
                return
            if self.memory_mb > self._limit:
                self.exceeded = True
                self._machine.kill()

    def _look(self) -> None:
        lines = (self._folder / "status").read_text().splitlines()
        peak = next(line for line in lines if line.startswith("VmHWM:"))
        self.memory_mb = max(self.memory_mb, int(peak.split()[1]) * KIBIBYTE / MEGABYTE)
        self.descriptors = max(self.descriptors, len(list((self._folder / "fd").iterdir())))


@given("a control process and a node of the platform with {memory:d} MB each")
def given_small(context: Context, memory: int) -> None:
    network = LoopbackNetwork.take()
    context.add_cleanup(network.close)
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    root = Path(folder.name)
    context.control = SmallControl(root, "core-1", network.address(1), "zone-0")
    context.node = SmallNode(root, "sidecar-1", network.address(2), "zone-1")
    context.memory_mb = memory
    for machine in (context.control, context.node):
        machine.memory_mb = memory
        machine.write_settings([context.control.control], first_start=True)
        machine.start()
        context.add_cleanup(machine.kill)
    context.instance = Instance(context.node, Runs())
    context.add_cleanup(context.instance.end)
    Operator([context.control], random.Random(1)).change()
    wait_until(lambda: is_ready(context.node), "the node is ready")
    wait_until(lambda: is_served(context), "a request is served")


@given("a configuration of {count:d} routes in force")
def given_routes(context: Context, count: int) -> None:
    kinds = {READ: "safe", WRITE: "unsafe"}
    kinds |= {f"x{number}": "safe" for number in range(count - len(kinds))}
    document = document_of(2, 1, kinds, DEADLINE_MS)
    assert ask_control(context.control, "PUT", document).status == OK
    wait_until(lambda: is_served(context), "a request is served")


def is_served(context: Context) -> bool:
    request = f"ordinary-{time.monotonic_ns()}"
    return send(context.node, request, READ, f"/{READ}/{request}").status == OK


@when("{count:d} connections send {form} to the listener for {listener}")
def when_unruly(context: Context, count: int, form: str, listener: str) -> None:
    machine = context.control if listener in CONTROL_LISTENERS else context.node
    context.machine, context.listener = machine, listener
    context.process = machine.process
    context.watch = ProcessWatch(machine, context.memory_mb)
    context.add_cleanup(context.watch.stop)
    address = machine.ip, PORTS[listener]
    send_unruly(FORMS[form], count, address, SECONDS, lambda: machine.running)
    context.watch.stop()
    seen = context.watch
    print(f"{form}: {count}, {listener}: {seen.memory_mb:.0f} MB, {seen.descriptors} descriptors")


@then("the process lives, within its memory and with at most {count:d} open descriptors")
def then_lives(context: Context, count: int) -> None:
    watch = context.watch
    assert not watch.exceeded, f"{watch.memory_mb:.0f} MB"
    assert context.process.poll() is None, f"the process ended by {context.process.returncode}"
    assert context.machine.process is context.process
    assert watch.descriptors <= count, watch.descriptors


@then("an ordinary request is answered")
def then_answered(context: Context) -> None:
    """Ask the listener itself, and its node for a call."""
    wait_until(lambda: answers_itself(context), "the listener answers")
    wait_until(lambda: is_served(context), "a request is served")


def answers_itself(context: Context) -> bool:
    node = context.node
    if context.listener == "operators":
        return ask_control(context.control, "GET").status == OK
    if context.listener == "metrics":
        return ask(node.ip, METRICS_PORT, "GET", "/healthz").status == OK
    if context.listener == "readiness":
        return is_ready(node)
    return is_served(context)
