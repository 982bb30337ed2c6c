"""Steps for the planned stop of a proxy's core."""

from __future__ import annotations

from behave import then, when
from behave.runner import Context

from limelever.common.stop_rule import StopBegan
from limelever.proxy.call_types import StopLimitNear, StopLimitReached, StopRequested


@when("the proxy is asked to stop")
def stop_proxy(context: Context) -> None:
    context.proxy.post(StopRequested())


@when(
    "the proxy's stop begins, with {seconds:g} seconds for answers, and it listens for {listens:g}"
)
def begin_stop(context: Context, seconds: float, listens: float) -> None:
    now = context.proxy.now
    context.proxy.post(StopBegan(now + seconds, now + listens))


@when("the proxy's stop limit is near")
def stop_limit_near(context: Context) -> None:
    context.proxy.post(StopLimitNear())


@when("the keepers confirm no recorded answer")
def keepers_confirm_nothing(context: Context) -> None:
    context.proxy.keepers_confirm = False


@then("the proxy has not finished stopping")
def not_stopped(context: Context) -> None:
    assert not context.proxy.stopped


@when("the proxy's stop limit is reached")
def stop_limit_reached(context: Context) -> None:
    context.proxy.post(StopLimitReached())


@then("the agent was told to cancel unless the call had begun")
def told_to_cancel_unless_begun(context: Context) -> None:
    assert context.proxy.cancels == 0 and context.proxy.cancels_unless_begun == 1


@then("the proxy has finished stopping")
def stopped(context: Context) -> None:
    assert context.proxy.stopped
