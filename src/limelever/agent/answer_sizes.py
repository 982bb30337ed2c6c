"""The usual size of each group's answers, as the answers so far tell it."""

from __future__ import annotations

from collections import OrderedDict

WEIGHT = 0.1
"""Weight of the newest answer in the moving average; about the last twenty decide."""

GROUPS_REMEMBERED = 256
"""Groups whose size is kept; the one observed longest ago is forgotten first."""


class AnswerSizes:
    """Moving averages in bytes by the name of the group."""

    def __init__(self) -> None:
        self._by_group: OrderedDict[str, float] = OrderedDict()

    def observe(self, group: str, size: int) -> None:
        """Take the size in bytes of an answer's body."""
        usual = self._by_group.get(group, float(size))
        self._by_group[group] = usual + WEIGHT * (size - usual)
        self._by_group.move_to_end(group)
        if len(self._by_group) > GROUPS_REMEMBERED:
            self._by_group.popitem(last=False)

    def usual(self, group: str) -> float:
        """Return the usual size in bytes, 0 while nothing is known."""
        return self._by_group.get(group, 0.0)
