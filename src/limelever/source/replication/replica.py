"""One replica: passes each event to the component that handles it."""

from __future__ import annotations

from random import Random

from google.protobuf.message import Message

from limelever.common.errors import Failure
from limelever.common.sansio import (
    Address,
    ConnectionClosed,
    ConnectionFailed,
    ConnectionId,
    ConnectionOpened,
    DeadlineReached,
    Event,
    MessageReceived,
    Output,
    Started,
    WriteCompleted,
)
from limelever.protocol.config_pb2 import Batch
from limelever.protocol.operators_pb2 import ChangeMembersRequest, StatusResponse
from limelever.protocol.replication_pb2 import (
    AppendAnswer,
    AppendRequest,
    ElectNow,
    InstallSnapshot,
    JoinRequest,
    LogEntry,
    ReadIndexAnswer,
    ReadIndexRequest,
    VoteAnswer,
    VoteRequest,
)
from limelever.source.replication.application import Application
from limelever.source.replication.changes import MembershipChanges
from limelever.source.replication.context import ReplicaContext
from limelever.source.replication.elections import Elections
from limelever.source.replication.follower import Follower
from limelever.source.replication.forwarded_reads import ForwardedReads
from limelever.source.replication.joining import Joining
from limelever.source.replication.leading import Leadership
from limelever.source.replication.levels import writable_level
from limelever.source.replication.members import group_level, majority_size
from limelever.source.replication.persistence import RecoveredReplica
from limelever.source.replication.rejoining import Rejoining
from limelever.source.replication.settings import ReplicationSettings
from limelever.source.replication.status import replica_status

MAX_TERM = 2**63
"""Highest term that is taken from a message. Elections raise the term by one, so that no group
reaches it; a replica that adopted the highest value of the field could not stand for election."""


