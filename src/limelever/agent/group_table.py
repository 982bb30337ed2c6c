"""Groups with waiting or running calls, and the configured group weights."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from limelever.agent.group_queue import GroupQueue
from limelever.agent.tenant_scheduler import TenantRates, TenantScheduler
from limelever.protocol.priorities import priority_weight

POOLED_GROUP = ""
"""Name of the queue shared by groups without a weight once too many of them are active."""


class GroupTable:
    """Group queues by name; idle groups without outstanding charges are removed."""

    def __init__(self, default_weight: int, unlisted_groups: int) -> None:
        self._default_weight = default_weight
        self._unlisted_limit = unlisted_groups
        self._weights: dict[str, int] = {}
        self._groups: dict[str, GroupQueue] = {}
        self.tenant_rates = TenantRates()

    def __iter__(self) -> Iterator[GroupQueue]:
        return iter(self._groups.values())

    def set_weights(self, weights: Mapping[str, int], virtual_time: float) -> None:
        """Replace the weights of all groups; groups not listed get the default weight."""
        self._weights = dict(weights)
        for group in self._groups.values():
            group.change_weight(self._weight(group.name), virtual_time)

    def get(self, name: str) -> GroupQueue:
        """Return the queue of a known group; raises ``KeyError`` for any other."""
        return self._groups[name]

    def find(self, name: str) -> GroupQueue | None:
        """Return the queue of a group, or ``None`` if the group is not known."""
        return self._groups.get(name)

    def open(self, name: str, virtual_time: float) -> GroupQueue:
        """Return the queue for a group's next call: its own or the pooled one."""
        if name not in self._groups and name not in self._weights and self._too_many_unlisted():
            name = POOLED_GROUP
        group = self._groups.get(name)
        if group is None:
            tenants = TenantScheduler(self.tenant_rates)
            group = GroupQueue(name, self._weight(name), virtual_time, tenants=tenants)
            self._groups[name] = group
        return group

    def remove_if_idle(self, group: GroupQueue, virtual_time: float) -> None:
        """Remove a group without calls, unless its tag is ahead of virtual time."""
        if not group.active and group.start_tag <= virtual_time:
            self._groups.pop(group.name, None)

    def clear(self) -> None:
        """Remove all groups."""
        self._groups.clear()

    def only_active(self, group: GroupQueue) -> bool:
        """Return whether no other group has a call waiting or running."""
        return all(other is group or not other.active for other in self._groups.values())

    def share_of(self, group: GroupQueue, total: int) -> float:
        """Return the group's share of ``total`` by weight among the waiting groups."""
        waiting = {other.name: other.weight for other in self._groups.values() if other.calls}
        waiting[group.name] = group.weight
        return total * group.weight / sum(waiting.values())

    def _weight(self, name: str) -> int:
        listed = self._weights.get(name)
        if listed is not None:
            return listed
        return priority_weight(name) or self._default_weight

    def _too_many_unlisted(self) -> bool:
        unlisted = sum(1 for name in self._groups if name not in self._weights)
        return unlisted >= self._unlisted_limit
