"""State that the duties of one replica share, and the writes that keep it durable."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from enum import StrEnum
from random import Random

from google.protobuf.message import Message

from limelever.common.errors import ErrorKind, Failure
from limelever.common.sansio import (
    AppendLog,
    ConnectionId,
    LogEvent,
    Output,
    ReplaceFile,
    ResetLog,
    SendMessage,
    StopProcess,
    TruncateLog,
)
from limelever.protocol.replication_pb2 import (
    Formatted,
    HardState,
    LogEntry,
    MemberSet,
    SourceSnapshot,
)
from limelever.source import events
from limelever.source.replication.application import Application
from limelever.source.replication.links import PeerLinks
from limelever.source.replication.log import ReplicatedLog
from limelever.source.replication.members import group_level, is_member, learners, voters
from limelever.source.replication.persistence import (
    FORMATTED_FILE,
    HARD_STATE_FILE,
    SNAPSHOT_FILE,
    RecoveredReplica,
    encode_identity,
)
from limelever.source.replication.settings import ReplicationSettings
from limelever.source.replication.writes import PendingWrites

FIRST_ELECTION_PART = 0.08
"""Part of the usual time after which a replica that has heard no leader yet asks for pre-votes.

With the usual second that is time for links many times over; the own vote's sync isn't counted.
Each attempt that fails doubles it: where messages are slow, votes take longer than that.
"""

FIRST_INDEX = 1
"""Index of the first entry of a group's log."""

_NEVER = float("-inf")
_FOREVER = float("inf")


