"""Steps for a group without a leader, and what it reports."""

from __future__ import annotations

from behave import then, when

from limelever.source import events


def reports(group):
    return [fields for _, code, fields in group.logged if code == events.LEADER_MISSING]


@then("no replica of a group has reported a missing leader")
def then_none_reported(context):
    assert not reports(context.group), reports(context.group)


@when("all replicas of a group but the leader are killed, and it is started again")
def when_alone(context):
    group = context.group
    leader = group.wait_for_leader()
    for name in group.nodes:
        group.crash(name)
    group.start(leader)


@then(
    "it reports a missing leader with {supporters:d} supporter of {voters:d} voters "
    "and {links:d} links"
)
def then_reported(context, supporters, voters, links):
    group = context.group
    group.run_until(lambda: reports(group), "a missing leader is reported")
    found = reports(group)[0]
    expected = {"supporters": supporters, "voters": voters, "links": links}
    assert {name: found[name] for name in expected} == expected, found
