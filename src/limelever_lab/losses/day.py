"""What the callers of a day got, and what the day cost."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Part:
    """A measure of the day from 0 to 1, and its weight in the worth."""

    name: str
    weight: float
    reached: float

    @property
    def lost(self) -> float:
        """Worth that is missing by this measure."""
        return self.weight * (1.0 - self.reached)


@dataclass(frozen=True, slots=True)
class Price:
    """What was taken off the worth for something used or done wrong; ``amount`` in its unit."""

    name: str
    amount: float
    cost: float


@dataclass(frozen=True, slots=True)
class Ends:
    """How the requests of a kind, or those of a window, ended."""

    name: str
    asked: int
    in_time: int
    late: int
    refused: int
    failed: int

    @property
    def missed(self) -> int:
        """Requests that were not answered in time."""
        return self.late + self.refused + self.failed


@dataclass(frozen=True, slots=True)
class DayFigures:
    """One day; windows are named by the second in which they begin."""

    worth: float
    parts: tuple[Part, ...]
    prices: tuple[Price, ...]
    by_kind: tuple[Ends, ...]
    by_window: tuple[Ends, ...]