class Replica:
    """A replica of the source's log; sans-io, composed into the source's core."""

    def __init__(
        self,
        settings: ReplicationSettings,
        recovered: RecoveredReplica,
        random: Random,
        application: Application,
    ) -> None:
        self._context = ReplicaContext(settings, recovered, random, application)
        self._log_is_stale = recovered.log_is_stale
        self._leadership = Leadership(self._context)
        self._elections = Elections(self._context, self._leadership.begin)
        self._follower = Follower(self._context)
        self._reads = ForwardedReads(self._context)
        self._joining = Joining(self._context)
        self._rejoining = Rejoining(self._context)
        self._changes = MembershipChanges(self._context, self._leadership)
        self._context.on_leadership_lost = self._leadership_lost

    def _leadership_lost(self) -> None:
        self._leadership.lost()
        self._context.application.leadership_lost()

    # --- state ------------------------------------------------------------------------------

    @property
    def leading(self) -> bool:
        """Return whether this replica leads."""
        return self._leadership.leading

    @property
    def identity(self) -> str:
        """Return this replica's identity; empty while its disk is not formatted."""
        return self._context.identity

    @property
    def term(self) -> int:
        """Return the current term."""
        return self._context.term

    @property
    def leader(self) -> str:
        """Return the identity of the current leader; empty when none is known."""
        return self._context.leader

    @property
    def leader_address(self) -> str:
        """Return where the leader serves operators; empty when none is known."""
        return self._context.leader_address

    def connection_to_leader(self) -> ConnectionId | None:
        """Return the link on which this replica asks its leader; ``None`` without one."""
        return self._reads.connection_to_leader()

    @property
    def commit_index(self) -> int:
        """Return the index up to which entries are committed and applied here."""
        return self._context.commit_index

    @property
    def uncommitted(self) -> list[LogEntry]:
        """Return the entries that are not committed yet."""
        return self._context.log.suffix(self._context.commit_index)

    @property
    def accepts_writes(self) -> bool:
        """Return whether a commit reaches as many disks as the group is to lose, and one more.

        A group that is still growing from its seeds would commit with fewer.
        """
        context = self._context
        return majority_size(context.members) > context.settings.voters // 2

    @property
    def member_names(self) -> frozenset[str]:
        """Return the names of the members, learners included."""
        return frozenset(member.name for member in self._context.members.members)

    def seeds_listed(self, seeds: tuple[Address, ...]) -> None:
        """Ask these replicas for admission besides, as long as this one has to."""
        self._joining.seeds_listed(seeds)

    def hand_over(self, now: float) -> None:
        """Ask another replica to lead, if this one does; it goes on until that is elected."""
        self._context.now = now
        self._leadership.hand_over()

    def status(self) -> StatusResponse:
        """Return what operators see of this replica; the configuration version is the host's."""
        return replica_status(self._context, self._leadership.matched_index)

    # --- requests of the host ---------------------------------------------------------------

    def propose(self, batch: Batch, rules: int, now: float) -> int:
        """Append a batch at the leader and return its index; ``apply`` follows once it commits.

        ``rules`` are the state machine's, by which every replica is to judge the batch.
        """
        self._context.now = now
        return self._leadership.propose(batch, rules)

    @property
    def feature_level(self) -> int:
        """Return the feature level of the group, by its latest member set."""
        return group_level(self._context.members)

    @property
    def writable_level(self) -> int:
        """Return the highest feature level that a record may need to be written now."""
        return writable_level(self._context)

    def read(self, token: int, now: float) -> None:
        """Prove a read; the result is passed to the application's ``read_proved``."""
        self._context.now = now
        application = self._context.application
        if self.leading:
            self._leadership.read(lambda index: application.read_proved(token, index is not None))
        else:
            self._reads.forward(token)

    def change_members(self, request: ChangeMembersRequest, now: float) -> int | Failure:
        """Begin an operator's change of the member set at the leader; returns its index."""
        self._context.now = now
        return self._changes.request(request)

    # --- events -----------------------------------------------------------------------------

    def handle(self, event: Event, now: float) -> list[Output]:
        """Handle an event of a replication link, the disk or the clock."""
        self._context.now = now
        match event:
            case Started():
                self._start()
            case ConnectionOpened():
                self._opened(event.connection, event.peer.feature_level)
            case ConnectionClosed() | ConnectionFailed():
                self._context.links.closed(event.connection, now)
            case WriteCompleted():
                self._context.writes.completed(event.token)
            case MessageReceived():
                self._take(event.connection, event.message)
            case DeadlineReached():
                self._on_time()
        self._changes.advance()
        self._joining.keep_links(seek_members=self._rejoining.asking)
        return self.drain()

    def drain(self) -> list[Output]:
        """Return the outputs gathered since the last call."""
        outputs, self._context.outputs = self._context.outputs, []
        return outputs

    def next_deadline(self) -> float | None:
        """Return when ``DeadlineReached`` is due."""
        context = self._context
        times = (
            context.links.next_deadline(),
            self._joining.next_deadline(),
            self._rejoining.next_deadline(),
            self._leadership.next_deadline(),
            self._reads.next_deadline(),
            context.election_deadline if context.formatted is not None else None,
        )
        return min((time for time in times if time is not None), default=None)

    def _start(self) -> None:
        context = self._context
        context.links.start(context.now)
        context.outputs.extend(context.links.dial_due(context.now))
        context.restart_election_timer(may_hurry=True)
        if self._log_is_stale:
            context.reset_disk_log()
        if context.snapshot.last_index > 0:
            context.application.restore(context.snapshot)
        self._joining.start()
        self._rejoining.start()

    def _opened(self, connection: ConnectionId, feature_level: int) -> None:
        if self._context.links.opened(connection, feature_level) is not None:
            self._joining.link_opened(connection)

    def _on_time(self) -> None:
        context = self._context
        context.outputs.extend(context.links.dial_due(context.now))
        self._joining.on_time()
        self._rejoining.on_time()
        self._reads.on_time()
        self._leadership.on_time()
        if context.formatted is not None:
            self._elections.on_time()

    def _take(self, connection: ConnectionId, message: Message) -> None:
        if isinstance(message, JoinRequest):
            self._take_join(connection, message)
        elif self._context.formatted is not None and _has_possible_term(message):
            self._take_formatted(connection, message)

    def _take_join(self, connection: ConnectionId, message: JoinRequest) -> None:
        if message.answer:
            self._joining.take_answer(message)
            self._rejoining.take_answer(message.committed)
            return
        self._joining.answer(connection)
        if not message.asks_membership:
            self._changes.take_join(message)

    def _take_formatted(self, connection: ConnectionId, message: Message) -> None:
        match message:
            case VoteRequest():
                self._elections.take_request(connection, message)
            case VoteAnswer():
                self._elections.take_answer(message)
            case AppendRequest():
                self._follower.take_append(connection, message)
                self._reads.on_commit()
            case AppendAnswer():
                self._leadership.take_answer(message)
            case InstallSnapshot():
                self._follower.take_snapshot(connection, message)
                self._reads.on_commit()
            case ElectNow():
                self._elections.elect_now(message)
            case ReadIndexRequest():
                self._leadership.take_read_request(connection, message)
            case ReadIndexAnswer():
                self._reads.take_answer(message)


def _has_possible_term(message: Message) -> bool:
    """Return whether a message states a term that elections can have reached, or none."""
    return int(getattr(message, "term", 0)) <= MAX_TERM
