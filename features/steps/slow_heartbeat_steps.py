"""Steps for replies to a leader whose followers' disks are slow, in virtual time."""

from __future__ import annotations

from behave import given, then, when
from replication_disorder_steps import disturb, write_somewhere
from replication_group import events, service_batch
from slow_disk_group import PLATFORM_ELECTION_SECONDS, SlowDiskGroup, SlowDisks

from limelever.common.errors import Failure
from limelever.common.sansio import MessageReceived
from limelever.protocol.operators_pb2 import ApplyResponse, ChangeMembersRequest
from limelever.protocol.replication_pb2 import (
    AppendAnswer,
    AppendRequest,
    InstallSnapshot,
    LogEntry,
    NoOperation,
)
from limelever.source.replication.persistence import recover_replica

WRITE_SECONDS, SETTLED_SECONDS = 0.1, 15.0
SNAPSHOT_EVERY = 30
CONNECTION = 9
"""A link to nobody: what is sent on it is kept."""


class StatementGroup(SlowDiskGroup):
    """Checks each reply to an append against its sender's disk as the reply leaves."""

    early = 0
    """Replies that left while writes were not synced."""

    def send(self, node, output):
        message = output.message
        if isinstance(message, AppendAnswer):
            self._check(node, message)
            self.early += bool(message.success and (node.writing or node.queued))
        super().send(node, output)

    def _check(self, node, answer):
        held = recover_replica(node.disk.recovered)
        assert not isinstance(held, Failure), held
        assert held.formatted is not None and held.formatted.identity == answer.follower, node.name
        replica = node.core.replica
        if answer.success and answer.request_term == answer.term:  # a leader drops any other
            assert held.hard_state.term == answer.term == replica.term, (node.name, held.hard_state)
            self._check_log(node, held, answer.match_index)

    def _check_log(self, node, held, match):
        log = node.core.replica._context.log
        synced = {entry.index: entry.term for entry in held.entries}
        last = max(synced, default=held.snapshot.last_index)
        assert match <= max(last, held.snapshot.last_index), (node.name, match, last)
        for index in range(max(log.base_index, held.snapshot.last_index) + 1, match + 1):
            assert synced[index] == log.term_at(index), (node.name, index)


