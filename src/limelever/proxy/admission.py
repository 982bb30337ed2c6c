"""Admission control: routes and authenticates an incoming call, validates it and applies limits.

A call that fails any of these checks is answered at once, without being sent to an endpoint.
"""

from __future__ import annotations

import math
import random

from msgspec import Struct, field

from limelever.common.errors import ErrorKind, Failure
from limelever.common.stop_rule import StopRule
from limelever.proxy.allowed_regions import allowed_regions, region_refusal
from limelever.proxy.api_key_auth import ApiKeyHeader, authenticate
from limelever.proxy.call_state import Call
from limelever.proxy.call_types import CallRequest
from limelever.proxy.call_validation import validate_call
from limelever.proxy.group_limits import GroupLimits, ShareKey
from limelever.proxy.prior_waits import PriorWaitEstimator
from limelever.proxy.router import RouteDestination, RouteEntry, RouteTable
from limelever.proxy.tenant_limits import TenantLimits
from limelever.proxy.tenants import TenantEntry
from limelever.proxy.traffic_split import TrafficSplitter

MIN_CONFIGURATION_RETRY_SECONDS = 0.25
"""Shortest retry delay while the proxy waits for its configuration; a proxy that has just started
usually receives one sooner."""

MAX_CONFIGURATION_RETRY_SECONDS = 1.0
"""Longest such delay; the configuration source elects a new leader in less time."""

PROXY_STOPPING = Failure(ErrorKind.DRAINING, "the proxy is shutting down; the call was not started")

_TABLE_DEPENDENT_KINDS = frozenset(
    {
        ErrorKind.NO_ROUTE,
        ErrorKind.METHOD_NOT_ALLOWED,
        ErrorKind.BODY_TOO_LARGE,
        ErrorKind.IDEMPOTENCY_KEY_MISSING,
        ErrorKind.UNAUTHENTICATED,
    }
)
"""Permanent refusals that a newer configuration may reverse."""

_DESTINATION_KINDS = frozenset(
    {ErrorKind.BODY_TOO_LARGE, ErrorKind.OVERLOADED, ErrorKind.SHARE_EXHAUSTED, ErrorKind.STALE}
)
"""Refusals that another destination of a split may not give: the refused call keeps its turn, so
that the next call goes to the next destination. ``STALE`` may stand for ``BODY_TOO_LARGE``."""


class AdmissionSettings(Struct, frozen=True):
    """Admission settings; times in seconds.

    ``default_timeout`` applies to routes without a timeout of their own. ``stale_after`` is the age
    of the last confirmation from which refusals based on the route table become ``STALE``.
    ``revoked_after`` is the age of that confirmation from which API keys are no longer accepted,
    because they may have been revoked since; 0 accepts them at any age. ``key_header`` is the
    header that carries the caller's API key.
    """

    default_timeout: float = 10.0
    stale_after: float = 8.0
    revoked_after: float = 0.0
    key_header: ApiKeyHeader = field(default_factory=ApiKeyHeader)


