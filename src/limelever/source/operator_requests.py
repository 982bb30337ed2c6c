"""Answers operators' requests: writes at the leader, reads after a read index, status at once."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from google.protobuf.message import Message

from limelever.common.errors import ErrorKind, Failure
from limelever.protocol.config_pb2 import Batch
from limelever.protocol.feature_level import level_of_batch
from limelever.protocol.keys import Key
from limelever.protocol.operators_pb2 import (
    ApplyRequest,
    ChangeMembersRequest,
    ChangeMembersResponse,
    GetRequest,
    GetResponse,
    GetRevisionRequest,
    GetRevisionResponse,
    RolloutRequest,
    StatusRequest,
    StatusResponse,
)
from limelever.protocol.redaction import redacted
from limelever.protocol.replication_pb2 import LogEntry
from limelever.publisher.core import PublisherCore
from limelever.source.messages import OperatorRequest
from limelever.source.replication.replica import Replica
from limelever.source.replication.settings import ReplicationSettings
from limelever.source.rollout_reports import RolloutReports
from limelever.source.state import CURRENT_RULES, StateMachine
from limelever.source.write_waiters import WriteWaiters, index_of_same


class OperatorHost(Protocol):
    """What the requests need of the core around them."""

    def answer(self, token: int, answer: Message | Failure) -> None:
        """Give an operator the answer."""

    def prove_read(self, done: Callable[[bool], None], now: float) -> None:
        """Call ``done`` once all committed before now is applied, or the proof has failed."""


class OperatorRequests:
    """Takes each request once and answers it once."""

    def __init__(
        self,
        host: OperatorHost,
        settings: ReplicationSettings,
        replica: Replica,
        state: StateMachine,
        publisher: PublisherCore,
    ) -> None:
        self._host = host
        self._settings = settings
        self._replica = replica
        self._state = state
        self._publisher = publisher
        self._waiters = WriteWaiters()
        self.reports = RolloutReports()

    def take(self, event: OperatorRequest, now: float) -> None:
        """Take a request."""
        request = event.request
        if isinstance(request, StatusRequest):
            self._host.answer(event.token, self._status())
            return
        if isinstance(request, GetRevisionRequest):
            self._read(event.token, self._revision, now)
            return
        refusal = self._refusal()
        if refusal is not None:
            self._host.answer(event.token, refusal)
            return
        match request:
            case ApplyRequest(dry_run=True):
                self._read(event.token, lambda: self._state.dry_run(request.batch), now)
            case ApplyRequest():
                self._apply(event.token, request.batch, now)
            case GetRequest():
                self._read(event.token, lambda: self._get(request), now)
            case RolloutRequest():
                self._host.answer(event.token, self._rollout(request))
            case ChangeMembersRequest():
                self._change_members(event.token, request, now)

    def _refusal(self) -> Failure | None:
        """Return why this replica can't take requests that need the leader."""
        if self._replica.leading:
            return None
        if self._replica.leader:
            return Failure(
                ErrorKind.NOT_LEADER,
                f"{self._replica.leader} leads",
                leader_address=self._replica.leader_address,
            )
        return self._no_quorum("no leader is known")

    def _no_quorum(self, reason: str) -> Failure:
        delay = self._settings.election_timeout
        return Failure(ErrorKind.NO_QUORUM, reason, retry_after=delay)

    # --- writes -----------------------------------------------------------------------------

    def _apply(self, token: int, batch: Batch, now: float) -> None:
        if not self._replica.accepts_writes:
            failure = self._no_quorum("the group has too few voters to keep a write safe")
            self._host.answer(token, failure)
            return
        refusal = self._level_refusal(batch)
        if refusal is not None:
            self._host.answer(token, refusal)
            return
        uncommitted = self._replica.uncommitted
        index = index_of_same(batch, uncommitted)
        if index is None and len(uncommitted) >= self._settings.uncommitted_limit:
            delay = self._settings.heartbeat_interval
            failure = Failure(ErrorKind.OVERLOADED, "too many open writes", retry_after=delay)
            self._host.answer(token, failure)
            return
        if index is None:
            index = self._replica.propose(batch, CURRENT_RULES, now)
        self._waiters.add(index, token)

    def _level_refusal(self, batch: Batch) -> Failure | None:
        """Return why a batch may not be written while some members run an older build."""
        needed, level = level_of_batch(batch), self._replica.writable_level
        if needed <= level:
            return None
        return Failure(
            ErrorKind.FEATURE_UNAVAILABLE,
            f"a record needs feature level {needed}; the members of the group read up to {level}",
            retry_after=self._settings.election_timeout,
        )

    def _change_members(self, token: int, request: ChangeMembersRequest, now: float) -> None:
        index = self._replica.change_members(request, now)
        if isinstance(index, Failure):
            self._host.answer(token, index)
        elif index <= self._replica.commit_index:
            self._host.answer(token, self._members())
        else:
            self._waiters.add(index, token)

    def applied(self, entry: LogEntry, answer: Message | Failure | None) -> None:
        """Answer those who waited for ``entry``; ``answer`` is the state machine's."""
        for token in self._waiters.take(entry.index):
            self._host.answer(token, self._members() if answer is None else answer)

    def _members(self) -> ChangeMembersResponse:
        return ChangeMembersResponse(members=self._replica.status().members)

    def leadership_lost(self) -> None:
        """Answer the open writes that their fate is unknown: another leader may commit them."""
        self.reports.clear()
        failure = Failure(ErrorKind.WRITE_UNKNOWN, "leadership was lost before the commit")
        for token in self._waiters.take_all():
            self._host.answer(token, failure)

    # --- reads ------------------------------------------------------------------------------

    def _read(self, token: int, answer: Callable[[], Message | Failure], now: float) -> None:
        def proved(is_proved: bool) -> None:
            failure = self._no_quorum("no majority was heard")
            self._host.answer(token, answer() if is_proved else failure)

        self._host.prove_read(proved, now)

    def _get(self, request: GetRequest) -> GetResponse:
        """Return resources without the values of secrets."""
        response = GetResponse(version=self._state.version)
        if not request.keys:
            response.resources.extend(redacted(item) for item in self._state.resources())
        for key in request.keys:
            found = self._state.get(Key.from_message(key))
            if found is None:
                response.missing.append(key)
            else:
                response.resources.append(redacted(found))
        return response

    def _revision(self) -> GetRevisionResponse:
        revision = self._state.revision
        return GetRevisionResponse(
            number=revision.number, document=revision.document, version=self._state.version
        )

    def _rollout(self, request: RolloutRequest) -> Message:
        version = request.version or self._state.version
        own = self._publisher.rollout_report()
        return self.reports.response(own, version, self._state.version)

    def _status(self) -> StatusResponse:
        status = self._replica.status()
        status.version = self._state.version
        status.relays.extend(self._publisher.relays())
        return status
