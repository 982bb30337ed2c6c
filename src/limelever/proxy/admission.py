"""Admits a call or says at once why not: route, tenant, body, idempotency key, time and limits."""

from __future__ import annotations

import math
import random

from msgspec import Struct, field

from limelever.common.errors import ErrorKind, Failure
from limelever.proxy.call_state import Call
from limelever.proxy.call_types import (
    GROUP_LENGTH_LIMIT,
    IDEMPOTENCY_KEY_LENGTH_LIMIT,
    CallRequest,
)
from limelever.proxy.caller_keys import KeyHeader, tenant_of
from limelever.proxy.group_limits import GroupLimits, ShareKey
from limelever.proxy.prior_waits import PriorWaits
from limelever.proxy.router import RouteDestination, RouteEntry, RouteTable
from limelever.proxy.split import Splits
from limelever.proxy.tenant_limits import TenantLimits
from limelever.proxy.tenants import TenantEntry

FIRST_CONFIGURATION_SECONDS = 0.25
"""Advice to callers of a proxy that has just started: its first configuration comes within it, by
the timelines in docs/design/recovery.md."""

LONGEST_CONFIGURATION_WAIT = 1.0
"""Most seconds of that advice, while no configuration comes: a source elects a leader in less."""


STOPPING = Failure(ErrorKind.DRAINING, "this proxy stops before the call would have begun")

_DECIDED_BY_TABLE = frozenset(
    {
        ErrorKind.NO_ROUTE,
        ErrorKind.METHOD_NOT_ALLOWED,
        ErrorKind.BODY_TOO_LARGE,
        ErrorKind.IDEMPOTENCY_KEY_MISSING,
        ErrorKind.UNAUTHENTICATED,
    }
)
"""Refusals for good that a newer configuration may turn into service."""


class AdmissionSettings(Struct, frozen=True):
    """Settings in seconds.

    ``default_timeout`` is of routes that name none. ``stale_after`` is how old the proof of the
    configuration may be by which a caller is told that there is no route. ``revoked_after`` is how
    old it may be by which a key lets a caller in, as the key may have been taken away since; 0 sets
    no bound. ``key_header`` is where callers show their keys.
    """

    default_timeout: float = 10.0
    stale_after: float = 8.0
    revoked_after: float = 0.0
    key_header: KeyHeader = field(default_factory=KeyHeader)


class CallAdmission:
    """Decides about calls that arrive, by the table held and by when that was proved current."""

    def __init__(
        self,
        settings: AdmissionSettings,
        limits: GroupLimits,
        tenant_limits: TenantLimits,
        random_source: random.Random,
    ) -> None:
        self._settings = settings
        self._limits = limits
        self._tenant_limits = tenant_limits
        self._splits = Splits(random_source)
        self._prior_waits = PriorWaits()
        self._table: RouteTable | None = None
        self._first_untabled: float | None = None
        self._stopping = False
        self.proved_at: float | None = None

    @property
    def version(self) -> int:
        """Return the configuration version of the table, 0 while there is none."""
        return self._table.version if self._table is not None else 0

    def set_table(self, table: RouteTable) -> None:
        """Route calls by this table from now on."""
        self._table = table
        self._splits.keep_only(table.route_names())
        self._prior_waits.keep_only(table.route_names())

    def table_proved(self, at: float) -> None:
        """Take the time at which the table was known to be current (seconds, monotonic)."""
        self.proved_at = at

    def stop(self) -> None:
        """Admit no call any more: the process ends before it could be served."""
        self._stopping = True

    def admit(self, number: int, request: CallRequest, now: float) -> Call | Failure:
        """Return the admitted call, counted in the limits, or the refusal to answer at once."""
        if self._stopping:
            return STOPPING
        if self._table is None:
            return self._without_table(now)
        route = self._table.match(request.method, request.target, request.host)
        if isinstance(route, Failure):
            return unless_unproved(route, self.proved_at, self._settings, now)
        tenant = self._tenant(self._table, route, request, now)
        if isinstance(tenant, Failure):
            return unless_unproved(tenant, self.proved_at, self._settings, now)
        part = self._splits.choose(route)
        refusal = _check(request, route, part)
        if refusal is not None:
            return unless_unproved(refusal, self.proved_at, self._settings, now)
        target = now + route.target_latency if route.target_latency else math.inf
        target -= self._prior_waits.waited(route.name, request.timeout)
        if tenant is not None:
            refusal = self._tenant_limits.admit(tenant, now, is_late=target <= now)
            if refusal is not None:
                return refusal
        share = ShareKey(part.service, request.group)
        refusal = self._limits.admit(share, self._table.weight(part.service, request.group))
        if refusal is not None:
            self._not_run(tenant, now)
            return refusal
        deadline = now + call_timeout(request, route, self._settings)
        return Call(
            number,
            request,
            route,
            part,
            share,
            deadline,
            target,
            arrived_at=now,
            version=self._table.version,
            tenant=tenant.name if tenant is not None else "",
            rank=self._table.ranks.rank(route.priority, tenant.priority if tenant else 0),
        )

    def _not_run(self, tenant: TenantEntry | None, now: float) -> None:
        if tenant is not None:
            self._tenant_limits.give_back(tenant.name, now, now)

    def _tenant(
        self, table: RouteTable, route: RouteEntry, request: CallRequest, now: float
    ) -> TenantEntry | Failure | None:
        """Return the tenant whose call it is, ``None`` where none is asked for."""
        if not table.tenants or route.public:
            return None
        tenant = tenant_of(request.headers, self._settings.key_header, table.tenants)
        if isinstance(tenant, Failure):
            return tenant
        return self._if_not_revoked(tenant, now)

    def _if_not_revoked(self, tenant: TenantEntry, now: float) -> TenantEntry | Failure:
        """Return the tenant, or ``STALE`` where its key may have been taken away unheard."""
        bound = self._settings.revoked_after
        age = _age(self.proved_at, now)
        if not bound or age < bound:
            return tenant
        reason = "the key is known, but by a configuration that is not proved current"
        return Failure(ErrorKind.STALE, reason, retry_after=_configuration_advice(age - bound))

    def _without_table(self, now: float) -> Failure:
        if self._first_untabled is None:
            self._first_untabled = now
        return Failure(
            ErrorKind.NO_CONFIGURATION,
            "no configuration is held yet",
            retry_after=_configuration_advice(now - self._first_untabled),
        )


