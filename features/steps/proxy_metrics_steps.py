"""Steps for the metrics of a proxy's calls."""

from __future__ import annotations

from behave import then, when

from limelever.common.errors import ErrorKind, Failure
from limelever.proxy.call_types import AnswerCall, CallAnswer
from limelever.proxy.metrics import MAX_ROUTE_SERIES, OTHER_ROUTES, count_answer
from limelever.transport.exposition import REGISTRY

OK = CallAnswer(200, (), b"")


def observed_calls(route: str, outcome: str) -> float:
    labels = {"route": route, "outcome": outcome}
    return REGISTRY.get_sample_value("limelever_proxy_call_seconds_count", labels) or 0.0


@when("a call on route metrics-a is answered after {seconds:g} seconds and one is refused")
def when_counted(context, seconds):
    count_answer(AnswerCall(1, OK, "metrics-a", seconds))
    count_answer(AnswerCall(2, Failure(ErrorKind.OVERLOADED, "full"), "metrics-a", 0.0))


@then("the histogram of route metrics-a holds one answered call below {bound} s and one not run")
def then_counted(context, bound):
    labels = {"route": "metrics-a", "outcome": "answered", "le": bound}
    assert REGISTRY.get_sample_value("limelever_proxy_call_seconds_bucket", labels) == 1.0
    assert observed_calls("metrics-a", "not-run") == 1.0


@when("calls on {number:d} routes more than the series limit are answered")
def when_many(context, number):
    context.before = observed_calls(OTHER_ROUTES, "answered")
    for route in range(MAX_ROUTE_SERIES + number):
        count_answer(AnswerCall(route, OK, f"metrics-route-{route}", 0.1))


@then("at least {number:d} of them are counted under other routes")
def then_others(context, number):
    assert observed_calls(OTHER_ROUTES, "answered") - context.before >= number
