"""Simulates a mesh of proxy and agent cores in virtual time, with zones and simulated back ends."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from functools import partial

from limelever.agent.call_service import CallLimits
from limelever.agent.core import AgentCore, AgentOptions
from limelever.agent.fair_queue import QueueLimits
from limelever.agent.interface import AttemptAnswered, AttemptFailed, CancelAttempt, StartAttempt
from limelever.agent.registration import RegistrationSettings
from limelever.common.errors import ErrorKind, Failure
from limelever.common.sansio import (
    Address,
    CloseConnection,
    ConnectionClosed,
    ConnectionFailed,
    ConnectionOpened,
    Core,
    DeadlineReached,
    Event,
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
from limelever.protocol.calls_pb2 import CallStart
from limelever.protocol.config_pb2 import (
    CALL_KIND_REPEATABLE,
    Resource,
    Route,
    Service,
    Share,
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
    ENDPOINT_STATE_GONE,
    ENDPOINT_STATE_READY,
    Endpoint,
    EndpointUpdate,
)
from limelever.proxy.balancer import BalancerSettings
from limelever.proxy.call_types import AnswerCall, CallAnswer, CallArrived, CallRequest
from limelever.proxy.core import ProxyCore, ProxyCoreSettings
from limelever.subscriber.settings import SubscriberSettings

SERVICE = "orders"
VERSION = 7
RELAY = Address("10.0.0.1", 1)
ONE_WAY_SECONDS = 0.001
ZONE_LOSS_DELAY_SECONDS = 6.0
"""Time until proxies learn from the relays that a zone failed: its leases must expire."""

AGENTS_PER_ZONE = 2
PROXIES_PER_ZONE = 2
SLOTS = 4
SERVICE_SECONDS = 0.1
TIMEOUT_MS = 2000
ZONE_CAPACITY = AGENTS_PER_ZONE * SLOTS / SERVICE_SECONDS


@dataclass
class CallResult:
    """The result of one call; times in seconds."""

    group: str
    arrived: float
    ended: float = 0.0
    answer: CallAnswer | Failure | None = None


@dataclass
class Node:
    """A core with its links: the peer and its connection number, by the own connection number."""

    name: str
    zone: str
    core: Core
    links: dict[int, tuple[Node, int]] = field(default_factory=dict)
    alive: bool = True
    last_accepted: int = -1
    timer: float | None = None


class MeshBench:
    """Proxies and agents in several zones; simulates the relay, the network and the back ends."""

    def __init__(self, weights: Mapping[str, int], zones: Iterable[str] = ("a", "b")) -> None:
        self.now = 0.0
        self.results: list[CallResult] = []
        self.service_times: dict[str, float] = {}
        self.failing: set[str] = set()
        self.attempt_log: list[tuple[float, str]] = []
        self._weights = weights
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._cancelled: set[tuple[str, int]] = set()
        self._agents: dict[Address, Node] = {}
        self.proxies: list[Node] = []
        for zone in zones:
            for number in range(AGENTS_PER_ZONE):
                self.add_agent(f"agent-{zone}-{number}", zone)
        for zone in zones:
            for number in range(PROXIES_PER_ZONE):
                self._add_proxy(f"proxy-{zone}-{number}", zone)
        self.run(1.0)

    @property
    def attempt_count(self) -> int:
        """The number of attempts sent to agents."""
        return len(self.attempt_log)

    @property
    def attempts_by_agent(self) -> Counter[str]:
        """The number of attempts sent to each agent."""
        return Counter(name for _, name in self.attempt_log)

    # --- interface for tests --------------------------------------------------------------------

    def run(self, seconds: float) -> None:
        """Advance virtual time."""
        end = self.now + seconds
        while self._heap and self._heap[0][0] <= end:
            self.now, _, action = heapq.heappop(self._heap)
            action()
        self.now = end

    def offer_load(self, rates: Mapping[str, float], seconds: float, zones: Iterable[str]) -> None:
        """Schedule Poisson arrivals of calls by group, round-robin over the zones' proxies."""
        proxies = itertools.cycle([p for p in self.proxies if p.zone in set(zones)])
        for group, rate in rates.items():
            source = random.Random(group)
            at = self.now + source.expovariate(rate)
            while at < self.now + seconds:
                self._at(at, partial(self._arrive, group, next(proxies)))
                at += source.expovariate(rate)

    def fail_zone(self, zone: str) -> None:
        """Fail all processes of a zone; proxies learn of it after ``ZONE_LOSS_DELAY_SECONDS``."""
        lost = [node for node in (*self._agents.values(), *self.proxies) if node.zone == zone]
        for node in lost:
            node.alive = False
            for connection in tuple(node.links):
                self._close_link(node, connection)
        self._at(self.now + ZONE_LOSS_DELAY_SECONDS, lambda: self._publish_endpoints(lost))

    def add_agent(self, name: str, zone: str) -> None:
        """Start an agent and announce it to the running proxies."""
        address = Address("10.0.1.1", 100 + len(self._agents))
        options = AgentOptions(
            RegistrationSettings((RELAY,), SERVICE, name, zone, address, SLOTS),
            SubscriberSettings((RELAY,), (SERVICE,)),
            CallLimits(QueueLimits(slots=SLOTS)),
        )
        node = Node(name, zone, AgentCore(options, 1, random.Random(name)))
        self._agents[address] = node
        self._post(node, Started())
        self._publish_endpoints([node])

    def ended(self, since: float, until: float) -> list[CallResult]:
        """Return the ended calls that arrived within a period."""
        return [r for r in self.results if since <= r.arrived < until and r.answer is not None]

    # --- nodes --------------------------------------------------------------------------------

    def _add_proxy(self, name: str, zone: str) -> None:
        settings = ProxyCoreSettings(
            subscriber=SubscriberSettings(publishers=(RELAY,), services=(SERVICE,)),
            keepers=KeeperClientSettings(keepers=()),
            balancer=BalancerSettings(zone=zone),
        )
        node = Node(name, zone, ProxyCore(settings, random.Random(name), Recovered()))
        self.proxies.append(node)
        self._post(node, Started())

    def _at(self, time: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._heap, (time, next(self._order), action))

    def _post_later(self, node: Node, event: Event, delay: float = 0.0) -> None:
        self._at(self.now + delay, lambda: self._post(node, event))

    def _post(self, node: Node, event: Event) -> None:
        if not node.alive:
            return
        for output in node.core.handle(event, self.now):
            self._perform(node, output)
        due = node.core.next_deadline()
        if due is not None and due != node.timer:
            node.timer = due
            self._at(max(due, self.now), lambda: self._tick(node, due))

    def _tick(self, node: Node, due: float) -> None:
        if node.timer == due:
            node.timer = None
            self._post(node, DeadlineReached())

    def _perform(self, node: Node, output: Output) -> None:
        match output:
            case OpenConnection():
                self._dial(node, output)
            case SendMessage(connection, message):
                self._send(node, connection, message)
            case CloseConnection(connection):
                self._close_link(node, connection)
            case ReplaceFile(token=token):
                self._post_later(node, WriteCompleted(token))
            case StartAttempt(attempt=attempt):
                self._begin(node, attempt)
            case CancelAttempt(attempt):
                self._cancel(node, attempt)
            case AnswerCall(call, answer):
                self.results[call].answer = answer
                self.results[call].ended = self.now

    # --- links --------------------------------------------------------------------------------

    def _dial(self, node: Node, output: OpenConnection) -> None:
        if output.purpose is not Purpose.CALLS:
            peer = Peer(Role.RELAY, "relay", node.zone, output.purpose)
            self._post_later(node, ConnectionOpened(output.connection, peer), ONE_WAY_SECONDS)
            return
        agent = self._agents[output.address]
        if not agent.alive:
            failure = Failure(ErrorKind.CONNECTION_FAILED, "refused")
            self._post_later(node, ConnectionFailed(output.connection, failure), ONE_WAY_SECONDS)
            return
        agent.last_accepted += 2
        accepted = agent.last_accepted
        node.links[output.connection] = (agent, accepted)
        agent.links[accepted] = (node, output.connection)
        caller = Peer(Role.PROXY, node.name, node.zone, Purpose.CALLS)
        called = Peer(Role.AGENT, agent.name, agent.zone, Purpose.CALLS, incarnation=1)
        self._post_later(agent, ConnectionOpened(accepted, caller), ONE_WAY_SECONDS)
        self._post_later(node, ConnectionOpened(output.connection, called), 2 * ONE_WAY_SECONDS)

    def _send(self, node: Node, connection: int, message: object) -> None:
        link = node.links.get(connection)
        if link is None:
            self._reply_as_relay(node, connection, message)
            return
        peer, remote = link
        if isinstance(message, CallStart):
            self.attempt_log.append((self.now, peer.name))
        self._post_later(peer, MessageReceived(remote, message), ONE_WAY_SECONDS)  # type: ignore[arg-type]

    def _close_link(self, node: Node, connection: int) -> None:
        link = node.links.pop(connection, None)
        if link is not None:
            peer, remote = link
            peer.links.pop(remote, None)
            self._post_later(peer, ConnectionClosed(remote, "reset"), ONE_WAY_SECONDS)
        self._post_later(node, ConnectionClosed(connection, "closed"))

    # --- relay --------------------------------------------------------------------------------

    def _reply_as_relay(self, node: Node, connection: int, message: object) -> None:
        def answer(reply: object) -> None:
            self._post_later(node, MessageReceived(connection, reply), ONE_WAY_SECONDS)  # type: ignore[arg-type]

        match message:
            case Subscribe():
                resources = self._resources()
                digest = SetDigest.of(resources).to_bytes()
                answer(ConfigSnapshot(version=VERSION, resources=resources, digest=digest))
                answer(EndpointUpdate(full=True, endpoints=self._endpoints(self._agents.values())))
                node.links.pop(connection, None)
            case FreshnessProbe(nonce=nonce):
                answer(FreshnessAnswer(nonce=nonce, version=VERSION))

    def _resources(self) -> list[VersionedResource]:
        route = Route(
            name="lookup",
            service=SERVICE,
            path_prefix="/",
            call_kind=CALL_KIND_REPEATABLE,
            timeout_ms=TIMEOUT_MS,
            retry_budget_percent=10,
        )
        shares = [Share(service=SERVICE, group=g, weight=w) for g, w in self._weights.items()]
        plain = [Resource(service=Service(name=SERVICE)), Resource(route=route)]
        plain += [Resource(share=share) for share in shares]
        return [VersionedResource(resource=resource, version=1) for resource in plain]

    def _endpoints(self, nodes: Iterable[Node]) -> list[Endpoint]:
        addresses = {node.name: address for address, node in self._agents.items()}
        return [
            Endpoint(
                service=SERVICE,
                instance=node.name,
                zone=node.zone,
                incarnation=1,
                sequence=1 if node.alive else 2,
                host=addresses[node.name].host,
                port=addresses[node.name].port,
                slots=SLOTS,
                state=ENDPOINT_STATE_READY if node.alive else ENDPOINT_STATE_GONE,
            )
            for node in nodes
            if node.name in addresses
        ]

    def _publish_endpoints(self, nodes: list[Node]) -> None:
        update = EndpointUpdate(endpoints=self._endpoints(nodes))
        for proxy in self.proxies:
            relay_connection = 2
            self._post_later(proxy, MessageReceived(relay_connection, update), ONE_WAY_SECONDS)

    # --- callers and back ends ----------------------------------------------------------------

    def _arrive(self, group: str, proxy: Node) -> None:
        self.results.append(CallResult(group, self.now))
        request = CallRequest(b"GET", b"/orders/1", (), b"", group=group)
        self._post(proxy, CallArrived(len(self.results) - 1, request))

    def _begin(self, node: Node, attempt: int) -> None:
        if node.name in self.failing:
            self._post_later(node, AttemptAnswered(attempt, 500, (), b"broken"), ONE_WAY_SECONDS)
            return
        seconds = self.service_times.get(node.name, SERVICE_SECONDS)
        self._at(self.now + seconds, lambda: self._finish(node, attempt))

    def _finish(self, node: Node, attempt: int) -> None:
        if (node.name, attempt) not in self._cancelled:
            self._post(node, AttemptAnswered(attempt, 200, (), b"ok"))

    def _cancel(self, node: Node, attempt: int) -> None:
        self._cancelled.add((node.name, attempt))
        failure = Failure(ErrorKind.CANCELLED, "cancelled")
        self._post_later(node, AttemptFailed(attempt, failure, sent_any_byte=True))
