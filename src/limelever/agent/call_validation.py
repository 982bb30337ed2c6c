"""Validates calls before they are queued; all failures have the outcome NOT RUN."""

from __future__ import annotations

from limelever.agent.calls import RecentAttempts
from limelever.common.errors import ErrorKind, Failure
from limelever.protocol.calls_pb2 import CallStart

ATTEMPT_ID_BYTES = 16
OVERLOAD_RETRY_AFTER_SECONDS = 1.0
"""Advice to callers that are refused because a memory limit is reached."""


def validate_attempt_id(start: CallStart, recent: RecentAttempts) -> Failure | None:
    """Check that the attempt identifier is well formed and can be remembered."""
    if len(start.attempt_id) != ATTEMPT_ID_BYTES:
        return Failure(ErrorKind.PROTOCOL_VIOLATION, "attempt_id must have 16 bytes")
    if recent.full:
        return Failure(
            ErrorKind.OVERLOADED,
            "too many recent attempts",
            retry_after=OVERLOAD_RETRY_AFTER_SECONDS,
        )
    return None


def validate_call_start(
    start: CallStart, service: str, stream_in_use: bool, max_body_bytes: int
) -> Failure | None:
    """Check that the call is for this service, on a free stream and within the body limit."""
    if start.service != service:
        return Failure(ErrorKind.NO_ENDPOINT, f"this agent only serves {service}")
    if stream_in_use:
        return Failure(ErrorKind.PROTOCOL_VIOLATION, "stream is already in use")
    if max(len(start.body), start.body_bytes) > max_body_bytes:
        return _too_large(max_body_bytes)
    return None


def validate_body_size(
    size: int, max_body_bytes: int, assembling_bytes: int, assembling_limit: int
) -> Failure | None:
    """Check the size of an incomplete body, and of all incomplete bodies together."""
    if size > max_body_bytes:
        return _too_large(max_body_bytes)
    if assembling_bytes > assembling_limit:
        return Failure(
            ErrorKind.OVERLOADED,
            "too many incomplete request bodies",
            retry_after=OVERLOAD_RETRY_AFTER_SECONDS,
        )
    return None


def _too_large(limit: int) -> Failure:
    return Failure(ErrorKind.BODY_TOO_LARGE, f"request body exceeds the limit of {limit} bytes")
