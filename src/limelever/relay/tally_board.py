"""Passes on how the calls of versions under trial have ended, and holds it for whoever judges them.

Each agent tells its own relay sums that only grow, and that relay tells all others, so each relay
holds the newest sums of all agents. They are dropped with the rollout that they belong to.
"""

from __future__ import annotations

from collections.abc import Sequence

from limelever.common.sansio import ConnectionId, Output, SendMessage
from limelever.protocol.endpoints_pb2 import VersionTally
from limelever.relay.endpoint_entry import EndpointName
from limelever.rollout.tally import answer_count

LARGEST_BOARD = 4096
"""Back ends whose sums are held: those of the services whose rollouts run, and of some before."""


class TallyBoard:
    """What one relay knows of the rollouts' evidence."""

    def __init__(self) -> None:
        self._by_name: dict[EndpointName, VersionTally] = {}
        self._relays: dict[ConnectionId, None] = {}

    def join(self, relay: ConnectionId) -> list[Output]:
        """Tell another relay all that is held, and what comes from now on."""
        self._relays[relay] = None
        return [SendMessage(relay, tally) for tally in self._by_name.values()]

    def leave(self, relay: ConnectionId) -> None:
        """Forget a relay whose link is gone."""
        self._relays.pop(relay, None)

    def from_agent(self, tally: VersionTally) -> list[Output]:
        """Take an agent's sums, and tell them to the other relays if they are news."""
        if not self.heard(tally):
            return []
        return [SendMessage(relay, tally) for relay in self._relays]

    def heard(self, tally: VersionTally) -> bool:
        """Take sums, from wherever; return whether they are newer than those held."""
        name = EndpointName(tally.service, tally.instance)
        held = self._by_name.get(name)
        if held is not None and _age(tally) <= _age(held):
            return False
        if held is None and len(self._by_name) >= LARGEST_BOARD:
            del self._by_name[next(iter(self._by_name))]
        self._by_name[name] = tally
        return True

    def of(self, service: str, rollout: int) -> Sequence[VersionTally]:
        """Return the sums that belong to a rollout of a service."""
        return [
            tally
            for tally in self._by_name.values()
            if tally.service == service and tally.rollout == rollout
        ]


def _age(tally: VersionTally) -> tuple[int, int]:
    return tally.rollout, answer_count(tally)
