"""Checks of a call before it is queued; each failure is NOT RUN."""

from __future__ import annotations

from limelever.agent.calls import RecentAttempts
from limelever.common.errors import ErrorKind, Failure
from limelever.protocol.calls_pb2 import CallStart

ATTEMPT_ID_BYTES = 16
OVERLOAD_RETRY_AFTER = 1.0
"""Advice in seconds to callers refused for want of memory."""


def check_attempt(start: CallStart, recent: RecentAttempts) -> Failure | None:
    """Check that the attempt's identifier is well formed and can be remembered."""
    if len(start.attempt_id) != ATTEMPT_ID_BYTES:
        return Failure(ErrorKind.PROTOCOL_VIOLATION, "attempt_id must have 16 bytes")
    if recent.full:
        return Failure(
            ErrorKind.OVERLOADED, "too many recent attempts", retry_after=OVERLOAD_RETRY_AFTER
        )
    return None


def check_start(
    start: CallStart, service: str, stream_in_use: bool, max_body_bytes: int
) -> Failure | None:
    """Check that the call is one that this agent can take in."""
    if start.service != service:
        return Failure(ErrorKind.NO_ENDPOINT, f"this agent serves {service} only")
    if stream_in_use:
        return Failure(ErrorKind.PROTOCOL_VIOLATION, "the stream is in use")
    if max(len(start.body), start.body_bytes) > max_body_bytes:
        return _too_large(max_body_bytes)
    return None


def check_body(
    size: int, max_body_bytes: int, assembling_bytes: int, assembling_limit: int
) -> Failure | None:
    """Check a body in parts by its own limit and by what all such bodies hold together."""
    if size > max_body_bytes:
        return _too_large(max_body_bytes)
    if assembling_bytes > assembling_limit:
        return Failure(ErrorKind.OVERLOADED, "too many bodies", retry_after=OVERLOAD_RETRY_AFTER)
    return None


def _too_large(limit: int) -> Failure:
    return Failure(ErrorKind.BODY_TOO_LARGE, f"limit {limit} bytes")
