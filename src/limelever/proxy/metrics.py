"""Metrics of the proxy's calls."""

from __future__ import annotations

from limelever.common.errors import ErrorKind, Failure
from limelever.proxy.call_types import AnswerCall
from limelever.transport.instruments import Counter, Histogram

ANSWERED = "answered"

CALLS = Counter(
    "limelever_proxy_calls",
    "Calls by how they ended: answered, or the kind of the failure",
    ("kind",),
)
SECONDS = Histogram(
    "limelever_proxy_call_seconds",
    "Seconds from a request read whole to its final answer, by route and outcome",
    ("route", "outcome"),
    bounds=(0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0),
)
LIMITED = Counter(
    "limelever_proxy_limited_calls",
    "Calls refused by a tenant's limit, by tenant",
    ("tenant",),
)
TENANTS_LIMIT = 64
"""Tenants with a series of their own: the first that were refused."""

OTHER_TENANTS = "other"
ROUTES_LIMIT = 64
"""Routes with a series of their own: the first that were called."""

NO_ROUTE = "none"
OTHER_ROUTES = "other"
_ANSWERED_CALLS = CALLS.labels(ANSWERED)


_routes: set[str] = set()
_tenants: set[str] = set()


def count_answer(ended: AnswerCall) -> None:
    """Count the end of one call, and the time it took."""
    answer = ended.answer
    if isinstance(answer, Failure):
        CALLS.labels(answer.kind.value).inc()
        outcome = answer.outcome.value
        if answer.kind is ErrorKind.RATE_LIMITED:
            _count_limited(answer)
    else:
        _ANSWERED_CALLS.inc()
        outcome = ANSWERED
    SECONDS.labels(_route_label(ended.route), outcome).observe(ended.seconds)


def _count_limited(refusal: Failure) -> None:
    """Count a refusal by limit; the number of labels is bounded."""
    for tenant in refusal.resources:
        if tenant not in _tenants and len(_tenants) >= TENANTS_LIMIT:
            LIMITED.labels(OTHER_TENANTS).inc()
        else:
            _tenants.add(tenant)
            LIMITED.labels(tenant.removeprefix("tenant/")).inc()


def _route_label(route: str) -> str:
    """Return the label of a route; the number of labels is bounded."""
    if not route:
        return NO_ROUTE
    if route not in _routes:
        if len(_routes) >= ROUTES_LIMIT:
            return OTHER_ROUTES
        _routes.add(route)
    return route
