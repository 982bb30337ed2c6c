"""Reads the identity and the warm-up of an instance from its response to a health probe."""

from __future__ import annotations

from msgspec import Struct

from limelever.agent.instance_signals import NO_SIGNALS, InstanceSignals, parse_signals
from limelever.agent.load_header import parse_slots
from limelever.common.http_headers import HeaderNames, Headers, value_of
from limelever.common.http_messages import HttpAnswer
from limelever.common.numbers import parse_count

_MILLISECONDS = 1000


class InstanceIdentity(Struct, frozen=True):
    """Name and slots of an instance; ``slots`` is 0 if not stated.

    ``warm_up_left`` is the remaining warm-up time in seconds, ``None`` if not stated.
    """

    instance: str
    slots: int = 0
    warm_up_left: float | None = None


class ProbeResult(Struct, frozen=True):
    """Result of a health probe; ``warm_up_left`` as in :class:`InstanceIdentity`."""

    healthy: bool
    warm_up_left: float | None = None
    signals: InstanceSignals = NO_SIGNALS


def parse_instance_identity(answer: HttpAnswer, names: HeaderNames) -> InstanceIdentity | None:
    """Return the identity of a healthy instance; ``None`` for any other response."""
    headers = tuple((name.lower(), value) for name, value in answer.headers)
    instance = value_of(headers, names.instance).decode("ascii", "replace")
    if not 200 <= answer.status < 300 or not instance:
        return None
    return InstanceIdentity(instance, parse_slots(headers, names), parse_warm_up(headers, names))


def parse_probe(answer: HttpAnswer, names: HeaderNames) -> ProbeResult:
    """Return whether a health response is positive, and what it states."""
    headers = tuple((name.lower(), value) for name, value in answer.headers)
    healthy = 200 <= answer.status < 300
    return ProbeResult(healthy, parse_warm_up(headers, names), parse_signals(headers, names))


def parse_warm_up(headers: Headers, names: HeaderNames) -> float | None:
    """Return the remaining warm-up time in seconds, ``None`` if it is absent or no number.

    Header names are in lower case; the header's value is in whole milliseconds.
    """
    left_ms = parse_count(value_of(headers, names.warm_up).strip())
    return None if left_ms is None else left_ms / _MILLISECONDS
