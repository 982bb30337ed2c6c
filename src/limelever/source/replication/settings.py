"""Settings of a replica; durations are in seconds."""

from __future__ import annotations

from collections.abc import Mapping

from msgspec import Struct, field

from limelever.common.backoff import BackoffSettings
from limelever.common.sansio import Address


class ReplicationSettings(Struct, frozen=True):
    """One replica's name, its peers and the timing of the group.

    ``peers`` maps the names of the other replicas to their replication addresses. An election
    begins after a time drawn between ``election_timeout`` and twice that. ``lease`` is how long
    a leader goes on without proof that a majority hears it; at most ``election_timeout``.
    ``bootstrap`` allows an empty disk to found a new group together with empty peers.
    With ``seeds`` nobody lists the group: a replica's name is then the address of its links, the
    seeds found the group together, every replica that asks is admitted, and the leader keeps the
    number of voters at ``voters`` by promoting learners and by removing voters that were silent
    for ``replace_after`` where a learner is ready to take their place.
    ``snapshot_every`` is in log entries, ``append_bytes`` bounds one append message.
    """

    name: str
    peers: Mapping[str, Address]
    operator_address: str = ""
    bootstrap: bool = False
    election_timeout: float = 1.0
    heartbeat_interval: float = 0.2
    lease: float = 1.0
    join_interval: float = 0.5
    snapshot_every: int = 4096
    append_bytes: int = 1024 * 1024
    uncommitted_limit: int = 1024
    seeds: tuple[Address, ...] = ()
    voters: int = 0
    replace_after: float = 4.0
    backoff: BackoffSettings = field(default_factory=lambda: BackoffSettings(0.05, 1.0))

    def __post_init__(self) -> None:
        """Refuse timing under which a cut-off leader would outlive its successor's election."""
        if self.lease > self.election_timeout:
            raise ValueError("lease must be at most election_timeout")
        if self.heartbeat_interval * 2 > self.lease:
            raise ValueError("heartbeat_interval must be at most half of lease")
        if self.name in self.peers:
            raise ValueError("peers must not name the replica itself")

    @property
    def discovers_members(self) -> bool:
        """Return whether members are found through seeds, in place of a list of all."""
        return bool(self.seeds)