class ReplicaRole(StrEnum):
    """What a replica is doing in its term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class ReplicaContext:
    """Durable and volatile state of one replica; ``now`` is the time of the current event."""

    def __init__(
        self,
        settings: ReplicationSettings,
        recovered: RecoveredReplica,
        random: Random,
        application: Application,
    ) -> None:
        self.settings = settings
        self.random = random
        self.application = application
        self.writes = PendingWrites()
        self.links = PeerLinks(settings, random)
        self.formatted = recovered.formatted
        self._marked_level = recovered.marked_level
        self.term = recovered.hard_state.term
        self.voted_for = recovered.hard_state.voted_for
        self.snapshot = recovered.snapshot
        self.log = _recovered_log(recovered)
        self.commit_index = self.log.base_index
        self._noted_level = group_level(self.log.members_at(self.commit_index))
        self.role = ReplicaRole.FOLLOWER
        self.leader = ""
        self.leader_address = ""
        self.heard_leader_at = _NEVER
        self.election_deadline = _FOREVER
        self._hurried_part = FIRST_ELECTION_PART
        self.now = 0.0
        self.outputs: list[Output] = []
        self.on_leadership_lost: Callable[[], None] = lambda: None

    @property
    def identity(self) -> str:
        """Return this replica's identity; empty while the disk is not formatted."""
        return self.formatted.identity if self.formatted is not None else ""

    @property
    def members(self) -> MemberSet:
        """Return the member set in effect: the latest in the log, committed or not."""
        return self.log.members

    @property
    def is_voter(self) -> bool:
        """Return whether this replica's identity votes."""
        return self.identity in voters(self.members)

    def is_below_log(self, name: str) -> bool:
        """Return whether a linked member states a level below that of a record in the log."""
        stated = self.links.stated_level(name)
        return stated is not None and stated < self.log.feature_level

    def send(self, connection: ConnectionId, message: Message) -> None:
        """Send a message on a link."""
        self.outputs.append(SendMessage(connection, message))

    def record(self, code: int, **fields: object) -> None:
        """Write a log event."""
        self.outputs.append(LogEvent(code, fields))

    def restart_election_timer(self, *, may_hurry: bool = False) -> None:
        """Draw the time at which this replica will stand for election unless it hears more.

        With ``may_hurry`` it is a part of the usual time as long as this process has heard no
        leader, and a larger part with each attempt: after a restart of the whole group there is
        none to wait for, and where there is one, those who hear it refuse the pre-vote.
        """
        timeout = self.settings.election_timeout
        if may_hurry and self.heard_leader_at == _NEVER:
            timeout *= self._hurried_part
            self._hurried_part = min(1.0, self._hurried_part * 2)
        self.election_deadline = self.now + self.random.uniform(timeout, 2 * timeout)

    def hold_election_timer(self) -> None:
        """Stop the timer while a vote is being synced; it is restarted once that is done."""
        self.election_deadline = _FOREVER

    # --- terms ------------------------------------------------------------------------------

    def adopt_term(self, term: int, vote: str = "") -> None:
        """Move on to a higher term with this replica's vote in it; both in one write."""
        if term <= self.term:
            return
        self.step_down(f"term {term} was seen")
        self.term = term
        self.voted_for = vote
        self.role = ReplicaRole.FOLLOWER
        self.leader, self.leader_address = "", ""
        self.save_hard_state()

    def step_down(self, reason: str) -> None:
        """Stop leading, if this replica leads."""
        if self.role is not ReplicaRole.LEADER:
            return
        self.record(events.LEADER_STEPPED_DOWN, term=self.term, reason=reason)
        self.role = ReplicaRole.FOLLOWER
        self.leader, self.leader_address = "", ""
        self.restart_election_timer()
        self.on_leadership_lost()

    def follow(self, leader: str, address: str) -> None:
        """Note that the leader of the current term was heard."""
        if self.leader != leader:
            self.record(events.LEADER_FOLLOWED, leader=leader, term=self.term)
        self.role = ReplicaRole.FOLLOWER
        self.leader, self.leader_address = leader, address
        self.heard_leader_at = self.now
        self.restart_election_timer()

    # --- disk -------------------------------------------------------------------------------

    def save_hard_state(self) -> None:
        """Write term and vote; what depends on them waits for ``writes.when_synced``."""
        state = HardState(term=self.term, voted_for=self.voted_for)
        content = state.SerializeToString()
        self.outputs.append(ReplaceFile(self.writes.draw_state(), HARD_STATE_FILE, content))

    def save_formatted(self, formatted: Formatted) -> None:
        """Write the replica's identity."""
        self.formatted = formatted
        content = encode_identity(formatted, self._marked_level)
        self.outputs.append(ReplaceFile(self.writes.draw_state(), FORMATTED_FILE, content))

    def _mark_level(self, level: int) -> None:
        """Mark the disk before it holds a record that an older build would misread."""
        if level > self._marked_level and self.formatted is not None:
            self._marked_level = level
            self.save_formatted(self.formatted)

    def append(self, entries: Sequence[LogEntry]) -> None:
        """Add entries to the log."""
        self.log.append(entries)
        self._mark_level(self.log.feature_level)
        records = tuple(entry.SerializeToString() for entry in entries)
        self.outputs.append(AppendLog(self.writes.draw_log(entries[0].index), records))

    def cut_from(self, index: int) -> None:
        """Drop entries that were never committed, from ``index`` on."""
        self.record(events.LOG_CUT, from_index=index, term=self.term)
        self.log.cut_from(index)
        keep = self.log.last_index - self.log.base_index
        self.outputs.append(TruncateLog(self.writes.draw_log(index), keep))

    def reset_disk_log(self) -> None:
        """Let the disk's log hold just the entries after the snapshot."""
        entries = self.log.suffix(self.log.base_index)
        records = tuple(entry.SerializeToString() for entry in entries)
        self.outputs.append(ResetLog(self.writes.draw_log(FIRST_INDEX), records))

    def save_snapshot(self, snapshot: SourceSnapshot) -> None:
        """Write a snapshot, then drop the entries that it covers (in this order)."""
        self._mark_level(snapshot.feature_level)
        self.snapshot = snapshot
        content = snapshot.SerializeToString()
        self.outputs.append(ReplaceFile(self.writes.draw_log(FIRST_INDEX), SNAPSHOT_FILE, content))
        self.log.rebase(
            snapshot.last_index, snapshot.last_term, snapshot.members, snapshot.feature_level
        )
        self.reset_disk_log()

    # --- commit -----------------------------------------------------------------------------

    def commit_to(self, index: int) -> None:
        """Apply entries up to ``index``, which a majority has synced."""
        while self.commit_index < index:
            self.commit_index += 1
            entry = self.log.entry(self.commit_index)
            if entry.WhichOneof("body") == "members":
                self._note_members(entry.members, entry.index)
            self.application.apply(entry)
        if self.commit_index - self.log.base_index >= self.settings.snapshot_every:
            self._take_snapshot()

    def install(self, snapshot: SourceSnapshot) -> None:
        """Replace state and log by a leader's snapshot, which is newer than what is committed."""
        self.save_snapshot(snapshot)
        self.commit_index = snapshot.last_index
        self.application.restore(snapshot)
        self.record(events.SNAPSHOT_INSTALLED, index=snapshot.last_index, leader=self.leader)
        self._note_members(snapshot.members, snapshot.last_index)

    def refuse_to_go_on(self, reason: str) -> None:
        """Stop the process: durable state contradicts what a leader committed."""
        self.outputs.append(StopProcess(Failure(ErrorKind.DATA_DAMAGED, reason)))

    def _take_snapshot(self) -> None:
        snapshot = self.application.snapshot()
        snapshot.last_index = self.commit_index
        snapshot.last_term = self.log.term_at(self.commit_index) or 0
        snapshot.members.CopyFrom(self.log.members_at(self.commit_index))
        snapshot.feature_level = self.log.feature_level_at(self.commit_index)
        self.save_snapshot(snapshot)
        self.record(events.SNAPSHOT_TAKEN, index=snapshot.last_index)

    def _note_members(self, members: MemberSet, index: int) -> None:
        self.record(
            events.MEMBERS_CHANGED,
            index=index,
            voters=sorted(voters(members)),
            learners=learners(members),
        )
        self._note_group_level(members, index)
        if self.formatted is None:
            return
        if is_member(members, self.identity):
            self._note_admitted(self.formatted)
        elif self.formatted.admitted:
            self.record(events.REPLICA_REMOVED, identity=self.identity)

    def _note_group_level(self, members: MemberSet, index: int) -> None:
        level = group_level(members)
        if level != self._noted_level:
            self._noted_level = level
            self.record(events.GROUP_LEVEL_CHANGED, index=index, level=level)

    def _note_admitted(self, formatted: Formatted) -> None:
        if formatted.admitted:
            return
        admitted = Formatted()
        admitted.CopyFrom(formatted)
        admitted.admitted = True
        self.save_formatted(admitted)


def _recovered_log(recovered: RecoveredReplica) -> ReplicatedLog:
    snapshot = recovered.snapshot
    members = snapshot.members
    if snapshot.last_index == 0 and recovered.formatted is not None:
        members = recovered.formatted.first_members
    return ReplicatedLog(
        snapshot.last_index,
        snapshot.last_term,
        members,
        snapshot.feature_level,
        recovered.entries,
    )
