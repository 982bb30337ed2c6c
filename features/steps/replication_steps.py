"""Steps for the source's replication, on a group of cores in virtual time."""

from __future__ import annotations

from behave import given, then, when
from replication_group import Group, events, service_batch

from limelever.common.errors import ErrorKind, Failure
from limelever.common.sansio import AppendLog, MessageReceived, ReplaceFile, TruncateLog
from limelever.protocol.distribution_pb2 import FreshnessAnswer, FreshnessProbe, Subscribe
from limelever.protocol.operators_pb2 import (
    ApplyResponse,
    ChangeMembersRequest,
    GetRequest,
    RolloutRequest,
    StatusRequest,
)
from limelever.protocol.replication_pb2 import (
    AppendAnswer,
    Formatted,
    HardState,
    LogEntry,
    VoteAnswer,
)
from limelever.source.replication.members import bootstrap_members


def _others(context):
    return [name for name in context.group.nodes if name != context.leader]


def _isolate(group, name):
    group.cut |= {frozenset((name, other)) for other in group.nodes if other != name}


def _accept(group, request):
    """Write at whoever leads until the write is accepted, resending as an operator does."""
    for _ in range(30):
        answer = group.answer(group.ask(group.wait_for_leader(), request))
        if isinstance(answer, ApplyResponse):
            return answer
        group.run(0.5)
    raise AssertionError(f"never accepted, last answer {answer}")


def _found(group):
    for name in group.nodes:
        group.start(name)
    leader = group.wait_for_leader()
    names = set(group.nodes)
    group.run_until(
        lambda: group.leader() and set(group.voters(group.leader())) == names,
        "all replicas vote",
    )
    return leader


@given("a replica group of {size:d}")
def _(context, size):
    context.group = Group(size)
    context.leader = _found(context.group)


@given("a replica group of {size:d} that takes a snapshot every {entries:d} entries")
def _(context, size, entries):
    context.group = Group(size, snapshot_every=entries)
    context.leader = _found(context.group)


@given("a replica group of {size:d} with empty disks of which {started:d} start")
def _(context, size, started):
    context.group = Group(size)
    for name in list(context.group.nodes)[:started]:
        context.group.start(name)


@when("a replica group runs for {seconds:g} seconds")
def _(context, seconds):
    context.group.run(seconds)


@then("a replica group has no leader")
def _(context):
    assert context.group.leader() is None


@when("the rest of a replica group starts")
def _(context):
    for name, node in context.group.nodes.items():
        if node.core is None:
            context.group.start(name)


@then("a replica group elects a leader")
def _(context):
    context.leader = context.group.wait_for_leader()


@when("a replica group accepts {count:d} writes")
@given("a replica group accepts {count:d} writes")
def _(context, count):
    first = len(context.group.ledger)
    for number in range(first, first + count):
        context.version = _accept(context.group, service_batch(f"w{number}", f"s{number}")).version
    context.leader = context.group.leader()


@then("a replica group holds the last version on every replica")
def _(context):
    group = context.group
    running = [name for name, node in group.nodes.items() if node.core]
    group.run_until(
        lambda: all(group.version(name) == context.version for name in running), "all caught up"
    )


@when("a replica group loses the disk of a follower")
def _(context):
    context.lost = _others(context)[-1]
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
        _isolate(group, group.leader())
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
    _accept(group, service_batch("after", "after"))
    answer = group.answer(group.ask(group.leader(), GetRequest()))
    versions = [item.version for item in answer.resources]
    assert before in versions, (before, versions)


@when("a replica group cuts off its leader")
def _(context):
    _isolate(context.group, context.leader)


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
    first = _accept(context.group, context.request)
    again = _accept(context.group, context.request)
    assert first.version == again.version, (first, again)


@then("a replica group refuses a read at the cut-off leader")
def _(context):
    answer = context.group.answer(context.group.ask(context.leader, GetRequest()))
    assert isinstance(answer, Failure) and answer.kind is ErrorKind.NO_QUORUM, answer


@then("a replica group sends operators of a follower to the leader")
def _(context):
    follower = _others(context)[0]
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


@then("a replica group accepts no write while the disks of both followers hang")
def _(context):
    group = context.group
    for name in _others(context):
        group.nodes[name].hung = True
    token = group.ask(context.leader, service_batch("hung", "hung"))
    group.run(5)
    answer = group.answers.get(token)
    assert not isinstance(answer, ApplyResponse), answer


@when("a replica group starts a replica alone that holds {count:d} entries of term {term:d}")
def _(context, count, term):
    group = context.group = Group(3)
    node = group.nodes["a"]
    members = bootstrap_members(group.nodes)
    formatted = Formatted(identity="a-first", name="a", admitted=True, first_members=members)
    entries = [LogEntry(index=n, term=term, no_operation={}) for n in range(1, count + 1)]
    records = tuple(entry.SerializeToString() for entry in entries)
    state = HardState(term=term).SerializeToString()
    node.disk.perform(
        [
            ReplaceFile(1, "formatted", formatted.SerializeToString()),
            ReplaceFile(2, "hard-state", state),
            AppendLog(3, records),
        ]
    )
    group.start("a")
    replica = node.core.replica
    while not replica.leading:
        group.run(0.05)
        for pre_vote in (True, False):
            vote = VoteAnswer(granted=True, pre_vote=pre_vote, voter="b-first")
            vote.term = replica.term + pre_vote
            group.deliver(node, node.life, MessageReceived(9, vote))
    group.run(0.02)
    assert replica.leading and replica.term == term + 1


