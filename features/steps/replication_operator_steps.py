"""Steps for operators who meet partitions and each other, on a group of cores."""

from __future__ import annotations

from behave import then, when
from replication_group import Group, service_batch
from replication_storm import Storm

from limelever.common.errors import ErrorKind, Failure
from limelever.protocol.keys import service_key
from limelever.protocol.operators_pb2 import (
    ApplyResponse,
    GetRequest,
    RolloutRequest,
    StatusRequest,
)


@when("a replica group cuts off its leader")
def _(context):
    context.group.isolate(context.leader)


@when("a replica group heals")
def _(context):
    context.group.cut.clear()


@then("a replica group answers a write at the cut-off leader as unknown")
def _(context):
    context.request = service_batch("unknown", "unknown")
    answer = context.group.answer(context.group.ask(context.leader, context.request))
    assert isinstance(answer, Failure) and answer.kind is ErrorKind.WRITE_UNKNOWN, answer


@then("a replica group settles the write by one version however often it is resent")
def _(context):
    first = context.group.accept(context.request)
    again = context.group.accept(context.request)
    assert first.version == again.version, (first, again)


@then("a replica group refuses a read at the cut-off leader")
def _(context):
    answer = context.group.answer(context.group.ask(context.leader, GetRequest()))
    assert isinstance(answer, Failure) and answer.kind is ErrorKind.NO_QUORUM, answer


@then("a replica group sends operators of a follower to the leader")
def _(context):
    follower = context.group.others(context.leader)[0]
    for request in (service_batch("w", "w"), GetRequest(), RolloutRequest()):
        answer = context.group.answer(context.group.ask(follower, request))
        assert answer.kind is ErrorKind.NOT_LEADER, answer
        assert answer.leader_address == f"{context.leader}:2", answer
    status = context.group.answer(context.group.ask(follower, StatusRequest()))
    assert status.role == "follower" and len(status.members) == 3, status


@then("a replica group lets one of two racing writes with equal expected versions win")
def _(context):
    group = context.group
    version = group.version(context.leader)
    tokens = [
        group.ask(context.leader, service_batch(f"race{n}", f"race{n}", version)) for n in (1, 2)
    ]
    won, lost = (group.answer(token) for token in tokens)
    assert isinstance(won, ApplyResponse), won
    assert lost.kind is ErrorKind.CONFLICT and lost.current_version == won.version, lost


@then("a replica group gives a resend of an open write the answer of the same entry")
def _(context):
    group = context.group
    request = service_batch("twice", "twice")
    tokens = [group.ask(context.leader, request) for _ in range(2)]
    answers = [group.answer(token) for token in tokens]
    assert answers[0] == answers[1], answers
    entries = [e for e in group.ledger.values() if e.batch.request_id == "twice-request@0"]
    assert len(entries) == 1, entries


@when("a replica group freezes its leader until another one leads")
def _(context):
    group = context.group
    context.former = context.leader
    group.freeze(context.former)
    group.run_until(lambda: group.leader() != context.former, "another replica leads")
    context.leader = group.leader()


@when("a replica group writes to the new leader, expecting the current version")
def _(context):
    group = context.group
    context.expected = context.version
    context.first = group.ask(context.leader, service_batch("first", "first", context.expected))
    group.answer(context.first)


@when("a replica group writes to the former leader as it goes on, expecting the same version")
def _(context):
    _write_to_former(context, service_batch("second", "second", context.expected))


@when("a replica group writes to the former leader as it goes on")
def _(context):
    _write_to_former(context, service_batch("second", "second"))


def _write_to_former(context, request):
    group = context.group
    leads = [group.nodes[name].core.replica.leading for name in (context.former, context.leader)]
    assert leads == [True, True], "there are not two leaders at once"
    context.request = request
    context.second = group.thaw(context.former, request)


@then("a replica group accepts the first and calls the second unknown")
def _(context):
    assert isinstance(context.group.answer(context.first), ApplyResponse)
    _is_unknown(context)


@then("a replica group answers that write as unknown")
def _(context):
    _is_unknown(context)


def _is_unknown(context):
    answer = context.group.answer(context.second)
    assert isinstance(answer, Failure) and answer.kind is ErrorKind.WRITE_UNKNOWN, answer


@then("a replica group refuses the second as a conflict, however often it is resent")
def _(context):
    group = context.group
    group.run(3)
    won = group.answer(context.first).version
    for _ in range(3):
        answer = group.answer(group.ask(group.wait_for_leader(), context.request))
        assert answer.kind is ErrorKind.CONFLICT and answer.current_version == won, answer
    assert group.nodes[group.leader()].core.state.get(service_key("second")) is None


@when("a replica group cuts its leader off once one follower holds a write")
def _(context):
    group = context.group
    context.holder, other = group.others(context.leader)
    group.cut.add(frozenset((context.leader, other)))
    context.request = service_batch("outlives", "outlives")
    context.second = group.ask(context.leader, context.request)
    replica, sent = group.nodes[context.holder].core.replica, context.request.batch
    group.run_until(
        lambda: any(entry.batch.request_id == sent.request_id for entry in replica.uncommitted),
        "a follower holds the write",
    )
    group.isolate(context.leader)


@when("that follower of the replica group leads")
def _(context):
    group = context.group
    group.run_until(lambda: group.leader() == context.holder, "the follower leads")
    group.cut.clear()


@then("the settled write of the replica group was committed once, though it was sent three times")
def _(context):
    request_id = context.request.batch.request_id
    entries = [e for e in context.group.ledger.values() if e.batch.request_id == request_id]
    assert entries[0].term < context.group.nodes[context.holder].core.replica.term, entries
    state = context.group.nodes[context.holder].core.state
    assert state.get(service_key("outlives")).version == entries[0].index, entries


def _strike(group):
    """Do one thing that fails in the field to one replica."""
    random = group.random
    name = random.choice(list(group.nodes)) if random.random() < 0.5 else group.wait_for_leader()
    choice = random.random()
    if choice < 0.4:
        group.freeze(name)
        group.after(random.uniform(1, 4), lambda: group.thaw(name))
    elif choice < 0.8:
        group.isolate(name)
        group.after(random.uniform(0.5, 4), group.cut.clear)
    elif group.nodes[name].core is not None:
        group.crash(name)
        group.after(random.uniform(0.1, 2), lambda: group.nodes[name].core or group.start(name))


@then("a replica group of {size:d} keeps its word to operators under {seeds:d} seeds of disorder")
def _(context, size, seeds):
    totals = [0, 0, 0]
    for seed in range(seeds):
        group = Group(size, seed=seed, loss=0.03, snapshot_every=50)
        group.found()
        storm = Storm(group, operators=4)
        for _ in range(12):
            _strike(group)
            group.run(group.random.uniform(0.5, 4))
        group.run(5)
        group.cut.clear()
        group.loss = 0.0
        storm.settle()
        storm.check(group.nodes[group.wait_for_leader()].core.state)
        totals = [total + count for total, count in zip(totals, storm.counts(), strict=True)]
    print(f"accepted {totals[0]}, conflicts {totals[1]}, settled after unknown {totals[2]}")
    assert min(totals) > 0, totals
