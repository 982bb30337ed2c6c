"""Steps for a group of replicas that finds its members through seeds."""

from __future__ import annotations

from behave import given, then, when
from msgspec.structs import replace
from replication_group import Group, service_batch
from replication_node import Node

from limelever.common.errors import ErrorKind, Failure
from limelever.common.sansio import Address, ConnectionOpened, MessageReceived, Peer, Purpose, Role
from limelever.protocol.replication_pb2 import JoinRequest
from limelever.source.messages import StopRequested
from limelever.source.replication.settings import ReplicationSettings

SEEDS = tuple(Address(f"seed{number}", 1) for number in range(3))
VOTERS = 5
STRANGER = 9001


class SeededGroup(Group):
    """Replicas whose names are their addresses."""

    def __init__(self, size: int) -> None:
        super().__init__(0)
        self.written = 0
        for name in [*map(str, SEEDS), *(f"other{n}:1" for n in range(size - len(SEEDS)))]:
            self.nodes[name] = Node(name)
        self.dark = set()

    def settings(self, name):
        seeds = {str(seed): seed for seed in SEEDS if str(seed) != name}
        return ReplicationSettings(
            name,
            seeds,
            seeds=SEEDS,
            voters=VOTERS,
            replace_after=3.0,
            operator_address=name,
            bootstrap=Address(name.split(":")[0], 1) in SEEDS,
        )

    def dial(self, node, output):
        named = replace(output, address=Address(str(output.address), 1))
        if named.address.host in self.nodes:
            super().dial(node, named)

    def grown(self):
        leader = self.leader()
        return leader is not None and len(self.voters(leader)) == VOTERS

    def wait_grown(self):
        self.run_until(self.grown, "all voters are there")

    def write(self):
        self.written += 1
        self.accept(service_batch(f"w{self.written}", f"s{self.written}"))

    def holds_all(self):
        leader = self.wait_for_leader()
        held = {item.resource.service.name for item in self.nodes[leader].core.state.resources()}
        return {f"s{number + 1}" for number in range(self.written)} <= held


@given("a seeded group of {size:d}")
def given_group(context, size):
    context.group = SeededGroup(size)
    for name in context.group.nodes:
        context.group.start(name)
    context.group.wait_grown()
    for _ in range(3):
        context.group.write()


@given("a seeded group of {size:d} of which the 3 seeds run")
def given_seeds(context, size):
    context.group = SeededGroup(size)
    for seed in SEEDS:
        context.group.start(str(seed))
    context.group.wait_for_leader()


@given("a seeded group of {size:d} of which only the others run")
def given_others(context, size):
    context.group = SeededGroup(size)
    for name in context.group.nodes:
        if not name.startswith("seed"):
            context.group.start(name)


@then("the seeded group refuses a write for want of voters")
def then_refuses(context):
    group = context.group
    request = service_batch("early", "early")
    answer = group.answer(group.ask(group.leader(), request))
    assert isinstance(answer, Failure) and answer.kind is ErrorKind.NO_QUORUM, answer


@when("the rest of the seeded group starts")
def when_rest(context):
    for name, node in context.group.nodes.items():
        if node.core is None:
            context.group.start(name)


@then("the seeded group has {count:d} voters")
def then_voters(context, count):
    context.group.wait_grown()
    assert len(context.group.voters(context.group.leader())) == count


@then("the seeded group accepts a write")
def then_accepts(context):
    context.group.write()


@when("the seeded group runs for {seconds:d} seconds")
def when_runs(context, seconds):
    context.group.run(seconds)


@then("the seeded group has no leader")
def then_leaderless(context):
    assert context.group.leader() is None


def lose_one(context):
    group = context.group
    leader = group.wait_for_leader()
    gone = sorted(set(group.voters(leader)) - {leader})[0]
    group.crash(gone)
    del group.nodes[gone]


@when("a machine of the seeded group is gone")
def when_gone(context):
    lose_one(context)


@when("a machine of the seeded group is gone and another comes at a new address")
def when_replaced(context):
    lose_one(context)
    context.newest = f"new{len(context.group.logged)}:1"
    context.group.nodes[context.newest] = Node(context.newest)
    context.group.start(context.newest)


@then("the seeded group has 5 voters, the new one among them")
def then_new_voter(context):
    group = context.group
    group.run_until(
        lambda: group.grown() and context.newest in group.voters(group.leader()),
        "the new machine votes",
    )
    group.write()


@then("the seeded group still holds every write")
def then_holds(context):
    context.group.run_until(context.group.holds_all, "every write is held")


@when("the seeded group accepts a write and loses 2 disks and the power of all")
def when_power_off(context):
    group = context.group
    group.write()
    leader = group.leader()
    lost = [leader, next(name for name in group.nodes if name != leader)]
    for name in group.nodes:
        group.crash(name)
        if name in lost:
            group.nodes[name].disk.lose()
    for name in group.nodes:
        group.start(name)


@when("2 replicas of the seeded group are cut off while it accepts a write")
def when_behind(context):
    group = context.group
    leader = group.wait_for_leader()
    context.behind = [name for name in group.nodes if name != leader][:2]
    for name in context.behind:
        group.isolate(name)
    group.write()
    group.run(1.0)


@when("another replica of the seeded group loses its disk, and all go dark but those cut off")
def when_disk_and_dark(context):
    group = context.group
    context.rest = [name for name in group.nodes if name not in context.behind]
    for name in context.rest:
        group.crash(name)
    group.nodes[context.rest[0]].disk.lose()
    group.cut.clear()
    group.start(context.rest[0])


@then("the seeded group elects nobody until a replica with the write is back")
def then_nobody(context):
    context.group.run(10.0)
    assert context.group.leader() is None
    for name in context.rest[1:]:
        context.group.start(name)
    context.group.wait_for_leader()


@when("the leader of the seeded group is asked to stop")
def when_stopped(context):
    group = context.group
    context.former = group.leader()
    node = group.nodes[context.former]
    group.deliver(node, node.life, StopRequested())


@then("another replica of the seeded group leads within {seconds:g} seconds")
def then_other_leads(context, seconds):
    group = context.group
    begun = group.now
    group.run_until(lambda: group.leader() not in (None, context.former), "another leads")
    assert group.now - begun <= seconds, group.now - begun


@when('a stranger with the name "{name}" asks the seeded group to join')
def when_stranger(context, name):
    node = context.group.nodes[context.group.leader()]
    peer = Peer(Role.SOURCE, name, "zone", Purpose.REPLICATION)
    context.group.deliver(node, node.life, ConnectionOpened(STRANGER, peer))
    request = JoinRequest(identity="stranger", name=name)
    context.group.deliver(node, node.life, MessageReceived(STRANGER, request))
    context.group.run(3.0)
