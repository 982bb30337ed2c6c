"""Steps for replicas that a group went on without, and that come back."""

from __future__ import annotations

from behave import given, then, when
from replication_node import Node


def voter_names(group):
    return set(group.voters(group.leader())) if group.leader() else set()


def learner_names(group):
    leader = group.leader()
    if leader is None:
        return set()
    members = group.nodes[leader].core.replica.status().members
    return {member.name for member in members if not member.voter}


def follower(group):
    leader = group.wait_for_leader()
    return next(name for name in sorted(group.voters(leader)) if name != leader)


def start_newcomer(context, name):
    context.group.nodes[name] = Node(name)
    context.group.start(name)


@given("a seeded group of 5 that replaced a replica which is cut off")
def given_replaced(context):
    context.execute_steps("Given a seeded group of 5")
    group = context.group
    context.returned = follower(group)
    context.former_identity = group.nodes[context.returned].core.replica.identity
    group.isolate(context.returned)
    start_newcomer(context, "newcomer:1")
    group.cut |= {frozenset((context.returned, "newcomer:1"))}
    group.run_until(lambda: "newcomer:1" in voter_names(group), "the newcomer votes")
    group.run_until(lambda: context.returned not in voter_names(group), "the cut-off one is gone")
    group.write()


@given("a seeded group of 5 with a learner that was silent for too long")
def given_silent_learner(context):
    context.execute_steps("Given a seeded group of 5")
    group = context.group
    context.returned = "newcomer:1"
    start_newcomer(context, context.returned)
    group.run_until(lambda: context.returned in learner_names(group), "the newcomer learns")
    group.run(1.0)
    context.former_identity = group.nodes[context.returned].core.replica.identity
    group.isolate(context.returned)
    group.run_until(lambda: context.returned not in learner_names(group), "the learner is gone")
    group.write()


@given("a seeded group of 5 with a replica that is cut off")
def given_cut_off(context):
    context.execute_steps("Given a seeded group of 5")
    group = context.group
    context.returned = follower(group)
    context.former_identity = group.nodes[context.returned].core.replica.identity
    group.isolate(context.returned)
    group.run(10.0)
    group.write()


@when("that replica can be reached again")
def when_returns(context):
    context.group.cut.clear()


@when("that replica is restarted where it can be reached again")
def when_restarts(context):
    context.group.crash(context.returned)
    context.group.cut.clear()
    context.group.start(context.returned)


@then("it is a learner under a new identity")
def then_learner(context):
    group = context.group
    group.run_until(lambda: context.returned in learner_names(group), "it learns again")
    identity = group.nodes[context.returned].core.replica.identity
    assert identity != context.former_identity, identity


@then("it votes under the identity that it had")
def then_same(context):
    group = context.group
    group.run(10.0)
    assert context.returned in voter_names(group)
    assert group.nodes[context.returned].core.replica.identity == context.former_identity


@then("it takes the place of the next machine that is gone")
def then_takes_place(context):
    group = context.group
    leader = group.wait_for_leader()
    gone = next(name for name in sorted(group.voters(leader)) if name != leader)
    group.crash(gone)
    del group.nodes[gone]
    group.run_until(lambda: context.returned in voter_names(group), "it votes again")
    group.write()
