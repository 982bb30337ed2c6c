"""Steps for a machine that is suspended: its steady clock skips that time."""

from __future__ import annotations

import os
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

import suspendable_start
from behave import given, then, when
from deadly_fleet import KINDS, DeadlyFleet
from loopback_networks import LoopbackNetwork
from platform_machines import NodeMachine
from platform_traffic import (
    DEADLINE_MS,
    HOST_NAME,
    OK,
    OUTBOUND_PORT,
    READ,
    ask,
    ask_control,
    document_of,
)

AWAY_SECONDS = 4.0
"""Longer than it may take until an acknowledged change is in force."""

TOLERATED = 2
STALE = 503


class SuspendableNode(NodeMachine):
    """A node whose process can be suspended."""

    @property
    def _skipped(self) -> Path:
        return self.folder / "skipped"

    def start(self) -> None:
        self._skipped.write_text("0")
        self.start_as(
            Path(suspendable_start.__file__),
            {suspendable_start.SKIPPED_FILE: str(self._skipped)},
        )

    def suspend(self) -> None:
        self.suspended_at = time.monotonic()
        self.send(signal.SIGSTOP)

    def wake(self) -> None:
        self._skipped.write_text(str(time.monotonic() - self.suspended_at))
        self.send(signal.SIGCONT)


def dialled_hosts(process: int) -> set[str]:
    """Return the hosts that a process has connections to."""
    inodes = set()
    for each in Path(f"/proc/{process}/fd").iterdir():
        try:
            target = os.readlink(each)
        except FileNotFoundError:
            continue  # closed since it was listed
        if target.startswith("socket:["):
            inodes.add(target[len("socket:[") : -1])
    hosts = set()
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[9] in inodes:
            number = int(fields[2].split(":")[0], 16)
            hosts.add(socket.inet_ntoa(number.to_bytes(4, sys.byteorder)))
    return hosts


@given("five control machines, and a node that may be suspended")
def given_fleet(context):
    network = LoopbackNetwork.take()
    context.add_cleanup(network.close)
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    fleet = DeadlyFleet(Path(folder.name), network, 1, 1, SuspendableNode)
    context.fleet = fleet
    context.add_cleanup(fleet.close)
    fleet.start()


@when("the node is suspended, and the relays that it follows stand still")
def suspend(context):
    fleet = context.fleet
    (node,) = fleet.nodes
    followed = dialled_hosts(node.process.pid)
    relays = [each for each in fleet.control if each.ip in followed]
    assert 1 <= len(relays) <= TOLERATED, followed
    context.others = [each for each in fleet.control if each not in relays]
    for relay in relays:
        relay.send(signal.SIGSTOP)
    node.suspend()
    context.away_until = time.monotonic() + AWAY_SECONDS


@when("a new route is acknowledged meanwhile")
def change(context):
    body = document_of(2, 1, {**KINDS, "new": "safe"}, DEADLINE_MS)
    end = time.monotonic() + 60.0
    while ask_control(context.others[0], "PUT", body).status != OK:
        assert time.monotonic() < end, "the change was not taken"
        time.sleep(0.1)


@when("the node wakes, and is asked for that route at once")
def wake(context):
    (node,) = context.fleet.nodes
    time.sleep(max(0.0, context.away_until + 2.0 - time.monotonic()))
    node.wake()
    headers = {
        "Host": HOST_NAME,
        "Limelever-Attempt-Id": "ab00000000000001",
        "Limelever-Deadline-Ms": str(DEADLINE_MS),
    }
    context.answer = ask(node.ip, OUTBOUND_PORT, "GET", "/new/1", None, headers)


@then("it does not say that there is no such route")
def not_missing(context):
    assert context.answer.status in (OK, STALE), context.answer


@then("it serves what it has a route for")
def serves(context):
    (node,) = context.fleet.nodes
    headers = {
        "Host": HOST_NAME,
        "Limelever-Attempt-Id": "ab00000000000002",
        "Limelever-Deadline-Ms": str(DEADLINE_MS),
    }
    end = time.monotonic() + 10.0
    while ask(node.ip, OUTBOUND_PORT, "GET", f"/{READ}/1", None, headers).status != OK:
        assert time.monotonic() < end
        time.sleep(0.1)
