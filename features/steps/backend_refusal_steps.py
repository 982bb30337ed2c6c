"""Steps for requests that the back end refuses without running them."""

from __future__ import annotations

from agent_harness import PROXY_CONNECTION
from behave import then, when
from behave.runner import Context

from limelever.agent.interface import AttemptFailed
from limelever.common.errors import ErrorKind, Failure
from limelever.protocol.calls_pb2 import CallFailed

REFUSED = Failure(ErrorKind.BACKEND_REFUSED, "backend refused the request with status 503")


@when("the back end refuses agent stream {stream:d} without running it")
def refuse(context: Context, stream: int) -> None:
    attempt = context.agent.attempt_of(stream)
    context.agent.handle(AttemptFailed(attempt, REFUSED, sent_any_byte=True, refused=True))


def retry_ms(context: Context, stream: int) -> int:
    sent = context.agent.sent(PROXY_CONNECTION, CallFailed)
    return next(message.retry_after_ms for message in sent if message.stream == stream)


@then("agent stream {stream:d} is told to retry after at most {milliseconds:d} ms")
def retries_at_most(context: Context, stream: int, milliseconds: int) -> None:
    assert 0 < retry_ms(context, stream) <= milliseconds


@then("agent stream {stream:d} is told to retry after at least {milliseconds:d} ms")
def retries_at_least(context: Context, stream: int, milliseconds: int) -> None:
    assert retry_ms(context, stream) >= milliseconds