@then("a replica group commits up to {commit:d} once a follower holds entry {match:d}")
def _(context, commit, match):
    node = context.group.nodes["a"]
    replica = node.core.replica
    answer = AppendAnswer(
        term=replica.term, follower="b-first", success=True, match_index=match, round=1
    )
    context.group.deliver(node, node.life, MessageReceived(9, answer))
    assert replica.commit_index == commit, replica.commit_index


@when("a replica group loses a follower's process")
def _(context):
    context.down = _others(context)[0]
    context.group.crash(context.down)


@when("a replica group gets the follower's process back")
def _(context):
    context.group.start(context.down)


@when("a replica group rolls a follower's log back")
def _(context):
    group, name = context.group, _others(context)[0]
    group.run(1)
    group.crash(name)
    group.nodes[name].disk.perform([TruncateLog(1, 0)])
    group.start(name)


@then("a replica group sends at most {limit:d} messages a second when idle")
def _(context, limit):
    before, seconds = context.group.sent, 5
    context.group.run(seconds)
    assert context.group.sent - before <= limit * seconds, context.group.sent - before


@then("a replica group has sent a snapshot")
def _(context):
    assert context.group.has_logged(events.SNAPSHOT_INSTALLED)


@when("a replica group is asked to remove a follower")
def _(context):
    context.removed = _others(context)[0]
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
    requests = [_removal(context, name, f"remove-{name}") for name in _others(context)]
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
    removal = _removal(context, _others(context)[0], "remove-once")
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
    _accept(context.group, service_batch("smaller", "smaller"))


@when("a replica group has a relay that probes a follower")
def _(context):
    context.follower = _others(context)[0]
    context.group.run(2)
    context.group.subscribe(context.follower)
    _send_to_publisher(context, Subscribe(everything=True))
    _send_to_publisher(context, FreshnessProbe(nonce=1))


def _send_to_publisher(context, message):
    node = context.group.nodes[context.follower]
    context.group.deliver(node, node.life, MessageReceived(1001, message))


def _fresh(context, nonce):
    sent = [output.message for output in context.group.received]
    return any(isinstance(m, FreshnessAnswer) and m.nonce == nonce for m in sent)


@then("a replica group proves the follower fresh")
def _(context):
    context.group.run_until(lambda: _fresh(context, 1), "the probe is answered")


@then("a replica group does not prove the follower fresh once it is cut off")
def _(context):
    _isolate(context.group, context.follower)
    _send_to_publisher(context, FreshnessProbe(nonce=2))
    context.group.run(5)
    assert not _fresh(context, 2)


def _disturb(group, random, may_lose):
    """Do one thing that fails in the field; a lost disk only while nothing else is wrong."""
    name = random.choice(list(group.nodes))
    node = group.nodes[name]
    choice = random.random()
    if choice < 0.4:
        group.crash(name)
        group.after(random.uniform(0.1, 2), lambda: node.core or group.start(name))
    elif choice < 0.8:
        _isolate(group, name)
        group.after(random.uniform(0.1, 3), group.cut.clear)
    elif may_lose:
        group.crash(name)
        node.disk.lose()
        group.start(name)


def _write_somewhere(group, random, number):
    running = [name for name, node in group.nodes.items() if node.core]
    if running:
        group.ask(random.choice(running), service_batch(f"chaos{number}", f"s{number}"))


def _whole(group):
    """Return whether all replicas run, are voters by the leader's account and are caught up."""
    leader = group.leader()
    if leader is None or group.cut or any(node.core is None for node in group.nodes.values()):
        return False
    replica = group.nodes[leader].core.replica
    identities = group.voters(leader)
    return all(
        identities.get(name) == node.core.replica.identity
        and node.core.replica.commit_index == replica.commit_index
        for name, node in group.nodes.items()
    )


@then("a replica group of {size:d} keeps its promises under {seeds:d} seeds of disorder")
def _(context, size, seeds):
    for seed in range(seeds):
        group = Group(size, seed=seed, loss=0.05, snapshot_every=30)
        _found(group)
        for number in range(40):
            _disturb(group, group.random, may_lose=_whole(group))
            for part in range(3):
                _write_somewhere(group, group.random, number * 3 + part)
                group.run(group.random.uniform(0.05, 0.8))
        accepted = [a.version for a in group.answers.values() if isinstance(a, ApplyResponse)]
        group.loss = 0.0
        group.run_until(lambda group=group: _whole(group), f"seed {seed} is whole", 60)
        last = _accept(group, service_batch("last", "last"))
        assert accepted and last.version > max(accepted), (seed, accepted, last)
        held = group.answer(group.ask(group.leader(), GetRequest())).resources
        assert set(accepted) <= {item.version for item in held}, seed
        assert not group.stopped, (seed, group.stopped)
