"""Steps for lost disks and changes of the source's members, on a group of cores."""

from __future__ import annotations

from behave import then, when
from replication_group import service_batch

from limelever.common.errors import ErrorKind, Failure
from limelever.protocol.operators_pb2 import (
    ChangeMembersRequest,
    GetRequest,
)


@when("a replica group loses the disk of a follower")
def _(context):
    context.lost = context.group.others(context.leader)[-1]
    context.lost_identity = context.group.voters(context.leader)[context.lost]
    context.group.crash(context.lost)
    context.group.nodes[context.lost].disk.lose()


@when("a replica group loses the disk of the replica lost before")
def _(context):
    context.lost_identity = context.group.voters(context.group.leader())[context.lost]
    context.group.crash(context.lost)
    context.group.nodes[context.lost].disk.lose()


@when("a replica group gets the lost replica back with an empty disk")
def _(context):
    context.group.start(context.lost)


@then("a replica group replaces the lost identity by a new one of the same name")
def _(context):
    group, name = context.group, context.lost

    def replaced():
        leader = group.leader()
        if leader is None:
            return False
        identities = [m.identity for m in group.nodes[leader].core.replica.status().members]
        new = group.voters(leader).get(name, context.lost_identity)
        return new != context.lost_identity and context.lost_identity not in identities

    group.run_until(replaced, "the lost identity is replaced")
    group.run_until(
        lambda: group.version(name) == group.version(group.leader()), "the new one caught up"
    )


@when("a replica group loses the disk of another voter at once")
def _(context):
    group = context.group
    other = next(name for name in group.nodes if name not in (context.lost, group.leader()))
    context.leader = group.leader()
    group.crash(other)
    group.nodes[other].disk.lose()
    context.lost, context.lost_identity = other, group.voters(context.leader)[other]


@when("a replica group moves its leadership to the replica never lost")
def _(context):
    group = context.group
    context.former = group.leader()
    third = next(name for name in group.nodes if name not in (context.former, context.lost))
    _lead_by(group, lambda: group.leader() == third)


@when("a replica group cuts its former leader off from the replica lost before")
def _(context):
    context.group.cut.add(frozenset((context.former, context.lost)))


@when("a replica group gets its former leader back")
def _(context):
    _lead_by(context.group, lambda: context.group.leader() == context.former)


def _lead_by(group, wanted):
    for _ in range(20):
        group.cut.clear()
        group.wait_for_leader()
        group.isolate(group.leader())
        group.run(4)
        group.cut.clear()
        group.run(4)
        if wanted():
            return
    raise AssertionError("leadership did not move")


@then("a replica group has no member but its {size:d} voters")
def _(context, size):
    context.group.run(3)
    members = context.group.nodes[context.group.leader()].core.replica.status().members
    assert len(members) == size and all(member.voter for member in members), members


@then("a replica group still holds every write after its leader restarts")
def _(context):
    group = context.group
    before = group.version(group.leader())
    leader = group.leader()
    group.crash(leader)
    group.start(leader)
    group.wait_for_leader()
    group.accept(service_batch("after", "after"))
    answer = group.answer(group.ask(group.leader(), GetRequest()))
    versions = [item.version for item in answer.resources]
    assert before in versions, (before, versions)


@when("a replica group is asked to remove a follower")
def _(context):
    context.removed = context.group.others(context.leader)[0]
    identity = context.group.voters(context.leader)[context.removed]
    request = ChangeMembersRequest(request_id="remove", remove=identity)
    context.group.run(1)
    answer = context.group.answer(context.group.ask(context.group.leader(), request))
    assert not isinstance(answer, Failure), answer
    assert identity not in [member.identity for member in answer.members], answer


def _removal(context, name, request_id):
    identity = context.group.voters(context.group.leader())[name]
    return ChangeMembersRequest(request_id=request_id, remove=identity)


@when("a replica group is asked for two removals at once")
def _(context):
    context.group.run(1)
    requests = [
        _removal(context, name, f"remove-{name}") for name in context.group.others(context.leader)
    ]
    context.tokens = [context.group.ask(context.leader, request) for request in requests]


@then("a replica group carries out the first and has the second try again")
def _(context):
    first, second = (context.group.answer(token) for token in context.tokens)
    assert len(first.members) == 2, first
    assert second.kind is ErrorKind.OVERLOADED and second.retry_after > 0, second
    assert len(context.group.voters(context.group.leader())) == 2


@when("a replica group is asked for a removal, and again before and after its commit")
def _(context):
    context.group.run(1)
    removal = _removal(context, context.group.others(context.leader)[0], "remove-once")
    context.tokens = [context.group.ask(context.leader, removal) for _ in range(2)]
    context.group.answer(context.tokens[0])
    context.tokens.append(context.group.ask(context.leader, removal))


@then("a replica group answers all three alike and has changed its members once")
def _(context):
    answers = [context.group.answer(token) for token in context.tokens]
    identities = [[member.identity for member in answer.members] for answer in answers]
    assert identities[0] == identities[1] == identities[2] and len(identities[0]) == 2, answers
    changes = [e for e in context.group.ledger.values() if e.WhichOneof("body") == "members"]
    assert len(changes) == 1, changes


@then("a replica group goes on with {size:d} voters and does not take the removed one back")
def _(context, size):
    context.group.run(5)
    assert len(context.group.voters(context.group.leader())) == size
    context.group.accept(service_batch("smaller", "smaller"))
