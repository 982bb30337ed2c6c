"""Steps for strangers that connect to a listener for links and say no hello."""

from __future__ import annotations

from behave import given, then, when
from transport_server import LinkServer, PlainClient


@given(
    "a link server with {connections:d} connections, {without:d} of which may be without a hello"
)
def given_server(context, connections, without):
    context.link_server = LinkServer(connections, hello_connections=without)
    context.add_cleanup(context.link_server.stop)


@when("{count:d} strangers connect one after the other and say nothing")
def when_silent(context, count):
    context.strangers = []
    for _ in range(count):
        stranger = PlainClient(context.link_server.address)
        context.add_cleanup(stranger.close)
        context.strangers.append(stranger)


@then("the link server has closed the first {count:d} strangers without an answer")
def then_first_closed(context, count):
    assert [each.receive() for each in context.strangers[:count]] == [None] * count


@then("the last {count:d} strangers get an answer when their time is over")
def then_last_answered(context, count):
    answers = [each.receive() for each in context.strangers[-count:]]
    assert all(answer and not answer.accepted for answer in answers), answers
