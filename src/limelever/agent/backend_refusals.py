"""Retry delay for callers whose request the backend itself refused without running it.

If the backend refuses requests although slots are free, an immediate retry is likely to succeed,
while the delay for a full backend would make the caller miss its deadline.
"""

from __future__ import annotations

IMMEDIATE_RETRY_SECONDS = 0.02
"""Retry delay when slots are free; positive to bound the rate of callers that retry in a loop."""


def has_spare_capacity(running: int, queued: int, slots: int) -> bool:
    """Return whether a backend that refused a request had a free slot and no waiting calls."""
    return queued == 0 and running < slots