class CallAdmission:
    """Admits or refuses incoming calls.

    ``confirmed_at`` is when the current table was last confirmed to be up to date (seconds,
    monotonic), ``None`` for never.
    """

    def __init__(
        self,
        settings: AdmissionSettings,
        limits: GroupLimits,
        tenant_limits: TenantLimits,
        random_source: random.Random,
        stop_rule: StopRule,
    ) -> None:
        self._settings = settings
        self._limits = limits
        self._tenant_limits = tenant_limits
        self._splitter = TrafficSplitter(random_source)
        self._prior_waits = PriorWaitEstimator()
        self._table: RouteTable | None = None
        self._without_table_since: float | None = None
        self._stopping = False
        self._stop_rule = stop_rule
        self.confirmed_at: float | None = None

    @property
    def version(self) -> int:
        """Return the configuration version of the route table, 0 if there is none."""
        return self._table.version if self._table is not None else 0

    def set_table(self, table: RouteTable) -> None:
        """Route calls by this table from now on, and drop the state of removed routes."""
        self._table = table
        self._splitter.keep_only(table.route_names())
        self._prior_waits.keep_only(table.route_names())

    def table_confirmed(self, at: float) -> None:
        """Record when the table was last confirmed to be up to date (seconds, monotonic)."""
        self.confirmed_at = at

    def stop(self) -> None:
        """Refuse all further calls because the process is shutting down."""
        self._stopping = True

    def admit(self, number: int, request: CallRequest, now: float) -> Call | Failure:
        """Return the admitted call, counted against the limits, or the refusal."""
        if self._stopping:
            return PROXY_STOPPING
        if self._table is None:
            return self._without_table(now)
        route = self._table.match(request.method, request.target, request.host)
        if isinstance(route, Failure):
            return refusal_or_stale(route, self.confirmed_at, self._settings, now)
        tenant = self._authenticate(self._table, route, request, now)
        if isinstance(tenant, Failure):
            return refusal_or_stale(tenant, self.confirmed_at, self._settings, now)
        destination = self._splitter.choose(route)
        call = self._admit_to(destination, self._table, route, tenant, number, request, now)
        if isinstance(call, Failure) and call.kind not in _DESTINATION_KINDS:
            self._splitter.give_back(route, destination)
        return call

    def _admit_to(
        self,
        destination: RouteDestination,
        table: RouteTable,
        route: RouteEntry,
        tenant: TenantEntry | None,
        number: int,
        request: CallRequest,
        now: float,
    ) -> Call | Failure:
        regions = allowed_regions(route, tenant)
        refusal = region_refusal(route, tenant, regions) or validate_call(
            request, route, destination
        )
        if refusal is not None:
            return refusal_or_stale(refusal, self.confirmed_at, self._settings, now)
        deadline = now + call_timeout(request, route, self._settings)
        if self._stop_rule.refuses(route.name, deadline, now):
            return PROXY_STOPPING
        target = now + route.target_latency if route.target_latency else math.inf
        target -= self._prior_waits.observe(route.name, request.timeout)
        if tenant is not None:
            refusal = self._tenant_limits.admit(tenant, now, is_late=target <= now)
            if refusal is not None:
                return refusal
        share = ShareKey(destination.service, request.group)
        refusal = self._limits.admit(share, table.weight(destination.service, request.group))
        if refusal is not None:
            self._refund_tenant(tenant, now)
            return refusal
        return Call(
            number,
            request,
            route,
            destination,
            share,
            deadline,
            target,
            arrived_at=now,
            version=table.version,
            tenant=tenant.name if tenant is not None else "",
            rank=table.ranks.rank(route.priority, tenant.priority if tenant else 0),
            allowed_regions=regions,
        )

    def _refund_tenant(self, tenant: TenantEntry | None, now: float) -> None:
        if tenant is not None:
            self._tenant_limits.refund(tenant.name, now, now)

    def _authenticate(
        self, table: RouteTable, route: RouteEntry, request: CallRequest, now: float
    ) -> TenantEntry | Failure | None:
        """Return the tenant of the call, ``None`` if the route needs no API key."""
        if not table.tenants or route.public:
            return None
        tenant = authenticate(request.headers, self._settings.key_header, table.tenants)
        if isinstance(tenant, Failure):
            return tenant
        return self._check_revocation(tenant, now)

    def _check_revocation(self, tenant: TenantEntry, now: float) -> TenantEntry | Failure:
        """Return the tenant, or ``STALE`` if its key may have been revoked unnoticed."""
        max_age = self._settings.revoked_after
        age = _configuration_age(self.confirmed_at, now)
        if not max_age or age < max_age:
            return tenant
        reason = "the API key may have been revoked: the configuration is not confirmed as current"
        return Failure(
            ErrorKind.STALE, reason, retry_after=_configuration_retry_after(age - max_age)
        )

    def _without_table(self, now: float) -> Failure:
        if self._without_table_since is None:
            self._without_table_since = now
        return Failure(
            ErrorKind.NO_CONFIGURATION,
            "the proxy has not received a configuration yet",
            retry_after=_configuration_retry_after(now - self._without_table_since),
        )


def refusal_or_stale(
    refusal: Failure, confirmed_at: float | None, settings: AdmissionSettings, now: float
) -> Failure:
    """Return the refusal, or ``STALE`` if it rests on a route table that may be out of date.

    A caller that is told that a route does not exist gives up, while one that gets ``STALE``
    retries and is served once the proxy has caught up. ``confirmed_at`` is when the table was last
    confirmed to be up to date, ``None`` for never.
    """
    if refusal.kind not in _TABLE_DEPENDENT_KINDS:
        return refusal
    age = _configuration_age(confirmed_at, now)
    if age < settings.stale_after:
        return refusal
    reason = f"{refusal.reason}; the configuration is not confirmed as current"
    retry_after = _configuration_retry_after(age - settings.stale_after)
    return Failure(ErrorKind.STALE, reason, retry_after=retry_after)


def _configuration_age(confirmed_at: float | None, now: float) -> float:
    """Return the seconds since the table was last confirmed to be up to date."""
    return math.inf if confirmed_at is None else now - confirmed_at


def _configuration_retry_after(elapsed: float) -> float:
    """Return the retry delay in seconds while a current configuration is missing.

    It grows with the time for which there has been none.
    """
    return min(max(MIN_CONFIGURATION_RETRY_SECONDS, elapsed), MAX_CONFIGURATION_RETRY_SECONDS)


def call_timeout(request: CallRequest, route: RouteEntry, settings: AdmissionSettings) -> float:
    """Return the call's timeout in seconds: the requested one, capped by the route's."""
    route_timeout = route.timeout or settings.default_timeout
    return min(request.timeout, route_timeout) if request.timeout > 0 else route_timeout
