"""Stores and replicates the call tallies on which the canary analysis of a rollout is based.

Each agent reports its tally, whose counts only grow, to its relay, which forwards it to all other
relays. Each relay thus holds the newest tally of every agent, up to ``MAX_TALLIES``.
"""

from __future__ import annotations

from collections.abc import Sequence

from limelever.common.sansio import ConnectionId, Output, SendMessage
from limelever.protocol.endpoints_pb2 import VersionTally
from limelever.relay.endpoint_entry import EndpointName
from limelever.rollout.tally import answer_count

MAX_TALLIES = 4096
"""Tallies stored, one for each agent; those added first are evicted first."""


class TallyStore:
    """The newest tally of each agent."""

    def __init__(self) -> None:
        self._tally_by_name: dict[EndpointName, VersionTally] = {}
        self._relays: dict[ConnectionId, None] = {}

    def add_relay(self, relay: ConnectionId) -> list[Output]:
        """Send another relay all tallies, and new ones of this relay's agents from now on."""
        self._relays[relay] = None
        return [SendMessage(relay, tally) for tally in self._tally_by_name.values()]

    def remove_relay(self, relay: ConnectionId) -> None:
        """Remove a relay whose link was closed."""
        self._relays.pop(relay, None)

    def merge_from_agent(self, tally: VersionTally) -> list[Output]:
        """Merge an agent's tally, and forward it to the other relays if it is newer."""
        if not self.merge(tally):
            return []
        return [SendMessage(relay, tally) for relay in self._relays]

    def merge(self, tally: VersionTally) -> bool:
        """Merge a tally; return whether it is newer than the stored one."""
        name = EndpointName(tally.service, tally.instance)
        current = self._tally_by_name.get(name)
        if current is not None and _recency(tally) <= _recency(current):
            return False
        if current is None and len(self._tally_by_name) >= MAX_TALLIES:
            del self._tally_by_name[next(iter(self._tally_by_name))]
        self._tally_by_name[name] = tally
        return True

    def for_rollout(self, service: str, rollout: int) -> Sequence[VersionTally]:
        """Return the tallies of a rollout of a service."""
        return [
            tally
            for tally in self._tally_by_name.values()
            if tally.service == service and tally.rollout == rollout
        ]


def _recency(tally: VersionTally) -> tuple[int, int]:
    return tally.rollout, answer_count(tally)
