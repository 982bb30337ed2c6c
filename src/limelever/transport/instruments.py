"""Counters, gauges and histograms as plain numbers; ``exposition`` tells them to monitoring.

The library that formats them is imported at the first scrape, and not at the start of a process:
it costs 27 to 41 ms of processor time and 2.7 MB (three starts of a node's modules, compiled).
Every value belongs to the one thread of the process, so none takes a lock.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Callable, Sequence
from typing import Generic, TypeVar

ValueT = TypeVar("ValueT")
Labels = tuple[str, ...]


class Number:
    """One series of a counter or a gauge; a ``function`` tells it when it is asked for."""

    __slots__ = ("function", "value")

    def __init__(self) -> None:
        self.value = 0.0
        self.function: Callable[[], float] | None = None

    def read(self) -> float:
        """Return the value of this moment."""
        return self.value if self.function is None else self.function()

    def inc(self, amount: float = 1.0) -> None:
        """Add to the value."""
        self.value += amount

    def dec(self, amount: float = 1.0) -> None:
        """Take from the value."""
        self.value -= amount

    def set(self, value: float) -> None:
        """Replace the value."""
        self.value = value


class Distribution:
    """One series of a histogram: ``counts`` by bucket, the last one for all beyond the bounds."""

    __slots__ = ("bounds", "counts", "total")

    def __init__(self, bounds: Sequence[float]) -> None:
        self.bounds = bounds
        self.counts = [0] * (len(bounds) + 1)
        self.total = 0.0

    def observe(self, amount: float) -> None:
        """Count one observation."""
        self.counts[bisect_left(self.bounds, amount)] += 1
        self.total += amount


class Instrument(Generic[ValueT]):
    """A named measure with a series for each set of label values."""

    def __init__(
        self,
        name: str,
        text: str,
        label_names: Labels,
        new_value: Callable[[], ValueT],
        published: bool = True,
    ) -> None:
        self.name = name
        self.text = text
        self.label_names = label_names
        self.published = published
        self.by_labels: dict[Labels, ValueT] = {}
        self._new_value = new_value
        self.only = self.labels() if not label_names else new_value()
        """The series of an instrument without labels."""

    def labels(self, *values: str) -> ValueT:
        """Return the series of these label values."""
        series = self.by_labels.get(values)
        if series is None:
            if len(values) != len(self.label_names):
                raise ValueError(f"{self.name} has the labels {self.label_names}, not {values}")
            series = self.by_labels[values] = self._new_value()
        return series


class Counter(Instrument[Number]):
    """A number that only grows while the process runs; its exposed name ends in ``_total``."""

    def __init__(self, name: str, text: str, label_names: Labels = ()) -> None:
        super().__init__(name, text, label_names, Number)
        COUNTERS.append(self)


class Gauge(Instrument[Number]):
    """A number that goes up and down."""

    def __init__(
        self, name: str, text: str, label_names: Labels = (), published: bool = True
    ) -> None:
        super().__init__(name, text, label_names, Number, published)
        GAUGES.append(self)


class Histogram(Instrument[Distribution]):
    """Observations by size; ``bounds`` rise, and each is part of its bucket."""

    def __init__(
        self, name: str, text: str, label_names: Labels = (), *, bounds: Sequence[float]
    ) -> None:
        super().__init__(name, text, label_names, lambda: Distribution(bounds))
        HISTOGRAMS.append(self)

    def observe(self, amount: float) -> None:
        """Count one observation of a histogram without labels."""
        self.only.observe(amount)


COUNTERS: list[Counter] = []
GAUGES: list[Gauge] = []
HISTOGRAMS: list[Histogram] = []
