"""The header with which a back end tells its load: running, waiting, slots, and its pace now.

Numbers divided by commas; the pace is how long work takes there at this moment, 100 as usual.
"""

from __future__ import annotations

from limelever.common.http_headers import HeaderNames, Headers, value_of

_SLOTS_PLACE = 2
_PACE_PLACE = 3
"""Places among the numbers, from 0 on."""

_DIGITS = 9
"""Digits of a number that is believed; the language converts no more than 4,300."""

_PERMILLE_OF_PERCENT = 10


def slots_in(headers: Headers, names: HeaderNames) -> int:
    """Return the slots that an answer tells, 0 where it doesn't; names are in lower case."""
    return _number(headers, names, _SLOTS_PLACE)


def pace_in(headers: Headers, names: HeaderNames) -> int:
    """Return the pace that an answer tells, 1000 as usual, 0 where it doesn't."""
    return _number(headers, names, _PACE_PLACE) * _PERMILLE_OF_PERCENT


def _number(headers: Headers, names: HeaderNames, place: int) -> int:
    numbers = value_of(headers, names.load).split(b",")
    number = numbers[place].strip() if len(numbers) > place else b""
    if not number.isdigit() or len(number) > _DIGITS:
        return 0
    return int(number)
