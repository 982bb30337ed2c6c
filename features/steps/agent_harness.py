"""Test harness of the agent core: virtual time, simulated back end, relay and proxy."""

from __future__ import annotations

import random

from hypothesis import settings

from limelever.agent.call_service import CallLimits
from limelever.agent.core import AgentCore, AgentOptions
from limelever.agent.fair_queue import QueueLimits
from limelever.agent.interface import (
    BackendProbed,
    StartAttempt,
)
from limelever.agent.registration import RegistrationSettings
from limelever.common.sansio import (
    Address,
    ConnectionOpened,
    DeadlineReached,
    Event,
    MessageReceived,
    OpenConnection,
    Output,
    Peer,
    Purpose,
    ReplaceFile,
    Role,
    SendMessage,
    Started,
    WriteCompleted,
)
from limelever.protocol.calls_pb2 import (
    CallStart,
)
from limelever.protocol.config_pb2 import (
    CALL_KIND_REPEATABLE,
    Resource,
    VersionedResource,
)
from limelever.protocol.digest import SetDigest
from limelever.protocol.distribution_pb2 import (
    ConfigSnapshot,
    FreshnessAnswer,
    FreshnessProbe,
)
from limelever.protocol.endpoints_pb2 import (
    LeaseGranted,
)
from limelever.subscriber.settings import SubscriberSettings

HYPOTHESIS_SETTINGS = settings(derandomize=True, max_examples=60, deadline=None, database=None)
FAR_FUTURE_SECONDS = 1e9
RELAYS = (Address("10.0.0.1", 1), Address("10.0.0.2", 1))
PROXY_CONNECTION = 1
SHED_GROUP = "g0"
PROXY = Peer(Role.PROXY, "proxy-1", "lodz-a", Purpose.CALLS)
RELAY = Peer(Role.RELAY, "relay-1", "lodz-a", Purpose.REGISTRATION)
REGISTRATION = RegistrationSettings(
    RELAYS, "orders", "orders-1", "lodz-a", Address("10.0.0.9", 5), 1
)


def call_start(stream: int, **fields: object) -> CallStart:
    start = CallStart(
        stream=stream,
        attempt_id=stream.to_bytes(16, "big"),
        agent_incarnation=7,
        service="orders",
        group="web",
        call_kind=CALL_KIND_REPEATABLE,
        deadline_left_ms=10_000,
        method=b"GET",
        target=str(stream).encode(),
        end=True,
    )
    for name, value in fields.items():
        setattr(start, name, value)
    return start


class AgentHarness:
    """Runs an agent core, feeds it events and records its outputs."""

    def __init__(
        self,
        slots: int,
        link_rate: int = 0,
        held: bool = False,
        *,
        counts_former_calls: bool = False,
    ) -> None:
        options = AgentOptions(
            REGISTRATION,
            SubscriberSettings(RELAYS, ("orders",)),
            CallLimits(
                QueueLimits(slots=slots),
                link_rate=link_rate,
                counts_former_calls=counts_former_calls,
                held=held,
            ),
        )
        self.core = AgentCore(options, 7, random.Random(1))
        self.now = 100.0
        self.outputs: list[Output] = []
        self.handle(Started())

    def handle(self, event: Event) -> None:
        self.outputs.extend(self.core.handle(event, self.now))

    def advance(self, seconds: float) -> None:
        until = self.now + seconds
        while (due := self.core.next_deadline()) is not None and due <= until:
            self.now = max(self.now, due)
            self.handle(DeadlineReached())
        self.now = until

    def add_proxy(self) -> None:
        self.handle(ConnectionOpened(PROXY_CONNECTION, PROXY))

    def send(self, message: object) -> None:
        self.handle(MessageReceived(PROXY_CONNECTION, message))  # type: ignore[arg-type]

    def register(self) -> None:
        self.handle(BackendProbed(True))
        self.relay_connection = next(
            output.connection
            for output in self.outputs
            if isinstance(output, OpenConnection) and output.purpose is Purpose.REGISTRATION
        )
        self.handle(ConnectionOpened(self.relay_connection, RELAY))
        grant = LeaseGranted(lease_ms=6000, incarnation=7)
        self.handle(MessageReceived(self.relay_connection, grant))

    def install(self, *resources: Resource) -> None:
        (dial,) = (o for o in self.outputs_of(OpenConnection) if o.purpose is Purpose.SUBSCRIPTION)
        versioned = [VersionedResource(resource=resource, version=3) for resource in resources]
        digest = SetDigest.of(versioned).to_bytes()
        snapshot = ConfigSnapshot(version=3, resources=versioned, digest=digest)
        self.handle(ConnectionOpened(dial.connection, RELAY))
        self.handle(MessageReceived(dial.connection, snapshot))
        while self.core.version == 0:
            for probe in self.sent(dial.connection, FreshnessProbe):
                answer = FreshnessAnswer(nonce=probe.nonce, version=3)
                self.handle(MessageReceived(dial.connection, answer))
            for write in self.outputs_of(ReplaceFile):
                self.handle(WriteCompleted(write.token))

    def outputs_of(self, kind: type[Output]) -> list[Output]:
        return [output for output in self.outputs if isinstance(output, kind)]

    def sent(self, connection: int, kind: type) -> list[object]:
        sent = (
            o for o in self.outputs if isinstance(o, SendMessage) and o.connection == connection
        )
        return [output.message for output in sent if isinstance(output.message, kind)]

    def attempt_of(self, stream: int) -> int:
        return self.outputs_of(StartAttempt)[stream - 1].attempt  # type: ignore[attr-defined]
