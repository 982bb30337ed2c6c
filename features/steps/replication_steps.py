"""Steps for the source's replication, on a group of cores in virtual time."""

from __future__ import annotations

from random import Random

from behave import given, then, when
from replication_group import SEALER, Group, events, service_batch
from replication_node import RecordingCore

from limelever.common.sansio import (
    AppendLog,
    ConnectionClosed,
    ConnectionOpened,
    MessageReceived,
    Peer,
    Purpose,
    Recovered,
    ReplaceFile,
    Role,
    SendMessage,
    Started,
    TruncateLog,
    WriteCompleted,
)
from limelever.protocol.distribution_pb2 import FreshnessAnswer, FreshnessProbe, Subscribe
from limelever.protocol.operators_pb2 import (
    ApplyResponse,
)
from limelever.protocol.replication_pb2 import (
    AppendAnswer,
    AppendRequest,
    Formatted,
    HardState,
    InstallSnapshot,
    LogEntry,
    VoteAnswer,
    VoteRequest,
)
from limelever.publisher.settings import PublisherSettings
from limelever.source.messages import StopRequested
from limelever.source.replication.members import bootstrap_members


@given("a replica group of {size:d}")
def _(context, size):
    context.group = Group(size)
    context.leader = context.group.found()


@given("a replica group of {size:d} that takes a snapshot every {entries:d} entries")
def _(context, size, entries):
    context.group = Group(size, snapshot_every=entries)
    context.leader = context.group.found()


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
        context.version = context.group.accept(service_batch(f"w{number}", f"s{number}")).version
    context.leader = context.group.leader()


@then("a replica group holds the last version on every replica")
def _(context):
    group = context.group
    running = [name for name, node in group.nodes.items() if node.core]
    group.run_until(
        lambda: all(group.version(name) == context.version for name in running), "all caught up"
    )


@then("a replica group accepts no write while the disks of both followers hang")
def _(context):
    group = context.group
    for name in context.group.others(context.leader):
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
    elect_lone_replica(group)
    assert node.core.replica.term == term + 1


def elect_lone_replica(group):
    """Let replica a, whose peers don't run, win an election by votes in the name of b."""
    node = group.nodes["a"]
    replica = node.core.replica
    while not replica.leading:
        group.run(0.05)
        for pre_vote in (True, False):
            vote = VoteAnswer(granted=True, pre_vote=pre_vote, voter="b-first")
            vote.term = replica.term + pre_vote
            group.deliver(node, node.life, MessageReceived(9, vote))
    group.run(0.02)
    assert replica.leading


def reply_as(group, follower, round_number, *, request_term=0, match=0):
    """Have the lone replica a receive a follower's reply in its term."""
    node = group.nodes["a"]
    reply = AppendAnswer(
        term=node.core.replica.term,
        follower=follower,
        success=True,
        match_index=match,
        round=round_number,
        request_term=request_term,
    )
    group.deliver(node, node.life, MessageReceived(9, reply))


@when("a replica group's followers reply to round {number:d}")
def _(context, number):
    for follower in ("b-first", "c-first"):
        term = context.group.nodes["a"].core.replica.term
        reply_as(context.group, follower, number, request_term=term)


@when("a replica group's followers reply that they hold entry {index:d}")
def _(context, index):
    replica = context.group.nodes["a"].core.replica
    for follower in ("b-first", "c-first"):
        reply_as(context.group, follower, 1, request_term=replica.term, match=index)
    assert replica.commit_index == 0, replica.commit_index


@when(
    "a replica group's leader leads for {seconds:d} seconds by a follower's replies, "
    "and is elected again"
)
def _(context, seconds):
    group = context.group
    replica = group.nodes["a"].core.replica
    former, end = replica.term, group.now + seconds
    context.former_rounds = []
    while group.now < end:
        group.run(0.1)
        context.former_rounds.append(newest_round(group))
        reply_as(group, "b-first", newest_round(group), request_term=former)
    assert replica.leading and replica.term == former
    group.run(2)
    assert not replica.leading
    elect_lone_replica(group)
    assert replica.term > former


