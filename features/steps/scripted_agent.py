"""An agent without a core: relay steps send its registration messages one by one."""

import itertools

from distribution_harness import DeadCore

from limelever.common.sansio import OpenConnection, Purpose, Role, SendMessage
from limelever.protocol.endpoints_pb2 import (
    ENDPOINT_STATE_DRAINING,
    ENDPOINT_STATE_GONE,
    ENDPOINT_STATE_READY,
    Endpoint,
    LeaseRenew,
    Register,
)
from limelever.quarantine.crash_history import CrashHistory, SuspectRequest

STATES = {
    "ready": ENDPOINT_STATE_READY,
    "draining": ENDPOINT_STATE_DRAINING,
    "gone": ENDPOINT_STATE_GONE,
}
RENEWAL_INTERVAL = 2.0


class ScriptedAgent:
    """Registers at a relay and renews its lease on request."""

    def __init__(self, mesh, name, incarnation):
        self.mesh, self.name, self.incarnation = mesh, name, incarnation
        self.sequence = 0
        self.warm_up_left_ms = 0
        self.stated = {}
        self.connections = itertools.count(2, 2)
        self.connection = 0
        mesh.network.add(name, DeadCore(), Role.AGENT)

    def register(self, relay, zone, incarnation, region=""):
        network = self.mesh.network
        self.incarnation, self.connection = incarnation, next(self.connections)
        address = network.address(relay)
        dial = OpenConnection(self.connection, address, Purpose.REGISTRATION)
        network.carry_out(self.name, [dial])
        network.run(0.01)
        self.sequence += 1
        endpoint = Endpoint(
            service="orders",
            instance=self.name,
            zone=zone,
            incarnation=incarnation,
            sequence=self.sequence,
            host="127.0.0.1",
            port=1,
            slots=6,
            state=ENDPOINT_STATE_READY,
            region=region,
            warm_up_left_ms=self.warm_up_left_ms,
            **self.stated,
        )
        self._send(Register(endpoint=endpoint))

    def renew(self, state, in_flight=0):
        self.sequence += 1
        renewal = LeaseRenew(
            incarnation=self.incarnation,
            sequence=self.sequence,
            state=STATES[state],
            in_flight=in_flight,
        )
        self._send(renewal)

    def report_crash(self, request, crash):
        history = CrashHistory()
        history.add_crash((SuspectRequest(request, crash - 1),), crash, 0.0)
        self._send(history.update_for((request.request,), 0.0))

    def _send(self, message):
        self.mesh.network.carry_out(self.name, [SendMessage(self.connection, message)])
