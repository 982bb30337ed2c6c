"""Steps for the simulator: its host on a small core, its checkers, the fixed seeds."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from behave import given, then, when
from behave.runner import Context

from limelever.common.errors import Outcome
from limelever.common.sansio import (
    Address,
    AppendLog,
    ConnectionClosed,
    ConnectionFailed,
    ConnectionOpened,
    Event,
    MessageReceived,
    OpenConnection,
    Output,
    Purpose,
    Recovered,
    Role,
    SendMessage,
    WriteCompleted,
)
from limelever.protocol.config_pb2 import Batch, Resource, Route, Secret, Service, VersionedResource
from limelever.protocol.distribution_pb2 import FreshnessProbe
from limelever.protocol.operators_pb2 import GetResponse
from limelever_lab.simulator.call_checker import LEAVING_LIMIT, Call, CallChecker
from limelever_lab.simulator.checkers import Findings
from limelever_lab.simulator.configuration_checker import ConfigurationChecker, Holder
from limelever_lab.simulator.environment import Environment
from limelever_lab.simulator.network import Delays, Network
from limelever_lab.simulator.node import Node, NodeName

SERVER_ADDRESS = Address("10.0.0.1", 1)
SEND_INTERVAL = 0.01


@dataclass
class Arrival:
    at: float
    life: int
    connection: int
    nonce: int


@dataclass
class Witness:
    """What both cores saw, through all lives."""

    sent: list[int] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    synced: list[bytes] = field(default_factory=list)
    recovered: list[Recovered] = field(default_factory=list)
    dials_failed: int = 0


class CountingClient:
    """Sends ascending numbers on a link that it dials again when it fails."""

    def __init__(self, witness: Witness) -> None:
        self._witness = witness
        self._connection = 0
        self._open = False
        self._due: float | None = None

    def handle(self, event: Event, now: float) -> Sequence[Output]:
        match event:
            case ConnectionOpened():
                self._open = True
            case ConnectionFailed() | ConnectionClosed():
                self._open = False
                self._connection = 0
                self._witness.dials_failed += isinstance(event, ConnectionFailed)
        self._due = now + SEND_INTERVAL
        if self._open:
            nonce = len(self._witness.sent) + 1
            self._witness.sent.append(nonce)
            return [SendMessage(self._connection, FreshnessProbe(nonce=nonce))]
        if self._connection == 0:
            self._connection = len(self._witness.sent) * 2 + 2
            return [OpenConnection(self._connection, SERVER_ADDRESS, Purpose.SUBSCRIPTION)]
        return []

    def next_deadline(self) -> float | None:
        return self._due


class CountingServer:
    """Writes each number that arrives to its log."""

    def __init__(self, witness: Witness, recovered: Recovered, life: int) -> None:
        witness.recovered.append(recovered)
        self._witness = witness
        self._life = life
        self._writes: dict[int, bytes] = {}

    def handle(self, event: Event, now: float) -> Sequence[Output]:
        if isinstance(event, WriteCompleted):
            self._witness.synced.append(self._writes[event.token])
        if not isinstance(event, MessageReceived):
            return []
        assert isinstance(event.message, FreshnessProbe)
        nonce = event.message.nonce
        self._witness.arrivals.append(Arrival(now, self._life, event.connection, nonce))
        token = len(self._writes) + 1
        self._writes[token] = b"%d" % nonce
        return [AppendLog(token, (self._writes[token],))]

    def next_deadline(self) -> float | None:
        return None


@dataclass
class Pair:
    environment: Environment
    network: Network
    witness: Witness
    client: Node
    server: Node


def make_pair(seed: int) -> Pair:
    environment = Environment(seed)
    network = Network(environment, Delays())
    witness = Witness()
    client = Node(
        environment,
        network,
        NodeName("client", "client", Role.PROXY, "lodz-a"),
        lambda _recovered, _life: CountingClient(witness),
    )
    accepts = frozenset({Purpose.SUBSCRIPTION})
    server = Node(
        environment,
        network,
        NodeName("server", "server", Role.RELAY, "lodz-b", accepts),
        lambda recovered, life: CountingServer(witness, recovered, life),
    )
    network.listen(SERVER_ADDRESS, server)
    environment.after(0.0, server.start)
    environment.after(0.0, client.start)
    return Pair(environment, network, witness, client, server)


def digest_of_run(seed: int, duration: float) -> str:
    pair = make_pair(seed)
    pair.environment.run_until(duration)
    return pair.environment.trace.hexdigest()


@when("two counting cores run for {duration:g} seconds under seed {seed:d} twice")
def run_pair_twice(context: Context, duration: float, seed: int) -> None:
    context.duration = duration
    context.digests = [digest_of_run(seed, duration) for _ in range(2)]


@then("both traces have the same digest")
def same_digest(context: Context) -> None:
    assert context.digests[0] == context.digests[1], context.digests


@then("seed {seed:d} gives another digest")
def other_digest(context: Context, seed: int) -> None:
    assert digest_of_run(seed, context.duration) != context.digests[0]


@when("two counting cores run for {duration:g} seconds under seed {seed:d}")
def run_pair_once(context: Context, duration: float, seed: int) -> None:
    context.pair = make_pair(seed)
    context.pair.environment.run_until(duration)


@given("two counting cores under seed {seed:d}")
def given_pair(context: Context, seed: int) -> None:
    context.pair = make_pair(seed)


@when('the link from "{origin}" to "{target}" is cut from second {begin:g} to second {end:g}')
def cut_pair(context: Context, origin: str, target: str, begin: float, end: float) -> None:
    network = context.pair.network
    context.pair.environment.at(begin, lambda: network.cut(origin, target))
    context.pair.environment.at(end, lambda: network.heal(origin, target))


@when("the server is killed every {interval:g} seconds until second {end:g}")
def kill_server(context: Context, interval: float, end: float) -> None:
    pair = context.pair

    def kill() -> None:
        pair.server.kill()
        pair.server.start()
        if pair.environment.now < end:
            pair.environment.after(interval, kill)

    pair.environment.after(interval, kill)


@when("the server is frozen from second {begin:g} to second {end:g}")
def freeze_server(context: Context, begin: float, end: float) -> None:
    context.pair.environment.at(begin, context.pair.server.freeze)
    context.pair.environment.at(end, context.pair.server.thaw)


@when("the server loses its disk at second {at:g}")
def lose_disk(context: Context, at: float) -> None:
    server = context.pair.server

    def lose() -> None:
        server.kill()
        server.disk.lose()
        server.start()

    context.pair.environment.at(at, lose)


@when("the cores run for {duration:g} seconds")
def run_pair(context: Context, duration: float) -> None:
    context.pair.environment.run_until(duration)


@then("every message arrived in the order sent")
def in_order(context: Context) -> None:
    nonces = [arrival.nonce for arrival in context.pair.witness.arrivals]
    assert nonces, "nothing arrived"
    assert nonces == sorted(set(nonces)), "messages were reordered or doubled"


@then("the server received nothing between second {begin:g} and second {end:g}")
def nothing_between(context: Context, begin: float, end: float) -> None:
    times = [arrival.at for arrival in context.pair.witness.arrivals]
    assert not [at for at in times if begin < at < end]
    assert max(times) > end


@then("the client lost no message")
def nothing_lost(context: Context) -> None:
    witness = context.pair.witness
    in_flight = 2
    assert len(witness.arrivals) >= len(witness.sent) - in_flight


@then("the client saw a dial fail")
def dial_failed(context: Context) -> None:
    assert context.pair.witness.dials_failed > 0


@then("every record that was reported as synced is on the disk")
def synced_is_kept(context: Context) -> None:
    pair = context.pair
    assert pair.witness.synced
    missing = set(pair.witness.synced) - set(pair.server.disk.recovered.records)
    assert not missing, sorted(missing)[:5]


@then("the records on the disk are in the order written")
def disk_in_order(context: Context) -> None:
    numbers = [int(record) for record in context.pair.server.disk.recovered.records]
    assert numbers == sorted(set(numbers))


@then("the server started its second life with an empty disk")
def empty_second_life(context: Context) -> None:
    first, second = context.pair.witness.recovered
    assert not first.records
    assert not second.records


# --- checkers --------------------------------------------------------------------------------

SCOPE = frozenset({"orders"})


def service(name: str) -> Resource:
    return Resource(service=Service(name=name))


def secret(name: str) -> Resource:
    return Resource(secret=Secret(name=name, header="x-token", value=b"hidden"))


def route(name: str, to: str, *secrets: str) -> Resource:
    return Resource(route=Route(name=name, service=to, secrets=list(secrets)))


def versioned(version: int, *resources: Resource) -> list[VersionedResource]:
    return [VersionedResource(version=version, resource=item) for item in resources]


@given("the history of a service, a secret and a route that needs both")
def given_history(context: Context) -> None:
    context.findings = Findings()
    checker = ConfigurationChecker(context.findings)
    first = [service("orders"), secret("orders-token"), secret("other-token")]
    second = [route("place", "orders", "orders-token"), route("look", "orders")]
    checker.accepted(1.0, Batch(request_id="one", put=first), 1)
    checker.accepted(2.0, Batch(request_id="two", put=second), 4)
    context.checker = checker
    context.holdings = {
        "first": versioned(1, service("orders")),
        "second": versioned(1, service("orders"), secret("orders-token")) + versioned(4, *second),
    }


@when("a proxy holds {what}")
def proxy_holds(context: Context, what: str) -> None:
    proxy = Holder("proxy", SCOPE)
    first, second = context.holdings["first"], context.holdings["second"]
    steps = {
        "nothing": [],
        "the latest version": [(1, first), (4, second)],
        "an older version after a newer one": [(4, second), (1, first), (4, second)],
        "a route without its service": [(4, second[1:])],
        "a secret that no route of it needs": [(4, second + versioned(1, secret("other-token")))],
        "half of a version": [(4, second[:-1])],
    }[what]
    for version, resources in steps:
        context.checker.observe(3.0, proxy, version, resources)
    context.checker.judge_observations()
    if what == "nothing":
        context.checker.judge_liveness(9.0, [proxy])


@when("a proxy at version {version:d} believes itself current at second {second:g}")
def proxy_believes(context: Context, version: int, second: float) -> None:
    context.checker.believes(Holder("proxy", SCOPE), second, version)
    context.checker.judge_beliefs()


@when("an operator reads version {version:d} after version {answered:d} was answered")
def operator_reads(context: Context, version: int, answered: int) -> None:
    context.checker.read(5.0, GetResponse(version=version), answered)


@when("an operator reads version {version:d} with values after version {answered:d} was answered")
def operator_reads_values(context: Context, version: int, answered: int) -> None:
    value = Resource(secret=Secret(name="orders-token", value=b"hidden-value"))
    answer = GetResponse(version=version, resources=versioned(1, value))
    context.checker.read(5.0, answer, answered)


@when("both versions reach a proxy {delay:g} seconds late with a limit of {limit:g} seconds")
def versions_reach_late(context: Context, delay: float, limit: float) -> None:
    proxy = Holder("proxy", SCOPE)
    context.checker.observe(1.0 + delay, proxy, 1, context.holdings["first"])
    context.checker.observe(2.0 + delay, proxy, 4, context.holdings["second"])
    context.checker.judge_staleness([proxy], limit)


@when("no version reaches a proxy within a limit of {limit:g} seconds")
def no_version_reaches(context: Context, limit: float) -> None:
    context.checker.judge_staleness([Holder("proxy", SCOPE)], limit)


@when("two batches with expected version 1 are accepted")
def two_winners(context: Context) -> None:
    for number in (5, 6):
        batch = Batch(request_id=f"racer-{number}", expected_version=1)
        context.checker.accepted(3.0, batch, number)


@when("a call {what}")
def call_goes(context: Context, what: str) -> None:
    context.findings = Findings()
    checker = CallChecker(context.findings)
    checker.sent(Call("send-1", "proxy", "key-1", b"own payload"))

    def run() -> None:
        checker.run_began(1.0, "back-end", "send-1", "key-1")

    def answer(body: bytes = b"own payload") -> None:
        checker.answered(2.0, "send-1", 200, body)

    def refuse() -> None:
        checker.failed(2.0, "send-1", Outcome.NOT_RUN, "overloaded")

    if what == "begins long after its back end left":
        checker.leaving_since["back-end"] = 1.0 - LEAVING_LIMIT - 1.0
    steps: dict[str, list[Callable[[], None]]] = {
        "runs once and is answered": [run, answer],
        "is answered with another call's payload": [run, lambda: answer(b"another")],
        "is answered twice": [run, answer, answer],
        "is never answered": [run],
        "runs twice under one key": [run, run, answer],
        "is answered without having run": [answer],
        "runs and is refused as not run": [run, refuse],
        "is refused as not run and runs afterwards": [refuse, run],
        "begins long after its back end left": [run, answer],
    }[what]
    for step in steps:
        step()
    checker.judge_answers(9.0)


@then('the findings are "{rules}"')
def findings_are(context: Context, rules: str) -> None:
    found = {finding.rule.value for finding in context.findings.found}
    assert found == set(rules.split(",")), [str(item) for item in context.findings.found]


@then('the findings are ""')
def no_findings(context: Context) -> None:
    assert not context.findings.found, [str(item) for item in context.findings.found]
