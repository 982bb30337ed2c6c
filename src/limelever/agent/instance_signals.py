"""Parses what an instance states of itself in the headers of its responses.

An instance may state a limit, the calls per second that it takes from all proxies together, and
that it is leaving. A limit holds for as long as it is stated: a response without it states that
there is none. A leave holds for the rest of the instance's run.
"""

from __future__ import annotations

import math
import re

from msgspec import Struct

from limelever.common.http_headers import HeaderNames, Headers

LOWEST_LIMIT = 0.25
"""Limits below this many calls per second are raised to it. Only a response can state that a limit
has ended, so that a limit without any calls would last for good."""

HIGHEST_LIMIT = 1e6
"""Limits above this many calls per second are lowered to it."""

_LEAVING = b"1"
_MAX_DIGITS = 32
_SHOWN_CHARACTERS = 40
_DECIMAL = re.compile(rb"[0-9]+(\.[0-9]*)?([eE][+-]?[0-9]+)?")


class InstanceSignals(Struct, frozen=True):
    """What one response states.

    ``limit`` is in calls per second, 0 if none is stated. ``invalid_limit`` is the beginning of a
    limit that is not a number from 0 on, which leaves the limit as it is.
    """

    limit: float = 0.0
    invalid_limit: str = ""
    leaving: bool = False


NO_SIGNALS = InstanceSignals()


def parse_signals(headers: Headers, names: HeaderNames) -> InstanceSignals:
    """Return what the headers of a response state; their names are in lower case."""
    leaving = _LEAVING in _values(headers, names.leaving)
    values = _values(headers, names.limit)
    if not values:
        return InstanceSignals(leaving=True) if leaving else NO_SIGNALS
    # If several limits are stated, the lowest one holds.
    limits = [limit for value in values if (limit := _parse_limit(value)) is not None]
    if not limits:
        shown = b", ".join(values)[:_SHOWN_CHARACTERS].decode("ascii", "replace")
        return InstanceSignals(invalid_limit=shown, leaving=leaving)
    return InstanceSignals(min(limits), leaving=leaving)


def _values(headers: Headers, names: tuple[bytes, ...]) -> list[bytes]:
    """Return all values of the headers with these names, which may be repeated."""
    lines = [value for name, value in headers if name in names]
    return [part.strip() for line in lines for part in line.split(b",")]


def _parse_limit(value: bytes) -> float | None:
    if len(value) > _MAX_DIGITS or not _DECIMAL.fullmatch(value):
        return None
    limit = float(value)
    return min(HIGHEST_LIMIT, max(LOWEST_LIMIT, limit)) if math.isfinite(limit) else None
