"""A replica group whose disks sync slowly, and the times until it has a leader."""

from __future__ import annotations

from msgspec import Struct, structs
from replication_group import Group

PLATFORM_ELECTION_SECONDS = 0.7
"""Election timeout and lease of a source on the platform (platform/control_boot.py)."""

PATIENCE = 60.0
"""Seconds of virtual time after which a group counts as one that elects nobody."""


class SlowDisks(Struct, frozen=True):
    """How long a sync takes (seconds): at ``slow`` replicas, all of them if it is 0.

    The other replicas take ``quick``. With ``drawn`` each sync's time is drawn anew, evenly from
    ``quick`` to ``seconds``.
    """

    seconds: float
    slow: int = 0
    drawn: bool = False
    quick: float = 0.005


class SlowDiskGroup(Group):
    """Replicas with an election timeout and disks as given."""

    def __init__(self, size, seed, election_timeout, disks):
        super().__init__(size, seed)
        self.election_timeout = election_timeout
        self.disks = disks
        names = sorted(self.nodes)
        self.slow = set(self.random.sample(names, disks.slow) if disks.slow else names)

    def settings(self, name):
        return structs.replace(
            super().settings(name),
            election_timeout=self.election_timeout,
            lease=self.election_timeout,
        )

    def sync_seconds(self, node):
        disks = self.disks
        if node.name not in self.slow:
            return disks.quick
        return self.random.uniform(disks.quick, disks.seconds) if disks.drawn else disks.seconds

    def seconds_to_leader(self, among=None):
        """Return how long it takes until one of ``among``, or any, leads; the patience if none."""
        began = self.now
        wanted = set(self.nodes) if among is None else set(among)
        while self.now < began + PATIENCE:
            if any(self._leads(name) for name in wanted):
                return self.now - began
            self.step()
        return PATIENCE

    def _leads(self, name):
        core = self.nodes[name].core
        return core is not None and core.replica.leading

    def first_start(self):
        """Start all replicas with empty disks; return the seconds to the first leader."""
        for name in self.nodes:
            self.start(name)
        return self.seconds_to_leader()

    def restart_of_all(self):
        """Kill all and start them at once; return the seconds to the first leader."""
        for name in self.nodes:
            self.crash(name)
        return self.first_start()

    def loss_of_leader(self):
        """Kill the leader; return the seconds until another one leads."""
        leader = self.leader()
        self.crash(leader)
        return self.seconds_to_leader(among=self.others(leader))


def measure(size, seed, election_timeout, disks):
    """Return the seconds to a leader: first start, restart of all, loss of the leader."""
    group = SlowDiskGroup(size, seed, election_timeout, disks)
    first = group.first_start()
    group.run(3.0)
    again = group.restart_of_all()
    settled = 10.0
    group.run(settled)
    group.seconds_to_leader()
    lost = group.loss_of_leader() if group.leader() else PATIENCE
    return first, again, lost
