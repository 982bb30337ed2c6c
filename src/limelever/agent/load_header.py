"""Parses the load header of backend responses.

Its value is a comma-separated list of numbers: running requests, waiting requests, slots, and the
pace in percent: current processing time relative to the usual, 100 is normal and higher is slower.
"""

from __future__ import annotations

from limelever.common.http_headers import HeaderNames, Headers, value_of
from limelever.common.numbers import parse_count

_SLOTS_INDEX = 2
_PACE_INDEX = 3

_PERMILLE_PER_PERCENT = 10


def parse_requests(headers: Headers, names: HeaderNames) -> int | None:
    """Return how many requests run or wait at the backend; ``None`` if not stated."""
    counts = value_of(headers, names.load).split(b",")[:_SLOTS_INDEX]
    numbers = [number for each in counts if (number := parse_count(each.strip())) is not None]
    return sum(numbers) if len(numbers) == _SLOTS_INDEX else None


def parse_slots(headers: Headers, names: HeaderNames) -> int:
    """Return the slots reported in a response, 0 if absent; header names in lower case."""
    return _parse_number(headers, names, _SLOTS_INDEX)


def parse_pace(headers: Headers, names: HeaderNames) -> int:
    """Return the pace reported in a response in permille, 0 if absent; 1000 is normal."""
    return _parse_number(headers, names, _PACE_INDEX) * _PERMILLE_PER_PERCENT


def _parse_number(headers: Headers, names: HeaderNames, index: int) -> int:
    numbers = value_of(headers, names.load).split(b",")
    number = numbers[index].strip() if len(numbers) > index else b""
    return parse_count(number) or 0
