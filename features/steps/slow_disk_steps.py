"""Steps for elections on slow disks, in virtual time."""

from __future__ import annotations

from statistics import median

from behave import then, when
from slow_disk_group import SlowDisks, measure

from limelever.common.sansio import MessageReceived
from limelever.protocol.replication_pb2 import ElectNow, HardState, VoteAnswer
from limelever.source.replication.persistence import HARD_STATE_FILE

ATTEMPTS = 3
"""Attempts within which each group has a leader: two may be lost to candidates side by side."""

FIRST_CONTACT = 1.0
"""Seconds until replicas that start at once know of each other: links and the join interval."""

ELECTIONS = ("first start", "restart of all", "loss of the leader")


def elect(context, size, seeds, timeout, disks):
    context.attempt = 2 * timeout + 2 * disks.seconds
    context.first_extra = FIRST_CONTACT + disks.seconds
    rows = [measure(size, seed, timeout, disks) for seed in range(1, seeds + 1)]
    context.seconds = dict(zip(ELECTIONS, zip(*rows, strict=True), strict=True))


@when(
    "groups of {size:d} elect under {seeds:d} seeds with an election timeout of {timeout:g} s"
    " on disks that sync in {sync:g} s"
)
def when_all_slow(context, size, seeds, timeout, sync):
    elect(context, size, seeds, timeout, SlowDisks(sync))


@when(
    "groups of {size:d} elect under {seeds:d} seeds with an election timeout of {timeout:g} s,"
    " {slow:d} disks syncing in {sync:g} s"
)
def when_some_slow(context, size, seeds, timeout, slow, sync):
    elect(context, size, seeds, timeout, SlowDisks(sync, slow=slow))


@when(
    "groups of {size:d} elect under {seeds:d} seeds with an election timeout of {timeout:g} s"
    " on disks that sync in up to {sync:g} s"
)
def when_drawn(context, size, seeds, timeout, sync):
    elect(context, size, seeds, timeout, SlowDisks(sync, drawn=True))


@then("half of the groups have a leader after one attempt, and all after three")
def then_bounded(context):
    failures = []
    for election, seconds in context.seconds.items():
        extra = context.first_extra if election == "first start" else 0.0
        if median(seconds) > context.attempt + extra:
            failures.append(f"{election}: half within {median(seconds):.2f} s")
        if max(seconds) > ATTEMPTS * context.attempt + extra:
            seed = seconds.index(max(seconds)) + 1
            failures.append(f"{election}: {max(seconds):.2f} s with seed {seed}")
    assert not failures, (context.attempt, failures)


def deliver(context, message):
    group, node = context.group, context.candidate
    group.deliver(node, node.life, MessageReceived(next(iter(node.links)), message))


def stand(context):
    """Let a follower stand for election at once, in the next term."""
    group = context.group
    context.candidate = group.nodes[group.others(context.leader)[0]]
    context.term = context.candidate.core.replica.term + 1
    deliver(context, ElectNow(term=context.term - 1))


@when("a follower whose disk hangs is asked to stand for election")
def when_hung_stands(context):
    group = context.group
    group.run(0.1)
    group.nodes[group.others(context.leader)[0]].hung = True
    stand(context)
    group.run(0.1)


@then("the others vote for it and it doesn't lead")
def then_voted(context):
    replica = context.candidate.core.replica
    for node in context.group.nodes.values():
        state = HardState.FromString(node.disk.recovered.files[HARD_STATE_FILE])
        voted = (state.term, state.voted_for) == (context.term, replica.identity)
        assert voted == (node is not context.candidate), (node.name, state)
    assert not replica.leading


@then("it leads once its disk syncs")
def then_leads(context):
    group, node = context.group, context.candidate
    node.hung = False
    group.begin_write(node)
    group.run(0.1)
    assert node.core.replica.leading
    assert node.core.replica.term == context.term


@when("the leader is cut off until it asks for pre-votes")
def when_cut_off(context):
    group = context.group
    context.candidate = group.nodes[context.leader]
    context.term = context.candidate.core.replica.term
    group.isolate(context.leader)
    group.run(5.0)
    assert context.candidate.core.replica.term == context.term


@when("the others' votes for its term reach it once more")
def when_votes_again(context):
    for name in context.group.others(context.leader):
        voter = context.group.nodes[name].core.replica.identity
        deliver(context, VoteAnswer(term=context.term, granted=True, voter=voter))


@then("it doesn't lead")
def then_not_leading(context):
    assert not context.candidate.core.replica.leading


@when("a follower stands for election while the disks of the others sync in {sync:g} s")
def when_others_slow(context, sync):
    group = context.group
    group.run(0.1)
    quick = group.others(context.leader)[0]
    group.sync_seconds = lambda node: 0.005 if node.name == quick else sync
    stand(context)
    group.run(sync + 0.1)


@then("that follower leads in the term for which it stood")
def then_leads_in_term(context):
    replica = context.candidate.core.replica
    assert (replica.leading, replica.term) == (True, context.term), replica.term
