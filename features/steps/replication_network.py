"""Source cores in virtual time: their clock, disks and lossy links, drawn from one seed."""

from __future__ import annotations

import heapq
from random import Random

from replication_node import Node

from limelever.common.errors import ErrorKind, Failure
from limelever.common.sansio import (
    ConnectionClosed,
    ConnectionFailed,
    ConnectionOpened,
    DeadlineReached,
    LogEvent,
    MessageReceived,
    OpenConnection,
    Peer,
    Purpose,
    Role,
    SendMessage,
    StopProcess,
    WriteCompleted,
)
from limelever.protocol.feature_level import CURRENT_LEVEL
from limelever.protocol.replication_pb2 import JoinRequest
from limelever.source.messages import OperatorAnswer
from limelever.storage.disk import DISK_WRITES

RUNNING_TIMEOUT = 30.0


def as_sent_by(node, message):
    """Return ``message`` as the build that a node stands for sends it."""
    if not isinstance(message, JoinRequest) or node.level == CURRENT_LEVEL:
        return message
    sent = JoinRequest()
    sent.CopyFrom(message)
    sent.feature_level = node.level
    return sent


class VirtualNetwork:
    """Carries out the outputs of replicas a, b, c ... and delivers their events."""

    def __init__(self, size, seed=1, loss=0.0, snapshot_every=4096):
        self.random = Random(seed)
        self.now = 0.0
        self.loss = loss
        self.snapshot_every = snapshot_every
        self.nodes = {name: Node(name) for name in "abcdefg"[:size]}
        self.operator_addresses = {}
        self.cut = set()
        self.queue = []
        self.sequence = 0
        self.ledger = {}
        self.leaders = {}
        self.answers = {}
        self.logged = []
        self.received = []
        self.stopped = []
        self.dialled = []
        self.last_token = 0
        self.sent = 0

    # --- time ---------------------------------------------------------------------------------

    def after(self, delay, action):
        self.sequence += 1
        heapq.heappush(self.queue, (self.now + delay, self.sequence, action))

    def step(self):
        self.now, _, action = heapq.heappop(self.queue)
        action()

    def run(self, seconds):
        end = self.now + seconds
        while self.queue and self.queue[0][0] <= end:
            self.step()
        self.now = end

    def run_until(self, condition, what, timeout=RUNNING_TIMEOUT):
        end = self.now + timeout
        while not condition():
            assert self.queue and self.queue[0][0] <= end, f"waited in vain until {what}"
            self.step()

    def drop_link(self, node, connection):
        other, other_connection = node.links.pop(connection)
        other.links.pop(other_connection, None)
        self.after(0.001, self.event(other, ConnectionClosed(other_connection, "peer gone")))
        self.after(0.001, self.event(node, ConnectionClosed(connection, "gone")))

    def event(self, node, event):
        life = node.life
        return lambda: self.deliver(node, life, event)

    def deliver(self, node, life, event):
        if node.core is None or node.life != life:
            return
        if node.frozen is not None:
            node.frozen.append((life, event))
            return
        for output in node.core.handle(event, self.now):
            self.carry_out(node, output)
        self.check_leader(node)
        self.arm(node)

    def arm(self, node):
        deadline = node.core.next_deadline()
        life = node.life

        def due():
            if node.core is not None and node.life == life:
                wanted = node.core.next_deadline()
                if wanted is not None and wanted <= self.now:
                    self.deliver(node, life, DeadlineReached())

        if deadline is not None:
            self.after(max(deadline - self.now, 1e-6), due)

    # --- outputs ------------------------------------------------------------------------------

    def carry_out(self, node, output):
        if isinstance(output, DISK_WRITES):
            node.queued.append(output)
            self.begin_write(node)
        elif isinstance(output, SendMessage):
            self.send(node, output)
        elif isinstance(output, OpenConnection):
            self.dial(node, output)
        elif isinstance(output, OperatorAnswer):
            assert output.token not in self.answers, "answered twice"
            self.answers[output.token] = output.answer
        elif isinstance(output, LogEvent):
            self.logged.append((node.name, output.code, output.fields))
        elif isinstance(output, StopProcess):
            self.stopped.append((node.name, output.failure))

    def begin_write(self, node):
        if node.writing or node.hung or not node.queued:
            return
        node.writing, node.queued = node.queued, []
        assert node.disk.begin(node.writing) is None
        life = node.life

        def synced():
            if node.life != life:
                return
            node.disk.finish()
            writes, node.writing = node.writing, []
            for write in writes:
                self.deliver(node, life, WriteCompleted(write.token))
            self.begin_write(node)

        self.after(self.sync_seconds(node), synced)

    def sync_seconds(self, node):
        """Return how long the sync that begins now takes at a replica; groups may draw others."""
        return self.random.uniform(0.001, 0.004)

    def is_cut(self, one, other):
        return frozenset((one.name, other.name)) in self.cut

    def dial(self, node, output):
        target = self.nodes[output.address.host]
        self.dialled.append(target.name)
        life = node.life

        def arrive():
            if node.core is None or node.life != life:
                return
            if target.core is None or self.is_cut(node, target):
                failure = Failure(ErrorKind.CONNECTION_FAILED, "unreachable")
                self.deliver(node, life, ConnectionFailed(output.connection, failure))
                return
            target.accepted += 2
            accepted = target.accepted
            node.links[output.connection] = (target, accepted)
            target.links[accepted] = (node, output.connection)
            purpose = Purpose.REPLICATION
            peer = Peer(Role.SOURCE, node.name, "zone", purpose, feature_level=node.level)
            self.deliver(target, target.life, ConnectionOpened(accepted, peer))
            peer = Peer(Role.SOURCE, target.name, "zone", purpose, feature_level=target.level)
            self.deliver(node, life, ConnectionOpened(output.connection, peer))

        self.after(0.002, arrive)

    def send(self, node, output):
        link = node.links.get(output.connection)
        if link is None:
            self.received.append(output)
            return
        self.sent += 1
        message = as_sent_by(node, output.message)
        other, connection = link
        copies = 2 if self.random.random() < self.loss else 1
        for _ in range(copies):
            if self.is_cut(node, other) or self.random.random() < self.loss:
                continue
            received = MessageReceived(connection, message)
            self.after(self.random.uniform(0.001, 0.006), self.event(other, received))
