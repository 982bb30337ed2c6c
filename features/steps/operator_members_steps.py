"""Steps for changes of the source's members, by the commands over gRPC."""

from __future__ import annotations

from behave import given, then, when
from cli_session import reach, run_command
from operator_client import call, open_channel
from operator_group import ServedGroup

from limelever.common.errors import ErrorKind, Failure
from limelever.protocol.operators_pb2 import ChangeMembersRequest, ChangeMembersResponse


@given("a replicated source of {size:d} that the command line reaches")
def given_replicated_source(context, size):
    context.served = ServedGroup(size)
    context.add_cleanup(context.served.stop)
    reach(context, context.served.addresses)


@given("the replicated source loses the first answer to a change of members")
def given_lost_change(context):
    lose_first_change(context, lambda: None)


@given("the replicated source loses the first answer to a change of members to another change")
def given_overtaken_change(context):
    group = context.served.group
    again = ChangeMembersRequest(request_id="another", add_learner="a")
    lose_first_change(context, lambda: group.answer(group.ask(group.leader(), again)))


def lose_first_change(context, overtake):
    lost = []

    def lose(answer):
        if lost or not isinstance(answer, ChangeMembersResponse):
            return answer
        lost.append(answer)
        overtake()
        return Failure(ErrorKind.WRITE_UNKNOWN, "the answer was lost")

    context.served.on_the_way = lose


@when('the replicated source loses the machine "{lost}" and gets the new machine "{new}"')
def when_replaced(context, lost, new):
    served = context.served
    served.lose_machine(lost)
    served.serve(new)
    with served.lock:
        served.group.replace_machine(lost, new)
    reach(context, served.addresses)


@when('the replicated source loses the machine "{name}"')
def when_lost(context, name):
    context.served.lose_machine(name)


@when('the replicated source loses the disk of "{name}" and starts it again')
def when_disk_lost(context, name):
    group = context.served.group
    with context.served.lock:
        group.crash(name)
        group.nodes[name].disk.lose()
        group.start(name)


@when('the operator promotes the learner "{name}"')
def when_promotes(context, name):
    group = context.served.group
    members = group.nodes[group.leader()].core.replica.status().members
    (identity,) = [item.identity for item in members if item.name == name]
    run_command(context, ["members", "promote", identity])


@when('the operator sees the members until "{name}" votes under a new identity')
def when_sees_members(context, name):
    for _ in range(20):
        run_command(context, ["members", "list"])
        lines = [line for line in context.result.output.splitlines() if f"member {name} (" in line]
        if len(lines) == 1 and ": voter" in lines[0] and f"{name}-first" not in lines[0]:
            return
    raise AssertionError(context.result.output)


@then('the replicated source has the voters "{names}"')
def then_voters(context, names):
    group = context.served.group
    voters = group.voters(group.wait_for_leader())
    assert sorted(voters) == names.split(), voters


@when("the gRPC client removes a replica under a malformed request id")
def when_malformed_id(context):
    open_channel(context, context.served.addresses.split(",")[0])
    request = ChangeMembersRequest(request_id="malformed", remove="c-first")
    call(context, "ChangeMembers", request, ChangeMembersResponse)
