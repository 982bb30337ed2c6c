"""Steps for the desk between operators' interfaces and a replica's core."""

from __future__ import annotations

import trio
import trio.testing
from behave import given, then, when

from limelever.protocol.operators_pb2 import ApplyRequest, GetRevisionRequest
from limelever.source.operator_desk import OperatorDesk

ANSWER_SECONDS = 2.0


class SilentRunner:
    """A core's runner that takes everything and answers nothing."""

    def post(self, event):
        """Take an event."""


@given("a desk before a core that answers nothing")
def given_silent_core(context):
    context.desk = OperatorDesk()
    context.desk.open(SilentRunner())


@given("a desk before no core")
def given_no_core(context):
    context.desk = OperatorDesk()


@when("operators ask it for a write and a read, and the replica stops")
def when_replica_stops(context):
    context.answers = {}
    trio.run(ask_and_close, context.desk, context.answers)


async def ask_and_close(desk, answers):
    async def ask(name, request):
        answers[name] = await desk.ask(request)

    with trio.fail_after(ANSWER_SECONDS):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask, "write", ApplyRequest())
            nursery.start_soon(ask, "read", GetRevisionRequest())
            await trio.testing.wait_all_tasks_blocked()
            desk.close()


@then('the write is answered with "{write}" and the read with "{read}"')
def then_answered(context, write, read):
    kinds = {name: answer.kind.value for name, answer in context.answers.items()}
    assert kinds == {"write": write, "read": read}, kinds


@then('a read there is answered with "{kind}"')
def then_refused(context, kind):
    answer = trio.run(context.desk.ask, GetRevisionRequest())
    assert answer.kind.value == kind, answer
