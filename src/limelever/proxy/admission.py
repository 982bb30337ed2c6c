"""Admits a call or says at once why not: route, body size, idempotency key, time and limits."""

from __future__ import annotations

import math

from msgspec import Struct

from limelever.common.errors import ErrorKind, Failure
from limelever.proxy.call_state import Call
from limelever.proxy.call_types import (
    GROUP_LENGTH_LIMIT,
    IDEMPOTENCY_KEY_LENGTH_LIMIT,
    CallRequest,
)
from limelever.proxy.group_limits import GroupLimits, ShareKey
from limelever.proxy.router import RouteEntry, RoutePart, RouteTable
from limelever.proxy.split import Splits

FIRST_CONFIGURATION_SECONDS = 0.25
"""Advice to callers of a proxy that has just started: its first configuration comes within it, by
the timelines in docs/design/recovery.md."""

LONGEST_CONFIGURATION_WAIT = 1.0
"""Most seconds of that advice, while no configuration comes: a source elects a leader in less."""


class AdmissionSettings(Struct, frozen=True):
    """``default_timeout`` (seconds) is of routes that name none."""

    default_timeout: float = 10.0


def admit(
    number: int,
    request: CallRequest,
    table: RouteTable | None,
    limits: GroupLimits,
    settings: AdmissionSettings,
    splits: Splits,
    now: float,
    without_table: float = 0.0,
) -> Call | Failure:
    """Return the admitted call, counted in ``limits``, or the refusal to answer at once.

    ``without_table`` is for how many seconds calls have come while there was no table.
    """
    if table is None:
        return Failure(
            ErrorKind.NO_CONFIGURATION,
            "no configuration is held yet",
            retry_after=_configuration_advice(without_table),
        )
    route = table.match(request.method, request.target, request.host)
    if isinstance(route, Failure):
        return route
    part = splits.choose(route)
    refusal = _check(request, route, part)
    if refusal is not None:
        return refusal
    share = ShareKey(part.service, request.group)
    refusal = limits.admit(share, table.weight(part.service, request.group))
    if refusal is not None:
        return refusal
    deadline = now + call_timeout(request, route, settings)
    target = now + route.target_latency if route.target_latency else math.inf
    return Call(number, request, route, part, share, deadline, target)


def _configuration_advice(without_table: float) -> float:
    """Return after how many seconds a first configuration may be expected.

    The longer there has been none, the longer it may still take.
    """
    return min(max(FIRST_CONFIGURATION_SECONDS, without_table), LONGEST_CONFIGURATION_WAIT)


def call_timeout(request: CallRequest, route: RouteEntry, settings: AdmissionSettings) -> float:
    """Return the seconds the call has: the caller's wish, capped by the route's."""
    longest = route.timeout or settings.default_timeout
    return min(request.timeout, longest) if request.timeout > 0 else longest


def _check(request: CallRequest, route: RouteEntry, part: RoutePart) -> Failure | None:
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
