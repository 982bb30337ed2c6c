"""Metrics of the proxy's calls."""

from __future__ import annotations

from limelever.common.errors import ErrorKind, Failure
from limelever.proxy.allowed_regions import is_region_refusal
from limelever.proxy.call_types import AnswerCall
from limelever.transport.instruments import Counter, Gauge, Histogram

ANSWERED = "answered"

CALLS = Counter(
    "limelever_proxy_calls",
    "Calls by how they ended: answered, or the kind of the failure",
    ("kind",),
)
CALL_SECONDS = Histogram(
    "limelever_proxy_call_seconds",
    "Seconds from a request read whole to its final answer, by route and outcome",
    ("route", "outcome"),
    bounds=(0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0),
)
LIMITED_CALLS = Counter(
    "limelever_proxy_limited_calls",
    "Calls refused by a tenant's limit, by tenant",
    ("tenant",),
)
DRAINED_ZONES = Gauge(
    "limelever_proxy_drained_zones", "Zones to which this proxy sends no call because of a drain"
)
SUSPECT_LINKS = Gauge(
    "limelever_proxy_suspect_links", "Links to agents that are silent and leave probes unanswered"
)
REGION_CALLS = Counter(
    "limelever_proxy_region_calls",
    "Calls by where the endpoint of the last attempt is: own-zone, own-region, other-region",
    ("place",),
)
REGION_REFUSALS = Counter(
    "limelever_proxy_region_refusals",
    "Calls refused because no endpoint is in a region where they may run",
)
MAX_TENANT_SERIES = 64
"""Limit on tenant label values; later tenants are counted as ``OTHER_TENANTS``."""

OTHER_TENANTS = "other"
MAX_ROUTE_SERIES = 64
"""Limit on route label values; later routes are counted as ``OTHER_ROUTES``."""

NO_ROUTE = "none"
OTHER_ROUTES = "other"
_ANSWERED_CALLS = CALLS.labels(ANSWERED)


_labelled_routes: set[str] = set()
_labelled_tenants: set[str] = set()


def count_answer(ended: AnswerCall) -> None:
    """Record the result and the duration of a call."""
    answer = ended.answer
    if isinstance(answer, Failure):
        CALLS.labels(answer.kind.value).inc()
        outcome = answer.outcome.value
        if answer.kind is ErrorKind.RATE_LIMITED:
            _count_limited_call(answer)
        elif is_region_refusal(answer):
            REGION_REFUSALS.only.inc()
    else:
        _ANSWERED_CALLS.inc()
        outcome = ANSWERED
    if ended.place:
        REGION_CALLS.labels(ended.place.value).inc()
    CALL_SECONDS.labels(_route_label(ended.route), outcome).observe(ended.seconds)


def _count_limited_call(refusal: Failure) -> None:
    """Count a call refused by a tenant's limit; bounds the number of label values."""
    for tenant in refusal.resources:
        if tenant not in _labelled_tenants and len(_labelled_tenants) >= MAX_TENANT_SERIES:
            LIMITED_CALLS.labels(OTHER_TENANTS).inc()
        else:
            _labelled_tenants.add(tenant)
            LIMITED_CALLS.labels(tenant.removeprefix("tenant/")).inc()


def _route_label(route: str) -> str:
    """Return the label value of a route; bounds the number of label values."""
    if not route:
        return NO_ROUTE
    if route not in _labelled_routes:
        if len(_labelled_routes) >= MAX_ROUTE_SERIES:
            return OTHER_ROUTES
        _labelled_routes.add(route)
    return route
