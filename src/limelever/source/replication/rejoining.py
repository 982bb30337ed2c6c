"""A replica that its group went on without: find out, and join again under a new identity.

Where the group replaces silent members by itself, a replica that was cut off may be removed
without ever hearing of it. It believes that it votes, nobody appends to it, and no election
includes it. So a replica that has heard no leader for long asks the others what they know to be
committed. It gives its identity up once a committed position at or after the end of its own log
names a member set without it:

- The entry that admitted it stands at or before the end of its log. A committed position at or
  after that either includes the entry, and then a later committed one removed this identity, or
  contradicts it, and then the entry can never be committed.
- So no majority that still counts includes this identity, and its vote is not missed.

The disk keeps its log, term and vote. They bind the new identity as they bound the old one, and
what the log holds is checked against the leader's like any follower's.
"""

from __future__ import annotations

from limelever.protocol.replication_pb2 import CommittedMembers, Formatted, JoinRequest
from limelever.source import events
from limelever.source.replication.context import ReplicaContext, ReplicaRole
from limelever.source.replication.identities import new_identity


class Rejoining:
    """Asks whether this replica is a member still, and gives up an identity that is not."""

    def __init__(self, context: ReplicaContext) -> None:
        self._context = context
        self._started_at = 0.0
        self._asked_at = float("-inf")

    def start(self) -> None:
        """Count the silence from now on at the earliest."""
        self._started_at = self._context.now

    @property
    def asking(self) -> bool:
        """Return whether no leader was heard for so long that this replica may be removed."""
        deadline = self._asks_from()
        return deadline is not None and self._context.now >= deadline

    def on_time(self) -> None:
        """Ask the others when it is time."""
        context = self._context
        due = self.next_deadline()
        if due is None or context.now < due:
            return
        self._asked_at = context.now
        request = JoinRequest(
            identity=context.identity, name=context.settings.name, asks_membership=True
        )
        for connection in context.links.open_connections():
            context.send(connection, request)

    def next_deadline(self) -> float | None:
        """Return when to ask; ``None`` while there is no reason to."""
        begin = self._asks_from()
        if begin is None:
            return None
        return max(begin, self._asked_at + self._context.settings.join_interval)

    def take_answer(self, committed: CommittedMembers) -> None:
        """Take a new identity if ``committed`` proves that this one is no member any more."""
        context = self._context
        if not self.asking or context.identity in committed.identities:
            return
        log = context.log
        if committed.index == 0 or not log.is_behind(committed.index, committed.term):
            return
        former, name = context.identity, context.settings.name
        identity = new_identity(name, context.random)
        context.save_formatted(Formatted(identity=identity, name=name))
        context.record(
            events.REPLICA_REJOINS,
            former=former,
            identity=identity,
            committed_term=committed.term,
            committed_index=committed.index,
        )

    def _asks_from(self) -> float | None:
        """Return from when on to ask, counted from the last word of a leader."""
        context = self._context
        formatted = context.formatted
        admitted = formatted is not None and formatted.admitted
        if not admitted or not context.settings.discovers_members:
            return None
        if context.role is ReplicaRole.LEADER:
            return None
        heard = max(context.heard_leader_at, self._started_at)
        return heard + context.settings.replace_after
