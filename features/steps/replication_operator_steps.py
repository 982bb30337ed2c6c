"""Steps for operators who meet partitions and each other, on a group of cores."""

from __future__ import annotations

from behave import then, when
from replication_group import service_batch

from limelever.common.errors import ErrorKind, Failure
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
