"""Checks an incoming call against its route and destination before it is admitted."""

from __future__ import annotations

from limelever.common.errors import ErrorKind, Failure
from limelever.proxy.call_types import (
    GROUP_LENGTH_LIMIT,
    IDEMPOTENCY_KEY_LENGTH_LIMIT,
    CallRequest,
)
from limelever.proxy.router import RouteDestination, RouteEntry


def validate_call(
    request: CallRequest, route: RouteEntry, destination: RouteDestination
) -> Failure | None:
    """Return why the call can't be sent to the destination, if it can't."""
    if destination.max_body_bytes and len(request.body) > destination.max_body_bytes:
        reason = (
            f"body of {len(request.body)} bytes exceeds the limit of {destination.max_body_bytes}"
        )
        return Failure(ErrorKind.BODY_TOO_LARGE, reason)
    if not 0 < len(request.group) <= GROUP_LENGTH_LIMIT:
        reason = f"group name must have 1 to {GROUP_LENGTH_LIMIT} characters"
        return Failure(ErrorKind.INVALID_REQUEST, reason)
    if not route.at_most_once:
        return None
    if not request.idempotency_key:
        reason = "this route requires the idempotency-key header"
        return Failure(ErrorKind.IDEMPOTENCY_KEY_MISSING, reason)
    if len(request.idempotency_key) > IDEMPOTENCY_KEY_LENGTH_LIMIT:
        reason = f"idempotency-key exceeds {IDEMPOTENCY_KEY_LENGTH_LIMIT} bytes"
        return Failure(ErrorKind.INVALID_REQUEST, reason)
    return None