HIGHEST_TERM = 2**64 - 1
MESSAGES = {
    "a refused vote": VoteAnswer(term=HIGHEST_TERM),
    "a vote request": VoteRequest(term=HIGHEST_TERM, candidate="b-first", last_index=99),
    "a reply": AppendAnswer(term=HIGHEST_TERM, follower="b-first"),
    "an append": AppendRequest(term=HIGHEST_TERM, leader="b-first"),
    "a snapshot": InstallSnapshot(term=HIGHEST_TERM, leader="b-first"),
}


@when("a replica group's leader receives {message} of the highest term")
def _(context, message):
    group = context.group
    node = group.nodes[context.leader]
    context.term = node.core.replica.term
    group.deliver(node, node.life, MessageReceived(next(iter(node.links)), MESSAGES[message]))


@then("a replica group accepts a write by the same leader in the same term")
def _(context):
    group = context.group
    group.accept(service_batch("after", "after"))
    assert group.leader() == context.leader
    assert group.nodes[context.leader].core.replica.term == context.term


def newest_round(group):
    """Return the number of the newest round that replica a has begun."""
    return group.nodes["a"].core.replica._leadership._rounds.current


@when("a replica group's leader commits an entry of its term, and is asked for a read")
def _(context):
    group = context.group
    core = group.nodes["a"].core
    held = core.replica._context.log.last_index
    reply_as(group, "b-first", newest_round(group), request_term=core.replica.term, match=held)
    assert core.replica.commit_index == held
    context.proofs = []
    core.read_proved = lambda token, proved: context.proofs.append(proved)
    core.replica.read(1, group.now)


@when("a replica group's follower of an earlier build replies to all rounds of the former term")
def _(context):
    for number in context.former_rounds:
        reply_as(context.group, "b-first", number)


@then("a replica group proves no read at its leader")
def _(context):
    assert True not in context.proofs, context.proofs


@then("a replica group commits up to {commit:d} once a follower holds entry {match:d}")
def _(context, commit, match):
    node = context.group.nodes["a"]
    replica = node.core.replica
    answer = AppendAnswer(
        term=replica.term, follower="b-first", success=True, match_index=match, round=1
    )
    context.group.deliver(node, node.life, MessageReceived(9, answer))
    assert replica.commit_index == commit, replica.commit_index


@then("a replica group commits nothing by a follower's reply to a request of term {term:d}")
def _(context, term):
    node = context.group.nodes["a"]
    replica = node.core.replica
    answer = AppendAnswer(
        term=replica.term,
        follower="b-first",
        success=True,
        match_index=4,
        round=900,
        request_term=term,
    )
    assert replica.term > term
    context.group.deliver(node, node.life, MessageReceived(9, answer))
    assert replica.commit_index == 0, replica.commit_index


@then("a replica group's leader that hears nothing else steps down within its lease")
def _(context):
    replica = context.group.nodes["a"].core.replica
    context.group.run(2)
    assert not replica.leading


@then("a replica that syncs an append late, and has voted since, replies with the append's term")
def _(context):
    group = Group(3)
    members = bootstrap_members(group.nodes)
    formatted = Formatted(identity="a-first", name="a", admitted=True, first_members=members)
    files = {"formatted": formatted.SerializeToString()}
    settings = group.settings("a")
    core = RecordingCore.open(
        settings, PublisherSettings(), Recovered((), files), Random(1), SEALER
    )
    peer = Peer(Role.SOURCE, "b", "zone", Purpose.REPLICATION, "b-first")
    append = AppendRequest(term=2, leader="b-first", round=7)
    append.entries.add(index=1, term=2, no_operation={})
    vote = VoteRequest(term=3, candidate="c-first", last_index=9, last_term=2)
    outputs = []
    for event in (Started(), ConnectionOpened(1, peer)):
        outputs.extend(core.handle(event, 0.0))
    for now, message in ((0.1, append), (9.0, vote)):
        outputs.extend(core.handle(MessageReceived(1, message), now))
    writes = [each.token for each in outputs if isinstance(each, AppendLog | ReplaceFile)]
    for token in writes:
        outputs.extend(core.handle(WriteCompleted(token), 9.1))
    sent = [each.message for each in outputs if isinstance(each, SendMessage)]
    (reply,) = [each for each in sent if isinstance(each, AppendAnswer)]
    assert (reply.term, reply.request_term, reply.round) == (3, 2, 7), reply


