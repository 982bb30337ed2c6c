"""What each group is entitled to: weighted max-min division of a capacity."""

from __future__ import annotations

from collections.abc import Mapping


def entitled_rates(
    offered: Mapping[str, float], weights: Mapping[str, int], capacity: float
) -> dict[str, float]:
    """Return the rate due to each group, in the unit of ``offered`` and ``capacity``.

    No group gets more than it offers; what one leaves is divided among the others by weight.
    """
    due: dict[str, float] = {}
    open_groups = set(offered)
    left = capacity
    while open_groups:
        total = sum(weights[group] for group in open_groups)
        part = {group: left * weights[group] / total for group in open_groups}
        satisfied = {group for group in open_groups if offered[group] <= part[group]}
        if not satisfied:
            return due | part
        for group in satisfied:
            due[group] = offered[group]
            left -= offered[group]
        open_groups -= satisfied
    return due
