"""Steps for replicas whose admission was never committed."""

from __future__ import annotations

from behave import given, then
from rejoining_steps import learner_names, start_newcomer
from seeded_group_steps import SEEDS

NEWCOMER = "newcomer:1"


def lead_by_seed(group):
    """Return the leader, which a newcomer can reach first."""
    leader = group.wait_for_leader()
    while leader not in map(str, SEEDS):
        group.crash(leader)
        group.run_until(lambda former=leader: group.leader() not in (None, former), "a leader")
        group.start(leader)
        leader = group.wait_for_leader()
    return leader


def is_learner_by_own_log(group):
    core = group.nodes[NEWCOMER].core
    identity = core.replica.identity
    return identity in {member.identity for member in core.replica.status().members}


@given("a seeded group of 5 whose leader admitted a replica and was replaced before the commit")
def given_lost_admission(context):
    context.execute_steps("Given a seeded group of 5")
    group = context.group
    leader = lead_by_seed(group)
    followers = group.others(leader)
    start_newcomer(context, NEWCOMER)
    for name in (leader, NEWCOMER):
        group.cut |= {frozenset((name, follower)) for follower in followers}
    group.run_until(lambda: is_learner_by_own_log(group), "the newcomer holds its admission")
    group.run_until(lambda: group.leader() in followers, "another leads")
    context.identity = group.nodes[NEWCOMER].core.replica.identity


@then("it is admitted as a learner under the identity that it had")
def then_admitted(context):
    group = context.group
    group.run_until(lambda: NEWCOMER in learner_names(group), "the newcomer learns")
    assert group.nodes[NEWCOMER].core.replica.identity == context.identity
