"""A group of source cores in virtual time: lossy links, cuts, crashes, lost disks, and checks."""

from __future__ import annotations

import heapq
from random import Random

from replication_node import Node, RecordingCore, service_batch

from limelever.common.errors import ErrorKind, Failure
from limelever.common.sansio import (
    Address,
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
    Started,
    StopProcess,
    WriteCompleted,
)
from limelever.protocol.operators_pb2 import ApplyResponse
from limelever.publisher.settings import PublisherSettings
from limelever.source import events
from limelever.source.at_rest import SecretSealer
from limelever.source.messages import OperatorAnswer, OperatorRequest
from limelever.source.replication.settings import ReplicationSettings
from limelever.storage.disk import DISK_WRITES

SEALER = SecretSealer([bytes(32)])
RUNNING_TIMEOUT = 30.0


class Group:
    """Replicas a, b, c ... with everything between them drawn from one seed."""

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

    def found(self):
        """Start all replicas and wait until all vote."""
        for name in self.nodes:
            self.start(name)
        leader = self.wait_for_leader()
        names = set(self.nodes)
        self.run_until(
            lambda: self.leader() and set(self.voters(self.leader())) == names,
            "all replicas vote",
        )
        return leader

    # --- lives --------------------------------------------------------------------------------

    def settings(self, name):
        others = {other: Address(other, 1) for other in self.nodes if other != name}
        return ReplicationSettings(
            name,
            others,
            operator_address=self.operator_addresses.get(name, f"{name}:2"),
            bootstrap=True,
            snapshot_every=self.snapshot_every,
        )

    def start(self, name):
        node = self.nodes[name]
        node.life += 1
        core = RecordingCore.open(
            self.settings(name),
            PublisherSettings(),
            node.disk.recovered,
            Random(self.random.random()),
            SEALER,
        )
        assert not isinstance(core, Failure), core
        core.note_applied = self.note_applied
        node.core = core
        self.deliver(node, node.life, Started())

    def crash(self, name, torn=True):
        node = self.nodes[name]
        node.core, node.frozen = None, None
        node.life += 1
        node.writing, node.queued = [], []
        node.disk.crash(self.random, torn)
        for connection in list(node.links):
            self.drop_link(node, connection)

    def replace_machine(self, lost, name):
        """Take a lost machine out of the settings, put a new one in, restart the others in turn."""
        del self.nodes[lost]
        self.nodes[name] = Node(name)
        for other in self.nodes:
            if other != name:
                self.crash(other, torn=False)
                self.start(other)
                self.wait_for_leader()
        self.start(name)

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

        self.after(self.random.uniform(0.001, 0.004), synced)

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
            peer = Peer(Role.SOURCE, node.name, "zone", purpose)
            self.deliver(target, target.life, ConnectionOpened(accepted, peer))
            peer = Peer(Role.SOURCE, target.name, "zone", purpose)
            self.deliver(node, life, ConnectionOpened(output.connection, peer))

        self.after(0.002, arrive)

    def send(self, node, output):
        link = node.links.get(output.connection)
        if link is None:
            self.received.append(output)
            return
        self.sent += 1
        other, connection = link
        copies = 2 if self.random.random() < self.loss else 1
        for _ in range(copies):
            if self.is_cut(node, other) or self.random.random() < self.loss:
                continue
            message = MessageReceived(connection, output.message)
            self.after(self.random.uniform(0.001, 0.006), self.event(other, message))

    # --- checks -------------------------------------------------------------------------------

    def note_applied(self, entry):
        known = self.ledger.setdefault(entry.index, entry)
        assert known == entry, f"entry {entry.index} was committed with two contents"

    def check_leader(self, node):
        replica = node.core.replica
        if replica.leading:
            known = self.leaders.setdefault(replica.term, replica.identity)
            assert known == replica.identity, f"two leaders in term {replica.term}"

    # --- disorder -----------------------------------------------------------------------------

    def isolate(self, name):
        """Cut a replica off from the others, silently."""
        self.cut |= {frozenset((name, other)) for other in self.nodes if other != name}

    def freeze(self, name):
        """Stop a replica where it is: what reaches it waits, and it does not notice."""
        self.nodes[name].frozen = []

    def thaw(self, name, request=None):
        """Let a frozen replica go on, with an operator's request before what has waited.

        Returns the request's token.
        """
        node = self.nodes[name]
        waited, node.frozen = node.frozen or [], None
        token = None if request is None else self.ask(name, request)
        for life, event in waited:
            self.deliver(node, life, event)
        return token

    # --- questions ----------------------------------------------------------------------------

    def leader(self):
        leading = [n for n in self.nodes.values() if n.core and n.core.replica.leading]
        leading.sort(key=lambda node: node.core.replica.term)
        return leading[-1].name if leading else None

    def wait_for_leader(self):
        self.run_until(lambda: self.leader() is not None, "there is a leader")
        return self.leader()

    def ask(self, name, request):
        self.last_token += 1
        node = self.nodes[name]
        self.deliver(node, node.life, OperatorRequest(self.last_token, request))
        return self.last_token

    def others(self, name):
        """Return the names of all replicas but this one."""
        return [other for other in self.nodes if other != name]

    def accept(self, request):
        """Write at whoever leads until the write is accepted, resending as an operator does."""
        for _ in range(30):
            answer = self.answer(self.ask(self.wait_for_leader(), request))
            if isinstance(answer, ApplyResponse):
                return answer
            self.run(0.5)
        raise AssertionError(f"never accepted, last answer {answer}")

    def answer(self, token):
        self.run_until(lambda: token in self.answers, f"request {token} is answered")
        return self.answers[token]

    def voters(self, name):
        status = self.nodes[name].core.replica.status()
        return {member.name: member.identity for member in status.members if member.voter}

    def version(self, name):
        return self.nodes[name].core.state.version

    def subscribe(self, name, connection=1001):
        node = self.nodes[name]
        peer = Peer(Role.RELAY, "relay", "zone", Purpose.SUBSCRIPTION)
        self.deliver(node, node.life, ConnectionOpened(connection, peer))

    def has_logged(self, code):
        return any(logged == code for _, logged, _ in self.logged)


__all__ = ["Group", "events", "service_batch"]
