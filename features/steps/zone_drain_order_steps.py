"""Steps for orders that drain a zone, at a group of replicas in virtual time."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from types import SimpleNamespace

import trio
import trio.testing
from behave import given, then, when
from replication_group import SEALER, Group, service_batch

from limelever.common.errors import ErrorKind, Failure
from limelever.control.zone_drain_store import ZoneDrainStore
from limelever.protocol.operators_pb2 import ApplyRequest
from limelever.source.operator_door import RequestChecks

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "platform"))

from evacuation_calls import answer_evacuations  # noqa: E402
from http_calls import Call  # noqa: E402

LOST = Failure(ErrorKind.WRITE_UNKNOWN, "the answer was lost")


class GroupDesk:
    """Passes requests to a replica, by default to the leader; may lose answers and leaders."""

    def __init__(self, group):
        self.group = group
        self.at = None
        self.loses_answers = False
        self.loses_leader = False
        self.changes_before_writes = 0
        self.both_have_read = None

    async def ask(self, request):
        writes = isinstance(request, ApplyRequest)
        if writes and self.both_have_read is not None:
            await self.both_have_read.wait()
        if writes and self.changes_before_writes:
            self.group.accept(service_batch("other", "other"))
        name = self.at or self.group.wait_for_leader()
        answer = self.group.answer(self.group.ask(name, request))
        if writes and self.both_have_read is not None:
            self.both_have_read.wrote()
        if writes and self.loses_leader:
            self.group.run(0.5)
            self.group.crash(name)
        return LOST if writes and (self.loses_answers or self.loses_leader) else answer


class BothHaveRead:
    """Releases two writers, in the order of their arrival, once both have read."""

    def __init__(self):
        self._arrived = 0
        self._second_came = trio.Event()
        self._first_wrote = trio.Event()

    async def wait(self):
        self._arrived += 1
        if self._arrived == 1:
            await self._second_came.wait()
        else:
            self._second_came.set()
            await self._first_wrote.wait()

    def wrote(self):
        self._first_wrote.set()


def listed(names):
    return {name.strip(): "north" for name in names.split(",")}


def use_zones(context, zones):
    context.store = ZoneDrainStore(context.desk, RequestChecks(SEALER), zones)


def version(context):
    return context.group.version(context.group.wait_for_leader())


def order(context, zone, operator="anna"):
    context.version = version(context)
    context.result = trio.run(context.store.start, zone, operator)


@given('three control processes that know the zones "{zones}"')
def given_group(context, zones):
    context.group = Group(3)
    context.group.found()
    context.desk = GroupDesk(context.group)
    use_zones(context, listed(zones))


@when('the settings list only the zones "{zones}"')
def when_zones(context, zones):
    use_zones(context, listed(zones))


@when("the settings list no zones")
def when_no_zones(context):
    use_zones(context, {})


@when('the zone "{zone}" is ordered to be drained by "{operator}"')
def when_ordered(context, zone, operator):
    order(context, zone, operator)


@when('the drain of the zone "{zone}" is withdrawn')
def when_withdrawn(context, zone):
    context.version = version(context)
    context.result = trio.run(context.store.withdraw, zone)


@when('the zone "{zone}" is ordered to be drained and the answer is lost')
def when_answer_lost(context, zone):
    context.desk.loses_answers = True
    order(context, zone)
    context.desk.loses_answers = False
    assert context.result is LOST


@when("the same order is sent to a follower")
def when_at_follower(context):
    leader = context.group.wait_for_leader()
    context.desk.at = context.group.others(leader)[0]
    order(context, "east")
    context.desk.at = None


@when('the zone "{zone}" is ordered to be drained and the leader is lost after the commit')
def when_leader_lost(context, zone):
    context.desk.loses_leader = True
    order(context, zone)
    context.desk.loses_leader = False


def at_once(context, *orders):
    results = [LOST] * len(orders)

    async def run(index, call, *arguments):
        results[index] = await call(*arguments)

    async def main():
        context.desk.both_have_read = BothHaveRead()
        async with trio.open_nursery() as nursery:
            for index, arguments in enumerate(orders):
                nursery.start_soon(run, index, *arguments)
                await trio.testing.wait_all_tasks_blocked()

    trio.run(main)
    context.desk.both_have_read = None
    context.results = results


@when('"{first}" and "{second}" order the zone "{zone}" to be drained at once')
def when_two_order(context, first, second, zone):
    start = context.store.start
    at_once(context, (start, zone, first), (start, zone, second))


@when('two operators withdraw the drain of the zone "{zone}" at once')
def when_two_withdraw(context, zone):
    withdraw = context.store.withdraw
    at_once(context, (withdraw, zone), (withdraw, zone))


@when('the configuration changes before each write, and the zone "{zone}" is ordered to be drained')
def when_changes(context, zone):
    context.desk.changes_before_writes = 1
    order(context, zone)


def cut_off_leader(context):
    leader = context.group.wait_for_leader()
    context.group.isolate(leader)
    context.desk.at = leader


@when('the leader is cut off and the zone "{zone}" is ordered to be drained there')
def when_cut_off(context, zone):
    context.version = version(context)
    cut_off_leader(context)
    context.result = trio.run(context.store.start, zone, "anna")


@when("all control processes are killed and started again")
def when_restarted(context):
    context.group.run(1.0)
    for name in context.group.nodes:
        context.group.crash(name)
    for name in context.group.nodes:
        context.group.start(name)
    context.group.wait_for_leader()


@then("the order is accepted")
def then_accepted(context):
    assert context.result is None, context.result


@then("both orders are accepted")
def then_both(context):
    assert context.results == [None, None], context.results


@then('the order is refused as "{kind}" naming the leader')
def then_refused_naming(context, kind):
    then_refused(context, kind)
    assert context.result.leader_address == f"{context.group.wait_for_leader()}:2"


@then('the order is refused as "{kind}"')
def then_refused(context, kind):
    assert isinstance(context.result, Failure) and context.result.kind.value == kind, context.result


@then("the second order made no version")
def then_no_version(context):
    assert version(context) == context.version, (version(context), context.version)


def drained(context):
    found = trio.run(context.store.list)
    assert not isinstance(found, Failure), found
    return [(each.resource.zone_drain.zone, each.resource.zone_drain.ordered_by) for each in found]


@then('the drained zones are "{zone}", ordered by "{operator}"')
def then_drained(context, zone, operator):
    assert drained(context) == [(zone, operator)], drained(context)


@then("no zone is drained")
def then_none(context):
    assert drained(context) == [], drained(context)


def send(context, method, path, body=""):
    door = SimpleNamespace(zone_drains=context.store)
    return trio.run(answer_evacuations, door, Call(method, path, body.encode()))


@then("the platform's orders are answered")
def then_answered(context):
    for row in context.table:
        answer = send(context, row["method"], row["path"], row["body"])
        assert answer.status == int(row["status"]), (row, answer)
        assert answer.status == 200 or json.loads(answer.body)["reason"], answer


@then("the platform's order at a follower is answered 307 with its own path at the leader")
def then_redirected(context):
    leader = context.group.wait_for_leader()
    context.desk.at = context.group.others(leader)[0]
    answer = send(context, "POST", "/v1/evacuate/west")
    location = f"http://{leader}:2/v1/evacuate/west".encode()
    assert (answer.status, answer.headers) == (307, ((b"location", location),)), answer


@then("the platform's order at a leader that is cut off is answered 503")
def then_unavailable(context):
    context.desk.at = None
    cut_off_leader(context)
    assert send(context, "POST", "/v1/evacuate/west").status == 503
