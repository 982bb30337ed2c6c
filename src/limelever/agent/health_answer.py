"""What a back end's answer to a health probe says of it."""

from __future__ import annotations

from msgspec import Struct

from limelever.agent.load_header import parse_slots
from limelever.common.http_headers import HeaderNames, value_of
from limelever.common.http_messages import HttpAnswer


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
    return FoundInstance(instance, parse_slots(headers, names))
