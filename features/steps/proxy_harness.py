"""Test harness for a proxy core in virtual time, with simulated relay, keepers and agents."""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field

from hypothesis import settings as hypothesis_settings
from msgspec.structs import replace

from limelever.common.byte_budget import ByteBudget
from limelever.common.errors import ErrorKind, Failure
from limelever.common.regions import NO_REGIONS, Regions
from limelever.common.sansio import (
    Address,
    CloseConnection,
    ConnectionClosed,
    ConnectionOpened,
    DeadlineReached,
    Event,
    LogEvent,
    MessageReceived,
    OpenConnection,
    Output,
    Peer,
    Purpose,
    Recovered,
    ReplaceFile,
    Role,
    SendMessage,
    Started,
    WriteCompleted,
)
from limelever.keeper.settings import KeeperClientSettings
from limelever.protocol.calls_pb2 import (
    AgentLoad,
    CallBody,
    CallCancel,
    CallCredit,
    CallFailed,
    CallStart,
    LinkProbe,
    LinkProbeAnswer,
    ResponseStart,
)
from limelever.protocol.config_pb2 import (
    CALL_KIND_AT_MOST_ONCE,
    CALL_KIND_REPEATABLE,
    Resource,
    Route,
    Secret,
    Service,
    VersionedResource,
)
from limelever.protocol.digest import SetDigest
from limelever.protocol.distribution_pb2 import (
    ConfigSnapshot,
    FreshnessAnswer,
    FreshnessProbe,
    Subscribe,
)
from limelever.protocol.endpoints_pb2 import (
    ENDPOINT_STATE_READY,
    CrashNews,
    Endpoint,
    EndpointUpdate,
    LoadUpdate,
)
from limelever.protocol.feature_level import CURRENT_LEVEL, UNSTATED_LEVEL
from limelever.protocol.keeper_pb2 import (
    CLAIM_STATE_COMPLETED,
    CLAIM_STATE_GRANTED,
    CLAIM_STATE_HELD,
    Claim,
    ClaimAnswer,
    Complete,
    KeeperDone,
    RecordedAnswer,
    Release,
)
from limelever.proxy.attempts import AttemptSettings
from limelever.proxy.balancer import BalancerSettings
from limelever.proxy.call_types import (
    AnswerCall,
    CallAnswer,
    CallArrived,
    CallRequest,
    StopFinished,
    SuspectLinksChanged,
)
from limelever.proxy.calls import CallSettings
from limelever.proxy.core import ProxyCore, ProxyCoreSettings
from limelever.proxy.link_silence import DEFAULT_SILENCE_SECONDS
from limelever.subscriber.settings import SubscriberSettings

SERVICE = "orders"
VERSION = 7
RELAY = Address("127.0.0.1", 1)
KEEPER = Address("127.0.0.1", 2)
FIRST_AGENT_PORT = 100
derandomized = hypothesis_settings(derandomize=True, deadline=None, max_examples=60, database=None)


def versioned(*resources: Resource) -> list[VersionedResource]:
    return [VersionedResource(resource=resource, version=1) for resource in resources]


def mesh_resources() -> list[VersionedResource]:
    def route(name: str, prefix: str, kind: int, secrets: tuple[str, ...] = ()) -> Resource:
        return Resource(
            route=Route(
                name=name,
                service=SERVICE,
                path_prefix=prefix,
                call_kind=kind,  # type: ignore[arg-type]
                timeout_ms=2000,
                secrets=secrets,
                retry_budget_percent=10,
            )
        )

    return versioned(
        Resource(service=Service(name=SERVICE)),
        Resource(secret=Secret(name="key", header="X-Order-Key", value=b"order-secret")),
        route("lookup", "/orders", CALL_KIND_REPEATABLE, ("key",)),
        route("basket", "/baskets", CALL_KIND_REPEATABLE),
        route("place", "/place", CALL_KIND_AT_MOST_ONCE),
    )


@dataclass
class FakeKeepers:
    """A single in-memory keeper that stands in for a majority; can be shared by proxies."""

    claims: dict[bytes, Claim] = field(default_factory=dict)
    answers: dict[bytes, RecordedAnswer] = field(default_factory=dict)

    def reply(self, message: Claim | Release | Complete) -> ClaimAnswer | KeeperDone:
        if isinstance(message, Claim):
            return self._claim(message)
        held = self.claims.get(message.key)
        if held is not None and held.token == message.token:
            if isinstance(message, Release):
                del self.claims[message.key]
            else:
                self.answers[message.key] = message.answer
        return KeeperDone(request=message.request, ok=True, keeper="k")

    def _claim(self, claim: Claim) -> ClaimAnswer:
        held = self.claims.setdefault(claim.key, claim)
        state = CLAIM_STATE_GRANTED if held.token == claim.token else CLAIM_STATE_HELD
        answer = self.answers.get(claim.key)
        if answer is not None:
            state = CLAIM_STATE_COMPLETED
        return ClaimAnswer(
            request=claim.request,
            state=state,
            answer=answer,
            fingerprint=held.fingerprint,
            keeper="k",
        )


