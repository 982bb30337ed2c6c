"""How long the other end of a connection has to take what it is sent."""

from __future__ import annotations

SEND_SECONDS = 30.0
"""Time for any answer; as long as callers have for their bodies."""

SLOWEST_BYTES_PER_SECOND = 64 * 1024
"""A client that takes what it is sent more slowly, after ``SEND_SECONDS``, is cut off."""


def time_to_send(size: int) -> float:
    """Return how many seconds a client has to take ``size`` bytes."""
    return SEND_SECONDS + size / SLOWEST_BYTES_PER_SECOND
