"""Steps for data that comes on an HTTP/2 stream after one side has ended it."""

from __future__ import annotations

from behave import then, when
from h2.errors import ErrorCodes
from http2_caller import Http2Caller
from transport_edge_steps import HELD
from transport_server import wait_for

KIBIBYTE = 1 << 10
GIBIBYTE = 1 << 30
OK = 200


def start_call(context):
    context.caller = Http2Caller(context.edge.server.address)
    context.add_cleanup(context.caller.close)
    context.in_flight = context.caller.send(HELD.decode())
    assert wait_for(lambda: len(context.edge.held) == 1)


@when(
    "a caller over HTTP/2 has a call in flight beside a body of {size:d} GiB"
    " that was refused with {status:d}"
)
def when_refused(context, size, status):
    start_call(context)
    context.upload = context.caller.announce(size * GIBIBYTE)
    assert context.caller.status(context.upload) == status


@when("it sends {size:d} KiB of that body all the same")
def when_sent(context, size):
    context.caller.send_body(context.upload, size * KIBIBYTE)


@when(
    "a caller over HTTP/2 has a call in flight beside another on which it sends data behind the end"
)
def when_behind_end(context):
    start_call(context)
    context.other = context.caller.send(HELD.decode())
    assert wait_for(lambda: len(context.edge.held) == 2)
    context.caller.send_after_end(context.other)


@when(
    "a caller over HTTP/2 has a call in flight, and sends data on the stream of one that has ended"
)
def when_on_ended(context):
    start_call(context)
    ended = context.caller.send("/")
    assert context.caller.status(ended) == OK
    context.caller.send_after_end(ended)


@then("the other call is reset with STREAM_CLOSED")
def then_reset(context):
    assert context.caller.reset_code(context.other) == ErrorCodes.STREAM_CLOSED
    assert wait_for(lambda: len(context.edge.gone) == 1)


@then("its call in flight is answered, and its next one")
def then_answered(context):
    context.edge.release()
    assert context.caller.status(context.in_flight) == OK
    assert context.caller.status(context.caller.send("/")) == OK
