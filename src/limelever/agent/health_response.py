"""Reads the identity of an instance from its response to a health probe."""

from __future__ import annotations

from msgspec import Struct

from limelever.agent.load_header import parse_slots
from limelever.common.http_headers import HeaderNames, value_of
from limelever.common.http_messages import HttpAnswer


class InstanceIdentity(Struct, frozen=True):
    """Name and slots of an instance; ``slots`` is 0 if not stated."""

    instance: str
    slots: int = 0


def parse_instance_identity(answer: HttpAnswer, names: HeaderNames) -> InstanceIdentity | None:
    """Return the identity of a healthy instance; ``None`` for any other response."""
    headers = tuple((name.lower(), value) for name, value in answer.headers)
    instance = value_of(headers, names.instance).decode("ascii", "replace")
    if not 200 <= answer.status < 300 or not instance:
        return None
    return InstanceIdentity(instance, parse_slots(headers, names))
