"""Steps that drive keepers and their clients in virtual time, without sockets."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from behave import given, then, when
from google.protobuf.message import Message
from hypothesis import given as for_all
from hypothesis import settings as property_settings
from hypothesis import strategies

from limelever.common.errors import Failure
from limelever.common.sansio import (
    Address,
    ConnectionClosed,
    ConnectionFailed,
    ConnectionOpened,
    DeadlineReached,
    DialledConnections,
    MessageReceived,
    OpenConnection,
    Output,
    Peer,
    Purpose,
    Role,
    SendMessage,
    Started,
    WriteCompleted,
)
from limelever.keeper.client import ClaimSettled, CompletionSettled, KeeperClientCore
from limelever.keeper.core import KeeperCore
from limelever.keeper.settings import KeeperClientSettings, KeeperSettings
from limelever.keeper.tally import AnswerRecorded, ClaimGranted
from limelever.protocol.keeper_pb2 import Claim, RecordedAnswer
from limelever.storage.memory import MemoryDisk

PEER = Peer(Role.PROXY, "peer", "zone", Purpose.KEEPER)
STEP = 0.05
LIMIT = 1024


@dataclass
class KeeperNode:
    """One keeper with its disk; ``core`` is ``None`` while it is down."""

    settings: KeeperSettings
    disk: MemoryDisk = field(default_factory=MemoryDisk)
    core: KeeperCore | None = None
    deaf: bool = False
    deaf_to_claims: bool = False
    held_back: list[tuple[object, int, Message]] = field(default_factory=list)


@dataclass(eq=False)
class Claimant:
    """A client of the keepers and what it was told."""

    core: KeeperClientCore
    key: bytes = b""
    outcome: object = None
    recorded: bool | None = None


class KeeperWorld:
    """Keepers and claimants; links deliver at once, in order, unless a keeper is deaf."""

    def __init__(self, count: int, room: int = 100) -> None:
        self.now = 0.0
        self.addresses = [Address("127.0.0.1", number + 1) for number in range(count)]
        self.keepers = [self._keeper(number, room) for number in range(count)]
        self.claimants: dict[str, Claimant] = {}
        self.links: dict[tuple[int, int], tuple[int, int]] = {}
        self.accepted = 1
        self.queue: list[tuple[str, object, object]] = []

    def _keeper(self, number: int, room: int) -> KeeperNode:
        others = tuple(a for a in self.addresses if a != self.addresses[number])
        return KeeperNode(
            KeeperSettings(
                name=f"k{number}", others=others, claims_limit=room, largest_answer=LIMIT
            )
        )

    def start(self, index: int) -> None:
        node = self.keepers[index]
        node.core = KeeperCore(node.settings, node.disk.recovered, wall_offset=1e9)
        self.feed(node, Started())

    def stop(self, index: int) -> None:
        node = self.keepers[index]
        node.core = None
        for (owner, connection), (other, there) in list(self.links.items()):
            if owner == id(node):
                del self.links[(owner, connection)]
                self.links.pop((other, there), None)
                self._feed_by_id(other, ConnectionClosed(there, "peer died"))

    def client(self, name: str, seed: int = 1) -> Claimant:
        settings = KeeperClientSettings(tuple(self.addresses))
        core = KeeperClientCore(settings, DialledConnections(), random.Random(seed))
        claimant = self.claimants[name] = Claimant(core)
        self.perform(claimant, core.start(self.now))
        return claimant

    def feed(self, owner: KeeperNode | Claimant, event: object) -> None:
        if owner.core is not None:
            self.perform(owner, owner.core.handle(event, self.now))

    def _owner(self, identity: int) -> KeeperNode | Claimant | None:
        everyone = [*self.keepers, *self.claimants.values()]
        return next((owner for owner in everyone if id(owner) == identity), None)

    def _feed_by_id(self, identity: int, event: object) -> None:
        owner = self._owner(identity)
        if owner is not None:
            self.feed(owner, event)

    def perform(self, owner: KeeperNode | Claimant, outputs: list[Output]) -> None:
        for output in outputs:
            match output:
                case OpenConnection(connection, address, _):
                    self._dial(owner, connection, address)
                case SendMessage(connection, message):
                    self._deliver(owner, connection, message)
                case ClaimSettled(_, outcome):
                    owner.outcome = outcome
                case CompletionSettled(_, ok):
                    owner.recorded = ok
                case _ if hasattr(output, "token"):
                    assert owner.disk.perform([output]) is None
                    self.feed(owner, WriteCompleted(output.token))

    def _dial(self, owner: KeeperNode | Claimant, connection: int, address: Address) -> None:
        node = self.keepers[self.addresses.index(address)]
        if node.core is None:
            failure = Failure("connection-failed", "down")
            self.feed(owner, ConnectionFailed(connection, failure))
            return
        self.accepted += 2
        self.links[(id(owner), connection)] = (id(node), self.accepted)
        self.links[(id(node), self.accepted)] = (id(owner), connection)
        self.feed(node, ConnectionOpened(self.accepted, PEER))
        self.feed(owner, ConnectionOpened(connection, PEER))

    def _deliver(self, owner: KeeperNode | Claimant, connection: int, message: Message) -> None:
        link = self.links.get((id(owner), connection))
        if link is None:
            return
        other = self._owner(link[0])
        if isinstance(other, KeeperNode) and (
            other.deaf or (other.deaf_to_claims and isinstance(message, Claim))
        ):
            other.held_back.append((other, link[1], message))
            return
        self._feed_by_id(link[0], MessageReceived(link[1], message))

    def hear(self, node: KeeperNode, claims_last: bool = False) -> None:
        node.deaf = node.deaf_to_claims = False
        held, node.held_back = node.held_back, []
        if claims_last:
            held.sort(key=lambda entry: isinstance(entry[2], Claim))
        for _, connection, message in held:
            self.feed(node, MessageReceived(connection, message))

    def run(self, duration: float) -> None:
        end = self.now + duration
        while self.now < end:
            self.now = min(end, self.now + STEP)
            for node in self.keepers:
                if node.core is not None and due(node.core.next_deadline(), self.now):
                    self.feed(node, DeadlineReached())
            for claimant in self.claimants.values():
                if due(claimant.core.next_deadline(), self.now):
                    self.perform(claimant, claimant.core.tick(self.now))

    def claim(self, name: str, key: str, call: str = "call") -> None:
        claimant = self.claimants.get(name) or self.client(name)
        claimant.key = key.encode()
        claimant.outcome = None
        outputs = claimant.core.claim(name.encode(), claimant.key, call.encode(), self.now)
        self.perform(claimant, outputs)


def due(deadline: float | None, now: float) -> bool:
    return deadline is not None and deadline <= now


def formed(count: int, room: int = 100) -> KeeperWorld:
    world = KeeperWorld(count, room)
    for index in range(count):
        world.start(index)
    world.run(5.0)
    assert all(node.core.voting for node in world.keepers)
    return world


@given("{count:d} keepers that have formed")
def step_formed(context, count):
    context.world = formed(count)


@given("{count:d} keepers with room for {room:d} claim")
def step_room(context, count, room):
    context.world = formed(count, room)


@given("{count:d} keepers of which keeper {missing:d} never started")
def step_missing(context, count, missing):
    context.world = KeeperWorld(count)
    for index in range(count):
        if index != missing - 1:
            context.world.start(index)


@given("keeper {number:d} gets nothing")
def step_deaf(context, number):
    context.world.keepers[number - 1].deaf = True


@given("keeper {number:d} gets no claims")
@when("keeper {number:d} gets no claims")
def step_deaf_to_claims(context, number):
    context.world.keepers[number - 1].deaf_to_claims = True


@when('claimant "{name}" claims key "{key}"')
def step_claim(context, name, key):
    context.world.claim(name, key)


@when('claimant "{name}" claims key "{key}" for another call')
def step_claim_other(context, name, key):
    context.world.claim(name, key, call="another")


@when('claimants "{first}" and "{second}" claim key "{key}" with one vote each')
def step_split(context, first, second, key):
    one, two = context.world.keepers[:2]
    context.world.client(first)
    context.world.client(second)
    two.deaf = True
    context.world.claim(first, key)
    one.deaf, two.deaf = True, False
    context.world.claim(second, key)
    context.world.hear(one)
    context.world.hear(two)


@when('claimant "{name}" records the answer "{body}"')
def step_record(context, name, body):
    record(context.world, name, RecordedAnswer(status=200, body=body.encode(), body_kept=True))


@when('claimant "{name}" records an answer over the limit')
def step_record_large(context, name):
    answer = RecordedAnswer(status=200, body=bytes(LIMIT + 1), body_kept=True)
    record(context.world, name, answer)


def record(world, name, answer):
    claimant = world.claimants[name]
    world.perform(claimant, claimant.core.complete(name.encode(), answer, world.now))
    assert claimant.recorded is True


@when('claimant "{name}" releases its claim')
def step_release(context, name):
    claimant = context.world.claimants[name]
    context.world.perform(claimant, claimant.core.release(name.encode(), context.world.now))


@when("keeper {number:d} gets what was held back, the claim last")
def step_hear_late(context, number):
    context.world.hear(context.world.keepers[number - 1], claims_last=True)


@when("keeper {number:d} gets everything again")
def step_hear(context, number):
    node = context.world.keepers[number - 1]
    node.held_back.clear()
    node.deaf = node.deaf_to_claims = False


@when("{duration:g} seconds pass")
def step_pass(context, duration):
    context.world.run(duration)


@when("every keeper crashes and starts again")
def step_crash(context):
    for index in range(len(context.world.keepers)):
        context.world.stop(index)
        context.world.start(index)
    context.world.run(3.0)


@when("keeper {number:d} loses its disk and starts again")
def step_lose(context, number):
    context.world.stop(number - 1)
    context.world.keepers[number - 1].disk = MemoryDisk()
    context.world.start(number - 1)
    context.world.run(0.5)


@when("keeper {number:d} is lost for good")
def step_lost(context, number):
    context.world.stop(number - 1)


@then('claimant "{name}" is granted')
def step_granted(context, name):
    assert isinstance(context.world.claimants[name].outcome, ClaimGranted)


@then('claimant "{name}" is granted by {count:d} keepers')
def step_granted_by(context, name, count):
    step_granted(context, name)
    claimant = context.world.claimants[name]
    probe = Claim(key=claimant.key, token=name.encode(), fingerprint=b"call")
    answers = [node.core._store.judge(probe) for node in context.world.keepers]
    assert sum(1 for answer in answers if answer is not None and answer.state == 1) == count


@then('claimant "{name}" gets the failure "{kind}"')
def step_failure(context, name, kind):
    outcome = context.world.claimants[name].outcome
    assert isinstance(outcome, Failure) and outcome.kind == kind, outcome


@then('claimant "{name}" gets the recorded answer "{body}"')
def step_answer(context, name, body):
    outcome = context.world.claimants[name].outcome
    assert isinstance(outcome, AnswerRecorded), outcome
    assert outcome.answer.body == body.encode()


@then("keeper {number:d} votes")
def step_votes(context, number):
    assert context.world.keepers[number - 1].core.voting


@then("no keeper votes")
def step_none_votes(context):
    running = [node for node in context.world.keepers if node.core is not None]
    assert not any(node.core.voting for node in running)


ACTIONS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["claim", "deaf", "hear", "crash", "lose", "wait", "release"]),
        strategies.integers(0, 2),
    ),
    max_size=25,
)


@then("over many drawn histories at most one claimant of a key is ever granted between releases")
def step_histories(context):
    @property_settings(max_examples=150, derandomize=True, deadline=None, database=None)
    @for_all(ACTIONS)
    def holds(actions):
        play_history(actions)

    holds()


def play_history(actions):
    world = formed(3)
    holders: set[str] = set()
    lost_at = -100.0
    for number, (action, index) in enumerate(actions):
        if action == "claim":
            world.claim(f"c{number}", "k")
        elif action == "deaf":
            world.keepers[index].deaf = True
        elif action == "hear":
            world.hear(world.keepers[index])
        elif action == "crash":
            world.stop(index)
            world.start(index)
        elif action == "lose" and world.now - lost_at > 30.0 and all_voting(world):
            lost_at = world.now
            world.stop(index)
            world.keepers[index].disk = MemoryDisk()
            world.start(index)
        elif action == "wait":
            world.run(6.0)
        elif action == "release" and holders:
            name = holders.pop()
            claimant = world.claimants[name]
            world.perform(claimant, claimant.core.release(name.encode(), world.now))
        granted = {
            name
            for name, claimant in world.claimants.items()
            if isinstance(claimant.outcome, ClaimGranted)
        }
        for name in granted - holders:
            world.claimants[name].outcome = None
            holders.add(name)
        assert len(holders) <= 1, holders


def all_voting(world):
    return all(node.core.voting for node in world.keepers)