def unless_unproved(
    refusal: Failure, proved_at: float | None, settings: AdmissionSettings, now: float
) -> Failure:
    """Return the refusal, or ``STALE`` where it rests on a table that may be out of date.

    A change that was acknowledged may not have come yet: a caller that is told that a route isn't
    there gives up for good, one that is told to come back is served. ``proved_at`` is when the
    table was last known to be current, ``None`` for never.
    """
    if refusal.kind not in _DECIDED_BY_TABLE:
        return refusal
    age = _age(proved_at, now)
    if age < settings.stale_after:
        return refusal
    reason = f"{refusal.reason}, by a configuration that is not proved current"
    advice = _configuration_advice(age - settings.stale_after)
    return Failure(ErrorKind.STALE, reason, retry_after=advice)


def _age(proved_at: float | None, now: float) -> float:
    """Return how many seconds ago the table was known to be current."""
    return math.inf if proved_at is None else now - proved_at


def _configuration_advice(without_table: float) -> float:
    """Return after how many seconds a first or a current configuration may be expected.

    The longer there has been none, the longer it may still take.
    """
    return min(max(FIRST_CONFIGURATION_SECONDS, without_table), LONGEST_CONFIGURATION_WAIT)


def call_timeout(request: CallRequest, route: RouteEntry, settings: AdmissionSettings) -> float:
    """Return the seconds the call has: the caller's wish, capped by the route's."""
    longest = route.timeout or settings.default_timeout
    return min(request.timeout, longest) if request.timeout > 0 else longest


def _check(request: CallRequest, route: RouteEntry, part: RouteDestination) -> Failure | None:
    if part.max_body_bytes and len(request.body) > part.max_body_bytes:
        reason = f"body of {len(request.body)} bytes, limit {part.max_body_bytes}"
        return Failure(ErrorKind.BODY_TOO_LARGE, reason)
    if not 0 < len(request.group) <= GROUP_LENGTH_LIMIT:
        reason = f"group name must have 1 to {GROUP_LENGTH_LIMIT} characters"
        return Failure(ErrorKind.INVALID_REQUEST, reason)
    if not route.at_most_once:
        return None
    if not request.idempotency_key:
        reason = "calls on this route need the header idempotency-key"
        return Failure(ErrorKind.IDEMPOTENCY_KEY_MISSING, reason)
    if len(request.idempotency_key) > IDEMPOTENCY_KEY_LENGTH_LIMIT:
        reason = f"idempotency-key is over {IDEMPOTENCY_KEY_LENGTH_LIMIT} bytes"
        return Failure(ErrorKind.INVALID_REQUEST, reason)
    return None
