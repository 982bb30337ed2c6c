"""A group of replicas of the source: cuts, crashes, lost disks, and the checks of every step."""

from __future__ import annotations

from random import Random

from replication_network import VirtualNetwork
from replication_node import Node, RecordingCore, service_batch

from limelever.common.errors import Failure
from limelever.common.sansio import (
    Address,
    ConnectionOpened,
    Peer,
    Purpose,
    Role,
    Started,
)
from limelever.protocol.operators_pb2 import ApplyResponse
from limelever.publisher.settings import PublisherSettings
from limelever.source import events
from limelever.source.at_rest import SecretSealer
from limelever.source.messages import OperatorRequest
from limelever.source.replication.settings import ReplicationSettings

SEALER = SecretSealer([bytes(32)])


class Group(VirtualNetwork):
    """Replicas of one log, their lives and disorder, and the checks of every step."""

    bootstrap = True
    """Whether replicas start with the settings of the group's first start."""

    # --- lives --------------------------------------------------------------------------------

    def settings(self, name):
        others = {other: Address(other, 1) for other in self.nodes if other != name}
        return ReplicationSettings(
            name,
            others,
            operator_address=self.operator_addresses.get(name, f"{name}:2"),
            bootstrap=self.bootstrap,
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