@when(
    "groups of {size:d} write every {pause:g} s for {seconds:g} s, for {seeds:d} seeds, with an"
    " election timeout of {timeout:g} s and syncs of {sync:g} s"
)
def when_written(context, size, pause, seconds, seeds, timeout, sync):
    context.groups = []
    for seed in range(1, seeds + 1):
        group = SlowDiskGroup(size, seed, timeout, SlowDisks(sync))
        group.first_start()
        group.run(SETTLED_SECONDS)
        leader, began = group.wait_for_leader(), len(group.logged)
        tokens = []
        for number in range(round(seconds / pause)):
            tokens.append(group.ask(leader, service_batch(f"w{number}", f"s{number}")))
            group.run(pause)
        early = [group.answers.get(token) for token in tokens[: len(tokens) // 2]]
        context.groups.append((seed, group.logged[began:], early))


@then("no leader has stepped down, and the writes of the first half are accepted")
def then_led(context):
    downs = {
        seed: sum(code == events.LEADER_STEPPED_DOWN for _, code, _ in logged)
        for seed, logged, _ in context.groups
    }
    missing = {
        seed: sum(not isinstance(answer, ApplyResponse) for answer in early)
        for seed, _, early in context.groups
    }
    assert not any(downs.values()), f"steps down by seed: {downs}; not accepted: {missing}"
    assert not any(missing.values()), missing


@then(
    "groups of {size:d} state no more than is synced under {seeds:d} seeds of disorder, with syncs"
    " of up to {sync:g} s"
)
def then_stated(context, size, seeds, sync):
    early = 0
    for seed in range(seeds):
        disks = SlowDisks(sync, drawn=True)
        group = StatementGroup(size, seed, PLATFORM_ELECTION_SECONDS, disks)
        group.snapshot_every = SNAPSHOT_EVERY
        group.found()
        for number in range(40):
            disturb(group, group.random, may_lose=False)
            for part in range(3):
                write_somewhere(group, group.random, number * 3 + part)
                group.run(group.random.uniform(0.05, 0.8))
        assert not group.stopped, (seed, group.stopped)
        early += group.early
    assert early, "no reply left before all writes were synced"


@when("the disk of one follower hangs for {seconds:g} s while writes go on")
def when_hangs(context, seconds):
    group = context.group
    group.run(1.0)
    context.leader = group.leader()
    context.hung, context.sound = group.others(context.leader)
    context.began = len(group.logged)
    group.nodes[context.hung].hung = True
    context.seconds = seconds
    write_for(group, context.leader, seconds)


def write_for(group, name, seconds):
    for number in range(round(seconds / WRITE_SECONDS)):
        group.ask(name, service_batch(f"for{group.last_token}", f"s{number}"))
        group.run(WRITE_SECONDS)


@then("its leader has heard nothing of its disk for that long, and lately of the other")
def then_silent(context):
    nodes = context.group.nodes
    leadership = nodes[context.leader].core.replica._leadership
    hung, sound = (nodes[name].core.replica.identity for name in (context.hung, context.sound))
    assert leadership.silent_for(hung) > context.seconds - WRITE_SECONDS, leadership.silent_for(
        hung
    )
    assert not leadership.heard_lately(hung)
    assert leadership.heard_lately(sound)


@then("the leader has led without a break, and leads with the other's disk hanging as well")
def then_leads_on(context):
    group = context.group
    group.nodes[context.sound].hung = True
    write_for(group, context.leader, context.seconds)
    codes = [code for _, code, _ in group.logged[context.began :]]
    assert events.LEADER_STEPPED_DOWN not in codes
    assert group.leader() == context.leader


def append(context, term, previous, previous_term, entries=()):
    """Send the follower an append in the leader's name."""
    request = AppendRequest(
        term=term,
        leader=context.leader,
        previous_index=previous,
        previous_term=previous_term,
        entries=entries,
    )
    context.group.deliver(context.node, context.node.life, MessageReceived(CONNECTION, request))


def entry(index, term):
    return LogEntry(index=index, term=term, no_operation=NoOperation())


def send_entry(context, term, last):
    append(context, term, last, term, [entry(last + 1, term)])
    append(context, term, last + 1, term)
    context.all = last + 1


def send_other_entries(context, term, last):
    context.node.hung = False
    append(context, term, last, term, [entry(last + 1, term), entry(last + 2, term)])
    append(context, term + 1, last, term)
    context.group.run(0.1)
    context.node.hung = True
    context.group.received.clear()
    append(context, term + 1, last, term, [entry(last + 1, term + 1)])
    append(context, term + 1, last + 1, term + 1)
    context.all = last + 1


def send_snapshot(context, term, last):
    snapshot = context.node.core.snapshot()
    snapshot.last_index, snapshot.last_term = last + 5, term
    snapshot.members.CopyFrom(context.node.core.replica._context.members)
    request = InstallSnapshot(term=term, leader=context.leader, snapshot=snapshot)
    context.group.deliver(context.node, context.node.life, MessageReceived(CONNECTION, request))
    append(context, term, last + 5, term)
    context.all = last + 5


def send_higher_term(context, term, last):
    append(context, term + 1, last, term)
    context.all, context.requests = last, 1


SENT = {
    "an entry": send_entry,
    "other entries": send_other_entries,
    "a snapshot": send_snapshot,
    "a higher term": send_higher_term,
}


@when("a follower whose disk hangs is sent {what}, and then a heartbeat")
def when_heartbeat(context, what):
    group = context.group
    group.run(1.0)
    leader = group.leader()
    name, _ = group.others(leader)
    context.leader, context.node = group.nodes[leader].core.replica.identity, group.nodes[name]
    for other in group.others(name):
        group.crash(other)
    group.run(0.05)
    context.node.hung = True
    log = context.node.core.replica._context.log
    context.held = log.last_index
    assert log.last_term == context.node.core.replica.term
    group.received.clear()
    context.requests = 2
    SENT[what](context, log.last_term, log.last_index)


def stated(context):
    answers = [output.message for output in context.group.received]
    answers = [answer for answer in answers if isinstance(answer, AppendAnswer)]
    assert all(answer.success for answer in answers), answers
    return [answer.match_index for answer in answers]


@then("it replies at once with {what}")
def then_at_once(context, what):
    held = [context.held]
    expected = {"what it held": held, "what it kept": held, "no entry": [0], "no reply": []}
    assert stated(context) == expected[what], stated(context)


@then("once its disk syncs it replies to each with all")
def then_later(context):
    before = len(stated(context))
    context.node.hung = False
    context.group.begin_write(context.node)
    context.group.run(0.1)
    assert stated(context)[before:] == [context.all] * context.requests, stated(context)


@given("a replica group of {size:d} of which one founder was down until the others have a snapshot")
def given_late_founder(context, size):
    group = context.group = SlowDiskGroup(size, 1, PLATFORM_ELECTION_SECONDS, SlowDisks(0.005))
    group.snapshot_every = 7
    for name in group.nodes:
        group.start(name)
    context.hung = list(group.nodes)[-1]
    founder = group.nodes[context.hung]
    while founder.core.replica._context.formatted is None or founder.writing:
        group.step()
    group.crash(context.hung)
    for number in range(2 * group.snapshot_every):
        group.accept(service_batch(f"w{number}", f"s{number}"))


@when("its disk hangs for {seconds:g} s as soon as it has the snapshot in memory")
def when_hangs_within_snapshot(context, seconds):
    group, founder = context.group, context.group.nodes[context.hung]
    group.start(context.hung)
    while not founder.core.replica._context.log.base_index:
        group.step()
    founder.hung = True
    context.seconds = seconds
    group.run(seconds)
    context.leader = group.leader()
    (context.sound,) = set(group.nodes) - {context.leader, context.hung}


@then("the leader refuses to remove the other follower, and takes the next write")
def then_not_removed(context):
    group, leader = context.group, context.leader
    sound = group.voters(leader)[context.sound]
    refused = group.ask(leader, ChangeMembersRequest(remove=sound))
    group.run(2.0)
    assert isinstance(group.answers[refused], Failure), group.answers[refused]
    written = group.ask(leader, service_batch("after", "after"))
    group.run(2.0)
    assert isinstance(group.answers.get(written), ApplyResponse), group.answers.get(written)
