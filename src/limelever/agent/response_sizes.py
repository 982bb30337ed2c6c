"""Average response size per group."""

from __future__ import annotations

from collections import OrderedDict

SMOOTHING_FACTOR = 0.1
"""Weight of the newest observation in the moving average."""

MAX_TRACKED_GROUPS = 256
"""Maximum number of groups with an average; the least recently observed is evicted."""


class ResponseSizes:
    """Exponentially weighted moving averages in bytes, by group name."""

    def __init__(self) -> None:
        self._by_group: OrderedDict[str, float] = OrderedDict()

    def observe(self, group: str, size: int) -> None:
        """Record the body size of a response, in bytes."""
        average = self._by_group.get(group, float(size))
        self._by_group[group] = average + SMOOTHING_FACTOR * (size - average)
        self._by_group.move_to_end(group)
        if len(self._by_group) > MAX_TRACKED_GROUPS:
            self._by_group.popitem(last=False)

    def average(self, group: str) -> float:
        """Return the average size in bytes, 0 if unknown."""
        return self._by_group.get(group, 0.0)
