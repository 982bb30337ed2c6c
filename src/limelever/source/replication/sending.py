"""Sends each follower the log entries that it lacks, a snapshot, or a heartbeat."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from limelever.common.sansio import ConnectionId
from limelever.protocol.replication_pb2 import AppendRequest, InstallSnapshot, LogEntry, Member
from limelever.source import events
from limelever.source.replication.context import ReplicaContext
from limelever.source.replication.members import newest_by_name
from limelever.source.replication.progress import Progress


class LogSender:
    """Sends the log and tracks each follower's progress, for one leadership.

    ``round_number`` is in every message, and a follower's reply repeats it.
    """

    def __init__(self, context: ReplicaContext) -> None:
        self._context = context
        self._progress: dict[str, Progress] = {}
        self._logged_below: set[str] = set()
        self.round_number = 0

    @property
    def progress(self) -> Mapping[str, Progress]:
        """Return the state of the followers, by identity."""
        return self._progress

    def progress_of(self, identity: str) -> Progress:
        """Return the state of a follower."""
        known = self._progress.get(identity)
        if known is None:
            known = Progress(self._context.log.last_index + 1, self._context.now)
            self._progress[identity] = known
        return known

    def send_to_all(self) -> None:
        """Send every follower what it lacks, or a heartbeat."""
        for member in self._followers():
            self.send(member)

    def send(self, member: Member) -> None:
        """Send one follower what it lacks, or a heartbeat."""
        context = self._context
        connection = context.links.connection_to(member.name)
        if connection is None or not self._reads_log(member):
            return
        progress = self.progress_of(member.identity)
        if progress.next_index <= context.log.base_index:
            self._send_snapshot(connection, progress)
            return
        previous = progress.next_index - 1
        entries = context.log.entries_from(progress.next_index, context.settings.append_bytes)
        context.send(connection, self._append_request(previous, entries))
        progress.next_index += len(entries)

    def _reads_log(self, member: Member) -> bool:
        """Return whether the build that a member runs now reads every record of the log.

        One that doesn't is sent nothing, and becomes a silent member.
        """
        context = self._context
        if not context.is_below_log(member.name):
            self._logged_below.discard(member.identity)
            return True
        if member.identity not in self._logged_below:
            self._logged_below.add(member.identity)
            context.record(
                events.MEMBER_BELOW_LEVEL,
                identity=member.identity,
                stated=context.links.stated_level(member.name),
                level=context.log.feature_level,
            )
        return False

    def has_more_for(self, progress: Progress) -> bool:
        """Return whether something is left to send, other than a snapshot that is under way."""
        log = self._context.log
        if progress.next_index <= log.base_index:
            return self._context.now >= progress.snapshot_due
        return progress.next_index <= log.last_index

    def _followers(self) -> Iterator[Member]:
        """Yield the members to send to."""
        for member in newest_by_name(self._context.members).values():
            if member.identity != self._context.identity:
                yield member

    def _send_snapshot(self, connection: ConnectionId, progress: Progress) -> None:
        """Send the snapshot, or only a heartbeat while one is under way."""
        context = self._context
        if context.now < progress.snapshot_due:
            context.send(connection, self._append_request(context.log.base_index, []))
            return
        progress.snapshot_due = context.now + context.settings.election_timeout
        message = InstallSnapshot(
            term=context.term,
            leader=context.identity,
            snapshot=context.snapshot,
            round=self.round_number,
        )
        context.send(connection, message)

    def _append_request(self, previous: int, entries: list[LogEntry]) -> AppendRequest:
        context = self._context
        return AppendRequest(
            term=context.term,
            leader=context.identity,
            previous_index=previous,
            previous_term=context.log.term_at(previous) or 0,
            entries=entries,
            commit_index=context.commit_index,
            round=self.round_number,
            leader_operator_address=context.settings.operator_address,
        )
