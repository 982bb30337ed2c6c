"""Calls drawn from a seed: what is asked, by whom, when, and with which idempotency key."""

from __future__ import annotations

import random
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from limelever_lab.fleet.deployment import CallClass

LARGEST_NUMBER = 100_000
KEY_BITS = 96


@dataclass(frozen=True, slots=True)
class Call:
    """One call; ``gap`` is the seconds since the arrival before it.

    ``abandon_after`` is the time in seconds after which the caller drops its first attempt and
    resends it under the same key, or ``None``.
    """

    call_id: str
    key: str
    call_class: CallClass
    path: str
    body: bytes
    gap: float
    first_target: int
    abandon_after: float | None


@dataclass(frozen=True, slots=True)
class ArrivalSettings:
    """Open-loop arrivals: calls a second, seed, and how many answers are lost on purpose."""

    rate: float
    seed: int
    abandon_percent: float = 0.0
    longest_abandon_seconds: float = 0.03


def draw_calls(
    classes: Sequence[CallClass], targets: int, settings: ArrivalSettings
) -> Iterator[Call]:
    """Yield calls without end; the same seed gives the same calls."""
    source = random.Random(settings.seed)
    weights = [call_class.weight for call_class in classes]
    while True:
        call_class = source.choices(classes, weights)[0]
        yield _draw_call(source, call_class, targets, settings)


def _draw_call(
    source: random.Random, call_class: CallClass, targets: int, settings: ArrivalSettings
) -> Call:
    gap = source.expovariate(settings.rate)
    call_id = f"{source.getrandbits(KEY_BITS):024x}"
    path = call_class.path.replace("{number}", str(source.randrange(LARGEST_NUMBER)))
    body = source.randbytes(call_class.body_bytes)
    first_target = source.randrange(targets)
    abandon = source.random() * 100 < settings.abandon_percent
    abandon_after = source.random() * settings.longest_abandon_seconds
    return Call(
        call_id=call_id,
        key=f"key-{call_id}" if call_class.at_most_once else "",
        call_class=call_class,
        path=path,
        body=body,
        gap=gap,
        first_target=first_target,
        abandon_after=abandon_after if abandon and call_class.at_most_once else None,
    )