class ProxyHarness:
    """Runs a proxy core in virtual time; relay and keepers reply at once, agents on request."""

    def __init__(
        self,
        endpoints: int = 1,
        keepers: FakeKeepers | None = None,
        seed: int = 1,
        zone: str = "here",
        regions: Regions = NO_REGIONS,
        calls: CallSettings | None = None,
        agent_level: int = UNSTATED_LEVEL,
        link_silence: float = DEFAULT_SILENCE_SECONDS,
        attempts: AttemptSettings | None = None,
        budget: ByteBudget | None = None,
    ) -> None:
        self.now = 100.0
        self.endpoints = endpoints
        self.accepts_links = True
        self.relay_answers = True
        self.keepers_confirm = True
        self.unresponsive_ports: set[int] = set()
        self.agent_level = agent_level
        self.silent_ports: set[int] = set()
        self.probes: list[tuple[float, int]] = []
        self.reports: list[LoadUpdate] = []
        self.suspect_counts: list[int] = []
        self.hanging_dials: list[OpenConnection] = []
        self.keepers = keepers or FakeKeepers()
        self.answers: dict[int, list[CallAnswer | Failure]] = {}
        self.sent_calls: list[tuple[int, CallStart]] = []
        self.open_attempts: list[tuple[int, CallStart]] = []
        self.links: dict[int, OpenConnection] = {}
        self.cancels = 0
        self.cancels_unless_begun = 0
        self.granted_credit_bytes = 0
        self.crash_news: list[CrashNews] = []
        self.resources = mesh_resources()
        self.uploaded = bytearray()
        self.stopped = False
        self.logged: list[LogEvent] = []
        self.ended: list[AnswerCall] = []
        self.last_call = 0
        self._events: deque[Event] = deque()
        settings = ProxyCoreSettings(
            subscriber=SubscriberSettings(publishers=(RELAY,), services=(SERVICE,)),
            keepers=KeeperClientSettings(keepers=(KEEPER,)),
            balancer=BalancerSettings(zone=zone, region=regions.own),
            calls=calls or CallSettings(),
            attempts=attempts or AttemptSettings(),
            regions=regions,
            link_silence=link_silence,
        )
        self.core = ProxyCore(settings, random.Random(seed), Recovered(), budget=budget)

    def start(self) -> ProxyHarness:
        self.post(Started())
        return self

    def post(self, event: Event) -> None:
        self._events.append(event)
        while self._events:
            for output in self.core.handle(self._events.popleft(), self.now):
                self._perform(output)

    def ask(self, target: str, method: str = "GET", **fields: object) -> int:
        self.last_call += 1
        self.answers[self.last_call] = []
        request = replace(CallRequest(method.encode(), target.encode(), (), b""), **fields)
        self.post(CallArrived(self.last_call, request))
        return self.last_call

    def place_order(self, key: str) -> int:
        return self.ask("/place/1", "POST", idempotency_key=key.encode())

    def answer(self, connection: int, start: CallStart, body: bytes | None = None) -> None:
        content = start.target if body is None else body
        self.reply(
            connection,
            ResponseStart(
                stream=start.stream,
                attempt_id=start.attempt_id,
                status=200,
                body=content,
                end=True,
                load=AgentLoad(in_flight=0),
            ),
        )

    def refuse(self, connection: int, start: CallStart, kind: ErrorKind) -> None:
        self.reply(
            connection,
            CallFailed(stream=start.stream, attempt_id=start.attempt_id, kind=kind.value),
        )

    def reply(self, connection: int, message: ResponseStart | CallFailed) -> None:
        self.open_attempts = [
            (c, s) for c, s in self.open_attempts if (c, s.stream) != (connection, message.stream)
        ]
        self.post(MessageReceived(connection, message))

    def close_link(self, connection: int, unsent: tuple[CallStart, ...] = ()) -> None:
        self.open_attempts = [(at, start) for at, start in self.open_attempts if at != connection]
        self.links.pop(connection, None)
        self.post(ConnectionClosed(connection, "lost", unsent))

    def advance(self, seconds: float) -> None:
        end = self.now + seconds
        while (deadline := self.core.next_deadline()) is not None and deadline <= end:
            self.now = max(self.now, deadline)
            self.post(DeadlineReached())
        self.now = end

    def final_answer(self, call: int) -> CallAnswer | Failure:
        assert len(self.answers[call]) == 1, self.answers[call]
        return self.answers[call][0]

    def refusal(self, call: int) -> Failure:
        final = self.final_answer(call)
        assert isinstance(final, Failure), final
        return final

    def _perform(self, output: Output) -> None:
        match output:
            case OpenConnection():
                self._dial(output)
            case SendMessage(connection, message):
                self._deliver(connection, message)
            case ReplaceFile(token=token):
                self._events.append(WriteCompleted(token))
            case CloseConnection(connection):
                self.links.pop(connection, None)
                self._events.append(ConnectionClosed(connection, "closed"))
            case AnswerCall(call, answer):
                self.answers[call].append(answer)
                self.ended.append(output)
            case LogEvent():
                self.logged.append(output)
            case SuspectLinksChanged(count):
                self.suspect_counts.append(count)
            case StopFinished():
                self.stopped = True

    def _dial(self, output: OpenConnection) -> None:
        if output.purpose is Purpose.CALLS and not self._answers_dial(output.address):
            self.hanging_dials.append(output)
            return
        self.accept(output)

    def _answers_dial(self, address: Address) -> bool:
        return self.accepts_links and address.port not in self.unresponsive_ports

    def accept(self, output: OpenConnection) -> None:
        self.links[output.connection] = output
        level = self.agent_level if output.purpose is Purpose.CALLS else CURRENT_LEVEL
        peer = Peer(Role.AGENT, "peer", "here", output.purpose, incarnation=1, feature_level=level)
        self._events.append(ConnectionOpened(output.connection, peer))

    def _is_ignored(self, message: object) -> bool:
        if isinstance(message, Complete):
            return not self.keepers_confirm
        return isinstance(message, Subscribe | FreshnessProbe) and not self.relay_answers

    def _deliver(self, connection: int, message: object) -> None:
        def answer(reply: object) -> None:
            self._events.append(MessageReceived(connection, reply))  # type: ignore[arg-type]

        if self._is_ignored(message):
            return
        match message:
            case Subscribe():
                resources = self.resources
                digest = SetDigest.of(resources).to_bytes()
                answer(ConfigSnapshot(version=VERSION, resources=resources, digest=digest))
                answer(EndpointUpdate(full=True, endpoints=self.listed_endpoints()))
            case FreshnessProbe(nonce=nonce):
                answer(FreshnessAnswer(nonce=nonce, version=VERSION))
            case Claim() | Release() | Complete():
                answer(self.keepers.reply(message))
            case CallStart():
                self.sent_calls.append((connection, message))
                self.open_attempts.append((connection, message))
                self.uploaded += message.body
            case CallBody(data=data):
                self.uploaded += data
            case CallCancel(unless_begun=unless_begun):
                self.cancels += not unless_begun
                self.cancels_unless_begun += unless_begun
            case CallCredit(bytes=size):
                self.granted_credit_bytes += size
            case _:
                self._deliver_other(connection, message)

    def _receive_probe(self, connection: int, probe: LinkProbe) -> None:
        port = self.links[connection].address.port
        self.probes.append((self.now, port))
        if port not in self.silent_ports:
            answer = LinkProbeAnswer(number=probe.number)
            self._events.append(MessageReceived(connection, answer))

    def listed_endpoints(self) -> list[Endpoint]:
        return agent_endpoints(self.endpoints)

    def _deliver_other(self, connection: int, message: object) -> None:
        if isinstance(message, CrashNews):
            self.crash_news.append(message)
        elif isinstance(message, LoadUpdate):
            self.reports.append(message)
        elif isinstance(message, LinkProbe):
            self._receive_probe(connection, message)


def agent_endpoints(
    count: int, zone: str = "here", slots: int = 6, first: int = 0
) -> list[Endpoint]:
    return [
        Endpoint(
            service=SERVICE,
            instance=f"instance-{number}",
            zone=zone,
            incarnation=1,
            sequence=1,
            host="127.0.0.1",
            port=FIRST_AGENT_PORT + number,
            slots=slots,
            state=ENDPOINT_STATE_READY,
        )
        for number in range(first, first + count)
    ]
