"""The operators' service of a group of replicas: gRPC over loopback, cores in virtual time."""

from __future__ import annotations

import threading

from operator_server import OperatorServer
from replication_group import Group

PASSES_BEFORE_A_CALL = 0.5
"""Virtual seconds that pass before each call: nothing else moves the group's clock."""


class ReplicaServer(OperatorServer):
    """Passes operators' calls to one replica of a group."""

    def __init__(self, served, name):
        self._served = served
        self._name = name
        super().__init__()

    def _answer(self, request):
        with self._served.lock:
            group = self._served.group
            group.run(PASSES_BEFORE_A_CALL)
            answer = group.answer(group.ask(self._name, request))
            return self._served.on_the_way(answer)


class ServedGroup:
    """A group with a listener a replica; ``on_the_way`` may change an answer."""

    def __init__(self, size):
        self.group = Group(size)
        self.lock = threading.Lock()
        self.servers = {}
        self.on_the_way = lambda answer: answer
        for name in self.group.nodes:
            self.serve(name)
        for name in self.group.nodes:
            self.group.start(name)
        self.group.wait_for_leader()

    @property
    def addresses(self):
        return ",".join(str(server.address) for server in self.servers.values())

    def serve(self, name):
        self.servers[name] = ReplicaServer(self, name)
        self.group.operator_addresses[name] = str(self.servers[name].address)

    def lose_machine(self, name):
        self.servers.pop(name).stop()
        with self.lock:
            self.group.crash(name)

    def stop(self):
        for server in self.servers.values():
            server.stop()
