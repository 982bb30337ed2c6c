"""What a back end's answer to a health probe says of it."""

from __future__ import annotations

from msgspec import Struct

from limelever.common.http_headers import HeaderNames, Headers, value_of
from limelever.common.http_messages import HttpAnswer

_SLOTS_PLACE = 2
"""Place of the slots among the numbers of the load header, from 0 on."""

_SLOTS_DIGITS = 9
"""Digits of a number of slots that is believed; the language converts no more than 4,300."""


class FoundInstance(Struct, frozen=True):
    """The instance that answered; ``slots`` 0 where it doesn't tell."""

    instance: str
    slots: int = 0


def instance_in(answer: HttpAnswer, names: HeaderNames) -> FoundInstance | None:
    """Return the instance that answered that it is well; ``None`` for any other answer."""
    headers = tuple((name.lower(), value) for name, value in answer.headers)
    instance = value_of(headers, names.instance).decode("ascii", "replace")
    if not 200 <= answer.status < 300 or not instance:
        return None
    return FoundInstance(instance, _slots_in(headers, names))


def _slots_in(headers: Headers, names: HeaderNames) -> int:
    numbers = value_of(headers, names.load).split(b",")
    slots = numbers[_SLOTS_PLACE].strip() if len(numbers) > _SLOTS_PLACE else b""
    if not slots.isdigit() or len(slots) > _SLOTS_DIGITS:
        return 0
    return int(slots)