@given("a replica group of {size:d} whose processes are killed before any has formatted its disk")
def _(context, size):
    context.group = Group(size)
    for name in context.group.nodes:
        context.group.start(name)
        context.group.crash(name)


@when("all replicas start again, with settings that no longer name the first start")
def _(context):
    context.group.bootstrap = False
    for name in context.group.nodes:
        context.group.start(name)


@when("a replica group loses a follower's process")
def _(context):
    context.down = context.group.others(context.leader)[0]
    context.group.crash(context.down)


@when("a replica group gets the follower's process back")
def _(context):
    context.group.start(context.down)


@when("a replica group rolls a follower's log back")
def _(context):
    group, name = context.group, context.group.others(context.leader)[0]
    context.rolled_back = name
    group.run(1)
    group.crash(name)
    group.nodes[name].disk.perform([TruncateLog(1, 0)])
    group.start(name)


@then("a replica group has reported the follower that was rolled back")
def _(context):
    assert context.group.has_logged(events.FOLLOWER_ROLLED_BACK)


@then("a replica group's leader counts the follower as behind")
def _(context):
    group, name = context.group, context.rolled_back
    replica = group.nodes[group.leader()].core.replica

    def matched():
        members = replica.status().members
        return next(member.matched_index for member in members if member.name == name)

    assert matched() == replica.commit_index
    group.run_until(lambda: matched() < replica.commit_index, "the loss is seen", 2)


@then("a replica group sends at most {limit:d} messages a second when idle")
def _(context, limit):
    before, seconds = context.group.sent, 5
    context.group.run(seconds)
    assert context.group.sent - before <= limit * seconds, context.group.sent - before


@then("a replica group has sent a snapshot")
def _(context):
    assert context.group.has_logged(events.SNAPSHOT_INSTALLED)


@when("a replica group has a relay that probes a follower")
def _(context):
    context.follower = context.group.others(context.leader)[0]
    context.group.run(2)
    context.group.subscribe(context.follower)
    _send_to_publisher(context, Subscribe(everything=True))
    _send_to_publisher(context, FreshnessProbe(nonce=1))


@when("a replica group tells a follower twice of a stop and of the end of a link")
def _(context):
    group, name = context.group, context.group.others(context.leader)[0]
    group.run(2)
    group.subscribe(name)
    node = group.nodes[name]
    leader_link = node.core.replica.connection_to_leader()
    events = (StopRequested(), ConnectionClosed(leader_link, "ended"))
    outputs = [[node.core.handle(event, group.now) for event in events] for _ in range(2)]
    context.told_first, context.told_again = outputs
    node.links.pop(leader_link)
    group.dialled.clear()
    group.run(3)


@then("a replica group sends its subscriber away once and dials the link once")
def _(context):
    assert context.told_first[0] and context.told_again == [[], []], context.told_again
    assert context.group.dialled == [context.leader], context.group.dialled


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
    context.group.isolate(context.follower)
    _send_to_publisher(context, FreshnessProbe(nonce=2))
    context.group.run(5)
    assert not _fresh(context, 2)


@when("every replica of a group is killed and starts again at once, {count:d} times")
def _(context, count):
    group = context.group
    context.led = []
    for _ in range(count):
        for name in list(group.nodes):
            group.crash(name)
        for name in list(group.nodes):
            group.start(name)
        group.run(1.0)
        context.led.append(group.leader())
        group.run(3.0)


@then("a replica group had a leader within 1 second each time")
def _(context):
    assert all(context.led), context.led


@when("each follower of a group is killed and starts again at once, one after the other")
def _(context):
    group = context.group
    context.leader = group.leader()
    context.term = group.nodes[context.leader].core.replica.term
    for name in group.others(context.leader):
        group.crash(name)
        group.start(name)
        group.run(2.0)


@then("a replica group still has the leader it had, in the same term")
def _(context):
    assert context.group.leader() == context.leader
    assert context.group.nodes[context.leader].core.replica.term == context.term
